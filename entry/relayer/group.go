package relayer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/grouper"
	"github.com/godwitrelay/godwitrelay/entry/lister"
	"github.com/godwitrelay/godwitrelay/entry/placer"
)

// assignmentPeriod is how long after its start an entry may still move between
// the groups of a layout, as it learns of other entries. A later move would
// unbalance the groups again whenever an entry comes or goes.
const assignmentPeriod = 10 * time.Second

// groupTracker holds the layout of the worker groups and the group of this entry.
type groupTracker struct {
	self      elector.Member
	startedAt time.Time
	// leastCapacity is the smallest capacity of all known entries, or 0 if none is
	// known.
	leastCapacity atomic.Int64

	mu      sync.Mutex
	members []elector.Member
	group   grouper.Group
}

func (t *groupTracker) init(now time.Time, self elector.Member) {
	t.self, t.startedAt = self, now
	t.group = grouper.Group{FailureDomain: self.FailureDomain}
	t.leastCapacity.Store(self.Capacity())
}

// current returns the group of this entry. Its layout is unknown until the entry
// has read the list of workers or heard another entry.
func (t *groupTracker) current() grouper.Group {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.group
}

func (t *groupTracker) setMembers(list []elector.Member) {
	t.mu.Lock()
	t.members = list
	t.mu.Unlock()
	for _, m := range list {
		t.lowerCapacity(m.Capacity())
	}
}

// lowerCapacity records the capacity of an entry, if it is known and the
// smallest so far.
func (t *groupTracker) lowerCapacity(capacity int64) {
	for capacity > 0 {
		old := t.leastCapacity.Load()
		if (old != 0 && capacity >= old) || t.leastCapacity.CompareAndSwap(old, capacity) {
			return
		}
	}
}

// deployment describes the deployment with the given workers.
func (t *groupTracker) deployment(workers []placer.Worker) grouper.Deployment {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := grouper.Deployment{Workers: len(workers), Capacity: t.leastCapacity.Load()}
	for _, w := range workers {
		if w.FailureDomain == t.self.FailureDomain {
			d.DomainWorkers++
		}
	}
	d.DomainEntries = 1
	for _, m := range t.members {
		if m.FailureDomain == t.self.FailureDomain && m.Address != t.self.Address {
			d.DomainEntries++
		}
	}
	return d
}

// update changes the layout and returns the resulting group and whether it is
// another one. Within a layout, only an entry that started recently and is free
// to move is assigned to another group.
func (t *groupTracker) update(now time.Time, free bool, change func(grouper.Layout) grouper.Layout) (grouper.Group, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	layout := change(t.group.Layout)
	if !layout.Known || (layout == t.group.Layout && (!free || now.Sub(t.startedAt) > assignmentPeriod)) {
		return t.group, false
	}
	old := t.group
	t.group = grouper.Assign(layout, t.self, t.members)
	return t.group, t.group != old
}

// updateLayout changes the layout and moves this entry to its new group, if that
// is another one. The workers of the new group are then unknown until they are
// read from the store or from the owner.
func (r *Relayer) updateLayout(change func(grouper.Layout) grouper.Layout) grouper.Group {
	r.assignMu.Lock()
	defer r.assignMu.Unlock()
	free := r.inFlight.Load() == 0 && !r.IsOwner()
	group, changed := r.groups.update(time.Now(), free, change)
	if changed {
		r.Log.WithFields(logrus.Fields{"group": group.Name(), "leastCapacity": r.groups.leastCapacity.Load()}).Info("relayer: assigned to a worker group")
		r.assign(group, &lister.List{})
	}
	return group
}

// adoptLayout handles the layout that another entry reports. A follower adopts
// that of its owner. Owners, and entries without an owner, adopt one with more
// groups; only owners return to fewer groups, as they read the list of workers.
func (r *Relayer) adoptLayout(b heartbeat) {
	r.groups.lowerCapacity(b.LeastCapacity)
	group, layout := r.groups.current(), b.Layout
	if b.View.From.FailureDomain != group.FailureDomain {
		layout = layout.ForeignLayout()
	}
	if !layout.Valid() || layout == group.Layout {
		return
	}
	owner := r.ownership.Load().address
	switch {
	case owner == b.View.From.Address && owner != r.Self.Address:
		r.updateLayout(func(grouper.Layout) grouper.Layout { return layout })
	case owner == "", r.IsOwner() && b.View.ClaimedAtMs != 0:
		r.updateLayout(layout.Merge)
	}
}

// applyWorkerList activates the list of the workers of a group, unless this entry
// has moved to another group.
func (r *Relayer) applyWorkerList(group grouper.Group, list *lister.List) {
	r.assignMu.Lock()
	defer r.assignMu.Unlock()
	if group == r.groups.current() {
		r.assign(group, list)
	}
}

// assign tells both reducers the group of this entry and its workers. The caller
// holds assignMu, so that the reducers learn of changes in their order.
func (r *Relayer) assign(group grouper.Group, list *lister.List) {
	r.workerList.Store(list)
	domain := group.FailureDomain
	if group.Layout.Parts == 0 {
		domain = ""
	}
	r.post(placer.WorkersListed{Workers: list.Workers})
	r.post(elector.GroupAssigned{Group: group.Name(), FailureDomain: domain, CanOwn: len(list.Workers) > 0})
}
