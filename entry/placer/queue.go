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

// expectedWait estimates the time until the last task of a new job can start:
// the CPU required by the job and by the unstarted tasks ahead of it, less the
// CPU free for its tasks now, divided by the rate at which running tasks
// release CPU. A job that would wait longer than maxQueueWait is refused on
// arrival, so that its caller need not wait for the refusal.
func (s *State) expectedWait(now time.Time, j *job) time.Duration {
	pendingCPU := int64(j.Tasks) * j.Resources.CPU
	for _, other := range s.waiting {
		if precedes(other, j) {
			pendingCPU += int64(s.runnableTasks(now, other)) * other.Resources.CPU
		}
	}
	var releaseRate float64
	for _, w := range s.sortedWorkers {
		if !eligible(w, j) || !w.schedulable(now) {
			continue
		}
		pendingCPU -= int64(w.startableTasks(now, j)) * j.Resources.CPU
		for _, r := range w.runs {
			if r.job != nil {
				releaseRate += float64(r.resources.CPU) / max(r.expectedRunTime.Seconds(), minRunTime.Seconds())
			}
		}
	}
	switch {
	case pendingCPU <= 0:
		return 0
	case releaseRate == 0:
		return maxExpectedWait
	}
	return min(time.Duration(float64(pendingCPU)/releaseRate*float64(time.Second)), maxExpectedWait)
}

const (
	// minRunTime keeps the estimated release rate finite.
	minRunTime = 10 * time.Millisecond
	// maxExpectedWait caps the estimate. It is also the estimate if more CPU is
	// required than is free and no running task releases any.
	maxExpectedWait = time.Minute
)

// admissionError returns an error if the job can't be served, or nil.
func (s *State) admissionError(now time.Time, j *job) *messenger.Error {
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
		return messenger.NewError(messenger.NoTarget, "").WithRetryAfter(minRetryAfterMs)
	case capacity < j.Tasks:
		return messenger.NewError(messenger.NeverRunnable, "the job exceeds the combined capacity of the workers").WithRetryAfter(minRetryAfterMs)
	}
	if now.After(j.latestStart) {
		return messenger.NewError(messenger.Overloaded, "the owner is too busy to start the job in time").WithRetryAfter(overloadRetryAfterMs)
	}
	if wait := s.expectedWait(now, j); wait > s.maxQueueWait(j) {
		return messenger.NewError(messenger.Overloaded, "the queue is too long for the latency objective").WithRetryAfter(max(minRetryAfterMs, wait.Milliseconds()))
	}
	return nil
}

// minRetryAfterMs is the minimum retry delay sent with a refusal. A burst has
// usually passed by then.
const minRetryAfterMs = 1000

// overloadRetryAfterMs is the retry delay sent by an owner that handles jobs too
// late. An owner recovers more slowly than a queue.
const overloadRetryAfterMs = 2000

// expireWaiting refuses unstarted jobs that are still in the queue after their
// latestStart.
func (s *State) expireWaiting(now time.Time) {
	var expired []*job
	for _, j := range s.waiting {
		if !j.started && now.After(j.latestStart) {
			expired = append(expired, j)
		}
	}
	for _, j := range expired {
		s.finishJob(now, j, Result{Err: messenger.NewError(messenger.Overloaded, "not enough resources became free in time").WithRetryAfter(minRetryAfterMs)})
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
