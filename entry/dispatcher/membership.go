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

// first returns the member that ranks first for the service by rendezvous
// hashing: when a member comes or goes, only the services that it ranks first
// for change their broker. Without members it returns self.
func first(service string, members []messenger.Member, self messenger.Member) messenger.Member {
	best, bestRank := self, uint64(0)
	for i, m := range members {
		if r := rank(service, m); i == 0 || r > bestRank {
			best, bestRank = m, r
		}
	}
	return best
}

func rank(service string, m messenger.Member) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
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
	if msg.Waiter == 0 {
		return
	}
	own := messenger.Heartbeat{
		From: s.cfg.Self, FailureDomain: s.cfg.FailureDomain, ConfigVersion: s.present.Version,
	}
	if msg.Heartbeat.FailureDomain == s.cfg.FailureDomain {
		own.Members = s.gossiper.Members()
	}
	s.reply(msg.Waiter, own)
}

func (s *State) membersChanged(now time.Time, members []messenger.Member) {
	s.members = slices.Clone(members)
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

// assign works out the broker of every service again. Every link whose
// services may have changed registers in full.
func (s *State) assign(now time.Time) {
	if !s.settled {
		return
	}
	before := s.brokers
	s.brokers = map[string]messenger.Member{}
	var own []string
	changed := false
	for _, service := range sortedKeys(s.present.Configuration.Services) {
		m := s.brokerOf(service)
		if !s.ownRouting() {
			changed = changed || before[service] != m
		}
		if m == s.cfg.Self {
			own = append(own, service)
		}
	}
	members := s.members
	if s.ownRouting() || len(members) == 0 {
		members = []messenger.Member{s.cfg.Self}
	}
	s.updateBroker(now, broker.Assign{Services: own, Members: members})
	if !changed {
		return
	}
	s.dropLinks()
	for _, service := range sortedKeys(s.brokers) {
		s.linkOf(service).needFull = true
	}
}

// dropLinks forgets links to entries that broker nothing any more. What they
// still had to say is part of the registration with the new broker.
func (s *State) dropLinks() {
	used := map[messenger.Member]bool{}
	for _, m := range s.brokers {
		used[m] = true
	}
	maps.DeleteFunc(s.links, func(_ string, l *link) bool { return !used[l.to] })
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func sortedMembers[V any](m map[messenger.Member]V) []messenger.Member {
	return slices.SortedFunc(maps.Keys(m), func(a, b messenger.Member) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}
