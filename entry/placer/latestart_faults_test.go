package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// otherMachine returns the worker that the second start was sent to.
func (h *lateStartHistory) otherMachine() *machine {
	for _, m := range h.machines {
		if m != h.crashed {
			return m
		}
	}
	return nil
}

// handOver moves the job to the other owner as planned, after that one has claimed the
// workers.
func (h *lateStartHistory) handOver() {
	h.deliver(h.owner, placer.Release{Moved: true, Reason: "a planned change"})
	h.owner = h.owners[1]
	h.deliver(h.owner, placer.Claim{WallMs: h.now.UnixMilli()})
	h.run(15 * time.Millisecond)
	h.forgetRunNumbers(h.job)
	h.resubmitMoved(h.owner)
}

// TestLateStartOnWorkerDownAtHandover guards against a run that the next owner adopts
// beside a late start on a worker that had already refused its claim.
func TestLateStartOnWorkerDownAtHandover(t *testing.T) {
	for _, behindCut := range []bool{false, true} {
		t.Run(fmt.Sprintf("behind a cut %v", behindCut), func(t *testing.T) {
			sweepLateStarts(t, func(t *testing.T, after time.Duration) {
				h := newLateStartHistory(t, 2, 6*time.Second)
				if behindCut {
					h.crashed.unreachableFrom[h.owners[1]] = true
				} else {
					h.crashed.refuses = true
				}
				h.handOver()
				h.run(100 * time.Millisecond)
				if behindCut {
					h.owner = h.owners[1]
					h.restartBehindCut(time.Second, after, 500*time.Millisecond)
				} else {
					h.restart(300*time.Millisecond, after)
				}
				h.run(20 * time.Second)
				h.checkNoSecondRuns(t)
				h.checkCompleted(t, h.job)
			})
		})
	}
}

// TestLateStartOfFailedJobAfterHandover guards against a job that has failed before a
// planned handover and is resubmitted to the next owner.
func TestLateStartOfFailedJobAfterHandover(t *testing.T) {
	h := newLateStartHistory(t, 2, 6*time.Second)
	h.crashed.refuses = true
	h.deliver(h.owner, placer.EntryLost{Entry: h.owner.name})
	h.run(100 * time.Millisecond)
	h.handOver()
	h.run(resubmitDelay)
	h.resubmit(h.owner, h.job)
	h.run(300 * time.Millisecond)
	h.restart(500*time.Millisecond, time.Millisecond)
	h.run(20 * time.Second)
	h.checkNoSecondRuns(t)
	h.checkCompleted(t, h.job)
}

// TestLateStartBesideUnansweredStops guards against a run that goes on beside a late
// start because the stops sent to it get lost while its leases are renewed.
func TestLateStartBesideUnansweredStops(t *testing.T) {
	h := newLateStartHistory(t, 2, 6*time.Second)
	h.faults.lostStops = 1
	h.schedule(4*time.Second, func(time.Time) { h.faults.lostStops = 0 })
	h.restart(3*time.Second, time.Millisecond)
	h.run(20 * time.Second)
	h.checkNoSecondRuns(t)
	h.checkCompleted(t, h.job)
}

// TestLateStartOnWorkerOfAnotherGroup guards against a held back task that starts
// because its next owner does not know the worker of its late start.
func TestLateStartOnWorkerOfAnotherGroup(t *testing.T) {
	h := newLateStartHistory(t, 2, 6*time.Second)
	h.crashed.refuses = true
	h.run(500 * time.Millisecond)
	next := h.addOwner([]*machine{h.otherMachine()})
	h.owners[1] = next
	h.handOver()
	h.run(300 * time.Millisecond)
	h.restart(500*time.Millisecond, time.Millisecond)
	h.run(20 * time.Second)
	h.checkNoSecondRuns(t)
	h.checkCompleted(t, h.job)
}

// TestLateStartOnWorkerOfCompetingOwner guards against a second run on a worker that a
// competing owner took over, and which restarts then.
func TestLateStartOnWorkerOfCompetingOwner(t *testing.T) {
	sweepLateStarts(t, func(t *testing.T, after time.Duration) {
		h := newLateStartHistory(t, 2, 6*time.Second)
		next := h.owners[1]
		h.otherMachine().unreachableFrom[next] = true
		h.deliver(next, placer.Claim{WallMs: h.now.UnixMilli() + 1000, Contested: true})
		h.run(300 * time.Millisecond)
		h.restart(50*time.Millisecond, after)
		h.run(2 * time.Second)
		h.checkNoSecondRuns(t)
	})
}

// TestLateStartKeptByLateHolds guards against a task that starts 15 s after its late
// start was sent, while holds that are carried out late keep the late run at work.
func TestLateStartKeptByLateHolds(t *testing.T) {
	h := newLateStartHistory(t, 2, 14*time.Second)
	h.run(10 * time.Second)
	h.restartBehindCut(100*time.Millisecond, 1300*time.Millisecond, 6*time.Second)
	for at := 2 * time.Second; at < 6*time.Second; at += 500 * time.Millisecond {
		// Sent until 2 s after the cut began.
		h.schedule(at, func(now time.Time) { h.crashed.Hold(now, h.crashed.ClockMs(now)+1000, h.fence, 0) })
	}
	h.run(8 * time.Second)
	h.checkNoSecondRuns(t)
}

