package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// resubmitDelay is the time from a broken connection of a caller until the caller
// resubmits its job.
const resubmitDelay = 1300 * time.Millisecond

// resubmit submits a job again on behalf of its caller, who knows of no runs. Its run
// numbers start again.
func (s *simulation) resubmit(o *owner, j *submittedJob) {
	s.forgetRunNumbers(j)
	s.submit(o, j.job, j.task)
}

func (s *simulation) forgetRunNumbers(j *submittedJob) {
	for i := range j.job.Tasks {
		delete(s.runNumbers, fmt.Sprintf("%s.0.0.%d", j.job.ID, i))
	}
}

// runsOf returns the number of runs of a job in execution.
func (s *simulation) runsOf(j *submittedJob) int {
	n := 0
	for _, m := range s.machines {
		for _, r := range m.Runs(s.now) {
			for i := range j.job.Tasks {
				if r.Key.Task == fmt.Sprintf("%s.0.0.%d", j.job.ID, i) {
					n++
				}
			}
		}
	}
	return n
}

func (s *simulation) checkCompleted(t *testing.T, j *submittedJob) {
	t.Helper()
	if n := len(j.answers); n == 0 || !j.answers[n-1].Completed {
		t.Errorf("job %s: answers %+v, want completed", j.job.ID, j.answers)
	}
}

