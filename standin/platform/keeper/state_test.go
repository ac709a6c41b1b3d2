package keeper_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/standin/platform/keeper"
)

var startTime = time.Unix(1_700_000_000, 0)

func timeAt(ms int64) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

func newState(change func(*keeper.Settings)) *keeper.State {
	s := keeper.DefaultSettings()
	s.UsageShuffleMs, s.UsageRepeatPercent = 0, 0
	if change != nil {
		change(&s)
	}
	return keeper.New(s)
}

func ptr(n int64) *int64 { return &n }

func applyControl(t *testing.T, s *keeper.State, now time.Time, c keeper.ControlRequest) {
	t.Helper()
	if err := s.ApplyControl(now, c); err != nil {
		t.Fatal(err)
	}
}

func appendRecord(t *testing.T, s *keeper.State, now time.Time, value string) (offset int64, replyLost bool) {
	t.Helper()
	offset, replyLost, err := s.Append(now, "config", json.RawMessage(value))
	if err != nil {
		t.Fatal(err)
	}
	return offset, replyLost
}

func wantErrorKind(t *testing.T, err *messenger.Error, kind messenger.ErrorKind) {
	t.Helper()
	if err == nil || err.Kind != kind {
		t.Fatalf("got %v, want kind %s", err, kind)
	}
}

func wantOffsets(t *testing.T, p messenger.LogPage, first, next int64, offsets ...int64) {
	t.Helper()
	got := []int64{}
	for _, r := range p.Records {
		got = append(got, r.Offset)
	}
	if p.First != first || p.Next != next || fmt.Sprint(got) != fmt.Sprint(offsets) {
		t.Fatalf("got first %d next %d offsets %v, want first %d next %d offsets %v", p.First, p.Next, got, first, next, offsets)
	}
}

func wantVMs(t *testing.T, list messenger.VMList, want ...string) {
	t.Helper()
	got := []string{}
	for _, vm := range list.VMs {
		text := vm.Address
		if vm.Leaving {
			text += " leaving"
		}
		got = append(got, text)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("got VMs %v, want %v", got, want)
	}
}

func TestLog(t *testing.T) {
	t.Run("pages start at the requested offset", func(t *testing.T) {
		s := newState(nil)
		for i := range int64(5) {
			appendRecord(t, s, timeAt(i*100), "1")
		}
		wantOffsets(t, s.Page(timeAt(500), "config", 0, 2), 0, 5, 0, 1)
		wantOffsets(t, s.Page(timeAt(500), "config", 3, 0), 0, 5, 3, 4)
		wantOffsets(t, s.Page(timeAt(500), "config", 9, 0), 0, 5)
		wantOffsets(t, s.Page(timeAt(500), "other", 0, 0), 0, 0)
	})
	t.Run("offsets are not reused after all records are dropped", func(t *testing.T) {
		s := newState(func(c *keeper.Settings) { c.RetentionMs = 1000 })
		appendRecord(t, s, timeAt(0), "1")
		appendRecord(t, s, timeAt(500), "2")
		wantOffsets(t, s.Page(timeAt(1000), "config", 0, 0), 1, 2, 1)
		wantOffsets(t, s.Page(timeAt(2000), "config", 0, 0), 2, 2)
		if offset, _ := appendRecord(t, s, timeAt(2000), "3"); offset != 2 {
			t.Fatalf("got offset %d, want 2", offset)
		}
	})
	t.Run("increasing the retention does not restore dropped records", func(t *testing.T) {
		s := newState(nil)
		appendRecord(t, s, timeAt(0), "1")
		applyControl(t, s, timeAt(100), keeper.ControlRequest{RetentionMs: ptr(50)})
		applyControl(t, s, timeAt(100), keeper.ControlRequest{RetentionMs: ptr(5000)})
		wantOffsets(t, s.Page(timeAt(100), "config", 0, 0), 1, 1)
	})
	t.Run("appends above the rate limit are rejected without effect", func(t *testing.T) {
		s := newState(func(c *keeper.Settings) { c.AppendsPerSecond = 10 })
		appendRecord(t, s, timeAt(0), "1")
		_, _, err := s.Append(timeAt(50), "config", json.RawMessage("2"))
		wantErrorKind(t, err, messenger.Overloaded)
		if err.RetryAfterMs <= 0 {
			t.Fatal("retryAfterMs is not set")
		}
		appendRecord(t, s, timeAt(100), "3")
		wantOffsets(t, s.Page(timeAt(100), "config", 0, 0), 0, 2, 0, 1)
	})
	t.Run("oversized and malformed records and appends to the usage stream are rejected", func(t *testing.T) {
		s := newState(func(c *keeper.Settings) { c.MaxRecordBytes = 16 })
		_, _, err := s.Append(timeAt(0), "config", json.RawMessage(`"0123456789abcdef"`))
		wantErrorKind(t, err, messenger.TooLarge)
		_, _, err = s.Append(timeAt(0), "config", json.RawMessage(`{`))
		wantErrorKind(t, err, messenger.BadRequest)
		_, _, err = s.Append(timeAt(0), keeper.UsageStream, json.RawMessage(`1`))
		wantErrorKind(t, err, messenger.Forbidden)
	})
	t.Run("a lost reply leaves the record in the log", func(t *testing.T) {
		s := newState(nil)
		applyControl(t, s, timeAt(0), keeper.ControlRequest{LoseReplies: ptr(1)})
		if _, replyLost := appendRecord(t, s, timeAt(0), "1"); !replyLost {
			t.Fatal("first reply was not lost")
		}
		if _, replyLost := appendRecord(t, s, timeAt(100), "2"); replyLost {
			t.Fatal("second reply was lost")
		}
		wantOffsets(t, s.Page(timeAt(100), "config", 0, 0), 0, 2, 0, 1)
	})
}

