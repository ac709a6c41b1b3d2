package relayer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/grouper"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/entry/router"
)

const (
	// configurationInterval is the polling interval of the configuration, which
	// must be active on all entries within 2 s.
	configurationInterval = 900 * time.Millisecond
	// firstReadTimeout is the timeout of a read of the configuration, and
	// firstRetryInterval the interval until the next one if it fails. Both double
	// with each failure in a row, up to storeTimeout and configurationInterval: a
	// lost answer must not cost much of the 2 s, and a store that is slow must not
	// be given up too early.
	firstReadTimeout   = 250 * time.Millisecond
	firstRetryInterval = 100 * time.Millisecond
	// workersInterval is the polling interval of the worker list on the owner.
	// Work on a draining worker must end within 2 s.
	workersInterval = 600 * time.Millisecond
	// membersInterval is the polling interval of the member list while no owner
	// is known, and membersIdleInterval while one is.
	membersInterval     = 500 * time.Millisecond
	membersIdleInterval = 10 * time.Second
	// announceRetryInterval is the delay after a failed announcement.
	announceRetryInterval = 300 * time.Millisecond
	storeTimeout          = time.Second
)

// pollStore announces this entry, and keeps the configuration, the worker list
// and the member list up to date.
func (r *Relayer) pollStore(ctx context.Context) {
	go r.announce(ctx)
	go r.pollConfiguration(ctx)
	go runEvery(ctx, workersInterval, func() { r.readWorkers(ctx) })
	var lastMembers time.Time
	runEvery(ctx, membersInterval, func() {
		if r.ownership.Load().address != "" && time.Since(lastMembers) < membersIdleInterval {
			return
		}
		lastMembers = time.Now()
		r.readMembers(ctx)
	})
}