// loseOwner returns a simulation in which the first of two owners was lost with a job
// of 8 tasks in progress, the other owner and the job.
func loseOwner(runTime time.Duration) (*simulation, *owner, *submittedJob) {
	s := newSimulation(1, 8, 2)
	first := s.owners[0]
	s.deliver(first, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(100 * time.Millisecond)
	j := s.submit(first, newJob("j0000", 8, 27000, runTime.Milliseconds()), executor.Task{CPU: 27000, Duration: runTime})
	s.run(200 * time.Millisecond)
	first.crashed = true
	return s, s.owners[1], j
}

// TestOrphansEndBeforeResubmission guards against a second run of a task beside one
// of a lost owner. The next owner claims late, after all entries were lost, and must
// not keep the runs at work that nobody waits for: their callers may resubmit their
// jobs to another worker group, whose owner does not know of them.
func TestOrphansEndBeforeResubmission(t *testing.T) {
	for _, claimDelayMs := range []int{100, 300, 500, 750, 900, 1000} {
		claimDelay := time.Duration(claimDelayMs) * time.Millisecond
		for _, contested := range []bool{false, true} {
			t.Run(fmt.Sprintf("claim after %v, contested %v", claimDelay, contested), func(t *testing.T) {
				s, next, j := loseOwner(3 * time.Second)
				s.run(claimDelay)
				s.deliver(next, placer.Claim{WallMs: s.now.UnixMilli(), Contested: contested})
				s.run(resubmitDelay - claimDelay)
				if n := s.runsOf(j); n > 0 {
					t.Errorf("%d runs of the lost owner are still in progress when the caller resubmits the job", n)
				}
				s.resubmit(next, j)
				s.run(5 * time.Second)
				s.checkNoViolations(t)
				s.checkCompleted(t, j)
			})
		}
	}
}

// TestJobOutlivesOrphans guards against jobs that are lost to their owner's death
// because runs without a job are on the same workers.
func TestJobOutlivesOrphans(t *testing.T) {
	s := newSimulation(1, 8, 2)
	first, next := s.owners[0], s.owners[1]
	s.deliver(first, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(100 * time.Millisecond)
	task := executor.Task{CPU: 27000, Duration: 2 * time.Second}
	orphaned := s.submit(first, newJob("j0000", 8, 27000, 2000), task)
	matched := s.submit(first, newJob("j0001", 8, 27000, 2000), task)
	s.run(200 * time.Millisecond)
	first.crashed = true
	s.run(300 * time.Millisecond)
	s.deliver(next, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(100 * time.Millisecond)
	s.submit(next, matched.job, task, placer.UnknownPlacements(matched.job.Tasks, nil)...)
	s.run(2 * time.Second)
	s.checkCompleted(t, matched)
	if n := s.runsOf(orphaned); n > 0 {
		t.Errorf("%d runs without a job are still in progress", n)
	}
	if s.startedRuns != 16 {
		t.Errorf("%d runs were started for 16 tasks", s.startedRuns)
	}
}

// TestOrphansAreNotRenewedByStarts guards against runs that nobody waits for and that
// go on because the start of another task renews the leases on their worker. The
// previous owner was last heard at a known time, so that tasks can start beside them.
func TestOrphansAreNotRenewedByStarts(t *testing.T) {
	s, next, j := loseOwner(3 * time.Second)
	heardAt := s.now
	s.run(300 * time.Millisecond)
	// The stops get no answer, so that only the leases end the runs.
	s.faults.lostStops = 1
	s.deliver(next, placer.Claim{WallMs: s.now.UnixMilli(), PreviousOwnerHeardAt: heardAt})
	s.run(50 * time.Millisecond)
	short := executor.Task{CPU: 20000, Duration: 100 * time.Millisecond}
	beside := s.submit(next, newJob("j0001", 8, 20000, 100), short)
	s.run(200 * time.Millisecond)
	s.checkCompleted(t, beside)
	s.run(resubmitDelay - 550*time.Millisecond)
	if n := s.runsOf(j); n > 0 {
		t.Errorf("%d runs of the lost owner are still in progress when the caller resubmits the job", n)
	}
}

// TestResubmissionBesideRunBeingStopped guards against a second run of a task while
// an earlier one, of the same job, has not been stopped yet.
func TestResubmissionBesideRunBeingStopped(t *testing.T) {
	s := newSimulation(1, 8, 1)
	o := s.owners[0]
	s.deliver(o, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(100 * time.Millisecond)
	task := executor.Task{CPU: 27000, Duration: time.Second}
	job := newJob("j0000", 8, 27000, 1000)
	job.RemainingMs = 10_000
	j := s.submit(o, job, task)
	s.run(200 * time.Millisecond)
	s.faults.lostStops = 1
	s.deliver(o, placer.EntryLost{Entry: o.name})
	s.run(100 * time.Millisecond)
	s.resubmit(o, j)
	s.run(300 * time.Millisecond)
	s.checkNoViolations(t)
	s.faults.lostStops = 0
	s.run(4 * time.Second)
	s.checkNoViolations(t)
	s.checkCompleted(t, j)
}

// TestResubmissionResumesRuns guards against lost work, and a second run of a task,
// when a caller resubmits a job before its runs under a lost owner are stopped.
func TestResubmissionResumesRuns(t *testing.T) {
	s, next, j := loseOwner(time.Second)
	s.run(200 * time.Millisecond)
	s.deliver(next, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(100 * time.Millisecond)
	s.resubmit(next, j)
	s.run(time.Second)
	s.checkNoViolations(t)
	s.checkCompleted(t, j)
	if s.startedRuns != 8 {
		t.Errorf("%d runs were started for 8 tasks", s.startedRuns)
	}
	if n := len(j.answers); n != 1 || j.answers[0].Err != nil && j.answers[0].Err.Ran == messenger.DidNotRun {
		t.Errorf("answers %+v, want one", j.answers)
	}
}

// TestOrphansUnderRepeatedOwnerChanges guards against runs that are still in progress
// when their caller may resubmit the job to another worker group, over random series
// of lost entries, lost owners and planned handovers, with stops that get no answer.
func TestOrphansUnderRepeatedOwnerChanges(t *testing.T) {
	for seed := range int64(historyCount()) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := &ownerChanges{simulation: newSimulation(seed, 12, 6)}
			h.play()
			h.checkNoViolations(t)
			if t.Failed() {
				for _, line := range h.logLines {
					t.Log(line)
				}
			}
		})
	}
}

// ownerChanges is a history of owner changes. Half of the jobs belong to an entry that
// never ends; their callers keep their connections.
type ownerChanges struct {
	*simulation
	generation int
	changedAt  time.Time
}

func (h *ownerChanges) play() {
	h.faults = faultRates{lostStops: 0.1 * h.random.Float64(), lostHolds: 0.05 * h.random.Float64()}
	h.currentOwner = h.owners[0]
	h.deliver(h.currentOwner, placer.Claim{WallMs: h.now.UnixMilli()})
	h.run(100 * time.Millisecond)
	for len(h.owners) > h.generation+1 {
		var lost, kept []*submittedJob
		for i := range 6 {
			work := time.Duration(200+h.random.Intn(3000)) * time.Millisecond
			job := newJob(fmt.Sprintf("j%04d", len(h.jobs)), 1+h.random.Intn(4), 27000, work.Milliseconds())
			job.RemainingMs = 20_000
			list := &kept
			if i%2 == 0 {
				list = &lost
			}
			*list = append(*list, h.submit(h.currentOwner, job, executor.Task{CPU: 27000, Duration: work}))
		}
		h.run(time.Duration(h.random.Intn(400)) * time.Millisecond)
		h.loseEntry(lost)
		for range 1 + h.random.Intn(3) {
			if h.generation+1 < len(h.owners) {
				h.changeOwner(kept)
			}
		}
		h.run(4 * time.Second)
	}
}

// loseEntry ends the entry of the given jobs. Their owner notices the broken
// connections, and their callers resubmit them later.
func (h *ownerChanges) loseEntry(lost []*submittedJob) {
	o, lostAt := h.currentOwner, h.now
	h.schedule(60*time.Millisecond, func(time.Time) {
		for _, j := range lost {
			h.deliver(o, placer.Cancel{JobID: j.job.ID})
		}
	})
	h.schedule(resubmitDelay, func(now time.Time) {
		for _, j := range lost {
			if len(j.answers) > 0 && j.answers[len(j.answers)-1].Completed {
				continue
			}
			if n := h.runsOf(j); n > 0 {
				h.reportViolation("%d runs of job %s are in progress %v after its entry was lost", n, j.job.ID, now.Sub(lostAt))
			}
		}
	})
}

// changeOwner replaces the owner: most often it is lost, with a claim of the next one
// up to 1.2 s later, else it hands over as planned.
func (h *ownerChanges) changeOwner(kept []*submittedJob) {
	h.run(time.Duration(h.random.Intn(300)) * time.Millisecond)
	from := h.currentOwner
	h.generation++
	to := h.owners[h.generation]
	h.currentOwner = to
	claim := placer.Claim{WallMs: h.now.UnixMilli() + int64(h.generation)*1000}
	if h.random.Intn(3) == 0 {
		h.deliver(from, placer.Release{Moved: true, Reason: "planned"})
		claim.PreviousOwnerHeardAt = h.settled(h.now)
		h.deliver(to, claim)
		for _, j := range kept {
			if n := len(j.answers); n > 0 && j.answers[n-1].Moved {
				h.submit(to, j.job, j.task, j.answers[n-1].Placements...)
			}
		}
		h.changedAt = h.now
		return
	}
	heardAt := h.settled(h.now.Add(-time.Duration(h.random.Intn(150)) * time.Millisecond))
	from.crashed = true
	h.run(time.Duration(100+h.random.Intn(1100)) * time.Millisecond)
	claim.Contested = h.random.Intn(3) == 0
	claim.PreviousOwnerHeardAt = heardAt
	h.deliver(to, claim)
	h.changedAt = h.now
	h.run(time.Duration(h.random.Intn(200)) * time.Millisecond)
	for _, j := range kept {
		if n := len(j.answers); n == 0 || j.answers[n-1].Moved {
			h.submit(to, j.job, j.task, placer.UnknownPlacements(j.job.Tasks, nil)...)
		}
	}
}

// settled returns at, or zero if the owner has changed recently: no entry then relies
// on the time at which it heard the owner.
func (h *ownerChanges) settled(at time.Time) time.Time {
	if h.now.Sub(h.changedAt) < 1500*time.Millisecond {
		return time.Time{}
	}
	return at
}

// TestResubmissionAfterWorkerLoss guards against a job that is answered with an error
// again, although its caller resubmitted it after the runs on the lost worker had ended.
func TestResubmissionAfterWorkerLoss(t *testing.T) {
	for name, lose := range map[string]func(*machine, *owner){
		"refuses connections": func(m *machine, _ *owner) { m.refuses = true; m.Restart(m.StartedAt) },
		"unreachable":         func(m *machine, o *owner) { m.unreachableFrom[o] = true },
		"mute":                func(m *machine, _ *owner) { m.mute = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1, 4, 1)
			o := s.owners[0]
			s.deliver(o, placer.Claim{WallMs: s.now.UnixMilli()})
			s.run(100 * time.Millisecond)
			job := newJob("j0000", 1, 27000, 900)
			job.RemainingMs = 10_000
			j := s.submit(o, job, executor.Task{CPU: 27000, Duration: 5 * time.Second})
			s.run(200 * time.Millisecond)
			for _, m := range s.machines {
				if len(m.Runs(s.now)) > 0 {
					lose(m, o)
				}
			}
			s.run(2500 * time.Millisecond)
			if len(j.answers) != 1 || j.answers[0].Err == nil {
				t.Fatalf("answers %+v, want an error", j.answers)
			}
			s.run(j.answeredAt.Add(resubmitDelay).Sub(s.now))
			s.resubmit(o, j)
			s.run(6 * time.Second)
			s.checkNoViolations(t)
			s.checkCompleted(t, j)
		})
	}
}

