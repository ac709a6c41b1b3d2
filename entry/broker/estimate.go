package broker

import "math"

const (
	// minRunTimes is the number of measured run times that are needed to replace
	// the declared ones, which are often off by a factor of five.
	minRunTimes = 20
	// defaultRunMs is used while a run time is neither declared nor measured.
	// Most tasks take 50 ms to a second.
	defaultRunMs  = 500
	minMeanWeight = 0.05
	tailQuantile  = 0.95
)

// typeStats holds the run time statistics and the waiting work of one request
// type of a service.
type typeStats struct {
	name     string
	maxRunMs int64
	// runTimeCount counts the measured run times, those of finished tasks.
	runTimeCount int
	meanMs       float64
	// tailMs is the tailQuantile of the run times, 0 while it is unknown.
	tailMs int64
	histogram
	waitingTasks [classCount]int64
	// admittedMs is the total run time of the waiting tasks, estimated at
	// admission. It is used until the statistics are reliable.
	admittedMs [classCount]int64
	// results is a ring buffer of the most recent outcomes.
	results    [32]targetResult
	nextResult int
}

type targetResult struct {
	target *target
	failed bool
}

func (svc *service) statsFor(name string) *typeStats {
	stats := svc.typeStats[name]
	if stats == nil {
		stats = &typeStats{name: name, maxRunMs: svc.requestTypes[name].MaxRunMs}
		svc.typeStats[name] = stats
		svc.typeStatsList = append(svc.typeStatsList, stats)
	}
	return stats
}

// reliable reports whether there are enough run times to use the statistics.
func (ts *typeStats) reliable() bool { return ts.runTimeCount >= minRunTimes }

// runMs estimates the run time of a task. This is the measured mean or, until
// there are enough run times, the declared run time or a default.
func (ts *typeStats) runMs(declaredMs int64) int64 {
	switch {
	case ts.reliable():
		return max(1, int64(ts.meanMs+0.5))
	case declaredMs > 0 && ts.maxRunMs > 0:
		return min(declaredMs, ts.maxRunMs)
	case declaredMs > 0:
		return declaredMs
	default:
		return max(1, min(defaultRunMs, ts.maxRunMs/2))
	}
}

// lastRunMs estimates the run time of the last task of a job. If the job has to
// wait, this is the tail quantile, because the job can't make up for a long run
// of its last task. If it starts at once, the estimate of runMs is used. Until
// there are enough run times, that estimate is the declared run time or a
// default and may be declaredErrorFactor times too long. That error alone must
// not cause a refusal, so the estimate is divided by the factor.
func (ts *typeStats) lastRunMs(estimate, wait int64) int64 {
	if !ts.reliable() {
		return estimate / declaredErrorFactor
	}
	if wait == 0 {
		return estimate
	}
	return ts.tailRunMs(estimate)
}

// tailRunMs returns the tail quantile of the run times, or the estimate of runMs
// if that is larger or the quantile is unknown.
func (ts *typeStats) tailRunMs(estimate int64) int64 { return max(estimate, ts.tailMs) }

// halfMeanRunMs returns half of the mean run time, or 0 while the mean is not
// reliable. Most tasks of the type are expected to take longer.
func (ts *typeStats) halfMeanRunMs() int64 {
	if !ts.reliable() {
		return 0
	}
	return int64(ts.meanMs / 2)
}

// observe adds the run time of a finished task to the statistics.
func (ts *typeStats) observe(runMs int64) {
	ts.runTimeCount++
	weight := max(minMeanWeight, 1/float64(ts.runTimeCount))
	ts.meanMs += (float64(runMs) - ts.meanMs) * weight
	ts.histogram.observe(runMs)
	if ts.runTimeCount%minRunTimes == 0 {
		ts.tailMs = ts.quantile()
	}
}

// addWaiting adds n waiting tasks of the job; n may be negative.
func (ts *typeStats) addWaiting(j *job, n int64) {
	ts.waitingTasks[j.class] += n
	ts.admittedMs[j.class] += n * j.taskMs
}

func (ts *typeStats) waitingMs(c class) int64 {
	if ts.reliable() {
		return int64(float64(ts.waitingTasks[c]) * ts.meanMs)
	}
	return ts.admittedMs[c]
}

// addResult records whether a task of this type failed on the target.
func (ts *typeStats) addResult(t *target, failed bool) {
	ts.results[ts.nextResult%len(ts.results)] = targetResult{t, failed}
	ts.nextResult++
}

// failsElsewhere reports whether the results hold at least
// maxConsecutiveFailures outcomes on other targets and at least half of those
// are failures. A failure is then no evidence against this target.
func (ts *typeStats) failsElsewhere(t *target) bool {
	failures, outcomes := 0, 0
	for _, v := range ts.results {
		if v.target == nil || v.target == t {
			continue
		}
		outcomes++
		if v.failed {
			failures++
		}
	}
	return outcomes >= maxConsecutiveFailures && 2*failures >= outcomes
}

// histogram counts run times in exponential buckets. It halves all counts each
// time the total reaches histogramLimit, so that quantiles follow changes.
type histogram struct {
	buckets [96]uint32
	total   uint32
}

const (
	bucketsPerDoubling = 6
	histogramLimit     = 1024
)

func (h *histogram) observe(runMs int64) {
	i := int(bucketsPerDoubling * math.Log2(float64(max(1, runMs))))
	h.buckets[min(i, len(h.buckets)-1)]++
	h.total++
	if h.total < histogramLimit {
		return
	}
	h.total = 0
	for i := range h.buckets {
		h.buckets[i] /= 2
		h.total += h.buckets[i]
	}
}

// quantile returns the upper bound of the bucket that contains tailQuantile.
func (h *histogram) quantile() int64 {
	rest := float64(h.total) * (1 - tailQuantile)
	for i := len(h.buckets) - 1; i >= 0; i-- {
		rest -= float64(h.buckets[i])
		if rest < 0 {
			return int64(math.Exp2(float64(i+1) / bucketsPerDoubling))
		}
	}
	return 0
}
