package elector

import "time"

// setGroup changes the worker group of this entry and restarts the election.
func (s *State) setGroup(now time.Time, msg GroupAssigned) {
	s.canOwn = msg.CanOwn || (s.isOwner && s.group == msg.Group)
	if s.groupAssigned && s.group == msg.Group {
		return
	}
	if s.isOwner {
		s.release(now, true, "this entry was assigned to another worker group")
	}
	s.group, s.failureDomain, s.groupAssigned = msg.Group, msg.FailureDomain, true
	s.startedAt, s.searchSince = now, now
	s.setOwner(now, "", "this entry was assigned to another worker group")
	for _, m := range s.members {
		m.otherGroup = s.isOtherGroup(m)
	}
}

// applyView updates ownership according to the state reported by another entry.
func (s *State) applyView(now time.Time, m *member) {
	v := m.view
	if m.Address == s.self.Address || m.otherGroup {
		return
	}
	senderOwns := v.Owner == m.Address && v.ClaimedAtMs != 0
	switch {
	case senderOwns && s.isOwner && !s.draining && (v.ClaimedAtMs < s.claimedAtMs || (v.ClaimedAtMs == s.claimedAtMs && m.Address < s.self.Address)):
		s.successor = m.Address
		s.release(now, true, "an owner with an earlier claim keeps the workers")
		s.setOwner(now, m.Address, "an owner with an earlier claim keeps the workers")
	case senderOwns && !s.isOwner && (s.owner == "" || s.owner == s.self.Address):
		s.setOwner(now, m.Address, "the entry reports that it owns the workers")
	case !senderOwns && s.owner == m.Address && v.Successor == s.self.Address && !s.draining && s.canOwn:
		s.claim(now, false, "the owner handed the workers over to this entry")
	case !senderOwns && s.owner == m.Address && v.Successor != "" && v.Successor != s.self.Address:
		s.setOwner(now, v.Successor, "the owner handed the workers over to its successor")
	case !senderOwns && s.owner == m.Address:
		s.setOwner(now, "", "the previous owner reports that it does not own the workers")
	}
}

// release gives up the workers.
func (s *State) release(now time.Time, moved bool, reason string) {
	s.isOwner, s.claimedAtMs, s.searchSince = false, 0, now
	s.emit(Release{Moved: moved, Reason: reason})
}

func (s *State) setOwner(now time.Time, address, reason string) {
	if address == s.owner {
		return
	}
	s.emit(OwnerChanged{Address: address, Previous: s.owner, Reason: reason})
	if s.owner != "" {
		s.previousOwnerHeardAt = s.ownerHeardAt(now)
	}
	s.owner, s.ownerSince = address, now
	if address == "" {
		s.searchSince = now
	} else if m := s.members[address]; m != nil {
		// Gives the new owner a full timeout to answer.
		m.replyReceivedAt = now
	}
}

// ownerHeardAt returns a time at which the current owner was alive and before which no
// run that may still be in progress lost its job. It returns zero if the owner has not
// been one for long: runs that the owner before it left behind may then still be in
// progress.
func (s *State) ownerHeardAt(now time.Time) time.Time {
	m := s.members[s.owner]
	if m == nil || now.Sub(s.ownerSince) < settledOwnership {
		return time.Time{}
	}
	return m.ownedRunsSince
}

func (s *State) claim(now time.Time, contested bool, reason string) {
	s.isOwner, s.successor, s.ownedAt, s.contested = true, "", now, contested
	s.claimedAtMs = max(s.wallMs, 1)
	heard, known := s.countMembers(now)
	previousHeardAt := s.previousOwnerHeardAt
	if s.owner != "" {
		previousHeardAt = s.ownerHeardAt(now)
	}
	s.emit(Claim{WallMs: s.wallMs, Contested: contested, Heard: heard, Known: known, PreviousOwnerHeardAt: previousHeardAt})
	s.setOwner(now, s.self.Address, reason)
	// Pings the entries that may belong to the group so that those about to claim
	// ownership learn of this owner.
	for _, m := range s.nearMembers() {
		s.ping(now, m, 0)
	}
}

func (s *State) pingFailed(now time.Time, msg PingFailed) {
	m := s.members[msg.Address]
	if m == nil {
		return
	}
	m.pingPending, m.failedAt = false, now
	if msg.Refused && s.owner == m.Address {
		s.setOwner(now, "", "the owner's address refuses connections")
	}
}

// handleWorkerTakenOver handles a worker that another owner took over. An owner
// that has heard a majority of the entries reclaims the worker; any other owner
// steps down.
func (s *State) handleWorkerTakenOver(now time.Time) {
	if !s.isOwner {
		return
	}
	// Pings the entries that may belong to the group so that the two owners learn
	// of each other. Otherwise they alternately take over each other's workers
	// until one happens to ping the other.
	for _, m := range s.nearMembers() {
		s.ping(now, m, pingInterval)
	}
	heard, known := s.countMembers(now)
	// The other entries ping a new owner only after they have learned of it, so
	// its count of heard entries is still too low.
	justClaimed := !s.contested && now.Sub(s.ownedAt) < heardWindow
	// In an even split, only the former owner reclaims the worker. An owner
	// elected by the other half had heard only half of the entries, so its claim
	// is contested; the former owner claimed before the split.
	majority := 2*heard > known || (2*heard == known && !s.contested)
	if justClaimed || (majority && heard > 1) {
		if now.Sub(s.reclaimedAt) >= reclaimInterval {
			s.reclaimedAt = now
			s.emit(Claim{WallMs: s.wallMs})
		}
		return
	}
	s.steppedDownAt = now
	s.release(now, true, "another entry owns the workers")
	s.setOwner(now, "", "another entry owns the workers")
}

func (s *State) drain(now time.Time) {
	s.draining = true
	if s.isOwner {
		s.handOver(now, s.bestCandidate(now, false), "this entry is draining")
	}
}

// handOver transfers the workers to next in a planned way.
func (s *State) handOver(now time.Time, next, reason string) {
	if next == "" {
		return
	}
	s.successor = next
	s.release(now, true, reason)
	s.emit(Ping{Address: next})
	s.setOwner(now, next, reason)
}

// handOverToStronger transfers the workers to an entry with a far larger
// capacity, because a weak owner falls behind under high load.
func (s *State) handOverToStronger(now time.Time) {
	if now.Sub(s.ownedAt) < minOwnership {
		return
	}
	next := s.members[s.bestCandidate(now, false)]
	if next != nil && next.isFarStronger(s.self) && next.view.Owner == s.self.Address {
		s.handOver(now, next.Address, "an entry with more capacity takes over")
	}
}

// handleProcessResumed discards observations that became stale while the
// process was suspended. An owner releases the workers. Any other entry keeps
// its owner, which may still run the jobs forwarded to it, as long as that
// owner answers within lateTickGrace.
func (s *State) handleProcessResumed(now time.Time) {
	if s.isOwner {
		s.release(now, false, "the process was suspended")
		s.setOwner(now, "", "the process was suspended")
	}
	for _, m := range s.members {
		m.pingReceivedAt, m.replyReceivedAt, m.pingSentAt, m.pingPending = time.Time{}, time.Time{}, time.Time{}, false
	}
	s.startedAt, s.searchSince, s.graceUntil = now, now, now.Add(lateTickGrace)
}
