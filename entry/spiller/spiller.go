// Package spiller selects another worker group for a job that its own group has
// no resources for, for example because callers overload one group or its workers
// are lost while others have free resources.
//
// A neighbour is the entry that owns the workers of another group. Owners poll
// their neighbours for the free CPU of their workers.
package spiller

import (
	"sort"
	"sync"
	"time"
)

const (
	// PollInterval is the interval at which an owner polls its neighbours.
	PollInterval = 300 * time.Millisecond
	// maxReportAge is the maximum age at which a neighbour's reported free CPU is
	// still used.
	maxReportAge = time.Second
	// retention is how long the address of a neighbour is kept without reports.
	retention = 10 * time.Second
	// requiredCPUFactor is how many times the job's CPU a neighbour must have
	// free. The neighbour's own callers use some of it before the next report.
	requiredCPUFactor = 3
)

// Neighbour is a report about a neighbour: its worker group, its address and the
// free CPU of its workers.
type Neighbour struct {
	Group         string `json:"group"`
	FailureDomain string `json:"failureDomain,omitempty"`
	// Parts is the number of worker groups in its failure domain.
	Parts int    `json:"parts,omitempty"`
	Owner string `json:"owner"`
	// FreeCPU is the free CPU in thousandths of a core, and AgeMs the age of
	// that value.
	FreeCPU int64 `json:"freeCpu"`
	AgeMs   int64 `json:"ageMs"`
}

type record struct {
	Neighbour
	// measuredAt is when the free CPU was measured, on the local clock.
	measuredAt time.Time
}

// State holds the latest report about each neighbour, which came from the
// neighbour itself or through another entry. The zero value is empty and ready
// to use. It is safe for concurrent use.
type State struct {
	mu      sync.Mutex
	records map[string]record
}

// Record stores a report about a neighbour unless it is no newer than the
// stored one. It reports whether the group is back in reach by it: its owner is new, or
// was silent for longer than maxReportAge.
func (s *State) Record(now time.Time, n Neighbour) (back bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records == nil {
		s.records = map[string]record{}
	}
	at := now.Add(-time.Duration(n.AgeMs) * time.Millisecond)
	old, ok := s.records[n.Group]
	if ok && !at.After(old.measuredAt) {
		return false
	}
	s.records[n.Group] = record{n, at}
	return n.Owner != old.Owner || at.Sub(old.measuredAt) > maxReportAge
}

// Deduct subtracts the CPU of a job sent to a neighbour from its recorded free
// CPU.
func (s *State) Deduct(group string, cpu int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[group]; ok {
		r.FreeCPU -= cpu
		s.records[group] = r
	}
}

// List returns the neighbours sorted by worker group, with the current age of
// their reports.
func (s *State) List(now time.Time) []Neighbour {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Neighbour
	for group, r := range s.records {
		if now.Sub(r.measuredAt) > retention {
			delete(s.records, group)
			continue
		}
		r.AgeMs = now.Sub(r.measuredAt).Milliseconds()
		list = append(list, r.Neighbour)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Group < list[b].Group })
	return list
}

// Choose returns the neighbour with the most free CPU among those whose report
// is no older than maxReportAge. It reports false if none of them has at least
// requiredCPUFactor times the CPU of the job.
func (s *State) Choose(now time.Time, cpu int64) (Neighbour, bool) {
	var best Neighbour
	for _, n := range s.List(now) {
		if n.AgeMs <= maxReportAge.Milliseconds() && n.FreeCPU >= requiredCPUFactor*cpu && n.FreeCPU > best.FreeCPU {
			best = n
		}
	}
	return best, best.Owner != ""
}
