package placer

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// submit takes a job in, or joins it to the one that is in progress under its
// id: the caller sent it again, and its first request is of no use any more.
func (s *State) submit(now time.Time, msg Submit) {
	if old := s.jobs[msg.Job.ID]; old != nil {
		s.log("job was submitted again", map[string]any{"job": old.ID, "entry": msg.Entry, "before": old.entry})
		s.do(Answer{old.waiter, Result{Err: messenger.NewError(messenger.TargetLost, "the job was submitted again elsewhere")}})
		old.waiter, old.entry = msg.Waiter, msg.Entry
		old.deadline = now.Add(time.Duration(msg.Job.RemainingMs) * time.Millisecond)
		return
	}
	if !s.owning {
		s.do(Answer{msg.Waiter, Result{Err: messenger.NewError(messenger.NoTarget, "this entry does not own the workers")}})
		return
	}
	j := newJob(now, msg)
	j.latest = now.Add(s.slack(j))
	s.jobs[j.ID] = j
	if len(msg.Placements) > 0 {
		s.takeOver(now, j, msg.Placements)
		return
	}
	if err := s.refuseAtOnce(now, j); err != nil {
		s.finish(now, j, Result{Err: err})
		return
	}
	s.enqueue(j)
}

// takeOver continues a job of an earlier owner.
func (s *State) takeOver(now time.Time, j *job, list []Placement) {
	j.started, j.offered = true, true
	s.awaitsUntil = now.Add(2 * adoptFor)
	for _, p := range list {
		if p.Task < 0 || p.Task >= len(j.tasks) {
			continue
		}
		t := &j.tasks[p.Task]
		t.worker, t.number = p.Worker, p.Number
		if p.Done && !t.done {
			t.done = true
			j.left--
		}
		if t.done {
			continue
		}
		t.awaits, t.awaitFrom = &RunKey{j.taskName(p.Task), p.Number}, now
	}
	s.log("job was taken over", map[string]any{"job": j.ID, "left": j.left})
	if j.left == 0 {
		s.finish(now, j, Result{Completed: true})
		return
	}
	for _, w := range s.order {
		if w.phase == owned && j.awaitsOn(w) {
			s.adoptAwaited(now, w, time.Time{})
			if now.Sub(w.lookedAt) >= lookEvery {
				s.look(now, w)
			}
		}
	}
	if s.jobs[j.ID] == j {
		s.requeue(j)
	}
}

// adoptAwaited gives runs found on a worker to the jobs that await them. asked
// is when the worker was asked for its lists. If that is after a job began to
// wait, its earlier owner can start no run on the worker any more, and an
// awaited run that is not listed has ended.
func (s *State) adoptAwaited(now time.Time, w *worker, asked time.Time) {
	if now.After(s.awaitsUntil) {
		return
	}
	for _, j := range s.sortedJobs() {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.awaits == nil || (t.awaits.Number != 0 && t.worker != w.ID) {
				continue
			}
			s.adoptTask(now, w, j, i, !asked.Before(t.awaitFrom))
			if s.jobs[j.ID] != j {
				break
			}
		}
	}
}

// adoptTask looks for the awaited run of a task on a worker. complete tells
// whether the lists of the worker name it if it exists.
func (s *State) adoptTask(now time.Time, w *worker, j *job, i int, complete bool) {
	t := &j.tasks[i]
	if r := w.awaitedRun(*t.awaits); r != nil {
		t.awaits = nil
		s.adopt(w, r, j, i)
		return
	}
	key, end, ok := w.awaitedEnd(*t.awaits)
	switch {
	case ok:
		delete(w.ends, key)
		r := &run{key: key, job: j, task: i, since: now, adopted: true}
		t.run, t.awaits, t.worker, t.number = r, nil, w.ID, key.Number
		s.ended(now, w, r, end.how)
	case !complete || w.runs[*t.awaits] != nil:
		// Unknown yet, or being stopped and perhaps still at work.
	case t.rival:
		s.fail(now, j, messenger.TargetLost, "a run ended while another entry owned its worker")
	case t.awaits.Number != 0:
		t.awaits = nil
		s.do(Count{"retry", "notListed"})
		s.requeue(j)
	}
}

// adopt makes a run without a job that of a task.
func (s *State) adopt(w *worker, r *run, j *job, i int) {
	w.used = w.used.Sub(r.room).Add(j.Room)
	r.job, r.task, r.room, r.expected, r.adopted = j, i, j.Room, s.times.expect(j), true
	t := &j.tasks[i]
	t.run, t.worker, t.number = r, w.ID, max(t.number, r.key.Number)
}

