package broker

import (
	"fmt"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// request takes a job's request for slots.
func (s *State) request(p *peer, r *messenger.SlotRequest) {
	if dead, ok := s.refused.until[r.JobID]; ok {
		s.refuse(p, r.JobID, &dead.error)
		return
	}
	svc := s.services[r.Service]
	if svc == nil {
		s.requestElsewhere(p, r)
		return
	}
	j := s.jobs[r.JobID]
	if j != nil && (j.owner != p || j.service != svc || j.ended) {
		return
	}
	tasks := s.newTasks(j, r.Tasks)
	if len(tasks) == 0 {
		return
	}
	c := s.classFor(svc, r)
	if !r.Admitted {
		if e := s.admit(svc, c, r, len(tasks)); e != nil {
			s.refuse(p, r.JobID, e)
			return
		}
	}
	if j == nil {
		j = s.newJob(p, svc, r.JobID, r.Team, r.RequestType, c)
	}
	svc.dequeueKeep(j)
	j.memoryMB = r.DeclaredMemoryMB
	j.arrived = s.now - max(0, r.WaitedMs)*ms
	j.deadline = s.now + max(0, r.DeadlineInMs)*ms
	if j.left() == 0 {
		j.taskMs = j.kind.runMs(r.DeclaredRunMs)
		j.reservedMs = svc.reservation(j.taskMs)
	}
	j.tasks = append(j.tasks, tasks...)
	svc.reservedMs += int64(len(tasks)) * j.reservedMs
	svc.enqueue(j)
	if j.deadline <= s.now {
		s.refuseLate(j)
	}
}

// requestElsewhere takes a request for a service that is brokered by another
// entry or that the configuration does not know.
func (s *State) requestElsewhere(p *peer, r *messenger.SlotRequest) {
	_, known := s.configuration.Services[r.Service]
	switch {
	case r.Admitted || known:
		p.misdirected = true
	case s.configured:
		s.refuse(p, r.JobID, messenger.NewError(messenger.UnknownService, ""))
	default:
		s.refuse(p, r.JobID, messenger.NewError(messenger.NotReady, ""))
	}
}

// newTasks returns the tasks of the list that neither wait nor hold a grant.
func (s *State) newTasks(j *job, list []int) []int {
	if j == nil && increasing(list) {
		return list
	}
	known := map[int]bool{}
	if j != nil {
		for _, t := range j.tasks {
			known[t] = true
		}
		for _, r := range j.retries {
			known[r.task] = true
		}
	}
	var tasks []int
	for _, t := range list {
		if !known[t] && (j == nil || s.grants[grantKey{j.id, t}] == nil) {
			known[t] = true
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// increasing reports whether the list is sorted and has no element twice.
func increasing(list []int) bool {
	for i := 1; i < len(list); i++ {
		if list[i] <= list[i-1] {
			return false
		}
	}
	return true
}

// classFor returns the class of a request, which may lower but not raise what
// the configuration says.
func (s *State) classFor(svc *service, r *messenger.SlotRequest) class {
	c := classOf(r.Priority)
	if rt, ok := svc.types[r.RequestType]; ok {
		c = max(c, classOf(rt.Priority))
	}
	return c
}

// admit decides whether the broker takes the whole job; nil means yes.
func (s *State) admit(svc *service, c class, r *messenger.SlotRequest, n int) *messenger.Error {
	if !s.configured {
		return messenger.NewError(messenger.NotReady, "")
	}
	if _, ok := s.configuration.Services[svc.name]; !ok {
		return messenger.NewError(messenger.UnknownService, "")
	}
	if _, ok := svc.types[r.RequestType]; !ok {
		return messenger.NewError(messenger.UnknownService, fmt.Sprintf("service %q has no request type %q", svc.name, r.RequestType))
	}
	if _, ok := s.configuration.Teams[r.Team]; !ok {
		return messenger.NewError(messenger.UnknownTeam, "")
	}
	run := svc.kind(r.RequestType).runMs(r.DeclaredRunMs)
	if e := s.admitSize(svc, r); e != nil {
		return e
	}
	if svc.waiting[urgent]+svc.waiting[bulk]+n > s.queueLimit(c) {
		return messenger.NewError(messenger.Overloaded, "").After(s.spread(svc.backlogMs(c, s)))
	}
	if backlog := svc.urgentWaitMs(s); c == urgent && svc.standing.tooLong(backlog, run, s.Settings.UrgentWaitPercent) {
		return messenger.NewError(messenger.Overloaded, "urgent work waits all the time").After(s.spread(backlog))
	}
	if !svc.affordable(int64(n) * run) {
		return messenger.NewError(messenger.AllowanceSpent, "").After(s.spread(allowanceRetryMs))
	}
	return s.admitTime(svc, c, s.team(r.Team), r, int64(n)*run)
}

// queueLimit is the number of waiting tasks up to which work of the class is
// taken. Bulk work leaves room for urgent work here as well.
func (s *State) queueLimit(c class) int {
	if c == bulk {
		return s.Settings.MaxWaitingTasks * (100 - max(0, s.Settings.UrgentReservePercent)) / 100
	}
	return s.Settings.MaxWaitingTasks
}

// admitSize refuses what no target can ever run, or none can run now.
func (s *State) admitSize(svc *service, r *messenger.SlotRequest) *messenger.Error {
	if svc.usable == 0 || svc.capacity() == 0 {
		return messenger.NewError(messenger.NoTarget, "").After(s.spread(noTargetRetryMs))
	}
	if r.DeclaredMemoryMB > svc.largestMemory() {
		return messenger.NewError(messenger.NeverRunnable, "the declared memory is above that of every target")
	}
	if r.DeadlineInMs > 0 && r.DeclaredRunMs/declaredError > r.DeadlineInMs {
		return messenger.NewError(messenger.NeverRunnable, "the declared run time of a task is far above the deadline")
	}
	return nil
}

// largestMemory is the memory of the largest known target.
func (svc *service) largestMemory() int64 {
	for i := len(svc.groups) - 1; i >= 0; i-- {
		if svc.groups[i].members > 0 {
			return svc.groups[i].memoryMB
		}
	}
	return 0
}

const (
	// declaredError is the factor by which declared run times are often wrong.
	declaredError = 5
	// noTargetRetryMs is about the time in which a target is readmitted.
	noTargetRetryMs = 1000
	// allowanceRetryMs is in the order of the lag of usage reports, after which
	// the allowance may be found to be less used than was reserved.
	allowanceRetryMs = 10_000
	// leastRetryMs keeps callers from coming back at once.
	leastRetryMs = 50
)

// admitTime refuses a job whose estimated finish lies after its deadline.
func (s *State) admitTime(svc *service, c class, t *team, r *messenger.SlotRequest, work int64) *messenger.Error {
	k := svc.kind(r.RequestType)
	mean := k.runMs(r.DeclaredRunMs)
	ahead := svc.aheadMs(c)
	start := waitMs(ahead+work, float64(svc.freeSlots(c, s))*float64(mean), svc.rate(c, s))
	if start+k.lastRunMs(mean, start) > r.DeadlineInMs {
		return messenger.NewError(messenger.DeadlineUnmeetable, "").After(s.spread(svc.backlogMs(c, s)))
	}
	if t.share == 0 {
		return messenger.NewError(messenger.OverQuota, "the team has no slots in this failure domain")
	}
	teamAhead := t.waitingMs[urgent]
	if c == bulk {
		teamAhead += t.waitingMs[bulk]
	}
	start = waitMs(teamAhead+work, float64(max(0, t.share-t.inUse))*float64(mean), float64(t.share))
	if start+k.lastRunMs(mean, start) > r.DeadlineInMs {
		return messenger.NewError(messenger.OverQuota, "").After(s.spread(teamAhead / int64(t.share)))
	}
	return nil
}

// waitMs is the time until the last task of the work starts, when free slots
// take a part of it at once and the rest is served at the rate, in slots.
func waitMs(work int64, free, rate float64) int64 {
	return int64(waitMargin * max(0, float64(work)-free) / rate)
}

// waitMargin covers later urgent work and tasks that run longer than the mean.
const waitMargin = 1.3

// freeSlots is the number of slots that work of the class can take at once.
func (svc *service) freeSlots(c class, s *State) int {
	free := svc.capacity() - svc.used()
	if c == bulk {
		free = min(free, svc.bulkSlots(s.Settings.UrgentReservePercent)-svc.inUse[bulk])
	}
	return max(0, free)
}

// rate is the number of slots that serve the class in the long run.
func (svc *service) rate(c class, s *State) float64 {
	capacity := float64(max(1, svc.capacity()))
	if c == urgent {
		return capacity
	}
	rest := min(float64(svc.bulkSlots(s.Settings.UrgentReservePercent)), capacity-svc.urgentUse)
	return max(rest, capacity/float64(s.Settings.BulkShare), 0.1)
}

// aheadMs is the estimated run time of the tasks that wait at the same or a
// higher priority.
func (svc *service) aheadMs(c class) int64 {
	work := int64(0)
	for _, k := range svc.kindList {
		work += k.waitingMs(urgent)
		if c == bulk {
			work += k.waitingMs(bulk)
		}
	}
	return work
}

// backlogMs is the estimated time to work off what waits for the class.
func (svc *service) backlogMs(c class, s *State) int64 {
	return int64(float64(svc.aheadMs(c)) / svc.rate(c, s))
}

// urgentWaitMs is the time that urgent work waits at present. While slots are
// free, what waits is held back by the share of its team.
func (svc *service) urgentWaitMs(s *State) int64 {
	if svc.freeSlots(urgent, s) > 0 {
		return 0
	}
	return svc.backlogMs(urgent, s)
}

// spread draws a retry time of one to two times the backlog, so that callers
// do not come back together.
func (s *State) spread(backlogMs int64) int64 {
	backlogMs = max(backlogMs, leastRetryMs)
	return backlogMs + s.random.Int64N(backlogMs+1)
}

// refuse tells the owner that a job gets no grant, or no further one.
func (s *State) refuse(p *peer, id string, e *messenger.Error) {
	s.count("refusal", string(e.Kind))
	s.refused.add(id, *e, s.now)
	p.sendRefusals = append(p.sendRefusals, messenger.SlotRefusal{JobID: id, Error: *e})
	s.touch(p)
}

func (s *State) refuseLate(j *job) {
	s.refuse(j.owner, j.id, messenger.NewError(messenger.DeadlineExceeded, ""))
	s.end(j)
}

func (s *State) refuseBudget(j *job) {
	e := messenger.NewError(messenger.Overloaded, "the retry budget is spent")
	// Other tasks of the job may have run; only its owner knows.
	e.Ran, e.SafeToResubmit = messenger.MayHaveRun, false
	s.refuse(j.owner, j.id, e.After(s.spread(j.service.backlogMs(j.class, s))))
	s.end(j)
}
