package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// attestationInterval is the interval at which an entry attests its jobs.
const attestationInterval = 150 * time.Millisecond

// attest delivers the attestations of an entry to an owner until the simulation has
// reached the given time. The stamp of each is from the reply to the one before.
func (s *simulation) attest(o *owner, entry string, until time.Time, jobs ...string) {
	s.schedule(attestationInterval, func(now time.Time) {
		if now.After(until) {
			return
		}
		s.deliver(o, placer.JobsAttested{Entry: entry, At: now.Add(-attestationInterval), Jobs: jobs})
		s.attest(o, entry, until, jobs...)
	})
}

// silentEntry returns a simulation of two groups of one worker each, and a job at work in
// the first one, beside another one. The job's entry falls silent after 0.5 s, which its
// owner does not notice; the caller sends the job to the second group after
// resubmitDelay.
func silentEntry() (*simulation, []*workerGroup) {
	s, groups := newGroups(1, 1, 1)
	s.machines[0].ClockSlowPercent = 2
	task := executor.Task{CPU: 20000, Duration: 9 * time.Second}
	submit := func(id string) *submittedJob {
		job := newJob(id, 1, task.CPU, 9000)
		job.RemainingMs = 20_000
		return s.submit(groups[0].owner, job, task)
	}
	submit("j0000")
	s.attests = true
	j := submit("j0001")
	silentAt := s.now.Add(500 * time.Millisecond)
	s.attest(groups[0].owner, s.entryName(s.lastWaiter), silentAt, "j0001")
	s.schedule(silentAt.Sub(s.now)+resubmitDelay, func(time.Time) { s.resubmit(groups[1].owner, j) })
	return s, groups
}

// TestRunsOfSilentEntry guards against an owner that keeps the runs of a job at work
// although it has not heard from the job's entry, and against one that ends other jobs on
// the same worker for that.
func TestRunsOfSilentEntry(t *testing.T) {
	for name, c := range map[string]struct {
		lostStops float64
		// heldUp delays the last heartbeat of the entry.
		heldUp time.Duration
	}{
		"stops arrive":                   {},
		"stops get lost":                 {lostStops: 1},
		"the last heartbeat was held up": {lostStops: 1, heldUp: 900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s, groups := silentEntry()
			s.faults.lostStops = c.lostStops
			last := placer.JobsAttested{Entry: s.entryName(s.lastWaiter), At: s.now.Add(400 * time.Millisecond), Jobs: []string{"j0001"}}
			s.schedule(500*time.Millisecond+c.heldUp, func(time.Time) { s.deliver(groups[0].owner, last) })
			s.run(3 * time.Second)
			s.checkNoSecondRuns(t)
			if s.starts["j0001.0.0.0"] != 2 {
				t.Errorf("the task was started %d times, want 2", s.starts["j0001.0.0.0"])
			}
			if c.lostStops == 0 && (!groups[0].owner.state.HasJob("j0000") || s.starts["j0000.0.0.0"] != 1) {
				t.Error("the other job was disturbed")
			}
		})
	}
}

// TestNextOwnerOfSilentEntry guards against a next owner that keeps runs at work whose
// entry the previous owner had not heard for a while.
func TestNextOwnerOfSilentEntry(t *testing.T) {
	s, groups := silentEntry()
	s.faults.lostStops = 1
	s.run(1100 * time.Millisecond)
	groups[0].owner.crashed = true
	s.run(300 * time.Millisecond)
	next := s.addOwner(groups[0].machines)
	s.deliver(next, placer.Claim{WallMs: s.now.UnixMilli(), PreviousOwnerHeardAt: groups[0].owner.orphansSince})
	s.run(2 * time.Second)
	s.checkNoSecondRuns(t)
}

