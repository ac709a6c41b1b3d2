package placer_test

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// TestFences guards against fences that increase with each claim although none
// was rejected, and against a new owner that is slow to exceed the fences of
// the previous one. Such a defect left all workers without an owner for 15 s
// after a planned stop.
func TestFences(t *testing.T) {
	const wall = 1_700_000_000_000
	t.Run("claims without a rejection", func(t *testing.T) {
		s := newSimulation(1, 4, 1)
		for range 100 {
			s.deliver(s.owners[0], placer.Claim{WallMs: wall})
			s.run(10 * time.Millisecond)
		}
		if got := s.owners[0].state.Fence() >> 10; got != wall {
			t.Errorf("the fence is at %d ms after 100 claims, want %d", got, int64(wall))
		}
	})
	t.Run("known fences", func(t *testing.T) {
		s := newSimulation(1, 4, 2)
		s.deliver(s.owners[0], placer.Claim{WallMs: wall + 3_600_000})
		s.run(100 * time.Millisecond)
		s.deliver(s.owners[1], placer.Claim{WallMs: wall, HighestKnownFence: s.owners[0].state.Fence()})
		s.run(100 * time.Millisecond)
		checkReachableWorkers(t, s, s.owners[1], 4)
	})
	t.Run("unknown fences", func(t *testing.T) {
		s := newSimulation(1, 4, 2)
		s.reclaimWorkers = true
		s.deliver(s.owners[0], placer.Claim{WallMs: wall + 60_000})
		s.run(100 * time.Millisecond)
		s.owners[0].crashed = true
		s.deliver(s.owners[1], placer.Claim{WallMs: wall})
		s.run(2 * time.Second)
		checkReachableWorkers(t, s, s.owners[1], 4)
	})
}

func checkReachableWorkers(t *testing.T, s *simulation, o *owner, want int) {
	t.Helper()
	if got, _ := o.state.ReachableWorkers(s.now); got != want {
		t.Errorf("%d workers are owned, want %d", got, want)
	}
}

// TestLateStartAfterRestart guards against a second run of a task if a worker
// executes an unanswered start after a restart, at any later moment. The
// restarted worker no longer knows of the stop and accepts the earlier fence
// until it sees a higher one.
func TestLateStartAfterRestart(t *testing.T) {
	for after := time.Duration(0); after < 300*time.Millisecond; after += time.Millisecond {
		s := newSimulation(3, 2, 1)
		o := s.owners[0]
		s.deliver(o, placer.Claim{WallMs: 1_700_000_000_000})
		s.run(100 * time.Millisecond)
		fence := o.state.Fence()
		s.faults.lostStarts = 1
		s.submit(o, newJob("j0000", 1, 60000, 900), executor.Task{CPU: 60000, Duration: 900 * time.Millisecond})
		s.faults.lostStarts = 0
		s.run(300 * time.Millisecond)
		var m *machine
		for _, w := range s.machines {
			if len(w.Runs(s.now)) > 0 {
				m = w
			}
		}
		if m == nil {
			t.Fatal("the restarted task is not running on any worker")
		}
		m.Restart(s.now)
		s.schedule(after, func(now time.Time) {
			s.executeStart(now, m, placer.Start{Worker: m.id, Fence: fence, Key: placer.RunKey{Task: "j0000.0.0.0", Number: 1}, UntilMs: m.ClockMs(now) + 1000})
		})
		s.run(5 * time.Second)
		for _, v := range s.violations {
			t.Errorf("late start %v after the restart: %s", after, v)
		}
		if n := len(s.jobs["j0000"].answers); n != 1 {
			t.Errorf("late start %v after the restart: %d answers", after, n)
		}
	}
}

// TestLateStartBesideRun guards against a run that a restarted worker began by
// executing a late start, and that goes on although its task has a run on another
// worker. Such a run can't be prevented: the restarted worker knows neither the
// stop nor the fence. It went on until it counted as a run of a previous owner that
// no job claims, after adoptionTimeout.
func TestLateStartBesideRun(t *testing.T) {
	s := newSimulation(3, 2, 1)
	o := s.owners[0]
	s.deliver(o, placer.Claim{WallMs: 1_700_000_000_000})
	s.run(100 * time.Millisecond)
	fence := o.state.Fence()
	s.submit(o, newJob("j0000", 1, 60000, 3000), executor.Task{CPU: 60000, Duration: 3 * time.Second})
	s.run(300 * time.Millisecond)
	var other *machine
	for _, m := range s.machines {
		if len(m.Runs(s.now)) == 0 {
			other = m
		}
	}
	other.Restart(s.now)
	s.executeStart(s.now, other, placer.Start{Worker: other.id, Fence: fence, Key: placer.RunKey{Task: "j0000.0.0.0", Number: 1}, UntilMs: other.ClockMs(s.now) + 1000})
	// A pending hold takes 400 ms to return, and the stop one round trip.
	s.run(450 * time.Millisecond)
	if runs := other.Runs(s.now); len(runs) != 0 {
		t.Errorf("the restarted worker still runs %v", runs)
	}
	s.run(5 * time.Second)
	if j := s.jobs["j0000"]; len(j.answers) != 1 || !j.answers[0].Completed {
		t.Errorf("answers %+v, want completed", j.answers)
	}
}
