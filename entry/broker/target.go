package broker

import (
	"math"
	"slices"
	"sort"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// target holds the broker's state of one target. Times are in nanoseconds.
type target struct {
	address  string
	index    int
	slots    int
	memoryMB int64
	inUse    int
	// countedSlots is what this target contributes to service.usableSlots.
	countedSlots int
	// othersInUse is the number of slots that the target reported as in use beyond
	// the live grants of this broker. It is reset to 0 at othersExpireAt.
	othersInUse    int
	othersExpireAt int64
	// listed and listedLeaving come from the platform's list, reportedLeaving
	// and hasReportedSlots from replies of the target itself.
	listed           bool
	listedLeaving    bool
	reportedLeaving  bool
	hasReportedSlots bool
	lastContact      int64
	probedAt         int64
	health

	memoryGroup *memoryGroup
	freePos     int
}

// memoryGroup is the set of targets of one memory size. A service keeps its groups
// sorted by size. freeTargets holds the targets that can take another task, least
// loaded first.
type memoryGroup struct {
	memoryMB    int64
	targetCount int
	freeTargets heap[*target]
}

func (t *target) leaving() bool { return t.listedLeaving || t.reportedLeaving }

// slotLimit returns the number of slots that this broker may use on the target.
func (t *target) slotLimit() int {
	switch {
	case t.leaving() || t.state == ejected || t.paused:
		return 0
	case t.state == trial:
		return min(t.slots, t.trialSlots)
	default:
		return t.slots
	}
}

func (t *target) hasFreeSlot() bool { return t.inUse+t.othersInUse < t.slotLimit() }

// lessLoaded orders targets by the fraction of their slots in use, with slow
// targets last.
func lessLoaded(a, b *target) bool {
	if a.slow != b.slow {
		return b.slow
	}
	if x, y := (a.inUse+a.othersInUse)*b.slots, (b.inUse+b.othersInUse)*a.slots; x != y {
		return x < y
	}
	return a.index < b.index
}

// memoryGroupIndex returns the index of the smallest group with at least
// memoryMB, or the number of groups if there is none.
func (svc *service) memoryGroupIndex(memoryMB int64) int {
	return sort.Search(len(svc.memoryGroups), func(i int) bool { return svc.memoryGroups[i].memoryMB >= memoryMB })
}

// largestFreeGroup returns the index of the group with the most memory that has
// a free slot, or -1.
func (svc *service) largestFreeGroup() int {
	for i := len(svc.memoryGroups) - 1; i >= 0; i-- {
		if svc.memoryGroups[i].freeTargets.len() > 0 {
			return i
		}
	}
	return -1
}

// ensureTarget returns the target at the address and adds it if it is unknown.
func (s *State) ensureTarget(svc *service, address string) *target {
	t := svc.targets[address]
	if t == nil {
		t = &target{address: address, index: svc.nextTargetIndex, lastContact: s.now}
		svc.nextTargetIndex++
		svc.targets[address] = t
		svc.targetList = append(svc.targetList, t)
		// The memory stays unknown until the platform's list or the target itself
		// states it.
		svc.setMemory(t, 0)
	}
	return t
}

// setMemory moves the target to the group of its memory size. A memoryMB of 0
// means that the size is unknown: such a target takes tasks of any declared
// memory.
func (svc *service) setMemory(t *target, memoryMB int64) {
	if memoryMB <= 0 {
		memoryMB = math.MaxInt64
	}
	if t.memoryGroup != nil && t.memoryMB == memoryMB {
		return
	}
	if t.memoryGroup != nil {
		t.memoryGroup.targetCount--
		t.memoryGroup.freeTargets.remove(t)
	}
	t.memoryMB = memoryMB
	i := svc.memoryGroupIndex(memoryMB)
	if i == len(svc.memoryGroups) || svc.memoryGroups[i].memoryMB != memoryMB {
		g := &memoryGroup{memoryMB: memoryMB}
		g.freeTargets = heap[*target]{less: lessLoaded, position: func(t *target) *int { return &t.freePos }}
		svc.memoryGroups = slices.Insert(svc.memoryGroups, i, g)
		svc.rebuildQueues()
	}
	t.memoryGroup = svc.memoryGroups[i]
	t.memoryGroup.targetCount++
	svc.refresh(t)
}

// refresh updates the slot totals of the service and the position of the target
// among the free ones. Call it after every change of the target's state.
func (svc *service) refresh(t *target) {
	svc.setUsableSlots(t, t.slotLimit())
	free := &t.memoryGroup.freeTargets
	switch {
	case !t.hasFreeSlot():
		free.remove(t)
	case free.has(t):
		free.fix(t)
		svc.dirty = true
	default:
		free.push(t)
		svc.dirty = true
	}
}

// setUsableSlots updates the service's totals to the slots that the target
// contributes now.
func (svc *service) setUsableSlots(t *target, slots int) {
	svc.usableSlots += slots - t.countedSlots
	switch {
	case slots > 0 && t.countedSlots == 0:
		svc.usableTargets++
	case slots == 0 && t.countedSlots > 0:
		svc.usableTargets--
	}
	t.countedSlots = slots
}

// handleTargetsListed stores a newly read list of targets from the platform and
// applies it to all services.
func (s *State) handleTargetsListed(vms []messenger.VM) {
	s.vms = slices.Clone(vms)
	for _, name := range s.serviceNames {
		s.syncTargets(s.services[name])
	}
}

// syncTargets applies the platform's list to the service. Slots and memory that
// a target reported itself take precedence over the listed ones.
func (s *State) syncTargets(svc *service) {
	for _, t := range svc.targetList {
		t.listed, t.listedLeaving = false, false
	}
	for _, vm := range s.vms {
		if vm.Role != messenger.TargetVM || vm.Service != svc.name || s.inOtherDomain(vm) {
			continue
		}
		t := s.ensureTarget(svc, vm.Address)
		t.listed, t.listedLeaving = true, vm.Leaving
		if !t.hasReportedSlots {
			t.slots = vm.Slots
			svc.setMemory(t, vm.MemoryMB)
		}
		svc.refresh(t)
	}
	for _, t := range svc.targetList {
		svc.refresh(t)
	}
}

// removeGoneTargets removes the targets that are not listed and have no live
// grant, if they are unreachable or have reported that they are leaving.
func (svc *service) removeGoneTargets() {
	svc.targetList = slices.DeleteFunc(svc.targetList, func(t *target) bool {
		gone := !t.listed && t.inUse == 0 && (t.unreachable || t.reportedLeaving)
		if gone {
			svc.setUsableSlots(t, 0)
			t.memoryGroup.targetCount--
			t.memoryGroup.freeTargets.remove(t)
			delete(svc.targets, t.address)
		}
		return gone
	})
}

func (s *State) inOtherDomain(vm messenger.VM) bool {
	return vm.FailureDomain != "" && s.domain != "" && vm.FailureDomain != s.domain
}

// applyStatus applies a status reported by the target. Only a busy reply may
// raise othersInUse: other statuses can be outdated by releases that other
// entries sent in the meantime.
func (s *State) applyStatus(svc *service, t *target, status messenger.TargetStatus, busy bool) {
	if status.Slots > 0 {
		t.slots, t.hasReportedSlots = status.Slots, true
	}
	if status.MemoryMB > 0 {
		svc.setMemory(t, status.MemoryMB)
	}
	// Only a probe clears this flag: a reply may have been sent before the
	// target began to leave.
	t.reportedLeaving = t.reportedLeaving || status.Leaving
	others := max(0, status.InFlight-t.inUse)
	if busy {
		t.othersInUse, t.othersExpireAt = others, s.now+othersTTLMs*ms
	} else {
		t.othersInUse = min(t.othersInUse, others)
	}
}

// othersTTLMs is how long othersInUse stays valid after a busy reply.
const othersTTLMs = 2000
