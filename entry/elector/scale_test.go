package elector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/elector"
)

const (
	strongCPU = 800
	weakCPU   = 192
	// messageTime is the CPU time of one message between entries on a whole core,
	// including its HTTP request.
	messageTime = 100 * time.Microsecond
)

// newFleet returns a network of entries in several failure domains, none of
// which has started. Each failure domain has one worker group and 3 strong
// entries.
func newFleet(seed int64, domains, entriesPerDomain int) *network {
	n := newNetwork(seed, 0)
	for d := range domains {
		for k := range entriesPerDomain {
			i := len(n.entries)
			cpu := int64(weakCPU)
			if k >= entriesPerDomain-3 {
				cpu = strongCPU
			}
			domain := fmt.Sprintf("d%02d", d)
			n.add(&entry{
				member: elector.Member{Name: fmt.Sprint(i), Address: address(i), FailureDomain: domain, CPU: cpu},
				group:  domain, groupDomain: domain, messageTime: messageTime * 1000 / time.Duration(cpu), down: true,
			})
		}
	}
	return n
}

// startAll starts all entries within 300 ms.
func (n *network) startAll() {
	for i := range n.entries {
		n.schedule(time.Duration(n.random.Intn(300))*time.Millisecond, func() { n.start(i) })
	}
}

// checkGroups checks that each entry that runs follows the only owner of its
// group, and that the owner is strong if want is set.
func (n *network) checkGroups(t *testing.T, wantStrong bool) {
	t.Helper()
	owners := map[string]string{}
	for i, e := range n.entries {
		if e.down {
			continue
		}
		owner := e.state.Owner()
		if owners[e.group] == "" {
			owners[e.group] = owner
		}
		if owner == "" || owner != owners[e.group] {
			t.Errorf("entry %d of group %s follows %q, another one %q", i, e.group, owner, owners[e.group])
		}
		if wantStrong && e.owning && e.member.CPU != strongCPU {
			t.Errorf("weak entry %d owns group %s", i, e.group)
		}
	}
	if got := len(n.owners()); got != len(owners) {
		t.Errorf("%d entries own %d groups", got, len(owners))
	}
}

// TestFleetStarts guards against a start of all entries that does not settle on
// one owner per group, since each entry searches among all others and small VMs
// fall behind, and against weak entries that claim although a strong one is
// starting.
func TestFleetStarts(t *testing.T) {
	sizes := map[string][2]int{"18 entries": {6, 3}, "147 entries": {6, 25}, "1000 entries": {15, 67}}
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newFleet(1, size[0], size[1])
			n.startAll()
			n.run(2 * time.Second)
			n.checkGroups(t, true)
			for i, e := range n.entries {
				if len(e.followed) > 2 {
					t.Errorf("entry %d changed its owner %d times: %v", i, len(e.followed), e.followed)
				}
				if limit := 2 * 150; e.pingsSent > limit && !e.owning {
					t.Errorf("entry %d sent %d pings in 2 s, limit %d", i, e.pingsSent, limit)
				}
			}
			if len(n.entries) > 200 {
				return
			}
			// All entries lose power and start again.
			for _, e := range n.entries {
				e.down, e.followed = true, nil
			}
			n.run(time.Second)
			n.startAll()
			n.run(2 * time.Second)
			n.checkGroups(t, true)
		})
	}
}

// TestStrongEntriesLost guards against groups that find no owner when all
// strong entries of their failure domain are lost at once.
func TestStrongEntriesLost(t *testing.T) {
	for name, lose := range map[string]func(*entry){
		"killed": func(e *entry) { e.down = true },
		"silent": func(e *entry) { e.down, e.frozen = false, true },
	} {
		t.Run(name, func(t *testing.T) {
			n := newFleet(2, 6, 25)
			n.startAll()
			n.run(5 * time.Second)
			for _, e := range n.entries {
				if e.member.CPU == strongCPU {
					lose(e)
				}
			}
			n.run(1500 * time.Millisecond)
			for i, e := range n.entries {
				if e.frozen || e.down {
					continue
				}
				if o := e.state.Owner(); o == "" || n.entryAt(o).down || n.entryAt(o).frozen {
					t.Errorf("entry %d follows %q, which is lost", i, o)
				}
			}
		})
	}
}

func (n *network) entryAt(address string) *entry { return n.entries[n.index[address]] }

// TestGroupsSplit guards against groups that get several owners, or none, when all
// entries of a failure domain are dealt to new groups at about the same time. Each
// entry then knows only the former groups of the others.
func TestGroupsSplit(t *testing.T) {
	for seed := range int64(10) {
		n := newFleet(seed, 2, 25)
		n.startAll()
		n.run(3 * time.Second)
		for i, e := range n.entries {
			e.claims = 0
			n.schedule(time.Duration(n.random.Intn(700))*time.Millisecond, func() {
				e.group = fmt.Sprintf("%s.%d/2", e.member.FailureDomain, i%2)
				n.deliver(i, elector.GroupAssigned{Group: e.group, FailureDomain: e.groupDomain, CanOwn: true})
			})
		}
		n.run(3 * time.Second)
		n.checkGroups(t, false)
		claims := 0
		for _, e := range n.entries {
			claims += e.claims
		}
		// One claim and two changes of owner for each group.
		if limit := 4 * 3; claims > limit {
			t.Errorf("seed %d: the 4 new groups were claimed %d times, limit %d", seed, claims, limit)
		}
	}
}
