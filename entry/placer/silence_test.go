package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// silenceCase is a worker that stops answering while it runs a task.
type silenceCase struct {
	silence time.Duration
	// mute workers receive requests and their replies are lost. Others receive
	// nothing, so that their leases expire after 1 s.
	mute bool
	// completes is set if the job can complete, since the run goes on.
	completes bool
}

// TestSilentWorker guards against running work that is started again, or given up,
// because its worker was silent for a while. A run whose lease may have expired is
// never started again while it may still be running.
func TestSilentWorker(t *testing.T) {
	for _, c := range []silenceCase{
		{300 * time.Millisecond, false, true}, {300 * time.Millisecond, true, true},
		{time.Second, true, true}, {1500 * time.Millisecond, true, true},
		{time.Second, false, false}, {3 * time.Second, false, false}, {3 * time.Second, true, false},
		{10 * time.Second, false, false}, {10 * time.Second, true, false},
	} {
		t.Run(fmt.Sprintf("%v, mute %v", c.silence, c.mute), func(t *testing.T) {
			for start := 50 * time.Millisecond; start < 500*time.Millisecond; start += 50 * time.Millisecond {
				c.check(t, start)
			}
		})
	}
}

func (c silenceCase) check(t *testing.T, start time.Duration) {
	t.Helper()
	s := newSimulation(1, 3, 1)
	o := s.owners[0]
	s.deliver(o, placer.Claim{WallMs: 1_700_000_000_000})
	s.run(100 * time.Millisecond)
	job := newJob("j0000", 1, 60000, 900)
	job.RemainingMs = 20_000
	j := s.submit(o, job, executor.Task{CPU: 60000, Duration: 900 * time.Millisecond})
	s.run(start)
	for _, m := range s.machines {
		if len(m.Runs(s.now)) > 0 {
			m.mute = c.mute
			m.unreachableFrom[o] = !c.mute
			s.schedule(c.silence, func(time.Time) { m.mute, m.unreachableFrom = false, map[*owner]bool{} })
		}
	}
	s.run(30 * time.Second)
	for _, v := range s.violations {
		t.Errorf("silent after %v: %s", start, v)
	}
	if len(j.answers) != 1 {
		t.Fatalf("silent after %v: %d answers", start, len(j.answers))
	}
	answer := j.answers[0]
	if c.completes && (!answer.Completed || s.startedRuns != 1) {
		t.Errorf("silent after %v: answer %+v after %d runs, want completed after 1", start, answer, s.startedRuns)
	}
	if answer.Err != nil && answer.Err.Ran == messenger.DidNotRun {
		t.Errorf("silent after %v: %v, want an answer that leaves open whether the job ran", start, answer.Err)
	}
	if all, _ := o.state.Jobs(); all != 0 {
		t.Errorf("silent after %v: %d jobs are still in progress", start, all)
	}
}

// TestRefusingWorker guards against jobs that wait for a worker whose process has
// ended.
func TestRefusingWorker(t *testing.T) {
	s := newSimulation(1, 1, 1)
	o := s.owners[0]
	s.deliver(o, placer.Claim{WallMs: 1_700_000_000_000})
	s.run(100 * time.Millisecond)
	j := s.submit(o, newJob("j0000", 1, 60000, 900), executor.Task{CPU: 60000, Duration: 900 * time.Millisecond})
	s.run(50 * time.Millisecond)
	s.machines[0].refuses = true
	s.run(900 * time.Millisecond)
	s.checkMayHaveRun(t, j)
}
