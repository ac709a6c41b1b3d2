package broker

// lane holds the waiting jobs of one class and team that need targets of the
// same memory group or above. A team at its share, or a lack of large targets,
// blocks whole lanes, so that no job has to be passed over one by one.
type lane struct {
	key   laneKey
	order heap[*job]
	// age orders bulk jobs by arrival.
	age heap[*job]
	// due orders jobs with a deadline by it.
	due   heap[*job]
	place int
}

type laneKey struct {
	class class
	team  *team
	group int
}

// enqueue puts a job with waiting tasks into its lane.
func (svc *service) enqueue(j *job) {
	n := int64(j.waiting())
	svc.waiting[j.class] += int(n)
	j.kind.add(j, n)
	j.team.waitingMs[j.class] += n * j.taskMs
	svc.insert(j)
	if j.deadline != 0 {
		svc.deadlines.push(j)
	}
	svc.dirty = true
}

// dequeue takes the job and all its waiting tasks out of the queue.
func (svc *service) dequeue(j *job) {
	n := int64(j.waiting())
	if n == 0 {
		return
	}
	svc.dequeueKeep(j)
	svc.reservedMs -= n * j.reservedMs
	j.tasks, j.retries = nil, nil
}

// dequeueKeep takes the job out of the queue and its accounts, but keeps its
// tasks and their reservations; enqueue puts it back.
func (svc *service) dequeueKeep(j *job) {
	n := int64(j.waiting())
	if n == 0 {
		return
	}
	svc.waiting[j.class] -= int(n)
	j.kind.add(j, -n)
	j.team.waitingMs[j.class] -= n * j.taskMs
	svc.withdraw(j)
	svc.deadlines.remove(j)
}

// taken accounts for one task that left the queue by a grant.
func (svc *service) taken(j *job) {
	svc.waiting[j.class]--
	j.kind.add(j, -1)
	j.team.waitingMs[j.class] -= j.taskMs
	if j.waiting() == 0 {
		svc.withdraw(j)
		svc.deadlines.remove(j)
	}
}

func (svc *service) insert(j *job) {
	key := laneKey{j.class, j.team, svc.groupFor(j.memoryMB)}
	l := svc.lanes[key]
	if l == nil {
		l = &lane{key: key}
		l.order = heap[*job]{less: svc.order, place: func(j *job) *int { return &j.orderPlace }}
		l.age = heap[*job]{less: arrivedFirst, place: func(j *job) *int { return &j.agePlace }}
		l.due = heap[*job]{less: deadlineFirst, place: func(j *job) *int { return &j.duePlace }}
		svc.lanes[key] = l
	}
	if l.order.len() == 0 {
		svc.active[key.class] = append(svc.active[key.class], l)
		l.place = len(svc.active[key.class])
	}
	j.lane = l
	l.order.push(j)
	if j.class == bulk {
		l.age.push(j)
	}
	if j.deadline != 0 {
		l.due.push(j)
	}
}

func (svc *service) withdraw(j *job) {
	l := j.lane
	if l == nil {
		return
	}
	l.order.remove(j)
	l.age.remove(j)
	l.due.remove(j)
	j.lane = nil
	if l.order.len() > 0 {
		return
	}
	list := svc.active[l.key.class]
	last := len(list) - 1
	list[l.place-1] = list[last]
	list[l.place-1].place = l.place
	list[last] = nil
	svc.active[l.key.class] = list[:last]
	l.place = 0
}

// relane sorts all waiting jobs into lanes again, after the memory groups of
// the targets changed.
func (svc *service) relane() {
	var all []*job
	for c := range svc.active {
		for _, l := range svc.active[c] {
			all = append(all, l.order.items...)
		}
	}
	for _, j := range all {
		svc.withdraw(j)
	}
	svc.lanes = map[laneKey]*lane{}
	for _, j := range all {
		svc.insert(j)
	}
}

// oldest returns the bulk job that arrived first, of those that can be granted.
func (svc *service) oldest() *job {
	var best *job
	free := svc.freeGroup()
	for _, l := range svc.active[bulk] {
		if l.key.group > free || !l.key.team.room() {
			continue
		}
		if j := l.age.top(); best == nil || arrivedFirst(j, best) {
			best = j
		}
	}
	return best
}

// first returns the job of the class that goes first, of those that have a
// free target and a team with room: the one with the earliest deadline if that
// is in danger, or else the first in order.
func (svc *service) first(c class, now int64) *job {
	var best, due *job
	free := svc.freeGroup()
	for _, l := range svc.active[c] {
		if l.key.group > free || !l.key.team.room() {
			continue
		}
		if j := l.order.top(); best == nil || svc.order(j, best) {
			best = j
		}
		if l.due.len() == 0 {
			continue
		}
		if j := l.due.top(); (due == nil || deadlineFirst(j, due)) && j.pressing(svc.backlog[c], now) {
			due = j
		}
	}
	if due != nil {
		return due
	}
	return best
}

// pressing reports whether the job's deadline is in danger: the whole backlog
// of its class could not be served before it. Under a lasting load smaller jobs
// would overtake the job until it is too late.
func (j *job) pressing(backlogMs, now int64) bool {
	return j.deadline-now < (j.kind.highMs(j.taskMs)+backlogMs)*ms
}

// next returns the job whose task is to be granted next, or nil.
func (s *State) next(svc *service) *job {
	if svc.inUse[urgent]+svc.inUse[bulk] >= svc.share {
		return nil
	}
	bulkRoom := svc.inUse[bulk] < svc.bulkSlots(s.Settings.UrgentReservePercent)
	if bulkRoom && svc.sinceAged >= s.Settings.BulkShare-1 {
		if j := svc.oldest(); j != nil && s.now-j.arrived > s.Settings.BulkAgeMs*ms {
			svc.sinceAged = 0
			return j
		}
	}
	if j := svc.first(urgent, s.now); j != nil {
		svc.sinceAged++
		return j
	}
	if !bulkRoom {
		return nil
	}
	return svc.first(bulk, s.now)
}

// serve grants tasks while there are free slots for them.
func (s *State) serve(svc *service) {
	if !svc.open {
		return
	}
	s.expireJobs(svc)
	for c := range classes {
		svc.backlog[c] = waitMs(svc.aheadMs(c), 0, svc.rate(c, s))
	}
	for {
		j := s.next(svc)
		if j == nil {
			return
		}
		t := s.choose(svc, j)
		if t == nil {
			return
		}
		s.issue(j, t)
	}
}

// expireJobs refuses the waiting tasks of jobs whose deadline has passed, or
// is so near that less than half of a run fits in: slots would be wasted.
func (s *State) expireJobs(svc *service) {
	for svc.deadlines.len() > 0 {
		j := svc.deadlines.top()
		if j.deadline > s.now+j.kind.leastMs()*ms {
			return
		}
		s.refuseLate(j)
	}
}
