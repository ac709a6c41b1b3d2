package gossiper

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// eachSpoken calls f with the own row and those of members that are not silent
// in the order of their addresses: the set that a digest stands for. A member
// whose address refuses connections here belongs to it until its counter stands
// still, because the connection may be refused only here.
func (s *State) eachSpoken(now time.Time, f func(r *row)) {
	own := row{MemberState: s.own()}
	ownDone := false
	for i := range s.rows {
		r := &s.rows[i]
		if !ownDone && r.Member.Address > s.Self.Address {
			ownDone = true
			f(&own)
		}
		if !s.silent(now, *r) {
			f(r)
		}
	}
	if !ownDone {
		f(&own)
	}
}

// digest identifies the set of members that are not silent. Two entries with
// the same digest can exchange counters without names.
func (s *State) digest(now time.Time) uint32 {
	h := fnv.New32a()
	var text []byte
	s.eachSpoken(now, func(r *row) {
		text = append(append(text[:0], r.Member.Address...), ' ')
		text = strconv.AppendUint(text, r.Member.Incarnation, 16)
		text = strconv.AppendBool(text, r.Stopping)
		_, _ = h.Write(text)
	})
	return h.Sum32()
}

// compact returns a heartbeat with counters but without names, for the entry
// at address, which has the same digest. Counters in has are those that it
// sent; only higher ones are worth a reply.
func (s *State) compact(now time.Time, address string, has []uint64) messenger.Heartbeat {
	h := s.inDomain(now)
	s.eachSpoken(now, func(r *row) {
		if r.Member.Address == s.Self.Address || r.Member.Address == address {
			return
		}
		counter := r.Counter
		if i := len(h.Counters); i < len(has) && has[i] >= counter {
			counter = 0
		}
		h.Counters = append(h.Counters, counter)
		if counter > 0 {
			h.AgesMs = append(h.AgesMs, r.state(now).AgeMs)
		}
	})
	if len(h.AgesMs) == 0 {
		h.Counters = nil
	}
	return h
}

// hearCounters takes over the counters of a compact heartbeat. They have a
// meaning only if the sender's set of members is the own one.
func (s *State) hearCounters(now time.Time, h messenger.Heartbeat) {
	if i, known := s.find(h.From.Address); known && s.rows[i].Member == h.From {
		s.rows[i].digest = h.Digest
	}
	if len(h.Counters) == 0 || h.Digest != s.digest(now) {
		return
	}
	counters, ages := h.Counters, h.AgesMs
	var rows []*row
	s.eachSpoken(now, func(r *row) {
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
		r.move(now, counters[i], ages[0])
		ages = ages[1:]
	}
}

// inDomain returns what every heartbeat within the failure domain has.
func (s *State) inDomain(now time.Time) messenger.Heartbeat {
	h := s.head()
	h.Digest = s.digest(now)
	h.Members = append(h.Members, s.own())
	h.Refused = s.tellRefused(now)
	return h
}
