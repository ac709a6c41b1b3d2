package spiller_test

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/spiller"
)

func newState(now time.Time) *spiller.State {
	var s spiller.State
	s.Record(now, spiller.Neighbour{Group: "patan", Owner: "a", FreeCPU: 300})
	s.Record(now, spiller.Neighbour{Group: "kirtipur", Owner: "b", FreeCPU: 600})
	return &s
}

func checkChoice(t *testing.T, s *spiller.State, now time.Time, cpu int64, want string) {
	t.Helper()
	if n, _ := s.Choose(now, cpu); n.Owner != want {
		t.Errorf("chose %q, want %q", n.Owner, want)
	}
}

// TestRecord guards against a group that comes back into reach unnoticed.
func TestRecord(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	for name, c := range map[string]struct {
		after time.Duration
		n     spiller.Neighbour
		want  bool
	}{
		"next report":       {300 * time.Millisecond, spiller.Neighbour{Group: "patan", Owner: "a"}, false},
		"older report":      {300 * time.Millisecond, spiller.Neighbour{Group: "patan", Owner: "c", AgeMs: 400}, false},
		"new owner":         {300 * time.Millisecond, spiller.Neighbour{Group: "patan", Owner: "c"}, true},
		"new group":         {300 * time.Millisecond, spiller.Neighbour{Group: "thimi", Owner: "d"}, true},
		"after its silence": {1100 * time.Millisecond, spiller.Neighbour{Group: "patan", Owner: "a"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := newState(now).Record(now.Add(c.after), c.n); got != c.want {
				t.Errorf("back in reach: %v, want %v", got, c.want)
			}
		})
	}
}

// TestChoose guards against sending jobs to a failure domain without enough
// free CPU for them or without recent reports.
func TestChoose(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	t.Run("most free CPU", func(t *testing.T) { checkChoice(t, newState(now), now, 100, "b") })
	t.Run("not enough free CPU", func(t *testing.T) { checkChoice(t, newState(now), now, 201, "") })
	t.Run("outdated report", func(t *testing.T) { checkChoice(t, newState(now), now.Add(1100*time.Millisecond), 100, "") })
	t.Run("older report is ignored", func(t *testing.T) {
		s := newState(now)
		s.Record(now, spiller.Neighbour{Group: "kirtipur", Owner: "c", FreeCPU: 9000, AgeMs: 500})
		checkChoice(t, s, now, 100, "b")
	})
	t.Run("sent jobs are subtracted from the report", func(t *testing.T) {
		s := newState(now)
		s.Deduct("kirtipur", 400)
		checkChoice(t, s, now, 100, "a")
	})
}
