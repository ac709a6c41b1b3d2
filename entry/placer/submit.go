package placer

import (
	"fmt"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// handleSubmit accepts a job. If a job with this id is in progress, the caller
// resubmitted it and its earlier request is obsolete, so the new request
// replaces the earlier one.
func (s *State) handleSubmit(now time.Time, msg Submit) {
	if !msg.AttestedAt.IsZero() && now.Sub(msg.AttestedAt) >= heldUpAge {
		s.log("job was held up on the way", map[string]any{"job": msg.Job.ID, "entry": msg.Entry, "attestedAgeMs": now.Sub(msg.AttestedAt).Milliseconds()})
		s.emit(Answer{msg.Waiter, Result{Err: messenger.NewError(messenger.NoTarget, "the job was held up on the way from its entry")}})
		return
	}
	if existing := s.jobs[msg.Job.ID]; existing != nil {
		s.log("job resubmitted", map[string]any{"job": existing.ID, "entry": msg.Entry, "before": existing.entry})
		s.emit(Answer{existing.waiter, Result{Err: messenger.NewError(messenger.TargetLost, "the job was resubmitted in another request")}})
		existing.waiter, existing.entry = msg.Waiter, msg.Entry
		existing.deadline, existing.receivedAt, existing.attestedAt = msg.deadline(now), msg.arrivedAt(now), msg.AttestedAt
		return
	}
	if !s.isOwner {
		s.emit(Answer{msg.Waiter, Result{Err: messenger.NewError(messenger.NoTarget, "this entry does not own the workers")}})
		return
	}
	j := newJob(now, msg)
	j.latestStart = j.submittedAt.Add(s.maxQueueWait(j))
	s.jobs[j.ID] = j
	if len(msg.Placements) > 0 {
		s.resumeJob(now, j, msg.Placements)
		return
	}
	if s.crashedTooOften(j) {
		s.finishJob(now, j, Result{Failed: true})
		return
	}
	if s.adoptOrphans(now, j) {
		s.enqueue(j)
		return
	}
	if len(s.heldBackTasks(now, j)) > 0 {
		// An earlier submission of the job has run or may still run.
		s.log("job waits for a worker that may have restarted", map[string]any{"job": j.ID, "entry": msg.Entry})
		j.started, j.startRequested = true, true
		s.enqueue(j)
		return
	}
	if result, ok := s.redirect(now, j, msg); ok {
		s.finishJob(now, j, result)
		return
	}
	if rule, err := s.refusal(now, j); err != nil {
		s.refuse(now, j, rule, err)
		return
	}
	s.recordArrival(now, j)
	s.enqueue(j)
}

// resumeJob continues a job of a previous owner.
func (s *State) resumeJob(now time.Time, j *job, placements []Placement) {
	j.started, j.startRequested = true, true
	s.adoptionDeadline = now.Add(2 * adoptionTimeout)
	for _, p := range placements {
		if p.Task < 0 || p.Task >= len(j.tasks) {
			continue
		}
		t := &j.tasks[p.Task]
		t.workerID, t.lastRunNumber = p.Worker, p.Number
		t.failures, t.hungRuns = max(p.Failures, 0), max(p.HungRuns, 0)
		s.addLateStarts(now, j, p)
		if p.Done && !t.done {
			t.done = true
			j.remainingTasks--
		}
		if t.done || p.Ended {
			continue
		}
		t.awaitedRun, t.awaitingSince = &RunKey{j.taskName(p.Task), p.Number}, now
		if p.Number == 0 {
			t.resumedAt = now
		}
	}
	s.log("resuming a job of a previous owner", map[string]any{"job": j.ID, "left": j.remainingTasks})
	if j.remainingTasks == 0 {
		s.finishJob(now, j, Result{Completed: true})
		return
	}
	for _, w := range s.sortedWorkers {
		if w.phase == owned && j.awaitsRunOn(w) {
			s.adoptAwaitedRuns(now, w, time.Time{})
			if now.Sub(w.probedAt) >= probeInterval {
				s.probe(now, w)
			}
		}
	}
	if s.jobs[j.ID] == j {
		s.requeue(now, j)
	}
}

// adoptAwaitedRuns assigns runs found on a worker to the jobs that wait for
// them. requestedAt is when the worker's lists were requested. If that is after
// a job began to wait, the previous owner can't start any more runs on the
// worker, and an awaited run that is not listed has ended.
func (s *State) adoptAwaitedRuns(now time.Time, w *worker, requestedAt time.Time) {
	if now.After(s.adoptionDeadline) {
		return
	}
	for _, j := range s.sortedJobs() {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.awaitedRun == nil || (t.awaitedRun.Number != 0 && t.workerID != w.ID) {
				continue
			}
			s.resolveAwaitedRun(now, w, j, i, !requestedAt.Before(t.awaitingSince))
			if s.jobs[j.ID] != j {
				break
			}
		}
	}
}

