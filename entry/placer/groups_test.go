package placer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// workerGroup is a set of workers with an owner of its own.
type workerGroup struct {
	machines  []*machine
	owner     *owner
	changedAt time.Time
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

// checkNoSecondRuns reports two runs of a task at the same time, with the log of its
// job and workers.
func (s *simulation) checkNoSecondRuns(t *testing.T) {
	t.Helper()
	for _, v := range s.secondRuns {
		t.Error(v.text)
		for _, line := range s.logLines {
			if v.concerns(line) {
				t.Log(line)
			}
		}
	}
}

// concerns reports whether a log line is about the job or the workers of r.
func (r secondRun) concerns(line string) bool {
	job, _, _ := strings.Cut(r.task, ".")
	return strings.Contains(line, job) || strings.Contains(line, r.workers[0]) || strings.Contains(line, r.workers[1])
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

// loseEntryBesideJob returns a simulation of two groups of one worker each. A job is at
// work in the first one, beside another job, when the replies of its worker and the
// stops begin to get lost. Its entry is lost 0.5 s later, which its owner notices after
// the given time; the caller sends it to the second group after resubmitDelay.
func loseEntryBesideJob(noticedAfter time.Duration, clockSlowPercent int64) (*simulation, []*workerGroup) {
	s, groups := newGroups(1, 1, 1)
	s.machines[0].ClockSlowPercent = clockSlowPercent
	task := executor.Task{CPU: 20000, Duration: 9 * time.Second}
	var jobs []*submittedJob
	for i := range 2 {
		job := newJob(fmt.Sprintf("j%04d", i), 1, task.CPU, 9000)
		job.RemainingMs = 20_000
		jobs = append(jobs, s.submit(groups[0].owner, job, task))
	}
	s.run(200 * time.Millisecond)
	s.machines[0].mute = true
	s.faults.lostStops = 1
	s.run(500 * time.Millisecond)
	s.schedule(noticedAfter, func(time.Time) { s.deliver(groups[0].owner, placer.Cancel{JobID: jobs[1].job.ID}) })
	s.schedule(resubmitDelay, func(time.Time) { s.resubmit(groups[1].owner, jobs[1]) })
	return s, groups
}

// TestLateNoticeOfLostEntry guards against a run that outlives its job because its owner
// noticed the loss of the entry later than the caller did.
func TestLateNoticeOfLostEntry(t *testing.T) {
	for _, ms := range []int{20, 100, 180} {
		t.Run(fmt.Sprintf("%d ms", ms), func(t *testing.T) {
			s, _ := loseEntryBesideJob(time.Duration(ms)*time.Millisecond, 2)
			s.run(2 * time.Second)
			s.checkNoSecondRuns(t)
		})
	}
}

// TestSlowClockOfOrphan guards against a run that outlives its job because its lease is
// counted on a slow clock, which was last read before the worker fell silent.
func TestSlowClockOfOrphan(t *testing.T) {
	for _, slow := range []int64{0, 2} {
		t.Run(fmt.Sprintf("%d percent slow", slow), func(t *testing.T) {
			s, _ := loseEntryBesideJob(80*time.Millisecond, slow)
			s.run(2 * time.Second)
			s.checkNoSecondRuns(t)
		})
	}
}

// TestLateHoldBesideOrphan guards against a run that outlives its job because a hold that
// got no answer is executed late, with a lease that counts from its arrival.
func TestLateHoldBesideOrphan(t *testing.T) {
	s, groups := loseEntryBesideJob(20*time.Millisecond, 0)
	fence := groups[0].owner.state.Fence()
	s.schedule(time.Second, func(now time.Time) {
		m := s.machines[0]
		m.Hold(now, m.ClockMs(now)+1000, fence, 0)
	})
	s.run(2 * time.Second)
	s.checkNoSecondRuns(t)
}

// TestNextOwnerOfOrphan guards against a run that the next owner keeps at work after
// the previous one, which could not stop it, had let its lease end.
func TestNextOwnerOfOrphan(t *testing.T) {
	s, groups := loseEntryBesideJob(0, 0)
	s.run(600 * time.Millisecond)
	groups[0].owner.crashed = true
	s.machines[0].mute = false
	s.run(200 * time.Millisecond)
	next := s.addOwner(groups[0].machines)
	s.deliver(next, placer.Claim{WallMs: s.now.UnixMilli(), PreviousOwnerHeardAt: groups[0].owner.orphansSince})
	s.run(2 * time.Second)
	s.checkNoSecondRuns(t)
}
