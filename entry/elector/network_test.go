package elector_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/elector"
)

const (
	tickInterval = 20 * time.Millisecond
	pingTimeout  = 250 * time.Millisecond
)

// entry is a simulated entry process.
type entry struct {
	member elector.Member
	state  *elector.State
	// A process that is down refuses connections; a frozen one does not
	// respond, and keeps its state.
	down, frozen bool
	owning       bool
	contested    bool
	claims       int
	handovers    int
	lost         []string
	// followed lists the owners that the entry has followed, in order.
	followed []string
}

// scheduled is an action to run at a given time.
type scheduled struct {
	at time.Time
	do func()
}

// network simulates entries in virtual time.
type network struct {
	now     time.Time
	random  *rand.Rand
	entries []*entry
	cut     map[[2]int]bool
	queue   []scheduled
}

// newNetwork starts n entries that know each other's addresses.
func newNetwork(seed int64, n int) *network {
	net := &network{now: time.UnixMilli(1_700_000_000_000), random: rand.New(rand.NewSource(seed)), cut: map[[2]int]bool{}}
	for i := range n {
		net.entries = append(net.entries, &entry{})
		net.start(i)
	}
	return net
}

// start launches a new process of entry i that knows all addresses.
func (n *network) start(i int) {
	e := n.entries[i]
	e.member = elector.Member{Name: fmt.Sprint(i), Address: address(i), Incarnation: n.random.Uint64()}
	e.state, e.down, e.frozen, e.owning = elector.New(n.now, e.member), false, false, false
	var all []string
	for k := range n.entries {
		all = append(all, address(k))
	}
	n.deliver(i, elector.AddressesFound{Addresses: all})
	// Entries learn their group from the worker list, after different delays.
	n.assignGroup(i, e.state)
	n.tick(i, e.state)
}

func (n *network) assignGroup(i int, process *elector.State) {
	n.schedule(time.Duration(n.random.Intn(100))*time.Millisecond, func() {
		e := n.entries[i]
		switch {
		case e.state != process:
		case e.frozen:
			n.assignGroup(i, process)
		default:
			n.deliver(i, elector.GroupAssigned{Group: "all"})
		}
	})
}

func address(i int) string { return fmt.Sprintf("10.0.0.%02d:7000", i) }

func (n *network) tick(i int, process *elector.State) {
	n.schedule(tickInterval, func() {
		e := n.entries[i]
		if e.state != process || e.down {
			return
		}
		if !e.frozen {
			n.deliver(i, elector.Tick{WallMs: n.now.UnixMilli()})
		}
		n.tick(i, process)
	})
}

func (n *network) schedule(d time.Duration, do func()) {
	m := scheduled{n.now.Add(d), do}
	i := len(n.queue)
	for i > 0 && n.queue[i-1].at.After(m.at) {
		i--
	}
	n.queue = append(n.queue, scheduled{})
	copy(n.queue[i+1:], n.queue[i:])
	n.queue[i] = m
}

func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		m := n.queue[0]
		n.queue = n.queue[1:]
		n.now = m.at
		m.do()
	}
	n.now = end
}

// resume unfreezes a process and reports the suspension to it first.
func (n *network) resume(i int) {
	n.entries[i].frozen = false
	n.deliver(i, elector.ProcessResumed{})
}

func (n *network) deliver(i int, msg elector.Msg) {
	e := n.entries[i]
	if e.down || e.frozen {
		return
	}
	for _, cmd := range e.state.Update(n.now, msg) {
		switch cmd := cmd.(type) {
		case elector.Ping:
			n.ping(i, cmd.Address)
		case elector.Claim:
			e.owning, e.contested = true, cmd.Contested
			e.claims++
		case elector.Release:
			e.owning = false
			if cmd.Moved {
				e.handovers++
			}
		case elector.OwnerChanged:
			e.followed = append(e.followed, cmd.Address)
		case elector.EntryLost:
			e.lost = append(e.lost, cmd.Address)
		}
	}
}

func (n *network) ping(from int, to string) {
	target := -1
	for i := range n.entries {
		if address(i) == to {
			target = i
		}
	}
	sender := n.entries[from].state
	delay := time.Duration(500+n.random.Intn(1500)) * time.Microsecond
	reply := func(msg elector.Msg) {
		if n.entries[from].state == sender {
			n.deliver(from, msg)
		}
	}
	n.schedule(delay, func() {
		switch {
		case target < 0 || n.cut[[2]int{from, target}] || n.entries[target].frozen:
			n.schedule(pingTimeout, func() { reply(elector.PingFailed{Address: to}) })
		case n.entries[target].down:
			n.schedule(delay, func() { reply(elector.PingFailed{Address: to, Refused: true}) })
		default:
			n.deliver(target, elector.PingReceived{View: sender.View(n.now)})
			view := n.entries[target].state.View(n.now)
			n.schedule(delay, func() { reply(elector.PingAnswered{View: view}) })
		}
	})
}

// partition disconnects the given entries from all others.
func (n *network) partition(a ...int) {
	inside := map[int]bool{}
	for _, i := range a {
		inside[i] = true
	}
	for i := range n.entries {
		for k := range n.entries {
			if inside[i] != inside[k] {
				n.cut[[2]int{i, k}] = true
			}
		}
	}
}

func (n *network) heal() { n.cut = map[[2]int]bool{} }

// restore heals all partitions, and restarts or resumes every entry.
func (n *network) restore() {
	n.heal()
	for i, e := range n.entries {
		switch {
		case e.down:
			n.start(i)
		case e.frozen:
			n.resume(i)
		}
	}
}

// owners returns the indexes of the entries that own the workers.
func (n *network) owners() []int {
	var list []int
	for i, e := range n.entries {
		if e.owning && !e.down {
			list = append(list, i)
		}
	}
	return list
}

// checkOneOwner checks that the given entries agree on one owner and returns
// its index.
func (n *network) checkOneOwner(t *testing.T, among ...int) int {
	t.Helper()
	owner := ""
	for _, i := range among {
		o := n.entries[i].state.Owner()
		if o == "" || (owner != "" && o != owner) {
			t.Fatalf("entry %d follows %q, another one %q", i, o, owner)
		}
		owner = o
	}
	for i := range n.entries {
		if address(i) == owner {
			if !n.entries[i].owning || n.entries[i].down {
				t.Fatalf("%s is followed but does not own the workers", owner)
			}
			return i
		}
	}
	t.Fatalf("owner %q is not an entry", owner)
	return -1
}

// checkConverged checks that all running entries follow one owner and that no
// other entry owns the workers.
func (n *network) checkConverged(t *testing.T) {
	t.Helper()
	n.checkOneOwner(t, runningEntries(n)...)
	if owners := n.owners(); len(owners) != 1 {
		t.Errorf("owners are %v, want one", owners)
	}
}
