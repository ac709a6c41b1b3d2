package broker

import "math"

const (
	// outcomesToTrust is the number of outcomes after which declared values
	// are no longer used: they are often off by a factor of five.
	outcomesToTrust = 20
	// typicalRunMs stands for a run time that is neither declared nor learned:
	// most tasks take 50 ms to a second.
	typicalRunMs = 500
	meanWeight   = 0.05
	highQuantile = 0.95
)

// kind is what is known of one request type of a service: estimates of its run
// time and the tasks of it that wait.
type kind struct {
	name     string
	maxRunMs int64
	outcomes int
	mean     float64
	// high is a high quantile of the run times, 0 while it is unknown.
	high int64
	histogram
	tasks [classes]int64
	// fallbackMs is the sum of the run times of the waiting tasks as they were
	// estimated at admission.
	fallbackMs [classes]int64
	judged     [32]verdict
	judgedNext int
}

type verdict struct {
	target *target
	failed bool
}

func (svc *service) kind(name string) *kind {
	k := svc.kinds[name]
	if k == nil {
		k = &kind{name: name, maxRunMs: svc.types[name].MaxRunMs}
		svc.kinds[name] = k
		svc.kindList = append(svc.kindList, k)
	}
	return k
}

func (k *kind) learned() bool { return k.outcomes >= outcomesToTrust }

// runMs estimates the run time of a task: the mean of outcomes, until there
// are enough the declared value, or else a typical one.
func (k *kind) runMs(declaredMs int64) int64 {
	switch {
	case k.learned():
		return max(1, int64(k.mean+0.5))
	case declaredMs > 0 && k.maxRunMs > 0:
		return min(declaredMs, k.maxRunMs)
	case declaredMs > 0:
		return declaredMs
	default:
		return max(1, min(typicalRunMs, k.maxRunMs/2))
	}
}

// lastRunMs estimates the run time of the last task of a job. A job that has
// to wait is judged by a high quantile, because it can't recover from a long
// run; a job that starts at once gets its chance. Until outcomes are known the
// estimate may be too long by declaredError, which alone must not refuse a job.
func (k *kind) lastRunMs(mean, wait int64) int64 {
	if !k.learned() {
		return mean / declaredError
	}
	if wait == 0 {
		return mean
	}
	return k.highMs(mean)
}

// highMs is a high quantile of the run time, or the mean while it is unknown.
func (k *kind) highMs(mean int64) int64 { return max(mean, k.high) }

// leastMs is a time in which hardly any task of the type ends.
func (k *kind) leastMs() int64 {
	if !k.learned() {
		return 0
	}
	return int64(k.mean / 2)
}

func (k *kind) learn(runMs int64) {
	k.outcomes++
	weight := max(meanWeight, 1/float64(k.outcomes))
	k.mean += (float64(runMs) - k.mean) * weight
	k.histogram.add(runMs)
	if k.outcomes%outcomesToTrust == 0 {
		k.high = k.quantile()
	}
}

// add accounts for n more waiting tasks of the job's class.
func (k *kind) add(j *job, n int64) {
	k.tasks[j.class] += n
	k.fallbackMs[j.class] += n * j.taskMs
}

func (k *kind) waitingMs(c class) int64 {
	if k.learned() {
		return int64(float64(k.tasks[c]) * k.mean)
	}
	return k.fallbackMs[c]
}

// note remembers whether tasks of this type fail on the target.
func (k *kind) note(t *target, failed bool) {
	k.judged[k.judgedNext%len(k.judged)] = verdict{t, failed}
	k.judgedNext++
}

// poison reports whether the type fails on other targets as well, so that a
// failure says nothing of the target.
func (k *kind) poison(t *target) bool {
	failures, outcomes := 0, 0
	for _, v := range k.judged {
		if v.target == nil || v.target == t {
			continue
		}
		outcomes++
		if v.failed {
			failures++
		}
	}
	return outcomes >= failuresInRow && 2*failures >= outcomes
}

// histogram counts run times in buckets of equal ratio and forgets old ones by
// halving, so that a quantile follows changes.
type histogram struct {
	buckets [96]uint32
	total   uint32
}

const (
	bucketsPerDoubling = 6
	histogramLimit     = 1024
)

func (h *histogram) add(runMs int64) {
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

// quantile returns the upper end of the bucket of the high quantile.
func (h *histogram) quantile() int64 {
	rest := float64(h.total) * (1 - highQuantile)
	for i := len(h.buckets) - 1; i >= 0; i-- {
		rest -= float64(h.buckets[i])
		if rest < 0 {
			return int64(math.Exp2(float64(i+1) / bucketsPerDoubling))
		}
	}
	return 0
}
