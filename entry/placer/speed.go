package placer

import (
	"math"
	"time"
)

const (
	// slowFactor is the ratio of actual to expected run time above which a
	// worker counts as slow. Workers differ by a third, and estimates are off by
	// up to 40 percent.
	slowFactor = 2.2
	// speedWeight is the weight of a new run in a worker's moving average.
	speedWeight = 0.35
	// speedHalfLife is the half-life of a worker's deviation, so that a worker
	// that has recovered is used again.
	speedHalfLife = 3 * time.Second
	// minProgress is the minimum percentage at which progress indicates the
	// speed of a run.
	minProgress = 10
)

// speed tracks how slow a worker is by comparing actual and expected run times.
// A worker that is temporarily several times slower would delay each job that
// has a task on it.
type speed struct {
	// logRatio is the moving average of the logarithm of actual over expected
	// run time.
	logRatio  float64
	updatedAt time.Time
}

// observe records the run time of a completed task.
func (p *speed) observe(now time.Time, runTime, expected time.Duration) {
	if expected <= 0 || runTime <= 0 {
		return
	}
	p.logRatio = p.decayedLogRatio(now) + speedWeight*(math.Log(runTime.Seconds()/expected.Seconds())-p.decayedLogRatio(now))
	p.updatedAt = now
}

// observeProgress extrapolates the run time of a run in progress and records it
// if it is more than slowFactor times the expected run time.
func (p *speed) observeProgress(now time.Time, ran time.Duration, percent int, expected time.Duration) {
	if percent < minProgress {
		return
	}
	total := ran * 100 / time.Duration(percent)
	if total.Seconds() > slowFactor*expected.Seconds() {
		p.observe(now, total, expected)
	}
}

func (p *speed) decayedLogRatio(now time.Time) float64 {
	return p.logRatio * math.Exp2(-now.Sub(p.updatedAt).Seconds()/speedHalfLife.Seconds())
}

// isSlow reports whether tasks should be placed elsewhere if possible.
func (p *speed) isSlow(now time.Time) bool {
	return p.decayedLogRatio(now) > math.Log(slowFactor)
}
