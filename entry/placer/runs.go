package placer

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// start sends a task to a worker that has room for it.
func (s *State) start(now time.Time, w *worker, j *job, i int) {
	t := &j.tasks[i]
	t.number++
	t.worker = w.ID
	r := &run{key: RunKey{j.taskName(i), t.number}, job: j, task: i, room: j.Room, expected: s.times.expect(j), since: now, progressAt: now}
	t.run = r
	w.occupy(r)
	j.started, j.offered = true, true
	s.do(Start{
		Worker: w.ID, Address: w.Address, Fence: w.fence, Key: r.key, Spec: j.Spec,
		UntilMs: w.until(now, leaseFor),
	})
}

func (s *State) startAnswered(now time.Time, msg Started) {
	w := s.workers[msg.Worker]
	if w == nil || w.phase != owned || msg.Fence > w.fence {
		return
	}
	r := w.runs[msg.Key]
	if r == nil || r.state != starting {
		return
	}
	switch msg.Result {
	case StartAccepted:
		r.state, r.since, r.progressAt = running, now, now
		return
	case StartNoAnswer:
		s.log("start got no answer", map[string]any{"task": r.key.Task, "run": r.key.Number, "worker": w.ID, "ageMs": now.Sub(r.since).Milliseconds()})
		s.do(Count{"retry", "noAnswer"})
		r.state = unsure
		s.repeatStop(now, w, r)
		return
	case StartNotSent, StartNoRoom, StartFenced, StartOldNumber, StartLate, StartUnhealthy, StartOtherLife, StartInvalid:
	}
	w.drop(r)
	s.do(Count{"retry", string(msg.Result)})
	s.log("start was refused", map[string]any{"task": r.key.Task, "run": r.key.Number, "worker": w.ID, "result": string(msg.Result)})
	switch msg.Result {
	case StartNoRoom, StartLate, StartOldNumber:
		w.startsUntil = now.Add(roomPause)
	case StartFenced:
		// A start under a fence that this owner has raised itself says nothing.
		if msg.Fence == w.fence {
			defer s.fenced(now, w)
		}
	default:
		w.health.failed(now)
	}
	j := r.job
	if j == nil {
		return
	}
	j.tasks[r.task].run = nil
	if msg.Result == StartInvalid {
		s.fail(now, j, messenger.NeverRunnable, "a worker refused the order as malformed")
		return
	}
	s.requeue(j)
}

// reconcile brings the known runs of a worker in line with its lists.
func (s *State) reconcile(now time.Time, w *worker, msg Held) {
	for _, e := range msg.Ended {
		if e.Index <= w.lastEnd {
			continue
		}
		w.lastEnd = e.Index
		r := w.runs[e.Key]
		if r == nil {
			w.ends[e.Key] = endRecord{e.How, now}
			continue
		}
		w.drop(r)
		s.ended(now, w, r, e.How)
	}
	listed := make(map[RunKey]bool, len(msg.Running))
	for _, row := range msg.Running {
		listed[row.Key] = true
		s.listedRun(now, w, row)
	}
	for _, r := range sortedRuns(w) {
		if listed[r.key] || r.state == starting || !r.since.Before(msg.Sent) {
			continue
		}
		if (r.state == stopping || r.state == unsure) && !r.confirmed(msg.Sent) {
			continue
		}
		w.drop(r)
		if other := w.otherRun(r); other != nil {
			// A late start of the task was carried out in the worker's next life.
			s.log("run was replaced by an earlier start", map[string]any{"task": r.key.Task, "run": r.key.Number, "by": other.key.Number, "worker": w.ID})
			s.adopt(w, other, r.job, r.task)
			continue
		}
		s.ended(now, w, r, EndLapsed)
	}
	w.listedAt = msg.Sent
	s.adoptAwaited(now, w, msg.Sent)
}

// otherRun returns a run without a job on w of the task whose run is r.
func (w *worker) otherRun(r *run) *run {
	if r.job == nil || r.job.tasks[r.task].run != r {
		return nil
	}
	return w.awaitedRun(RunKey{Task: r.key.Task})
}

