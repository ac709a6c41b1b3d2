package dispatcher

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// highestRanked returns the member with the highest rendezvous hash for the
// failure domain. The result changes only if that member leaves or one with a
// higher hash joins. Without members it returns self.
func highestRanked(domain string, members []messenger.Member, self messenger.Member) messenger.Member {
	best, bestRank := self, uint64(0)
	for i, m := range members {
		if r := rendezvousRank(domain, m); i == 0 || r > bestRank {
			best, bestRank = m, r
		}
	}
	return best
}

func rendezvousRank(domain string, m messenger.Member) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(domain))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(m.Address))
	// FNV hashes of similar inputs are close together; this finalizer spreads
	// them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// updateGossiper passes an event to the gossiper and executes the commands it
// returns.
func (s *State) updateGossiper(now time.Time, msg gossiper.Msg) {
	for _, cmd := range s.gossiper.Update(now, msg) {
		switch cmd := cmd.(type) {
		case gossiper.SendHeartbeat:
			s.emit(Count{Group: "message", Reason: "heartbeat"})
			s.emit(Beat{Address: cmd.Address, Heartbeat: cmd.Heartbeat})
		case gossiper.MembersChanged:
			s.membersChanged(now, cmd.Members)
		case gossiper.NewerConfiguration:
			s.emit(FetchConfiguration{Address: cmd.Address})
		}
	}
}

func (s *State) handleHeard(now time.Time, msg Heard) {
	s.updateGossiper(now, gossiper.HeartbeatReceived{Heartbeat: msg.Heartbeat})
	if msg.Waiter != 0 {
		s.reply(msg.Waiter, s.gossiper.Reply(now, msg.Heartbeat))
	}
}

func (s *State) membersChanged(now time.Time, members []messenger.Member) {
	s.members = slices.Clone(members)
	s.fetchVMsFromPeer()
	if len(members) > 1 {
		s.discovered = true
	}
	for to := range s.grantSenders {
		if !s.isLive(to) {
			delete(s.grantSenders, to)
		}
	}
	s.reassignBroker(now)
}

func (s *State) isLive(m messenger.Member) bool { return slices.Contains(s.members, m) }

// reassignBroker selects the broker of the failure domain and tells this
// entry's own broker which services it is responsible for. One broker serves
// all services, because a team's quota covers all of them together.
func (s *State) reassignBroker(now time.Time) {
	if !s.discovered {
		return
	}
	members := s.members
	if s.usesLocalRouting() || len(members) == 0 {
		members = []messenger.Member{s.cfg.Self}
	}
	s.setBroker(highestRanked(s.cfg.FailureDomain, members, s.cfg.Self))
	var ownServices []string
	if s.selfIsBroker() {
		ownServices = sortedKeys(s.active.Configuration.Services)
	}
	s.updateBroker(now, broker.ServicesAssigned{Services: ownServices, Members: members})
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func sortedMembers[V any](m map[messenger.Member]V) []messenger.Member {
	return slices.SortedFunc(maps.Keys(m), func(a, b messenger.Member) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}
