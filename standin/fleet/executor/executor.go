// Package executor models a worker of the operators' platform: it runs tasks
// under leases, obeys the highest fence, refuses what does not fit, and lists
// runs and their ends. Time is an argument, so that it serves simulations and
// real servers alike.
package executor

import (
	"sort"
	"time"
)

// maxLease is the longest lease that a worker grants.
const maxLease = time.Second

// Key names one start of a task.
type Key struct {
	Task   string
	Number int64
}

// Run is a task at work.
type Run struct {
	Key   Key
	CPU   int64
	Began time.Time
	// Work is the time that the task takes; Hangs makes it take for ever.
	Work  time.Duration
	Hangs bool
	Fails bool
}

// End is the end of a run. Indexes rise from 1 in each life of a worker.
type End struct {
	Index int64
	Key   Key
	How   string
}

// Task tells what a start asks for.
type Task struct {
	CPU   int64
	Work  time.Duration
	Hangs bool
	Fails bool
}

// Executor is a worker. Set CPU and Born before the first call.
type Executor struct {
	// CPU is the room in thousandths of a core.
	CPU  int64
	Born time.Time
	// FailsAll makes every run fail.
	FailsAll bool
	// Slowness makes runs take that many times as long, if over 1.
	Slowness int

	ended   map[string]int
	fence   int64
	lease   time.Time
	runs    map[Key]*Run
	ends    []End
	last    int64
	highest map[string]int64
}

// Restart begins a new life in which nothing is known of before.
func (e *Executor) Restart(now time.Time) {
	e.Born, e.fence, e.lease, e.runs, e.ends, e.last, e.highest = now, 0, time.Time{}, nil, nil, 0, nil
}

// ClockMs is the worker's steady clock.
func (e *Executor) ClockMs(now time.Time) int64 { return now.Sub(e.Born).Milliseconds() }

// Runs returns the runs at work.
func (e *Executor) Runs(now time.Time) []Run {
	e.advance(now)
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

// Used is the room that runs occupy.
func (e *Executor) Used() int64 {
	var sum int64
	for _, r := range e.runs {
		sum += r.CPU
	}
	return sum
}

// Start begins a run and returns "" or the reason of the refusal.
func (e *Executor) Start(now time.Time, key Key, task Task, untilMs, fence int64) string {
	e.advance(now)
	if fence < e.fence {
		return "fence"
	}
	e.fence = fence
	if e.runs[key] != nil {
		return ""
	}
	e.renew(now, untilMs)
	switch {
	case key.Number <= e.highest[key.Task]:
		return "old"
	case untilMs <= e.ClockMs(now):
		return "late"
	case e.Used()+task.CPU > e.CPU:
		return "room"
	}
	if e.runs == nil {
		e.runs = map[Key]*Run{}
	}
	e.runs[key] = &Run{Key: key, CPU: task.CPU, Began: now, Work: task.Work * time.Duration(max(e.Slowness, 1)), Hangs: task.Hangs, Fails: task.Fails || e.FailsAll}
	return ""
}

// Stop stops a run, or keeps it from starting, and reports whether the fence
// allows it.
func (e *Executor) Stop(now time.Time, key Key, fence int64) bool {
	e.advance(now)
	if fence < e.fence {
		return false
	}
	e.fence = fence
	if e.highest == nil {
		e.highest = map[string]int64{}
	}
	e.highest[key.Task] = max(e.highest[key.Task], key.Number)
	if e.runs[key] != nil {
		e.end(key, "stopped")
	}
	return true
}

// Hold renews the leases, forgets ends up to seen, and returns the runs and
// the other ends. ok is false for a fence that is too low.
func (e *Executor) Hold(now time.Time, untilMs, fence, seen int64) (runs []Run, ends []End, ok bool) {
	e.advance(now)
	if fence < e.fence {
		return nil, nil, false
	}
	e.fence = fence
	if untilMs > 0 {
		e.renew(now, untilMs)
	}
	kept := e.ends[:0]
	for _, end := range e.ends {
		if end.Index > seen {
			kept = append(kept, end)
		}
	}
	e.ends = kept
	return e.Runs(now), append([]End(nil), e.ends...), true
}

// Ended returns how many runs have ended in a way, over all lives.
func (e *Executor) Ended(how string) int { return e.ended[how] }

// NextEnd returns when a run ends next by itself, or the zero time.
func (e *Executor) NextEnd() time.Time {
	var next time.Time
	for _, r := range e.runs {
		at := r.Began.Add(r.Work)
		if r.Hangs || at.After(e.lease) {
			at = e.lease
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// renew moves the lease of everything to a time on the worker's clock. It
// never shortens it.
func (e *Executor) renew(now time.Time, untilMs int64) {
	until := e.Born.Add(time.Duration(untilMs) * time.Millisecond)
	if limit := now.Add(maxLease); until.After(limit) {
		until = limit
	}
	if until.After(e.lease) {
		e.lease = until
	}
}

// advance ends the runs whose work or lease is over at now.
func (e *Executor) advance(now time.Time) {
	for {
		var key Key
		var at time.Time
		how := ""
		for k, r := range e.runs {
			done := r.Began.Add(r.Work)
			lapses := r.Hangs || done.After(e.lease)
			if lapses {
				done = e.lease
			}
			if done.After(now) || (how != "" && !earlier(done, k, at, key)) {
				continue
			}
			key, at = k, done
			switch {
			case lapses:
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
		e.end(key, how)
	}
}

func earlier(a time.Time, k Key, b time.Time, l Key) bool {
	if !a.Equal(b) {
		return a.Before(b)
	}
	return k.Task < l.Task || (k.Task == l.Task && k.Number < l.Number)
}

func (e *Executor) end(key Key, how string) {
	delete(e.runs, key)
	e.last++
	e.ends = append(e.ends, End{e.last, key, how})
	if e.ended == nil {
		e.ended = map[string]int{}
	}
	e.ended[how]++
	if e.highest == nil {
		e.highest = map[string]int64{}
	}
	e.highest[key.Task] = max(e.highest[key.Task], key.Number)
}
