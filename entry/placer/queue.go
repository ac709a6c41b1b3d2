package placer

import (
	"sort"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	// waitShare is the share of a job's latency objective that it may wait for
	// a place. A job that starts later is hardly ever in time, and its caller
	// learns sooner from a refusal.
	waitShare = 0.25
	// minWait is the least time that a job may wait, in which several short
	// tasks end.
	minWait = 30 * time.Millisecond
)

// objective is the latency that the configuration asks for.
func (s *State) objective(j *job) time.Duration {
	return time.Duration(j.TargetLatencyMs)*time.Millisecond + time.Duration(j.Stretch*float64(s.times.expect(j)))
}

// patience is how long a job may wait for its first start.
func (s *State) patience(j *job) time.Duration {
	return max(minWait, time.Duration(waitShare*float64(s.objective(j))))
}

// refuseAtOnce returns the refusal of a job that can't be served.
func (s *State) refuseAtOnce(now time.Time, j *job) *messenger.Error {
	workers, capacity := 0, 0
	for _, w := range s.order {
		if !suits(w, j) || w.gone || w.Draining || w.phase != owned {
			continue
		}
		workers++
		capacity += copies(w.Room, j)
	}
	switch {
	case workers == 0:
		return messenger.NewError(messenger.NoTarget, "").After(retryAfterMs)
	case capacity < j.Tasks:
		return messenger.NewError(messenger.NeverRunnable, "the workers together have no room for the job").After(retryAfterMs)
	}
	return nil
}

// retryAfterMs is the advice with refusals: the time after which a burst has
// usually passed.
const retryAfterMs = 1000

// expireWaiting refuses jobs that have waited for as long as makes sense.
func (s *State) expireWaiting(now time.Time) {
	var over []*job
	for _, j := range s.waiting {
		if !j.started && now.Sub(j.arrived) > s.patience(j) {
			over = append(over, j)
		}
	}
	for _, j := range over {
		s.finish(now, j, Result{Err: messenger.NewError(messenger.Overloaded, "no room in time").After(retryAfterMs)})
	}
}

// sortWaiting orders the queue: jobs that have begun, then by priority, then
// by arrival.
func (s *State) sortWaiting() {
	sort.SliceStable(s.waiting, func(a, b int) bool {
		x, y := s.waiting[a], s.waiting[b]
		switch {
		case x.started != y.started:
			return x.started
		case x.Priority != y.Priority:
			return x.Priority < y.Priority
		case !x.arrived.Equal(y.arrived):
			return x.arrived.Before(y.arrived)
		default:
			return x.ID < y.ID
		}
	})
}
