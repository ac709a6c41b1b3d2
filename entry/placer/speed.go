package placer

import (
	"math"
	"time"
)

const (
	// slowFactor is the ratio of run time to expectation from which on a worker
	// counts as slow. Workers differ by a third, and estimates by 40 percent.
	slowFactor = 2.2
	// speedWeight is the share of a new outcome in a worker's ratio.
	speedWeight = 0.35
	// speedHalfLife is the time in which a worker's deviation is half forgotten,
	// so that one that has recovered is used again.
	speedHalfLife = 3 * time.Second
	// minProgress is the percentage from which on progress tells the speed.
	minProgress = 10
)

// speed judges how slow a worker is, from the run times of its tasks against
// their expectation. The load pattern it answers: some workers take several
// times as long for a while, and delay each job that has a task there.
type speed struct {
	// excess is the mean of the logarithm of run time over expectation.
	excess float64
	at     time.Time
}

// observe records the run time of a task that is done.
func (p *speed) observe(now time.Time, took, expected time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	p.excess = p.decayed(now) + speedWeight*(math.Log(took.Seconds()/expected.Seconds())-p.decayed(now))
	p.at = now
}

// progress records how far a run is, if it is already slower than expected.
func (p *speed) progress(now time.Time, ran time.Duration, percent int, expected time.Duration) {
	if percent < minProgress {
		return
	}
	total := ran * 100 / time.Duration(percent)
	if total.Seconds() > slowFactor*expected.Seconds() {
		p.observe(now, total, expected)
	}
}

func (p *speed) decayed(now time.Time) float64 {
	return p.excess * math.Exp2(-now.Sub(p.at).Seconds()/speedHalfLife.Seconds())
}

// slow tells whether tasks should go elsewhere if they can.
func (p *speed) slow(now time.Time) bool {
	return p.decayed(now) > math.Log(slowFactor)
}
