// Package confirmer decides whether an entry may handle a request with the
// configuration that it has, or must first confirm that there is no newer one.
// It performs no I/O and reads no clock.
package confirmer

import (
	"sync"
	"time"
)

// DefaultMaxAge is the maximum age of a confirmation if none is set.
const DefaultMaxAge = 2 * time.Second

// pauseThreshold is how much longer than its timeout a read may take before the
// process counts as paused.
const pauseThreshold = 500 * time.Millisecond

// Decision says how to handle a request.
type Decision int

const (
	// Confirmed means that the configuration is recent enough.
	Confirmed Decision = iota
	// Ask means that nobody has been asked for too long, for example because the
	// process was suspended. The request has to wait for a read.
	Ask
	// Unconfirmed means that recent reads failed. The entry goes on with the
	// configuration that it has, but can't know what was added or removed.
	Unconfirmed
)

// State records when the active configuration was last confirmed to be the
// newest one. All times are readings of a clock that also counts while the
// machine is suspended. The zero value has no confirmation. It is safe for
// concurrent use.
type State struct {
	// MaxAge is how soon after its acknowledgement a configuration must be in
	// force. A configuration confirmed within MaxAge before a request contains
	// every change that the request must see.
	MaxAge time.Duration

	mu          sync.Mutex
	known       bool
	confirmedAt time.Duration
	failed      bool
	failedAt    time.Duration
}

// Confirm records that the active configuration was the newest one at the given
// time, which is when the read was sent, not when it was answered.
func (s *State) Confirm(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known || at > s.confirmedAt {
		s.known, s.confirmedAt = true, at
	}
}

// Fail records that a read with the given timeout ended without an answer. If it
// took far longer than its timeout, the process was paused during the read, which
// then says nothing about the store.
func (s *State) Fail(sentAt, now, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-sentAt <= timeout+pauseThreshold {
		s.failed, s.failedAt = true, now
	}
}

// Decide returns how to handle a request that arrived at the given time.
func (s *State) Decide(now time.Duration) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxAge := s.MaxAge
	if maxAge == 0 {
		maxAge = DefaultMaxAge
	}
	switch {
	case s.known && now-s.confirmedAt <= maxAge:
		return Confirmed
	case s.failed && now-s.failedAt <= maxAge:
		return Unconfirmed
	default:
		return Ask
	}
}

// Age returns the age of the last confirmation and whether there is one.
func (s *State) Age(now time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now - s.confirmedAt, s.known
}
