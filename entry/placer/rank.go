package placer

import (
	"slices"
	"time"
)

const (
	// lateRank is added to the rank of workers on which a job is not expected to meet
	// its latency objective. Other ranks are lower.
	lateRank = 100
	// lateRankStep is the difference of slowdowns that is a rank, of these workers.
	lateRankStep = 0.1
	// holdBackMargin is how long before its latest start a job takes any worker: more
	// than a tick of 20 ms, at which jobs are placed at the latest.
	holdBackMargin = 25 * time.Millisecond
	// maxSlowdown limits the slowdown in a rank.
	maxSlowdown = 1000
)

// rankCandidates sets the rank of each candidate for j, and sorts the candidates if
// ranks changed. It answers loads in which workers differ in speed for good, and jobs
// with their data on a rack: the workers on which the job is expected to meet its
// latency objective come first, those on its rack before others, and then the slow ones
// before others, which are left to jobs that need them. Where the job would be late, the
// fastest worker comes first. All ranks are 0 if no worker is slow for good and the job
// has no rack.
func (s *State) rankCandidates(now time.Time, j *job, candidates []candidate) {
	active := s.factors.count > 0 || (j.Rack != "" && s.RemoteFactor > 1)
	if len(candidates) == 0 || (!active && candidates[0].rank == 0) || !anyFits(j, candidates) {
		return
	}
	healthy := s.runTimes.healthyRunTime(j)
	limit := j.objective(healthy) - transitOverhead - now.Sub(j.submittedAt)
	changed, lateFits := false, false
	for i := range candidates {
		c := &candidates[i]
		rank := 0
		if active {
			rank = s.rankFor(c.worker, j, healthy, limit)
		}
		changed = changed || rank != c.rank
		c.rank, c.held = rank, false
		lateFits = lateFits || (rank >= lateRank && c.worker.freeResources().CPU >= j.Resources.CPU)
	}
	if lateFits && s.inTimeLater(now, j, healthy, limit) {
		for i := range candidates {
			candidates[i].held = candidates[i].rank >= lateRank
		}
	}
	if changed {
		slices.SortStableFunc(candidates, compareCandidates)
	}
}

// rankFor returns the rank of a worker, at least 1, for a task that takes the given
// time on a healthy worker and has to end within limit.
func (s *State) rankFor(w *worker, j *job, healthy, limit time.Duration) int {
	slowdown := min(s.slowdown(w, j), maxSlowdown)
	if time.Duration(slowdown*float64(healthy)) > limit {
		return lateRank + int(slowdown/lateRankStep)
	}
	rank := 1
	if s.remoteFactor(w, j) > 1 {
		rank += 2
	}
	if w.lastingFactor == 0 {
		rank++
	}
	return rank
}

// inTimeLater reports whether a task of j that would be late on the workers that have
// room now is expected to be in time if it waits for room on another one. It compares
// the completion times on and off the rack of a job, and on slow and other workers. A
// job that has not started does not wait until it would be refused.
func (s *State) inTimeLater(now time.Time, j *job, healthy, limit time.Duration) bool {
	longestWait := limit
	if !j.started {
		longestWait = j.latestStart.Sub(now) - holdBackMargin
	}
	for _, w := range s.sortedWorkers {
		wait := min(longestWait, limit-time.Duration(s.slowdown(w, j)*float64(healthy)))
		if wait > 0 && eligible(w, j) && w.schedulable(now) && !w.speed.isSlow(now) && s.hasRoomWithin(now, w, j, wait) {
			return true
		}
	}
	return false
}

// countRackStart counts a start of a job that names a rack, if racks matter.
func (s *State) countRackStart(w *worker, j *job) {
	switch {
	case j.Rack == "" || s.RemoteFactor <= 1:
	case j.Rack == w.Rack:
		s.emit(Count{"rack", "same"})
	default:
		s.emit(Count{"rack", "other"})
	}
}

// hasRoomWithin reports whether w is expected to have room for one more task of j than
// now, within the given time.
func (s *State) hasRoomWithin(now time.Time, w *worker, j *job, wait time.Duration) bool {
	free := w.freeResources().CPU
	missing := (max(free, 0)/max(j.Resources.CPU, 1)+1)*j.Resources.CPU - free
	for _, r := range w.runs {
		if s.expectedRemaining(now, r) <= wait {
			missing -= r.resources.CPU
		}
	}
	return missing <= 0
}

// objective returns the latency objective of j, whose tasks take the given time on a
// healthy worker.
func (j *job) objective(healthy time.Duration) time.Duration {
	return time.Duration(j.TargetLatencyMs)*time.Millisecond + time.Duration(j.Stretch*float64(healthy))
}

// anyFits reports whether any candidate has the free CPU for a task of j.
func anyFits(j *job, candidates []candidate) bool {
	for i := range candidates {
		if candidates[i].worker.freeResources().CPU >= j.Resources.CPU {
			return true
		}
	}
	return false
}
