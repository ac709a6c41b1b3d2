package follower

import (
	"fmt"
	"testing"
	"time"
)

// TestSnapshotDue guards against publishing snapshots so late that retention
// removes the last starting point from the log.
func TestSnapshotDue(t *testing.T) {
	const random = 0.5
	third, delay := retention/renewalDivisor, retention/jitterDivisor/2
	var l fakeLog
	l.add(epoch, Record{Kind: Change, ChangeID: "c1", Configuration: config(1)})
	s := New()
	applyLog := func(now time.Time) {
		t.Helper()
		if _, err := s.ApplyPage(now, l.page(now, s.NextOffset(), 100)); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(what string, want time.Time) {
		t.Helper()
		if due, ok := s.SnapshotDue(random); !ok || !due.Equal(want) {
			t.Errorf("%s: got due time %s (%t), want %s", what, due, ok, want)
		}
	}
	if _, ok := s.SnapshotDue(random); ok {
		t.Error("a snapshot is due although no version is in force")
	}
	applyLog(epoch)
	expect("first change", epoch.Add(third+delay))

	at := epoch.Add(30 * time.Minute)
	l.add(at, Record{Kind: Change, ChangeID: "c2", Base: "c1", Configuration: config(2)})
	applyLog(at)
	expect("a change is not a starting point", epoch.Add(third+delay))

	l.add(at.Add(time.Minute), l.snapshotAt(0))
	applyLog(at.Add(time.Minute))
	expect("a snapshot's age is that of the record after its readThrough", at.Add(third+delay))

	at = at.Add(2 * time.Minute)
	l.add(at, l.snapshotAt(2))
	applyLog(at)
	expect("another reader's snapshot", at.Add(third+delay))

	at = at.Add(time.Minute)
	l.add(at, l.snapshotAt(3))
	l.first = 4
	applyLog(at)
	l.first = 5
	applyLog(at.Add(time.Minute))
	expect("all starting points have expired", at.Add(time.Minute+maxUrgentJitter/2))
}

// TestSnapshotDueAfterAdopt guards against a log without new snapshots because
// all readers adopted their state from peers and each waits for another one to
// publish.
func TestSnapshotDueAfterAdopt(t *testing.T) {
	var l fakeLog
	l.add(epoch, Record{Kind: Change, ChangeID: "c1", Configuration: config(1)})
	l.add(epoch, l.snapshotAt(0))
	l.first = 1
	s := New()
	s.Adopt(Accepted{Version: 1, ChangeID: "c1", ReadThrough: 1, Configuration: config(1)})
	if _, err := s.ApplyPage(epoch, l.page(epoch, s.NextOffset(), 10)); err != nil {
		t.Fatal(err)
	}
	due, ok := s.SnapshotDue(1)
	if want := epoch.Add(retention / jitterDivisor); !ok || !due.Equal(want) {
		t.Errorf("got due time %s (%t), want %s", due, ok, want)
	}
}

// TestSnapshotDueByLength guards against readers without state that have to
// replay many records because no snapshot was published in between.
func TestSnapshotDueByLength(t *testing.T) {
	var l fakeLog
	base := ""
	for i := range maxReplayRecords {
		id := fmt.Sprint("c", i)
		l.add(epoch, Record{Kind: Change, ChangeID: id, Base: base, Configuration: config(i)})
		base = id
	}
	s := New()
	expect := func(limit int, want time.Duration) {
		t.Helper()
		if _, err := s.ApplyPage(epoch, l.page(epoch, s.NextOffset(), limit)); err != nil {
			t.Fatal(err)
		}
		if due, ok := s.SnapshotDue(0.5); !ok || due.Sub(epoch) != want {
			t.Errorf("got due after %s (%t), want %s", due.Sub(epoch), ok, want)
		}
	}
	usual := retention/renewalDivisor + retention/jitterDivisor/2
	expect(maxReplayRecords-1, usual)
	expect(1, maxLengthJitter/2)
	l.add(epoch, l.snapshotAt(maxReplayRecords-1))
	expect(1, usual)
}
