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

// first returns the member that ranks first in the failure domain by rendezvous
// hashing: it changes only if that member goes, or a new one ranks higher.
// Without members it returns self.
func first(domain string, members []messenger.Member, self messenger.Member) messenger.Member {
	best, bestRank := self, uint64(0)
	for i, m := range members {
		if r := rank(domain, m); i == 0 || r > bestRank {
			best, bestRank = m, r
		}
	}
	return best
}

func rank(domain string, m messenger.Member) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(domain))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(m.Address))
	// FNV leaves similar inputs close together; this finalizer spreads them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// updateGossiper passes an event to the membership and handles its commands.
func (s *State) updateGossiper(now time.Time, msg gossiper.Msg) {
	for _, cmd := range s.gossiper.Update(now, msg) {
		switch cmd := cmd.(type) {
		case gossiper.Beat:
			s.emit(Count{Group: "message", Reason: "heartbeat"})
			s.emit(Beat{Address: cmd.Address, Heartbeat: cmd.Heartbeat})
		case gossiper.Changed:
			s.membersChanged(now, cmd.Members)
		case gossiper.Newer:
			s.emit(FetchConfiguration{Address: cmd.Address})
		}
	}
}

func (s *State) heard(now time.Time, msg Heard) {
	s.updateGossiper(now, gossiper.Heard{Heartbeat: msg.Heartbeat})
	if msg.Waiter != 0 {
		s.reply(msg.Waiter, s.gossiper.Reply(now, msg.Heartbeat))
	}
}

func (s *State) membersChanged(now time.Time, members []messenger.Member) {
	s.members = slices.Clone(members)
	s.askVMs()
	if len(members) > 1 {
		s.settled = true
	}
	for to := range s.senders {
		if !s.live(to) {
			delete(s.senders, to)
		}
	}
	s.assign(now)
}

func (s *State) live(m messenger.Member) bool { return slices.Contains(s.members, m) }

// assign works out the broker of the failure domain again and tells the own
// one what it is the broker of. One broker has all services, because the quota
// of a team holds for all of them together.
func (s *State) assign(now time.Time) {
	if !s.settled {
		return
	}
	members := s.members
	if s.ownRouting() || len(members) == 0 {
		members = []messenger.Member{s.cfg.Self}
	}
	s.connect(first(s.cfg.FailureDomain, members, s.cfg.Self))
	var own []string
	if s.toSelf() {
		own = sortedKeys(s.present.Configuration.Services)
	}
	s.updateBroker(now, broker.Assign{Services: own, Members: members})
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func sortedMembers[V any](m map[messenger.Member]V) []messenger.Member {
	return slices.SortedFunc(maps.Keys(m), func(a, b messenger.Member) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}
