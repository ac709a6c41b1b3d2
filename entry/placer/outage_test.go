package placer_test

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// TestUnlistedWorkers guards against workers that are not used, although they
// answer, because their registrations expired during an outage of the store, and
// against workers that are used for long after they left.
func TestUnlistedWorkers(t *testing.T) {
	s := newSimulation(1, 6, 1)
	o := s.owners[0]
	s.deliver(o, placer.Claim{WallMs: 1_700_000_000_000})
	s.run(100 * time.Millisecond)
	runs := func(id string) bool {
		j := s.submit(o, newJob(id, 12, 27000, 60), executor.Task{CPU: 27000, Duration: 60 * time.Millisecond})
		s.run(500 * time.Millisecond)
		return len(j.answers) == 1 && j.answers[0].Completed
	}
	s.deliver(o, placer.WorkersListed{Workers: s.workerList()[:1]})
	s.run(1500 * time.Millisecond)
	if !runs("j0000") {
		t.Error("a wide job was not completed 1.5 s after the workers disappeared from the list")
	}
	s.deliver(o, placer.WorkersListed{Workers: s.workerList()})
	s.run(5 * time.Second)
	if !runs("j0001") {
		t.Error("a wide job was not completed after the workers were listed again")
	}
	s.deliver(o, placer.WorkersListed{Workers: s.workerList()[:1]})
	s.run(3 * time.Second)
	if runs("j0002") {
		t.Error("a wide job was completed by workers that have not been listed for 3 s")
	}
	s.checkNoViolations(t)
}