// confirmed tells whether the stop of r was confirmed before t.
func (r *run) confirmed(t time.Time) bool { return r.stopTries < 0 && !r.stopSent.After(t) }

func (s *State) listedRun(now time.Time, w *worker, row RunningRun) {
	r := w.runs[row.Key]
	if r == nil {
		r = &run{key: row.Key, state: running, since: now, progressAt: now, percent: row.Percent}
		w.occupy(r)
		return
	}
	if row.Percent == r.percent {
		return
	}
	r.percent, r.progressAt = row.Percent, now
	if r.job != nil {
		w.speed.progress(now, now.Sub(r.since), row.Percent, s.times.expect(r.job))
	}
}

// ended handles the end of a run that no longer occupies room.
func (s *State) ended(now time.Time, w *worker, r *run, how EndKind) {
	j := r.job
	s.changed = true
	if j == nil || j.tasks[r.task].run != r {
		return
	}
	t := &j.tasks[r.task]
	t.run = nil
	switch how {
	case EndDone:
		w.health.succeeded()
		if !r.adopted {
			w.speed.observe(now, now.Sub(r.since), s.times.expect(j))
			s.times.done(j, now.Sub(r.since))
		}
		t.done = true
		j.left--
		if j.left == 0 {
			s.finish(now, j, Result{Completed: true})
		}
		return
	case EndFailed:
		t.failures++
		if t.failures == 1 {
			w.health.failed(now)
		}
		s.do(Count{"retry", "failed"})
		s.log("run failed", map[string]any{"task": r.key.Task, "run": r.key.Number, "worker": w.ID, "attempts": t.failures, "maxAttempts": j.MaxAttempts})
		if t.failures >= j.MaxAttempts {
			s.finish(now, j, Result{Failed: true})
			return
		}
	case EndStopped, EndLapsed, EndOther:
		s.do(Count{"retry", string(how)})
		s.log("run ended early", map[string]any{"task": r.key.Task, "run": r.key.Number, "worker": w.ID, "how": string(how), "ranMs": now.Sub(r.since).Milliseconds()})
	}
	s.requeue(j)
}

// stop stops a run whose result is not wanted.
func (s *State) stop(now time.Time, w *worker, r *run) {
	r.job = nil
	if r.state == stopping {
		return
	}
	r.state = stopping
	s.repeatStop(now, w, r)
}

func (s *State) repeatStop(now time.Time, w *worker, r *run) {
	if r.stopTries < 0 || w.phase != owned || (!r.stopSent.IsZero() && now.Sub(r.stopSent) < retryStop) {
		return
	}
	if now.Sub(r.since) > stopFor {
		w.drop(r)
		s.ended(now, w, r, EndLapsed)
		return
	}
	r.stopSent = now
	r.stopTries++
	s.do(Stop{Worker: w.ID, Address: w.Address, Fence: w.fence, Key: r.key})
}

func (s *State) stopAnswered(now time.Time, msg Stopped) {
	w := s.workers[msg.Worker]
	if w == nil || w.phase != owned {
		return
	}
	r := w.runs[msg.Key]
	if r == nil || (!msg.OK && !msg.Gone) {
		return
	}
	r.stopTries, r.stopSent = -1, now
	if r.job != nil {
		s.look(now, w)
	}
	if r.state == unsure {
		// The number is rejected from now on; what runs is stopped.
		r.state = stopping
	}
}

// hung handles a run that makes no progress: its task starts anew elsewhere.
func (s *State) hung(now time.Time, w *worker, r *run) {
	s.log("run makes no progress", map[string]any{
		"task": r.key.Task, "run": r.key.Number, "worker": w.ID, "percent": r.percent, "ranMs": now.Sub(r.since).Milliseconds(),
	})
	s.do(Count{"worker", "hung"})
	j := r.job
	t := &j.tasks[r.task]
	if t.hangs++; t.hangs == 1 {
		// A task that hangs anywhere says nothing of the other workers.
		w.health.failed(now)
	}
	r.state = stopping
	s.repeatStop(now, w, r)
	if t.failures >= j.MaxAttempts {
		s.fail(now, j, messenger.TargetLost, "a task makes no progress")
	}
}
