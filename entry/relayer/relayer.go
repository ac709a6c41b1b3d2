// Package relayer runs an entry on a platform that provides workers and a
// store: it drives the reducers of ownership and placement, carries out their
// effects, and passes jobs to the entry that owns the workers.
package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/exporter"
	"github.com/godwitrelay/godwitrelay/entry/lister"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/entry/router"
	"github.com/godwitrelay/godwitrelay/entry/spiller"
)

const (
	queueLength = 4096
	// stallFrom is the time between two events of the loop, ticks included, from
	// which on the process counts as paused: others take it as lost by then.
	stallFrom = 600 * time.Millisecond
	// tickEvery is the precision of waits and time-outs.
	tickEvery = 20 * time.Millisecond
	// lagKept is the percentage of the loop's delay that is kept at each tick.
	lagKept = 80
	// metricsEvery is the age that gauges may have.
	metricsEvery = time.Second
	// pauseFrom is the difference between the clock that counts suspended time
	// and the one that doesn't from which on the process counts as paused.
	pauseFrom = 150 * time.Millisecond
)

// Workers carries out orders to workers. Each call returns within a bounded
// time.
type Workers interface {
	Hold(placer.Hold) placer.Held
	Start(placer.Start) placer.Started
	Stop(placer.Stop) placer.Stopped
}

// Store reads what operators and workers have published, and lets entries find
// each other.
type Store interface {
	// Configuration returns the newest configuration.
	Configuration(ctx context.Context) (router.Configuration, error)
	// Workers returns the list of workers.
	Workers(ctx context.Context) ([]placer.Worker, error)
	// Announce publishes the address of this entry.
	Announce(ctx context.Context, m elector.Member) error
	// Members returns the entries that have published their address.
	Members(ctx context.Context) ([]elector.Member, error)
}

// Relayer is one entry. Set the exported fields before [Relayer.Run].
type Relayer struct {
	Self    elector.Member
	Seeds   []string
	Workers Workers
	Store   Store
	Peers   messenger.Client
	Metrics *exporter.Exporter
	Log     *logrus.Logger

	placer  *placer.State
	elector *elector.State
	events  chan any
	done    chan struct{}
	// ending is closed when jobs in progress have to be answered at once.
	ending  chan struct{}
	waiters sync.Map
	last    atomic.Uint64

	configuration atomic.Pointer[router.Configuration]
	fleet         atomic.Pointer[lister.List]
	view          atomic.Pointer[elector.View]
	members       atomic.Pointer[[]elector.Member]
	neighbours    spiller.State
	freeCPU       atomic.Int64
	// fence is the highest fence that this entry has heard of.
	fence      atomic.Int64
	split      atomic.Bool
	ownership  atomic.Pointer[ownership]
	draining   atomic.Bool
	inFlight   atomic.Int64
	storeDown  map[string]bool
	storeMu    sync.Mutex
	bootOffset time.Duration
	// lag is the recent delay of events in the loop.
	lag time.Duration
	// loopAt is when the loop handled its last event.
	loopAt  time.Time
	shownAt time.Time
}

// ownership is the belief about who owns the workers. Changed is closed when
// it is replaced.
type ownership struct {
	address string
	changed chan struct{}
}

// Init makes the relayer usable; call it once.
func (r *Relayer) Init(now time.Time) {
	r.placer = placer.New(r.Self.Incarnation)
	r.elector = elector.New(now, r.Self)
	r.events, r.done, r.ending = make(chan any, queueLength), make(chan struct{}), make(chan struct{})
	r.ownership.Store(&ownership{changed: make(chan struct{})})
	r.fleet.Store(&lister.List{})
	r.storeDown = map[string]bool{}
	v := r.elector.View(now)
	r.view.Store(&v)
	r.bootOffset = bootOffset()
}

// Run handles events until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	defer close(r.done)
	go r.followStore(ctx)
	go every(ctx, spiller.AskEvery, func() { r.askNeighbours(time.Now()) })
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	r.handle(time.Now(), elector.Known{Addresses: r.Seeds})
	for {
		var msg any
		select {
		case msg = <-r.events:
		case due := <-ticker.C:
			r.lag = max(time.Since(due), r.lag*lagKept/100)
		case <-ctx.Done():
			return
		}
		now := time.Now()
		r.checkPause(now)
		if msg == nil {
			r.handle(now, elector.Tick{WallMs: now.UnixMilli()})
			r.handle(now, placer.Tick{})
			r.freeCPU.Store(r.placer.FreeCPU(now))
			r.showMetrics(now)
			continue
		}
		r.handle(now, msg)
	}
}

// learnFence keeps the highest fence, so that the next owner begins above it.
func (r *Relayer) learnFence(fence int64) {
	for {
		old := r.fence.Load()
		if fence <= old || r.fence.CompareAndSwap(old, fence) {
			return
		}
	}
}

