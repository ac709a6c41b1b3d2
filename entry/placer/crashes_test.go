package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

const (
	// maxCrashingStarts is the highest number of starts of a task that crashes its
	// workers: three, and less than three more.
	maxCrashingStarts = 5
	resubmitInterval  = 1300 * time.Millisecond
)

// crashingJob submits a job whose task 1 crashes its workers, and again after each
// answer that leaves its outcome open, through the current owner.
func (s *simulation) crashingJob(id string) *submittedJob {
	job := newJob(id, 3, 20000, 60)
	job.RemainingMs = 60_000
	task := executor.Task{CPU: 20000, Duration: 60 * time.Millisecond}
	j := &submittedJob{job: job, task: task, submittedAt: s.now, crashing: map[string]bool{id + ".0.0.1": true}}
	s.jobs[id] = j
	var submit func(time.Time)
	submit = func(time.Time) {
		n := len(j.answers)
		// A job that is submitted again after its answer runs from the start.
		for i := range job.Tasks {
			delete(s.runNumbers, fmt.Sprintf("%s.0.0.%d", id, i))
		}
		s.submit(s.currentOwner, job, task)
		var check func(time.Time)
		check = func(time.Time) {
			switch {
			case len(j.answers) == n:
				s.schedule(resubmitInterval, check)
			case j.answers[n].Err != nil:
				s.schedule(resubmitInterval, submit)
			}
		}
		check(s.now)
	}
	submit(s.now)
	return j
}

func (s *simulation) checkCrashingJob(t *testing.T, j *submittedJob) {
	t.Helper()
	task := j.job.ID + ".0.0.1"
	if n := s.starts[task]; n > maxCrashingStarts {
		t.Errorf("the task was started %d times and crashed %d workers, want at most %d starts", n, s.crashes[task], maxCrashingStarts)
	}
	if len(j.answers) == 0 || !j.answers[len(j.answers)-1].Failed {
		t.Errorf("answers %+v, want failed as the last one", j.answers)
	}
}

// TestCrashingTask guards against a task that crashes worker after worker, because
// it is started again when its worker has restarted or when its caller submits the
// job again.
func TestCrashingTask(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second, 8 * time.Second} {
		t.Run(fmt.Sprintf("workers are down for %v", delay), func(t *testing.T) {
			t.Parallel()
			for seed := range int64(5) {
				s := newSimulation(seed, 8, 1)
				s.restartDelay, s.currentOwner = delay, s.owners[0]
				s.deliver(s.currentOwner, placer.Claim{WallMs: s.now.UnixMilli()})
				s.run(100 * time.Millisecond)
				j := s.crashingJob("c0000")
				s.run(60 * time.Second)
				s.checkCrashingJob(t, j)
				s.checkNoViolations(t)
			}
		})
	}
}

// TestCrashingTaskAndNewOwners guards against a new owner that starts a task again
// because only the owners before it saw its workers crash.
func TestCrashingTaskAndNewOwners(t *testing.T) {
	for seed := range int64(5) {
		s := newSimulation(seed, 12, 12)
		s.restartDelay = 3 * time.Second
		s.currentOwner = s.owners[0]
		s.deliver(s.currentOwner, placer.Claim{WallMs: s.now.UnixMilli()})
		s.run(100 * time.Millisecond)
		j := s.crashingJob("c0000")
		for i := 1; i < len(s.owners); i++ {
			s.run(1500 * time.Millisecond)
			// The owner is lost after its last heartbeat told the others what it saw.
			report := s.currentOwner.state.Crashes(s.now)
			s.currentOwner.crashed = true
			if n := len(j.answers); n > 0 && j.answers[n-1].Failed {
				break
			}
			s.currentOwner = s.owners[i]
			s.deliver(s.currentOwner, placer.CrashesReported{Crashes: report.Crashes})
			s.deliver(s.currentOwner, placer.Claim{WallMs: s.now.UnixMilli(), HighestKnownFence: s.owners[i-1].state.Fence()})
			s.answerLost(j)
		}
		s.checkCrashingJob(t, j)
	}
}

// answerLost answers the requests of j that waited for an owner that is lost.
func (s *simulation) answerLost(j *submittedJob) {
	for waiter, waiting := range s.waiters {
		if waiting == j {
			delete(s.waiters, waiter)
			j.answers = append(j.answers, placer.Result{Err: messenger.NewError(messenger.TargetLost, "")})
		}
	}
}

// TestWorkersThatLeaveAreNoCrash guards against giving up jobs because workers that
// were removed on purpose ended under them.
func TestWorkersThatLeaveAreNoCrash(t *testing.T) {
	s := newOwnedSimulation(1)
	s.submit(s.owners[0], newJob("j0000", 6, 60000, 900), executor.Task{CPU: 60000, Duration: 900 * time.Millisecond})
	s.run(50 * time.Millisecond)
	list := s.workerList()
	for i := range list {
		list[i].Draining = true
	}
	s.deliver(s.owners[0], placer.WorkersListed{Workers: list})
	for _, m := range s.machines {
		m.refuses = true
	}
	s.run(2 * time.Second)
	if r := s.owners[0].state.Crashes(s.now); len(r.Crashes) > 0 {
		t.Errorf("crashes %+v, want none", r.Crashes)
	}
}
