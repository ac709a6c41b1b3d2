package gossiper

import (
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	// refusalThreshold is the number of refused connections after which a
	// member is suspected. A single one can come from a process that is being
	// replaced.
	refusalThreshold = 2
	// probeDelay is the delay between a refused connection and the next
	// attempt.
	probeDelay = 100 * time.Millisecond
)

// probe is a heartbeat sent outside the regular rounds, to check whether an
// address refuses connections.
type probe struct {
	address string
	due     time.Time
}

// refusing reports whether the address of r refuses connections.
func (r row) refusing() bool { return r.refusals >= refusalThreshold }

// recordFailure counts a refused connection. Any other failure, such as a
// timeout, does not show that the process is gone. It resets the count, because
// only consecutive refusals lead to suspicion.
func (s *State) recordFailure(now time.Time, f HeartbeatFailed) {
	i, known := s.find(f.Address)
	if !known || s.suspected(now, s.rows[i]) {
		return
	}
	r := &s.rows[i]
	if !f.Refused {
		r.refusals = 0
		return
	}
	r.refusals++
	r.refusedAt = now
	if !r.refusing() {
		s.scheduleProbe(f.Address, now.Add(probeDelay))
	}
}

// scheduleProbe schedules a probe unless one to the address is scheduled.
func (s *State) scheduleProbe(address string, at time.Time) {
	if !slices.ContainsFunc(s.probes, func(p probe) bool { return p.address == address }) {
		s.probes = append(s.probes, probe{address: address, due: at})
	}
}

// sendProbes sends the probes that are due. At most one is scheduled per member,
// and each leads to at most one more.
func (s *State) sendProbes(now time.Time) []Cmd {
	var cmds []Cmd
	s.probes = slices.DeleteFunc(s.probes, func(p probe) bool {
		if now.Before(p.due) && p.due.Sub(now) <= probeDelay {
			return false
		}
		if i, known := s.find(p.address); known && !s.suspected(now, s.rows[i]) {
			cmds = append(cmds, SendHeartbeat{Address: p.address, Heartbeat: s.heartbeat(now, p.address)})
		}
		return true
	})
	return cmds
}

// recentRefusals returns the addresses that began to refuse connections within
// the suspicion timeout. After that, the other entries either suspect the
// member anyway or can reach it.
func (s *State) recentRefusals(now time.Time) []string {
	var list []string
	for _, r := range s.rows {
		if r.refusing() && now.Sub(r.refusedAt) < s.suspicionTimeout() {
			list = append(list, r.Member.Address)
		}
	}
	return list
}

// probeReported schedules probes to the members that the sender of h reports as
// refusing connections. This entry suspects a member only if its own connections
// are refused too, because the fault may affect only those of the sender. It
// probes a reported member at most once per suspicion timeout.
func (s *State) probeReported(now time.Time, h messenger.Heartbeat) {
	for _, address := range h.Refused {
		i, known := s.find(address)
		if !known || s.suspected(now, s.rows[i]) || now.Sub(s.rows[i].probedAt) < s.suspicionTimeout() {
			continue
		}
		s.rows[i].probedAt = now
		s.scheduleProbe(address, now)
	}
}