// runEvery calls f immediately and then at every interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relayer) announce(ctx context.Context) {
	for {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := r.Store.Announce(call, r.Self)
		cancel()
		r.recordStoreStatus("members", err)
		if err == nil {
			return
		}
		select {
		case <-time.After(announceRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}

// pollConfiguration reads the configuration until ctx ends.
func (r *Relayer) pollConfiguration(ctx context.Context) {
	for failures := 0; ; {
		next := time.Now().Add(configurationInterval)
		if r.readConfiguration(ctx, readTimeout(failures)) {
			failures = 0
		} else {
			next = time.Now().Add(readRetryDelay(failures))
			failures++
		}
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
	}
}

// readTimeout returns the timeout of a read after a number of failures in a row.
func readTimeout(failures int) time.Duration {
	return min(firstReadTimeout<<min(failures, maxDoublings), storeTimeout)
}

// readRetryDelay returns the time from the end of a failed read to the next one.
func readRetryDelay(failures int) time.Duration {
	return min(firstRetryInterval<<min(failures, maxDoublings), configurationInterval)
}

// maxDoublings keeps shifted durations from overflowing.
const maxDoublings = 8

// readConfiguration reads the configuration from the store and reports whether it
// succeeded.
func (r *Relayer) readConfiguration(ctx context.Context, timeout time.Duration) bool {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := timeSinceBoot()
	cfg, err := r.Store.Configuration(call)
	r.recordStoreStatus("configuration", err)
	if err != nil {
		r.confirmations.Fail(sentAt, timeSinceBoot(), timeout)
		return false
	}
	r.applyConfiguration(cfg, "store")
	r.confirmations.Confirm(sentAt)
	return true
}

// applyConfiguration activates a configuration if it is newer than the active
// one.
func (r *Relayer) applyConfiguration(cfg router.Configuration, source string) {
	for {
		old := r.configuration.Load()
		if cfg.Version == 0 || (old != nil && old.Version >= cfg.Version) {
			return
		}
		if r.configuration.CompareAndSwap(old, &cfg) {
			r.Log.WithField("version", cfg.Version).WithField("queues", len(cfg.Queues)).WithField("source", source).Info("relayer: configuration in force")
			return
		}
	}
}

// readWorkers polls the worker list if this entry is the owner, knows no owner
// or has no list yet.
func (r *Relayer) readWorkers(ctx context.Context) {
	owner := r.ownership.Load().address
	if owner != r.Self.Address && owner != "" && len(r.workerList.Load().Workers) > 0 {
		return
	}
	if r.members.Load() == nil {
		// The layout of the groups depends on the members.
		r.readMembers(ctx)
	}
	timeout := storeTimeout
	if r.storeProxy != "" {
		// The list also comes from another entry, which must not wait long for the
		// store to answer this one.
		timeout = firstReadTimeout
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	list, err := r.Store.Workers(call)
	r.recordStoreStatus("workers", err)
	switch {
	case err == nil:
		r.storeProxy = ""
	case r.IsOwner():
		list = r.readWorkersThroughProxy()
	}
	r.updateWorkers(list)
}

// readWorkersThroughProxy has another entry read the list of workers, since the
// store may reject this one only. It keeps to one entry while that succeeds.
func (r *Relayer) readWorkersThroughProxy() []placer.Worker {
	others := r.otherEntries()
	for range maxProxyAttempts {
		if r.storeProxy == "" && len(others) > 0 {
			r.storeProxy = others[rand.IntN(len(others))]
		}
		var list []placer.Worker
		if r.storeProxy != "" && r.fetch(r.storeProxy, "/peer/v1/stored/workers", &list) {
			return r.validWorkers(r.storeProxy, list)
		}
		r.storeProxy = ""
	}
	return nil
}

// maxProxyAttempts limits the entries that are asked in one reading of the list.
const maxProxyAttempts = 3

// otherEntries returns the addresses of the other entries that this one knows: those
// in the store when it was last read, and those that it lists as an owner.
func (r *Relayer) otherEntries() []string {
	list := slices.Clone(r.view.Load().Members)
	if members := r.members.Load(); members != nil {
		for _, m := range *members {
			list = append(list, m.Address)
		}
	}
	return slices.DeleteFunc(list, func(address string) bool { return address == r.Self.Address })
}

// serveStoredWorkers replies with the list of all workers as read from the store.
func (r *Relayer) serveStoredWorkers(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := context.WithTimeout(req.Context(), peerTimeout)
	defer cancel()
	list, err := r.Store.Workers(ctx)
	if err != nil {
		refusal := messenger.NewError(messenger.NotReady, err.Error())
		messenger.WriteJSON(w, refusal.Status(), refusal)
		return
	}
	messenger.WriteJSON(w, http.StatusOK, list)
}

// updateWorkers handles the list of all workers, as read from the store.
func (r *Relayer) updateWorkers(workers []placer.Worker) {
	if len(workers) == 0 {
		return
	}
	d := r.groups.deployment(workers)
	group := r.updateLayout(func(l grouper.Layout) grouper.Layout { return r.settler.Next(time.Now(), l, d) })
	old := r.workerList.Load()
	if next := old.Replace(r.Self.Incarnation, group.Select(workers)); next != old {
		r.applyWorkerList(group, next)
	}
}

func (r *Relayer) readMembers(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := r.Store.Members(call)
	r.recordStoreStatus("members", err)
	if err == nil {
		r.members.Store(&list)
		r.groups.setMembers(list)
		r.post(elector.MembersFound{Members: list})
		r.updateLayout(func(l grouper.Layout) grouper.Layout { return l })
	}
}

// recordStoreStatus logs when access to a part of the store starts to fail and
// when it recovers.
func (r *Relayer) recordStoreStatus(part string, err error) {
	r.storeMu.Lock()
	defer r.storeMu.Unlock()
	switch {
	case err != nil && !r.storeDown[part]:
		r.Log.WithField("part", part).WithError(err).Warn("relayer: access to the store fails")
	case err == nil && r.storeDown[part]:
		r.Log.WithField("part", part).Info("relayer: access to the store works again")
	}
	r.storeDown[part] = err != nil
}
