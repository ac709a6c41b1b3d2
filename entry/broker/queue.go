package broker

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
