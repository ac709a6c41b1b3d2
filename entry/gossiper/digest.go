package gossiper

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// forEachActive calls f in address order with the rows of this entry and of the
// other active members, which is the set covered by the digest. A member whose
// address refuses connections from this entry stays active until its counter
// times out, because other entries may still reach it.
func (s *State) forEachActive(now time.Time, f func(r *row)) {
	self := row{MemberState: s.selfState()}
	selfDone := false
	for i := range s.rows {
		r := &s.rows[i]
		if !selfDone && r.Member.Address > s.Self.Address {
			selfDone = true
			f(&self)
		}
		if !s.timedOut(now, *r) {
			f(r)
		}
	}
	if !selfDone {
		f(&self)
	}
}

// digest returns a hash of the addresses, incarnations and stopping states of
// the active members. Two entries with the same digest can exchange counters by
// position, without naming the members.
func (s *State) digest(now time.Time) uint32 {
	h := fnv.New32a()
	var text []byte
	s.forEachActive(now, func(r *row) {
		text = append(append(text[:0], r.Member.Address...), ' ')
		text = strconv.AppendUint(text, r.Member.Incarnation, 16)
		text = strconv.AppendBool(text, r.Stopping)
		_, _ = h.Write(text)
	})
	return h.Sum32()
}

// compactHeartbeat returns a heartbeat with counters but without member names,
// for the entry at address, which has the same digest. If it is a reply, has
// holds the counters of the heartbeat that it answers; a counter that is not
// higher than the one in has is replaced by 0.
func (s *State) compactHeartbeat(now time.Time, address string, has []uint64) messenger.Heartbeat {
	h := s.domainHeartbeat(now)
	s.forEachActive(now, func(r *row) {
		if r.Member.Address == s.Self.Address || r.Member.Address == address {
			return
		}
		counter := r.Counter
		if i := len(h.Counters); i < len(has) && has[i] >= counter {
			counter = 0
		}
		h.Counters = append(h.Counters, counter)
		if counter > 0 {
			h.AgesMs = append(h.AgesMs, r.withAge(now).AgeMs)
		}
	})
	if len(h.AgesMs) == 0 {
		h.Counters = nil
	}
	return h
}

// mergeCounters applies the counters of a compact heartbeat. Position i stands
// for the same member at the sender and here only if both have the same set of
// active members, so the counters are ignored if the digests differ.
func (s *State) mergeCounters(now time.Time, h messenger.Heartbeat) {
	if i, known := s.find(h.From.Address); known && s.rows[i].Member == h.From {
		s.rows[i].digest = h.Digest
	}
	if len(h.Counters) == 0 || h.Digest != s.digest(now) {
		return
	}
	counters, ages := h.Counters, h.AgesMs
	var rows []*row
	s.forEachActive(now, func(r *row) {
		if r.Member.Address != s.Self.Address && r.Member.Address != h.From.Address {
			rows = append(rows, r)
		}
	})
	for i, r := range rows[:min(len(rows), len(counters))] {
		if counters[i] == 0 {
			continue
		}
		if len(ages) == 0 {
			return
		}
		r.advance(now, counters[i], ages[0])
		ages = ages[1:]
	}
}

// domainHeartbeat returns the fields common to all heartbeats within the
// failure domain.
func (s *State) domainHeartbeat(now time.Time) messenger.Heartbeat {
	h := s.baseHeartbeat()
	h.Digest = s.digest(now)
	h.Members = append(h.Members, s.selfState())
	h.Refused = s.recentRefusals(now)
	return h
}
