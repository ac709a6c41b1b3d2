// Package spiller selects another failure domain for a job that has no room in
// its own, for example because callers overload one failure domain or its
// workers are lost while others have free resources.
package spiller

import (
	"sort"
	"sync"
	"time"
)

const (
	// AskEvery is the interval at which an owner polls the owners of other
	// failure domains.
	AskEvery = 300 * time.Millisecond
	// maxReportAge is the maximum age at which a neighbour's reported free
	// resources are still used.
	maxReportAge = time.Second
	// retention is how long the address of a neighbour is kept without reports.
	retention = 10 * time.Second
	// requiredRoomFactor is the factor by which a neighbour's free resources
	// must exceed those of the job. Its own callers use some of them before the
	// next report.
	requiredRoomFactor = 3
)

// Neighbour describes the owner of the workers of another failure domain.
type Neighbour struct {
	FailureDomain string `json:"failureDomain"`
	Owner         string `json:"owner"`
	// FreeCPU is the free CPU in thousandths of a core, and AgeMs the age of
	// that value.
	FreeCPU int64 `json:"freeCpu"`
	AgeMs   int64 `json:"ageMs"`
}

type record struct {
	Neighbour
	measuredAt time.Time
}

// State holds the latest reports from other failure domains. The zero value is
// empty and ready to use. It is safe for concurrent use.
type State struct {
	mu      sync.Mutex
	records map[string]record
}

// Learn records a report from a neighbour unless a newer one is known.
func (s *State) Learn(now time.Time, n Neighbour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records == nil {
		s.records = map[string]record{}
	}
	at := now.Add(-time.Duration(n.AgeMs) * time.Millisecond)
	if old, ok := s.records[n.FailureDomain]; !ok || at.After(old.measuredAt) {
		s.records[n.FailureDomain] = record{n, at}
	}
}

// Spend subtracts the CPU of a job sent to a neighbour from its recorded free
// CPU.
func (s *State) Spend(failureDomain string, cpu int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[failureDomain]; ok {
		r.FreeCPU -= cpu
		s.records[failureDomain] = r
	}
}

// List returns the neighbours sorted by failure domain, with the current age of
// their reports.
func (s *State) List(now time.Time) []Neighbour {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Neighbour
	for domain, r := range s.records {
		if now.Sub(r.measuredAt) > retention {
			delete(s.records, domain)
			continue
		}
		r.AgeMs = now.Sub(r.measuredAt).Milliseconds()
		list = append(list, r.Neighbour)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].FailureDomain < list[b].FailureDomain })
	return list
}

// Choose returns the neighbour with the most free CPU, provided that it exceeds
// the CPU of the job by requiredRoomFactor and was reported recently.
func (s *State) Choose(now time.Time, cpu int64) (Neighbour, bool) {
	var best Neighbour
	for _, n := range s.List(now) {
		if n.AgeMs <= maxReportAge.Milliseconds() && n.FreeCPU >= requiredRoomFactor*cpu && n.FreeCPU > best.FreeCPU {
			best = n
		}
	}
	return best, best.Owner != ""
}
