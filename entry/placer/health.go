package placer

import "time"

const (
	// benchAfter is the number of failures in a row after which a worker gets
	// no tasks for a while. A sound worker fails 0.2 percent of its tasks.
	benchAfter = 3
	// benchFor is the first pause; it doubles with each failure after it.
	benchFor = time.Second
	// maxBench bounds the pause, so that a worker that has recovered is found
	// within seconds.
	maxBench = 8 * time.Second
	// forgiveAfter is the time after a pause without a further failure from
	// which on a worker gets tasks as others do; the next failure benches it
	// again. A wide job can't begin on workers that take one task each.
	forgiveAfter = 10 * time.Second
)

// health judges a worker by the outcomes of its runs. The load pattern it
// answers: a worker that fails all it starts is always empty, and would be
// given more tasks than any other.
type health struct {
	failures int
	until    time.Time
	trial    bool
}

// failed records a failure that may be the worker's fault.
func (h *health) failed(now time.Time) {
	h.failures++
	h.trial = false
	if h.failures >= benchAfter {
		pause := benchFor << min(h.failures-benchAfter, 3)
		h.until = now.Add(min(pause, maxBench))
	}
}

// succeeded ends all doubt.
func (h *health) succeeded() { *h = health{} }

// limit returns how many tasks may be on the worker: -1 for no limit.
func (h *health) limit(now time.Time) int {
	switch {
	case h.failures < benchAfter || now.Sub(h.until) > forgiveAfter:
		return -1
	case now.Before(h.until):
		return 0
	default:
		return 1
	}
}
