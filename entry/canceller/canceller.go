// Package canceller decides how the cancelling of a job is answered and remembers the
// ids of cancelled jobs, so that a job that arrives after its cancelling does not run.
//
// A job is known to two entries: the one that holds its caller's request, and the owner
// of the workers that run it. The entry that receives a cancelling may be neither. It
// asks the owners, which name the entry of the caller. Each entry that learns of a
// cancelling remembers it.
package canceller

import (
	"sync"
	"time"
)

const (
	// Retention is how long a cancelling is remembered: the time for which callers wait
	// if they don't say so.
	Retention = 30 * time.Second
	// MaxIDs limits the remembered ids. The oldest are forgotten first.
	MaxIDs = 1 << 14
)

// Cancelling is a remembered cancelling, as entries hand it on.
type Cancelling struct {
	JobID string `json:"jobId"`
	AgeMs int64  `json:"ageMs"`
}

// At returns when the job was cancelled, if c was received just now.
func (c Cancelling) At(now time.Time) time.Time {
	ageMs := min(max(c.AgeMs, 0), 2*Retention.Milliseconds())
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}

type record struct {
	at time.Time
	// found is set once a job with the id was seen, and entry is the one that holds the
	// request of its caller.
	found bool
	entry string
}

// State holds the cancellings that an entry remembers. The zero value is empty and
// ready to use. It is safe for concurrent use.
type State struct {
	mu      sync.Mutex
	records map[string]*record
	// order lists the ids in the order in which they were added.
	order []string
}

// Add remembers that a job was cancelled at a time.
func (s *State) Add(now, cancelledAt time.Time, jobID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records == nil {
		s.records = map[string]*record{}
	}
	if r := s.records[jobID]; r != nil {
		if s.expired(now, jobID) {
			*r = record{}
		}
		r.at = later(r.at, cancelledAt)
		return
	}
	s.records[jobID] = &record{at: cancelledAt}
	s.order = append(s.order, jobID)
	for len(s.order) > MaxIDs || s.expired(now, s.order[0]) {
		delete(s.records, s.order[0])
		if s.order = s.order[1:]; len(s.order) == 0 {
			return
		}
	}
}

// Found records that a job was in progress for an entry when it was cancelled, or
// arrived later. It reports whether the job was cancelled.
func (s *State) Found(now time.Time, jobID, entry string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expired(now, jobID) {
		return false
	}
	r := s.records[jobID]
	r.found, r.entry = true, entry
	return true
}

// Entry returns the entry for which a cancelled job was found, and whether it was.
func (s *State) Entry(now time.Time, jobID string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expired(now, jobID) {
		return "", false
	}
	r := s.records[jobID]
	return r.entry, r.found
}

// List returns the cancellings to hand on, the oldest first.
func (s *State) List(now time.Time) []Cancelling {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Cancelling
	for _, id := range s.order {
		if !s.expired(now, id) {
			list = append(list, Cancelling{JobID: id, AgeMs: now.Sub(s.records[id].at).Milliseconds()})
		}
	}
	return list
}

func (s *State) expired(now time.Time, jobID string) bool {
	r := s.records[jobID]
	return r == nil || now.Sub(r.at) > Retention
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
