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
		if p.Done {
			t.done = true
			j.left--
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
		if w.phase == owned {
			s.adoptAwaited(now, w)
		}
	}
	s.requeue(now, j)
}

// adoptAwaited gives runs found on a worker to the jobs that await them.
func (s *State) adoptAwaited(now time.Time, w *worker) {
	if now.After(s.awaitsUntil) {
		return
	}
	for _, j := range s.sortedJobs() {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.awaits == nil || t.worker != w.ID {
				continue
			}
			key := *t.awaits
			if r := w.runs[key]; r != nil && r.job == nil && r.state == running {
				w.used = w.used.Sub(r.room).Add(j.Room)
				r.job, r.task, r.room, r.expected = j, i, j.Room, s.times.expect(j)
				t.run, t.awaits = r, nil
				continue
			}
			end, ok := w.ends[key]
			if !ok {
				continue
			}
			delete(w.ends, key)
			t.awaits = nil
			r := &run{key: key, job: j, task: i, since: now}
			t.run = r
			s.ended(now, w, r, end.how)
			if s.jobs[j.ID] != j {
				break
			}
		}
	}
}

// expireAwaited gives up runs of an earlier owner that no worker listed in
// time.
func (s *State) expireAwaited(now time.Time, j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.awaits == nil || now.Sub(t.awaitFrom) < adoptFor {
			continue
		}
		w := s.workers[t.worker]
		if w == nil || !w.reachable(now) {
			s.fail(now, j, messenger.TargetLost, "the worker of an earlier owner's run does not answer")
			return
		}
		t.awaits = nil
		s.requeue(now, j)
	}
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
	s.answer(j, result)
	s.log("job ended", map[string]any{
		"job": j.ID, "queue": j.Queue, "entry": j.entry, "outcome": result.Outcome(), "reason": result.reason(), "offered": j.offered,
		"tasks": len(j.tasks), "left": j.left, "ageMs": now.Sub(j.arrived).Milliseconds(),
	})
}

func (s *State) answer(j *job, result Result) {
	if result.Err != nil {
		s.do(Count{"refusal", string(result.Err.Kind)})
	}
	s.do(Answer{j.waiter, result})
}

// requeue puts a job with tasks to start back into the queue.
func (s *State) requeue(_ time.Time, j *job) {
	for _, o := range s.waiting {
		if o == j {
			return
		}
	}
	if s.jobs[j.ID] == j {
		s.enqueue(j)
	}
}
