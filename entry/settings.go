package main

import (
	"time"

	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// settings holds the settings file of an entry. Addresses are IP:port.
type settings struct {
	Name            string            `json:"name"`
	FailureDomain   string            `json:"failureDomain"`
	Region          string            `json:"region"`
	CallerAddress   string            `json:"callerAddress"`
	PeerAddress     string            `json:"peerAddress"`
	PeerListen      string            `json:"peerListen"`
	OperatorAddress string            `json:"operatorAddress"`
	Platform        string            `json:"platform"`
	Seeds           []string          `json:"seeds"`
	RemoteSeeds     []string          `json:"remoteSeeds"`
	IDKey           string            `json:"idKey"`
	Broker          broker.Settings   `json:"broker"`
	Gossiper        gossiper.Settings `json:"gossiper"`
	Limits          limits            `json:"limits"`
	AnswerKeepMs    int64             `json:"answerKeepMs"`
	IDKeepMs        int64             `json:"idKeepMs"`
	BalancerNotice  int64             `json:"balancerNoticeMs"`
	StopLingerMs    int64             `json:"stopLingerMs"`
	LeaseMs         int64             `json:"leaseMs"`
	HistoryFile     string            `json:"historyFile"`
	EventFile       string            `json:"eventFile"`
	LogLevel        string            `json:"logLevel"`
	ProfileAddress  string            `json:"profileAddress"`

	key []byte
}

// limits bounds the resources that callers can make an entry use.
type limits struct {
	// MemoryMB and MaxFds are the memory and the file descriptors that the process may use.
	MemoryMB            int64 `json:"memoryMb"`
	MaxFds              int64 `json:"maxFds"`
	BodyBytes           int64 `json:"bodyBytes"`
	HeaderBytes         int64 `json:"headerBytes"`
	HeaderReadMs        int64 `json:"headerReadMs"`
	BodyReadMs          int64 `json:"bodyReadMs"`
	AnswerWriteMs       int64 `json:"answerWriteMs"`
	TasksPerJob         int64 `json:"tasksPerJob"`
	HeldBytes           int64 `json:"heldBytes"`
	AnswerBytes         int64 `json:"answerBytes"`
	DefaultDeadlineMs   int64 `json:"defaultDeadlineMs"`
	MaxDeadlineMs       int64 `json:"maxDeadlineMs"`
	Connections         int64 `json:"connections"`
	PeerConnections     int64 `json:"peerConnections"`
	OperatorConnections int64 `json:"operatorConnections"`
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
