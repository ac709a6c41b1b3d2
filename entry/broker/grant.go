package broker

import (
	"slices"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

type grantKey struct {
	job  string
	task int
}

// grant is a live grant: it occupies a slot of its target, its service and its
// team. A (job, task) pair has at most one.
type grant struct {
	id      uint64
	job     *job
	task    int
	target  *target
	granted int64
	// ends is when the grant of a lost holder is freed.
	ends       int64
	ownerPlace int
}

// issue grants the job's next task to the target and queues the message.
func (s *State) issue(j *job, t *target) {
	task := j.take().task
	s.lastGrant++
	s.occupy(j, task, t, s.lastGrant)
	j.service.taken(j)
	p := j.owner
	p.sendGrants = append(p.sendGrants, messenger.Grant{
		ID: s.lastGrant, Service: j.service.name, JobID: j.id, Task: task,
		Target: t.address, LeaseMs: s.Settings.LeaseMs,
	})
	s.touch(p)
}

// occupy records a live grant.
func (s *State) occupy(j *job, task int, t *target, id uint64) {
	g := s.newGrant()
	// One lease as margin covers the delay of the message and clocks that run
	// at different speed.
	*g = grant{id: id, job: j, task: task, target: t, granted: s.now, ends: s.now + 2*s.Settings.LeaseMs*ms}
	s.grants[grantKey{j.id, task}] = g
	p := j.owner
	p.grants = append(p.grants, g)
	g.ownerPlace = len(p.grants)
	j.granted++
	t.inUse++
	j.team.take(1)
	j.service.inUse[j.class]++
	j.service.refresh(t)
}

// free gives the slot of a grant back.
func (s *State) free(g *grant) {
	j, t := g.job, g.target
	delete(s.grants, grantKey{j.id, g.task})
	list := j.owner.grants
	last := len(list) - 1
	list[g.ownerPlace-1] = list[last]
	list[g.ownerPlace-1].ownerPlace = g.ownerPlace
	list[last] = nil
	j.owner.grants = list[:last]
	j.granted--
	// Before the team's lanes move, its jobs must be in order.
	j.reorder()
	t.inUse--
	j.team.take(-1)
	j.service.inUse[j.class]--
	j.service.reservedMs -= j.reservedMs
	j.service.refresh(t)
	j.service.dirty = true
	*g = grant{}
	s.spare = append(s.spare, g)
	s.forgetIfDone(j)
}

func (s *State) newGrant() *grant {
	if n := len(s.spare); n > 0 {
		g := s.spare[n-1]
		s.spare = s.spare[:n-1]
		return g
	}
	return &grant{}
}

// release takes the outcome of a grant. A grant that is not live (it was freed
// before, or the release is a repeat) changes no slot.
func (s *State) release(p *peer, r *messenger.Release) {
	svc := s.services[r.Grant.Service]
	if svc == nil {
		return
	}
	g := s.grants[grantKey{r.Grant.JobID, r.Grant.Task}]
	live := g != nil && g.id == r.Grant.ID && g.job.owner == p
	if g == nil && r.Requeue && !s.waits(r.Grant.JobID, r.Grant.Task) {
		// The grant was replaced by a registration that crossed it. Only
		// another registration tells what the job still needs.
		s.needFull(p)
	}
	if !live && svc.targets[r.Grant.Target] == nil {
		return
	}
	t, k := svc.targets[r.Grant.Target], svc.kinds[r.RequestType]
	if live {
		t, k = g.target, g.job.kind
		s.settle(g, r)
	}
	if k == nil {
		return
	}
	busy := r.Outcome == messenger.GrantBusy
	switch {
	case r.Status != nil:
		s.learn(svc, t, *r.Status, busy)
	case busy:
		s.learn(svc, t, messenger.TargetStatus{InFlight: t.slots}, true)
	}
	s.judge(svc, t, k, r)
	if r.Outcome == messenger.GrantDone {
		k.learn(r.RunMs)
	}
	svc.refresh(t)
}

// waits reports whether the task is in the queue.
func (s *State) waits(id string, task int) bool {
	j := s.jobs[id]
	return j != nil && (slices.Contains(j.tasks, task) ||
		slices.ContainsFunc(j.retries, func(r retry) bool { return r.task == task }))
}

// settle frees a live grant, and queues its task again if asked to.
func (s *State) settle(g *grant, r *messenger.Release) {
	j, t := g.job, g.target
	b := j.service.budget(j.team)
	if startedOutcome(r.Outcome) {
		b.earn()
		j.service.spend(s.now, max(r.RunMs, 0))
	}
	if !r.Requeue || j.ended {
		s.free(g)
		return
	}
	s.count("retry", string(r.Outcome))
	if r.Outcome != messenger.GrantUnused && !b.take() {
		s.refuseBudget(j)
		s.free(g)
		return
	}
	// The task is queued before the grant is freed, so that the job is not
	// forgotten in between.
	s.requeue(j, retry{task: g.task, avoid: t})
	s.free(g)
}

func (s *State) requeue(j *job, r retry) {
	svc := j.service
	svc.reservedMs += j.reservedMs
	if j.waiting() == 0 {
		j.retries = append(j.retries, r)
		svc.enqueue(j)
		return
	}
	j.retries = append(j.retries, r)
	svc.waiting[j.class]++
	j.kind.add(j, 1)
	j.team.waitingMs[j.class] += j.taskMs
	j.reorder()
}

func startedOutcome(o messenger.GrantOutcome) bool {
	return o == messenger.GrantDone || o == messenger.GrantFailed || o == messenger.GrantLost
}

// sweepGrants frees the grants of holders that are gone, and asks a live
// holder whose grant is far older than any run for a registration: the message
// with the grant, or its release, was lost.
func (s *State) sweepGrants() {
	for _, p := range s.sortedPeers() {
		s.askAgain(p)
		if !s.members[p.member] {
			for _, g := range slices.Clone(p.grants) {
				if s.now >= g.ends {
					s.count("target", "expired")
					s.free(g)
				}
			}
			continue
		}
		if s.now < p.nextCheck {
			continue
		}
		p.nextCheck = s.now + s.Settings.LeaseMs*ms
		for _, g := range p.grants {
			if s.now >= g.ends+g.job.kind.maxRunMs*ms {
				s.needFull(p)
				break
			}
		}
	}
}
