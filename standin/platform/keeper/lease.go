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
	vm      messenger.VM
	expires time.Time
}

// listUpdate is a change of a VM's lease or of its leaving override; at is the
// time when it was made. It appears in the VM list after the list lag. A nil vm
// removes the VM from the list.
type listUpdate struct {
	at  time.Time
	key vmKey
	vm  *messenger.VM
}

// Leases holds the leases of VMs and the VM list, which follows them with a
// delay. Use [NewLeases] to create one.
type Leases struct {
	held             map[vmKey]lease
	leavingOverrides map[string]bool
	pendingUpdates   []listUpdate
	visible          map[vmKey]messenger.VM
	// generation is incremented on every change of the visible list.
	generation int64
}

// NewLeases returns an empty lease table.
func NewLeases() *Leases {
	return &Leases{
		held:             map[vmKey]lease{},
		leavingOverrides: map[string]bool{},
		visible:          map[vmKey]messenger.VM{},
	}
}

// Grant grants or renews the lease of vm for ttl. A ttl of 0 releases it.
func (l *Leases) Grant(now time.Time, vm messenger.VM, ttl time.Duration) {
	l.expire(now)
	key := vmKey{role: vm.Role, address: vm.Address}
	previous, exists := l.held[key]
	if ttl <= 0 {
		if exists {
			l.remove(key, now)
		}
		return
	}
	l.held[key] = lease{vm: vm, expires: now.Add(ttl)}
	if !exists || previous.vm != vm {
		l.queueUpdate(now, key, vm)
	}
}

// SetLeaving sets or clears an override that lists the VM at address as
// leaving, regardless of what the lease holder reports.
func (l *Leases) SetLeaving(now time.Time, address string, leaving bool) {
	l.expire(now)
	if leaving {
		l.leavingOverrides[address] = true
	} else {
		delete(l.leavingOverrides, address)
	}
	for key, held := range l.held {
		if key.address == address {
			l.queueUpdate(now, key, held.vm)
		}
	}
}

// Advance applies the updates made at least lag before now. Increasing the lag
// does not revert updates that were already applied.
func (l *Leases) Advance(now time.Time, lag time.Duration) {
	l.expire(now)
	n := 0
	for n < len(l.pendingUpdates) && !l.pendingUpdates[n].at.Add(lag).After(now) {
		l.applyUpdate(l.pendingUpdates[n])
		n++
	}
	l.pendingUpdates = l.pendingUpdates[n:]
}

// List returns the list as of the last [Leases.Advance], sorted by role and
// address.
func (l *Leases) List() messenger.VMList {
	vms := slices.SortedFunc(maps.Values(l.visible), func(a, b messenger.VM) int {
		if c := strings.Compare(string(a.Role), string(b.Role)); c != 0 {
			return c
		}
		return strings.Compare(a.Address, b.Address)
	})
	if vms == nil {
		vms = []messenger.VM{}
	}
	return messenger.VMList{Generation: l.generation, VMs: vms}
}

// Count returns the number of leases held at the time now.
func (l *Leases) Count(now time.Time) int {
	l.expire(now)
	return len(l.held)
}

func (l *Leases) queueUpdate(now time.Time, key vmKey, vm messenger.VM) {
	vm.Leaving = vm.Leaving || l.leavingOverrides[key.address]
	l.pendingUpdates = append(l.pendingUpdates, listUpdate{at: now, key: key, vm: &vm})
}

// expire removes expired leases in the order of their expiry, so that pending
// list updates stay in chronological order.
func (l *Leases) expire(now time.Time) {
	var expired []vmKey
	for key, held := range l.held {
		if !held.expires.After(now) {
			expired = append(expired, key)
		}
	}
	slices.SortFunc(expired, func(a, b vmKey) int {
		if c := l.held[a].expires.Compare(l.held[b].expires); c != 0 {
			return c
		}
		return strings.Compare(a.address, b.address)
	})
	for _, key := range expired {
		l.remove(key, l.held[key].expires)
	}
}

func (l *Leases) remove(key vmKey, at time.Time) {
	delete(l.held, key)
	l.pendingUpdates = append(l.pendingUpdates, listUpdate{at: at, key: key})
}

func (l *Leases) applyUpdate(u listUpdate) {
	previous, exists := l.visible[u.key]
	switch {
	case u.vm == nil && exists:
		delete(l.visible, u.key)
	case u.vm != nil && (!exists || previous != *u.vm):
		l.visible[u.key] = *u.vm
	default:
		return
	}
	l.generation++
}
