package keeper_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/standin/platform/keeper"
)

var start = time.Unix(1_700_000_000, 0)

func after(ms int64) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newState(change func(*keeper.Settings)) *keeper.State {
	s := keeper.DefaultSettings()
	s.UsageShuffleMs, s.UsageRepeatPercent = 0, 0
	if change != nil {
		change(&s)
	}
	return keeper.New(s)
}

func number(n int64) *int64 { return &n }

func control(t *testing.T, s *keeper.State, now time.Time, c keeper.Change) {
	t.Helper()
	if err := s.Control(now, c); err != nil {
		t.Fatal(err)
	}
}

func appendOne(t *testing.T, s *keeper.State, now time.Time, value string) (offset int64, lost bool) {
	t.Helper()
	offset, lost, err := s.Append(now, "config", json.RawMessage(value))
	if err != nil {
		t.Fatal(err)
	}
	return offset, lost
}

func wantRefusal(t *testing.T, err *messenger.Error, kind messenger.Kind) {
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
	t.Run("pages follow offsets", func(t *testing.T) {
		s := newState(nil)
		for i := range int64(5) {
			appendOne(t, s, after(i*100), "1")
		}
		wantOffsets(t, s.Page(after(500), "config", 0, 2), 0, 5, 0, 1)
		wantOffsets(t, s.Page(after(500), "config", 3, 0), 0, 5, 3, 4)
		wantOffsets(t, s.Page(after(500), "config", 9, 0), 0, 5)
		wantOffsets(t, s.Page(after(500), "other", 0, 0), 0, 0)
	})
	t.Run("offsets are not used again after everything is forgotten", func(t *testing.T) {
		s := newState(func(c *keeper.Settings) { c.RetentionMs = 1000 })
		appendOne(t, s, after(0), "1")
		appendOne(t, s, after(500), "2")
		wantOffsets(t, s.Page(after(1000), "config", 0, 0), 1, 2, 1)
		wantOffsets(t, s.Page(after(2000), "config", 0, 0), 2, 2)
		if offset, _ := appendOne(t, s, after(2000), "3"); offset != 2 {
			t.Fatalf("got offset %d, want 2", offset)
		}
	})
	t.Run("a longer retention brings nothing back", func(t *testing.T) {
		s := newState(nil)
		appendOne(t, s, after(0), "1")
		control(t, s, after(100), keeper.Change{RetentionMs: number(50)})
		control(t, s, after(100), keeper.Change{RetentionMs: number(5000)})
		wantOffsets(t, s.Page(after(100), "config", 0, 0), 1, 1)
	})
	t.Run("appends over the limit are refused without effect", func(t *testing.T) {
		s := newState(func(c *keeper.Settings) { c.AppendsPerSecond = 10 })
		appendOne(t, s, after(0), "1")
		_, _, err := s.Append(after(50), "config", json.RawMessage("2"))
		wantRefusal(t, err, messenger.Overloaded)
		if err.RetryAfterMs <= 0 {
			t.Fatal("no retry advice")
		}
		appendOne(t, s, after(100), "3")
		wantOffsets(t, s.Page(after(100), "config", 0, 0), 0, 2, 0, 1)
	})
	t.Run("large, malformed and foreign usage records are refused", func(t *testing.T) {
		s := newState(func(c *keeper.Settings) { c.MaxRecordBytes = 16 })
		_, _, err := s.Append(after(0), "config", json.RawMessage(`"0123456789abcdef"`))
		wantRefusal(t, err, messenger.TooLarge)
		_, _, err = s.Append(after(0), "config", json.RawMessage(`{`))
		wantRefusal(t, err, messenger.BadRequest)
		_, _, err = s.Append(after(0), keeper.UsageStream, json.RawMessage(`1`))
		wantRefusal(t, err, messenger.Forbidden)
	})
	t.Run("a lost reply leaves the record in the log", func(t *testing.T) {
		s := newState(nil)
		control(t, s, after(0), keeper.Change{LoseReplies: number(1)})
		if _, lost := appendOne(t, s, after(0), "1"); !lost {
			t.Fatal("the first reply was not lost")
		}
		if _, lost := appendOne(t, s, after(100), "2"); lost {
			t.Fatal("the second reply was lost")
		}
		wantOffsets(t, s.Page(after(100), "config", 0, 0), 0, 2, 0, 1)
	})
}

