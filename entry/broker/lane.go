package broker

import "slices"

// lane is the queue of the waiting jobs of one class and team that fit targets
// of the same memory group and above. A team at its share, or a lack of free
// targets with enough memory, blocks whole lanes, so that the scheduler never
// has to skip jobs one by one.
type lane struct {
	service     *service
	class       class
	team        *team
	memoryGroup int
	byPolicy    heap[*job]
	// byArrival holds bulk jobs only.
	byArrival heap[*job]
	// byDeadline holds the jobs with a known deadline.
	byDeadline heap[*job]

	// Positions in the heaps of the laneSet: the index plus one, or 0 if absent.
	policyPos   int
	arrivalPos  int
	deadlinePos int
}

type laneKey struct {
	class       class
	team        *team
	memoryGroup int
}

// laneSet holds the lanes of one class and memory group that have waiting jobs
// and a team below its share, ordered by their first jobs. With it the next job
// is found without a scan over all teams.
type laneSet struct {
	byPolicy   heap[*lane]
	byArrival  heap[*lane]
	byDeadline heap[*lane]
}

func newLaneSet(less func(a, b *job) bool) *laneSet {
	return &laneSet{
		byPolicy: heap[*lane]{position: func(l *lane) *int { return &l.policyPos },
			less: func(a, b *lane) bool { return less(a.byPolicy.top(), b.byPolicy.top()) }},
		byArrival: heap[*lane]{position: func(l *lane) *int { return &l.arrivalPos },
			less: func(a, b *lane) bool { return arrivedBefore(a.byArrival.top(), b.byArrival.top()) }},
		byDeadline: heap[*lane]{position: func(l *lane) *int { return &l.deadlinePos },
			less: func(a, b *lane) bool { return deadlineBefore(a.byDeadline.top(), b.byDeadline.top()) }},
	}
}

// ensureLane returns the lane of the job and adds it if there is none.
func (svc *service) ensureLane(j *job) *lane {
	key := laneKey{j.class, j.team, svc.memoryGroupIndex(j.memoryMB)}
	l := svc.lanes[key]
	if l == nil {
		l = &lane{service: svc, class: key.class, team: key.team, memoryGroup: key.memoryGroup}
		l.byPolicy = heap[*job]{less: svc.jobLess, position: func(j *job) *int { return &j.policyPos }}
		l.byArrival = heap[*job]{less: arrivedBefore, position: func(j *job) *int { return &j.arrivalPos }}
		l.byDeadline = heap[*job]{less: deadlineBefore, position: func(j *job) *int { return &j.laneDeadlinePos }}
		svc.lanes[key] = l
		key.team.lanes = append(key.team.lanes, l)
	}
	return l
}

// reposition updates the lane's position in its laneSet. Call it whenever the
// first job in one of its heaps may have changed, and when its team reaches or
// drops below its share.
func (l *lane) reposition() {
	set := l.service.readyLanes[l.class][l.memoryGroup]
	blocked := !l.team.belowShare()
	updateHeap(&set.byPolicy, l, !blocked && l.byPolicy.len() > 0)
	updateHeap(&set.byArrival, l, !blocked && l.byArrival.len() > 0)
	updateHeap(&set.byDeadline, l, !blocked && l.byDeadline.len() > 0)
}

// updateHeap adds, moves or removes the lane, depending on whether it belongs in
// the heap.
func updateHeap(h *heap[*lane], l *lane, in bool) {
	switch {
	case !in:
		h.remove(l)
	case h.has(l):
		h.fix(l)
	default:
		h.push(l)
	}
}

// addToLane adds a job with waiting tasks to its lane.
func (svc *service) addToLane(j *job) {
	l := svc.ensureLane(j)
	j.lane = l
	l.byPolicy.push(j)
	if j.class == bulk {
		l.byArrival.push(j)
	}
	if j.deadline != 0 {
		l.byDeadline.push(j)
	}
	l.reposition()
}

// removeFromLane removes the job from its lane.
func (svc *service) removeFromLane(j *job) {
	l := j.lane
	if l == nil {
		return
	}
	j.lane = nil
	l.byPolicy.remove(j)
	l.byArrival.remove(j)
	l.byDeadline.remove(j)
	l.reposition()
}

// reorder updates the position of the job after its number of unfinished tasks
// changed.
func (j *job) reorder() {
	if j.lane != nil {
		j.lane.byPolicy.fix(j)
		j.lane.reposition()
	}
}

// rebuildLanes assigns all waiting jobs to new lanes after the memory groups of
// the targets changed.
func (svc *service) rebuildLanes() {
	var jobs []*job
	for _, l := range svc.lanes {
		jobs = append(jobs, l.byPolicy.items...)
	}
	svc.dropLanes()
	for c := range svc.readyLanes {
		svc.readyLanes[c] = nil
		// The last set is for jobs that need more memory than any target has.
		for range len(svc.memoryGroups) + 1 {
			svc.readyLanes[c] = append(svc.readyLanes[c], newLaneSet(svc.jobLess))
		}
	}
	for _, j := range jobs {
		j.policyPos, j.arrivalPos, j.laneDeadlinePos = 0, 0, 0
		svc.addToLane(j)
	}
}

// dropLanes removes all lanes of the service.
func (svc *service) dropLanes() {
	for key := range svc.lanes {
		key.team.lanes = slices.DeleteFunc(key.team.lanes, func(l *lane) bool { return l.service == svc })
	}
	clear(svc.lanes)
}

// oldestBulkJob returns the bulk job that arrived first among those that can get
// a grant now, or nil.
func (svc *service) oldestBulkJob() *job {
	var best *job
	for _, set := range svc.readyLanes[bulk][:svc.largestFreeGroup()+1] {
		if set.byArrival.len() == 0 {
			continue
		}
		if j := set.byArrival.top().byArrival.top(); best == nil || arrivedBefore(j, best) {
			best = j
		}
	}
	return best
}

// firstJob returns the first job of the class among those that have a free
// target and a team below its share, or nil. This is the job with the earliest
// deadline if that deadline is at risk, and otherwise the first in policy order.
func (svc *service) firstJob(c class, now int64) *job {
	var best, due *job
	for _, set := range svc.readyLanes[c][:svc.largestFreeGroup()+1] {
		if set.byPolicy.len() == 0 {
			continue
		}
		if j := set.byPolicy.top().byPolicy.top(); best == nil || svc.jobLess(j, best) {
			best = j
		}
		if set.byDeadline.len() == 0 {
			continue
		}
		if j := set.byDeadline.top().byDeadline.top(); due == nil || deadlineBefore(j, due) {
			due = j
		}
	}
	if due != nil && due.deadlineAtRisk(svc.backlogMs[c], now) {
		return due
	}
	return best
}

// deadlineAtRisk reports whether the job would miss its deadline if the whole
// backlog of its class were served first. Without this check, smaller jobs would
// overtake a large one under sustained load until its deadline has passed.
func (j *job) deadlineAtRisk(backlogMs, now int64) bool {
	return j.deadline-now < (j.typeStats.tailRunMs(j.taskMs)+backlogMs)*ms
}
