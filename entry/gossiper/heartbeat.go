package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// maxTransmits is the number of full heartbeats in which an entry sends the same
// counter of a member. In the simulation of BenchmarkTraffic, 2 caused wrong
// suspicions in domains of 6 to 16 entries several times as often as 3, and
// having no limit cost up to a third more bytes.
const maxTransmits = 3

// Reply returns the reply to a heartbeat that [State.Update] has handled: this
// entry's own row, and what it knows about other members that the heartbeat did
// not contain or contained with a lower counter: their counters if both entries
// have the same digest, otherwise their rows.
func (s *State) Reply(now time.Time, to messenger.Heartbeat) messenger.Heartbeat {
	if to.FailureDomain != s.FailureDomain {
		return s.baseHeartbeat()
	}
	if to.Digest == s.digest(now) {
		return s.compactHeartbeat(now, to.From.Address, to.Counters)
	}
	has := func(m messenger.MemberState) bool {
		return slices.ContainsFunc(to.Members, func(t messenger.MemberState) bool {
			return t.Member == m.Member && t.Counter >= m.Counter && t.Stopping == m.Stopping
		})
	}
	return s.fullHeartbeat(now, to.From.Address, has)
}

// beatIfDue sends a round of heartbeats if one is due.
func (s *State) beatIfDue(now time.Time) []Cmd {
	period := s.roundInterval()
	// If the clock was set back, the next round may be more than one period
	// away. It is then sent immediately.
	if now.Before(s.nextRound) && s.nextRound.Sub(now) <= period {
		return nil
	}
	// The next round is due one period after this one was due, not after it was
	// sent, so that late ticks do not lower the rate. If that time has passed
	// already, as after a pause of the process, the schedule restarts from now,
	// because the missed rounds would otherwise be sent in a burst.
	if s.nextRound = s.nextRound.Add(period); !s.nextRound.After(now) || s.nextRound.Sub(now) > period {
		s.nextRound = now.Add(period)
	}
	return s.sendRound(now)
}

// stop immediately announces that this entry is leaving.
func (s *State) stop(now time.Time) []Cmd {
	if s.stopping {
		return nil
	}
	s.stopping = true
	return s.sendRound(now)
}

// sendRound increments this entry's counter and returns the heartbeats of one
// round.
func (s *State) sendRound(now time.Time) []Cmd {
	s.counter++
	s.rounds++
	var cmds []Cmd
	for _, address := range s.selectPeers(now) {
		cmds = append(cmds, SendHeartbeat{Address: address, Heartbeat: s.heartbeat(now, address)})
	}
	return cmds
}

// handleHeartbeat handles a heartbeat or a reply. From another failure domain,
// only the configuration version is used.
func (s *State) handleHeartbeat(now time.Time, h messenger.Heartbeat) []Cmd {
	if h.From == s.Self {
		return nil
	}
	if h.FailureDomain == s.FailureDomain {
		// The sender's own row is merged first, because it decides which
		// incarnation is at its address.
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
		s.mergeCounters(now, h)
		s.probeReported(now, h)
	}
	return s.compareVersion(now, h)
}

// heartbeat returns a heartbeat for the entry at address. It is compact if the
// last digest received from that entry equals this entry's digest, otherwise
// full.
func (s *State) heartbeat(now time.Time, address string) messenger.Heartbeat {
	if i, known := s.find(address); known && s.rows[i].digest == s.digest(now) {
		return s.compactHeartbeat(now, address, nil)
	}
	return s.fullHeartbeat(now, address, nil)
}

// fullHeartbeat returns a heartbeat with member rows for the entry at address.
// It omits that entry's own row and the rows for which has reports true. Rows
// sent the fewest times go first, and among these the ones whose counters
// advanced most recently. Suspected members are left out, so that a counter that
// does not advance cannot make its member live at another entry. Stale rows are
// left out too.
func (s *State) fullHeartbeat(now time.Time, address string, has func(messenger.MemberState) bool) messenger.Heartbeat {
	rows := make([]*row, 0, len(s.rows))
	for i := range s.rows {
		r := &s.rows[i]
		if r.Member.Address != address && !s.suspected(now, *r) && !r.stale && r.transmits < maxTransmits && (has == nil || !has(r.MemberState)) {
			rows = append(rows, r)
		}
	}
	slices.SortStableFunc(rows, func(a, b *row) int {
		if c := cmp.Compare(a.transmits, b.transmits); c != 0 {
			return c
		}
		return b.advancedAt.Compare(a.advancedAt)
	})
	rows = rows[:min(len(rows), s.Settings.MaxRows-1)]
	h := s.domainHeartbeat(now)
	for _, r := range rows {
		r.transmits++
		h.Members = append(h.Members, r.withAge(now))
	}
	return h
}

// baseHeartbeat returns the fields common to all heartbeats. They are the whole
// heartbeat for an entry of another failure domain.
func (s *State) baseHeartbeat() messenger.Heartbeat {
	return messenger.Heartbeat{From: s.Self, FailureDomain: s.FailureDomain, ConfigVersion: s.version}
}
