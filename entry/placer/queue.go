package placer

import (
	"slices"
	"sort"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	// transitOverhead is the part of a job's latency that is neither queueing
	// nor execution: communication between caller, entry, owner and worker.
	transitOverhead = 15 * time.Millisecond
	// maxWaitShare is the share of a job's slack that it may spend waiting,
	// where slack is the latency objective less the expected run time and
	// transitOverhead. The share is low because tasks take longer than expected
	// about half of the time.
	maxWaitShare = 0.35
	// topPriorityWaitShare replaces maxWaitShare for the highest priority. Its
	// jobs get free resources before all others and so rarely wait for the full
	// period.
	topPriorityWaitShare = 0.8
	// minWait is the minimum time a job may wait. Several short tasks end
	// within it.
	minWait = 20 * time.Millisecond
)

// maxQueueWait returns how long a job may wait in the queue: a share of its
// slack, but at least minWait.
func (s *State) maxQueueWait(j *job) time.Duration {
	delayBudget := time.Duration(j.TargetLatencyMs)*time.Millisecond + time.Duration((j.Stretch-1)*float64(s.runTimes.expectedRunTime(j)))
	share := maxWaitShare
	if j.Priority == 0 {
		share = topPriorityWaitShare
	}
	return max(minWait, time.Duration(share*float64(delayBudget-transitOverhead)))
}

// refusal returns the rule by which a job can't be served, and the error for its caller,
// or nil.
func (s *State) refusal(now time.Time, j *job) (string, *messenger.Error) {
	workers, capacity := 0, 0
	for _, w := range s.sortedWorkers {
		if !eligible(w, j) || w.removed || w.Draining {
			continue
		}
		// Workers that are not owned yet may be owned shortly, so they count
		// towards what can ever run.
		capacity += fittingTasks(w.Resources, j)
		if w.phase == owned {
			workers++
		}
	}
	switch {
	case workers == 0:
		return ruleNoWorker, messenger.NewError(messenger.NoTarget, "").WithRetryAfter(minRetryAfterMs)
	case capacity < j.Tasks:
		return ruleTooLarge, messenger.NewError(messenger.NeverRunnable, "the job exceeds the combined capacity of the workers").WithRetryAfter(minRetryAfterMs)
	}
	if now.After(j.latestStart) {
		return ruleOwnerBehind, messenger.NewError(messenger.Overloaded, "the owner is too busy to start the job in time").WithRetryAfter(overloadRetryAfterMs)
	}
	if len(s.waiting) > 0 && s.missesDeadline(now, j) {
		return ruleDeadline, messenger.NewError(messenger.DeadlineUnmeetable, "the job can't end before its caller's deadline")
	}
	if !s.admitsAll && len(s.waiting) > 0 && s.shares.exceedsBound(now, j, s.waitsBehindHigher(j)) {
		s.shares.observe(now, j, false)
		return ruleShareBound, messenger.NewError(messenger.Overloaded, "another queue is served less and waits for the same resources").WithRetryAfter(s.retryAfterMs(now, j, 0))
	}
	if s.expectsQueueTimeout(now, j) {
		s.shares.observe(now, j, false)
		return ruleUnlikelyStart, messenger.NewError(messenger.Overloaded, "the queue is too long for the latency objective").WithRetryAfter(s.retryAfterMs(now, j, s.expectedWait(j)))
	}
	return "", nil
}

// minRetryAfterMs is the minimum retry delay sent with a refusal. A burst has
// usually passed by then.
const minRetryAfterMs = 1000

// overloadRetryAfterMs is the retry delay sent by an owner that handles jobs too
// late. An owner recovers more slowly than a queue.
const overloadRetryAfterMs = 2000

// fastestRunShare is the share of the expected run time that a task may take if it is
// faster than expected. Estimates are off by up to 40 percent.
const fastestRunShare = 0.6

// missesDeadline reports whether a job that has not started can't end before its caller
// stops waiting. It addresses jobs with a long run time that start after a wait, hold
// their room for nothing and are answered 504.
func (s *State) missesDeadline(now time.Time, j *job) bool {
	return now.Add(transitOverhead + time.Duration(fastestRunShare*float64(s.runTimes.expectedRunTime(j)))).After(j.deadline)
}

// expireWaiting refuses unstarted jobs that are still in the queue after their
// latestStart, or that can't meet their caller's deadline any more.
func (s *State) expireWaiting(now time.Time) {
	var expired, late []*job
	for _, j := range s.waiting {
		switch {
		case j.started || j.startRequested:
		case now.After(j.latestStart):
			expired = append(expired, j)
		case s.missesDeadline(now, j):
			late = append(late, j)
		}
	}
	for _, j := range late {
		s.refuse(now, j, ruleDeadline, messenger.NewError(messenger.DeadlineUnmeetable, "the job can't end before its caller's deadline"))
	}
	for _, j := range expired {
		s.recordOutcome(now, j, false)
		s.refuse(now, j, ruleQueueTimeout, messenger.NewError(messenger.Overloaded, "not enough resources became free in time").WithRetryAfter(s.retryAfterMs(now, j, 0)))
	}
}

// enqueue inserts a job into the queue.
func (s *State) enqueue(j *job) {
	i := sort.Search(len(s.waiting), func(i int) bool { return precedes(j, s.waiting[i]) })
	s.waiting = slices.Insert(s.waiting, i, j)
	s.needsPlacement = true
}

// precedes defines the queue order. Jobs that have started come first, since
// their running tasks are useless without the rest; then by priority; then by
// latestStart.
func precedes(a, b *job) bool {
	if a.started != b.started {
		return a.started
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	return a.ID < b.ID
}
