package gossiper

import (
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	// refusalsGone is the number of refused connections after which a member is
	// suspected. One could hit a process that is just being replaced.
	refusalsGone = 2
	// probeDelay is the time from a refused connection to the next attempt.
	probeDelay = 100 * time.Millisecond
)

// probe is a heartbeat that is sent out of turn.
type probe struct {
	address string
	at      time.Time
}

// gone reports whether the address of r refuses connections.
func (r row) gone() bool { return r.refusals >= refusalsGone }

// failed counts a refused connection. Any other failure proves nothing about
// the process, and breaks the series.
func (s *State) failed(now time.Time, f Failed) {
	i, known := s.find(f.Address)
	if !known || s.unheard(now, s.rows[i]) {
		return
	}
	r := &s.rows[i]
	if !f.Refused {
		r.refusals = 0
		return
	}
	r.refusals++
	r.refused = now
	if !r.gone() {
		s.probeAt(f.Address, now.Add(probeDelay))
	}
}

func (s *State) probeAt(address string, at time.Time) {
	if !slices.ContainsFunc(s.probes, func(p probe) bool { return p.address == address }) {
		s.probes = append(s.probes, probe{address: address, at: at})
	}
}

// sendProbes sends the probes that are due. Each asks for one more at most, so
// that their number is bounded by that of members.
func (s *State) sendProbes(now time.Time) []Cmd {
	var cmds []Cmd
	s.probes = slices.DeleteFunc(s.probes, func(p probe) bool {
		if now.Before(p.at) && p.at.Sub(now) <= probeDelay {
			return false
		}
		if i, known := s.find(p.address); known && !s.unheard(now, s.rows[i]) {
			cmds = append(cmds, Beat{Address: p.address, Heartbeat: s.heartbeat(now, p.address)})
		}
		return true
	})
	return cmds
}

// tellRefused returns the addresses that began to refuse connections within
// the time of suspicion. After that, the others suspect the member anyway, or
// reach it.
func (s *State) tellRefused(now time.Time) []string {
	var list []string
	for _, r := range s.rows {
		if r.gone() && now.Sub(r.refused) < s.suspicion() {
			list = append(list, r.Member.Address)
		}
	}
	return list
}

// hearRefused looks into the sender's doubts by a heartbeat of its own, because
// the connection may be refused only there. It does so once in the time of
// suspicion for a member.
func (s *State) hearRefused(now time.Time, h messenger.Heartbeat) {
	for _, address := range h.Refused {
		i, known := s.find(address)
		if !known || s.unheard(now, s.rows[i]) || now.Sub(s.rows[i].probed) < s.suspicion() {
			continue
		}
		s.rows[i].probed = now
		s.probeAt(address, now)
	}
}
