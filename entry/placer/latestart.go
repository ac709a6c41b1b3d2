package placer

import (
	"cmp"
	"slices"
	"time"
)

// lateStart is a start request that has got no answer. Its worker may execute it until
// lateStartPeriod has passed, unless it remembers that the run was stopped. A worker
// that restarts under its id remembers nothing.
type lateStart struct {
	key    RunKey
	task   int
	worker *worker
	sentAt time.Time
}

// lateStartLog holds start requests without an answer by the id of their job. The zero
// value is empty.
type lateStartLog struct {
	byJob    map[string][]lateStart
	prunedAt time.Time
}

// latePruneInterval is the interval at which old starts are removed.
const latePruneInterval = time.Second

func (l *lateStartLog) add(jobID string, start lateStart) {
	if l.byJob == nil {
		l.byJob = map[string][]lateStart{}
	}
	l.byJob[jobID] = append(l.byJob[jobID], start)
	start.worker.lateStarts++
}

// has reports whether the start of a run on a worker is in the log.
func (l *lateStartLog) has(worker string, key RunKey) bool {
	return slices.ContainsFunc(l.byJob[jobIDOf(key.Task)], func(start lateStart) bool { return start.worker.ID == worker && start.key == key })
}

// of returns the starts of a task that may still be executed, for the next owner.
func (l *lateStartLog) of(now time.Time, jobID string, task int) []LateStart {
	var list []LateStart
	for _, start := range l.byJob[jobID] {
		if start.task == task && !start.expired(now) {
			list = append(list, LateStart{Worker: start.worker.ID, Number: start.key.Number, AgeMs: now.Sub(start.sentAt).Milliseconds()})
		}
	}
	return list
}

// resolve removes the start of a run that can't be executed any more, because it was
// answered or because its worker lists the run. After a job was resubmitted, two starts
// may have the same key. The later one is then removed.
func (l *lateStartLog) resolve(w *worker, key RunKey) {
	if w.lateStarts == 0 {
		return
	}
	id := jobIDOf(key.Task)
	starts := l.byJob[id]
	for i, start := range slices.Backward(starts) {
		if start.worker == w && start.key == key {
			l.set(id, slices.Delete(starts, i, i+1))
			w.lateStarts--
			return
		}
	}
}

// prune removes the starts that are too old to be executed.
func (l *lateStartLog) prune(now time.Time) {
	if now.Sub(l.prunedAt) < latePruneInterval {
		return
	}
	l.prunedAt = now
	l.remove(func(start lateStart) bool { return start.expired(now) })
}

// removeWorker removes the starts that were sent to w.
func (l *lateStartLog) removeWorker(w *worker) {
	if w.lateStarts > 0 {
		l.remove(func(start lateStart) bool { return start.worker == w })
	}
}

func (l *lateStartLog) remove(matches func(lateStart) bool) {
	for id, starts := range l.byJob {
		l.set(id, slices.DeleteFunc(starts, func(start lateStart) bool {
			if !matches(start) {
				return false
			}
			start.worker.lateStarts--
			return true
		}))
	}
}

func (l *lateStartLog) set(jobID string, starts []lateStart) {
	if len(starts) == 0 {
		delete(l.byJob, jobID)
		return
	}
	l.byJob[jobID] = starts
}

// mayHaveRestarted reports whether the state that w had when it last answered may be
// gone.
func (w *worker) mayHaveRestarted() bool { return w.lost || w.refused || w.runsUnknown }

// mayExecute reports whether w may still execute a start without an answer: it has not
// confirmed yet that the run is stopped, or may have forgotten it in a restart.
func (w *worker) mayExecute(now time.Time, start lateStart) bool {
	return !start.expired(now) && (w.phase != owned || w.mayHaveRestarted() || w.runs[start.key] != nil)
}

// expired reports whether neither the start nor its run can be in progress any more. On
// a worker that has restarted, whose clock starts anew, holds that are executed late
// renew the lease of the run.
func (start lateStart) expired(now time.Time) bool {
	last := start.sentAt
	if w := start.worker; (w.phase != owned || w.mayHaveRestarted()) && w.renewedAt.After(last) {
		last = w.renewedAt
	}
	return now.Sub(last) > lateStartPeriod
}

// addLateStarts adds the starts of a previous owner. A worker that this owner doesn't
// know, because it left or belongs to another group by now, can't be watched for a
// restart, and counts as one that may restart at any time.
func (s *State) addLateStarts(now time.Time, j *job, p Placement) {
	for _, start := range p.LateStarts {
		age := time.Duration(min(max(start.AgeMs, 0), lateStartPeriod.Milliseconds())) * time.Millisecond
		key := RunKey{j.taskName(p.Task), start.Number}
		if s.lateStarts.has(start.Worker, key) {
			continue
		}
		w := s.workers[start.Worker]
		if w == nil {
			w = newWorker(Worker{ID: start.Worker})
		}
		s.lateStarts.add(j.ID, lateStart{key, p.Task, w, now.Add(-age)})
	}
}

// heldBackTasks returns the unstarted tasks of j that must not be started, because a
// worker may still execute an earlier start of them.
func (s *State) heldBackTasks(now time.Time, j *job) map[int]bool {
	var tasks map[int]bool
	for _, start := range s.lateStarts.byJob[j.ID] {
		if start.task < len(j.tasks) && j.isUnstarted(start.task) && start.worker.mayExecute(now, start) {
			if tasks == nil {
				tasks = map[int]bool{}
			}
			tasks[start.task] = true
		}
	}
	return tasks
}

// runnableTasks returns the number of tasks of j that wait for resources only.
func (s *State) runnableTasks(now time.Time, j *job) int {
	if j.attestationAge(now) >= maxAttestationAge {
		return 0
	}
	return j.unstartedTasks() - len(s.heldBackTasks(now, j))
}

// stopBesideLateStarts stops the runs of tasks that w may start by executing a late
// start, while it may have restarted. The tasks start again once w has listed its runs.
func (s *State) stopBesideLateStarts(now time.Time, w *worker) {
	for _, j := range s.jobsWithLateStarts(w) {
		for _, start := range s.lateStarts.byJob[j.ID] {
			if start.worker != w || start.task >= len(j.tasks) || !w.mayExecute(now, start) {
				continue
			}
			t := &j.tasks[start.task]
			other := s.workers[t.workerID]
			if t.run == nil || t.run.state == stopping || other == nil || other == w {
				continue
			}
			s.log("stopping a run whose task may start late on another worker", map[string]any{
				"task": t.run.key.Task, "run": t.run.key.Number, "worker": other.ID,
				"lateRun": start.key.Number, "lateWorker": w.ID, "lateAgeMs": now.Sub(start.sentAt).Milliseconds(),
			})
			s.emit(Count{"retry", "lateStart"})
			t.run.state, t.run.endBy = stopping, now
			s.sendStop(now, other, t.run)
		}
	}
}

// jobsWithLateStarts returns the jobs in progress with late starts on w, in a fixed
// order.
func (s *State) jobsWithLateStarts(w *worker) []*job {
	if w.lateStarts == 0 {
		return nil
	}
	var list []*job
	for id, j := range s.jobs {
		if slices.ContainsFunc(s.lateStarts.byJob[id], func(start lateStart) bool { return start.worker == w }) {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
