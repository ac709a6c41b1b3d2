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

// contacts returns the addresses for one round of heartbeats: live members by
// turns and, now and then, an address at which nobody is live. An entry that
// knows no live member tries only those.
func (s *State) contacts(now time.Time) []string {
	live, rest := s.addresses(now)
	if len(live) == 0 {
		return s.takeTurns(rest, &s.turnRest, min(s.Settings.FanOut, len(rest)))
	}
	fromRest := 0
	if len(rest) > 0 && s.rounds%restEvery == 0 {
		fromRest = 1
	}
	fromLive := min(s.fanOut(len(live)+1), len(live), s.Settings.FanOut-fromRest)
	return append(s.takeTurns(live, &s.turnLive, fromLive), s.takeTurns(rest, &s.turnRest, fromRest)...)
}

// fanOut returns the number of live members to contact in a round, in a domain
// of n members. Up to 4 members one is enough to see every counter move well
// within the time of suspicion, and keeps within 4 KB/s; larger domains need
// more, up to the setting.
func (s *State) fanOut(n int) int {
	const membersPerContact = 4
	return min(s.Settings.FanOut, (n+membersPerContact-1)/membersPerContact)
}

// addresses returns the sorted addresses of members that are not silent, and
// the other ones worth a try. A stopping member still finishes work and needs
// to know who is live; once it is silent, it is gone.
func (s *State) addresses(now time.Time) (live, rest []string) {
	for _, r := range s.rows {
		switch {
		case !s.silent(now, r):
			live = append(live, r.Member.Address)
		case !r.Stopping:
			rest = append(rest, r.Member.Address)
		}
	}
	for _, address := range s.local {
		if _, known := s.find(address); !known {
			rest = append(rest, address)
		}
	}
	slices.Sort(rest)
	return live, rest
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
