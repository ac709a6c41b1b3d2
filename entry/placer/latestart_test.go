package placer_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// lateStartHistory is a history in which the first start of a task gets no answer and
// is executed after its worker has restarted under its id.
type lateStartHistory struct {
	*simulation
	owner *owner
	job   *submittedJob
	fence int64
	// crashed is the worker that the start was sent to.
	crashed *machine
}

// newLateStartHistory submits a job of one task, whose first start is lost. The task
// runs on another worker, or on the same one if it is the only one.
func newLateStartHistory(t *testing.T, machines int, runTime time.Duration) *lateStartHistory {
	t.Helper()
	h := &lateStartHistory{simulation: newSimulation(3, machines, 2)}
	h.owner = h.owners[0]
	h.deliver(h.owner, placer.Claim{WallMs: h.now.UnixMilli()})
	h.run(100 * time.Millisecond)
	h.fence = h.owner.state.Fence()
	h.faults.lostStarts = 1
	job := newJob("j0000", 1, 60000, runTime.Milliseconds())
	job.RemainingMs = 30_000
	h.job = h.submit(h.owner, job, executor.Task{CPU: 60000, Duration: runTime})
	h.faults.lostStarts = 0
	h.crashed = h.startedOn["j0000.0.0.0"]
	h.drain(machines > 1)
	h.run(300 * time.Millisecond)
	h.drain(false)
	if m := h.startedOn["j0000.0.0.0"]; h.startedRuns != 1 || (m == h.crashed) != (machines == 1) {
		t.Fatalf("%d runs were started, the last one on %s, want the second start only", h.startedRuns, m.id)
	}
	return h
}

// drain makes the worker of the first start one that takes no new tasks.
func (h *lateStartHistory) drain(draining bool) {
	list := h.workerList()
	for i := range list {
		list[i].Draining = draining && list[i].ID == h.crashed.id
	}
	h.deliver(h.owner, placer.WorkersListed{Workers: list})
}

// restart ends the process of the worker and starts it again after down. The late start
// is executed when the new process has run for the given time.
func (h *lateStartHistory) restart(down, after time.Duration) {
	h.crashed.refuses = true
	h.crashed.Restart(h.now)
	h.schedule(down, func(now time.Time) {
		h.crashed.refuses = false
		h.crashed.Restart(now)
	})
	h.schedule(down+after, h.executeLateStart)
}

// restartBehindCut restarts the process of the worker while the owner can't reach it,
// until the given time after the late start.
func (h *lateStartHistory) restartBehindCut(down, after, healed time.Duration) {
	h.crashed.unreachableFrom[h.owner] = true
	h.schedule(down, h.crashed.Restart)
	h.schedule(down+after, h.executeLateStart)
	h.schedule(down+after+healed, func(time.Time) { delete(h.crashed.unreachableFrom, h.owner) })
}

// logged reports whether an owner has logged the text.
func (h *lateStartHistory) logged(text string) bool {
	return slices.ContainsFunc(h.logLines, func(line string) bool { return strings.Contains(line, text) })
}

func (h *lateStartHistory) executeLateStart(now time.Time) {
	h.executeStart(now, h.crashed, placer.Start{Worker: h.crashed.id, Fence: h.fence, Key: placer.RunKey{Task: "j0000.0.0.0", Number: 1}, UntilMs: h.crashed.ClockMs(now) + 1000})
}

// sweepLateStarts checks a history with late starts at different times after the
// restart, most of them before the owner reaches the new process.
func sweepLateStarts(t *testing.T, check func(t *testing.T, after time.Duration)) {
	t.Helper()
	for after := time.Millisecond; after < 200*time.Millisecond; after += 7 * time.Millisecond {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			t.Parallel()
			check(t, after)
		})
	}
}

// TestLateStartOfTaskThatRunsElsewhere guards against a second run of a task when a
// worker restarts under its id and executes a start that had got no answer.
func TestLateStartOfTaskThatRunsElsewhere(t *testing.T) {
	t.Run("crash", func(t *testing.T) {
		sweepLateStarts(t, func(t *testing.T, after time.Duration) {
			h := newLateStartHistory(t, 2, 6*time.Second)
			h.restart(2500*time.Millisecond, after)
			h.run(20 * time.Second)
			h.checkNoViolations(t)
			h.checkCompleted(t, h.job)
		})
	})
	t.Run("behind a cut", func(t *testing.T) {
		sweepLateStarts(t, func(t *testing.T, after time.Duration) {
			h := newLateStartHistory(t, 2, 6*time.Second)
			h.restartBehindCut(1500*time.Millisecond, after, 500*time.Millisecond)
			h.run(20 * time.Second)
			h.checkNoViolations(t)
			h.checkCompleted(t, h.job)
		})
	})
}

