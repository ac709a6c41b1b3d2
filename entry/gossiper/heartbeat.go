package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// tellLimit is the number of entries that one entry tells of a counter before
// it moves again. In the simulation of BenchmarkTraffic, 2 led to wrong
// suspicions in domains of 6 to 16 entries several times as often as 3, and no
// limit cost up to a third more bytes.
const tellLimit = 3

// Reply returns the reply to a heartbeat that was taken by [State.Update]: the
// own row, and counters of which this entry knows more than the heartbeat said.
func (s *State) Reply(now time.Time, to messenger.Heartbeat) messenger.Heartbeat {
	if to.FailureDomain != s.Domain {
		return s.head()
	}
	if to.Digest == s.digest(now) {
		return s.compact(now, to.From.Address, to.Counters)
	}
	has := func(m messenger.MemberState) bool {
		return slices.ContainsFunc(to.Members, func(t messenger.MemberState) bool {
			return t.Member == m.Member && t.Counter >= m.Counter && t.Stopping == m.Stopping
		})
	}
	return s.full(now, to.From.Address, has)
}

// beat sends a round of heartbeats if one is due.
func (s *State) beat(now time.Time) []Cmd {
	period := s.period()
	// The second condition holds if now went back.
	if now.Before(s.nextBeat) && s.nextBeat.Sub(now) <= period {
		return nil
	}
	// Adding to the time that was due keeps the rate, but not after a pause.
	if s.nextBeat = s.nextBeat.Add(period); !s.nextBeat.After(now) || s.nextBeat.Sub(now) > period {
		s.nextBeat = now.Add(period)
	}
	return s.round(now)
}

// stop announces at once that this entry is leaving.
func (s *State) stop(now time.Time) []Cmd {
	if s.stopping {
		return nil
	}
	s.stopping = true
	return s.round(now)
}

func (s *State) round(now time.Time) []Cmd {
	s.counter++
	s.rounds++
	var cmds []Cmd
	for _, address := range s.contacts(now) {
		cmds = append(cmds, Beat{Address: address, Heartbeat: s.heartbeat(now, address)})
	}
	return cmds
}

// hear takes a heartbeat or a reply. One from another failure domain tells
// only a version.
func (s *State) hear(now time.Time, h messenger.Heartbeat) []Cmd {
	if h.From == s.Self {
		return nil
	}
	if h.FailureDomain == s.Domain {
		// The sender's own row comes first: it decides which incarnation is at
		// its address.
		for _, m := range h.Members {
			if m.Member == h.From {
				s.merge(now, m, true)
			}
		}
		for _, m := range h.Members {
			if m.Member.Address != h.From.Address {
				s.merge(now, m, false)
			}
		}
		s.hearCounters(now, h)
		s.hearRefused(now, h)
	}
	return s.compareVersion(now, h)
}

// heartbeat returns a heartbeat for the entry at address: compact if it was
// last known to have the same set of members.
func (s *State) heartbeat(now time.Time, address string) messenger.Heartbeat {
	if i, known := s.find(address); known && s.rows[i].digest == s.digest(now) {
		return s.compact(now, address, nil)
	}
	return s.full(now, address, nil)
}

// full returns a heartbeat with rows for the entry at address, without its own
// row and without rows that it is known to have. Rows that few entries were told
// of go first, then those whose counters moved last. Silent members are left
// out, so that a counter that stands still does not make its member live at
// another entry; so are members unheard since a pause of this process.
func (s *State) full(now time.Time, address string, has func(messenger.MemberState) bool) messenger.Heartbeat {
	fresh := make([]*row, 0, len(s.rows))
	for i := range s.rows {
		r := &s.rows[i]
		if r.Member.Address != address && !s.unheard(now, *r) && !r.stale && r.told < tellLimit && (has == nil || !has(r.MemberState)) {
			fresh = append(fresh, r)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *row) int {
		if c := cmp.Compare(a.told, b.told); c != 0 {
			return c
		}
		return b.moved.Compare(a.moved)
	})
	fresh = fresh[:min(len(fresh), s.Settings.MaxRows-1)]
	h := s.inDomain(now)
	for _, r := range fresh {
		r.told++
		h.Members = append(h.Members, r.state(now))
	}
	return h
}

func (s *State) head() messenger.Heartbeat {
	return messenger.Heartbeat{From: s.Self, FailureDomain: s.Domain, ConfigVersion: s.version}
}