// TestClaimRenewsNoLease guards against an owner that keeps runs at work that it does
// not know yet, because it claims a worker whose clock it knows from before.
func TestClaimRenewsNoLease(t *testing.T) {
	o := newRecordedOwner(1, "w0")
	o.deliver(placer.Claim{WallMs: o.now.UnixMilli()})
	o.list("w0", nil)
	if o.hold.UntilMs == 0 {
		t.Error("an owned worker's leases are not renewed")
	}
	o.deliver(placer.HoldResponse{Worker: "w0", Fence: o.hold.Fence, Result: placer.HoldFenced, Sent: o.now})
	o.now = o.now.Add(50 * time.Millisecond)
	o.hold = placer.Hold{}
	o.deliver(placer.Claim{WallMs: o.now.UnixMilli()})
	if o.hold.Worker != "w0" || o.hold.UntilMs != 0 {
		t.Errorf("the claim is %+v, want one that renews no lease", o.hold)
	}
	o.list("w0", nil)
	if o.hold.UntilMs == 0 {
		t.Error("the leases are not renewed once the worker has listed its runs")
	}
}

// TestOvertakenList guards against a run that is taken for one without a job, which
// keeps leases from being renewed and tasks from the worker, because a list from before
// its end arrives after it.
func TestOvertakenList(t *testing.T) {
	key := placer.RunKey{Task: "j0000.0.0.0", Number: 1}
	for _, probe := range []bool{true, false} {
		t.Run(fmt.Sprintf("probe %v", probe), func(t *testing.T) {
			o := newRecordedOwner(1, "w0")
			o.deliver(placer.Claim{WallMs: o.now.UnixMilli()})
			o.list("w0", nil)
			o.deliver(placer.Submit{Waiter: 1, Entry: "e0", Job: newJob("j0000", 1, 27000, 300)})
			o.deliver(placer.StartResponse{Worker: "w0", Fence: o.hold.Fence, Key: key, Result: placer.StartAccepted, ClockMs: 1000})
			o.now = o.now.Add(300 * time.Millisecond)
			o.respond(placer.HoldResponse{ClockMs: 1300, Ended: []placer.EndedRun{{Index: 1, Key: key, Kind: placer.EndDone}}})
			o.respond(placer.HoldResponse{ClockMs: 1299, Running: []placer.RunningRun{{Key: key, Percent: 99}}, Probe: probe})
			o.now = o.now.Add(20 * time.Millisecond)
			o.deliver(placer.Tick{})
			if len(o.stops) > 0 {
				t.Errorf("stops %+v were sent, want none", o.stops)
			}
			o.respond(placer.HoldResponse{ClockMs: 1320})
			if o.hold.UntilMs == 0 {
				t.Error("the leases are not renewed")
			}
			o.deliver(placer.Submit{Waiter: 2, Entry: "e0", Job: newJob("j0001", 1, 27000, 300)})
			if len(o.starts) != 2 {
				t.Errorf("%d starts were sent, want 2", len(o.starts))
			}
		})
	}
}

