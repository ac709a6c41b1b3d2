package elector

import (
	"slices"
	"time"
)

func (s *State) tick(now time.Time) {
	s.removeExpired(now)
	if !s.lastTickAt.IsZero() && now.Sub(s.lastTickAt) >= lateTickThreshold {
		s.graceUntil = now.Add(lateTickGrace)
	}
	s.lastTickAt = now
	s.chooseListed(now)
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

// probeEntries pings entries of the group that do not ping this owner. In each
// pingInterval, it also pings one entry of another group in the failure domain,
// and one in another failure domain. It reports entries
// that have stopped pinging it, so that their jobs are cancelled.
func (s *State) probeEntries(now time.Time) {
	for _, a := range s.addresses() {
		m := s.members[a]
		if !m.pingReceivedAt.IsZero() && now.Sub(m.pingReceivedAt) > entryTimeout && !m.timedOut && !now.Before(s.graceUntil) {
			m.timedOut = true
			s.emit(EntryLost{Address: a, OtherGroup: m.otherGroup})
		}
		if !m.otherGroup && now.Sub(m.pingReceivedAt) > discoveryInterval {
			s.ping(now, m, discoveryInterval)
		}
	}
	if now.Sub(s.othersPingedAt) >= pingInterval {
		s.othersPingedAt = now
		s.pingOldest(now, func(m *member) bool { return m.otherGroup && !s.isForeign(m) })
		s.pingOldest(now, s.isForeign)
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

// searchOwner pings entries to find an owner. It claims ownership if none is
// found and this entry is the best candidate.
func (s *State) searchOwner(now time.Time) {
	s.pingCandidates(now)
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
	if s.awaitsStronger(now) {
		return
	}
	s.claim(now, 2*heard <= known || heard == 1, "no owner was found")
}

// pingCandidates pings the preferred candidates of the group. In each
// pingInterval, it also pings the searchFanout others that were pinged least
// recently, and one entry in another failure domain.
func (s *State) pingCandidates(now time.Time) {
	candidates := s.candidates(now)
	preferred := min(searchFanout, len(candidates))
	for _, m := range candidates[:preferred] {
		s.ping(now, m, pingInterval)
	}
	if now.Sub(s.othersPingedAt) < pingInterval {
		return
	}
	s.othersPingedAt = now
	others := candidates[preferred:]
	slices.SortStableFunc(others, func(a, b *member) int { return a.pingSentAt.Compare(b.pingSentAt) })
	for _, m := range others[:min(searchFanout, len(others))] {
		s.ping(now, m, 0)
	}
	s.pingOldest(now, s.isForeign)
}

// pingOldest pings the selected entry that was pinged least recently.
func (s *State) pingOldest(now time.Time, selected func(*member) bool) {
	var oldest *member
	for _, a := range s.addresses() {
		if m := s.members[a]; selected(m) && (oldest == nil || m.pingSentAt.Before(oldest.pingSentAt)) {
			oldest = m
		}
	}
	if oldest != nil {
		s.ping(now, oldest, pingInterval)
	}
}

func (s *State) ping(now time.Time, m *member, minInterval time.Duration) {
	if m.pingPending || now.Sub(m.pingSentAt) < minInterval {
		return
	}
	m.pingSentAt, m.pingPending = now, true
	s.emit(Ping{Address: m.Address})
}
