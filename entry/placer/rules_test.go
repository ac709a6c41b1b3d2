package placer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// TestNoStartBeyondFreeResources guards against starts that exceed the free
// resources of a worker that has a single owner. Runs that are being stopped
// count as using resources. Some workers do not refuse such starts.
func TestNoStartBeyondFreeResources(t *testing.T) {
	for seed := range int64(5) {
		s := newOwnedSimulation(seed)
		s.replayWorkloads(mixedLoad, 4, 4*time.Second)
		for i := range 200 {
			id := fmt.Sprintf("x%04d", i)
			s.submit(s.owners[0], newJob(id, 4, 27000, 400), executor.Task{CPU: 27000, Duration: 400 * time.Millisecond})
			s.schedule(time.Duration(s.random.Intn(300))*time.Millisecond, func(time.Time) {
				s.deliver(s.owners[0], placer.Cancel{JobID: id})
			})
			s.run(10 * time.Millisecond)
		}
		for _, line := range s.logLines {
			if strings.Contains(line, "result:noRoom") {
				t.Errorf("seed %d: %s", seed, line)
			}
		}
	}
}

// TestPlacementConstraints guards against tasks on workers of another
// service, on workers without the required label, or beyond the limit per
// worker.
func TestPlacementConstraints(t *testing.T) {
	s := newSimulation(1, 6, 1)
	list := s.workerList()
	list[0].Service = "another"
	list[1].Labels, list[2].Labels, list[3].Labels = []string{"a"}, []string{"b"}, []string{"b", "r2"}
	s.deliver(s.owners[0], placer.WorkersListed{Workers: list})
	s.deliver(s.owners[0], placer.Claim{WallMs: 1_700_000_000_000})
	s.run(100 * time.Millisecond)
	// One worker is unreachable at first, so that tasks are placed in two
	// rounds.
	s.machines[5].unreachableFrom[s.owners[0]] = true
	s.run(300 * time.Millisecond)
	task := executor.Task{CPU: 1000, Duration: 800 * time.Millisecond}
	labelled, spread, plain := newJob("j0000", 4, 1000, 800), newJob("j0001", 5, 1000, 800), newJob("j0002", 40, 1000, 800)
	labelled.Label, spread.PerWorker = "b", 1
	for _, j := range []placer.Job{labelled, spread, plain} {
		s.submit(s.owners[0], j, task)
	}
	s.run(50 * time.Millisecond)
	delete(s.machines[5].unreachableFrom, s.owners[0])
	s.run(400 * time.Millisecond)
	count := map[string]int{}
	for i, m := range s.machines {
		for _, r := range m.Runs(s.now) {
			id, _, _ := strings.Cut(r.Key.Task, ".")
			count[id]++
			count[id+m.id]++
			if i == 0 {
				t.Errorf("%s runs on a worker of another service", r.Key.Task)
			}
			if id == "j0000" && i != 2 && i != 3 {
				t.Errorf("%s runs on a worker without the required label", r.Key.Task)
			}
			if id == "j0001" && count[id+m.id] > 1 {
				t.Errorf("two tasks of %s run on %s", id, m.id)
			}
		}
	}
	if count["j0000"] != 4 || count["j0001"] != 5 || count["j0002"] != 40 {
		t.Errorf("running tasks: %v", count)
	}
}

// TestCancelledJobsEnd guards against tasks that start or continue after their
// job was cancelled.
func TestCancelledJobsEnd(t *testing.T) {
	s := newOwnedSimulation(1)
	s.faults = faultRates{lostStartReplies: 0.2, lostStops: 0.2}
	for i := range 60 {
		// These jobs exceed the available resources, so that some tasks stay in
		// the queue.
		s.submit(s.owners[0], newJob(fmt.Sprintf("j%04d", i), 8, 27000, 900), executor.Task{CPU: 27000, Duration: 900 * time.Millisecond})
	}
	s.run(120 * time.Millisecond)
	for i := range 60 {
		j := s.jobs[fmt.Sprintf("j%04d", i)]
		answered := len(j.answers) > 0
		s.deliver(s.owners[0], placer.Cancel{JobID: j.job.ID})
		// A job that counts as refused would be offered to another worker group.
		if !answered && (len(j.answers) != 1 || !j.answers[0].Cancelled) {
			t.Errorf("job %s: answers %+v, want that it was cancelled", j.job.ID, j.answers)
		}
	}
	s.run(10 * time.Millisecond)
	started := s.startedRuns
	s.run(800 * time.Millisecond)
	if s.startedRuns != started {
		t.Errorf("%d runs were started after their jobs were cancelled", s.startedRuns-started)
	}
	for _, m := range s.machines {
		if runs := m.Runs(s.now); len(runs) > 0 {
			t.Errorf("worker %s still runs %v", m.id, runs)
		}
	}
	s.checkNoViolations(t)
}

// TestLongRunIsStopped guards against a second run of a task whose first run has
// to be stopped long after its start. Such a run was considered ended without a
// stop request, and the task started again while it was running.
func TestLongRunIsStopped(t *testing.T) {
	for name, faults := range map[string]faultRates{"stops arrive": {}, "stops are lost": {lostStops: 0.9}} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1, 4, 1)
			s.deliver(s.owners[0], placer.Claim{WallMs: 1_700_000_000_000})
			s.run(100 * time.Millisecond)
			s.faults = faults
			job := newJob("j0000", 1, 27000, 80_000)
			job.RemainingMs, job.MaxAttempts = 200_000, 5
			s.submit(s.owners[0], job, executor.Task{CPU: 27000, Duration: 80 * time.Second, Hangs: true})
			s.run(60 * time.Second)
			if s.startedRuns < 2 {
				t.Errorf("%d runs were started, want the hung task to be started again", s.startedRuns)
			}
			s.checkNoViolations(t)
		})
	}
}

// TestHungRunsAreLimited guards against a task that hangs on every worker and is
// started again until its caller's deadline.
func TestHungRunsAreLimited(t *testing.T) {
	s := newSimulation(1, 4, 1)
	s.deliver(s.owners[0], placer.Claim{WallMs: 1_700_000_000_000})
	s.run(100 * time.Millisecond)
	job := newJob("j0000", 1, 27000, 60)
	job.RemainingMs = 60_000
	j := s.submit(s.owners[0], job, executor.Task{CPU: 27000, Duration: 60 * time.Millisecond, Hangs: true})
	s.run(30 * time.Second)
	if s.startedRuns != job.MaxAttempts {
		t.Errorf("%d runs were started, want %d", s.startedRuns, job.MaxAttempts)
	}
	s.checkMayHaveRun(t, j)
}