// TestUnstoppedOrphansUnderOwnerLoss guards against runs that are still in progress when
// their caller resubmits the job to another worker group: their stops got no answer, and
// the owner was lost before their leases had ended.
func TestUnstoppedOrphansUnderOwnerLoss(t *testing.T) {
	for lossMs := 300; lossMs <= 1150; lossMs += 50 {
		for _, claimMs := range []int{50, 100, 150, 200} {
			t.Run(fmt.Sprintf("owner lost after %d ms, claim after %d ms", lossMs, claimMs), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(1, 8, 2)
				first, next := s.owners[0], s.owners[1]
				s.deliver(first, placer.Claim{WallMs: s.now.UnixMilli()})
				s.run(2 * time.Second)
				j := s.submit(first, newJob("j0000", 8, 27000, 200), executor.Task{CPU: 27000, Duration: 4 * time.Second})
				s.run(200 * time.Millisecond)
				lostAt := s.now
				s.faults.lostStops = 1
				s.schedule(60*time.Millisecond, func(time.Time) { s.deliver(first, placer.Cancel{JobID: j.job.ID}) })
				s.run(time.Duration(lossMs) * time.Millisecond)
				heardAt := s.now
				if at := first.state.OldestOrphan(s.now); !at.IsZero() {
					heardAt = at
				}
				first.crashed = true
				s.run(time.Duration(claimMs) * time.Millisecond)
				s.faults.lostStops = 0
				s.deliver(next, placer.Claim{WallMs: s.now.UnixMilli() + 5000, PreviousOwnerHeardAt: heardAt})
				s.run(lostAt.Add(resubmitDelay).Sub(s.now))
				if n := s.runsOf(j); n > 0 {
					t.Errorf("%d runs are still in progress when the caller resubmits the job", n)
				}
			})
		}
	}
}
