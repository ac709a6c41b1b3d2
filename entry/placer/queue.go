package placer

import (
	"slices"
	"sort"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	// overhead is the part of a job's latency that is neither waiting nor work:
	// the ways between caller, entry, owner and worker.
	overhead = 15 * time.Millisecond
	// waitShare is the part of a job's slack that it may wait: its tasks take
	// longer than expected as often as not.
	waitShare = 0.35
	// firstWaitShare is the same for the first priority, whose jobs get each
	// free place before all others, and so rarely wait to the end.
	firstWaitShare = 0.8
	// minWait is the least time that a job may wait, in which several short
	// tasks end.
	minWait = 20 * time.Millisecond
)

// slack is how long the last start of a job may wait if the job is to meet its
// latency objective.
func (s *State) slack(j *job) time.Duration {
	objective := time.Duration(j.TargetLatencyMs)*time.Millisecond + time.Duration((j.Stretch-1)*float64(s.times.expect(j)))
	share := waitShare
	if j.Priority == 0 {
		share = firstWaitShare
	}
	return max(minWait, time.Duration(share*float64(objective-overhead)))
}

// expectedWait is the time until the last task of a new job can start: the
// work ahead of it in the queue and its own, over the rate at which running
// tasks free their room. The load pattern it answers: more work than the
// workers can do, for seconds. A job that would wait for longer than its slack
// is refused on arrival, so that its caller need not wait for the refusal.
func (s *State) expectedWait(now time.Time, j *job) time.Duration {
	need := int64(j.Tasks) * j.Room.CPU
	for _, o := range s.waiting {
		if before(o, j) {
			need += int64(o.missing()) * o.Room.CPU
		}
	}
	var rate float64
	for _, w := range s.order {
		if !suits(w, j) || !w.usable(now) {
			continue
		}
		need -= int64(w.places(now, j)) * j.Room.CPU
		for _, r := range w.runs {
			if r.job != nil {
				rate += float64(r.room.CPU) / max(r.expected.Seconds(), minRunTime.Seconds())
			}
		}
	}
	switch {
	case need <= 0:
		return 0
	case rate == 0:
		return maxExpectedWait
	}
	return min(time.Duration(float64(need)/rate*float64(time.Second)), maxExpectedWait)
}

const (
	// minRunTime keeps the estimate of the rate finite.
	minRunTime = 10 * time.Millisecond
	// maxExpectedWait stands for a wait without a known end.
	maxExpectedWait = time.Minute
)

// refuseAtOnce returns the refusal of a job that can't be served.
func (s *State) refuseAtOnce(now time.Time, j *job) *messenger.Error {
	workers, capacity := 0, 0
	for _, w := range s.order {
		if !suits(w, j) || w.gone || w.Draining {
			continue
		}
		// Workers that are not owned yet may be in a moment, and count for what
		// can ever run.
		capacity += copies(w.Room, j)
		if w.phase == owned {
			workers++
		}
	}
	switch {
	case workers == 0:
		return messenger.NewError(messenger.NoTarget, "").After(retryAfterMs)
	case capacity < j.Tasks:
		return messenger.NewError(messenger.NeverRunnable, "the workers together have no room for the job").After(retryAfterMs)
	}
	if wait := s.expectedWait(now, j); wait > s.slack(j) {
		return messenger.NewError(messenger.Overloaded, "the queue is too long for the latency objective").After(max(retryAfterMs, wait.Milliseconds()))
	}
	return nil
}

// retryAfterMs is the least advice with refusals: the time after which a burst
// has usually passed.
const retryAfterMs = 1000

// expireWaiting refuses jobs that have waited for as long as makes sense.
func (s *State) expireWaiting(now time.Time) {
	var over []*job
	for _, j := range s.waiting {
		if !j.started && now.After(j.latest) {
			over = append(over, j)
		}
	}
	for _, j := range over {
		s.finish(now, j, Result{Err: messenger.NewError(messenger.Overloaded, "no room in time").After(retryAfterMs)})
	}
}

// enqueue adds a job to the queue in its place.
func (s *State) enqueue(j *job) {
	i := sort.Search(len(s.waiting), func(i int) bool { return before(j, s.waiting[i]) })
	s.waiting = slices.Insert(s.waiting, i, j)
	s.changed = true
}

// before orders the queue: jobs that have begun, since their tasks at work are
// of no use without the rest; then by priority; then by the latest start that
// meets the objective.
func before(x, y *job) bool {
	if x.started != y.started {
		return x.started
	}
	if x.Priority != y.Priority {
		return x.Priority < y.Priority
	}
	if !x.latest.Equal(y.latest) {
		return x.latest.Before(y.latest)
	}
	return x.ID < y.ID
}
