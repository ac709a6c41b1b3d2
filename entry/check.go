package main

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"

	"github.com/godwitrelay/godwitrelay/core/identifier"
	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
	"github.com/godwitrelay/godwitrelay/entry/limiter"
)

// Check fills in defaults and records every invalid value.
func (s *settings) Check(f *loader.Problems) {
	f.CheckName("name", s.Name)
	f.CheckName("failureDomain", s.FailureDomain)
	if s.Region != "" {
		f.CheckName("region", s.Region)
	}
	s.checkAddresses(f)
	var err error
	if s.key, err = identifier.ParseKey(s.IDKey); err != nil {
		// The value is a secret and must not be logged.
		f.Add("idKey", fmt.Sprintf("%d characters", len(s.IDKey)), "at least 32 hexadecimal digits, an even number")
	}
	// The numbers passed to CheckRange are the default, the minimum and the maximum.
	f.CheckOneOf("logLevel", &s.LogLevel, "info", "debug", "warning", "error")
	f.CheckRange("answerKeepMs", &s.AnswerKeepMs, 60_000, 100, 3_600_000)
	f.CheckRange("idKeepMs", &s.IDKeepMs, 600_000, 1000, 86_400_000)
	f.CheckRange("balancerNoticeMs", &s.BalancerNotice, 3000, 1, 300_000)
	f.CheckRange("stopLingerMs", &s.StopLingerMs, 5000, 1, 600_000)
	f.CheckRange("leaseMs", &s.LeaseMs, 10_000, 100, 600_000)
	checkBroker(f, &s.Broker)
	checkGossiper(f, s.Gossiper)
	s.Limits.check(f)
}

func (s *settings) checkAddresses(f *loader.Problems) {
	if s.PeerListen == "" {
		s.PeerListen = s.PeerAddress
	}
	f.CheckAddress("callerAddress", s.CallerAddress)
	f.CheckAddress("peerListen", s.PeerListen)
	f.CheckAddress("operatorAddress", s.OperatorAddress)
	if s.ProfileAddress != "" {
		f.CheckAddress("profileAddress", s.ProfileAddress)
	}
	checkReachable(f, "peerAddress", s.PeerAddress)
	if s.Platform != "" {
		checkReachable(f, "platform", s.Platform)
	}
	for i, a := range s.Seeds {
		checkReachable(f, fmt.Sprintf("seeds[%d]", i), a)
	}
	for i, a := range s.RemoteSeeds {
		checkReachable(f, fmt.Sprintf("remoteSeeds[%d]", i), a)
	}
}

// checkReachable checks an address that other processes connect to. It must
// have a port, and its IP address must not be unspecified.
func checkReachable(f *loader.Problems, field, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		f.Add(field, value, "the IP address and port of one process, such as 10.0.0.7:7000")
	}
}

// checkRange checks an optional number. The value 0 selects the default of the
// package that uses it.
func checkRange(f *loader.Problems, field string, n, low, high int64) {
	if n != 0 && (n < low || n > high) {
		f.Add(field, n, fmt.Sprintf("%d to %d", low, high))
	}
}

func checkBroker(f *loader.Problems, b *broker.Settings) {
	f.CheckOneOf("broker.routing", &b.Routing, "broker", "random", "leastInFlight", "twoChoices")
	f.CheckOneOf("broker.order", &b.Order, "fewestLeft", "fifo")
	// The value -1 disables the reserve. At 100, bulk work would never run.
	checkRange(f, "broker.urgentReservePercent", int64(b.UrgentReservePercent), -1, 99)
	checkRange(f, "broker.urgentWaitPercent", int64(b.UrgentWaitPercent), -1, 10_000)
	checkRange(f, "broker.bulkAgeMs", b.BulkAgeMs, 1, 3_600_000)
	checkRange(f, "broker.bulkShare", int64(b.BulkShare), 1, 1000)
	checkRange(f, "broker.leaseMs", b.LeaseMs, 10, 600_000)
	checkRange(f, "broker.maxWaitingTasks", int64(b.MaxWaitingTasks), 1, 10_000_000)
}

func checkGossiper(f *loader.Problems, g gossiper.Settings) {
	checkRange(f, "gossiper.heartbeatMs", g.HeartbeatMs, 10, 10_000)
	checkRange(f, "gossiper.remoteMs", g.RemoteMs, 10, 60_000)
	checkRange(f, "gossiper.suspectMs", g.SuspectMs, 20, 60_000)
	checkRange(f, "gossiper.forgetMs", g.ForgetMs, 20, 600_000)
	checkRange(f, "gossiper.fanOut", int64(g.FanOut), 1, 64)
	checkRange(f, "gossiper.maxRows", int64(g.MaxRows), 1, 64)
	if g.HeartbeatMs > 0 && g.SuspectMs > 0 && g.SuspectMs < g.HeartbeatMs {
		f.Add("gossiper.suspectMs", g.SuspectMs, "at least gossiper.heartbeatMs")
	}
	if g.SuspectMs > 0 && g.ForgetMs > 0 && g.ForgetMs < g.SuspectMs {
		f.Add("gossiper.forgetMs", g.ForgetMs, "at least gossiper.suspectMs")
	}
}

