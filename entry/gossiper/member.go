package gossiper

import (
	"slices"
	"strings"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// row is another member as this entry sees it.
type row struct {
	messenger.MemberState
	// moved is the time at which the member moved its counter, as far as the
	// ages in heartbeats tell, and told the number of entries that were told of
	// it in full rows. AgeMs is unused here.
	moved time.Time
	told  int
	// digest is that of the last heartbeat that came from the member itself.
	digest uint32
	// stale is set from a pause of this process until the counter moves.
	stale bool
	// refusals counts refused connections since the last heartbeat from the
	// member itself; refused is the time of the last one that counted, and
	// probed the time at which another entry's doubt was last looked into.
	refusals int
	refused  time.Time
	probed   time.Time
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
		s.rows = slices.Insert(s.rows, i, newRow(now, in))
		return
	}
	r := &s.rows[i]
	if r.Member.Incarnation != in.Member.Incarnation {
		// Incarnations have no order. A row that was passed on may be older than
		// the present one, so it counts only against a member that is not heard.
		if direct {
			s.replaced = append(s.replaced, replacedMember{member: r.Member, at: now})
		} else if !s.unheard(now, *r) {
			return
		}
		*r = newRow(now, in)
		return
	}
	r.move(now, in.Counter, in.AgeMs)
	if direct {
		r.refusals = 0
	}
	if in.Stopping && !r.Stopping {
		r.Stopping, r.told = true, 0
	}
}

func newRow(now time.Time, in messenger.MemberState) row {
	r := row{MemberState: in, moved: since(now, in.AgeMs)}
	r.AgeMs = 0
	return r
}

// move takes over a counter if it is higher. The time at which it moved does
// not go back: a heartbeat that was long on its way makes ages too small.
func (r *row) move(now time.Time, counter uint64, ageMs int64) {
	if counter <= r.Counter {
		return
	}
	r.Counter, r.told, r.stale = counter, 0, false
	if moved := since(now, ageMs); moved.After(r.moved) {
		r.moved = moved
	}
}

// maxAgeMs bounds ages from other entries.
const maxAgeMs = 3_600_000

func since(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(min(max(ageMs, 0), maxAgeMs)) * time.Millisecond)
}

// state returns the row for a heartbeat at the time now.
func (r *row) state(now time.Time) messenger.MemberState {
	m := r.MemberState
	m.AgeMs = max(0, now.Sub(r.moved).Milliseconds())
	return m
}

func (s *State) isReplaced(m messenger.Member) bool {
	return slices.ContainsFunc(s.replaced, func(r replacedMember) bool { return r.member == m })
}
