package publisher

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/follower"
)

func newLog(records ...follower.Record) *faultyLog {
	l := &faultyLog{rng: rand.New(rand.NewSource(1)), pageLimit: 2}
	for _, r := range records {
		l.values = append(l.values, encode(r))
	}
	return l
}

func changes(ids ...string) []follower.Record {
	var list []follower.Record
	base := ""
	for i, id := range ids {
		list = append(list, follower.Record{Kind: follower.Change, ChangeID: id, Base: base, Configuration: config(i + 1)})
		base = id
	}
	return list
}

// TestFollowShowsOnlyTheEnd guards against an entry that puts an old version in
// force for a moment while it reads the log for the first time.
func TestFollowShowsOnlyTheEnd(t *testing.T) {
	l := newLog(changes("a", "b", "c", "d", "e")...)
	r := NewReader(l.log(), 0)
	l.faults = 60
	for l.faults > 0 {
		step, err := r.Follow(t.Context(), epoch)
		if err == nil {
			l.faults = 0
		}
		if v := r.Present().Version; v != 0 && v != 5 {
			t.Fatalf("version %d is shown", v)
		}
		if step.Changed != (err == nil) {
			t.Fatalf("changed %t with error %v", step.Changed, err)
		}
	}
	if step, err := r.Follow(t.Context(), epoch); step.Changed || err != nil || step.Present.Version != 5 {
		t.Errorf("second step: %+v %v", step, err)
	}
}

// TestFollowWithoutStart guards against a reader that starts in the middle of
// the history, and against one that never recovers.
func TestFollowWithoutStart(t *testing.T) {
	l := newLog(changes("a", "b", "c")...)
	l.first = 1
	r := NewReader(l.log(), 0)
	for range 2 {
		if _, err := r.Follow(t.Context(), epoch); !errors.Is(err, ErrNoStart) {
			t.Fatalf("error %v, want ErrNoStart", err)
		}
	}
	if !r.Adopt(follower.Accepted{Version: 2, ChangeID: "b", ReadThrough: 1, Configuration: config(2)}) {
		t.Fatal("the peer's version was not adopted")
	}
	step, err := r.Follow(t.Context(), epoch)
	if err != nil || !step.Changed || step.Present.ChangeID != "c" {
		t.Errorf("after adopting: %+v %v", step, err)
	}
}

// TestPublishSnapshot guards against a log that forgets its only starting
// point, and against readers that all publish one.
func TestPublishSnapshot(t *testing.T) {
	l := newLog(changes("a", "b")...)
	r, other := NewReader(l.log(), 0), NewReader(l.log(), 1)
	step := func(r *Reader, now time.Time, want bool) {
		t.Helper()
		if _, err := r.Follow(t.Context(), now); err != nil {
			t.Fatal(err)
		}
		if tried, err := r.PublishSnapshot(t.Context(), now); tried != want || err != nil {
			t.Errorf("at %s: tried %t, error %v; want %t", now.Sub(epoch), tried, err, want)
		}
	}
	step(r, epoch, false)
	step(other, epoch, false)
	later := epoch.Add(21 * time.Minute)
	step(r, later, true)
	step(other, later.Add(20*time.Minute), false)
	l.first = 2
	fresh := NewReader(l.log(), 0)
	if got, err := fresh.Follow(t.Context(), later); err != nil || got.Present.Version != 2 {
		t.Errorf("a new reader: %+v %v", got, err)
	}
}
