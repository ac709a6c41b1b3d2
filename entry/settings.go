package main

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/identifier"
	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// settings is the settings file of an entry. Addresses are IP:port.
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

// limits bound what callers can make an entry hold.
type limits struct {
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

// Check fills in defaults and records every fault.
func (s *settings) Check(f *loader.Faults) {
	f.Name("name", s.Name)
	f.Name("failureDomain", s.FailureDomain)
	if s.Region != "" {
		f.Name("region", s.Region)
	}
	if s.PeerListen == "" {
		s.PeerListen = s.PeerAddress
	}
	f.Address("callerAddress", s.CallerAddress)
	f.Address("peerAddress", s.PeerAddress)
	f.Address("peerListen", s.PeerListen)
	f.Address("operatorAddress", s.OperatorAddress)
	for _, a := range []struct{ field, value string }{{"platform", s.Platform}, {"profileAddress", s.ProfileAddress}} {
		if a.value != "" {
			f.Address(a.field, a.value)
		}
	}
	for _, a := range s.Seeds {
		f.Address("seeds", a)
	}
	for _, a := range s.RemoteSeeds {
		f.Address("remoteSeeds", a)
	}
	var err error
	if s.key, err = identifier.ParseKey(s.IDKey); err != nil {
		f.Add("idKey", s.IDKey, "at least 32 hexadecimal digits")
	}
	f.OneOf("logLevel", &s.LogLevel, "info", "debug", "warning", "error")
	f.OneOf("broker.routing", &s.Broker.Routing, "broker", "random", "leastInFlight", "twoChoices")
	f.OneOf("broker.order", &s.Broker.Order, "fewestLeft", "fifo")
	f.Range("answerKeepMs", &s.AnswerKeepMs, 60_000, 100, 3_600_000)
	f.Range("idKeepMs", &s.IDKeepMs, 600_000, 1000, 86_400_000)
	f.Range("balancerNoticeMs", &s.BalancerNotice, 3000, 1, 300_000)
	f.Range("stopLingerMs", &s.StopLingerMs, 5000, 1, 600_000)
	f.Range("leaseMs", &s.LeaseMs, 10_000, 100, 600_000)
	s.Limits.check(f)
}

func (l *limits) check(f *loader.Faults) {
	f.Range("limits.bodyBytes", &l.BodyBytes, 4<<20, 1024, 64<<20)
	f.Range("limits.headerBytes", &l.HeaderBytes, 16<<10, 1024, 1<<20)
	f.Range("limits.headerReadMs", &l.HeaderReadMs, 5000, 10, 60_000)
	f.Range("limits.bodyReadMs", &l.BodyReadMs, 15_000, 10, 600_000)
	f.Range("limits.answerWriteMs", &l.AnswerWriteMs, 30_000, 10, 600_000)
	f.Range("limits.tasksPerJob", &l.TasksPerJob, 1300, 1, 100_000)
	f.Range("limits.heldBytes", &l.HeldBytes, 256<<20, 1<<20, 64<<30)
	f.Range("limits.answerBytes", &l.AnswerBytes, 64<<20, 1<<20, 64<<30)
	f.Range("limits.defaultDeadlineMs", &l.DefaultDeadlineMs, 30_000, 1, 600_000)
	f.Range("limits.maxDeadlineMs", &l.MaxDeadlineMs, 300_000, 1, 3_600_000)
	f.Range("limits.connections", &l.Connections, 4096, 1, 1_000_000)
	f.Range("limits.peerConnections", &l.PeerConnections, 4096, 1, 1_000_000)
	f.Range("limits.operatorConnections", &l.OperatorConnections, 256, 1, 1_000_000)
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
