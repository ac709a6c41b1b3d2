package placer_test

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// TestReleaseClearsUnreachableWorkers guards against an owner that delays
// claiming workers for 1.5 s because it could not reach them during an earlier
// ownership.
func TestReleaseClearsUnreachableWorkers(t *testing.T) {
	s := newSimulation(1, 4, 2)
	s.reclaimWorkers = true
	first, other := s.owners[0], s.owners[1]
	s.deliver(first, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(100 * time.Millisecond)
	for _, m := range s.machines {
		m.unreachableFrom[first] = true
	}
	s.run(1500 * time.Millisecond)
	s.deliver(first, placer.Release{Reason: "another entry owns the workers"})
	s.deliver(other, placer.Claim{WallMs: s.now.UnixMilli() + 60_000})
	s.run(200 * time.Millisecond)
	other.crashed = true
	for _, m := range s.machines {
		m.unreachableFrom = map[*owner]bool{}
	}
	s.deliver(first, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(1300 * time.Millisecond)
	checkReachableWorkers(t, s, first, 4)
}

// TestJobSurvivesHealedPartition guards against jobs that fail when a partition
// heals. The owner outside the partition must not reclaim the workers before
// the owner inside has released them, and must then continue the jobs.
func TestJobSurvivesHealedPartition(t *testing.T) {
	s := newSimulation(1, 4, 2)
	s.reclaimWorkers = true
	outside, inside := s.owners[0], s.owners[1]
	s.deliver(outside, placer.Claim{WallMs: 1_700_000_000_000})
	s.run(100 * time.Millisecond)
	for _, m := range s.machines[:2] {
		m.unreachableFrom[outside] = true
	}
	s.run(1500 * time.Millisecond)
	for _, m := range s.machines[2:] {
		m.unreachableFrom[inside] = true
	}
	s.deliver(inside, placer.Claim{WallMs: s.now.UnixMilli(), Contested: true})
	s.run(700 * time.Millisecond)
	j := s.submit(inside, newJob("j0000", 2, 27000, 900), executor.Task{CPU: 27000, Duration: 900 * time.Millisecond})
	s.run(50 * time.Millisecond)
	for _, m := range s.machines {
		m.unreachableFrom = map[*owner]bool{}
	}
	s.run(500 * time.Millisecond)
	if len(j.answers) != 0 {
		t.Fatalf("the job was answered with %+v when the partition healed", j.answers)
	}
	s.deliver(outside, placer.Claim{WallMs: s.now.UnixMilli()})
	s.deliver(inside, placer.Release{Moved: true, Reason: "an owner with an earlier claim keeps the workers"})
	s.submit(outside, j.job, j.task, j.answers[0].Placements...)
	s.run(time.Second)
	for _, v := range s.violations {
		t.Error(v)
	}
	if n := len(j.answers); n != 2 || !j.answers[1].Completed || s.startedRuns != 2 {
		t.Errorf("answers %+v after %d starts, want a completed job after 2", j.answers, s.startedRuns)
	}
}

// TestJobsSurviveTheirOwner guards against jobs that fail when their owner is
// lost although their runs continue, and against a second run of their tasks.
func TestJobsSurviveTheirOwner(t *testing.T) {
	s := newSimulation(1, 4, 2)
	first, next := s.owners[0], s.owners[1]
	s.deliver(first, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(100 * time.Millisecond)
	j := s.submit(first, newJob("j0000", 3, 27000, 900), executor.Task{CPU: 27000, Duration: 900 * time.Millisecond})
	ended := s.submit(first, newJob("j0001", 1, 27000, 300), executor.Task{CPU: 27000, Duration: 300 * time.Millisecond})
	s.run(200 * time.Millisecond)
	first.crashed = true
	s.run(500 * time.Millisecond)
	s.deliver(next, placer.Claim{WallMs: s.now.UnixMilli()})
	for _, submitted := range []*submittedJob{j, ended} {
		s.submit(next, submitted.job, submitted.task, placer.UnknownPlacements(submitted.job.Tasks, nil)...)
	}
	s.run(600 * time.Millisecond)
	for _, submitted := range []*submittedJob{j, ended} {
		if len(submitted.answers) != 1 || !submitted.answers[0].Completed {
			t.Errorf("job %s: answers %+v, want completed", submitted.job.ID, submitted.answers)
		}
	}
	if s.startedRuns != 4 {
		t.Errorf("%d runs were started for 4 tasks", s.startedRuns)
	}
}

// TestUnrecoverableJobFailsImmediately guards against a caller that waits for a
// job that can't continue after the loss of its owner, a second run of a task
// that may have completed, and runs that continue without a job.
func TestUnrecoverableJobFailsImmediately(t *testing.T) {
	s := newSimulation(1, 4, 2)
	first, next := s.owners[0], s.owners[1]
	s.deliver(first, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(100 * time.Millisecond)
	s.submit(first, newJob("j0000", 2, 27000, 900), executor.Task{CPU: 27000, Duration: 900 * time.Millisecond})
	s.run(100 * time.Millisecond)
	first.crashed = true
	s.run(100 * time.Millisecond)
	s.deliver(next, placer.Claim{WallMs: s.now.UnixMilli()})
	// The job has one more task than there are runs on the workers; that task
	// may have completed.
	j := s.submit(next, newJob("j0000", 3, 27000, 900), executor.Task{CPU: 27000, Duration: 900 * time.Millisecond}, placer.UnknownPlacements(3, nil)...)
	s.run(100 * time.Millisecond)
	s.checkMayHaveRun(t, j)
	for _, m := range s.machines {
		if runs := m.Runs(s.now); len(runs) > 0 {
			t.Errorf("worker %s still runs %v", m.id, runs)
		}
	}
	if s.startedRuns != 2 {
		t.Errorf("%d runs were started for 2 tasks", s.startedRuns)
	}
}

// TestJobsSurviveCompetingOwner guards against jobs that fail because a
// competing owner briefly took over their workers before it yielded.
func TestJobsSurviveCompetingOwner(t *testing.T) {
	s := newSimulation(1, 4, 2)
	s.reclaimWorkers = true
	first, rival := s.owners[0], s.owners[1]
	s.currentOwner = first
	s.deliver(first, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(100 * time.Millisecond)
	j := s.submit(first, newJob("j0000", 3, 27000, 900), executor.Task{CPU: 27000, Duration: 900 * time.Millisecond})
	s.run(200 * time.Millisecond)
	s.deliver(rival, placer.Claim{WallMs: s.now.UnixMilli() + 60_000})
	s.run(30 * time.Millisecond)
	s.deliver(rival, placer.Release{Moved: true, Reason: "an owner with an earlier claim keeps the workers"})
	s.run(time.Second)
	if len(j.answers) != 1 || !j.answers[0].Completed {
		t.Errorf("answers %+v, want completed", j.answers)
	}
	if s.startedRuns != 3 {
		t.Errorf("%d runs were started for 3 tasks", s.startedRuns)
	}
}

// TestAttemptsSurviveMove guards against more than MaxAttempts runs of a task
// because a planned handover forgets those that failed before it.
func TestAttemptsSurviveMove(t *testing.T) {
	for _, task := range []executor.Task{
		{CPU: 27000, Duration: 200 * time.Millisecond, Fails: true},
		{CPU: 27000, Duration: 200 * time.Millisecond, Hangs: true},
	} {
		s := newSimulation(1, 4, 4)
		s.deliver(s.owners[0], placer.Claim{WallMs: s.now.UnixMilli()})
		s.run(100 * time.Millisecond)
		job := newJob("j0000", 1, 27000, 200)
		job.MaxAttempts, job.RemainingMs = 3, 60_000
		j := s.submit(s.owners[0], job, task)
		for i, next := range s.owners[1:] {
			before := s.startedRuns
			for end := s.now.Add(5 * time.Second); s.startedRuns == before && s.now.Before(end); {
				s.run(10 * time.Millisecond)
			}
			if n := len(j.answers); n > 0 && !j.answers[n-1].Moved {
				break
			}
			s.deliver(s.owners[i], placer.Release{Moved: true})
			s.deliver(next, placer.Claim{WallMs: s.now.UnixMilli(), HighestKnownFence: s.owners[i].state.Fence()})
			s.submit(next, job, task, j.answers[len(j.answers)-1].Placements...)
		}
		s.run(30 * time.Second)
		if n := s.startedRuns; n != job.MaxAttempts {
			t.Errorf("task %+v: %d runs were started, want %d", task, n, job.MaxAttempts)
		}
		s.checkNoViolations(t)
	}
}

// recordedOwner is an owner whose messages from workers are written out in a test.
type recordedOwner struct {
	state   *placer.State
	now     time.Time
	workers []placer.Worker
	// hold is the last hold that was sent.
	hold    placer.Hold
	starts  []placer.Start
	stops   []placer.Stop
	answers []placer.Result
}

func newRecordedOwner(suffix uint64, workers ...string) *recordedOwner {
	o := &recordedOwner{state: placer.New(suffix), now: time.UnixMilli(1_700_000_000_000)}
	for _, id := range workers {
		o.workers = append(o.workers, placer.Worker{
			ID: id, Address: id, Service: simulatedService, Resources: placer.Resources{CPU: 64000, Mem: 1 << 20}, StartedAtMs: 5,
		})
	}
	o.deliver(placer.WorkersListed{Workers: o.workers})
	return o
}

func (o *recordedOwner) deliver(msg placer.Msg) {
	for _, cmd := range o.state.Update(o.now, msg) {
		switch cmd := cmd.(type) {
		case placer.Hold:
			o.hold = cmd
		case placer.Start:
			o.starts = append(o.starts, cmd)
		case placer.Stop:
			o.stops = append(o.stops, cmd)
		case placer.Answer:
			o.answers = append(o.answers, cmd.Result)
		}
	}
}

// list delivers the lists of a worker.
func (o *recordedOwner) list(worker string, running []placer.RunningRun, ended ...placer.EndedRun) {
	o.deliver(placer.HoldResponse{
		Worker: worker, Fence: o.hold.Fence, Result: placer.HoldAnswered, ClockMs: 1000, StartedAtMs: 5, Running: running, Ended: ended, Sent: o.now,
	})
}

// respond delivers a response of the worker that the last hold was sent to.
func (o *recordedOwner) respond(msg placer.HoldResponse) {
	msg.Worker, msg.Fence, msg.Result, msg.StartedAtMs, msg.Sent = o.hold.Worker, o.hold.Fence, placer.HoldAnswered, 5, o.hold.Sent
	o.deliver(msg)
}

// TestResumedTaskAwaitsAllWorkers guards against a second run of a task beside one
// that the previous owner started on another worker: the run that is found first has
// ended, and the other worker has not listed its runs yet.
func TestResumedTaskAwaitsAllWorkers(t *testing.T) {
	run := func(n int64) placer.RunKey { return placer.RunKey{Task: "j0000.0.0.0", Number: n} }
	o := newRecordedOwner(1, "w0", "w1")
	o.deliver(placer.Claim{WallMs: o.now.UnixMilli()})
	o.list("w0", []placer.RunningRun{{Key: run(1)}})
	o.list("w1", nil)
	o.now = o.now.Add(100 * time.Millisecond)
	o.deliver(placer.Submit{Waiter: 1, Entry: "e0", Job: newJob("j0000", 1, 27000, 300), Placements: placer.UnknownPlacements(1, nil)})
	o.now = o.now.Add(10 * time.Millisecond)
	o.list("w0", nil, placer.EndedRun{Index: 1, Key: run(1), Kind: placer.EndFailed})
	if len(o.starts) > 0 {
		t.Fatalf("%+v was sent before w1 had listed its runs", o.starts[0])
	}
	o.list("w1", []placer.RunningRun{{Key: run(2)}})
	o.now = o.now.Add(10 * time.Millisecond)
	o.deliver(placer.Tick{})
	o.list("w1", nil, placer.EndedRun{Index: 1, Key: run(2), Kind: placer.EndDone})
	if len(o.starts) > 0 || len(o.answers) != 1 || !o.answers[0].Completed {
		t.Errorf("starts %+v, answers %+v, want a completed job without a start", o.starts, o.answers)
	}
}

// TestMovedFailureCountsOnce guards against a failed job of a task that failed less
// often than MaxAttempts: the previous owner had counted a failed run before it handed
// the workers over, and its worker still lists the end.
func TestMovedFailureCountsOnce(t *testing.T) {
	run := placer.RunKey{Task: "j0000.0.0.0", Number: 1}
	ended := placer.EndedRun{Index: 1, Key: run, Kind: placer.EndFailed}
	job := newJob("j0000", 1, 27000, 300)
	job.MaxAttempts = 2
	first, next := newRecordedOwner(1, "w0"), newRecordedOwner(2, "w0")
	first.deliver(placer.Claim{WallMs: first.now.UnixMilli()})
	first.list("w0", nil)
	first.deliver(placer.Submit{Waiter: 1, Entry: "e0", Job: job})
	first.deliver(placer.StartResponse{Worker: "w0", Fence: first.hold.Fence, Key: run, Result: placer.StartAccepted, ClockMs: 1000})
	// The worker drains, so that the task is not started again at once.
	draining := first.workers[0]
	draining.Draining = true
	first.deliver(placer.WorkersListed{Workers: []placer.Worker{draining}})
	first.now = first.now.Add(300 * time.Millisecond)
	first.list("w0", nil, ended)
	first.deliver(placer.Release{Moved: true, Reason: "planned"})
	if len(first.answers) != 1 || len(first.answers[0].Placements) != 1 {
		t.Fatalf("answers %+v, want a moved job with one placement", first.answers)
	}
	next.now = first.now
	next.deliver(placer.Claim{WallMs: next.now.UnixMilli(), HighestKnownFence: first.hold.Fence})
	next.list("w0", nil, ended)
	next.deliver(placer.Submit{Waiter: 2, Entry: "e0", Job: job, Placements: first.answers[0].Placements})
	if len(next.answers) > 0 {
		t.Errorf("the job was answered with %+v after one failed run", next.answers[0])
	}
	if n := len(next.starts); n != 1 || next.starts[0].Key.Number != 2 {
		t.Errorf("starts %+v, want a second run", next.starts)
	}
}
