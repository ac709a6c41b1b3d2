package broker

import (
	"cmp"
	"slices"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// peer is what the broker knows of an entry that sends it requests.
type peer struct {
	member     messenger.Member
	registered bool
	sequence   uint64
	heard      bool
	// misdirected is set when the peer asked for a service that this entry does
	// not broker; it is asked again when the service is assigned.
	misdirected bool
	jobs        []*job
	grants      []*grant
	nextCheck   int64
	// owes is set while a registration is to come, asked is when it was asked
	// for last.
	owes  bool
	asked int64

	touched      bool
	needFull     bool
	sendGrants   []messenger.Grant
	sendRefusals []messenger.SlotRefusal
}

func (s *State) peer(m messenger.Member) *peer {
	p := s.peers[m]
	if p == nil {
		p = &peer{member: m}
		s.peers[m] = p
	}
	return p
}

// sortedPeers returns the peers in an order that does not depend on the map.
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

// askAgainMs is well above the time of a message and its answer.
const askAgainMs = 500

func (s *State) needFull(p *peer) {
	p.needFull, p.owes, p.asked = true, true, s.now
	s.touch(p)
}

// slots takes a message from an entry. One that is a repeat, or was overtaken
// by a later one, changes nothing: the registration that it asks for replaces
// what it said.
func (s *State) slots(r *messenger.SlotsRequest) {
	p := s.peer(r.From)
	misaddressed := r.To != 0 && r.To != s.Self.Incarnation
	stale := p.heard && r.Sequence <= p.sequence
	if misaddressed || stale || !p.registered && !r.Full {
		s.needFull(p)
		return
	}
	p.sequence, p.heard = r.Sequence, true
	for i := range r.Releases {
		s.release(p, &r.Releases[i])
	}
	for _, id := range r.Cancels {
		if j := s.jobs[id]; j != nil && j.owner == p {
			s.end(j)
		}
	}
	if r.Full {
		s.register(p, r)
	}
	for i := range r.Requests {
		s.request(p, &r.Requests[i])
	}
	if r.Full {
		for _, name := range s.names {
			svc := s.services[name]
			svc.registered[p.member] = true
			s.openIfComplete(svc)
		}
	}
}

// register replaces all that is known of the sender by what it holds.
func (s *State) register(p *peer, r *messenger.SlotsRequest) {
	s.dropPeer(p)
	p.registered, p.misdirected, p.owes = true, false, false
	for i := range r.Held {
		s.reoccupy(p, &r.Held[i])
	}
}

// reoccupy lets a held grant occupy its slot again.
func (s *State) reoccupy(p *peer, h *messenger.HeldGrant) {
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
		j.taskMs = j.kind.runMs(0)
		j.reservedMs = svc.reservation(j.taskMs)
		j.memoryMB = h.DeclaredMemoryMB
		_, j.ended = s.refused.until[j.id]
		if h.DeadlineInMs > 0 {
			j.deadline = s.now + h.DeadlineInMs*ms
		}
	}
	if j.owner != p || j.service != svc {
		return
	}
	svc.reservedMs += j.reservedMs
	s.occupy(j, h.Grant.Task, s.target(svc, h.Grant.Target), h.Grant.ID)
}

// dropPeer forgets the grants and the jobs of a peer.
func (s *State) dropPeer(p *peer) {
	for len(p.grants) > 0 {
		s.free(p.grants[len(p.grants)-1])
	}
	s.dropJobs(p)
}

// dropJobs forgets the waiting tasks of a peer.
func (s *State) dropJobs(p *peer) {
	for _, j := range slices.Clone(p.jobs) {
		s.end(j)
	}
}

// dropMembers takes the work of entries that are no longer members out of the
// queue. One that comes back has to register. Its grants stay until they end.
func (s *State) dropMembers() {
	for _, p := range s.sortedPeers() {
		if s.members[p.member] {
			// A member that came back has no cause to send by itself.
			if !p.registered {
				s.needFull(p)
			}
			continue
		}
		s.dropJobs(p)
		if p.registered {
			p.registered = false
			s.needFull(p)
		}
		for _, name := range s.names {
			delete(s.services[name].registered, p.member)
		}
		if len(p.grants) == 0 && !p.misdirected {
			delete(s.peers, p.member)
		}
	}
}

// undelivered asks the peer for a registration, which tells what it received.
func (s *State) undelivered(m Undelivered) {
	if p := s.peers[m.To]; p != nil {
		p.owes = true
		s.askAgain(p)
	}
}

// askAgain asks a member for a registration that has not come. Without the
// pause, a peer that can't be reached would cause a loop of failing messages.
func (s *State) askAgain(p *peer) {
	if p.owes && s.now >= p.asked+askAgainMs*ms && s.members[p.member] {
		s.needFull(p)
	}
}

// tombstone is the refusal of a job.
type tombstone struct {
	error messenger.Error
	ends  int64
}

// tombstones remembers refused jobs for a while, so that a registration that
// crossed the refusal does not queue them again.
type tombstones struct {
	until map[string]tombstone
	order []string
}

const tombstoneMs = 3000

func (t *tombstones) add(id string, e messenger.Error, now int64) {
	if _, ok := t.until[id]; !ok {
		t.order = append(t.order, id)
	}
	t.until[id] = tombstone{e, now + tombstoneMs*ms}
}

func (t *tombstones) prune(now int64) {
	n := 0
	for n < len(t.order) && t.until[t.order[n]].ends <= now {
		delete(t.until, t.order[n])
		n++
	}
	t.order = t.order[n:]
}