// TestLateStartAfterHandover guards against an owner that does not know of a start that
// the previous owner got no answer to, and of a job that it took over as planned.
func TestLateStartAfterHandover(t *testing.T) {
	sweepLateStarts(t, func(t *testing.T, after time.Duration) {
		h := newLateStartHistory(t, 2, 6*time.Second)
		next := h.owners[1]
		h.deliver(h.owner, placer.Release{Moved: true, Reason: "a planned change"})
		h.owner = next
		h.deliver(next, placer.Claim{WallMs: h.now.UnixMilli()})
		h.resubmitMoved(next)
		h.run(300 * time.Millisecond)
		h.restartBehindCut(1500*time.Millisecond, after, 500*time.Millisecond)
		h.run(20 * time.Second)
		h.checkNoViolations(t)
		h.checkCompleted(t, h.job)
	})
}

// TestLateStartAfterRestartBehindCut guards against a run that is not stopped because its
// late start's worker restarted, and was cut off before it had listed its runs: it may
// restart again.
func TestLateStartAfterRestartBehindCut(t *testing.T) {
	sweepLateStarts(t, func(t *testing.T, after time.Duration) {
		h := newLateStartHistory(t, 2, 6*time.Second)
		h.crashed.Restart(h.now)
		for !h.logged("worker restarted") {
			h.run(time.Millisecond)
		}
		h.restartBehindCut(1500*time.Millisecond, after, 500*time.Millisecond)
		h.run(20 * time.Second)
		h.checkNoViolations(t)
		h.checkCompleted(t, h.job)
	})
}

// TestLateStartOfHeldBackTaskAfterHandover guards against an owner that does not know
// why a task of a job that it took over had not been started.
func TestLateStartOfHeldBackTaskAfterHandover(t *testing.T) {
	sweepLateStarts(t, func(t *testing.T, after time.Duration) {
		h := newLateStartHistory(t, 2, 6*time.Second)
		h.deliver(h.owner, placer.EntryLost{Entry: h.owner.name})
		h.restart(3*time.Second, after)
		h.run(resubmitDelay)
		h.resubmit(h.owner, h.job)
		h.run(100 * time.Millisecond)
		next := h.owners[1]
		h.deliver(h.owner, placer.Release{Moved: true, Reason: "a planned change"})
		h.owner = next
		h.deliver(next, placer.Claim{WallMs: h.now.UnixMilli()})
		h.resubmitMoved(next)
		h.run(20 * time.Second)
		h.checkNoViolations(t)
		h.checkCompleted(t, h.job)
	})
}

// TestLateStartOfResubmittedTask guards against a second run of a task whose caller
// resubmits it while the worker that may execute its start late is down.
func TestLateStartOfResubmittedTask(t *testing.T) {
	sweepLateStarts(t, func(t *testing.T, after time.Duration) {
		h := newLateStartHistory(t, 1, 6*time.Second)
		m := &machine{id: "w01", unreachableFrom: map[*owner]bool{}}
		m.CPU, m.StartedAt = 64000, h.now
		h.machines = append(h.machines, m)
		h.drain(false)
		h.run(100 * time.Millisecond)
		h.restart(2500*time.Millisecond, after)
		h.run(time.Second)
		if len(h.job.answers) != 1 || h.job.answers[0].Err == nil {
			t.Fatalf("answers %+v, want an error", h.job.answers)
		}
		h.run(h.job.answeredAt.Add(resubmitDelay).Sub(h.now))
		h.resubmit(h.owner, h.job)
		h.run(20 * time.Second)
		h.checkNoViolations(t)
		h.checkCompleted(t, h.job)
	})
}

// TestTaskAwaitsLateStartInTime guards against a task that is held back although its
// late start can't be executed any more, and against a refusal that says that it did
// not run.
func TestTaskAwaitsLateStartInTime(t *testing.T) {
	t.Run("the worker is replaced", func(t *testing.T) {
		h := newLateStartHistory(t, 2, time.Second)
		h.crashed.refuses = true
		h.run(time.Second)
		h.crashed.refuses, h.crashed.replaced = false, true
		h.run(3 * time.Second)
		h.checkNoViolations(t)
		h.checkCompleted(t, h.job)
	})
	t.Run("the worker does not come back", func(t *testing.T) {
		h := newLateStartHistory(t, 2, time.Second)
		h.crashed.refuses = true
		h.run(20 * time.Second)
		h.checkNoViolations(t)
		h.checkCompleted(t, h.job)
	})
	t.Run("the deadline passes first", func(t *testing.T) {
		h := newLateStartHistory(t, 2, time.Second)
		h.crashed.refuses = true
		h.deliver(h.owner, placer.EntryLost{Entry: h.owner.name})
		h.run(resubmitDelay)
		h.job.job.RemainingMs = 2000
		h.resubmit(h.owner, h.job)
		h.run(3 * time.Second)
		if n := len(h.job.answers); n != 2 || h.job.answers[1].Err == nil || h.job.answers[1].Err.Ran == messenger.DidNotRun {
			t.Errorf("answers %+v, want a second one that leaves open whether the job ran", h.job.answers)
		}
	})
}
