package elector

import "time"

// Member is an entry. Address is IP:port for calls between entries.
type Member struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Incarnation   uint64 `json:"incarnation"`
	// CPU is the share of a processor that the entry has, in thousandths. The
	// strongest entry becomes the owner.
	CPU int64 `json:"cpu,omitempty"`
}

// before tells whether m comes before o as an owner.
func (m Member) before(o Member) bool {
	if m.CPU != o.CPU {
		return m.CPU > o.CPU
	}
	return m.Address < o.Address
}

// View is what an entry says of itself in a call or its answer.
type View struct {
	From Member `json:"from"`
	// Group names the workers that the sender takes part in owning.
	Group string `json:"group"`
	// Term is set by an owner; of two owners the one with the lower term, the
	// older one, stays.
	Term int64 `json:"term,omitempty"`
	// Owner is the address that the sender follows, or its own.
	Owner string `json:"owner,omitempty"`
	// Successor is set by an owner that stops.
	Successor string `json:"successor,omitempty"`
	Stopping  bool   `json:"stopping,omitempty"`
	// Members are the addresses that an owner, or an entry without one, knows
	// of.
	Members []string `json:"members,omitempty"`
}

type member struct {
	Member
	// calledAt and answeredAt are the last signs of life in each direction.
	calledAt   time.Time
	answeredAt time.Time
	pingedAt   time.Time
	knownAt    time.Time
	refusedAt  time.Time
	waiting    bool
	// foreign entries belong to another group.
	foreign  bool
	stopping bool
	lost     bool
	view     View
}

func (m *member) heardAt() time.Time {
	if m.calledAt.After(m.answeredAt) {
		return m.calledAt
	}
	return m.answeredAt
}

// known tells whether the entry was heard, or named by an owner, lately.
func (m *member) known(now time.Time) bool {
	return now.Sub(m.knownAt) <= forgetFor || now.Sub(m.heardAt()) <= forgetFor
}

func (s *State) learn(now time.Time, addresses []string) {
	for _, a := range addresses {
		if a == "" || a == s.self.Address || s.members[a] != nil {
			continue
		}
		s.members[a] = &member{Member: Member{Address: a}, knownAt: now}
	}
}

func (s *State) heard(now time.Time, v View) *member {
	s.learn(now, []string{v.From.Address})
	s.learn(now, v.Members)
	if v.Term != 0 {
		for _, a := range v.Members {
			if m := s.members[a]; m != nil {
				m.knownAt = now
			}
		}
	}
	m := s.members[v.From.Address]
	if m == nil {
		// A call from this entry's own address changes nothing.
		return &member{Member: s.self}
	}
	back := m.view.Term != 0 || (!m.heardAt().IsZero() && now.Sub(m.heardAt()) > lostFor)
	if s.leading && back && v.Term == 0 && v.Owner == s.self.Address && now.Sub(s.reclaimedAt) >= reclaimEvery {
		// It follows this owner again after a partition, in which workers may
		// have had another owner that has now given them up.
		s.reclaimedAt = now
		s.do(Own{WallMs: s.wallMs})
	}
	m.Member, m.view, m.stopping, m.refusedAt, m.lost = v.From, v, v.Stopping, time.Time{}, false
	// An entry that knows no workers yet may turn out to belong to this group.
	m.foreign = v.Group != "" && v.Group != s.group
	return m
}

// count returns how many entries are heard, and how many there are, this one
// included.
func (s *State) count(now time.Time) (heard, all int) {
	heard, all = 1, 1
	for _, m := range s.members {
		if m.foreign || !m.known(now) {
			continue
		}
		all++
		if now.Sub(m.heardAt()) <= hearFor {
			heard++
		}
	}
	return heard, all
}

// candidate returns the address of the entry that should own the workers,
// among those that are heard and don't stop, with this one if self is set.
func (s *State) candidate(now time.Time, self bool) string {
	var best Member
	if self {
		best = s.self
	}
	for _, m := range s.members {
		at := m.heardAt()
		if m.view.Group != s.group || m.stopping || at.IsZero() || now.Sub(at) > hearFor {
			continue
		}
		if best.Address == "" || m.before(best) {
			best = m.Member
		}
	}
	return best.Address
}

// forget drops entries that have not been heard for long.
func (s *State) forget(now time.Time) {
	for a, m := range s.members {
		if !m.known(now.Add(-dropAfter)) {
			delete(s.members, a)
		}
	}
}
