package meter

import (
	"math"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/caller"
	"github.com/godwitrelay/godwitrelay/load/generator"
)

func newFinishedJob(at, response time.Duration, a caller.Attempt, runMs ...int64) caller.FinishedJob {
	j := generator.Job{ArrivesAt: at, RunMs: runMs, Type: generator.RequestType{Priority: messenger.Urgent}}
	return caller.FinishedJob{Job: j, Attempt: a, Response: response, FinishedAt: at + response}
}

func checkNear(t *testing.T, name string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > math.Abs(want)/500 {
		t.Errorf("%s is %v, expected %v", name, got, want)
	}
}

// TestFigures guards against figures that use the wrong ideal response time or
// the wrong time window, or that omit failed jobs.
func TestFigures(t *testing.T) {
	m := New(Settings{Slots: 2, CapacityTasksPerS: 10, NetworkRoundTrip: 10 * time.Millisecond, Warmup: time.Second, Duration: 11 * time.Second})
	complete := caller.Attempt{Outcome: messenger.Complete}
	m.Record(newFinishedJob(0, 500*time.Millisecond, complete, 90))
	for range 98 {
		m.Record(newFinishedJob(2*time.Second, 105*time.Millisecond, complete, 90, 10))
	}
	m.Record(newFinishedJob(2*time.Second, 20*time.Second, complete, 90))
	m.Record(newFinishedJob(2*time.Second, time.Millisecond, caller.Attempt{Outcome: messenger.Refused, Kind: messenger.Overloaded}, 90))
	m.Record(newFinishedJob(2*time.Second, time.Millisecond, caller.Attempt{Outcome: messenger.Failed, Kind: messenger.TaskFailed}, 90))
	m.Record(newFinishedJob(2*time.Second, time.Millisecond, caller.Attempt{Kind: caller.ConnectionLost, Violation: "seen"}, 90))
	f := m.Figures()
	urgent := f.Priorities[messenger.Urgent]
	if urgent.Jobs != 102 || urgent.Complete != 99 || urgent.Refused[messenger.Overloaded] != 1 || urgent.Failed[messenger.TaskFailed] != 1 || urgent.Unanswered[caller.ConnectionLost] != 1 {
		t.Errorf("counts: %+v", urgent)
	}
	checkNear(t, "median over ideal", urgent.OverIdeal.P50, 1.05)
	checkNear(t, "largest over ideal", urgent.OverIdeal.Max, 200)
	checkNear(t, "median added ms", urgent.AddedMs.P50, 15)
	checkNear(t, "tasks per second", f.FinishedTasksPerS, 19.6)
	checkNear(t, "tasks over capacity", f.TasksOverCapacity, 1.96)
	checkNear(t, "work over capacity", f.WorkOverCapacity, 98*0.1/20)
	checkNear(t, "offered over capacity", f.OfferedOverCapacity, (98*0.1+4*0.09)/20)
	if f.FinishedTasks != 1+98*2+1 || f.Violations != 1 || len(f.ViolationSamples) != 1 {
		t.Errorf("figures: %+v", f)
	}
}
