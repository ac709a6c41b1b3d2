package elector

import "time"

func (s *State) tick(now time.Time) {
	s.removeExpired(now)
	if !s.lastTickAt.IsZero() && now.Sub(s.lastTickAt) >= lateTickThreshold {
		s.graceUntil = now.Add(lateTickGrace)
	}
	s.lastTickAt = now
	switch {
	case s.isOwner:
		s.probeEntries(now)
		s.handOverToStronger(now)
	case s.owner != "":
		s.checkOwner(now)
	default:
		s.searchOwner(now)
	}
}

// probeEntries pings entries that do not ping this owner, and reports entries
// that have stopped pinging it, so that their jobs are cancelled.
func (s *State) probeEntries(now time.Time) {
	for _, a := range s.addresses() {
		m := s.members[a]
		if !m.pingReceivedAt.IsZero() && now.Sub(m.pingReceivedAt) > entryTimeout && !m.timedOut && !now.Before(s.graceUntil) {
			m.timedOut = true
			s.emit(EntryLost{Address: a})
		}
		if now.Sub(m.pingReceivedAt) > discoveryInterval {
			interval := discoveryInterval
			if m.otherGroup {
				interval = membershipTimeout
			}
			s.ping(now, m, interval)
		}
	}
}

func (s *State) checkOwner(now time.Time) {
	m := s.members[s.owner]
	if m == nil {
		s.setOwner(now, "", "the owner is no longer a known entry")
		return
	}
	if m.otherGroup {
		s.setOwner(now, "", "the owner belongs to another worker group")
		return
	}
	if now.Sub(m.replyReceivedAt) > ownerTimeout && !now.Before(s.graceUntil) {
		s.setOwner(now, "", "the owner does not answer pings")
		return
	}
	s.ping(now, m, pingInterval)
}

// searchOwner pings all entries to find an owner. It claims ownership if none
// is found and this entry is the best candidate.
func (s *State) searchOwner(now time.Time) {
	for _, a := range s.addresses() {
		interval := pingInterval
		if s.members[a].otherGroup {
			interval = discoveryInterval
		}
		s.ping(now, s.members[a], interval)
	}
	if !s.groupAssigned {
		return
	}
	heard, known := s.countMembers(now)
	wait := searchWait
	if now.Sub(s.startedAt) < startupWait && (2*heard <= known || known == 1) {
		wait = startupWait
	}
	if s.draining || now.Sub(s.searchSince) < wait || (!s.steppedDownAt.IsZero() && now.Sub(s.steppedDownAt) < stepDownBackoff) {
		return
	}
	if s.bestCandidate(now, true) != s.self.Address {
		return
	}
	s.claim(now, 2*heard <= known || heard == 1, "no owner was found")
}

func (s *State) ping(now time.Time, m *member, minInterval time.Duration) {
	if m.pingPending || now.Sub(m.pingSentAt) < minInterval {
		return
	}
	m.pingSentAt, m.pingPending = now, true
	s.emit(Ping{Address: m.Address})
}
