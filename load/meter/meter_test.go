package meter

import (
	"math"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/caller"
	"github.com/godwitrelay/godwitrelay/load/generator"
)

func finished(at, response time.Duration, a caller.Attempt, runMs ...int64) caller.Finished {
	j := generator.Job{At: at, RunMs: runMs, Type: generator.RequestType{Priority: messenger.Urgent}}
	return caller.Finished{Job: j, Attempt: a, Response: response, Since: at + response}
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > math.Abs(want)/500 {
		t.Errorf("%s is %v instead of %v", what, got, want)
	}
}

// Guards against figures over the wrong ideal, of the wrong window, or without
// the jobs that failed.
func TestFigures(t *testing.T) {
	m := New(Settings{Slots: 2, CapacityTasksPer: 10, Path: 10 * time.Millisecond, Warmup: time.Second, Duration: 11 * time.Second})
	complete := caller.Attempt{Outcome: messenger.Complete}
	m.Record(finished(0, 500*time.Millisecond, complete, 90))
	for range 98 {
		m.Record(finished(2*time.Second, 105*time.Millisecond, complete, 90, 10))
	}
	m.Record(finished(2*time.Second, 20*time.Second, complete, 90))
	m.Record(finished(2*time.Second, time.Millisecond, caller.Attempt{Outcome: messenger.Refused, Kind: messenger.Overloaded}, 90))
	m.Record(finished(2*time.Second, time.Millisecond, caller.Attempt{Outcome: messenger.Failed, Kind: messenger.TaskFailed}, 90))
	m.Record(finished(2*time.Second, time.Millisecond, caller.Attempt{Kind: caller.ConnectionLost, Violation: "seen"}, 90))
	f := m.Figures()
	c := f.Priorities[messenger.Urgent]
	if c.Jobs != 102 || c.Complete != 99 || c.Refused[messenger.Overloaded] != 1 || c.Failed[messenger.TaskFailed] != 1 || c.Unanswered[caller.ConnectionLost] != 1 {
		t.Errorf("counts: %+v", c)
	}
	near(t, "median over ideal", c.OverIdeal.P50, 1.05)
	near(t, "largest over ideal", c.OverIdeal.Max, 200)
	near(t, "median added ms", c.AddedMs.P50, 15)
	near(t, "tasks per second", f.FinishedTasksPerS, 19.6)
	near(t, "tasks over capacity", f.TasksOverCapacity, 1.96)
	near(t, "work over capacity", f.WorkOverCapacity, 98*0.1/20)
	near(t, "offered over capacity", f.OfferedOverCap, (98*0.1+4*0.09)/20)
	if f.FinishedTasks != 1+98*2+1 || f.Violations != 1 || len(f.ViolationSamples) != 1 {
		t.Errorf("figures: %+v", f)
	}
}
