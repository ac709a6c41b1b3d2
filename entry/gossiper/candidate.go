package gossiper

import (
	"slices"
	"time"
)

// otherAddressInterval is the number of rounds per heartbeat to an address
// without a known member, or with a suspected one. Addresses of terminated VMs
// stay in the platform's list for a while and must not cost a message every
// round.
const otherAddressInterval = 4

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
// while it knows no members, or only suspected ones. Some of the addresses may
// belong to terminated VMs; trying them one per round would delay the entry's
// start.
const joinFanOut = 3

// selectPeers returns the addresses for one round of heartbeats: members that
// are not suspected, in turn, and every otherAddressInterval rounds one of the
// other addresses. An entry that knows no such member tries FanOut of the other
// addresses, but at least joinFanOut, or all if there are fewer.
func (s *State) selectPeers(now time.Time) []string {
	unsuspected, others := s.peerAddresses(now)
	if len(unsuspected) == 0 {
		return s.nextInTurn(others, &s.otherQueue, min(max(s.Settings.FanOut, joinFanOut), len(others)))
	}
	otherCount := 0
	if len(others) > 0 && s.rounds%otherAddressInterval == 0 {
		otherCount = 1
	}
	unsuspectedCount := min(len(unsuspected), s.Settings.FanOut-otherCount)
	return append(s.nextInTurn(unsuspected, &s.unsuspectedQueue, unsuspectedCount), s.nextInTurn(others, &s.otherQueue, otherCount)...)
}

// peerAddresses returns the sorted addresses of members that are not suspected,
// and the other addresses worth trying. Until it is suspected, a stopping member
// still gets heartbeats, because it finishes its jobs and must know the other
// members to do so. After that it is not tried again until its row is deleted,
// and then only if its address is still a local candidate or is in forgotten
// because of an earlier member. Other forgotten members are tried too: a network
// partition may separate them from this entry, and the platform may no longer
// list them as candidates.
func (s *State) peerAddresses(now time.Time) (unsuspected, others []string) {
	for _, r := range s.rows {
		switch {
		case !s.suspected(now, r):
			unsuspected = append(unsuspected, r.Member.Address)
		case !r.Stopping:
			others = append(others, r.Member.Address)
		}
	}
	for _, address := range slices.Concat(s.local, s.forgotten) {
		if _, known := s.find(address); !known {
			others = append(others, address)
		}
	}
	slices.Sort(others)
	return unsuspected, slices.Compact(others)
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
