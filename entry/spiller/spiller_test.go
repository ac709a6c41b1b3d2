package spiller_test

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/spiller"
)

func learned(now time.Time) *spiller.State {
	var s spiller.State
	s.Learn(now, spiller.Neighbour{FailureDomain: "patan", Owner: "a", FreeCPU: 300})
	s.Learn(now, spiller.Neighbour{FailureDomain: "kirtipur", Owner: "b", FreeCPU: 600})
	return &s
}

func checkChoice(t *testing.T, s *spiller.State, now time.Time, cpu int64, want string) {
	t.Helper()
	if n, _ := s.Choose(now, cpu); n.Owner != want {
		t.Errorf("chose %q, want %q", n.Owner, want)
	}
}

// Guards against jobs sent to a failure domain that has no room for them, or of
// which nothing was heard.
func TestChoose(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	t.Run("the emptiest", func(t *testing.T) { checkChoice(t, learned(now), now, 100, "b") })
	t.Run("no room", func(t *testing.T) { checkChoice(t, learned(now), now, 201, "") })
	t.Run("old news", func(t *testing.T) { checkChoice(t, learned(now), now.Add(1100*time.Millisecond), 100, "") })
	t.Run("older news is ignored", func(t *testing.T) {
		s := learned(now)
		s.Learn(now, spiller.Neighbour{FailureDomain: "kirtipur", Owner: "c", FreeCPU: 9000, AgeMs: 500})
		checkChoice(t, s, now, 100, "b")
	})
	t.Run("a burst does not follow one piece of news", func(t *testing.T) {
		s := learned(now)
		s.Spend("kirtipur", 400)
		checkChoice(t, s, now, 100, "a")
	})
}
