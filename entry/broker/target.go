package broker

import (
	"math"
	"slices"
	"sort"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// target is the broker's state of one target. Times are in nanoseconds.
type target struct {
	address  string
	index    int
	slots    int
	memoryMB int64
	inUse    int
	// offered is the limit as it is counted in the service's slots.
	offered int
	// others is the number of slots that the target said others hold, until
	// othersUntil.
	others      int
	othersUntil int64
	// listed and listLeaving come from the platform's list, ownSlots and
	// ownLeaving from the target itself.
	listed      bool
	listLeaving bool
	ownLeaving  bool
	ownSlots    bool
	heard       int64
	probedAt    int64
	health

	group *group
	place int
}

// group is the set of targets of one memory size. Free holds those that can
// take another task.
type group struct {
	memoryMB int64
	members  int
	free     heap[*target]
}

func (t *target) leaving() bool { return t.listLeaving || t.ownLeaving }

// limit is the number of slots that this broker may use on the target.
func (t *target) limit() int {
	switch {
	case t.leaving() || t.state == ejected || t.held:
		return 0
	case t.state == trial:
		return min(t.slots, t.trialSlots)
	default:
		return t.slots
	}
}

func (t *target) hasRoom() bool { return t.inUse+t.others < t.limit() }

// lessLoaded orders targets: slow ones last, then by used part of the slots.
func lessLoaded(a, b *target) bool {
	if a.slow != b.slow {
		return b.slow
	}
	if x, y := (a.inUse+a.others)*b.slots, (b.inUse+b.others)*a.slots; x != y {
		return x < y
	}
	return a.index < b.index
}

// groupFor returns the index of the smallest group with enough memory.
func (svc *service) groupFor(memoryMB int64) int {
	return sort.Search(len(svc.groups), func(i int) bool { return svc.groups[i].memoryMB >= memoryMB })
}

// freeGroup returns the index of the largest group with a free slot, or -1.
func (svc *service) freeGroup() int {
	for i := len(svc.groups) - 1; i >= 0; i-- {
		if svc.groups[i].free.len() > 0 {
			return i
		}
	}
	return -1
}

// target returns the target at the address, making it known if necessary.
func (s *State) target(svc *service, address string) *target {
	t := svc.targets[address]
	if t == nil {
		t = &target{address: address, index: svc.nextIndex, heard: s.now}
		svc.nextIndex++
		svc.targets[address] = t
		svc.listed = append(svc.listed, t)
		svc.setMemory(t, 0)
	}
	return t
}

// setMemory moves the target to the group of its memory; 0 is unknown and does
// not limit tasks.
func (svc *service) setMemory(t *target, memoryMB int64) {
	if memoryMB <= 0 {
		memoryMB = math.MaxInt64
	}
	if t.group != nil && t.memoryMB == memoryMB {
		return
	}
	if t.group != nil {
		t.group.members--
		t.group.free.remove(t)
	}
	t.memoryMB = memoryMB
	i := svc.groupFor(memoryMB)
	if i == len(svc.groups) || svc.groups[i].memoryMB != memoryMB {
		g := &group{memoryMB: memoryMB}
		g.free = heap[*target]{less: lessLoaded, place: func(t *target) *int { return &t.place }}
		svc.groups = slices.Insert(svc.groups, i, g)
		svc.relane()
	}
	t.group = svc.groups[i]
	t.group.members++
	svc.refresh(t)
}

// refresh takes a change of the target into account: what it offers, and its
// place among the free ones.
func (svc *service) refresh(t *target) {
	svc.offer(t, t.limit())
	free := &t.group.free
	switch {
	case !t.hasRoom():
		free.remove(t)
	case free.has(t):
		free.fix(t)
		svc.dirty = true
	default:
		free.push(t)
		svc.dirty = true
	}
}

// offer records the number of slots that the target adds to the service.
func (svc *service) offer(t *target, slots int) {
	svc.slots += slots - t.offered
	switch {
	case slots > 0 && t.offered == 0:
		svc.usable++
	case slots == 0 && t.offered > 0:
		svc.usable--
	}
	t.offered = slots
}

// list takes the platform's list of targets.
func (s *State) list(vms []messenger.VM) {
	s.vms = slices.Clone(vms)
	for _, name := range s.names {
		s.listService(s.services[name])
	}
}

func (s *State) listService(svc *service) {
	for _, t := range svc.listed {
		t.listed, t.listLeaving = false, false
	}
	for _, vm := range s.vms {
		if vm.Role != messenger.TargetVM || vm.Service != svc.name || s.otherDomain(vm) {
			continue
		}
		t := s.target(svc, vm.Address)
		t.listed, t.listLeaving = true, vm.Leaving
		if !t.ownSlots {
			t.slots = vm.Slots
			svc.setMemory(t, vm.MemoryMB)
		}
		svc.refresh(t)
	}
	for _, t := range svc.listed {
		svc.refresh(t)
	}
}

// forgetGone drops targets that are off the list and answer no more, or are
// leaving, once they hold no grant.
func (svc *service) forgetGone() {
	svc.listed = slices.DeleteFunc(svc.listed, func(t *target) bool {
		gone := !t.listed && t.inUse == 0 && (t.unreachable || t.ownLeaving)
		if gone {
			svc.offer(t, 0)
			t.group.members--
			t.group.free.remove(t)
			delete(svc.targets, t.address)
		}
		return gone
	})
}

func (s *State) otherDomain(vm messenger.VM) bool {
	return vm.FailureDomain != "" && s.domain != "" && vm.FailureDomain != s.domain
}

// learn takes the target's own status. Only a busy reply can raise the number
// of slots held by others: other statuses may have been overtaken by releases
// from other entries.
func (s *State) learn(svc *service, t *target, status messenger.TargetStatus, busy bool) {
	if status.Slots > 0 {
		t.slots, t.ownSlots = status.Slots, true
	}
	if status.MemoryMB > 0 {
		svc.setMemory(t, status.MemoryMB)
	}
	// Only a probe clears this: a reply may have been sent before the target
	// began to leave.
	t.ownLeaving = t.ownLeaving || status.Leaving
	others := max(0, status.InFlight-t.inUse)
	if busy {
		t.others, t.othersUntil = others, s.now+othersMs*ms
	} else {
		t.others = min(t.others, others)
	}
}

// othersMs is how long slots held by others are remembered without news.
const othersMs = 2000