// awaitsOn tells whether a task of j awaits a run on w, or on any worker.
func (j *job) awaitsOn(w *worker) bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.awaits != nil && (t.awaits.Number == 0 || t.worker == w.ID) {
			return true
		}
	}
	return false
}

// awaitedRun returns the run under key that has no job, or nil. Number 0
// stands for any.
func (w *worker) awaitedRun(key RunKey) *run {
	for _, r := range sortedRuns(w) {
		if r.key.Task == key.Task && (key.Number == 0 || r.key.Number == key.Number) && r.job == nil && r.state == running {
			return r
		}
	}
	return nil
}

// awaitedEnd returns the end of the run under key. Number 0 stands for any
// number, but only a run that is done ends the search for its task: after
// another end the task may have been started again elsewhere.
func (w *worker) awaitedEnd(key RunKey) (RunKey, endRecord, bool) {
	if key.Number != 0 {
		end, ok := w.ends[key]
		return key, end, ok
	}
	for k, end := range w.ends {
		if k.Task == key.Task && end.how == EndDone {
			return k, end, true
		}
	}
	return key, endRecord{}, false
}

// expireAwaited gives up a job whose runs under an earlier owner no worker has
// listed in time, or can list any more.
func (s *State) expireAwaited(now time.Time, j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.awaits == nil:
		case t.awaits.Number == 0 && s.allListed(j, t.awaitFrom):
			s.fail(now, j, messenger.TargetLost, "not all runs of the job are known after the loss of their owner")
			return
		case now.Sub(t.awaitFrom) >= adoptFor && t.awaits.Number == 0:
			s.fail(now, j, messenger.TargetLost, "workers that may run the job do not answer after the loss of its owner")
			return
		case now.Sub(t.awaitFrom) >= adoptFor:
			s.fail(now, j, messenger.TargetLost, "the worker of an earlier owner's run does not answer")
			return
		}
	}
}

// allListed tells whether every worker that may run tasks of j has listed its
// runs to this owner since the given time.
func (s *State) allListed(j *job, since time.Time) bool {
	for _, w := range s.order {
		if suits(w, j) && (w.phase != owned || w.listedAt.Before(since)) {
			return false
		}
	}
	return true
}

func (s *State) cancel(now time.Time, msg Cancel) {
	j := s.jobs[msg.JobID]
	if j == nil || (msg.Waiter != 0 && j.waiter != msg.Waiter) {
		return
	}
	s.log("job cancelled", map[string]any{"job": j.ID, "offered": j.offered, "ageMs": now.Sub(j.arrived).Milliseconds()})
	s.fail(now, j, messenger.Cancelled, "the caller left")
}

func (s *State) entryLost(now time.Time, entry string) {
	for _, j := range s.sortedJobs() {
		if j.entry == entry {
			s.fail(now, j, messenger.OwnerUnreachable, "the entry of the caller was not heard")
		}
	}
}

// fail ends a job without success and stops its runs.
func (s *State) fail(now time.Time, j *job, kind messenger.Kind, reason string) {
	err := messenger.NewError(kind, reason)
	if !j.offered && err.Ran != messenger.DidNotRun {
		err = messenger.NewError(messenger.DeadlineUnmeetable, reason)
	}
	s.finish(now, j, Result{Err: err})
}

// finish answers a job and stops what still runs of it.
func (s *State) finish(now time.Time, j *job, result Result) {
	if s.jobs[j.ID] != j {
		return
	}
	delete(s.jobs, j.ID)
	for i, o := range s.waiting {
		if o == j {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	for i := range j.tasks {
		if r := j.tasks[i].run; r != nil {
			j.tasks[i].run = nil
			if w := s.workers[j.tasks[i].worker]; w != nil && w.runs[r.key] == r {
				s.stop(now, w, r)
			}
		}
	}
	s.do(Answer{j.waiter, result})
	s.log("job ended", map[string]any{
		"job": j.ID, "queue": j.Queue, "entry": j.entry, "outcome": result.Outcome(), "reason": result.reason(), "offered": j.offered,
		"tasks": len(j.tasks), "left": j.left, "cpu": j.Room.CPU, "expectedMs": s.times.expect(j).Milliseconds(), "ageMs": now.Sub(j.arrived).Milliseconds(),
	})
}

// requeue puts a job with tasks to start back into the queue.
func (s *State) requeue(j *job) {
	for _, o := range s.waiting {
		if o == j {
			return
		}
	}
	if s.jobs[j.ID] == j {
		s.enqueue(j)
	}
}
