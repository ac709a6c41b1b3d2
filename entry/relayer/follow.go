package relayer

import (
	"context"
	"time"

	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/lister"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/entry/router"
)

const (
	// configurationEvery is the pause between readings of the configuration,
	// which has to be in force everywhere within 2 s.
	configurationEvery = 900 * time.Millisecond
	// workersEvery is the pause between readings of the list of workers by the
	// owner. Work for a draining worker has to end within 2 s.
	workersEvery = 600 * time.Millisecond
	// membersEvery is the pause between readings of the list of entries while
	// no owner is known, and membersSeldom while one is.
	membersEvery  = 500 * time.Millisecond
	membersSeldom = 10 * time.Second
	// announceAgain is the pause after a failed announcement.
	announceAgain = 300 * time.Millisecond
	storeTimeout  = time.Second
)

// followStore keeps the configuration, the workers and the entries up to date.
func (r *Relayer) followStore(ctx context.Context) {
	go r.announce(ctx)
	go every(ctx, configurationEvery, func() { r.readConfiguration(ctx) })
	go every(ctx, workersEvery, func() { r.readWorkers(ctx) })
	var lastMembers time.Time
	every(ctx, membersEvery, func() {
		if r.ownership.Load().address != "" && time.Since(lastMembers) < membersSeldom {
			return
		}
		lastMembers = time.Now()
		r.readMembers(ctx)
	})
}

// every calls f now and after each pause until ctx ends.
func every(ctx context.Context, pause time.Duration, f func()) {
	ticker := time.NewTicker(pause)
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
		r.noteStore("members", err)
		if err == nil {
			return
		}
		select {
		case <-time.After(announceAgain):
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relayer) readConfiguration(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	cfg, err := r.Store.Configuration(call)
	r.noteStore("configuration", err)
	if err == nil {
		r.apply(cfg, "store")
	}
}

// apply puts a configuration into force unless it is older than the one there
// is.
func (r *Relayer) apply(cfg router.Configuration, source string) {
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

// readWorkers reads the list of workers if this entry owns them or has none.
func (r *Relayer) readWorkers(ctx context.Context) {
	own := r.ownership.Load().address
	if own != r.Self.Address && own != "" && len(r.fleet.Load().Workers) > 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := r.Store.Workers(call)
	r.noteStore("workers", err)
	if err == nil {
		r.setFleet(list)
	}
}

func (r *Relayer) setFleet(workers []placer.Worker) {
	old := r.fleet.Load()
	if next := old.Replace(r.Self.Incarnation, workers); next != old {
		r.useFleet(next)
	}
}

const (
	// splitAbove is the number of workers from which on each failure domain has
	// an owner of its own: one owner of 350 workers used 0.4 of a core and ran
	// behind. Below, one owner places wide jobs better.
	splitAbove = 120
	// joinBelow is the number below which one owner has all workers again.
	joinBelow = 80
)

// useFleet takes over a list of workers, and with it the group that this entry
// belongs to.
func (r *Relayer) useFleet(f *lister.List) {
	r.fleet.Store(f)
	if n := len(f.Workers); n > splitAbove || n < joinBelow {
		r.split.Store(n > splitAbove)
	}
	if len(f.Workers) == 0 {
		return
	}
	if !r.split.Load() {
		r.post(elector.Grouped{Group: "all"})
		r.post(placer.Listed{Workers: f.Workers})
		return
	}
	var own []placer.Worker
	for _, w := range f.Workers {
		if w.FailureDomain == r.Self.FailureDomain {
			own = append(own, w)
		}
	}
	r.post(elector.Grouped{Group: r.Self.FailureDomain})
	r.post(placer.Listed{Workers: own})
}

func (r *Relayer) readMembers(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := r.Store.Members(call)
	r.noteStore("members", err)
	if err == nil {
		r.members.Store(&list)
		known := elector.Known{}
		for _, m := range list {
			known.Addresses = append(known.Addresses, m.Address)
		}
		r.post(known)
	}
}

// noteStore logs when readings of a kind begin to fail, and when they succeed
// again.
func (r *Relayer) noteStore(part string, err error) {
	r.storeMu.Lock()
	defer r.storeMu.Unlock()
	switch {
	case err != nil && !r.storeDown[part]:
		r.Log.WithField("part", part).WithError(err).Warn("relayer: lost the store")
	case err == nil && r.storeDown[part]:
		r.Log.WithField("part", part).Info("relayer: regained the store")
	}
	r.storeDown[part] = err != nil
}
