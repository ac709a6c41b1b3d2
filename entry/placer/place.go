package placer

import "time"

// place starts waiting tasks wherever there is room, job by job in the order
// of the queue. The load pattern it answers: wide and narrow jobs that press on
// the workers together. A wide job takes free room as it appears, ahead of the
// jobs behind it; if all its tasks had to fit at once, narrow jobs would take
// each free place before it.
func (s *State) place(now time.Time) {
	if !s.owning || !s.changed || len(s.waiting) == 0 {
		return
	}
	s.changed = false
	s.expireWaiting(now)
	var most int64
	for _, w := range s.order {
		if w.usable(now) {
			most = max(most, w.free().CPU)
		}
	}
	var kept, begun []*job
	for _, j := range s.waiting {
		was := j.started
		switch {
		case j.Room.CPU <= most && s.placeJob(now, j):
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

// placeJob starts the missing tasks of j for which there is room and reports
// whether none is left.
func (s *State) placeJob(now time.Time, j *job) bool {
	chosen := s.choose(now, j, j.missing())
	for i := range j.tasks {
		if len(chosen) == 0 {
			break
		}
		if j.isMissing(i) {
			s.start(now, chosen[0], j, i)
			chosen = chosen[1:]
		}
	}
	return j.missing() == 0
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

// choose returns workers for up to n tasks of j. Sound workers come before slow
// ones; of these the fullest that fits comes first, so that room stays together
// for large tasks.
func (s *State) choose(now time.Time, j *job, n int) []*worker {
	type option struct {
		w    *worker
		slow bool
		free Room
		left int
	}
	var options []option
	for _, w := range s.order {
		if !suits(w, j) || !w.usable(now) {
			continue
		}
		if left := w.places(now, j); left > 0 {
			options = append(options, option{w, w.speed.slow(now), w.free(), left})
		}
	}
	var chosen []*worker
	for len(chosen) < n {
		var best *option
		for i := range options {
			o := &options[i]
			if o.left > 0 && (best == nil || (best.slow && !o.slow) || (best.slow == o.slow && o.free.CPU < best.free.CPU)) {
				best = o
			}
		}
		if best == nil {
			break
		}
		best.left--
		best.free = best.free.Sub(j.Room)
		chosen = append(chosen, best.w)
	}
	return chosen
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
