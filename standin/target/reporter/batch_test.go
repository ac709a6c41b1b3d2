package reporter_test

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/standin/target/reporter"
)

func wantNext(t *testing.T, b *reporter.Batch, id string, slotMs int64) {
	t.Helper()
	r, ok := b.Next()
	if !ok || r.ID != id || r.SlotMs != slotMs {
		t.Fatalf("got %+v, %v; want %s with %d ms", r, ok, id, slotMs)
	}
}

// TestBatch guards against usage that is lost or reported under two ids, either
// of which makes the spent allowance permanently wrong.
func TestBatch(t *testing.T) {
	t.Run("fractions of a millisecond carry over to the next report", func(t *testing.T) {
		b := &reporter.Batch{IDPrefix: "p"}
		b.Add(1500 * time.Microsecond)
		b.QueueReport()
		wantNext(t, b, "p-1", 1)
		b.Add(1500 * time.Microsecond)
		b.QueueReport()
		wantNext(t, b, "p-1", 1)
		b.Confirm("p-1")
		wantNext(t, b, "p-2", 2)
	})
	t.Run("no usage is lost during a platform outage", func(t *testing.T) {
		b := &reporter.Batch{IDPrefix: "p"}
		for range 1000 {
			b.Add(time.Millisecond)
			b.QueueReport()
		}
		total := int64(0)
		for r, ok := b.Next(); ok; r, ok = b.Next() {
			total += r.SlotMs
			b.Confirm(r.ID)
			b.QueueReport()
		}
		if total != 1000 {
			t.Fatalf("got %d ms reported, want 1000", total)
		}
	})
}
