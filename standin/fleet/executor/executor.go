// Package executor models a worker of the operators' platform. A worker runs
// tasks under a lease, rejects requests with a fencing token below the highest
// that it has seen, rejects tasks that exceed its capacity, and lists its running
// and ended runs. Callers pass in the current time, so that the model works in
// simulations as well as in real servers.
package executor

import (
	"cmp"
	"sort"
	"time"
)

// maxLease limits how far in the future a lease may end.
const maxLease = time.Second

// Key identifies a run: one start of a task. Number counts the starts of the task;
// requests contain it as RunId.
type Key struct {
	Task   string
	Number int64
}

// Run is a task in execution.
type Run struct {
	Key       Key
	CPU       int64
	StartedAt time.Time
	// Duration is the run time of the task. A task that Hangs never completes.
	Duration time.Duration
	Hangs    bool
	Fails    bool
}

// End records that a run has ended. Index counts the ends since the worker
// started, from 1. How is "done", "failed", "stopped", or "lapsed" if the lease
// has expired.
type End struct {
	Index int64
	Key   Key
	How   string
}

// Task describes the task to start.
type Task struct {
	CPU      int64
	Duration time.Duration
	Hangs    bool
	Fails    bool
}

// Executor models one worker. CPU and StartedAt must be set before the first call.
type Executor struct {
	// CPU is the capacity in thousandths of a core.
	CPU       int64
	StartedAt time.Time
	// FailAll makes every run fail.
	FailAll bool
	// SlowFactor multiplies the run time of tasks unless it is 0. It is below 1 for a
	// worker that is faster than others.
	SlowFactor float64
	// ClockSlowPercent is how much slower the worker's clock is than real time. Its
	// leases last longer by as much.
	ClockSlowPercent int64

	// endCounts counts ended runs by how they ended, across restarts.
	endCounts    map[string]int
	fence        int64
	leaseEnd     time.Time
	runs         map[Key]*Run
	ends         []End
	lastEndIndex int64
	// highestNumber is the highest ended or stopped run number of each task.
	highestNumber map[string]int64
}

// Restart simulates a restart of the worker process, which loses all state.
func (e *Executor) Restart(now time.Time) {
	e.StartedAt, e.fence, e.leaseEnd, e.runs, e.ends, e.lastEndIndex, e.highestNumber = now, 0, time.Time{}, nil, nil, 0, nil
}

// ClockMs returns the worker's monotonic clock: milliseconds since its start.
// Responses contain it because entries specify the end of leases on this clock.
func (e *Executor) ClockMs(now time.Time) int64 {
	return now.Sub(e.StartedAt).Milliseconds() * (100 - e.ClockSlowPercent) / 100
}

// onClock returns how long the worker's clock takes to advance by d.
func (e *Executor) onClock(d time.Duration) time.Duration {
	return d * 100 / time.Duration(100-e.ClockSlowPercent)
}

// Runs returns the runs in execution, ordered by key.
func (e *Executor) Runs(now time.Time) []Run {
	e.endDueRuns(now)
	list := make([]Run, 0, len(e.runs))
	for _, r := range e.runs {
		list = append(list, *r)
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].Key.Task != list[b].Key.Task {
			return list[a].Key.Task < list[b].Key.Task
		}
		return list[a].Key.Number < list[b].Key.Number
	})
	return list
}

// Used returns the CPU capacity occupied by runs.
func (e *Executor) Used() int64 {
	var sum int64
	for _, r := range e.runs {
		sum += r.CPU
	}
	return sum
}

// Start starts a run. It returns "" on success, or else the reason for the
// rejection.
func (e *Executor) Start(now time.Time, key Key, task Task, untilMs, fence int64) string {
	e.endDueRuns(now)
	if fence < e.fence {
		return "fence"
	}
	e.fence = fence
	if e.runs[key] != nil {
		return ""
	}
	e.extendLease(now, untilMs)
	switch {
	case key.Number <= e.highestNumber[key.Task]:
		return "old"
	case untilMs <= e.ClockMs(now):
		return "late"
	case e.Used()+task.CPU > e.CPU:
		return "room"
	}
	if e.runs == nil {
		e.runs = map[Key]*Run{}
	}
	e.runs[key] = &Run{Key: key, CPU: task.CPU, StartedAt: now, Duration: time.Duration(float64(task.Duration) * cmp.Or(e.SlowFactor, 1)), Hangs: task.Hangs, Fails: task.Fails || e.FailAll}
	return ""
}