// resolveAwaitedRun looks for the awaited run of a task on a worker. If
// complete is set, the worker's lists would include the run if it existed.
func (s *State) resolveAwaitedRun(now time.Time, w *worker, j *job, i int, complete bool) {
	t := &j.tasks[i]
	if r := w.findUnmatchedRun(*t.awaitedRun); r != nil {
		t.awaitedRun = nil
		s.adoptRun(w, r, j, i)
		return
	}
	key, end, ok := w.findRunEnd(*t.awaitedRun)
	switch {
	case ok:
		delete(w.unmatchedEnds, key)
		r := &run{key: key, job: j, taskIndex: i, startedAt: now, adopted: true}
		t.run, t.awaitedRun, t.workerID, t.lastRunNumber = r, nil, w.ID, key.Number
		s.handleRunEnd(now, w, r, end.kind)
	case !complete || w.runs[*t.awaitedRun] != nil:
		// The lists may be too old to include the run, or it is being stopped and
		// may still be running.
	case t.ownerConflict:
		s.failJob(now, j, messenger.TargetLost, "the result of a run is unknown because another entry owned its worker when it ended")
	case t.awaitedRun.Number != 0:
		t.awaitedRun = nil
		s.emit(Count{"retry", "notListed"})
		s.requeue(now, j)
	}
}

// adoptRun assigns an unmatched run to task i of j.
func (s *State) adoptRun(w *worker, r *run, j *job, i int) {
	w.usedResources = w.usedResources.Sub(r.resources).Add(j.Resources)
	if r.unsized {
		r.unsized = false
		w.unsizedRuns--
	}
	if r.job == nil {
		w.orphans--
	}
	r.job, r.taskIndex, r.resources, r.expectedRunTime, r.adopted = j, i, j.Resources, s.runTimes.expectedRunTime(j), true
	t := &j.tasks[i]
	t.run, t.workerID, t.lastRunNumber = r, w.ID, max(t.lastRunNumber, r.key.Number)
}

// awaitsRunOn reports whether a task of j waits for a run on w or on any
// worker.
func (j *job) awaitsRunOn(w *worker) bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.awaitedRun != nil && (t.awaitedRun.Number == 0 || t.workerID == w.ID) {
			return true
		}
	}
	return false
}

// findUnmatchedRun returns the running run with the given key that no job has
// been matched with yet, or nil. Number 0 matches any run of the task.
func (w *worker) findUnmatchedRun(key RunKey) *run {
	for _, r := range sortedRuns(w) {
		if r.key.Task == key.Task && (key.Number == 0 || r.key.Number == key.Number) && r.job == nil && r.state == running {
			return r
		}
	}
	return nil
}

// findRunEnd returns the unmatched end of the run with the given key. Number 0
// matches any run of the task, but only one that completed: after any other end
// the task may have been restarted elsewhere.
func (w *worker) findRunEnd(key RunKey) (RunKey, runEnd, bool) {
	if key.Number != 0 {
		end, ok := w.unmatchedEnds[key]
		return key, end, ok
	}
	for k, end := range w.unmatchedEnds {
		if k.Task == key.Task && end.kind == EndDone {
			return k, end, true
		}
	}
	return key, runEnd{}, false
}

// failUnresolvedJob fails a job if its runs under a previous owner were not
// listed in time, or can no longer be listed by any worker.
func (s *State) failUnresolvedJob(now time.Time, j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.awaitedRun == nil:
		case t.awaitedRun.Number == 0 && t.lastRunNumber > 0 && s.allWorkersListed(j, t.awaitingSince):
			// The run that was found has ended, and there is no other.
			t.awaitedRun = nil
			s.requeue(now, j)
		case t.awaitedRun.Number == 0 && s.allWorkersListed(j, t.awaitingSince):
			s.failJob(now, j, messenger.TargetLost, "not all runs of the job are known after the loss of their owner")
			return
		case now.Sub(t.awaitingSince) >= adoptionTimeout && t.awaitedRun.Number == 0:
			s.failJob(now, j, messenger.TargetLost, "workers that may run the job do not answer after the loss of its owner")
			return
		case now.Sub(t.awaitingSince) >= adoptionTimeout:
			s.failJob(now, j, messenger.TargetLost, "the worker of an earlier owner's run does not answer")
			return
		}
	}
}

