package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// BenchmarkOverload measures the CPU time per job at an owner of 87 workers
// that receives jobs for about 1.3 times their total CPU. The simulation is
// included.
func BenchmarkOverload(b *testing.B) {
	s := newSimulation(1, 87, 1)
	s.deliver(s.owners[0], placer.Claim{WallMs: 1_700_000_000_000})
	s.run(100 * time.Millisecond)
	b.ResetTimer()
	for i := range b.N {
		s.run(time.Duration(s.random.Int63n(int64(4 * time.Millisecond))))
		tasks, work := 2, 200*time.Millisecond
		switch p := s.random.Intn(100); {
		case p < 5:
			tasks, work = 4, 900*time.Millisecond
		case p < 30:
			tasks, work = 8, 60*time.Millisecond
		}
		cpu := 17000 + s.random.Int63n(24000)
		s.submit(s.owners[0], newJob(fmt.Sprintf("j%07d", i), tasks, cpu, work.Milliseconds()), executor.Task{CPU: cpu, Duration: work})
	}
}
