package broker

import (
	"slices"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

type grantKey struct {
	job  string
	task int
}

// grant is a live grant, one that was issued and has not ended. As described in
// the package comment, a grant ends by its release, by a registration of its
// holder that does not list it, by the removal of its service, or by expiry once
// its holder has left the membership. A live grant uses one slot of its target,
// its service and its team. Each (job, task) pair has at most one.
type grant struct {
	id     uint64
	job    *job
	task   int
	target *target
	// expiresAt is when the grant is freed if its holder has left the membership.
	expiresAt int64
	ownerPos  int
}

// issueGrant grants the job's next task on the target and queues the grant for
// the owner.
func (s *State) issueGrant(j *job, t *target) {
	task := j.takeTask().task
	s.lastGrantID++
	s.addGrant(j, task, t, s.lastGrantID)
	j.service.taskGranted(j)
	p := j.owner
	p.pendingGrants = append(p.pendingGrants, messenger.Grant{
		ID: s.lastGrantID, Service: j.service.name, JobID: j.id, Task: task,
		Target: t.address, LeaseMs: s.Settings.LeaseMs,
	})
	s.markPending(p)
}

// addGrant records a live grant and the slot that it uses.
func (s *State) addGrant(j *job, task int, t *target, id uint64) {
	g := s.newGrant()
	// The second lease is a margin for the delay of the message and for
	// clock drift.
	*g = grant{id: id, job: j, task: task, target: t, expiresAt: s.now + 2*s.Settings.LeaseMs*ms}
	s.grants[grantKey{j.id, task}] = g
	p := j.owner
	p.grants = append(p.grants, g)
	g.ownerPos = len(p.grants)
	j.grantCount++
	t.inUse++
	j.team.addInUse(1)
	j.service.inUse[j.class]++
	j.service.refresh(t)
}

// removeGrant removes a live grant and frees its slot.
func (s *State) removeGrant(g *grant) {
	j, t := g.job, g.target
	delete(s.grants, grantKey{j.id, g.task})
	list := j.owner.grants
	last := len(list) - 1
	list[g.ownerPos-1] = list[last]
	list[g.ownerPos-1].ownerPos = g.ownerPos
	list[last] = nil
	j.owner.grants = list[:last]
	j.grantCount--
	// Removing the grant changed the number of unfinished tasks, by which jobs may
	// be ordered in their queue. The order must be restored first: addInUse may
	// add the team's queues to a queueSet, which compares queues by their first
	// jobs.
	j.reorder()
	t.inUse--
	j.team.addInUse(-1)
	j.service.inUse[j.class]--
	j.service.reservedMs -= j.reservedMs
	j.service.refresh(t)
	j.service.dirty = true
	*g = grant{}
	s.freeGrants = append(s.freeGrants, g)
	s.removeIfDone(j)
}

// newGrant returns a grant from the free list, or a new one.
func (s *State) newGrant() *grant {
	if n := len(s.freeGrants); n > 0 {
		g := s.freeGrants[n-1]
		s.freeGrants = s.freeGrants[:n-1]
		return g
	}
	return &grant{}
}

// handleRelease handles the outcome of a grant. If the grant is no longer live,
// because it was freed before or the release is a duplicate, no slot is freed,
// but the reported status, outcome and run time are still used if the target and
// the request type are known.
func (s *State) handleRelease(p *peer, r *messenger.Release) {
	svc := s.services[r.Grant.Service]
	if svc == nil {
		return
	}
	g := s.grants[grantKey{r.Grant.JobID, r.Grant.Task}]
	live := g != nil && g.id == r.Grant.ID && g.job.owner == p
	if g == nil && r.Requeue && !s.isWaiting(r.Grant.JobID, r.Grant.Task) {
		// A registration that was sent before the grant arrived has replaced
		// it. Only another registration shows what the job still needs.
		s.requestRegistration(p)
	}
	if !live && svc.targets[r.Grant.Target] == nil {
		return
	}
	t, stats := svc.targets[r.Grant.Target], svc.typeStats[r.RequestType]
	if live {
		t, stats = g.target, g.job.typeStats
		s.finishGrant(g, r)
	}
	if stats == nil {
		return
	}
	busy := r.Outcome == messenger.GrantBusy
	switch {
	case r.Status != nil:
		s.applyStatus(svc, t, *r.Status, busy)
	case busy:
		s.applyStatus(svc, t, messenger.TargetStatus{InFlight: t.slots}, true)
	}
	s.recordOutcome(svc, t, stats, r)
	if r.Outcome == messenger.GrantDone {
		stats.observe(r.RunMs)
	}
	svc.refresh(t)
}

// isWaiting reports whether the task is in the queue.
func (s *State) isWaiting(id string, task int) bool {
	j := s.jobs[id]
	return j != nil && (slices.Contains(j.tasks, task) ||
		slices.ContainsFunc(j.requeued, func(r requeuedTask) bool { return r.task == task }))
}

// finishGrant removes a live grant and requeues its task if the release asks for
// it and the retry budget allows it.
func (s *State) finishGrant(g *grant, r *messenger.Release) {
	j, t := g.job, g.target
	b := j.service.retryBudget(j.team)
	if startedOutcome(r.Outcome) {
		b.deposit()
		j.service.recordUsage(s.now, max(r.RunMs, 0))
	}
	if !r.Requeue || j.ended {
		s.removeGrant(g)
		return
	}
	s.count("retry", string(r.Outcome))
	if r.Outcome != messenger.GrantUnused && !b.withdraw() {
		s.refuseRetry(j)
		s.removeGrant(g)
		return
	}
	// Requeue the task before removing the grant: removeGrant would remove a
	// job without waiting tasks and grants.
	s.requeue(j, requeuedTask{task: g.task, avoid: t})
	s.removeGrant(g)
}

// requeue puts a task back into the queue and reserves allowance for it again.
func (s *State) requeue(j *job, r requeuedTask) {
	svc := j.service
	svc.reservedMs += j.reservedMs
	if j.waitingTasks() == 0 {
		j.requeued = append(j.requeued, r)
		svc.enqueue(j)
		return
	}
	j.requeued = append(j.requeued, r)
	svc.waitingTasks[j.class]++
	j.typeStats.addWaiting(j, 1)
	j.team.waitingMs[j.class] += j.taskMs
	j.reorder()
}

// startedOutcome reports whether the outcome means that the task started, or may
// have.
func startedOutcome(o messenger.GrantOutcome) bool {
	return o == messenger.GrantDone || o == messenger.GrantFailed || o == messenger.GrantLost
}

// sweepGrants frees the expired grants of holders that have left the membership.
// Live holders free their grants by releases. A grant of a live holder that has
// outlived its expiry by the maximum run time of its request type shows that a
// message was lost, either the one with the grant or the one with the release.
// The holder is then asked for a registration.
func (s *State) sweepGrants() {
	for _, p := range s.sortedPeers() {
		s.retryRegistration(p)
		if !s.members[p.member] {
			for _, g := range slices.Clone(p.grants) {
				if s.now >= g.expiresAt {
					s.count("target", "expired")
					s.removeGrant(g)
				}
			}
			continue
		}
		if s.now < p.nextGrantCheck {
			continue
		}
		p.nextGrantCheck = s.now + s.Settings.LeaseMs*ms
		for _, g := range p.grants {
			if s.now >= g.expiresAt+g.job.typeStats.maxRunMs*ms {
				s.requestRegistration(p)
				break
			}
		}
	}
}
