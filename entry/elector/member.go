package elector

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxMilliCPU and maxLinkKbps limit what an entry says of its VM.
	maxMilliCPU = 1_000_000_000
	maxLinkKbps = 1_000_000_000_000
	// milliCPUPerWorker is the CPU allotment that an owner needs for each worker
	// at full load, in thousandths of a core, for holds, starts and jobs.
	milliCPUPerWorker = 2
	// linkKbpsPerWorker is the network bandwidth that an owner needs for each
	// worker at full load.
	linkKbpsPerWorker = 60
)

// Member describes an entry. Address is the IP:port on which it serves other
// entries.
type Member struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Incarnation   uint64 `json:"incarnation"`
	// CPU is the CPU allotment of the entry process itself, in thousandths of a
	// core.
	CPU int64 `json:"cpu,omitempty"`
	// LinkKbps is the bandwidth of the network link of the entry's VM, or 0 if it
	// is unknown.
	LinkKbps int64 `json:"linkKbps,omitempty"`
}

// Capacity returns the number of workers that m can own, by its CPU allotment
// and its network link. The entry with the largest capacity becomes the owner.
func (m Member) Capacity() int64 {
	capacity := m.CPU / milliCPUPerWorker
	if m.LinkKbps > 0 {
		capacity = min(capacity, m.LinkKbps/linkKbpsPerWorker)
	}
	return capacity
}

// Validate returns an error if a field of m is missing or out of range. Members from
// the store must be validated before they are used.
func (m Member) Validate() error {
	address, err := netip.ParseAddrPort(m.Address)
	switch {
	case m.Name == "":
		return errors.New("the entry has no name")
	case err != nil:
		return errors.Wrap(err, "invalid entry address, want IP:port")
	case address.Port() == 0:
		return errors.Newf("invalid entry address %q: the port is 0", m.Address)
	case m.CPU < 0 || m.CPU > maxMilliCPU:
		return errors.Newf("the entry's CPU is %d thousandths of a core, want 0 to %d", m.CPU, int64(maxMilliCPU))
	case m.LinkKbps < 0 || m.LinkKbps > maxLinkKbps:
		return errors.Newf("the bandwidth of the entry's link is %d kbit/s, want 0 to %d", m.LinkKbps, int64(maxLinkKbps))
	}
	return nil
}

// CompareRank orders entries by preference as owner.
func CompareRank(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Capacity(), a.Capacity()), cmp.Compare(a.Address, b.Address))
}

// outranks reports whether m is preferred over o as owner.
func (m Member) outranks(o Member) bool { return CompareRank(m, o) < 0 }

// isFarStronger reports whether m should replace o as owner.
func (m Member) isFarStronger(o Member) bool {
	return m.Capacity() >= farStrongerFactor*max(o.Capacity(), 1)
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
	// OrphanAgeMs is how long ago a run on the workers of the sender lost its job that
	// may still be in progress, the longest time if there are several, or 0.
	OrphanAgeMs int64 `json:"orphanAgeMs,omitempty"`
	// Draining is set once the planned stop of the sender has started.
	Draining bool `json:"stopping,omitempty"`
	// NoWorkers is set if the sender does not know the workers of its group yet,
	// so that it can't own them.
	NoWorkers bool `json:"noWorkers,omitempty"`
	// Members lists some of the known members of the worker group. It is set by
	// owners and by entries without an owner.
	Members []string `json:"members,omitempty"`
}

// orphanAge returns OrphanAgeMs within its limits.
func (v View) orphanAge() time.Duration {
	return time.Duration(min(max(v.OrphanAgeMs, 0), maxOrphanAgeMs)) * time.Millisecond
}

type member struct {
	Member
	// pingReceivedAt and replyReceivedAt are the times of the last ping from the
	// entry and of its last reply to a ping.
	pingReceivedAt  time.Time
	replyReceivedAt time.Time
	pingSentAt      time.Time
	// ownedRunsSince is a time at which the entry was alive, when it last replied as an
	// owner, and before which none of the runs that may be in progress on its workers
	// had lost its job.
	ownedRunsSince  time.Time
	addedOrListedAt time.Time
	// failedAt is when a ping to the entry last failed.
	failedAt    time.Time
	pingPending bool
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
		s.sorted = nil
	}
}