// TestSpilledJobOfReplacedOwner guards against runs that outlive a job which was passed on
// to another worker group, when the owner there hands over or is lost: the entry answers
// its caller, and does not look for the next owner of that group.
func TestSpilledJobOfReplacedOwner(t *testing.T) {
	for name, planned := range map[string]bool{"handed over": true, "lost": false} {
		for _, lostStops := range []float64{0, 1} {
			t.Run(fmt.Sprintf("%s, lost stops %v", name, lostStops), func(t *testing.T) {
				s, groups := newGroups(1, 1, 1)
				task := executor.Task{CPU: 20000, Duration: 9 * time.Second}
				job := newJob("j0000", 1, task.CPU, 9000)
				job.RemainingMs = 20_000
				s.attests = true
				j := s.submit(groups[0].owner, job, task)
				s.run(300 * time.Millisecond)
				s.faults.lostStops = lostStops
				former := groups[0].owner
				next := s.addOwner(groups[0].machines)
				if planned {
					s.deliver(former, placer.Release{Moved: true, Reason: "planned"})
				} else {
					former.crashed = true
					s.run(500 * time.Millisecond)
				}
				s.deliver(next, placer.Claim{WallMs: s.now.UnixMilli() + 1000, PreviousOwnerHeardAt: former.orphansSince})
				s.run(resubmitDelay)
				s.resubmit(groups[1].owner, j)
				s.run(2 * time.Second)
				s.checkNoSecondRuns(t)
				if s.starts["j0000.0.0.0"] != 2 {
					t.Errorf("the task was started %d times, want 2", s.starts["j0000.0.0.0"])
				}
			})
		}
	}
}

// TestJobNotWaitedFor guards against an owner that keeps a job which its entry has given
// up, and against one that ends a job because of an attestation from before the job was
// sent, or from another entry.
func TestJobNotWaitedFor(t *testing.T) {
	for name, c := range map[string]struct {
		sinceArrival time.Duration
		otherEntry   bool
		ends         bool
	}{
		"given up":           {sinceArrival: time.Millisecond, ends: true},
		"made before it":     {sinceArrival: -time.Millisecond},
		"from another entry": {sinceArrival: time.Millisecond, otherEntry: true},
	} {
		t.Run(name, func(t *testing.T) {
			s, groups := newGroups(1, 1)
			s.attests = true
			task := executor.Task{CPU: 20000, Duration: time.Second}
			arrivedAt, o := s.now, groups[0].owner
			s.submit(o, newJob("j0000", 1, task.CPU, 1000), task)
			s.run(100 * time.Millisecond)
			entry := s.entryName(s.lastWaiter)
			if c.otherEntry {
				entry = "other"
			}
			s.deliver(o, placer.JobsAttested{Entry: entry, At: arrivedAt.Add(c.sinceArrival)})
			s.run(100 * time.Millisecond)
			if o.state.HasJob("j0000") == c.ends || len(s.machines[0].Runs(s.now)) > 0 == c.ends {
				t.Errorf("the job is at work: %v, want %v", o.state.HasJob("j0000"), !c.ends)
			}
		})
	}
}

// TestHeldUpJob guards against an owner that starts a job which was held up on the way,
// when its caller may have sent it to another group, or that forgets the request which
// replaced it.
func TestHeldUpJob(t *testing.T) {
	s, groups := newGroups(1, 1)
	task := executor.Task{CPU: 20000, Duration: time.Second}
	o := groups[0].owner
	heldUp := placer.Submit{Entry: "e", Job: newJob("j0000", 1, task.CPU, 1000), AttestedAt: s.now.Add(-900 * time.Millisecond)}
	expectRefused := func(waiter placer.Waiter, j *submittedJob) {
		t.Helper()
		s.waiters[waiter], heldUp.Waiter = j, waiter
		s.deliver(o, heldUp)
		if n := len(j.answers); n == 0 || j.answers[n-1].Err == nil || j.answers[n-1].Err.Kind != messenger.NoTarget {
			t.Errorf("answers %+v, want that it was refused", j.answers)
		}
	}
	first := &submittedJob{job: heldUp.Job, task: task}
	expectRefused(100, first)
	j := s.submit(o, newJob("j0000", 1, task.CPU, 1000), task)
	s.run(100 * time.Millisecond)
	expectRefused(101, &submittedJob{job: heldUp.Job, task: task})
	s.run(2 * time.Second)
	if len(j.answers) != 1 || !j.answers[0].Completed {
		t.Errorf("answers %+v, want that the job completed", j.answers)
	}
}
