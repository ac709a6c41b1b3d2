package dispatcher

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// Periods of what an entry does on its own. Reading the log each second leaves
// most of the 15 s in which a configuration must be in force everywhere.
const (
	logPeriod   = time.Second
	listPeriod  = 2 * time.Second
	usagePeriod = 5 * time.Second
	evictPeriod = time.Second
	// settleTime is how long a starting entry listens for others before it
	// takes itself for the only one of its failure domain.
	settleTime = time.Second
)

// timers holds when things were last done, and which reads are on their way.
type timers struct {
	log, list, use, evict, lease time.Time

	reading, listing, usage bool
}

// due tells whether period has passed since *last, and if so starts it again.
func due(now time.Time, last *time.Time, period time.Duration) bool {
	if !last.IsZero() && now.Sub(*last) < period {
		return false
	}
	*last = now
	return true
}

func (s *State) tick(now time.Time) {
	if !s.seeded {
		s.seeded = true
		s.candidates(now, nil)
	}
	if !s.settled && now.Sub(s.started) >= settleTime {
		s.settled = true
		s.assign(now)
	}
	for j := s.jobs.Overdue(now); j != nil; j = s.jobs.Overdue(now) {
		s.fail(now, j, messenger.NewError(messenger.DeadlineExceeded, ""))
	}
	s.updateGossiper(now, gossiper.Tick{})
	s.updateBroker(now, broker.Tick{})
	if due(now, &s.timers.evict, evictPeriod) {
		s.jobs.Evict(now)
		s.jobs.Issuer.Advance(now)
	}
	s.readPlatform(now)
	s.stopTick(now)
}

// readPlatform asks the platform for what falls due, one request of a kind at
// a time.
func (s *State) readPlatform(now time.Time) {
	t := &s.timers
	if !t.reading && due(now, &t.log, logPeriod) {
		s.readLog()
	}
	if !t.listing && due(now, &t.list, listPeriod) {
		t.listing = true
		s.emit(ListVMs{})
	}
	if !t.usage && due(now, &t.use, usagePeriod) {
		t.usage = true
		s.emit(ReadUsage{})
	}
	if s.cfg.LeaseTTL > 0 && due(now, &t.lease, s.cfg.LeaseTTL/3) {
		s.renewLease()
	}
}
