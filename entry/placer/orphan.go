package placer

import (
	"slices"
	"time"
)

// leaseLimit returns the time until which the leases on w may be renewed now. A
// lease applies to all runs on a worker, so it is limited by the first of them that
// has to end.
func (w *worker) leaseLimit(now time.Time) time.Time {
	limit := now.Add(leaseDuration)
	if w.orphans == 0 {
		return limit
	}
	for _, r := range w.runs {
		if r.job != nil || r.stopAttempts < 0 {
			continue
		}
		if end := r.orphanedAt.Add(orphanLease); end.Before(limit) {
			limit = end
		}
	}
	return limit
}

// OldestOrphan returns when the first run without a job that may still be in progress
// lost it, or zero if there is none.
func (s *State) OldestOrphan(now time.Time) time.Time {
	var oldest time.Time
	for _, w := range s.sortedWorkers {
		if w.orphans == 0 {
			continue
		}
		for _, r := range w.runs {
			// The leases of older runs have expired.
			if r.job == nil && r.stopAttempts >= 0 && now.Sub(r.orphanedAt) < orphanLease && (oldest.IsZero() || r.orphanedAt.Before(oldest)) {
				oldest = r.orphanedAt
			}
		}
	}
	return oldest
}

// orphanExpired reports whether the runs found on w are stopped if no job has been
// matched with them. While ownership is contested, they may have jobs at a competing
// owner, unless that one has left another worker of the failure domain to this owner.
func (s *State) orphanExpired(now time.Time, w *worker) bool {
	if now.Before(s.orphansMatchedBy) {
		return false
	}
	return !s.contested || slices.ContainsFunc(s.sortedWorkers, func(other *worker) bool {
		return other.FailureDomain == w.FailureDomain && other.phase == owned && other.claimSettled()
	})
}

// adoptOrphans assigns orphans to the tasks of j that would otherwise be started
// again, and reports whether there are any. A task whose run is being stopped starts
// again once that run has ended.
func (s *State) adoptOrphans(now time.Time, j *job) bool {
	found := false
	for _, w := range s.sortedWorkers {
		if w.orphans == 0 {
			continue
		}
		for _, r := range sortedRuns(w) {
			if owner, i := s.findTask(r.key.Task); owner == j && s.adoptOrphan(now, w, r, j, i) {
				found = true
			}
		}
	}
	return found
}

// adoptOrphan assigns r to task i of j if the task has to be started and r may still
// be in progress.
func (s *State) adoptOrphan(now time.Time, w *worker, r *run, j *job, i int) bool {
	if r.job != nil || !j.isUnstarted(i) || w.leasesExpired(now) {
		return false
	}
	s.log("job resumes a run that had no job", map[string]any{"task": r.key.Task, "run": r.key.Number, "worker": w.ID, "stopping": r.state != running})
	j.started, j.startRequested = true, true
	s.adoptRun(w, r, j, i)
	return true
}

// leasesExpired reports whether everything on a worker that no longer answers has
// certainly ended.
func (w *worker) leasesExpired(now time.Time) bool {
	return w.lost && now.Sub(w.renewedAt) >= maxExpiryDelay
}

// resolveOrphans finds the jobs in progress to which orphans on w belong. It stops
// those whose task has another run or is done: a worker that restarted may have
// executed a late start of a task that runs elsewhere by now.
func (s *State) resolveOrphans(now time.Time, w *worker) {
	if w.orphans == 0 {
		return
	}
	for _, r := range sortedRuns(w) {
		if r.job != nil {
			continue
		}
		j, i := s.findTask(r.key.Task)
		if j == nil || s.adoptOrphan(now, w, r, j, i) || r.state != running {
			continue
		}
		if t := &j.tasks[i]; t.done || t.run != nil {
			fields := map[string]any{"task": r.key.Task, "run": r.key.Number, "worker": w.ID, "done": t.done, "listAgeMs": now.Sub(w.listedAt).Milliseconds()}
			if t.run != nil {
				fields["otherRun"], fields["otherWorker"], fields["otherAgeMs"] = t.run.key.Number, t.workerID, now.Sub(t.run.startedAt).Milliseconds()
			}
			s.log("stopping a run whose task has another run", fields)
			s.stopRun(now, w, r)
		}
	}
}
