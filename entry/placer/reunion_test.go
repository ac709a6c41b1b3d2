package placer_test

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// Guards against an owner that does not claim workers for 1.5 s because it could
// not reach them when it was the owner before.
func TestLostWorkersAreForgottenWithTheOwnership(t *testing.T) {
	s := newSimulation(1, 4, 2)
	s.reclaims = true
	first, other := s.owners[0], s.owners[1]
	s.tell(first, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(100 * time.Millisecond)
	for _, m := range s.machines {
		m.cutFrom[first] = true
	}
	s.run(1500 * time.Millisecond)
	s.tell(first, placer.Release{Reason: "another entry owns the workers"})
	s.tell(other, placer.Claim{WallMs: s.now.UnixMilli() + 60_000})
	s.run(200 * time.Millisecond)
	other.dead = true
	for _, m := range s.machines {
		m.cutFrom = map[*owner]bool{}
	}
	s.tell(first, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(1300 * time.Millisecond)
	checkReached(t, s, first, 4)
}

// Guards against jobs that end when a partition heals: the owner outside it
// must not take the workers back before the owner inside has handed them over,
// and then has to go on with the jobs.
func TestReunion(t *testing.T) {
	s := newSimulation(1, 4, 2)
	s.reclaims = true
	outside, inside := s.owners[0], s.owners[1]
	s.tell(outside, placer.Claim{WallMs: 1_700_000_000_000})
	s.run(100 * time.Millisecond)
	for _, m := range s.machines[:2] {
		m.cutFrom[outside] = true
	}
	s.run(1500 * time.Millisecond)
	for _, m := range s.machines[2:] {
		m.cutFrom[inside] = true
	}
	s.tell(inside, placer.Claim{WallMs: s.now.UnixMilli(), Contested: true})
	s.run(700 * time.Millisecond)
	j := s.submit(inside, job("j0000", 2, 27000, 900), executor.Task{CPU: 27000, Work: 900 * time.Millisecond})
	s.run(50 * time.Millisecond)
	for _, m := range s.machines {
		m.cutFrom = map[*owner]bool{}
	}
	s.run(500 * time.Millisecond)
	if len(j.answers) != 0 {
		t.Fatalf("the job was answered with %+v as the partition healed", j.answers)
	}
	s.tell(outside, placer.Claim{WallMs: s.now.UnixMilli()})
	s.tell(inside, placer.Release{Moved: true, Reason: "an older owner was found"})
	s.submit(outside, j.job, j.task, j.answers[0].Placements...)
	s.run(time.Second)
	for _, f := range s.faults {
		t.Error(f)
	}
	if n := len(j.answers); n != 2 || !j.answers[1].Completed || s.started != 2 {
		t.Errorf("answers %+v after %d starts, want a completed job after 2", j.answers, s.started)
	}
}

// Guards against jobs that end with their owner although their runs go on, and
// against a second run of their tasks.
func TestJobsSurviveTheirOwner(t *testing.T) {
	s := newSimulation(1, 4, 2)
	first, next := s.owners[0], s.owners[1]
	s.tell(first, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(100 * time.Millisecond)
	j := s.submit(first, job("j0000", 3, 27000, 900), executor.Task{CPU: 27000, Work: 900 * time.Millisecond})
	ended := s.submit(first, job("j0001", 1, 27000, 300), executor.Task{CPU: 27000, Work: 300 * time.Millisecond})
	s.run(200 * time.Millisecond)
	first.dead = true
	s.run(500 * time.Millisecond)
	s.tell(next, placer.Claim{WallMs: s.now.UnixMilli()})
	for _, id := range []*submitted{j, ended} {
		s.submit(next, id.job, id.task, placer.Unknown(id.job.Tasks, nil)...)
	}
	s.run(600 * time.Millisecond)
	for _, id := range []*submitted{j, ended} {
		if len(id.answers) != 1 || !id.answers[0].Completed {
			t.Errorf("job %s: answers %+v, want completed", id.job.ID, id.answers)
		}
	}
	if s.started != 4 {
		t.Errorf("%d runs were started for 4 tasks", s.started)
	}
}

// Guards against a caller that waits for a job that can't go on after the loss
// of its owner, against a second run of a task that may be done, and against
// runs that stay at work without a job.
func TestJobsThatCannotSurviveEndAtOnce(t *testing.T) {
	s := newSimulation(1, 4, 2)
	first, next := s.owners[0], s.owners[1]
	s.tell(first, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(100 * time.Millisecond)
	s.submit(first, job("j0000", 2, 27000, 900), executor.Task{CPU: 27000, Work: 900 * time.Millisecond})
	s.run(100 * time.Millisecond)
	first.dead = true
	s.run(100 * time.Millisecond)
	s.tell(next, placer.Claim{WallMs: s.now.UnixMilli()})
	// One more task than workers run: its run may be done.
	j := s.submit(next, job("j0000", 3, 27000, 900), executor.Task{CPU: 27000, Work: 900 * time.Millisecond}, placer.Unknown(3, nil)...)
	s.run(100 * time.Millisecond)
	s.checkAnswer(t, j, messenger.MayHaveRun)
	for _, m := range s.machines {
		if runs := m.Runs(s.now); len(runs) > 0 {
			t.Errorf("worker %s still runs %v", m.id, runs)
		}
	}
	if s.started != 2 {
		t.Errorf("%d runs were started for 2 tasks", s.started)
	}
}

// Guards against jobs that end because a rival owner took their workers for a
// moment before it yielded.
func TestJobsSurviveARival(t *testing.T) {
	s := newSimulation(1, 4, 2)
	s.reclaims = true
	first, rival := s.owners[0], s.owners[1]
	s.current = first
	s.tell(first, placer.Claim{WallMs: s.now.UnixMilli()})
	s.run(100 * time.Millisecond)
	j := s.submit(first, job("j0000", 3, 27000, 900), executor.Task{CPU: 27000, Work: 900 * time.Millisecond})
	s.run(200 * time.Millisecond)
	s.tell(rival, placer.Claim{WallMs: s.now.UnixMilli() + 60_000})
	s.run(30 * time.Millisecond)
	s.tell(rival, placer.Release{Moved: true, Reason: "an older owner was found"})
	s.run(time.Second)
	if len(j.answers) != 1 || !j.answers[0].Completed {
		t.Errorf("answers %+v, want completed", j.answers)
	}
	if s.started != 3 {
		t.Errorf("%d runs were started for 3 tasks", s.started)
	}
}
