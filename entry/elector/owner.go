package elector

import "time"

// join changes the group of this entry.
func (s *State) join(now time.Time, group string) {
	if s.grouped && s.group == group {
		return
	}
	if s.leading {
		s.disown(now, false, "the workers are grouped in another way")
	}
	s.group, s.grouped = group, true
	s.startedAt, s.searchSince = now, now
	s.follow(now, "", "the workers are grouped in another way")
	for _, m := range s.members {
		m.foreign = m.view.Group != "" && m.view.Group != group
	}
}

// judge draws the conclusions from what another entry says.
func (s *State) judge(now time.Time, m *member) {
	v := m.view
	if m.Address == s.self.Address || m.foreign {
		return
	}
	owns := v.Owner == m.Address && v.Term != 0
	switch {
	case owns && s.leading && !s.stopping && (v.Term < s.term || (v.Term == s.term && m.Address < s.self.Address)):
		s.successor = m.Address
		s.disown(now, true, "an older owner was found")
		s.follow(now, m.Address, "an older owner was found")
	case owns && !s.leading && (s.owner == "" || s.owner == s.self.Address):
		s.follow(now, m.Address, "it owns the workers")
	case !owns && s.owner == m.Address && v.Successor == s.self.Address && !s.stopping:
		s.own(now, false, "the owner stops and named this entry")
	case !owns && s.owner == m.Address && v.Successor != "" && v.Successor != s.self.Address:
		s.follow(now, v.Successor, "the owner stops and named it")
	case !owns && s.owner == m.Address:
		s.follow(now, "", "it no longer owns the workers")
	}
}

// disown gives the workers up.
func (s *State) disown(now time.Time, moved bool, reason string) {
	s.leading, s.term, s.searchSince = false, 0, now
	s.do(Disown{Moved: moved, Reason: reason})
}

func (s *State) follow(now time.Time, address, reason string) {
	if address == s.owner {
		return
	}
	s.do(OwnerChanged{Address: address, Before: s.owner, Reason: reason})
	s.owner = address
	if address == "" {
		s.searchSince = now
	} else if m := s.members[address]; m != nil {
		// The new owner has a full period to answer.
		m.answeredAt = now
	}
}

func (s *State) own(now time.Time, contested bool, reason string) {
	s.leading, s.successor, s.ownedAt, s.contested = true, "", now, contested
	s.term = max(s.wallMs, 1)
	heard, known := s.count(now)
	s.do(Own{WallMs: s.wallMs, Contested: contested, Heard: heard, Known: known})
	s.follow(now, s.self.Address, reason)
	// Entries that are about to become owners too learn of this one.
	for _, a := range s.addresses() {
		s.ping(now, s.members[a], 0)
	}
}

func (s *State) unanswered(now time.Time, msg Unanswered) {
	m := s.members[msg.Address]
	if m == nil {
		return
	}
	m.waiting = false
	if !msg.Refused {
		return
	}
	m.refusedAt = now
	if s.owner == m.Address {
		s.follow(now, "", "its address refuses connections")
	}
}

// deposed handles the loss of a worker to another owner: an owner that most
// others follow claims it back, any other steps down.
func (s *State) deposed(now time.Time) {
	if !s.leading {
		return
	}
	// The two owners have to meet, or they take workers in turns until one calls
	// the other by chance.
	for _, a := range s.addresses() {
		s.ping(now, s.members[a], pingEvery)
	}
	heard, all := s.count(now)
	// The others call a new owner only after they have heard of it.
	fresh := !s.contested && now.Sub(s.ownedAt) < hearFor
	// Of two halves only the one with the former owner claims back.
	most := 2*heard > all || (2*heard == all && !s.contested)
	if fresh || (most && heard > 1) {
		if now.Sub(s.reclaimedAt) >= reclaimEvery {
			s.reclaimedAt = now
			s.do(Own{WallMs: s.wallMs})
		}
		return
	}
	s.deposedAt = now
	s.disown(now, true, "another entry owns the workers")
	s.follow(now, "", "another entry owns the workers")
}

func (s *State) drain(now time.Time) {
	s.stopping = true
	if s.leading {
		s.handOver(now, s.candidate(now, false), "this entry stops")
	}
}

// handOver gives the workers to another entry in good order.
func (s *State) handOver(now time.Time, next, reason string) {
	if next == "" {
		return
	}
	s.successor = next
	s.disown(now, true, reason)
	s.do(Ping{Address: next})
	s.follow(now, next, reason)
}

// yieldToStronger hands the workers to an entry with far more processor time:
// a weak owner runs behind when load is high.
func (s *State) yieldToStronger(now time.Time) {
	if now.Sub(s.ownedAt) < settleFor {
		return
	}
	next := s.members[s.candidate(now, false)]
	if next != nil && next.CPU > strongerFactor*s.self.CPU && next.view.Owner == s.self.Address {
		s.handOver(now, next.Address, "a stronger entry takes over")
	}
}

// resumed drops all beliefs after the process stood still. An owner gives the
// workers up. Any other entry keeps its owner, since jobs that it passed on go
// on there, if that owner answers at once.
func (s *State) resumed(now time.Time) {
	if s.leading {
		s.disown(now, false, "the process stood still")
		s.follow(now, "", "the process stood still")
	}
	for _, m := range s.members {
		m.calledAt, m.answeredAt, m.pingedAt, m.waiting = time.Time{}, time.Time{}, time.Time{}, false
	}
	s.startedAt, s.searchSince, s.patientUntil = now, now, now.Add(answerFor)
}
