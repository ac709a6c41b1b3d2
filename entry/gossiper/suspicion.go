package gossiper

import (
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// timedOut reports whether the counter of r has not advanced for the suspicion
// timeout.
func (s *State) timedOut(now time.Time, r row) bool {
	return now.Sub(r.advancedAt) >= s.suspicionTimeout()
}

// suspected reports whether r has timed out or its address refuses connections.
func (s *State) suspected(now time.Time, r row) bool {
	return r.refusing() || s.timedOut(now, r)
}

// isLive reports whether r is listed in [MembersChanged].
func (s *State) isLive(now time.Time, r row) bool {
	return !r.Stopping && !s.suspected(now, r)
}

// compensatePause detects that this process was paused, that is, no event
// arrived for the suspicion timeout. Members that had not timed out before get
// a fresh timeout, because their heartbeats could not be received; for the
// others the pause does not count. All rows become stale, so that they are not
// sent to other entries: those may have forgotten members that died during the
// pause.
func (s *State) compensatePause(now time.Time) {
	before := s.lastUpdate
	s.lastUpdate = now
	gap := now.Sub(before)
	if before.IsZero() || gap < s.suspicionTimeout() {
		return
	}
	for i := range s.rows {
		r := &s.rows[i]
		r.stale = true
		if s.timedOut(before, *r) {
			r.advancedAt = r.advancedAt.Add(gap)
		} else {
			r.advancedAt = now
		}
	}
	for i := range s.replaced {
		s.replaced[i].replacedAt = s.replaced[i].replacedAt.Add(gap)
	}
}

// forget deletes the rows of members that timed out long ago. A replaced
// incarnation is remembered for as long as another entry can hold a row of it.
func (s *State) forget(now time.Time) {
	limit := max(s.Settings.forgetTimeout(), 2*s.suspicionTimeout())
	s.rows = slices.DeleteFunc(s.rows, func(r row) bool {
		expired := now.Sub(r.advancedAt) >= limit
		if expired && !r.Stopping {
			s.forgotten = append(slices.DeleteFunc(s.forgotten, func(a string) bool { return a == r.Member.Address }), r.Member.Address)
		}
		return expired
	})
	s.forgotten = s.forgotten[max(0, len(s.forgotten)-maxForgotten):]
	s.replaced = slices.DeleteFunc(s.replaced, func(r replacedIncarnation) bool { return now.Sub(r.replacedAt) >= 2*limit })
}

// reportChange inserts a [MembersChanged] before cmds if the list of live
// members has changed. It comes first, so that an effect that is carried out
// immediately and leads to the next event cannot overtake it.
func (s *State) reportChange(now time.Time, cmds []Cmd) []Cmd {
	if s.reportedLive != nil && s.liveUnchanged(now) {
		return cmds
	}
	s.reportedLive = s.liveMembers(now)
	return slices.Insert(cmds, 0, Cmd(MembersChanged{Members: slices.Clone(s.reportedLive)}))
}

// liveUnchanged reports whether the live members are those last reported. It
// does not allocate, because it runs on every event.
func (s *State) liveUnchanged(now time.Time) bool {
	n := 0
	matchesNext := func(m messenger.Member) bool {
		n++
		return n <= len(s.reportedLive) && s.reportedLive[n-1] == m
	}
	selfDone := s.stopping
	for _, r := range s.rows {
		if !selfDone && r.Member.Address > s.Self.Address {
			selfDone = true
			if !matchesNext(s.Self) {
				return false
			}
		}
		if s.isLive(now, r) && !matchesNext(r.Member) {
			return false
		}
	}
	if !selfDone && !matchesNext(s.Self) {
		return false
	}
	return n == len(s.reportedLive)
}

// liveMembers returns the live members sorted by address, including this entry
// unless it is stopping.
func (s *State) liveMembers(now time.Time) []messenger.Member {
	list := make([]messenger.Member, 0, len(s.rows)+1)
	for _, r := range s.rows {
		if s.isLive(now, r) {
			list = append(list, r.Member)
		}
	}
	if s.stopping {
		return list
	}
	i, _ := slices.BinarySearchFunc(list, s.Self, func(a, b messenger.Member) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return slices.Insert(list, i, s.Self)
}
