package placer

import "time"

const (
	// estimateWeight is the share of a new run time in a queue's mean.
	estimateWeight = 0.05
	// hungFactor and hungGrace bound the time in which a run must show
	// progress, from the expected run time.
	hungFactor = 2.0
	hungGrace  = 600 * time.Millisecond
)

// estimator learns the run times of each queue's tasks from outcomes, since
// the callers' estimates are off by 40 percent.
type estimator map[string]*queueTimes

type queueTimes struct {
	// mean is the mean run time of a task; ratio that of run time to estimate.
	mean  float64
	ratio float64
}

func (e estimator) done(j *job, took time.Duration) {
	ms := float64(took.Milliseconds())
	q := e[j.Queue]
	if q == nil {
		q = &queueTimes{mean: ms, ratio: 1}
		e[j.Queue] = q
	}
	q.mean += estimateWeight * (ms - q.mean)
	if j.EstimateMs > 0 {
		q.ratio += estimateWeight * (ms/float64(j.EstimateMs) - q.ratio)
	}
}

// expect returns the expected run time of a task of j: the mean of the queue's
// mean and the corrected estimate, as each alone is off by a similar factor.
func (e estimator) expect(j *job) time.Duration {
	ms := float64(j.EstimateMs)
	if q := e[j.Queue]; q != nil {
		if ms > 0 {
			ms = (ms*q.ratio + q.mean) / 2
		} else {
			ms = q.mean
		}
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// hung tells whether a run has shown no progress for too long.
func (e estimator) hung(now time.Time, r *run) bool {
	return now.Sub(r.progressAt) > hungGrace+time.Duration(hungFactor*0.1*float64(e.expect(r.job)))
}
