// Package spiller chooses another failure domain for a job that has no room in
// its own. The load pattern it answers: callers press on one failure domain, or
// its workers are lost, while others have room.
package spiller

import (
	"sort"
	"sync"
	"time"
)

const (
	// AskEvery is the pause between calls of an owner to those of other failure
	// domains.
	AskEvery = 300 * time.Millisecond
	// freshFor is the age up to which a neighbour's room is believed.
	freshFor = time.Second
	// keepFor is how long the address of a silent neighbour is kept.
	keepFor = 10 * time.Second
	// margin is how many times the room of a job a neighbour must have free:
	// its own callers need some before the news of it is replaced.
	margin = 3
)

// Neighbour is the owner of the workers of another failure domain.
type Neighbour struct {
	FailureDomain string `json:"failureDomain"`
	Owner         string `json:"owner"`
	// FreeCPU is the free room in thousandths of a core, AgeMs its age.
	FreeCPU int64 `json:"freeCpu"`
	AgeMs   int64 `json:"ageMs"`
}

type entry struct {
	Neighbour
	at time.Time
}

// State holds what is known of other failure domains. The zero value is empty.
// It is safe for concurrent use.
type State struct {
	mu    sync.Mutex
	known map[string]entry
}

// Learn records news of a neighbour unless it is older than what is known.
func (s *State) Learn(now time.Time, n Neighbour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known = map[string]entry{}
	}
	at := now.Add(-time.Duration(n.AgeMs) * time.Millisecond)
	if old, ok := s.known[n.FailureDomain]; !ok || at.After(old.at) {
		s.known[n.FailureDomain] = entry{n, at}
	}
}

// Spend takes the room of a job that is sent to a neighbour off what is known.
func (s *State) Spend(failureDomain string, cpu int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.known[failureDomain]; ok {
		e.FreeCPU -= cpu
		s.known[failureDomain] = e
	}
}

// List returns the neighbours with the present age of their news, by name.
func (s *State) List(now time.Time) []Neighbour {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Neighbour
	for domain, e := range s.known {
		if now.Sub(e.at) > keepFor {
			delete(s.known, domain)
			continue
		}
		e.AgeMs = now.Sub(e.at).Milliseconds()
		list = append(list, e.Neighbour)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].FailureDomain < list[b].FailureDomain })
	return list
}

// Choose returns the neighbour with the most free room if it has several times
// what a job of the given room needs.
func (s *State) Choose(now time.Time, cpu int64) (Neighbour, bool) {
	var best Neighbour
	for _, n := range s.List(now) {
		if n.AgeMs <= freshFor.Milliseconds() && n.FreeCPU >= margin*cpu && n.FreeCPU > best.FreeCPU {
			best = n
		}
	}
	return best, best.Owner != ""
}
