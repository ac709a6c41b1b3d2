package gossiper

import (
	"slices"
	"strings"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// row is one member as this entry sees it.
type row struct {
	messenger.MemberState
	// advancedAt is the time at which the member advanced its counter, derived
	// from the ages in heartbeats; AgeMs is unused here. transmits is the
	// number of full heartbeats that contained the row since then.
	advancedAt time.Time
	transmits  int
	// digest is the digest of the last heartbeat received from the member
	// itself.
	digest uint32
	// stale is set after a pause of this process and cleared when the counter
	// advances. A stale row dates from before the pause and is not sent to
	// other entries.
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
// one. Other entries may still send rows of it, which must not make it a member
// again.
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

// merge applies a row of a heartbeat. direct is set if the row is the sender's
// own, which proves that the sender's incarnation now runs at that address.
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
		// Incarnations are random numbers and have no order. A relayed row may
		// describe an incarnation older than the known one, so it only replaces
		// a suspected member.
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
// never goes back: ages do not include the time that a heartbeat spends in
// transit, so a delayed heartbeat yields a time that is too late, and the next
// one may yield an earlier time for a higher counter.
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

// timeOfAge returns the time at which a counter of the given age advanced.
func timeOfAge(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(min(max(ageMs, 0), maxAgeMs)) * time.Millisecond)
}

// withAge returns the row for a heartbeat sent at time now.
func (r *row) withAge(now time.Time) messenger.MemberState {
	m := r.MemberState
	m.AgeMs = max(0, now.Sub(r.advancedAt).Milliseconds())
	return m
}

// isReplaced reports whether another incarnation took over the address of m.
func (s *State) isReplaced(m messenger.Member) bool {
	return slices.ContainsFunc(s.replaced, func(r replacedIncarnation) bool { return r.member == m })
}
