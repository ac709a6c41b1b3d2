package placer

import (
	"cmp"
	"slices"
	"time"
)

// place starts waiting tasks wherever there is room, job by job in the order
// of the queue. The load pattern it answers: wide and narrow jobs that press on
// the workers together. A wide job takes free room as it appears, ahead of the
// jobs behind it; if all its tasks had to fit at once, narrow jobs would take
// each free place before it.
func (s *State) place(now time.Time) {
	if !s.owning || !s.changed || len(s.waiting) == 0 {
		return
	}
	s.expireWaiting(now)
	open := s.openWorkers(now)
	var kept, begun []*job
	for _, j := range s.waiting {
		was := j.started
		switch {
		case s.placeJob(now, j, open):
		case j.started && !was:
			begun = append(begun, j)
		default:
			kept = append(kept, j)
		}
	}
	s.waiting = kept
	for _, j := range begun {
		s.enqueue(j)
	}
	s.changed = false
}

// option is a worker that takes tasks, and what a placement leaves free on it.
type option struct {
	w    *worker
	slow bool
}

// openWorkers returns the workers that take tasks: sound ones before slow ones,
// and the fullest first.
func (s *State) openWorkers(now time.Time) []option {
	open := make([]option, 0, len(s.order))
	for _, w := range s.order {
		if w.free().CPU > 0 && w.usable(now) {
			open = append(open, option{w, w.speed.slow(now)})
		}
	}
	slices.SortStableFunc(open, compareOptions)
	return open
}

func compareOptions(a, b option) int {
	if a.slow != b.slow {
		if a.slow {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.w.free().CPU, b.w.free().CPU)
}

// placeJob starts the missing tasks of j for which there is room and reports
// whether none is left. Sound workers come before slow ones; of these the
// fullest that fits comes first, so that room stays together for large tasks.
func (s *State) placeJob(now time.Time, j *job, open []option) bool {
	left := j.missing()
	next := 0
	for i := range open {
		o := open[i]
		if left == 0 || !suits(o.w, j) || o.w.free().CPU < j.Room.CPU {
			continue
		}
		n := min(left, o.w.places(now, j))
		for range n {
			for !j.isMissing(next) {
				next++
			}
			s.start(now, o.w, j, next)
			left--
		}
	}
	if next > 0 || left == 0 {
		slices.SortStableFunc(open, compareOptions)
	}
	return left == 0
}

// isMissing tells whether a task has to be started.
func (j *job) isMissing(i int) bool {
	t := &j.tasks[i]
	return !t.done && t.run == nil && t.awaits == nil
}

// missing returns how many tasks have to be started.
func (j *job) missing() int {
	n := 0
	for i := range j.tasks {
		if j.isMissing(i) {
			n++
		}
	}
	return n
}

// places returns how many tasks of j may start on w now.
func (w *worker) places(now time.Time, j *job) int {
	n := copies(w.free(), j)
	if limit := w.health.limit(now); limit >= 0 {
		n = min(n, limit-len(w.runs))
	}
	if j.PerWorker > 0 {
		n = min(n, j.PerWorker-j.runsOn(w))
	}
	return max(n, 0)
}

// runsOn counts the runs of j on w.
func (j *job) runsOn(w *worker) int {
	n := 0
	for i := range j.tasks {
		if r := j.tasks[i].run; r != nil && w.runs[r.key] == r {
			n++
		}
	}
	return n
}

// suits tells whether the worker may run tasks of j at all.
func suits(w *worker, j *job) bool {
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

// copies returns how many tasks of j fit into free.
func copies(free Room, j *job) int {
	n := j.Tasks
	if j.PerWorker > 0 {
		n = min(n, j.PerWorker)
	}
	if j.Room.CPU > 0 {
		n = min(n, int(free.CPU/j.Room.CPU))
	}
	if j.Room.Mem > 0 {
		n = min(n, int(free.Mem/j.Room.Mem))
	}
	if j.Room.GPU > 0 {
		n = min(n, int(free.GPU/j.Room.GPU))
	}
	return max(n, 0)
}
