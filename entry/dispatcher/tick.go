package dispatcher

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// Periods of recurring work. Reading the log every second leaves most of the
// 15 s in which a configuration must come into force everywhere.
const (
	logPeriod   = time.Second
	listPeriod  = 2 * time.Second
	usagePeriod = 5 * time.Second
	evictPeriod = time.Second
	// discoveryTime is how long a starting entry waits for other members before
	// it assumes that it is the only one of its failure domain.
	discoveryTime = time.Second
)

// timers holds when recurring work was last done and which reads are in
// flight.
type timers struct {
	lastLogRead, lastVMList, lastUsageRead, lastEviction, lastLeaseRenewal time.Time

	readingLog, listingVMs, readingUsage bool
}

// periodElapsed reports whether period has passed since *last and, if so, sets
// *last to now. It also does so if *last is zero.
func periodElapsed(now time.Time, last *time.Time, period time.Duration) bool {
	if !last.IsZero() && now.Sub(*last) < period {
		return false
	}
	*last = now
	return true
}

func (s *State) handleTick(now time.Time) {
	if !s.seedsSent {
		s.seedsSent = true
		s.updateCandidates(now, nil)
	}
	if !s.discovered && now.Sub(s.startedAt) >= discoveryTime {
		s.discovered = true
		s.reassignBroker(now)
	}
	for j := s.jobs.NextOverdue(now); j != nil; j = s.jobs.NextOverdue(now) {
		s.failJob(now, j, messenger.NewError(messenger.DeadlineExceeded, ""))
	}
	s.updateGossiper(now, gossiper.Tick{})
	s.updateBroker(now, broker.Tick{})
	if periodElapsed(now, &s.timers.lastEviction, evictPeriod) {
		s.jobs.Evict(now)
		s.jobs.Issuer.ExpireIDs(now)
	}
	s.pollPlatform(now)
	s.advanceStop(now)
}

// pollPlatform requests from the platform what is due. At most one read of
// each kind is in flight.
func (s *State) pollPlatform(now time.Time) {
	t := &s.timers
	if !t.readingLog && periodElapsed(now, &t.lastLogRead, logPeriod) {
		s.readLog()
	}
	if !t.listingVMs && periodElapsed(now, &t.lastVMList, listPeriod) {
		t.listingVMs = true
		s.emit(ListVMs{})
	}
	if !t.readingUsage && periodElapsed(now, &t.lastUsageRead, usagePeriod) {
		t.readingUsage = true
		s.emit(ReadUsage{})
	}
	if s.cfg.LeaseTTL > 0 && periodElapsed(now, &t.lastLeaseRenewal, s.cfg.LeaseTTL/3) {
		s.renewLease()
	}
}
