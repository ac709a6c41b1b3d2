package placer

import "time"

// place starts the waiting jobs for which there is room: all missing tasks of
// a job at once, or none.
func (s *State) place(now time.Time) {
	if !s.owning || len(s.waiting) == 0 {
		return
	}
	s.expireWaiting(now)
	s.sortWaiting()
	kept := s.waiting[:0]
	for _, j := range s.waiting {
		if !s.placeJob(now, j) {
			kept = append(kept, j)
		}
	}
	s.waiting = kept
}

// placeJob starts all missing tasks of j and reports whether it did.
func (s *State) placeJob(now time.Time, j *job) bool {
	missing := j.missing()
	if len(missing) == 0 {
		return true
	}
	chosen := s.choose(now, j, len(missing))
	if chosen == nil {
		return false
	}
	for n, i := range missing {
		s.start(now, chosen[n], j, i)
	}
	return true
}

// missing returns the tasks that have to be started.
func (j *job) missing() []int {
	var list []int
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.done && t.run == nil && t.awaits == nil {
			list = append(list, i)
		}
	}
	return list
}

// choose returns a worker for each of n tasks of j, or nil if not all fit. It
// takes the fullest workers that fit, so that room for wide jobs stays
// together.
func (s *State) choose(now time.Time, j *job, n int) []*worker {
	type option struct {
		w    *worker
		free Room
		left int
	}
	var options []option
	total := 0
	for _, w := range s.order {
		if !suits(w, j) || !w.usable(now) {
			continue
		}
		left := copies(w.free(), j)
		if limit := w.health.limit(now); limit >= 0 {
			left = min(left, limit-len(w.runs))
		}
		if left <= 0 {
			continue
		}
		options = append(options, option{w, w.free(), left})
		total += left
	}
	if total < n {
		return nil
	}
	chosen := make([]*worker, 0, n)
	for len(chosen) < n {
		best := -1
		for i := range options {
			if options[i].left > 0 && (best < 0 || options[i].free.CPU < options[best].free.CPU) {
				best = i
			}
		}
		o := &options[best]
		o.left--
		o.free = o.free.Sub(j.Room)
		chosen = append(chosen, o.w)
	}
	return chosen
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
