package broker

import (
	"cmp"
	"slices"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// peer holds the state of one incarnation of an entry that sends messages to this
// broker. The entry of this broker is a peer as well.
type peer struct {
	member      messenger.Member
	registered  bool
	sequence    uint64
	hasSequence bool
	// misdirected is set when the peer requested slots, or has grants, of a
	// service for which this entry is not the broker. The peer is asked for a
	// registration whenever a service is assigned to this entry.
	misdirected    bool
	jobs           []*job
	grants         []*grant
	nextGrantCheck int64
	// awaitingRegistration is set while the broker needs a registration that has
	// not arrived. registrationAskedAt is when one was last requested.
	awaitingRegistration bool
	registrationAskedAt  int64

	// Output to send to the peer at the end of the current Update. pending is
	// set while the peer is in State.pendingPeers.
	pending          bool
	needRegistration bool
	pendingGrants    []messenger.Grant
	pendingRefusals  []messenger.SlotRefusal
}

// ensurePeer returns the peer for a member and adds it if it is unknown.
func (s *State) ensurePeer(m messenger.Member) *peer {
	p := s.peers[m]
	if p == nil {
		p = &peer{member: m}
		s.peers[m] = p
	}
	return p
}

// sortedPeers returns the peers by address and incarnation, so that the order of
// commands does not depend on map iteration and a replay gives the same result.
func (s *State) sortedPeers() []*peer {
	list := make([]*peer, 0, len(s.peers))
	for _, p := range s.peers {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *peer) int {
		if c := cmp.Compare(a.member.Address, b.member.Address); c != 0 {
			return c
		}
		return cmp.Compare(a.member.Incarnation, b.member.Incarnation)
	})
	return list
}

// registrationRetryMs is the time after which a registration that has not
// arrived is requested again. It is well above the round-trip time of a message.
const registrationRetryMs = 500

// requestRegistration asks the peer for a registration.
func (s *State) requestRegistration(p *peer) {
	p.needRegistration, p.awaitingRegistration, p.registrationAskedAt = true, true, s.now
	s.markPending(p)
}

// handleSlotsReceived handles a message from a peer, which is a registration if
// Full is set. A message is ignored if it is a duplicate, out of order or for
// another incarnation of this entry, or if it comes from an unregistered peer and
// is not a registration. The peer is then asked for a registration, which also
// covers what the ignored message contained.
func (s *State) handleSlotsReceived(r *messenger.SlotsRequest) {
	p := s.ensurePeer(r.From)
	misaddressed := r.To != 0 && r.To != s.Self.Incarnation
	stale := p.hasSequence && r.Sequence <= p.sequence
	if misaddressed || stale || !p.registered && !r.Full {
		s.requestRegistration(p)
		return
	}
	p.sequence, p.hasSequence = r.Sequence, true
	for i := range r.Releases {
		s.handleRelease(p, &r.Releases[i])
	}
	for _, id := range r.Cancels {
		if j := s.jobs[id]; j != nil && j.owner == p {
			s.endJob(j)
		}
	}
	if r.Full {
		s.register(p, r)
	}
	for i := range r.Requests {
		s.handleRequest(p, &r.Requests[i])
	}
	if r.Full {
		for _, name := range s.serviceNames {
			svc := s.services[name]
			svc.registered[p.member] = true
			s.grantIfAllRegistered(svc)
		}
	}
}

// register replaces the state of the peer by the contents of its registration.
func (s *State) register(p *peer, r *messenger.SlotsRequest) {
	s.dropPeerWork(p)
	p.registered, p.misdirected, p.awaitingRegistration = true, false, false
	for i := range r.Held {
		s.restoreGrant(p, &r.Held[i])
	}
}

// restoreGrant records a grant that the peer has according to its registration.
func (s *State) restoreGrant(p *peer, h *messenger.RunningGrant) {
	svc := s.services[h.Grant.Service]
	if svc == nil {
		p.misdirected = true
		return
	}
	if s.grants[grantKey{h.Grant.JobID, h.Grant.Task}] != nil {
		return
	}
	j := s.jobs[h.Grant.JobID]
	if j == nil {
		j = s.newJob(p, svc, h.Grant.JobID, h.Team, h.RequestType, classOf(h.Priority))
		j.taskMs = j.typeStats.runMs(0)
		j.reservedMs = svc.reservation(j.taskMs)
		j.memoryMB = h.DeclaredMemoryMB
		_, j.ended = s.refusedJobs.byJob[j.id]
		if h.DeadlineInMs > 0 {
			j.deadline = s.now + h.DeadlineInMs*ms
		}
	}
	if j.owner != p || j.service != svc {
		return
	}
	svc.reservedMs += j.reservedMs
	s.addGrant(j, h.Grant.Task, s.ensureTarget(svc, h.Grant.Target), h.Grant.ID)
}

// dropPeerWork removes the grants and the jobs of a peer.
func (s *State) dropPeerWork(p *peer) {
	for len(p.grants) > 0 {
		s.removeGrant(p.grants[len(p.grants)-1])
	}
	s.endPeerJobs(p)
}

// endPeerJobs discards the waiting tasks of all jobs of a peer.
func (s *State) endPeerJobs(p *peer) {
	for _, j := range slices.Clone(p.jobs) {
		s.endJob(j)
	}
}

// reconcileMembers ends the jobs of peers that are no longer members. Their
// grants stay until they are released or expire. A peer that comes back has to
// register again.
func (s *State) reconcileMembers() {
	for _, p := range s.sortedPeers() {
		if s.members[p.member] {
			// Ask for the registration: a peer that came back does not send one
			// by itself.
			if !p.registered {
				s.requestRegistration(p)
			}
			continue
		}
		s.endPeerJobs(p)
		if p.registered {
			p.registered = false
			s.requestRegistration(p)
		}
		for _, name := range s.serviceNames {
			delete(s.services[name].registered, p.member)
		}
		if len(p.grants) == 0 && !p.misdirected {
			delete(s.peers, p.member)
		}
	}
}

// handleSendFailed asks the peer for a registration, which shows what it
// received.
func (s *State) handleSendFailed(m SendFailed) {
	if p := s.peers[m.To]; p != nil {
		p.awaitingRegistration = true
		s.retryRegistration(p)
	}
}

// retryRegistration asks again for a registration that has not arrived, if the
// peer is a member. Without the interval of registrationRetryMs, an unreachable
// peer would cause a loop of undelivered messages.
func (s *State) retryRegistration(p *peer) {
	if p.awaitingRegistration && s.now >= p.registrationAskedAt+registrationRetryMs*ms && s.members[p.member] {
		s.requestRegistration(p)
	}
}

// tombstone is the record of a refused job.
type tombstone struct {
	error     messenger.Error
	expiresAt int64
}

// tombstones keeps refused jobs for tombstoneTTLMs, so that a registration that
// was sent before the refusal arrived does not queue them again. order holds the
// job IDs in the order in which they were added.
type tombstones struct {
	byJob map[string]tombstone
	order []string
}

const tombstoneTTLMs = 3000

func (t *tombstones) add(id string, e messenger.Error, now int64) {
	if _, ok := t.byJob[id]; !ok {
		t.order = append(t.order, id)
	}
	t.byJob[id] = tombstone{e, now + tombstoneTTLMs*ms}
}

func (t *tombstones) prune(now int64) {
	n := 0
	for n < len(t.order) && t.byJob[t.order[n]].expiresAt <= now {
		delete(t.byJob, t.order[n])
		n++
	}
	t.order = t.order[n:]
}