// TestLateStartOfRunBeingStopped guards against a held back task that starts beside a
// late run which the list shows, because the stop of that run was never confirmed.
func TestLateStartOfRunBeingStopped(t *testing.T) {
	h := &lateStartHistory{simulation: newSimulation(3, 2, 2)}
	h.owner = h.owners[0]
	h.deliver(h.owner, placer.Claim{WallMs: h.now.UnixMilli()})
	h.run(100 * time.Millisecond)
	h.fence = h.owner.state.Fence()
	job := newJob("j0000", 1, 60000, 6000)
	job.RemainingMs = 30_000
	h.faults.lostStarts = 1
	h.job = h.submit(h.owner, job, executor.Task{CPU: 60000, Duration: 6 * time.Second})
	h.faults.lostStarts = 0
	h.crashed = h.startedOn["j0000.0.0.0"]
	h.restartBehindCut(1500*time.Millisecond, 2500*time.Millisecond, 300*time.Millisecond)
	// The stops sent just after the restarted worker answers get lost.
	h.schedule(4*time.Second, func(time.Time) { h.faults.lostStops = 1 })
	h.schedule(4600*time.Millisecond, func(time.Time) { h.faults.lostStops = 0 })
	for len(h.job.answers) == 0 {
		h.run(10 * time.Millisecond)
	}
	h.run(resubmitDelay)
	h.resubmit(h.owner, h.job)
	h.run(10 * time.Second)
	h.checkNoSecondRuns(t)
	h.checkCompleted(t, h.job)
}

// TestTwoLateStartsOnOneWorker guards against a worker that restarts and executes two
// starts of one task, because the task was started there again after the first one got
// no answer.
func TestTwoLateStartsOnOneWorker(t *testing.T) {
	h := &lateStartHistory{simulation: newSimulation(3, 2, 1)}
	h.owner = h.owners[0]
	h.deliver(h.owner, placer.Claim{WallMs: h.now.UnixMilli()})
	h.run(100 * time.Millisecond)
	h.fence = h.owner.state.Fence()
	job := newJob("j0000", 1, 20000, 6000)
	job.RemainingMs = 30_000
	h.faults.lostStarts = 1
	h.job = h.submit(h.owner, job, executor.Task{CPU: 20000, Duration: 6 * time.Second})
	h.crashed = h.startedOn["j0000.0.0.0"]
	h.run(60 * time.Millisecond)
	h.faults.lostStarts = 0
	if number, second := h.runNumbers["j0000.0.0.0"], h.startedOn["j0000.0.0.0"]; number != 2 || second != h.crashed {
		t.Fatalf("start %d was sent to %s, want the second one on %s", number, second.id, h.crashed.id)
	}
	h.run(100 * time.Millisecond)
	h.restart(2500*time.Millisecond, time.Millisecond)
	h.schedule(2508*time.Millisecond, func(now time.Time) {
		h.executeStart(now, h.crashed, placer.Start{Worker: h.crashed.id, Fence: h.fence, Key: placer.RunKey{Task: "j0000.0.0.0", Number: 2}, UntilMs: h.crashed.ClockMs(now) + 1000})
	})
	h.run(10 * time.Second)
	h.checkNoSecondRuns(t)
}

// TestHeldBackTasksAreNoLoad guards against jobs that are refused, here and by other
// worker groups, for tasks that are held back although there are free workers.
func TestHeldBackTasksAreNoLoad(t *testing.T) {
	h := newLateStartHistory(t, 2, 6*time.Second)
	h.crashed.refuses = true
	h.run(1500 * time.Millisecond)
	if n := len(h.otherMachine().Runs(h.now)); n != 0 {
		t.Fatalf("%d runs on the other worker, want the task held back", n)
	}
	if got := h.owner.state.FreeCPU(h.now); got != 64000 {
		t.Errorf("free CPU %d, want that of the other worker", got)
	}
	task := executor.Task{CPU: 60000, Duration: 100 * time.Millisecond}
	j := h.submit(h.owner, newJob("j0001", 1, task.CPU, 100), task)
	h.run(500 * time.Millisecond)
	h.checkCompleted(t, j)
}

// TestTaskAwaitsReplacedWorker guards against a task that is held back by a worker
// whose address is served by another one when the next owner claims it.
func TestTaskAwaitsReplacedWorker(t *testing.T) {
	h := newLateStartHistory(t, 2, time.Second)
	h.crashed.refuses = true
	h.run(300 * time.Millisecond)
	h.crashed.refuses, h.crashed.replaced = false, true
	h.handOver()
	h.run(4 * time.Second)
	h.checkNoViolations(t)
	h.checkCompleted(t, h.job)
}

// TestLateStartsOfRepeatedHandovers guards against records of late starts that grow in
// number with each handover.
func TestLateStartsOfRepeatedHandovers(t *testing.T) {
	h := newLateStartHistory(t, 2, 8*time.Second)
	for i := range 10 {
		from, to := h.owners[i%2], h.owners[(i+1)%2]
		h.deliver(from, placer.Release{Moved: true, Reason: "a planned change"})
		last := h.job.answers[len(h.job.answers)-1]
		if n := len(last.Placements[0].LateStarts); n != 1 {
			t.Errorf("handover %d passes on %d late starts, want 1", i+1, n)
		}
		h.deliver(to, placer.Claim{WallMs: h.now.UnixMilli(), HighestKnownFence: from.state.Fence()})
		h.resubmitMoved(to)
		h.run(300 * time.Millisecond)
	}
}
