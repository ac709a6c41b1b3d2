// Package timer derives request timeouts from the response times of earlier
// requests. A fixed timeout that suits a fast network makes requests over a
// congested link fail, and their repetition adds to the congestion.
package timer

import (
	"slices"
	"sync"
	"time"
)

const (
	// window is the number of recent response times that count.
	window = 31
	// factor is how many times the usual response time a request may take in
	// addition to its base timeout.
	factor = 4
	// maxExtension limits how much a timeout is extended. Leases last 1 s, and a
	// lost request must be detected before its lease ends.
	maxExtension = 350 * time.Millisecond
)

// Estimator keeps the recent response times of one process. Its estimate is their
// median: congestion of the process's own link or CPU delays all requests,
// whereas a few slow or silent servers do not change it. The zero value is ready
// to use. It is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	recent [window]time.Duration
	n      int
}

// Observe records how long a request took. A request that timed out counts with
// its timeout, so that timeouts grow if most requests fail.
func (e *Estimator) Observe(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recent[e.n%window] = max(d, 0)
	e.n++
}

// ResponseTime returns the usual response time, or 0 before the first request.
func (e *Estimator) ResponseTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := min(e.n, window)
	if n == 0 {
		return 0
	}
	sorted := e.recent
	slices.Sort(sorted[:n])
	return sorted[n/2]
}

// Extension returns how much longer than usual a request may take.
func (e *Estimator) Extension() time.Duration {
	return min(factor*e.ResponseTime(), maxExtension)
}
