package placer

import "time"

const (
	// quarantineThreshold is the number of consecutive failures after which a
	// worker is quarantined. A healthy worker fails 0.2 percent of its tasks.
	quarantineThreshold = 3
	// initialQuarantine is the first quarantine period. It doubles with each
	// further failure.
	initialQuarantine = time.Second
	// maxQuarantine limits the quarantine period so that the recovery of a
	// worker is detected within seconds.
	maxQuarantine = 8 * time.Second
	// probationPeriod is how long a worker is limited to one task at a time after
	// its quarantine. A success lifts the limit earlier. Until the first success,
	// any failure quarantines the worker again, even after the period. The limit
	// has to end because a wide job can't start on workers that run one task
	// each.
	probationPeriod = 10 * time.Second
)

// health tracks the outcomes of a worker's runs. Without it, a worker that
// fails every run would always be empty and receive more tasks than any other.
type health struct {
	consecutiveFailures int
	quarantinedUntil    time.Time
}

// recordFailure records a failure that may have been caused by the worker.
func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	if h.consecutiveFailures >= quarantineThreshold {
		quarantine := initialQuarantine << min(h.consecutiveFailures-quarantineThreshold, 3)
		h.quarantinedUntil = now.Add(min(quarantine, maxQuarantine))
	}
}

// recordSuccess clears the failure history.
func (h *health) recordSuccess() { *h = health{} }

// maxRuns returns how many runs the worker may have at once, or -1 for no
// limit.
func (h *health) maxRuns(now time.Time) int {
	switch {
	case h.consecutiveFailures < quarantineThreshold || now.Sub(h.quarantinedUntil) > probationPeriod:
		return -1
	case now.Before(h.quarantinedUntil):
		return 0
	default:
		return 1
	}
}
