package placer

import "time"

// leaseLimit returns the time until which the leases on w may be renewed now. A
// lease applies to all runs on a worker, so it is limited by the first of them that
// has to end.
func (w *worker) leaseLimit(now time.Time) time.Time {
	limit := now.Add(leaseDuration)
	if w.orphans == 0 {
		return limit
	}
	for _, r := range w.runs {
		if r.job != nil || !r.executed || r.stopAttempts < 0 {
			continue
		}
		if end := r.orphanedAt.Add(orphanLease); end.Before(limit) {
			limit = end
		}
	}
	return limit
}

// orphanExpired reports whether the runs found on w are stopped if no job has been
// matched with them. While ownership is contested, they may have jobs at a competing
// owner.
func (s *State) orphanExpired(now time.Time, w *worker) bool {
	return !now.Before(s.orphansMatchedBy) && (!s.contested || w.claimSettled())
}

// stopStrayRuns stops runs without a job whose task has another run or is done. A
// worker that restarted may have executed a late start of a task that runs
// elsewhere by now.
func (s *State) stopStrayRuns(now time.Time, w *worker) {
	if w.orphans == 0 {
		return
	}
	for _, r := range sortedRuns(w) {
		if r.job != nil || r.state != running {
			continue
		}
		if j, i := s.findTask(r.key.Task); j != nil && (j.tasks[i].done || j.tasks[i].run != nil) {
			s.log("stopping a run whose task has another run", map[string]any{"task": r.key.Task, "run": r.key.Number, "worker": w.ID})
			s.stopRun(now, w, r)
		}
	}
}
