package placer_test

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// workerGroup is a set of workers with an owner of its own.
type workerGroup struct {
	machines []*machine
	owner    *owner
}

// newGroups returns a simulation with worker groups of the given sizes, each with an
// owner that has claimed its workers.
func newGroups(seed int64, sizes ...int) (*simulation, []*workerGroup) {
	total := 0
	for _, n := range sizes {
		total += n
	}
	s := newSimulation(seed, total, 0)
	var groups []*workerGroup
	rest := s.machines
	for _, n := range sizes {
		g := &workerGroup{machines: rest[:n]}
		rest = rest[n:]
		g.owner = s.addOwner(g.machines)
		s.deliver(g.owner, placer.Claim{WallMs: s.now.UnixMilli()})
		groups = append(groups, g)
	}
	s.run(100 * time.Millisecond)
	return s, groups
}

// checkNoSecondRuns reports two runs of a task at the same time.
func (s *simulation) checkNoSecondRuns(t *testing.T) {
	t.Helper()
	for _, v := range s.secondRuns {
		t.Error(v)
	}
	if len(s.secondRuns) > 0 {
		for _, line := range s.logLines {
			t.Log(line)
		}
	}
}

// TestLostStartReplyBesideResubmission guards against an owner that keeps a run at
// work whose start got no answer, because another job has a run on the same worker.
func TestLostStartReplyBesideResubmission(t *testing.T) {
	for name, sizes := range map[string][]int{"to the same owner": {2}, "to another group": {1, 1}} {
		t.Run(name, func(t *testing.T) {
			s, groups := newGroups(1, sizes...)
			o, next := groups[0].owner, groups[len(groups)-1].owner
			task := executor.Task{CPU: 20000, Duration: 5 * time.Second}
			beside := newJob("j0000", len(groups[0].machines), task.CPU, 5000)
			beside.RemainingMs = 10_000
			s.submit(o, beside, task)
			s.run(100 * time.Millisecond)
			// Requests arrive and get no reply, and stops don't arrive.
			s.faults.lostStops = 1
			s.machines[0].mute = true
			j := s.submit(o, newJob("j0001", 1, task.CPU, 5000), task)
			s.run(100 * time.Millisecond)
			s.deliver(o, placer.Cancel{JobID: j.job.ID})
			s.run(resubmitDelay)
			s.resubmit(next, j)
			s.run(time.Second)
			s.checkNoSecondRuns(t)
			if next != o && s.starts["j0001.0.0.0"] != 2 {
				t.Errorf("the task was started %d times, want 2", s.starts["j0001.0.0.0"])
			}
		})
	}
}