// updateMembers adds entries from the store, and stores what it says about
// entries that have not been heard yet.
func (s *State) updateMembers(now time.Time, list []Member) {
	for _, listed := range list {
		s.addMembers(now, []string{listed.Address})
		if m := s.members[listed.Address]; m != nil && m.lastHeardAt().IsZero() {
			m.Member = listed
			m.otherGroup = s.isOtherGroup(m)
		}
	}
}

// isOtherGroup reports whether an entry is known to belong to another worker
// group: it reported one, or it is in another failure domain than the group of
// this entry.
func (s *State) isOtherGroup(m *member) bool {
	if m.view.Group != "" {
		return m.view.Group != s.group
	}
	return s.isForeign(m)
}

// isForeign reports whether an entry is in another failure domain than the worker
// group of this entry.
func (s *State) isForeign(m *member) bool {
	return s.failureDomain != "" && m.FailureDomain != "" && m.FailureDomain != s.failureDomain
}

func (s *State) recordView(now time.Time, v View) *member {
	s.addMembers(now, []string{v.From.Address})
	s.addMembers(now, v.Members)
	if v.Group == s.group {
		// A follower names no other members. Two owners that know only it learn of
		// each other here.
		s.addMembers(now, []string{v.Owner})
	}
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
	m.Member, m.view, m.draining, m.failedAt, m.timedOut = v.From, v, v.Draining, time.Time{}, false
	m.otherGroup = s.isOtherGroup(m)
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
// this worker group that were heard recently, know the workers and are not
// draining, or "" if there is none. This entry takes part if includeSelf is set.
func (s *State) bestCandidate(now time.Time, includeSelf bool) string {
	var best Member
	if includeSelf && s.canOwn {
		best = s.self
	}
	for _, m := range s.members {
		at := m.lastHeardAt()
		if m.view.Group != s.group || m.draining || m.view.NoWorkers || at.IsZero() || now.Sub(at) > heardWindow {
			continue
		}
		if best.Address == "" || m.outranks(best) {
			best = m.Member
		}
	}
	return best.Address
}

// awaitsStronger reports whether an entry that starts should wait for one that
// is preferred as owner: an entry that was heard recently and has not been
// assigned to a worker group yet, or a far stronger one that is known but may
// still be starting.
func (s *State) awaitsStronger(now time.Time) bool {
	age := now.Sub(s.startedAt)
	if age >= startupWait {
		return false
	}
	for _, m := range s.members {
		if m.otherGroup || m.draining || !m.outranks(s.self) {
			continue
		}
		at := m.lastHeardAt()
		if m.view.Group == "" && !at.IsZero() && now.Sub(at) <= heardWindow {
			return true
		}
		if at.IsZero() && age < startSpread && m.isFarStronger(s.self) {
			return true
		}
	}
	return false
}

// candidates returns the members that may own the workers of the group, in the
// order in which an entry without an owner pings them: by rank, with those that
// did not answer lately, or reported another group, after all others.
func (s *State) candidates(now time.Time) []*member {
	list := s.nearMembers()
	doubt := func(m *member) int {
		switch {
		case m.failedAt.After(m.lastHeardAt()) && now.Sub(m.failedAt) < suspectPeriod:
			return 2
		case m.otherGroup:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(list, func(a, b *member) int {
		return cmp.Or(cmp.Compare(doubt(a), doubt(b)), CompareRank(a.Member, b.Member))
	})
	return list
}

// removeExpired removes entries whose removalDelay has passed.
func (s *State) removeExpired(now time.Time) {
	if now.Sub(s.expiredAt) < expiryInterval {
		return
	}
	s.expiredAt = now
	for a, m := range s.members {
		if !m.isKnown(now.Add(-removalDelay)) {
			delete(s.members, a)
			s.sorted = nil
		}
	}
}
