package placer_test

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/placer"
)

// Guards against fences that rise with each claim, though none was refused, and
// against a new owner that takes long to get above the fences of the last one:
// after a planned stop no worker was owned for 15 s.
func TestFences(t *testing.T) {
	const wall = 1_700_000_000_000
	t.Run("claims without a refusal", func(t *testing.T) {
		s := newSimulation(1, 4, 1)
		for range 100 {
			s.tell(s.owners[0], placer.Claim{WallMs: wall})
			s.run(10 * time.Millisecond)
		}
		if got := s.owners[0].state.Fence() >> 10; got != wall {
			t.Errorf("the fence is at %d ms after 100 claims, want %d", got, int64(wall))
		}
	})
	t.Run("known fences", func(t *testing.T) {
		s := newSimulation(1, 4, 2)
		s.tell(s.owners[0], placer.Claim{WallMs: wall + 3_600_000})
		s.run(100 * time.Millisecond)
		s.tell(s.owners[1], placer.Claim{WallMs: wall, Above: s.owners[0].state.Fence()})
		s.run(100 * time.Millisecond)
		checkReached(t, s, s.owners[1], 4)
	})
	t.Run("unknown fences", func(t *testing.T) {
		s := newSimulation(1, 4, 2)
		s.reclaims = true
		s.tell(s.owners[0], placer.Claim{WallMs: wall + 60_000})
		s.run(100 * time.Millisecond)
		s.owners[0].dead = true
		s.tell(s.owners[1], placer.Claim{WallMs: wall})
		s.run(2 * time.Second)
		checkReached(t, s, s.owners[1], 4)
	})
}

func checkReached(t *testing.T, s *simulation, o *owner, want int) {
	t.Helper()
	if got, _ := o.state.Reached(s.now); got != want {
		t.Errorf("%d workers are owned, want %d", got, want)
	}
}
