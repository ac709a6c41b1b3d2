package broker

// enqueue adds a job with waiting tasks to its queue, to the heap of deadlines
// and to the totals of waiting work.
func (svc *service) enqueue(j *job) {
	n := int64(j.waitingTasks())
	svc.waitingTasks[j.class] += int(n)
	j.typeStats.addWaiting(j, n)
	j.team.waitingMs[j.class] += n * j.taskMs
	svc.addToJobQueue(j)
	if j.deadline != 0 {
		svc.deadlines.push(j)
	}
	svc.dirty = true
}

// discardTasks removes the job from the queue and drops its waiting tasks and
// what they reserve of the allowance.
func (svc *service) discardTasks(j *job) {
	n := int64(j.waitingTasks())
	if n == 0 {
		return
	}
	svc.dequeue(j)
	svc.reservedMs -= n * j.reservedMs
	j.tasks, j.requeued = nil, nil
}

// dequeue removes the job from the queue and from the totals of waiting work.
// The job keeps its tasks and their reservations; enqueue adds it back.
func (svc *service) dequeue(j *job) {
	n := int64(j.waitingTasks())
	if n == 0 {
		return
	}
	svc.waitingTasks[j.class] -= int(n)
	j.typeStats.addWaiting(j, -n)
	j.team.waitingMs[j.class] -= n * j.taskMs
	svc.removeFromJobQueue(j)
	svc.deadlines.remove(j)
}

// taskGranted updates the queue after one task of the job got a grant.
func (svc *service) taskGranted(j *job) {
	svc.waitingTasks[j.class]--
	j.typeStats.addWaiting(j, -1)
	j.team.waitingMs[j.class] -= j.taskMs
	if j.waitingTasks() == 0 {
		svc.removeFromJobQueue(j)
		svc.deadlines.remove(j)
	}
}

// nextJob returns the job whose task is granted next, or nil. Urgent work goes
// first, except that old bulk work gets one of every Settings.BulkShare grants.
func (s *State) nextJob(svc *service) *job {
	if svc.inUse[urgent]+svc.inUse[bulk] >= svc.share {
		return nil
	}
	bulkAllowed := svc.inUse[bulk] < svc.bulkSlots(s.Settings.UrgentReservePercent)
	if bulkAllowed && svc.grantsSinceAged >= s.Settings.BulkShare-1 {
		if j := svc.oldestBulkJob(); j != nil && s.now-j.arrived > s.Settings.BulkAgeMs*ms {
			svc.grantsSinceAged = 0
			return j
		}
	}
	if j := svc.firstJob(urgent, s.now); j != nil {
		svc.grantsSinceAged++
		return j
	}
	if !bulkAllowed {
		return nil
	}
	return svc.firstJob(bulk, s.now)
}

// grantWaiting grants waiting tasks while there are free slots for them.
func (s *State) grantWaiting(svc *service) {
	if !svc.granting {
		return
	}
	s.expireJobs(svc)
	for c := range classCount {
		svc.backlogMs[c] = estimateWaitMs(svc.queuedMs(c), 0, svc.sustainedSlots(c, s))
	}
	for {
		j := s.nextJob(svc)
		if j == nil {
			return
		}
		t := s.chooseTarget(svc, j)
		if t == nil {
			return
		}
		s.issueGrant(j, t)
	}
}

// expireJobs refuses the waiting jobs whose deadline has passed or is at most
// half of the mean run time away. Most of their tasks would finish too late and
// waste slots.
func (s *State) expireJobs(svc *service) {
	for svc.deadlines.len() > 0 {
		j := svc.deadlines.top()
		if j.deadline > s.now+j.typeStats.halfMeanRunMs()*ms {
			return
		}
		s.refuseExpired(j)
	}
}
