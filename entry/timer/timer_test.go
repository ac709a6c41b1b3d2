package timer_test

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/timer"
)

const baseTimeout = 50 * time.Millisecond

// request records a request that would take the given time, cut off at its
// timeout, and reports whether it was answered in time.
func request(e *timer.Estimator, takes time.Duration) bool {
	timeout := baseTimeout + e.Extension()
	e.Observe(min(takes, timeout))
	return takes <= timeout
}

func checkFailures(t *testing.T, e *timer.Estimator, n, most int, takes func(i int) time.Duration) {
	t.Helper()
	failed := 0
	for i := range n {
		if !request(e, takes(i)) {
			failed++
		}
	}
	if failed > most {
		t.Errorf("%d of %d requests timed out, want at most %d", failed, n, most)
	}
}

// TestExtension guards against requests over a congested link that all time out,
// and against timeouts that grow because of a few silent servers.
func TestExtension(t *testing.T) {
	t.Run("congestion", func(t *testing.T) {
		var e timer.Estimator
		checkFailures(t, &e, 200, 20, func(i int) time.Duration { return time.Duration(60+i%80) * time.Millisecond })
	})
	t.Run("congestion that begins suddenly", func(t *testing.T) {
		var e timer.Estimator
		checkFailures(t, &e, 100, 0, func(int) time.Duration { return 2 * time.Millisecond })
		checkFailures(t, &e, 200, 40, func(i int) time.Duration { return time.Duration(100+i%100) * time.Millisecond })
	})
	t.Run("a third of the servers is silent", func(t *testing.T) {
		var e timer.Estimator
		for i := range 300 {
			takes := 2 * time.Millisecond
			if i%3 == 0 {
				takes = time.Minute
			}
			request(&e, takes)
		}
		if got := e.Extension(); got > 10*time.Millisecond {
			t.Errorf("timeouts are extended by %v", got)
		}
	})
	t.Run("recovery", func(t *testing.T) {
		var e timer.Estimator
		checkFailures(t, &e, 100, 100, func(int) time.Duration { return time.Minute })
		checkFailures(t, &e, 20, 0, func(int) time.Duration { return time.Millisecond })
		if got := e.Extension(); got > 10*time.Millisecond {
			t.Errorf("timeouts are still extended by %v", got)
		}
	})
}
