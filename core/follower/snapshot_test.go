package follower

import (
	"fmt"
	"testing"
	"time"
)

// TestSnapshotDue guards against a log whose every starting point is forgotten
// while its readers believe that one is left.
func TestSnapshotDue(t *testing.T) {
	const random = 0.5
	third, delay := retention/snapshotAge, retention/snapshotSpread/2
	var l fakeLog
	l.add(epoch, Record{Kind: Change, ChangeID: "c1", Configuration: config(1)})
	s := New()
	fold := func(now time.Time) {
		t.Helper()
		if _, err := s.Fold(now, l.page(now, s.Want(), 100)); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(what string, want time.Time) {
		t.Helper()
		if due, ok := s.SnapshotDue(random); !ok || !due.Equal(want) {
			t.Errorf("%s: due %s %v, want %s", what, due, ok, want)
		}
	}
	if _, ok := s.SnapshotDue(random); ok {
		t.Error("a reader without a version has a snapshot to publish")
	}
	fold(epoch)
	expect("first change", epoch.Add(third+delay))

	at := epoch.Add(30 * time.Minute)
	l.add(at, Record{Kind: Change, ChangeID: "c2", Base: "c1", Configuration: config(2)})
	fold(at)
	expect("a change is no starting point", epoch.Add(third+delay))

	l.add(at.Add(time.Minute), l.snapshotAt(0))
	fold(at.Add(time.Minute))
	expect("a late snapshot is as old as the record after its readThrough", at.Add(third+delay))

	at = at.Add(2 * time.Minute)
	l.add(at, l.snapshotAt(2))
	fold(at)
	expect("another reader's snapshot", at.Add(third+delay))

	at = at.Add(time.Minute)
	l.add(at, l.snapshotAt(3))
	l.first = 4
	fold(at)
	l.first = 5
	fold(at.Add(time.Minute))
	expect("every starting point is forgotten", at.Add(time.Minute+urgentSpread/2))
}

// TestSnapshotDueAfterAdopt guards against readers that all learned their state
// from each other and all rely on another one to publish.
func TestSnapshotDueAfterAdopt(t *testing.T) {
	var l fakeLog
	l.add(epoch, Record{Kind: Change, ChangeID: "c1", Configuration: config(1)})
	l.add(epoch, l.snapshotAt(0))
	l.first = 1
	s := New()
	s.Adopt(Accepted{Version: 1, ChangeID: "c1", ReadThrough: 1, Configuration: config(1)})
	if _, err := s.Fold(epoch, l.page(epoch, s.Want(), 10)); err != nil {
		t.Fatal(err)
	}
	due, ok := s.SnapshotDue(1)
	if want := epoch.Add(retention / snapshotSpread); !ok || !due.Equal(want) {
		t.Errorf("due %s %v, want %s", due, ok, want)
	}
}

// TestSnapshotDueByLength guards against a log in which a reader without state
// has to read a long way.
func TestSnapshotDueByLength(t *testing.T) {
	var l fakeLog
	base := ""
	for i := range snapshotRecords {
		id := fmt.Sprint("c", i)
		l.add(epoch, Record{Kind: Change, ChangeID: id, Base: base, Configuration: config(i)})
		base = id
	}
	s := New()
	expect := func(limit int, want time.Duration) {
		t.Helper()
		if _, err := s.Fold(epoch, l.page(epoch, s.Want(), limit)); err != nil {
			t.Fatal(err)
		}
		if due, ok := s.SnapshotDue(0.5); !ok || due.Sub(epoch) != want {
			t.Errorf("due after %s %v, want %s", due.Sub(epoch), ok, want)
		}
	}
	usual := retention/snapshotAge + retention/snapshotSpread/2
	expect(snapshotRecords-1, usual)
	expect(1, lengthSpread/2)
	l.add(epoch, l.snapshotAt(snapshotRecords-1))
	expect(1, usual)
}