// showMetrics sets the gauges, once a second.
func (r *Relayer) showMetrics(now time.Time) {
	if now.Sub(r.shownAt) < metricsEvery {
		return
	}
	r.shownAt = now
	o := exporter.Ownership{Owner: r.placer.Owning(), Lag: r.lag}
	o.Reachable, o.Workers = r.placer.Reached(now)
	o.Jobs, o.Waiting = r.placer.Jobs()
	if cfg := r.configuration.Load(); cfg != nil {
		o.ConfigVersion = cfg.Version
	}
	r.Metrics.ShowOwnership(o)
}

// checkPause notices that the process was suspended, whether the steady clock
// counts that time or not.
func (r *Relayer) checkPause(now time.Time) {
	offset, loopAt := bootOffset(), r.loopAt
	r.loopAt = now
	gap := offset - r.bootOffset
	if stall := now.Sub(loopAt); gap < pauseFrom && !loopAt.IsZero() && stall >= stallFrom {
		gap = stall
	}
	if gap < pauseFrom {
		return
	}
	r.bootOffset = offset
	r.Log.WithField("gapMs", gap.Milliseconds()).Warn("relayer: the process stood still")
	r.handle(now, placer.Resumed{Gap: gap})
	r.handle(now, elector.Resumed{})
}

// bootOffset returns the time that the machine has been suspended, plus a
// constant.
func bootOffset() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// post hands an event to the loop.
func (r *Relayer) post(msg any) {
	select {
	case r.events <- msg:
	case <-r.done:
	}
}

func (r *Relayer) handle(now time.Time, msg any) {
	switch msg := msg.(type) {
	case placer.Msg:
		for _, cmd := range r.placer.Update(now, msg) {
			r.performPlacer(now, cmd)
		}
	case elector.Msg:
		cmds := r.elector.Update(now, msg)
		v := r.elector.View(now)
		r.view.Store(&v)
		for _, cmd := range cmds {
			r.performElector(now, cmd)
		}
	case cancelRequest:
		r.handle(now, r.cancelMsg(msg))
	}
}

func (r *Relayer) performPlacer(now time.Time, cmd placer.Cmd) {
	switch cmd := cmd.(type) {
	case placer.Hold:
		cmd.Lag = r.lag
		go func() { r.post(r.Workers.Hold(cmd)) }()
	case placer.Start:
		cmd.Lag = r.lag
		go func() { r.post(r.Workers.Start(cmd)) }()
	case placer.Stop:
		go func() { r.post(r.Workers.Stop(cmd)) }()
	case placer.Answer:
		if ch, ok := r.waiters.LoadAndDelete(cmd.Waiter); ok {
			ch.(chan placer.Result) <- cmd.Result
		}
	case placer.Deposed:
		r.handle(now, elector.Deposed{})
	case placer.Count:
		r.Metrics.Count(cmd.Group, cmd.Reason)
	case placer.Log:
		r.Log.WithFields(cmd.Fields).Info("placer: " + cmd.Text)
	}
}

func (r *Relayer) performElector(now time.Time, cmd elector.Cmd) {
	switch cmd := cmd.(type) {
	case elector.Ping:
		go r.ping(cmd.Address)
	case elector.Own:
		r.Log.WithFields(logrus.Fields{"heard": cmd.Heard, "known": cmd.Known, "contested": cmd.Contested}).Info("elector: claiming the workers")
		r.handle(now, placer.Claim{WallMs: cmd.WallMs, Above: r.fence.Load(), Contested: cmd.Contested})
		r.learnFence(r.placer.Fence())
	case elector.Disown:
		r.handle(now, placer.Release{Moved: cmd.Moved, Reason: cmd.Reason})
	case elector.Lost:
		r.Log.WithField("entry", cmd.Address).Warn("elector: entry is silent")
		r.handle(now, placer.EntryLost{Entry: cmd.Address})
	case elector.OwnerChanged:
		r.Log.WithFields(logrus.Fields{"owner": cmd.Address, "before": cmd.Before, "reason": cmd.Reason}).Info("elector: owner changed")
		old := r.ownership.Swap(&ownership{address: cmd.Address, changed: make(chan struct{})})
		close(old.changed)
	}
}

// Configuration returns the configuration in force, or nil before the first.
func (r *Relayer) Configuration() *router.Configuration { return r.configuration.Load() }

// Ready tells whether callers may be sent to this entry.
func (r *Relayer) Ready() bool {
	return !r.draining.Load() && r.configuration.Load() != nil && r.ownership.Load().address != ""
}

// Draining tells whether the planned stop has begun.
func (r *Relayer) Draining() bool { return r.draining.Load() }

// Owning tells whether this entry is the owner of the workers.
func (r *Relayer) Owning() bool { return r.ownership.Load().address == r.Self.Address }