// Stop stops a run, or prevents it from starting later. It returns false if the
// fencing token is too low.
func (e *Executor) Stop(now time.Time, key Key, fence int64) bool {
	e.endDueRuns(now)
	if fence < e.fence {
		return false
	}
	e.fence = fence
	if e.highestNumber == nil {
		e.highestNumber = map[string]int64{}
	}
	e.highestNumber[key.Task] = max(e.highestNumber[key.Task], key.Number)
	if e.runs[key] != nil {
		e.recordEnd(key, "stopped")
	}
	return true
}

// Hold extends the lease to untilMs, unless that is 0, discards the ends up to
// index lastSeen, and returns the runs and the remaining ends. ok is false if the
// fencing token is too low.
func (e *Executor) Hold(now time.Time, untilMs, fence, lastSeen int64) (runs []Run, ends []End, ok bool) {
	e.endDueRuns(now)
	if fence < e.fence {
		return nil, nil, false
	}
	e.fence = fence
	if untilMs > 0 {
		e.extendLease(now, untilMs)
	}
	kept := e.ends[:0]
	for _, end := range e.ends {
		if end.Index > lastSeen {
			kept = append(kept, end)
		}
	}
	e.ends = kept
	return e.Runs(now), append([]End(nil), e.ends...), true
}

// Ended returns how many runs have ended in the given way, including those
// before restarts.
func (e *Executor) Ended(how string) int { return e.endCounts[how] }

// NextEnd returns the earliest time at which a run will end by completion or
// lease expiry, or the zero time if there are no runs.
func (e *Executor) NextEnd() time.Time {
	var next time.Time
	for _, r := range e.runs {
		at := r.StartedAt.Add(r.Duration)
		if r.Hangs || at.After(e.leaseEnd) {
			at = e.leaseEnd
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// extendLease extends the lease, which all runs share, to untilMs on the worker's
// clock but at most by maxLease. It never shortens the lease.
func (e *Executor) extendLease(now time.Time, untilMs int64) {
	until := e.StartedAt.Add(e.onClock(time.Duration(untilMs) * time.Millisecond))
	if limit := now.Add(e.onClock(maxLease)); until.After(limit) {
		until = limit
	}
	if until.After(e.leaseEnd) {
		e.leaseEnd = until
	}
}

// endDueRuns ends, in order of time, the runs that complete or whose lease expires
// by now.
func (e *Executor) endDueRuns(now time.Time) {
	for {
		var key Key
		var at time.Time
		how := ""
		for k, r := range e.runs {
			done := r.StartedAt.Add(r.Duration)
			leaseExpires := r.Hangs || done.After(e.leaseEnd)
			if leaseExpires {
				done = e.leaseEnd
			}
			if done.After(now) || (how != "" && !endsBefore(done, k, at, key)) {
				continue
			}
			key, at = k, done
			switch {
			case leaseExpires:
				how = "lapsed"
			case r.Fails:
				how = "failed"
			default:
				how = "done"
			}
		}
		if how == "" {
			return
		}
		e.recordEnd(key, how)
	}
}

// endsBefore orders ends by time and then by key, so that simulations are
// deterministic.
func endsBefore(a time.Time, k Key, b time.Time, l Key) bool {
	if !a.Equal(b) {
		return a.Before(b)
	}
	return k.Task < l.Task || (k.Task == l.Task && k.Number < l.Number)
}

// recordEnd removes a run and adds its end to the list.
func (e *Executor) recordEnd(key Key, how string) {
	delete(e.runs, key)
	e.lastEndIndex++
	e.ends = append(e.ends, End{e.lastEndIndex, key, how})
	if e.endCounts == nil {
		e.endCounts = map[string]int{}
	}
	e.endCounts[how]++
	if e.highestNumber == nil {
		e.highestNumber = map[string]int64{}
	}
	e.highestNumber[key.Task] = max(e.highestNumber[key.Task], key.Number)
}