func TestLeases(t *testing.T) {
	vm := messenger.VM{Role: messenger.TargetVM, Address: "127.0.0.1:9000", FailureDomain: "kalimati"}
	takeLease := func(t *testing.T, s *keeper.State, now time.Time, vm messenger.VM, ttl int64) {
		t.Helper()
		if _, err := s.Lease(now, messenger.LeaseRequest{VM: vm, TTLMs: ttl}); err != nil {
			t.Fatal(err)
		}
	}
	withLag := func(c *keeper.Settings) { c.ListLagMs = 1000 }
	t.Run("the VM list follows lease grants and expiry after the lag", func(t *testing.T) {
		s := newState(withLag)
		takeLease(t, s, timeAt(0), vm, 3000)
		wantVMs(t, s.VMs(timeAt(999)))
		wantVMs(t, s.VMs(timeAt(1000)), vm.Address)
		wantVMs(t, s.VMs(timeAt(3999)), vm.Address)
		wantVMs(t, s.VMs(timeAt(4000)))
	})
	t.Run("renewal does not change the row or the generation", func(t *testing.T) {
		s := newState(withLag)
		for i := range int64(5) {
			takeLease(t, s, timeAt(i*2000), vm, 3000)
		}
		if list := s.VMs(timeAt(9000)); list.Generation != 1 {
			t.Fatalf("got generation %d, want 1", list.Generation)
		}
	})
	t.Run("release and leaving appear in the VM list after the lag", func(t *testing.T) {
		s := newState(withLag)
		takeLease(t, s, timeAt(0), vm, 9000)
		leaving := vm
		leaving.Leaving = true
		takeLease(t, s, timeAt(2000), leaving, 9000)
		wantVMs(t, s.VMs(timeAt(2500)), vm.Address)
		wantVMs(t, s.VMs(timeAt(3000)), vm.Address+" leaving")
		takeLease(t, s, timeAt(4000), leaving, 0)
		wantVMs(t, s.VMs(timeAt(5000)))
	})
	t.Run("a leaving override survives a renewal", func(t *testing.T) {
		s := newState(withLag)
		takeLease(t, s, timeAt(0), vm, 9000)
		applyControl(t, s, timeAt(100), keeper.ControlRequest{Leaving: map[string]bool{vm.Address: true}})
		takeLease(t, s, timeAt(200), vm, 9000)
		wantVMs(t, s.VMs(timeAt(2000)), vm.Address+" leaving")
		applyControl(t, s, timeAt(2000), keeper.ControlRequest{Leaving: map[string]bool{vm.Address: false}})
		wantVMs(t, s.VMs(timeAt(3000)), vm.Address)
	})
	t.Run("increasing the lag does not revert the VM list", func(t *testing.T) {
		s := newState(withLag)
		takeLease(t, s, timeAt(0), vm, 60_000)
		applyControl(t, s, timeAt(1000), keeper.ControlRequest{ListLagMs: ptr(9000)})
		wantVMs(t, s.VMs(timeAt(1000)), vm.Address)
	})
	t.Run("an invalid VM is rejected", func(t *testing.T) {
		_, err := newState(nil).Lease(timeAt(0), messenger.LeaseRequest{VM: messenger.VM{Role: "x"}, TTLMs: 1})
		wantErrorKind(t, err, messenger.BadRequest)
	})
}

