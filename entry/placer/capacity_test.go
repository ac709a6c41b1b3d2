package placer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// fillWorkers submits jobs that together exceed the capacity of the workers.
func (s *simulation) fillWorkers(o *owner, prefix string, guarded bool) {
	for i := range 2 * len(s.machines) {
		job := newJob(fmt.Sprintf("%s%04d", prefix, i), 1, 40000, 500)
		job.GuardedCapacity = guarded
		s.submit(o, job, executor.Task{CPU: 40000, Duration: 500 * time.Millisecond})
	}
}

// startsWithoutRoom returns the number of starts that exceeded the capacity of a
// worker.
func (s *simulation) startsWithoutRoom() int {
	n := 0
	for _, line := range s.logLines {
		if strings.Contains(line, "result:noRoom") {
			n++
		}
	}
	return n
}

// TestCapacityAfterTakeover guards against a new owner that takes runs of unknown
// size for nothing and starts tasks beyond the capacity of workers that accept them.
func TestCapacityAfterTakeover(t *testing.T) {
	for seed := range int64(5) {
		s := newSimulation(seed, 6, 2)
		first, next := s.owners[0], s.owners[1]
		s.deliver(first, placer.Claim{WallMs: s.now.UnixMilli()})
		s.run(100 * time.Millisecond)
		s.fillWorkers(first, "a", false)
		s.run(50 * time.Millisecond)
		first.crashed = true
		s.deliver(next, placer.Claim{WallMs: s.now.UnixMilli(), HighestKnownFence: first.state.Fence()})
		s.run(20 * time.Millisecond)
		s.fillWorkers(next, "b", false)
		s.run(3 * time.Second)
		if n := s.startsWithoutRoom(); n > 0 {
			t.Errorf("seed %d: %d starts exceeded the capacity of their worker", seed, n)
		}
		if s.startedRuns <= len(s.machines) {
			t.Errorf("seed %d: %d runs were started, none by the next owner", seed, s.startedRuns)
		}
	}
}

// TestCapacityShrinks guards against starts beyond the capacity of a worker that
// has less of it than before, while runs that started before still use it.
func TestCapacityShrinks(t *testing.T) {
	for seed := range int64(5) {
		s := newOwnedSimulation(seed)
		for round := range 6 {
			for i, m := range s.machines {
				m.CPU = int64(64000 - 30000*((round+i)%2))
			}
			s.deliver(s.owners[0], placer.WorkersListed{Workers: s.workerList()})
			s.fillWorkers(s.owners[0], fmt.Sprintf("r%d", round), false)
			s.run(300 * time.Millisecond)
		}
		s.run(3 * time.Second)
		if n := s.startsWithoutRoom(); n > 0 {
			t.Errorf("seed %d: %d starts exceeded the capacity of their worker", seed, n)
		}
		s.checkNoViolations(t)
	}
}
