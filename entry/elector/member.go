package elector

import "time"

// Member describes an entry. Address is the IP:port on which it serves other
// entries.
type Member struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Incarnation   uint64 `json:"incarnation"`
	// CPU is the CPU allotment of the entry process itself, in thousandths of a
	// core. The entry with the largest allotment becomes the owner.
	CPU int64 `json:"cpu,omitempty"`
}

// outranks reports whether m is preferred over o as owner.
func (m Member) outranks(o Member) bool {
	if m.CPU != o.CPU {
		return m.CPU > o.CPU
	}
	return m.Address < o.Address
}

// View is the state that an entry reports in a ping or its reply.
type View struct {
	From Member `json:"from"`
	// Group is the worker group of the sender, or empty before it is assigned.
	Group string `json:"group"`
	// ClaimedAtMs is the time of the sender's claim in Unix milliseconds if it is
	// an owner, and 0 otherwise. Of two owners, the one with the earlier claim
	// remains, or the one with the lower address if they claimed at the same time.
	ClaimedAtMs int64 `json:"term,omitempty"`
	// Owner is the address of the owner that the sender follows, which may be the
	// sender itself.
	Owner string `json:"owner,omitempty"`
	// Successor is the entry to which a former owner handed the workers.
	Successor string `json:"successor,omitempty"`
	// Draining is set once the planned stop of the sender has started.
	Draining bool `json:"stopping,omitempty"`
	// Members lists the known addresses. It is set by owners and by entries
	// without an owner.
	Members []string `json:"members,omitempty"`
}

type member struct {
	Member
	// pingReceivedAt and replyReceivedAt are the times of the last ping from the
	// entry and of its last reply to a ping.
	pingReceivedAt  time.Time
	replyReceivedAt time.Time
	pingSentAt      time.Time
	addedOrListedAt time.Time
	refusedAt       time.Time
	pingPending     bool
	// otherGroup is set for entries of another worker group.
	otherGroup bool
	draining   bool
	timedOut   bool
	view       View
}

func (m *member) lastHeardAt() time.Time {
	if m.pingReceivedAt.After(m.replyReceivedAt) {
		return m.pingReceivedAt
	}
	return m.replyReceivedAt
}

// isKnown reports whether the entry was added, heard, or listed by an owner
// within membershipTimeout.
func (m *member) isKnown(now time.Time) bool {
	return now.Sub(m.addedOrListedAt) <= membershipTimeout || now.Sub(m.lastHeardAt()) <= membershipTimeout
}

func (s *State) addMembers(now time.Time, addresses []string) {
	for _, a := range addresses {
		if a == "" || a == s.self.Address || s.members[a] != nil {
			continue
		}
		s.members[a] = &member{Member: Member{Address: a}, addedOrListedAt: now}
	}
}

func (s *State) recordView(now time.Time, v View) *member {
	s.addMembers(now, []string{v.From.Address})
	s.addMembers(now, v.Members)
	if v.ClaimedAtMs != 0 {
		// The sender is an owner.
		for _, a := range v.Members {
			if m := s.members[a]; m != nil {
				m.addedOrListedAt = now
			}
		}
	}
	m := s.members[v.From.Address]
	if m == nil {
		// The message carries this entry's own address, so there is nothing to
		// record.
		return &member{Member: s.self}
	}
	rejoined := m.view.ClaimedAtMs != 0 || (!m.lastHeardAt().IsZero() && now.Sub(m.lastHeardAt()) > entryTimeout)
	if s.isOwner && rejoined && v.ClaimedAtMs == 0 && v.Owner == s.self.Address && now.Sub(s.reclaimedAt) >= reclaimInterval {
		// The entry was an owner itself or had not been heard for entryTimeout.
		// Workers that it or another owner took over may have been released
		// since, so this owner reclaims them.
		s.reclaimedAt = now
		s.emit(Claim{WallMs: s.wallMs})
	}
	m.Member, m.view, m.draining, m.refusedAt, m.timedOut = v.From, v, v.Draining, time.Time{}, false
	// An entry without a group has no worker list yet and may still turn out to
	// belong to this group.
	m.otherGroup = v.Group != "" && v.Group != s.group
	return m
}

// countMembers returns the number of entries heard recently and the number of
// entries known, both including this one.
func (s *State) countMembers(now time.Time) (heard, known int) {
	heard, known = 1, 1
	for _, m := range s.members {
		if m.otherGroup || !m.isKnown(now) {
			continue
		}
		known++
		if now.Sub(m.lastHeardAt()) <= heardWindow {
			heard++
		}
	}
	return heard, known
}

// bestCandidate returns the address of the preferred owner among the entries of
// this worker group that were heard recently and are not draining, or "" if
// there is none. This entry takes part if includeSelf is set.
func (s *State) bestCandidate(now time.Time, includeSelf bool) string {
	var best Member
	if includeSelf {
		best = s.self
	}
	for _, m := range s.members {
		at := m.lastHeardAt()
		if m.view.Group != s.group || m.draining || at.IsZero() || now.Sub(at) > heardWindow {
			continue
		}
		if best.Address == "" || m.outranks(best) {
			best = m.Member
		}
	}
	return best.Address
}

// removeExpired removes entries whose removalDelay has passed.
func (s *State) removeExpired(now time.Time) {
	for a, m := range s.members {
		if !m.isKnown(now.Add(-removalDelay)) {
			delete(s.members, a)
		}
	}
}
