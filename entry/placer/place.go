package placer

import (
	"cmp"
	"slices"
	"time"
)

// placeWaiting starts queued tasks on workers with enough free resources, job
// by job in the order of placementOrder. A wide job takes free resources as they
// appear, ahead of the jobs behind it. If all its tasks had to fit at once, narrow
// jobs would take free resources before it under a mixed load.
func (s *State) placeWaiting(now time.Time) {
	if !s.isOwner || !s.needsPlacement || len(s.waiting) == 0 {
		return
	}
	s.expireWaiting(now)
	candidates := s.placementCandidates(now)
	waits := make([]bool, len(s.waiting))
	var kept, newlyStarted []*job
	for place, i := range s.placementOrder() {
		j := s.waiting[i]
		wasStarted := j.started
		unstarted := j.unstartedTasks()
		switch {
		case s.placeJob(now, j, candidates):
		case j.started && !wasStarted:
			newlyStarted = append(newlyStarted, j)
		default:
			waits[i] = true
		}
		if place < i && j.unstartedTasks() < unstarted {
			s.emit(Count{"placement", "largerFirst"})
		}
	}
	for i, j := range s.waiting {
		if waits[i] {
			kept = append(kept, j)
		}
	}
	s.waiting = kept
	for _, j := range newlyStarted {
		s.enqueue(j)
	}
	s.needsPlacement = false
}

// candidate is a worker that accepts tasks.
type candidate struct {
	worker *worker
	slow   bool
	// rank is set by [State.rankCandidates], and held if the task should rather wait
	// for another worker.
	rank int
	held bool
}

// placementCandidates returns the workers that accept tasks, normal workers
// before slow ones, and within each group those with the least free CPU first.
func (s *State) placementCandidates(now time.Time) []candidate {
	candidates := make([]candidate, 0, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		if w.freeResources().CPU > 0 && w.schedulable(now) {
			candidates = append(candidates, candidate{worker: w, slow: w.speed.isSlow(now)})
		}
	}
	slices.SortStableFunc(candidates, compareCandidates)
	return candidates
}

func compareCandidates(a, b candidate) int {
	if a.slow != b.slow {
		if a.slow {
			return 1
		}
		return -1
	}
	if a.rank != b.rank {
		return cmp.Compare(a.rank, b.rank)
	}
	return cmp.Compare(a.worker.freeResources().CPU, b.worker.freeResources().CPU)
}

// placeJob starts as many unstarted tasks of j as the free resources allow and
// reports whether no unstarted task is left. Normal workers are preferred over
// slow ones. Among them, the worker with the least free CPU on which the task
// fits is used first, which leaves larger blocks of resources for large tasks.
func (s *State) placeJob(now time.Time, j *job, candidates []candidate) bool {
	if j.attestationAge(now) >= maxAttestationAge {
		return false
	}
	s.rankCandidates(now, j, candidates)
	heldBack := s.heldBackTasks(now, j)
	unplaced := j.unstartedTasks() - len(heldBack)
	nextTask := 0
	for i := range candidates {
		c := candidates[i]
		if unplaced == 0 || c.held || !eligible(c.worker, j) || c.worker.freeResources().CPU < j.Resources.CPU {
			continue
		}
		n := min(unplaced, c.worker.startableTasks(now, j))
		for range n {
			for !j.isUnstarted(nextTask) || heldBack[nextTask] {
				nextTask++
			}
			s.startRun(now, c.worker, j, nextTask)
			unplaced--
		}
	}
	// The started runs changed the free CPU by which candidates are sorted for the
	// next job. The sort is not repeated if only task 0 was started and others remain,
	// so the order may then be out of date for the next job.
	if nextTask > 0 || unplaced == 0 {
		slices.SortStableFunc(candidates, compareCandidates)
	}
	return unplaced+len(heldBack) == 0
}

// isUnstarted reports whether a task has to be started.
func (j *job) isUnstarted(i int) bool {
	t := &j.tasks[i]
	return !t.done && t.run == nil && t.awaitedRun == nil
}

// unstartedTasks returns the number of tasks that have to be started.
func (j *job) unstartedTasks() int {
	n := 0
	for i := range j.tasks {
		if j.isUnstarted(i) {
			n++
		}
	}
	return n
}

// startableTasks returns how many tasks of j may start on w now.
func (w *worker) startableTasks(now time.Time, j *job) int {
	if w.unsizedRuns > 0 && !j.GuardedCapacity {
		return 0
	}
	n := fittingTasks(w.freeResources(), j)
	if limit := w.health.maxRuns(now); limit >= 0 {
		n = min(n, limit-len(w.runs))
	}
	if j.PerWorker > 0 {
		n = min(n, j.PerWorker-j.runsOn(w))
	}
	return max(n, 0)
}

// runsOn returns the number of runs of j on w.
func (j *job) runsOn(w *worker) int {
	n := 0
	for i := range j.tasks {
		if r := j.tasks[i].run; r != nil && w.runs[r.key] == r {
			n++
		}
	}
	return n
}

// eligible reports whether the worker matches the service and label of j.
func eligible(w *worker, j *job) bool {
	if w.Service != j.Service {
		return false
	}
	if j.Label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == j.Label {
			return true
		}
	}
	return false
}

// fittingTasks returns how many tasks of j fit into the free resources.
func fittingTasks(free Resources, j *job) int {
	n := j.Tasks
	if j.PerWorker > 0 {
		n = min(n, j.PerWorker)
	}
	if j.Resources.CPU > 0 {
		n = min(n, int(free.CPU/j.Resources.CPU))
	}
	if j.Resources.Mem > 0 {
		n = min(n, int(free.Mem/j.Resources.Mem))
	}
	if j.Resources.GPU > 0 {
		n = min(n, int(free.GPU/j.Resources.GPU))
	}
	return max(n, 0)
}
