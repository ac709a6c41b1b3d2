package placer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRatioPercent is the highest ratio of run time to expected run time that a
	// histogram tells apart. Stragglers take seven times as long.
	maxRatioPercent = 5000
	// ratioDigits is the number of significant digits of a ratio in a histogram.
	ratioDigits = 2
	// ratioWindow is the number of runs after which a histogram is replaced. The last
	// two are used, so that run times from long before are forgotten.
	ratioWindow = 2048
	// minRatios is the number of runs from which a histogram is used. With fewer, one
	// straggler in 30 is rarely seen.
	minRatios = 100
	// remainingUpdateInterval is the number of runs after which remaining is
	// calculated again.
	remainingUpdateInterval = 64
	// ageStepPercent and ageSteps are the resolution and the size of remaining.
	ageStepPercent = 10
	ageSteps       = 100
)

// runTimeRatios holds the distribution of the run times of a queue, in percent of the
// expected run time. It answers loads in which a few runs take several times as long
// as others: a mean says that such a run should have ended long ago, and that each of
// the others takes a little longer than it does. The zero value is empty.
type runTimeRatios struct {
	histogram *hdrhistogram.WindowedHistogram
	observed  int
	// remaining holds, by age in steps of ageStepPercent, the median of what is left
	// of the runs that took longer than that, in percent. It is nil at first.
	remaining []int64
	// median and p99 are quantiles of the ratios.
	median, p99 int64
}

// RunTimeRatio says how long the tasks of a queue take, as a multiple of the run time
// that is expected of them.
type RunTimeRatio struct {
	Queue       string
	Median, P99 float64
}

// RunTimeRatios returns the ratios of the queues of which enough runs were observed.
func (s *State) RunTimeRatios() []RunTimeRatio {
	var list []RunTimeRatio
	for queue, q := range s.runTimes {
		if q.ratios.remaining != nil {
			list = append(list, RunTimeRatio{queue, float64(q.ratios.median) / 100, float64(q.ratios.p99) / 100})
		}
	}
	return list
}

// observe records the run time of a completed task.
func (d *runTimeRatios) observe(runTime, expected time.Duration) {
	if expected <= 0 || runTime <= 0 {
		return
	}
	if d.histogram == nil {
		d.histogram = hdrhistogram.NewWindowed(2, 1, maxRatioPercent, ratioDigits)
	}
	ratio := min(max(100*runTime.Seconds()/expected.Seconds(), 1), maxRatioPercent)
	// Values in this range are never rejected.
	_ = d.histogram.Current.RecordValue(int64(ratio))
	d.observed++
	if d.observed%ratioWindow == 0 {
		d.histogram.Rotate()
	}
	if d.observed >= minRatios && (d.remaining == nil || d.observed%remainingUpdateInterval == 0) {
		d.updateRemaining()
	}
}

// updateRemaining calculates remaining. Above the highest ratio, what is left is as long
// as at the highest age below it.
func (d *runTimeRatios) updateRemaining() {
	merged := d.histogram.Merge()
	bars, total := merged.Distribution(), merged.TotalCount()
	d.median, d.p99 = merged.ValueAtPercentile(50), merged.ValueAtPercentile(99)
	d.remaining = make([]int64, ageSteps)
	longer, next := total, 0
	for step := range d.remaining {
		age := int64(step * ageStepPercent)
		for ; next < len(bars) && bars[next].To <= age; next++ {
			longer -= bars[next].Count
		}
		if longer == 0 {
			d.remaining[step] = d.remaining[step-1]
			continue
		}
		median := merged.ValueAtPercentile(100 * (1 - float64(longer)/float64(2*total)))
		d.remaining[step] = max(median-age, 0)
	}
}

// left returns how much longer a run of the given age is expected to take, or false if
// too few runs were observed.
func (d *runTimeRatios) left(age, expected time.Duration) (time.Duration, bool) {
	if d.remaining == nil || expected <= 0 {
		return 0, false
	}
	percent := 100 * age.Seconds() / expected.Seconds()
	step := int(min(max(percent, 0)/ageStepPercent, ageSteps-1))
	// Part of a step of the age has passed already.
	passed := min(percent-float64(step*ageStepPercent), float64(d.remaining[step]))
	return time.Duration((float64(d.remaining[step]) - max(passed, 0)) / 100 * float64(expected)), true
}
