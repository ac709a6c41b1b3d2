package gossiper

import (
	"slices"
	"time"
)

// restEvery is the number of rounds in which one heartbeat goes to an address
// without a live member. Addresses of VMs that are gone stay in the platform's
// list for a while and must not cost a message each round.
const restEvery = 4

func (s *State) setCandidates(c Candidates) {
	clean := func(list []string) []string {
		list = slices.Clone(list)
		slices.Sort(list)
		list = slices.Compact(list)
		return slices.DeleteFunc(list, func(a string) bool { return a == s.Self.Address })
	}
	s.local, s.remote = clean(c.Local), clean(c.Remote)
}

// maxFormer bounds the addresses of forgotten members that are kept.
const maxFormer = 32

// aloneFanOut is the number of addresses that an entry tries in a round while
// it knows no live member, so that addresses of VMs that are gone do not delay
// its start.
const aloneFanOut = 3

// contacts returns the addresses for one round of heartbeats: live members by
// turns and, now and then, an address at which nobody is live. An entry that
// knows no live member tries only those.
func (s *State) contacts(now time.Time) []string {
	live, rest := s.addresses(now)
	if len(live) == 0 {
		return s.takeTurns(rest, &s.turnRest, min(max(s.Settings.FanOut, aloneFanOut), len(rest)))
	}
	fromRest := 0
	if len(rest) > 0 && s.rounds%restEvery == 0 {
		fromRest = 1
	}
	fromLive := min(len(live), s.Settings.FanOut-fromRest)
	return append(s.takeTurns(live, &s.turnLive, fromLive), s.takeTurns(rest, &s.turnRest, fromRest)...)
}

// addresses returns the sorted addresses of members that are heard, and the
// other ones worth a try. A stopping member still finishes work and needs to
// know who is live; once it is silent, it is gone. Forgotten members are tried
// as well: they may be behind a partition and in no list of candidates.
func (s *State) addresses(now time.Time) (live, rest []string) {
	for _, r := range s.rows {
		switch {
		case !s.unheard(now, r):
			live = append(live, r.Member.Address)
		case !r.Stopping:
			rest = append(rest, r.Member.Address)
		}
	}
	for _, address := range slices.Concat(s.local, s.former) {
		if _, known := s.find(address); !known {
			rest = append(rest, address)
		}
	}
	slices.Sort(rest)
	return live, slices.Compact(rest)
}

// takeTurns returns n of the addresses in the sorted list: those that remain
// of the turn before, then a new turn through all of them in a random order.
// With the same order in all entries, news would spread along a ring.
func (s *State) takeTurns(list []string, turn *[]string, n int) []string {
	taken := make([]string, 0, n)
	for len(taken) < n {
		if len(*turn) == 0 {
			*turn = slices.Clone(list)
			s.random.Shuffle(len(list), func(i, j int) { (*turn)[i], (*turn)[j] = (*turn)[j], (*turn)[i] })
		}
		next := (*turn)[0]
		*turn = (*turn)[1:]
		_, known := slices.BinarySearch(list, next)
		if known && !slices.Contains(taken, next) {
			taken = append(taken, next)
		}
	}
	return taken
}
