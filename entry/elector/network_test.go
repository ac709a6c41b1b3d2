package elector_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/elector"
)

const (
	tickEvery   = 20 * time.Millisecond
	pingTimeout = 250 * time.Millisecond
)

// entry is a simulated process.
type entry struct {
	member elector.Member
	state  *elector.State
	// down processes refuse connections; frozen ones keep silent.
	down, frozen bool
	owning       bool
	contested    bool
	owns         int
	moved        int
	lost         []string
	// changes are the owners that were followed, in order.
	changes []string
}

// message is something that happens at a time.
type message struct {
	at time.Time
	do func()
}

// network runs entries in virtual time.
type network struct {
	now     time.Time
	random  *rand.Rand
	entries []*entry
	cut     map[[2]int]bool
	queue   []message
}

func newNetwork(seed int64, n int) *network {
	net := &network{now: time.UnixMilli(1_700_000_000_000), random: rand.New(rand.NewSource(seed)), cut: map[[2]int]bool{}}
	for i := range n {
		net.entries = append(net.entries, &entry{})
		net.start(i)
	}
	return net
}

// start begins a new process of entry i, which knows all addresses.
func (n *network) start(i int) {
	e := n.entries[i]
	e.member = elector.Member{Name: fmt.Sprint(i), Address: address(i), Incarnation: n.random.Uint64()}
	e.state, e.down, e.frozen, e.owning = elector.New(n.now, e.member), false, false, false
	var all []string
	for k := range n.entries {
		all = append(all, address(k))
	}
	n.tell(i, elector.Known{Addresses: all})
	// Entries learn their group with the list of workers, some sooner.
	n.group(i, e.state)
	n.tick(i, e.state)
}

func (n *network) group(i int, of *elector.State) {
	n.after(time.Duration(n.random.Intn(100))*time.Millisecond, func() {
		e := n.entries[i]
		switch {
		case e.state != of:
		case e.frozen:
			n.group(i, of)
		default:
			n.tell(i, elector.Grouped{Group: "all"})
		}
	})
}

func address(i int) string { return fmt.Sprintf("10.0.0.%02d:7000", i) }

func (n *network) tick(i int, of *elector.State) {
	n.after(tickEvery, func() {
		e := n.entries[i]
		if e.state != of || e.down {
			return
		}
		if !e.frozen {
			n.tell(i, elector.Tick{WallMs: n.now.UnixMilli()})
		}
		n.tick(i, of)
	})
}

func (n *network) after(d time.Duration, do func()) {
	m := message{n.now.Add(d), do}
	i := len(n.queue)
	for i > 0 && n.queue[i-1].at.After(m.at) {
		i--
	}
	n.queue = append(n.queue, message{})
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

// resume wakes a frozen process, which learns of the gap first.
func (n *network) resume(i int) {
	n.entries[i].frozen = false
	n.tell(i, elector.Resumed{})
}

func (n *network) tell(i int, msg elector.Msg) {
	e := n.entries[i]
	if e.down || e.frozen {
		return
	}
	for _, cmd := range e.state.Update(n.now, msg) {
		switch cmd := cmd.(type) {
		case elector.Ping:
			n.ping(i, cmd.Address)
		case elector.Own:
			e.owning, e.contested = true, cmd.Contested
			e.owns++
		case elector.Disown:
			e.owning = false
			if cmd.Moved {
				e.moved++
			}
		case elector.OwnerChanged:
			e.changes = append(e.changes, cmd.Address)
		case elector.Lost:
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
			n.tell(from, msg)
		}
	}
	n.after(delay, func() {
		switch {
		case target < 0 || n.cut[[2]int{from, target}] || n.entries[target].frozen:
			n.after(pingTimeout, func() { reply(elector.Unanswered{Address: to}) })
		case n.entries[target].down:
			n.after(delay, func() { reply(elector.Unanswered{Address: to, Refused: true}) })
		default:
			n.tell(target, elector.Called{View: sender.View(n.now)})
			view := n.entries[target].state.View(n.now)
			n.after(delay, func() { reply(elector.Answered{View: view}) })
		}
	})
}

// separate cuts every entry of a from every other one.
func (n *network) separate(a ...int) {
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

// restore heals all cuts, and has every entry start or go on.
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

// owners returns the entries that own the workers.
func (n *network) owners() []int {
	var list []int
	for i, e := range n.entries {
		if e.owning && !e.down {
			list = append(list, i)
		}
	}
	return list
}

// checkOneOwner checks that the given entries agree on one owner.
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
				t.Fatalf("%s is followed and does not own the workers", owner)
			}
			return i
		}
	}
	t.Fatalf("owner %q is no entry", owner)
	return -1
}

// checkSettled checks that all entries that are up follow one owner, and that
// no other one owns the workers.
func (n *network) checkSettled(t *testing.T) {
	t.Helper()
	n.checkOneOwner(t, all(n)...)
	if owners := n.owners(); len(owners) != 1 {
		t.Errorf("owners are %v", owners)
	}
}
