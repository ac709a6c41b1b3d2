package placer

import "time"

const (
	// runTimeWeight is the weight of a new run time in a queue's moving
	// average.
	runTimeWeight = 0.05
	// A run is hung if it has made no progress for hungGrace plus hungFactor
	// times a tenth of its expected run time.
	hungFactor = 2.0
	hungGrace  = 600 * time.Millisecond
)

// runTimeEstimator learns the run times of the tasks of each configured queue
// (Job.Queue) from completed runs, because callers' estimates are off by up to
// 40 percent.
type runTimeEstimator map[string]*queueRunTimes

type queueRunTimes struct {
	// meanMs is the mean run time of a task, and estimateRatio the mean ratio
	// of run time to the caller's estimate.
	meanMs        float64
	estimateRatio float64
	// healthy holds the same of run times divided by the slowdown on their worker. It
	// answers loads in which a queue is placed on slow workers only, or on none: its
	// mean alone would say that these workers are healthy.
	healthy struct{ meanMs, estimateRatio float64 }
	// ratios is the distribution of run times around the expected ones.
	ratios runTimeRatios
}

// observe records the run time of a task of j on a worker with the given slowdown.
func (e runTimeEstimator) observe(j *job, runTime time.Duration, slowdown float64) {
	ms := float64(runTime.Milliseconds())
	q := e[j.Queue]
	if q == nil {
		q = &queueRunTimes{meanMs: ms, estimateRatio: 1}
		q.healthy.meanMs, q.healthy.estimateRatio = ms/slowdown, 1
		e[j.Queue] = q
	}
	q.meanMs += runTimeWeight * (ms - q.meanMs)
	q.healthy.meanMs += runTimeWeight * (ms/slowdown - q.healthy.meanMs)
	if j.EstimateMs > 0 {
		ratio := ms / float64(j.EstimateMs)
		q.estimateRatio += runTimeWeight * (ratio - q.estimateRatio)
		q.healthy.estimateRatio += runTimeWeight * (ratio/slowdown - q.healthy.estimateRatio)
	}
}

// expectedRunTime returns the expected run time of a task of j. It averages the
// mean of the queue and the corrected estimate, since either alone is off by a
// similar factor.
func (e runTimeEstimator) expectedRunTime(j *job) time.Duration {
	if q := e[j.Queue]; q != nil {
		return averageRunTime(j, q.meanMs, q.estimateRatio)
	}
	return time.Duration(j.EstimateMs) * time.Millisecond
}

// healthyRunTime returns the expected run time of a task of j on a worker without a
// slowdown. It equals expectedRunTime if no worker has any.
func (e runTimeEstimator) healthyRunTime(j *job) time.Duration {
	if q := e[j.Queue]; q != nil {
		return averageRunTime(j, q.healthy.meanMs, q.healthy.estimateRatio)
	}
	return time.Duration(j.EstimateMs) * time.Millisecond
}

func averageRunTime(j *job, meanMs, estimateRatio float64) time.Duration {
	ms := meanMs
	if j.EstimateMs > 0 {
		ms = (float64(j.EstimateMs)*estimateRatio + meanMs) / 2
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// isHung reports whether a run on w had, at the given time, made no progress for longer
// than hungFactor and hungGrace allow.
func (s *State) isHung(at time.Time, w *worker, r *run) bool {
	return at.Sub(r.progressAt) > hungGrace+time.Duration(hungFactor*0.1*float64(s.expectedRunTimeOn(at, w, r.job)))
}

// slowdown returns how many times as long a task of j takes on w as on a healthy
// worker, apart from temporary slowdowns.
func (s *State) slowdown(w *worker, j *job) float64 {
	return max(1, w.lastingFactor) * s.remoteFactor(w, j)
}

// remoteFactor returns how many times as long a task of j takes on w because of its
// rack.
func (s *State) remoteFactor(w *worker, j *job) float64 {
	if j.Rack == "" || j.Rack == w.Rack {
		return 1
	}
	return max(1, s.RemoteFactor)
}

// expectedRunTimeOn returns the expected run time of a task of j on w.
func (s *State) expectedRunTimeOn(_ time.Time, w *worker, j *job) time.Duration {
	return time.Duration(s.slowdown(w, j) * float64(s.runTimes.healthyRunTime(j)))
}

// observeRunTime records the run time of a completed run on w.
func (s *State) observeRunTime(now time.Time, w *worker, r *run) {
	j, runTime := r.job, now.Sub(r.startedAt)
	w.speed.observe(now, runTime, s.expectedRunTimeOn(now, w, j))
	w.samples.add(now, w.StartedAtMs, runTime, time.Duration(s.remoteFactor(w, j)*float64(s.runTimes.healthyRunTime(j))))
	s.runTimes.observe(j, runTime, s.slowdown(w, j))
	s.runTimes[j.Queue].ratios.observe(runTime, r.expectedRunTime)
}

// expectedRemaining returns how much longer a run is expected to take: by its progress
// if the worker reports any, and else by the runs of its queue that took longer than
// its age. Without such runs, it is 0 if the run should have ended. It answers loads in
// which a few runs take several times as long as others.
func (s *State) expectedRemaining(now time.Time, r *run) time.Duration {
	age := now.Sub(r.startedAt)
	if r.progressPercent >= minProgress && !r.adopted {
		if total := r.progressAt.Sub(r.startedAt) * 100 / time.Duration(r.progressPercent); total > age {
			return total - age
		}
	}
	if r.job != nil {
		if q := s.runTimes[r.job.Queue]; q != nil {
			if left, ok := q.ratios.left(age, r.expectedRunTime); ok {
				return left
			}
		}
	}
	return max(0, r.expectedRunTime-age)
}
