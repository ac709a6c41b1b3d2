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

// TestFollowHidesIntermediateVersions guards against an entry that temporarily
// puts an old version into force while it reads the log for the first time.
func TestFollowHidesIntermediateVersions(t *testing.T) {
	l := newLog(changes("a", "b", "c", "d", "e")...)
	r := NewReader(l.log(), 0)
	l.faultPercent = 60
	for l.faultPercent > 0 {
		step, err := r.Follow(t.Context(), epoch)
		if err == nil {
			l.faultPercent = 0
		}
		if v := r.Current().Version; v != 0 && v != 5 {
			t.Fatalf("got current version %d, want 0 or 5", v)
		}
		if step.Changed != (err == nil) {
			t.Fatalf("got changed %t with error %v", step.Changed, err)
		}
	}
	if step, err := r.Follow(t.Context(), epoch); step.Changed || err != nil || step.Current.Version != 5 {
		t.Errorf("second call: got %+v, error %v", step, err)
	}
}

// TestFollowWithoutStartingPoint guards against a reader that applies changes
// although the log has lost earlier ones, and against one that never recovers.
func TestFollowWithoutStartingPoint(t *testing.T) {
	l := newLog(changes("a", "b", "c")...)
	l.first = 1
	r := NewReader(l.log(), 0)
	for range 2 {
		if _, err := r.Follow(t.Context(), epoch); !errors.Is(err, ErrNoStartingPoint) {
			t.Fatalf("got error %v, want ErrNoStartingPoint", err)
		}
	}
	if !r.Adopt(follower.Accepted{Version: 2, ChangeID: "b", ReadThrough: 1, Configuration: config(2)}) {
		t.Fatal("the peer state was not adopted")
	}
	step, err := r.Follow(t.Context(), epoch)
	if err != nil || !step.Changed || step.Current.ChangeID != "c" {
		t.Errorf("after adopting the peer state: got %+v, error %v", step, err)
	}
}

// TestPublishSnapshot guards against retention that removes the only starting
// point from the log, and against several readers that publish the same snapshot.
func TestPublishSnapshot(t *testing.T) {
	l := newLog(changes("a", "b")...)
	r, other := NewReader(l.log(), 0), NewReader(l.log(), 1)
	step := func(r *Reader, now time.Time, want bool) {
		t.Helper()
		if _, err := r.Follow(t.Context(), now); err != nil {
			t.Fatal(err)
		}
		if tried, err := r.PublishSnapshot(t.Context(), now); tried != want || err != nil {
			t.Errorf("at %s: got tried %t, error %v; want %t", now.Sub(epoch), tried, err, want)
		}
	}
	step(r, epoch, false)
	step(other, epoch, false)
	later := epoch.Add(21 * time.Minute)
	step(r, later, true)
	step(other, later.Add(20*time.Minute), false)
	l.first = 2
	fresh := NewReader(l.log(), 0)
	if got, err := fresh.Follow(t.Context(), later); err != nil || got.Current.Version != 2 {
		t.Errorf("new reader: got %+v, error %v", got, err)
	}
}
