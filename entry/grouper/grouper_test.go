package grouper_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/grouper"
	"github.com/godwitrelay/godwitrelay/entry/placer"
)

const (
	strongCPU = 800
	weakCPU   = 192
)

func workers(n, domains int) []placer.Worker {
	var list []placer.Worker
	for i := range n {
		list = append(list, placer.Worker{ID: fmt.Sprintf("i-%08x", i*2654435761), FailureDomain: fmt.Sprintf("d%d", i%domains)})
	}
	return list
}

func members(domain string, n int) []elector.Member {
	var list []elector.Member
	for i := range n {
		cpu := int64(weakCPU)
		if i < 3 {
			cpu = strongCPU
		}
		list = append(list, elector.Member{Address: fmt.Sprintf("10.0.0.%02d:7000", i), FailureDomain: domain, CPU: cpu})
	}
	return list
}

func weakest() int64 { return elector.Member{CPU: weakCPU}.Capacity() }

func checkLayout(t *testing.T, l grouper.Layout, parts int) {
	t.Helper()
	if !l.Known || l.Parts != parts {
		t.Errorf("layout %+v, want %d groups in the failure domain", l, parts)
	}
}

// TestNext guards against groups that are too large for the weakest entry, and
// against a layout that changes back and forth as workers come and go.
func TestNext(t *testing.T) {
	slowLink := elector.Member{CPU: 120, LinkKbps: 2000}.Capacity()
	t.Run("few workers", func(t *testing.T) {
		checkLayout(t, grouper.Layout{}.Next(grouper.Deployment{Workers: 48, DomainWorkers: 12, DomainEntries: 2, Capacity: 200}), 0)
	})
	t.Run("unknown capacity", func(t *testing.T) {
		checkLayout(t, grouper.Layout{}.Next(grouper.Deployment{Workers: 4000, DomainWorkers: 1000, DomainEntries: 9}), 0)
	})
	t.Run("weak entries", func(t *testing.T) {
		checkLayout(t, grouper.Layout{}.Next(grouper.Deployment{Workers: 1100, DomainWorkers: 184, DomainEntries: 25, Capacity: weakest()}), 2)
	})
	t.Run("slow links", func(t *testing.T) {
		checkLayout(t, grouper.Layout{}.Next(grouper.Deployment{Workers: 120, DomainWorkers: 20, DomainEntries: 3, Capacity: slowLink}), 1)
	})
	t.Run("few entries", func(t *testing.T) {
		checkLayout(t, grouper.Layout{}.Next(grouper.Deployment{Workers: 4000, DomainWorkers: 1000, DomainEntries: 7, Capacity: weakest()}), 2)
	})
	t.Run("workers come and go", func(t *testing.T) {
		d := grouper.Deployment{Workers: 1100, DomainWorkers: 184, DomainEntries: 25, Capacity: weakest()}
		l := grouper.Layout{}.Next(d)
		for _, n := range []int{184, 240, 140, 192, 120, 380} {
			d.DomainWorkers = n
			l = l.Next(d)
			checkLayout(t, l, 2)
		}
		d.DomainWorkers = 500
		l = l.Next(d)
		checkLayout(t, l, 4)
		d.Workers, d.DomainWorkers = 40, 10
		checkLayout(t, l.Next(d), 0)
	})
}

// TestOutageKeepsGroups guards against groups that are merged because most workers
// are missing from the list for a while, as after an outage of the store.
func TestOutageKeepsGroups(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	full := grouper.Deployment{Workers: 1100, DomainWorkers: 184, DomainEntries: 25, Capacity: weakest()}
	few := full
	few.Workers, few.DomainWorkers = 30, 5
	var s grouper.Settler
	l := s.Next(now, grouper.Layout{}, full)
	for at := time.Duration(0); at < 3*time.Second; at += 600 * time.Millisecond {
		l = s.Next(now.Add(at), l, few)
		checkLayout(t, l, 2)
	}
	l = s.Next(now.Add(4*time.Second), l, full)
	checkLayout(t, s.Next(now.Add(9*time.Second), l, few), 2)
	checkLayout(t, s.Next(now.Add(20*time.Second), l, few), 0)
}

// TestMerge guards against entries with different layouts that change places with
// each other for ever.
func TestMerge(t *testing.T) {
	a, b := grouper.Layout{Parts: 1, Known: true}, grouper.Layout{Parts: 4, Known: true}
	checkLayout(t, a.Merge(b), 4)
	checkLayout(t, b.Merge(a), 4)
	checkLayout(t, grouper.Layout{}.Merge(grouper.Single), 0)
	checkLayout(t, grouper.Single.Merge(b.ForeignLayout()), 1)
}

// TestSelect guards against workers in no group or in two, and against groups of
// very different size.
func TestSelect(t *testing.T) {
	list := workers(1104, 6)
	for _, parts := range []int{0, 1, 2, 4} {
		seen := map[string]int{}
		for i := range max(parts, 1) {
			g := grouper.Group{Layout: grouper.Layout{Parts: parts, Known: true}, FailureDomain: "d2", Index: i}
			selected := g.Select(list)
			for _, w := range selected {
				seen[w.ID]++
			}
			if mean := 184 / max(parts, 1); parts > 0 && (len(selected) < mean*2/3 || len(selected) > mean*4/3) {
				t.Errorf("%s has %d workers, the mean is %d", g.Name(), len(selected), mean)
			}
		}
		want := 184
		if parts == 0 {
			want = len(list)
		}
		if len(seen) != want {
			t.Errorf("%d workers are in the groups of %d parts, want %d", len(seen), parts, want)
		}
		for id, n := range seen {
			if n != 1 {
				t.Errorf("worker %s is in %d groups", id, n)
			}
		}
	}
}

// TestAssign guards against groups without a strong entry while another one has
// several.
func TestAssign(t *testing.T) {
	list := members("d0", 25)
	rand.New(rand.NewSource(1)).Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	all, strong := map[int]int{}, map[int]int{}
	for _, m := range list {
		g := grouper.Assign(grouper.Layout{Parts: 2, Known: true}, m, append(list, members("d1", 5)...))
		all[g.Index]++
		if m.CPU == strongCPU {
			strong[g.Index]++
		}
	}
	for i := range 2 {
		if all[i] < 12 || strong[i] < 1 {
			t.Errorf("group %d has %d entries, %d of them strong", i, all[i], strong[i])
		}
	}
}
