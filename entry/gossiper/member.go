package gossiper

import (
	"slices"
	"strings"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// row is this entry's view of another member.
type row struct {
	messenger.MemberState
	// advancedAt is the time at which the member advanced its counter, derived
	// from the ages in heartbeats; AgeMs is unused here. transmits is the
	// number of full rows sent since then.
	advancedAt time.Time
	transmits  int
	// digest is the digest of the last heartbeat received from the member
	// itself.
	digest uint32
	// stale is set by a pause of this process and cleared when the counter
	// advances.
	stale bool
	// refusals counts consecutive refused connections since the last heartbeat
	// from the member itself, refusedAt is the time of the last counted one,
	// and probedAt is the time at which a refusal reported by another entry was
	// last checked.
	refusals  int
	refusedAt time.Time
	probedAt  time.Time
}

// replacedIncarnation is an incarnation whose address was taken over by another
// one. Rows of it that are still circulating must not bring it back.
type replacedIncarnation struct {
	member     messenger.Member
	replacedAt time.Time
}

// find returns the index of the row for the given address, or the index at
// which it would be inserted.
func (s *State) find(address string) (int, bool) {
	return slices.BinarySearchFunc(s.rows, address, func(r row, a string) int {
		return strings.Compare(r.Member.Address, a)
	})
}

// merge applies what a heartbeat says about one member. direct is set for the
// sender's own row, which proves that its incarnation is now at its address.
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
		// Incarnations have no order. A relayed row may be older than the
		// current one, so it only replaces a suspected member.
		if direct {
			s.replaced = append(s.replaced, replacedIncarnation{member: r.Member, replacedAt: now})
		} else if !s.suspected(now, *r) {
			return
		}
		*r = newRow(now, in)
		return
	}
	r.advance(now, in.Counter, in.AgeMs)
	if direct {
		r.refusals = 0
	}
	if in.Stopping && !r.Stopping {
		r.Stopping, r.transmits = true, 0
	}
}

func newRow(now time.Time, in messenger.MemberState) row {
	r := row{MemberState: in, advancedAt: timeOfAge(now, in.AgeMs)}
	r.AgeMs = 0
	return r
}

// advance applies a counter if it is higher than the known one. advancedAt
// never goes back: the ages in a delayed heartbeat are too small, so a later
// heartbeat can yield an earlier time.
func (r *row) advance(now time.Time, counter uint64, ageMs int64) {
	if counter <= r.Counter {
		return
	}
	r.Counter, r.transmits, r.stale = counter, 0, false
	if advancedAt := timeOfAge(now, ageMs); advancedAt.After(r.advancedAt) {
		r.advancedAt = advancedAt
	}
}

// maxAgeMs caps ages received from other entries.
const maxAgeMs = 3_600_000

func timeOfAge(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(min(max(ageMs, 0), maxAgeMs)) * time.Millisecond)
}

// withAge returns the row for a heartbeat sent at time now.
func (r *row) withAge(now time.Time) messenger.MemberState {
	m := r.MemberState
	m.AgeMs = max(0, now.Sub(r.advancedAt).Milliseconds())
	return m
}

func (s *State) isReplaced(m messenger.Member) bool {
	return slices.ContainsFunc(s.replaced, func(r replacedIncarnation) bool { return r.member == m })
}