func (l *limits) check(f *loader.Problems) {
	f.CheckRange("limits.memoryMb", &l.MemoryMB, 1024, minMemoryMB, maxMemoryMB)
	f.CheckRange("limits.maxFds", &l.MaxFds, openFileLimit(), 64, maxOpenFiles)
	plan, mostHeld, mostAnswers := l.plan(), l.memory()/heldShare, l.memory()/answerShare
	f.CheckRange("limits.bodyBytes", &l.BodyBytes, min(4<<20, plan.Callers.MaxBody()), 1024, 64<<20)
	f.CheckRange("limits.headerBytes", &l.HeaderBytes, 16<<10, 1024, 1<<20)
	f.CheckRange("limits.headerReadMs", &l.HeaderReadMs, 5000, 10, 60_000)
	f.CheckRange("limits.bodyReadMs", &l.BodyReadMs, 15_000, 10, 600_000)
	f.CheckRange("limits.answerWriteMs", &l.AnswerWriteMs, 30_000, 10, 600_000)
	f.CheckRange("limits.tasksPerJob", &l.TasksPerJob, 1300, 1, 100_000)
	f.CheckRange("limits.heldBytes", &l.HeldBytes, min(256<<20, mostHeld), 1<<20, 64<<30)
	f.CheckRange("limits.answerBytes", &l.AnswerBytes, min(32<<20, mostAnswers), 1<<20, 64<<30)
	f.CheckRange("limits.maxDeadlineMs", &l.MaxDeadlineMs, 300_000, 1, 3_600_000)
	f.CheckRange("limits.defaultDeadlineMs", &l.DefaultDeadlineMs, min(30_000, max(l.MaxDeadlineMs, 1)), 1, 3_600_000)
	if l.DefaultDeadlineMs > l.MaxDeadlineMs {
		f.Add("limits.defaultDeadlineMs", l.DefaultDeadlineMs, "at most limits.maxDeadlineMs")
	}
	callers, peers, operators := int64(plan.Callers.Connections), int64(plan.Peers.Connections), int64(plan.Metrics.Connections)
	f.CheckRange("limits.connections", &l.Connections, min(4096, callers), 1, 1_000_000)
	f.CheckRange("limits.peerConnections", &l.PeerConnections, min(32_768, peers), 1, 1_000_000)
	f.CheckRange("limits.operatorConnections", &l.OperatorConnections, min(256, operators), 1, 1_000_000)
	for _, c := range []struct {
		field       string
		value, most int64
	}{
		{"limits.bodyBytes", l.BodyBytes, plan.Callers.MaxBody()},
		{"limits.heldBytes", l.HeldBytes, mostHeld},
		{"limits.answerBytes", l.AnswerBytes, mostAnswers},
		{"limits.connections", l.Connections, callers},
		{"limits.peerConnections", l.PeerConnections, peers},
		{"limits.operatorConnections", l.OperatorConnections, operators},
	} {
		if c.value > c.most {
			f.Add(c.field, c.value, fmt.Sprintf("at most %d with limits.memoryMb %d and limits.maxFds %d", c.most, l.MemoryMB, l.MaxFds))
		}
	}
}

const (
	minMemoryMB, maxMemoryMB = 64, 1 << 20
	// heldShare and answerShare are the parts of the memory for the bodies of jobs in
	// progress and for answers that are kept, as divisors.
	heldShare, answerShare = 4, 16
	// maxOpenFiles is above the limit of any system.
	maxOpenFiles = 1 << 30
	// defaultFds applies if the limit of the process is not known.
	defaultFds = 4096
)

// memory returns the memory in bytes, or the nearest allowed value.
func (l *limits) memory() int64 { return min(max(l.MemoryMB, minMemoryMB), maxMemoryMB) << 20 }

// plan returns the limits of the servers.
func (l *limits) plan() limiter.Plan {
	return limiter.NewPlan(int(l.memory()>>20), int(min(max(l.MaxFds, 0), maxOpenFiles)))
}

// openFileLimit returns the number of files that the process may open.
func openFileLimit() int64 {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return defaultFds
	}
	return int64(min(l.Cur, maxOpenFiles))
}
