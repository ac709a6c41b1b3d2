package gossiper

import (
	"slices"
	"strings"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// row is another member, the time at which its counter last moved here, and
// the number of entries that were told of that counter since.
type row struct {
	messenger.MemberState
	moved time.Time
	told  int
}

// replacedMember is an incarnation whose address was taken over by another
// one. Rows of it that are still going round must not bring it back.
type replacedMember struct {
	member messenger.Member
	at     time.Time
}

// find returns the index of the row with the given address, or the index at
// which it belongs.
func (s *State) find(address string) (int, bool) {
	return slices.BinarySearchFunc(s.rows, address, func(r row, a string) int {
		return strings.Compare(r.Member.Address, a)
	})
}

// merge takes over what a heartbeat says of one member. Direct is set for the
// sender's own row, which proves that its incarnation is at its address now.
func (s *State) merge(now time.Time, in messenger.MemberState, direct bool) {
	if in.Member.Address == s.Self.Address || s.isReplaced(in.Member) {
		return
	}
	i, known := s.find(in.Member.Address)
	if !known {
		s.rows = slices.Insert(s.rows, i, row{MemberState: in, moved: now})
		return
	}
	r := &s.rows[i]
	if r.Member.Incarnation != in.Member.Incarnation {
		// Incarnations have no order. A row that was passed on may be older than
		// the present one, so it counts only against a member that is silent.
		if direct {
			s.replaced = append(s.replaced, replacedMember{member: r.Member, at: now})
		} else if !s.silent(now, *r) {
			return
		}
		*r = row{MemberState: in, moved: now}
		return
	}
	if in.Counter > r.Counter {
		r.Counter, r.moved, r.told = in.Counter, now, 0
	}
	if in.Stopping && !r.Stopping {
		r.Stopping, r.told = true, 0
	}
}

func (s *State) isReplaced(m messenger.Member) bool {
	return slices.ContainsFunc(s.replaced, func(r replacedMember) bool { return r.member == m })
}
