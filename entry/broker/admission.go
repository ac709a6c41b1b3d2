package broker

import (
	"fmt"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// handleRequest handles a request for slots: it admits the job and queues its
// tasks, or refuses it. Tasks that already wait or have a grant are ignored.
func (s *State) handleRequest(p *peer, r *messenger.SlotRequest) {
	if refused, ok := s.refusedJobs.byJob[r.JobID]; ok {
		s.refuse(p, r.JobID, &refused.error)
		return
	}
	svc := s.services[r.Service]
	if svc == nil {
		s.handleMisdirectedRequest(p, r)
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
	svc.dequeue(j)
	j.memoryMB = r.DeclaredMemoryMB
	j.arrived = s.now - max(0, r.WaitedMs)*ms
	j.deadline = s.now + max(0, r.DeadlineInMs)*ms
	if j.unfinished() == 0 {
		j.taskMs = j.typeStats.runMs(r.DeclaredRunMs)
		j.reservedMs = svc.reservation(j.taskMs)
	}
	j.tasks = append(j.tasks, tasks...)
	svc.reservedMs += int64(len(tasks)) * j.reservedMs
	svc.enqueue(j)
	if j.deadline <= s.now {
		s.refuseExpired(j)
	}
}

// handleMisdirectedRequest handles a request for a service whose broker is
// another entry, or that the configuration does not contain.
func (s *State) handleMisdirectedRequest(p *peer, r *messenger.SlotRequest) {
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

// newTasks returns the tasks of the list that neither wait nor have a grant,
// without duplicates.
func (s *State) newTasks(j *job, list []int) []int {
	if j == nil && strictlyIncreasing(list) {
		return list
	}
	known := map[int]bool{}
	if j != nil {
		for _, t := range j.tasks {
			known[t] = true
		}
		for _, r := range j.requeued {
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

// strictlyIncreasing reports whether the list is sorted and has no duplicates.
func strictlyIncreasing(list []int) bool {
	for i := 1; i < len(list); i++ {
		if list[i] <= list[i-1] {
			return false
		}
	}
	return true
}

// classFor returns the class of a request. A request may lower the priority that
// the configuration sets for its request type, but not raise it.
func (s *State) classFor(svc *service, r *messenger.SlotRequest) class {
	c := classOf(r.Priority)
	if rt, ok := svc.requestTypes[r.RequestType]; ok {
		c = max(c, classOf(rt.Priority))
	}
	return c
}

// admit decides whether to accept all n tasks of the job. It returns nil to
// accept or the error to refuse the job with.
func (s *State) admit(svc *service, c class, r *messenger.SlotRequest, n int) *messenger.Error {
	if !s.configured {
		return messenger.NewError(messenger.NotReady, "")
	}
	if _, ok := s.configuration.Services[svc.name]; !ok {
		return messenger.NewError(messenger.UnknownService, "")
	}
	if _, ok := svc.requestTypes[r.RequestType]; !ok {
		return messenger.NewError(messenger.UnknownService, fmt.Sprintf("service %q has no request type %q", svc.name, r.RequestType))
	}
	if _, ok := s.configuration.Teams[r.Team]; !ok {
		return messenger.NewError(messenger.UnknownTeam, "")
	}
	run := svc.statsFor(r.RequestType).runMs(r.DeclaredRunMs)
	if e := s.checkRunnable(svc, r); e != nil {
		return e
	}
	if svc.waitingTasks[urgent]+svc.waitingTasks[bulk]+n > s.queueLimit(c) {
		return messenger.NewError(messenger.Overloaded, "").WithRetryAfter(s.retryDelay(svc.estimateBacklogMs(c, s)))
	}
	if backlog := svc.urgentWaitMs(s); c == urgent && svc.standing.exceeds(backlog, run, s.Settings.UrgentWaitPercent) {
		return messenger.NewError(messenger.Overloaded, "urgent work waits all the time").WithRetryAfter(s.retryDelay(backlog))
	}
	if !svc.fitsAllowance(int64(n) * run) {
		return messenger.NewError(messenger.AllowanceExhausted, "").WithRetryAfter(s.retryDelay(allowanceRetryMs))
	}
	return s.checkDeadline(svc, c, s.ensureTeam(r.Team), r, int64(n)*run)
}

// queueLimit returns the queue length up to which work of the class is admitted.
// The reserve for urgent work applies to the queue as well as to the slots.
func (s *State) queueLimit(c class) int {
	if c == bulk {
		return s.Settings.MaxWaitingTasks * (100 - max(0, s.Settings.UrgentReservePercent)) / 100
	}
	return s.Settings.MaxWaitingTasks
}

// checkRunnable refuses a job that no target can ever run, and any job while
// there is no usable target.
func (s *State) checkRunnable(svc *service, r *messenger.SlotRequest) *messenger.Error {
	if svc.usableTargets == 0 || svc.capacity() == 0 {
		return messenger.NewError(messenger.NoTarget, "").WithRetryAfter(s.retryDelay(noTargetRetryMs))
	}
	if r.DeclaredMemoryMB > svc.maxTargetMemory() {
		return messenger.NewError(messenger.NeverRunnable, "the declared memory is above that of every target")
	}
	if r.DeadlineInMs > 0 && r.DeclaredRunMs/declaredErrorFactor > r.DeadlineInMs {
		return messenger.NewError(messenger.NeverRunnable, "the declared run time of a task is far above the deadline")
	}
	return nil
}

// maxTargetMemory returns the memory of the largest known target.
func (svc *service) maxTargetMemory() int64 {
	for i := len(svc.memoryGroups) - 1; i >= 0; i-- {
		if svc.memoryGroups[i].targetCount > 0 {
			return svc.memoryGroups[i].memoryMB
		}
	}
	return 0
}

const (
	// declaredErrorFactor is the factor by which declared run times are often
	// wrong.
	declaredErrorFactor = 5
	// noTargetRetryMs approximates the time until an ejected target is on trial
	// and gets tasks again.
	noTargetRetryMs = 1000
	// allowanceRetryMs is on the order of the lag of usage reports. After it
	// the reported usage may turn out lower than what was reserved.
	allowanceRetryMs = 10_000
	// minRetryMs keeps callers from retrying immediately.
	minRetryMs = 50
)

// checkDeadline refuses a job that is estimated to finish after its deadline,
// given the load of the service and the share of the team.
func (s *State) checkDeadline(svc *service, c class, t *team, r *messenger.SlotRequest, work int64) *messenger.Error {
	stats := svc.statsFor(r.RequestType)
	estimate := stats.runMs(r.DeclaredRunMs)
	ahead := svc.queuedMs(c)
	start := estimateWaitMs(ahead+work, float64(svc.freeSlots(c, s))*float64(estimate), svc.sustainedSlots(c, s))
	if start+stats.lastRunMs(estimate, start) > r.DeadlineInMs {
		return messenger.NewError(messenger.DeadlineUnmeetable, "").WithRetryAfter(s.retryDelay(svc.estimateBacklogMs(c, s)))
	}
	if t.share == 0 {
		return messenger.NewError(messenger.OverQuota, "the team has no slots in this failure domain")
	}
	teamAhead := t.waitingMs[urgent]
	if c == bulk {
		teamAhead += t.waitingMs[bulk]
	}
	start = estimateWaitMs(teamAhead+work, float64(max(0, t.share-t.inUse))*float64(estimate), float64(t.share))
	if start+stats.lastRunMs(estimate, start) > r.DeadlineInMs {
		return messenger.NewError(messenger.OverQuota, "").WithRetryAfter(s.retryDelay(teamAhead / int64(t.share)))
	}
	return nil
}

// estimateWaitMs estimates the time until the last task of the work starts. work
// and free are in slot milliseconds: free is the part that free slots take at
// once, and the rest is served by the given number of slots.
func estimateWaitMs(work int64, free, slots float64) int64 {
	return int64(waitMargin * max(0, float64(work)-free) / slots)
}

// waitMargin multiplies the estimated wait, to allow for urgent work that arrives
// later and for tasks that run longer than the mean.
const waitMargin = 1.3

// freeSlots returns the number of slots that work of the class can use now.
func (svc *service) freeSlots(c class, s *State) int {
	free := svc.capacity() - svc.slotsInUse()
	if c == bulk {
		free = min(free, svc.bulkSlots(s.Settings.UrgentReservePercent)-svc.inUse[bulk])
	}
	return max(0, free)
}

// sustainedSlots returns the average number of slots that serve the class in the
// long run. Bulk work gets what urgent work leaves, but at least one of every
// Settings.BulkShare slots, as aged bulk work does.
func (svc *service) sustainedSlots(c class, s *State) float64 {
	capacity := float64(max(1, svc.capacity()))
	if c == urgent {
		return capacity
	}
	rest := min(float64(svc.bulkSlots(s.Settings.UrgentReservePercent)), capacity-svc.meanUrgentInUse)
	return max(rest, capacity/float64(s.Settings.BulkShare), 0.1)
}

// queuedMs returns the estimated run time of the tasks that wait at the same or
// a higher priority.
func (svc *service) queuedMs(c class) int64 {
	work := int64(0)
	for _, stats := range svc.typeStatsList {
		work += stats.waitingMs(urgent)
		if c == bulk {
			work += stats.waitingMs(bulk)
		}
	}
	return work
}

// estimateBacklogMs estimates the time to serve the waiting work of the class
// and of the classes above it.
func (svc *service) estimateBacklogMs(c class, s *State) int64 {
	return int64(float64(svc.queuedMs(c)) / svc.sustainedSlots(c, s))
}

// urgentWaitMs estimates how long urgent work waits for a slot. It is 0 while
// slots are free: urgent work that waits although a slot is free does so only
// because its team is at its share.
func (svc *service) urgentWaitMs(s *State) int64 {
	if svc.freeSlots(urgent, s) > 0 {
		return 0
	}
	return svc.estimateBacklogMs(urgent, s)
}

// retryDelay returns a random delay of one to two times the backlog, so that
// callers do not all retry at the same time.
func (s *State) retryDelay(backlogMs int64) int64 {
	backlogMs = max(backlogMs, minRetryMs)
	return backlogMs + s.random.Int64N(backlogMs+1)
}

// refuse tells the owner that a job gets no grants, or no more, and why.
func (s *State) refuse(p *peer, id string, e *messenger.Error) {
	s.count("refusal", string(e.Kind))
	s.refusedJobs.add(id, *e, s.now)
	p.pendingRefusals = append(p.pendingRefusals, messenger.SlotRefusal{JobID: id, Error: *e})
	s.markPending(p)
}

func (s *State) refuseExpired(j *job) {
	s.refuse(j.owner, j.id, messenger.NewError(messenger.DeadlineExceeded, ""))
	s.endJob(j)
}

func (s *State) refuseRetry(j *job) {
	e := messenger.NewError(messenger.Overloaded, "the retry budget is spent")
	// Other tasks of the job may have run. Only the entry that owns the job knows
	// whether they did.
	e.Ran, e.SafeToResubmit = messenger.MayHaveRun, false
	s.refuse(j.owner, j.id, e.WithRetryAfter(s.retryDelay(j.service.estimateBacklogMs(j.class, s))))
	s.endJob(j)
}
