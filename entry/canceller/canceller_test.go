package canceller_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/canceller"
)

var start = time.Unix(1_700_000_000, 0)

func checkFound(t *testing.T, s *canceller.State, now time.Time, jobID string, want bool) {
	t.Helper()
	if got := s.Found(now, jobID, "e"); got != want {
		t.Errorf("job %s counts as cancelled: %v, want %v", jobID, got, want)
	}
}

// TestRetention guards against a cancelling that is forgotten while its job may still
// arrive, and against one that is kept for good.
func TestRetention(t *testing.T) {
	for name, c := range map[string]struct {
		// ages holds the ages with which the cancelling was learned.
		ages  []time.Duration
		after time.Duration
		want  bool
	}{
		"never added":        {nil, 0, false},
		"just added":         {[]time.Duration{0}, 0, true},
		"within its time":    {[]time.Duration{0}, canceller.Retention, true},
		"after its time":     {[]time.Duration{0}, canceller.Retention + 1, false},
		"handed on late":     {[]time.Duration{20 * time.Second}, canceller.Retention - 20*time.Second + 1, false},
		"learned twice":      {[]time.Duration{20 * time.Second, 10 * time.Second}, canceller.Retention - 10*time.Second, true},
		"learned again late": {[]time.Duration{10 * time.Second, 20 * time.Second}, canceller.Retention - 10*time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			var s canceller.State
			for _, age := range c.ages {
				s.Add(start, start.Add(-age), "a")
			}
			checkFound(t, &s, start.Add(c.after), "a", c.want)
		})
	}
}

// TestMemoryIsBounded guards against a wave of cancellings that fills the memory.
func TestMemoryIsBounded(t *testing.T) {
	var s canceller.State
	for i := range canceller.MaxIDs + 10 {
		s.Add(start, start, fmt.Sprint(i))
	}
	if n := len(s.List(start)); n != canceller.MaxIDs {
		t.Errorf("%d cancellings are remembered, want %d", n, canceller.MaxIDs)
	}
	checkFound(t, &s, start, "9", false)
	checkFound(t, &s, start, "10", true)
	s.Add(start.Add(canceller.Retention+1), start.Add(canceller.Retention+1), "new")
	if n := len(s.List(start.Add(canceller.Retention + 1))); n != 1 {
		t.Errorf("%d cancellings are remembered after their time, want only the new one", n)
	}
}

// TestEntry guards against naming an entry for a job that nobody saw, or none for one
// that was cancelled again later.
func TestEntry(t *testing.T) {
	checkEntry := func(t *testing.T, s *canceller.State, now time.Time, want string) {
		t.Helper()
		if got, ok := s.Entry(now, "a"); got != want || ok != (want != "") {
			t.Errorf("entry %q (%v), want %q", got, ok, want)
		}
	}
	var s canceller.State
	checkEntry(t, &s, start, "")
	s.Add(start, start, "a")
	checkEntry(t, &s, start, "")
	checkFound(t, &s, start, "a", true)
	checkEntry(t, &s, start, "e")
	end := start.Add(canceller.Retention + 1)
	checkEntry(t, &s, end, "")
	s.Add(end, end, "a")
	checkEntry(t, &s, end, "")
}

// TestHandOn guards against a cancelling that becomes younger with each entry that
// learns of it.
func TestHandOn(t *testing.T) {
	var s canceller.State
	s.Add(start, start.Add(-3*time.Second), "a")
	list := s.List(start.Add(2 * time.Second))
	if len(list) != 1 || list[0] != (canceller.Cancelling{JobID: "a", AgeMs: 5000}) {
		t.Fatalf("handed on %v, want job a with an age of 5 s", list)
	}
	for name, c := range map[string]struct {
		ageMs int64
		want  time.Time
	}{
		"age":            {5000, start.Add(-5 * time.Second)},
		"negative age":   {math.MinInt64, start},
		"impossible age": {math.MaxInt64, start.Add(-2 * canceller.Retention)},
	} {
		t.Run(name, func(t *testing.T) {
			if got := (canceller.Cancelling{AgeMs: c.ageMs}).At(start); !got.Equal(c.want) {
				t.Errorf("cancelled at %v, want %v", got, c.want)
			}
		})
	}
}

// TestDecide guards against the answer that there is no such job while an owner may
// know it or get it, and against one that it was cancelled while it may run on.
func TestDecide(t *testing.T) {
	known := canceller.Reply{Known: true, CallerEntry: "e", Settled: true}
	unknown := canceller.Reply{Settled: true}
	silent := canceller.Reply{}
	for name, c := range map[string]struct {
		replies           []canceller.Reply
		ended             bool
		want, wantAtLimit canceller.Outcome
	}{
		"known to nobody":                      {[]canceller.Reply{unknown, unknown}, false, canceller.NoSuchJob, canceller.NoSuchJob},
		"an owner is silent or new":            {[]canceller.Reply{unknown, silent}, false, canceller.Undecided, canceller.Undecided},
		"ended by its caller's entry":          {[]canceller.Reply{known, unknown}, true, canceller.Cancelled, canceller.Cancelled},
		"ended beside a silent owner":          {[]canceller.Reply{known, silent}, true, canceller.Cancelled, canceller.Cancelled},
		"its caller's entry is silent":         {[]canceller.Reply{known, unknown}, false, canceller.Undecided, canceller.Cancelled},
		"known to an owner that is new":        {[]canceller.Reply{{Known: true, CallerEntry: "e"}}, false, canceller.Undecided, canceller.Cancelled},
		"held here, and its owner is silent":   {[]canceller.Reply{silent}, true, canceller.Cancelled, canceller.Cancelled},
		"no owner is in reach of the question": {nil, false, canceller.NoSuchJob, canceller.NoSuchJob},
	} {
		t.Run(name, func(t *testing.T) {
			if got := canceller.Decide(c.replies, c.ended, false); got != c.want {
				t.Errorf("outcome %d, want %d", got, c.want)
			}
			if got := canceller.Decide(c.replies, c.ended, true); got != c.wantAtLimit {
				t.Errorf("outcome %d at the time limit, want %d", got, c.wantAtLimit)
			}
		})
	}
}

// TestReach guards against an owner that is asked before it knows the jobs of its
// predecessor, and against cancellings that wait for a group that is gone.
func TestReach(t *testing.T) {
	if canceller.Settled(start.Add(900*time.Millisecond), start) || !canceller.Settled(start.Add(time.Second), start) {
		t.Error("an owner counts as settled before 1 s, or not after it")
	}
	if !canceller.InReach(2*time.Second) || canceller.InReach(2*time.Second+1) {
		t.Error("a group is in reach for longer than 2 s of silence, or for less")
	}
}
