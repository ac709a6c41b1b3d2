package gossiper

import (
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// silent reports whether the counter of r has not moved for the time of
// suspicion.
func (s *State) silent(now time.Time, r row) bool {
	return now.Sub(r.moved) >= s.suspicion()
}

// unheard reports whether r is silent or its address refuses connections.
func (s *State) unheard(now time.Time, r row) bool {
	return r.gone() || s.silent(now, r)
}

func (s *State) isLive(now time.Time, r row) bool {
	return !r.Stopping && !s.unheard(now, r)
}

// excusePause notices that this process was paused: no event came for longer
// than the time of suspicion. Members that were not silent before get a fresh
// period, because their heartbeats could not be taken; for the others the
// pause does not count. What was known before the pause is not passed on:
// others may have forgotten members that died meanwhile.
func (s *State) excusePause(now time.Time) {
	before := s.updated
	s.updated = now
	gap := now.Sub(before)
	if before.IsZero() || gap < s.suspicion() {
		return
	}
	for i := range s.rows {
		r := &s.rows[i]
		r.stale = true
		if s.silent(before, *r) {
			r.moved = r.moved.Add(gap)
		} else {
			r.moved = now
		}
	}
	for i := range s.replaced {
		s.replaced[i].at = s.replaced[i].at.Add(gap)
	}
}

// forget drops members that have been silent for long. A replaced incarnation
// is remembered for as long as a row of it can be in another entry.
func (s *State) forget(now time.Time) {
	limit := max(s.Settings.forget(), 2*s.suspicion())
	s.rows = slices.DeleteFunc(s.rows, func(r row) bool {
		old := now.Sub(r.moved) >= limit
		if old && !r.Stopping {
			s.former = append(slices.DeleteFunc(s.former, func(a string) bool { return a == r.Member.Address }), r.Member.Address)
		}
		return old
	})
	s.former = s.former[max(0, len(s.former)-maxFormer):]
	s.replaced = slices.DeleteFunc(s.replaced, func(r replacedMember) bool { return now.Sub(r.at) >= 2*limit })
}

// reportChange puts a Changed before cmds if the list of live members is
// another than before. It comes first, so that an effect that is carried out at
// once and leads to the next event can't overtake it.
func (s *State) reportChange(now time.Time, cmds []Cmd) []Cmd {
	if s.live != nil && s.sameLive(now) {
		return cmds
	}
	s.live = s.listLive(now)
	return slices.Insert(cmds, 0, Cmd(Changed{Members: slices.Clone(s.live)}))
}

// sameLive compares without allocating, because it runs for every event.
func (s *State) sameLive(now time.Time) bool {
	n := 0
	same := func(m messenger.Member) bool {
		n++
		return n <= len(s.live) && s.live[n-1] == m
	}
	ownDone := s.stopping
	for _, r := range s.rows {
		if !ownDone && r.Member.Address > s.Self.Address {
			ownDone = true
			if !same(s.Self) {
				return false
			}
		}
		if s.isLive(now, r) && !same(r.Member) {
			return false
		}
	}
	if !ownDone && !same(s.Self) {
		return false
	}
	return n == len(s.live)
}

func (s *State) listLive(now time.Time) []messenger.Member {
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
