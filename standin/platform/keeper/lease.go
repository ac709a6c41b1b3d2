package keeper

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

type vmKey struct {
	role    messenger.VMRole
	address string
}

type lease struct {
	vm   messenger.VM
	ends time.Time
}

// listChange is a change of the truth at the time at, which the list shows
// after its lag. A nil vm removes the row.
type listChange struct {
	at  time.Time
	key vmKey
	vm  *messenger.VM
}

// Leases holds the leases of VMs and the lagging list of their holders. Make
// one with [NewLeases].
type Leases struct {
	held    map[vmKey]lease
	leaving map[string]bool
	pending []listChange
	visible map[vmKey]messenger.VM
	// generation counts the changes that the visible list has gone through.
	generation int64
}

// NewLeases returns an empty table.
func NewLeases() *Leases {
	return &Leases{
		held:    map[vmKey]lease{},
		leaving: map[string]bool{},
		visible: map[vmKey]messenger.VM{},
	}
}

// Take grants or renews the lease of vm for ttl. A ttl of 0 gives it back.
func (l *Leases) Take(now time.Time, vm messenger.VM, ttl time.Duration) {
	l.expire(now)
	key := vmKey{role: vm.Role, address: vm.Address}
	before, known := l.held[key]
	if ttl <= 0 {
		if known {
			l.drop(key, now)
		}
		return
	}
	l.held[key] = lease{vm: vm, ends: now.Add(ttl)}
	if !known || before.vm != vm {
		l.publish(now, key, vm)
	}
}

// SetLeaving overrides whether the VM at address is shown as leaving, whatever
// its holder says.
func (l *Leases) SetLeaving(now time.Time, address string, leaving bool) {
	l.expire(now)
	if leaving {
		l.leaving[address] = true
	} else {
		delete(l.leaving, address)
	}
	for key, held := range l.held {
		if key.address == address {
			l.publish(now, key, held.vm)
		}
	}
}

// Advance brings the list to the state of lag before now. A longer lag never
// takes back what the list has shown.
func (l *Leases) Advance(now time.Time, lag time.Duration) {
	l.expire(now)
	n := 0
	for n < len(l.pending) && !l.pending[n].at.Add(lag).After(now) {
		l.show(l.pending[n])
		n++
	}
	l.pending = l.pending[n:]
}

// List returns the list as of the last [Leases.Advance], sorted by role and
// address.
func (l *Leases) List() messenger.VMList {
	rows := slices.SortedFunc(maps.Values(l.visible), func(a, b messenger.VM) int {
		if c := strings.Compare(string(a.Role), string(b.Role)); c != 0 {
			return c
		}
		return strings.Compare(a.Address, b.Address)
	})
	if rows == nil {
		rows = []messenger.VM{}
	}
	return messenger.VMList{Generation: l.generation, VMs: rows}
}

// Held returns the number of leases held at the time now.
func (l *Leases) Held(now time.Time) int {
	l.expire(now)
	return len(l.held)
}

func (l *Leases) publish(now time.Time, key vmKey, vm messenger.VM) {
	vm.Leaving = vm.Leaving || l.leaving[key.address]
	l.pending = append(l.pending, listChange{at: now, key: key, vm: &vm})
}

// expire ends the leases that are over, in the order of their ends, so that
// the changes of the list stay in the order of time.
func (l *Leases) expire(now time.Time) {
	var over []vmKey
	for key, held := range l.held {
		if !held.ends.After(now) {
			over = append(over, key)
		}
	}
	slices.SortFunc(over, func(a, b vmKey) int {
		if c := l.held[a].ends.Compare(l.held[b].ends); c != 0 {
			return c
		}
		return strings.Compare(a.address, b.address)
	})
	for _, key := range over {
		l.drop(key, l.held[key].ends)
	}
}

func (l *Leases) drop(key vmKey, at time.Time) {
	delete(l.held, key)
	l.pending = append(l.pending, listChange{at: at, key: key})
}

func (l *Leases) show(c listChange) {
	before, known := l.visible[c.key]
	switch {
	case c.vm == nil && known:
		delete(l.visible, c.key)
	case c.vm != nil && (!known || before != *c.vm):
		l.visible[c.key] = *c.vm
	default:
		return
	}
	l.generation++
}
