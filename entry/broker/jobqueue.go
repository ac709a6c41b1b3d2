package broker

import "slices"

// jobQueue holds the waiting jobs of one class, team and memory group. The memory
// group is the smallest one with enough memory for the job; its tasks also fit
// the targets of larger groups. A team at its share, or a lack of free targets
// with enough memory, blocks whole queues, so that the scheduler never has to
// skip jobs one by one.
type jobQueue struct {
	service     *service
	class       class
	team        *team
	memoryGroup int
	// byOrder is sorted by Settings.Order.
	byOrder heap[*job]
	// byArrival holds bulk jobs only.
	byArrival heap[*job]
	// byDeadline holds the jobs with a known deadline.
	byDeadline heap[*job]

	// Positions in the heaps of the queueSet: the index plus one, or 0 if absent.
	orderPos    int
	arrivalPos  int
	deadlinePos int
}

type queueKey struct {
	class       class
	team        *team
	memoryGroup int
}

// queueSet holds the queues of one class and memory group that have waiting jobs
// and a team below its share, ordered by their first jobs. It gives the next job
// without a scan over all teams.
type queueSet struct {
	byOrder    heap[*jobQueue]
	byArrival  heap[*jobQueue]
	byDeadline heap[*jobQueue]
}

func newQueueSet(less func(a, b *job) bool) *queueSet {
	return &queueSet{
		byOrder: heap[*jobQueue]{position: func(q *jobQueue) *int { return &q.orderPos },
			less: func(a, b *jobQueue) bool { return less(a.byOrder.top(), b.byOrder.top()) }},
		byArrival: heap[*jobQueue]{position: func(q *jobQueue) *int { return &q.arrivalPos },
			less: func(a, b *jobQueue) bool { return arrivedBefore(a.byArrival.top(), b.byArrival.top()) }},
		byDeadline: heap[*jobQueue]{position: func(q *jobQueue) *int { return &q.deadlinePos },
			less: func(a, b *jobQueue) bool { return deadlineBefore(a.byDeadline.top(), b.byDeadline.top()) }},
	}
}

// ensureJobQueue returns the queue for the job and adds it if there is none.
func (svc *service) ensureJobQueue(j *job) *jobQueue {
	key := queueKey{j.class, j.team, svc.memoryGroupIndex(j.memoryMB)}
	q := svc.queues[key]
	if q == nil {
		q = &jobQueue{service: svc, class: key.class, team: key.team, memoryGroup: key.memoryGroup}
		q.byOrder = heap[*job]{less: svc.orderedBefore, position: func(j *job) *int { return &j.orderPos }}
		q.byArrival = heap[*job]{less: arrivedBefore, position: func(j *job) *int { return &j.arrivalPos }}
		q.byDeadline = heap[*job]{less: deadlineBefore, position: func(j *job) *int { return &j.queueDeadlinePos }}
		svc.queues[key] = q
		key.team.queues = append(key.team.queues, q)
	}
	return q
}

// reposition updates the queue's position in its queueSet. Call it whenever the
// first job in one of its heaps may have changed, and when its team reaches or
// drops below its share.
func (q *jobQueue) reposition() {
	set := q.service.readyQueues[q.class][q.memoryGroup]
	blocked := !q.team.belowShare()
	updateHeap(&set.byOrder, q, !blocked && q.byOrder.len() > 0)
	updateHeap(&set.byArrival, q, !blocked && q.byArrival.len() > 0)
	updateHeap(&set.byDeadline, q, !blocked && q.byDeadline.len() > 0)
}

// updateHeap adds, moves or removes the queue, depending on whether it belongs
// in the heap.
func updateHeap(h *heap[*jobQueue], q *jobQueue, in bool) {
	switch {
	case !in:
		h.remove(q)
	case h.has(q):
		h.fix(q)
	default:
		h.push(q)
	}
}

// addToJobQueue adds a job with waiting tasks to the queue for its class, team
// and memory group.
func (svc *service) addToJobQueue(j *job) {
	q := svc.ensureJobQueue(j)
	j.queue = q
	q.byOrder.push(j)
	if j.class == bulk {
		q.byArrival.push(j)
	}
	if j.deadline != 0 {
		q.byDeadline.push(j)
	}
	q.reposition()
}

// removeFromJobQueue removes the job from its queue.
func (svc *service) removeFromJobQueue(j *job) {
	q := j.queue
	if q == nil {
		return
	}
	j.queue = nil
	q.byOrder.remove(j)
	q.byArrival.remove(j)
	q.byDeadline.remove(j)
	q.reposition()
}

// reorder updates the position of the job after its number of unfinished tasks
// changed.
func (j *job) reorder() {
	if j.queue != nil {
		j.queue.byOrder.fix(j)
		j.queue.reposition()
	}
}

// rebuildQueues assigns all waiting jobs to new queues after the memory groups of
// the targets changed.
func (svc *service) rebuildQueues() {
	var jobs []*job
	for _, q := range svc.queues {
		jobs = append(jobs, q.byOrder.items...)
	}
	svc.dropQueues()
	for c := range svc.readyQueues {
		svc.readyQueues[c] = nil
		// The last set is for jobs that need more memory than any target has.
		for range len(svc.memoryGroups) + 1 {
			svc.readyQueues[c] = append(svc.readyQueues[c], newQueueSet(svc.orderedBefore))
		}
	}
	for _, j := range jobs {
		j.orderPos, j.arrivalPos, j.queueDeadlinePos = 0, 0, 0
		svc.addToJobQueue(j)
	}
}

// dropQueues removes all queues of the service.
func (svc *service) dropQueues() {
	for key := range svc.queues {
		key.team.queues = slices.DeleteFunc(key.team.queues, func(q *jobQueue) bool { return q.service == svc })
	}
	clear(svc.queues)
}

// oldestBulkJob returns the bulk job that arrived first among those that can get
// a grant now, or nil.
func (svc *service) oldestBulkJob() *job {
	var best *job
	for _, set := range svc.readyQueues[bulk][:svc.largestFreeGroup()+1] {
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
// deadline if that deadline is at risk, and otherwise the first by Settings.Order.
func (svc *service) firstJob(c class, now int64) *job {
	var best, due *job
	for _, set := range svc.readyQueues[c][:svc.largestFreeGroup()+1] {
		if set.byOrder.len() == 0 {
			continue
		}
		if j := set.byOrder.top().byOrder.top(); best == nil || svc.orderedBefore(j, best) {
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