func TestLeases(t *testing.T) {
	vm := messenger.VM{Role: messenger.TargetVM, Address: "127.0.0.1:9000", FailureDomain: "kalimati"}
	take := func(t *testing.T, s *keeper.State, now time.Time, vm messenger.VM, ttl int64) {
		t.Helper()
		if _, err := s.Lease(now, messenger.LeaseRequest{VM: vm, TTLMs: ttl}); err != nil {
			t.Fatal(err)
		}
	}
	lag := func(c *keeper.Settings) { c.ListLagMs = 1000 }
	t.Run("the list lags behind taking and expiry", func(t *testing.T) {
		s := newState(lag)
		take(t, s, after(0), vm, 3000)
		wantVMs(t, s.VMs(after(999)))
		wantVMs(t, s.VMs(after(1000)), vm.Address)
		wantVMs(t, s.VMs(after(3999)), vm.Address)
		wantVMs(t, s.VMs(after(4000)))
	})
	t.Run("renewal keeps the row and the generation", func(t *testing.T) {
		s := newState(lag)
		for i := range int64(5) {
			take(t, s, after(i*2000), vm, 3000)
		}
		if list := s.VMs(after(9000)); list.Generation != 1 {
			t.Fatalf("generation %d, want 1", list.Generation)
		}
	})
	t.Run("a lease given back or marked as leaving shows after the lag", func(t *testing.T) {
		s := newState(lag)
		take(t, s, after(0), vm, 9000)
		gone := vm
		gone.Leaving = true
		take(t, s, after(2000), gone, 9000)
		wantVMs(t, s.VMs(after(2500)), vm.Address)
		wantVMs(t, s.VMs(after(3000)), vm.Address+" leaving")
		take(t, s, after(4000), gone, 0)
		wantVMs(t, s.VMs(after(5000)))
	})
	t.Run("the platform's own mark outlives a renewal", func(t *testing.T) {
		s := newState(lag)
		take(t, s, after(0), vm, 9000)
		control(t, s, after(100), keeper.Change{Leaving: map[string]bool{vm.Address: true}})
		take(t, s, after(200), vm, 9000)
		wantVMs(t, s.VMs(after(2000)), vm.Address+" leaving")
		control(t, s, after(2000), keeper.Change{Leaving: map[string]bool{vm.Address: false}})
		wantVMs(t, s.VMs(after(3000)), vm.Address)
	})
	t.Run("a longer lag takes nothing back", func(t *testing.T) {
		s := newState(lag)
		take(t, s, after(0), vm, 60_000)
		control(t, s, after(1000), keeper.Change{ListLagMs: number(9000)})
		wantVMs(t, s.VMs(after(1000)), vm.Address)
	})
	t.Run("a malformed row is refused", func(t *testing.T) {
		_, err := newState(nil).Lease(after(0), messenger.LeaseRequest{VM: messenger.VM{Role: "x"}, TTLMs: 1})
		wantRefusal(t, err, messenger.BadRequest)
	})
}

func TestUsage(t *testing.T) {
	report := func(t *testing.T, s *keeper.State, now time.Time, id string) {
		t.Helper()
		if err := s.Report(now, messenger.UsageReport{ID: id, Service: "orders", SlotMs: 5}); err != nil {
			t.Fatal(err)
		}
	}
	t.Run("a report counts at once and shows after the lag", func(t *testing.T) {
		s := newState(func(c *keeper.Settings) { c.UsageLagMs = 1000 })
		report(t, s, after(0), "a")
		wantOffsets(t, s.Page(after(999), "usage", 0, 0), 0, 0)
		wantOffsets(t, s.Page(after(1000), "usage", 0, 0), 0, 1, 0)
		report(t, s, after(2000), "a")
		if got := s.Totals(after(2000)); got.Reports != 1 || got.SlotMs["orders"] != 5 {
			t.Fatalf("a repeated report was counted twice: %+v", got)
		}
	})
	t.Run("the totals of a day end with it", func(t *testing.T) {
		s := newState(func(*keeper.Settings) {})
		report(t, s, after(0), "a")
		nextDay := after(0).Add(24 * time.Hour)
		if got := s.Totals(nextDay); got.Reports != 0 || got.SlotMs["orders"] != 0 {
			t.Fatalf("the day before is counted again: %+v", got)
		}
		report(t, s, nextDay, "b")
		if got := s.Totals(nextDay); got.Reports != 1 || got.SlotMs["orders"] != 5 {
			t.Fatalf("got %+v, want one report", got)
		}
	})
	t.Run("repeats and changed order show in the log but not in the totals", func(t *testing.T) {
		s := newState(func(c *keeper.Settings) { c.UsageShuffleMs, c.UsageRepeatPercent = 500, 100 })
		for i := range int64(20) {
			report(t, s, after(i), fmt.Sprint(i))
		}
		page := s.Page(after(10_000), "usage", 0, 0)
		order := map[string]int{}
		sorted := true
		last := ""
		for _, r := range page.Records {
			var u messenger.UsageReport
			if err := json.Unmarshal(r.Value, &u); err != nil {
				t.Fatal(err)
			}
			sorted = sorted && last <= u.ID
			last = u.ID
			order[u.ID]++
		}
		if len(page.Records) != 40 || len(order) != 20 || sorted || s.Totals(after(10_000)).Reports != 20 {
			t.Fatalf("%d records of %d reports, sorted %v, totals %+v", len(page.Records), len(order), sorted, s.Totals(after(10_000)))
		}
	})
}

func TestControl(t *testing.T) {
	t.Run("an outage concerns its own part only", func(t *testing.T) {
		s := newState(nil)
		control(t, s, after(0), keeper.Change{Outage: map[keeper.Part]keeper.Outage{keeper.LogPart: keeper.Hang}})
		if s.Admit(keeper.LogPart) != keeper.Hang || s.Admit(keeper.VMsPart) != keeper.Works {
			t.Fatal("wrong part")
		}
		control(t, s, after(0), keeper.Change{Outage: map[keeper.Part]keeper.Outage{keeper.LogPart: keeper.Works}})
		if s.Admit(keeper.LogPart) != keeper.Works {
			t.Fatal("the outage did not end")
		}
	})
	t.Run("a change with a fault changes nothing", func(t *testing.T) {
		s := newState(nil)
		err := s.Control(after(0), keeper.Change{
			Outage:           map[keeper.Part]keeper.Outage{"disk": keeper.Refuse},
			AppendsPerSecond: number(7),
			RetentionMs:      number(-1),
		})
		if err == nil || s.Condition(after(0)).Settings.AppendsPerSecond == 7 {
			t.Fatalf("got %v", err)
		}
	})
}
