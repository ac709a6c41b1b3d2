package elector

import "time"

func (s *State) tick(now time.Time) {
	s.forget(now)
	if !s.tickedAt.IsZero() && now.Sub(s.tickedAt) >= lateFrom {
		s.patientUntil = now.Add(answerFor)
	}
	s.tickedAt = now
	switch {
	case s.leading:
		s.seek(now)
		s.yieldToStronger(now)
	case s.owner != "":
		s.check(now)
	default:
		s.search(now)
	}
}

// seek calls entries that don't call this owner, and gives up on the jobs of
// those that fell silent.
func (s *State) seek(now time.Time) {
	for _, a := range s.addresses() {
		m := s.members[a]
		if !m.calledAt.IsZero() && now.Sub(m.calledAt) > lostFor && !m.lost && !now.Before(s.patientUntil) {
			m.lost = true
			s.do(Lost{Address: a})
		}
		if now.Sub(m.calledAt) > seekEvery {
			every := seekEvery
			if m.foreign {
				every = forgetFor
			}
			s.ping(now, m, every)
		}
	}
}

func (s *State) check(now time.Time) {
	m := s.members[s.owner]
	if m == nil {
		s.follow(now, "", "it is no longer a member")
		return
	}
	if m.foreign {
		s.follow(now, "", "it belongs to another group")
		return
	}
	if now.Sub(m.answeredAt) > silentFor && !now.Before(s.patientUntil) {
		s.follow(now, "", "it does not answer")
		return
	}
	s.ping(now, m, pingEvery)
}

// search looks for an owner among all entries, and becomes one if there is
// none and no other entry should.
func (s *State) search(now time.Time) {
	for _, a := range s.addresses() {
		every := pingEvery
		if s.members[a].foreign {
			every = seekEvery
		}
		s.ping(now, s.members[a], every)
	}
	if !s.grouped {
		return
	}
	heard, all := s.count(now)
	wait := searchFor
	if now.Sub(s.startedAt) < startFor && (2*heard <= all || all == 1) {
		wait = startFor
	}
	if s.stopping || now.Sub(s.searchSince) < wait || (!s.deposedAt.IsZero() && now.Sub(s.deposedAt) < deposedFor) {
		return
	}
	if s.candidate(now, true) != s.self.Address {
		return
	}
	s.own(now, 2*heard <= all || heard == 1, "no owner was found")
}

func (s *State) ping(now time.Time, m *member, every time.Duration) {
	if m.waiting || now.Sub(m.pingedAt) < every {
		return
	}
	m.pingedAt, m.waiting = now, true
	s.do(Ping{Address: m.Address})
}