func TestUsage(t *testing.T) {
	report := func(t *testing.T, s *keeper.State, now time.Time, id string) {
		t.Helper()
		if err := s.AddUsageReport(now, messenger.UsageReport{ID: id, Service: "orders", SlotMs: 5}); err != nil {
			t.Fatal(err)
		}
	}
	t.Run("a report is counted immediately and logged after the lag", func(t *testing.T) {
		s := newState(func(c *keeper.Settings) { c.UsageLagMs = 1000 })
		report(t, s, timeAt(0), "a")
		wantOffsets(t, s.Page(timeAt(999), "usage", 0, 0), 0, 0)
		wantOffsets(t, s.Page(timeAt(1000), "usage", 0, 0), 0, 1, 0)
		report(t, s, timeAt(2000), "a")
		if got := s.UsageTotals(timeAt(2000)); got.Reports != 1 || got.SlotMs["orders"] != 5 {
			t.Fatalf("duplicate report was counted twice: %+v", got)
		}
	})
	t.Run("totals are reset at the start of a UTC day", func(t *testing.T) {
		s := newState(func(*keeper.Settings) {})
		report(t, s, timeAt(0), "a")
		nextDay := timeAt(0).Add(24 * time.Hour)
		if got := s.UsageTotals(nextDay); got.Reports != 0 || got.SlotMs["orders"] != 0 {
			t.Fatalf("usage of the previous day was counted: %+v", got)
		}
		report(t, s, nextDay, "b")
		if got := s.UsageTotals(nextDay); got.Reports != 1 || got.SlotMs["orders"] != 5 {
			t.Fatalf("got %+v, want one report", got)
		}
	})
	t.Run("duplicates and reordering affect the log but not the totals", func(t *testing.T) {
		s := newState(func(c *keeper.Settings) { c.UsageShuffleMs, c.UsageRepeatPercent = 500, 100 })
		for i := range int64(20) {
			report(t, s, timeAt(i), fmt.Sprint(i))
		}
		page := s.Page(timeAt(10_000), "usage", 0, 0)
		appearances := map[string]int{}
		sorted := true
		last := ""
		for _, r := range page.Records {
			var u messenger.UsageReport
			if err := json.Unmarshal(r.Value, &u); err != nil {
				t.Fatal(err)
			}
			sorted = sorted && last <= u.ID
			last = u.ID
			appearances[u.ID]++
		}
		if len(page.Records) != 40 || len(appearances) != 20 || sorted || s.UsageTotals(timeAt(10_000)).Reports != 20 {
			t.Fatalf("got %d records of %d reports, sorted %v, totals %+v", len(page.Records), len(appearances), sorted, s.UsageTotals(timeAt(10_000)))
		}
	})
}

func TestControl(t *testing.T) {
	t.Run("an outage affects only its own component", func(t *testing.T) {
		s := newState(nil)
		applyControl(t, s, timeAt(0), keeper.ControlRequest{Outage: map[keeper.Component]keeper.Outage{keeper.LogComponent: keeper.Hang}})
		if s.CheckOutage(keeper.LogComponent) != keeper.Hang || s.CheckOutage(keeper.VMsComponent) != keeper.NoOutage {
			t.Fatal("outage applied to the wrong component")
		}
		applyControl(t, s, timeAt(0), keeper.ControlRequest{Outage: map[keeper.Component]keeper.Outage{keeper.LogComponent: keeper.NoOutage}})
		if s.CheckOutage(keeper.LogComponent) != keeper.NoOutage {
			t.Fatal("outage did not end")
		}
	})
	t.Run("an invalid request changes nothing", func(t *testing.T) {
		s := newState(nil)
		err := s.ApplyControl(timeAt(0), keeper.ControlRequest{
			Outage:           map[keeper.Component]keeper.Outage{"disk": keeper.Refuse},
			AppendsPerSecond: ptr(7),
			RetentionMs:      ptr(-1),
		})
		if err == nil || s.ControlStatus(timeAt(0)).Settings.AppendsPerSecond == 7 {
			t.Fatalf("got error %v, or a partially applied request", err)
		}
	})
}