// allWorkersListed reports whether every worker eligible for j has listed its
// runs to this owner since the given time.
func (s *State) allWorkersListed(j *job, since time.Time) bool {
	for _, w := range s.sortedWorkers {
		if eligible(w, j) && (w.phase != owned || w.listedAt.Before(since)) {
			return false
		}
	}
	return true
}

func (s *State) handleCancel(now time.Time, msg Cancel) {
	j := s.jobs[msg.JobID]
	if j == nil || (msg.Waiter != 0 && j.waiter != msg.Waiter) {
		return
	}
	s.log("job cancelled", map[string]any{"job": j.ID, "offered": j.startRequested, "ageMs": now.Sub(j.submittedAt).Milliseconds()})
	if msg.Waiter == 0 {
		s.finishJob(now, j, Result{Cancelled: true})
		return
	}
	s.failJob(now, j, messenger.Cancelled, "the caller disconnected")
}

// handleEntryLost fails the jobs of an entry that no longer pings this owner.
// OwnerUnreachable is the kind for a broken connection between the caller's
// entry and the owner, whichever of them detects it.
func (s *State) handleEntryLost(now time.Time, entry string) {
	for _, j := range s.sortedJobs() {
		if j.entry == entry {
			s.failJob(now, j, messenger.OwnerUnreachable, "the caller's entry stopped sending pings to the owner")
		}
	}
}

// failJob ends a job with an error and stops its runs. Some kinds of error, such
// as DeadlineExceeded and TargetLost, leave open whether the job ran. If no start
// request was sent, the job certainly did not run. Such a kind is then replaced
// by DeadlineUnmeetable, which states that the job did not run, so that the
// caller can safely resubmit it.
func (s *State) failJob(now time.Time, j *job, kind messenger.ErrorKind, reason string) {
	err := messenger.NewError(kind, reason)
	if !j.startRequested && err.Ran != messenger.DidNotRun {
		err = messenger.NewError(messenger.DeadlineUnmeetable, reason)
	}
	s.finishJob(now, j, Result{Err: err})
}

// finishJob answers a job and stops its remaining runs.
func (s *State) finishJob(now time.Time, j *job, result Result) {
	if s.jobs[j.ID] != j {
		return
	}
	delete(s.jobs, j.ID)
	for i, queued := range s.waiting {
		if queued == j {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	runs, left := lastRuns(j), 0
	for i := range j.tasks {
		if r := j.tasks[i].run; r != nil {
			left++
			j.tasks[i].run = nil
			if w := s.workers[j.tasks[i].workerID]; w != nil && w.runs[r.key] == r {
				s.stopRun(now, w, r)
			}
		}
	}
	s.emit(Answer{j.waiter, result})
	s.log("job ended", map[string]any{
		"job": j.ID, "queue": j.Queue, "entry": j.entry, "outcome": result.Outcome(), "reason": result.errorMessage(), "rule": j.refusedBy, "offered": j.startRequested,
		"tasks": len(j.tasks), "left": j.remainingTasks, "cpu": j.Resources.CPU, "expectedMs": s.runTimes.expectedRunTime(j).Milliseconds(), "ageMs": now.Sub(j.submittedAt).Milliseconds(),
		"runs": summarize(runs), "runsLeft": left, "attestedAgeMs": j.attestationAge(now).Milliseconds(),
	})
}

// lastRuns returns the worker and run number of the last start of each task that has
// been started, for a log line.
func lastRuns(j *job) []string {
	var list []string
	for i := range j.tasks {
		if t := &j.tasks[i]; t.lastRunNumber > 0 {
			list = append(list, fmt.Sprintf("%d:%s/%d", i, t.workerID, t.lastRunNumber))
		}
	}
	return list
}

// requeue returns a job with unstarted tasks to the queue, or gives it up if one of
// them has crashed too many workers.
func (s *State) requeue(now time.Time, j *job) {
	if s.crashedTooOften(j) {
		s.finishJob(now, j, Result{Failed: true})
		return
	}
	for _, queued := range s.waiting {
		if queued == j {
			return
		}
	}
	if s.jobs[j.ID] == j {
		s.adoptOrphans(now, j)
		s.enqueue(j)
	}
}
