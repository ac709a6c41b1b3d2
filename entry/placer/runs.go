package placer

import (
	"strconv"
	"strings"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// startRun starts a task on a worker that has enough free resources.
func (s *State) startRun(now time.Time, w *worker, j *job, i int) {
	t := &j.tasks[i]
	t.lastRunNumber++
	t.workerID = w.ID
	r := &run{key: RunKey{j.taskName(i), t.lastRunNumber}, job: j, taskIndex: i, resources: j.Resources, expectedRunTime: s.expectedRunTimeOn(now, w, j), startedAt: now, progressAt: now}
	t.run = r
	w.addRun(r)
	s.recordOutcome(now, j, true)
	j.started, j.startRequested = true, true
	s.countRackStart(w, j)
	s.lateStarts.add(j.ID, lateStart{r.key, i, w, now})
	s.emit(Start{
		Worker: w.ID, Address: w.Address, Fence: w.fence, Key: r.key, Spec: j.Spec,
		UntilMs: w.renewLease(now),
	})
}

func (s *State) handleStartResponse(now time.Time, msg StartResponse) {
	w := s.workers[msg.Worker]
	if w != nil && msg.Result != StartNoAnswer {
		s.lateStarts.resolve(w, msg.Key)
	}
	if w == nil || w.phase != owned || msg.Fence > w.fence {
		return
	}
	r := w.runs[msg.Key]
	if r == nil || r.state != starting {
		return
	}
	switch msg.Result {
	case StartAccepted:
		r.state, r.startedAt, r.progressAt = running, now, now
		return
	case StartNoAnswer:
		s.log("start got no answer", map[string]any{"task": r.key.Task, "run": r.key.Number, "worker": w.ID, "ageMs": now.Sub(r.startedAt).Milliseconds()})
		s.emit(Count{"retry", "noAnswer"})
		r.state = unconfirmed
		s.sendStop(now, w, r)
		return
	case StartNotSent, StartInsufficientResources, StartFenced, StartOldNumber, StartLate, StartUnhealthy, StartWrongWorker, StartInvalid:
	}
	w.removeRun(r)
	s.emit(Count{"retry", string(msg.Result)})
	s.log("start refused", map[string]any{"task": r.key.Task, "run": r.key.Number, "worker": w.ID, "result": string(msg.Result)})
	switch msg.Result {
	case StartInsufficientResources, StartLate, StartOldNumber:
		w.placementPausedUntil = now.Add(refusalBackoff)
	case StartFenced:
		// A rejection of a fence that this owner has since raised itself is not
		// evidence of another owner.
		if msg.Fence == w.fence {
			defer s.handleFenced(now, w)
		}
	default:
		w.health.recordFailure(now)
	}
	j := r.job
	if j == nil {
		return
	}
	j.tasks[r.taskIndex].run = nil
	if msg.Result == StartInvalid {
		s.failJob(now, j, messenger.NeverRunnable, "a worker rejected the start request as malformed")
		return
	}
	s.requeue(now, j)
}

// reconcile updates the known runs of a worker from its lists.
func (s *State) reconcile(now time.Time, w *worker, msg HoldResponse) {
	for _, e := range msg.Ended {
		if e.Index <= w.lastEndIndex {
			continue
		}
		w.lastEndIndex = e.Index
		s.lateStarts.resolve(w, e.Key)
		r := w.runs[e.Key]
		if r == nil {
			w.unmatchedEnds[e.Key] = runEnd{e.Kind, now}
			continue
		}
		w.removeRun(r)
		s.logOrphanEnd(now, w, r, e.Kind)
		s.handleRunEnd(now, w, r, e.Kind)
	}
	listed := make(map[RunKey]bool, len(msg.Running))
	for _, row := range msg.Running {
		listed[row.Key] = true
		s.lateStarts.resolve(w, row.Key)
		s.observeRun(now, w, row)
	}
	for _, r := range sortedRuns(w) {
		if listed[r.key] || r.state == starting || !r.startedAt.Before(msg.Sent) {
			continue
		}
		if (r.state == stopping || r.state == unconfirmed) && !r.stopConfirmedBefore(msg.Sent) && msg.Sent.Sub(r.startedAt) <= lateStartPeriod {
			continue
		}
		w.removeRun(r)
		if replacement := w.replacementRun(r); replacement != nil {
			// The restarted worker executed a late start of the same task.
			s.log("run replaced by a late start of the same task", map[string]any{"task": r.key.Task, "run": r.key.Number, "by": replacement.key.Number, "worker": w.ID})
			s.adoptRun(w, replacement, r.job, r.taskIndex)
			continue
		}
		s.logOrphanEnd(now, w, r, EndExpired)
		s.handleRunEnd(now, w, r, EndExpired)
	}
	w.listedAt = msg.Sent
	s.adoptAwaitedRuns(now, w, msg.Sent)
	s.resolveOrphans(now, w)
}

// logOrphanEnd logs the end of a run without a job, and how long after it lost its job
// that became known.
func (s *State) logOrphanEnd(now time.Time, w *worker, r *run, kind EndKind) {
	if r.job != nil {
		return
	}
	fields := map[string]any{"task": r.key.Task, "run": r.key.Number, "worker": w.ID, "how": string(kind)}
	if !r.orphanedAt.IsZero() {
		fields["afterMs"] = now.Sub(r.orphanedAt).Milliseconds()
	}
	s.log("run without a job ended", fields)
}

// jobIDOf returns the id of the job that the task with the given name belongs to.
func jobIDOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// findTask returns the job in progress that has the task with the given name, and
// the index of the task, or nil.
func (s *State) findTask(name string) (*job, int) {
	j := s.jobs[jobIDOf(name)]
	if j == nil {
		return nil, 0
	}
	i, err := strconv.Atoi(name[strings.LastIndexByte(name, '.')+1:])
	if err != nil || i < 0 || i >= len(j.tasks) || j.taskName(i) != name {
		return nil, 0
	}
	return j, i
}

// replacementRun returns a run on w for the same task as r that has not been
// matched with a job, or nil.
func (w *worker) replacementRun(r *run) *run {
	if r.job == nil || r.job.tasks[r.taskIndex].run != r {
		return nil
	}
	return w.findUnmatchedRun(RunKey{Task: r.key.Task})
}

// stopConfirmedBefore reports whether the stop of r had been confirmed by t.
func (r *run) stopConfirmedBefore(t time.Time) bool {
	return r.stopAttempts < 0 && !r.stopSentAt.After(t)
}

func (s *State) observeRun(now time.Time, w *worker, row RunningRun) {
	r := w.runs[row.Key]
	if r == nil {
		r = &run{
			key: row.Key, state: running, unsized: true, startedAt: now, progressAt: now, progressPercent: row.Percent,
			orphanedAt: s.foundOrphanedAt,
		}
		w.addRun(r)
		return
	}
	if row.Percent == r.progressPercent {
		return
	}
	r.progressPercent, r.progressAt = row.Percent, now
	if r.job != nil {
		w.speed.observeProgress(now, now.Sub(r.startedAt), row.Percent, s.expectedRunTimeOn(now, w, r.job))
	}
}

// handleRunEnd handles the end of a run that no longer occupies resources.
func (s *State) handleRunEnd(now time.Time, w *worker, r *run, kind EndKind) {
	j := r.job
	s.needsPlacement = true
	if j == nil || j.tasks[r.taskIndex].run != r {
		return
	}
	t := &j.tasks[r.taskIndex]
	t.run = nil
	switch kind {
	case EndDone:
		w.health.recordSuccess()
		if !r.adopted {
			s.observeRunTime(now, w, r)
		}
		t.done = true
		j.remainingTasks--
		if j.remainingTasks == 0 {
			s.finishJob(now, j, Result{Completed: true})
		}
		return
	case EndFailed:
		t.failures++
		if t.failures == 1 {
			w.health.recordFailure(now)
		}
		s.emit(Count{"retry", "failed"})
		s.log("run failed", map[string]any{"task": r.key.Task, "run": r.key.Number, "worker": w.ID, "attempts": t.failures, "maxAttempts": j.MaxAttempts})
		if t.failures >= j.MaxAttempts {
			s.finishJob(now, j, Result{Failed: true})
			return
		}
	case EndStopped, EndExpired, EndOther:
		s.emit(Count{"retry", string(kind)})
		s.log("run ended early", map[string]any{"task": r.key.Task, "run": r.key.Number, "worker": w.ID, "how": string(kind), "ranMs": now.Sub(r.startedAt).Milliseconds()})
	}
	if !t.resumedAt.IsZero() && !s.allWorkersListed(j, t.resumedAt) {
		// The previous owner may have seen this end and started the task again.
		t.awaitedRun, t.awaitingSince = &RunKey{Task: r.key.Task}, t.resumedAt
	}
	s.requeue(now, j)
}

// stopRun stops a run whose result is no longer needed.
func (s *State) stopRun(now time.Time, w *worker, r *run) {
	if r.job != nil {
		r.job, r.orphanedAt = nil, r.job.lostAt(now)
		w.orphans++
	}
	if r.state == stopping {
		return
	}
	r.state = stopping
	s.sendStop(now, w, r)
}

// sendStop sends a stop request unless one was sent recently or has been
// confirmed.
func (s *State) sendStop(now time.Time, w *worker, r *run) {
	if r.stopAttempts < 0 || w.phase != owned || (!r.stopSentAt.IsZero() && now.Sub(r.stopSentAt) < stopRetryInterval) {
		return
	}
	r.stopSentAt = now
	r.stopAttempts++
	s.emit(Stop{Worker: w.ID, Address: w.Address, Fence: w.fence, Key: r.key})
}

func (s *State) handleStopResponse(now time.Time, msg StopResponse) {
	w := s.workers[msg.Worker]
	if w == nil || w.phase != owned {
		return
	}
	r := w.runs[msg.Key]
	if r == nil || (!msg.OK && !msg.WrongWorker) {
		return
	}
	r.stopAttempts, r.stopSentAt = -1, now
	if r.job != nil {
		s.probe(now, w)
	}
	if r.state == unconfirmed {
		// The worker rejects this run number from now on, and stops the run if
		// it exists.
		r.state = stopping
	}
}

// stopHungRun stops a run that makes no progress. Its task is started again once
// the run has ended, unless the run completed after all. The job fails if failed
// and hung runs of a task together reach MaxAttempts.
func (s *State) stopHungRun(now time.Time, w *worker, r *run) {
	s.log("run makes no progress", map[string]any{
		"task": r.key.Task, "run": r.key.Number, "worker": w.ID, "percent": r.progressPercent, "ranMs": now.Sub(r.startedAt).Milliseconds(),
	})
	s.emit(Count{"worker", "hung"})
	j := r.job
	t := &j.tasks[r.taskIndex]
	if t.hungRuns++; t.hungRuns == 1 {
		// Only the first hang of a task counts against a worker. A task that
		// hangs everywhere says nothing about the other workers.
		w.health.recordFailure(now)
	}
	r.state = stopping
	s.sendStop(now, w, r)
	if t.failures+t.hungRuns >= j.MaxAttempts {
		s.failJob(now, j, messenger.TargetLost, "a task makes no progress")
	}
}
