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
	for _, r := range w.runs {
		if end, limited := r.leaseLimit(); limited && end.Before(limit) {
			limit = end
		}
	}
	return limit
}

// leaseLimit returns the time by which a run must have ended, and whether there is one.
func (r *run) leaseLimit() (time.Time, bool) {
	switch {
	case r.stopAttempts < 0:
		return time.Time{}, false
	case !r.endBy.IsZero():
		return r.endBy, true
	case r.job == nil:
		return r.orphanedAt.Add(orphanLease), true
	default:
		return r.job.attestedAt.Add(jobLease), !r.job.attestedAt.IsZero()
	}
}

// OldestOrphan returns when the first run that may still be in progress lost its job, or
// zero if there is none. A run whose job has not been attested lately counts as one that
// lost it then.
func (s *State) OldestOrphan(now time.Time) time.Time {
	var oldest time.Time
	for _, w := range s.sortedWorkers {
		for _, r := range w.runs {
			if r.stopAttempts < 0 || (r.job != nil && r.job.attestationAge(now) < attestationAllowance) {
				continue
			}
			lostAt := r.orphanedAt
			if r.job != nil {
				lostAt = r.job.lostAt(now)
			}
			// The leases of older runs have expired.
			if now.Sub(lostAt) < orphanLease && (oldest.IsZero() || lostAt.Before(oldest)) {
				oldest = lostAt
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
