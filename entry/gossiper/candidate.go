package gossiper

import (
	"slices"
	"time"
)

// nonLiveInterval is the number of rounds per heartbeat to an address without a
// live member. Addresses of terminated VMs stay in the platform's list for a while
// and must not cost a message every round.
const nonLiveInterval = 4

// setCandidates stores the candidates sorted, without duplicates and without
// this entry.
func (s *State) setCandidates(c Candidates) {
	normalize := func(list []string) []string {
		list = slices.Clone(list)
		slices.Sort(list)
		list = slices.Compact(list)
		return slices.DeleteFunc(list, func(a string) bool { return a == s.Self.Address })
	}
	s.local, s.remote = normalize(c.Local), normalize(c.Remote)
}

// maxForgotten is the maximum number of addresses in State.forgotten.
const maxForgotten = 32

// joinFanOut is the minimum number of addresses that an entry tries per round
// while it knows no live member. Some of the addresses may belong to terminated
// VMs; trying them one per round would delay the entry's start.
const joinFanOut = 3

// selectPeers returns the addresses for one round of heartbeats: live members
// in turn and, every nonLiveInterval rounds, one address without a live member.
// An entry that knows no live member tries at least joinFanOut addresses without
// one, as far as there are that many.
func (s *State) selectPeers(now time.Time) []string {
	live, nonLive := s.peerAddresses(now)
	if len(live) == 0 {
		return s.nextInTurn(nonLive, &s.nonLiveQueue, min(max(s.Settings.FanOut, joinFanOut), len(nonLive)))
	}
	nonLiveCount := 0
	if len(nonLive) > 0 && s.rounds%nonLiveInterval == 0 {
		nonLiveCount = 1
	}
	liveCount := min(len(live), s.Settings.FanOut-nonLiveCount)
	return append(s.nextInTurn(live, &s.liveQueue, liveCount), s.nextInTurn(nonLive, &s.nonLiveQueue, nonLiveCount)...)
}

// peerAddresses returns the sorted addresses of members that are not suspected,
// and the other addresses worth trying. Until it is suspected, a stopping member
// still gets heartbeats, because it finishes its jobs and must know the other
// members to do so; after that it is not tried again. Forgotten members are
// tried too: a network partition may separate them from this entry, and the
// platform may no longer list them as candidates.
func (s *State) peerAddresses(now time.Time) (live, nonLive []string) {
	for _, r := range s.rows {
		switch {
		case !s.suspected(now, r):
			live = append(live, r.Member.Address)
		case !r.Stopping:
			nonLive = append(nonLive, r.Member.Address)
		}
	}
	for _, address := range slices.Concat(s.local, s.forgotten) {
		if _, known := s.find(address); !known {
			nonLive = append(nonLive, address)
		}
	}
	slices.Sort(nonLive)
	return live, slices.Compact(nonLive)
}

// nextInTurn returns n addresses of the sorted list: those left in queue from
// the previous pass, then a new pass over the list in random order. With the
// same order on all entries, updates would spread along a ring.
func (s *State) nextInTurn(list []string, queue *[]string, n int) []string {
	picked := make([]string, 0, n)
	for len(picked) < n {
		if len(*queue) == 0 {
			*queue = slices.Clone(list)
			s.random.Shuffle(len(list), func(i, j int) { (*queue)[i], (*queue)[j] = (*queue)[j], (*queue)[i] })
		}
		next := (*queue)[0]
		*queue = (*queue)[1:]
		_, known := slices.BinarySearch(list, next)
		if known && !slices.Contains(picked, next) {
			picked = append(picked, next)
		}
	}
	return picked
}
