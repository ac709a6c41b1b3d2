// Package relayer runs an entry on a platform that provides workers and a
// store. It drives the elector and placer reducers, executes their commands,
// and forwards jobs to the entry that owns the workers.
package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"
	"golang.org/x/sys/unix"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/attester"
	"github.com/godwitrelay/godwitrelay/entry/canceller"
	"github.com/godwitrelay/godwitrelay/entry/confirmer"
	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/exporter"
	"github.com/godwitrelay/godwitrelay/entry/grouper"
	"github.com/godwitrelay/godwitrelay/entry/lister"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/entry/router"
	"github.com/godwitrelay/godwitrelay/entry/spiller"
	"github.com/godwitrelay/godwitrelay/entry/timer"
)

const (
	eventQueueSize = 4096
	// submissionQueueSize is the number of jobs that may wait for the event loop.
	submissionQueueSize = 1024
	// stallThreshold is the gap between two events of the loop, including ticks,
	// from which the process counts as suspended. By then other entries consider
	// it lost.
	stallThreshold = 600 * time.Millisecond
	// tickInterval is the resolution of delays and timeouts in the reducers.
	tickInterval = 20 * time.Millisecond
	// lagRetainedPercent is the percentage of the measured loop lag that carries
	// over to the next tick.
	lagRetainedPercent = 80
	// timeoutPerLag is the factor by which the lag of the event loop extends
	// timeouts.
	timeoutPerLag = 4
	// metricsInterval is the maximum age of the gauges.
	metricsInterval = time.Second
	// behindThreshold is the lag of the event loop, or the response time of workers,
	// from which an owner counts as behind.
	behindThreshold = 60 * time.Millisecond
	// suspensionThreshold is the minimum increase of suspendedTime between two
	// events of the loop that counts as a suspension of the process.
	suspensionThreshold = 150 * time.Millisecond
)

// Workers sends requests to workers. Every call must return within a bounded
// time.
type Workers interface {
	Hold(placer.Hold) placer.HoldResponse
	Start(placer.Start) placer.StartResponse
	Stop(placer.Stop) placer.StopResponse
}

// Store reads the data that operators and workers publish, and lets entries
// discover each other.
type Store interface {
	// Configuration returns the latest configuration.
	Configuration(ctx context.Context) (router.Configuration, error)
	// Workers returns the current list of workers.
	Workers(ctx context.Context) ([]placer.Worker, error)
	// Announce publishes the address of this entry.
	Announce(ctx context.Context, m elector.Member) error
	// Members returns the entries that have announced themselves.
	Members(ctx context.Context) ([]elector.Member, error)
}

// Relayer is a single entry. Set the exported fields before calling
// [Relayer.Init] and [Relayer.Run].
type Relayer struct {
	Self    elector.Member
	Seeds   []string
	Workers Workers
	Store   Store
	Peers   messenger.Client
	Metrics *exporter.Exporter
	Log     *logrus.Logger
	// ConfigApplyLimit is the time within which a configuration must be in force
	// after it was acknowledged. 0 means confirmer.DefaultMaxAge.
	ConfigApplyLimit time.Duration
	// RemoteFactor is the value of placer.State.RemoteFactor.
	RemoteFactor float64
	// WithoutLookahead turns off look-ahead placement, see [placer.State].
	WithoutLookahead bool

	placer  *placer.State
	elector *elector.State
	events  chan any
	// submissions holds the jobs, and their cancellations by id, that wait for the
	// event loop. They wait behind all other events, so that leases are renewed and
	// runs are stopped even if there are more jobs than this entry can handle.
	submissions chan any
	done        chan struct{}
	// forceStop is closed when jobs in progress must be answered immediately.
	forceStop  chan struct{}
	waiters    sync.Map
	lastWaiter atomic.Uint64
	// cancellings holds the cancelled jobs that this entry knows of, and held the
	// requests of callers that it holds.
	cancellings canceller.State
	held        heldRequests
	// attestations holds the jobs for which this entry waits at owners.
	attestations attester.State
	// claimedAt is when this entry last became the owner. Only the event loop uses it.
	claimedAt time.Time

	configuration atomic.Pointer[router.Configuration]
	// confirmations holds when the active configuration was last known to be the
	// newest one, and configurationReads the reads that requests wait for: by the
	// address of another entry, or "" for the store.
	confirmations      confirmer.State
	configurationReads singleflight.Group
	// storeProxy is the entry that reads the list of workers for this owner while the
	// store rejects its requests, or empty. Only the polling of the list uses it.
	storeProxy string
	// workerList is the list of the workers of this entry's group.
	workerList atomic.Pointer[lister.List]
	groups     groupTracker
	// assignMu serializes changes of the group and its workers. It guards settler.
	assignMu   sync.Mutex
	settler    grouper.Settler
	view       atomic.Pointer[elector.View]
	members    atomic.Pointer[[]elector.Member]
	neighbours spiller.State
	// crashes holds the crashes known to the placer, for other entries.
	crashes          atomic.Pointer[knownCrashes]
	crashesFetchedAt atomic.Int64
	// factors holds the factors of workers known to the placer, for other entries.
	factors          atomic.Pointer[placer.FactorReport]
	factorsFetchedAt atomic.Int64
	// factorsFetched is the digest of the factors that were fetched last.
	factorsFetched atomic.Uint64
	room           atomic.Pointer[freeRoom]
	// oldestOrphan is the value of placer.State.OldestOrphan.
	oldestOrphan atomic.Pointer[time.Time]
	// fence is the highest fencing token seen by this entry.
	fence             atomic.Int64
	ownership         atomic.Pointer[ownership]
	draining          atomic.Bool
	inFlight          atomic.Int64
	storeDown         map[string]bool
	storeMu           sync.Mutex
	lastSuspendedTime time.Duration
	// lag is the recent scheduling delay of the event loop.
	lag time.Duration
	// responses holds the response times of workers.
	responses timer.Estimator
	// lastEventAt is when the loop handled its last event.
	lastEventAt time.Time
	gaugesSetAt time.Time
	// behind is set while this owner counts as behind.
	behind bool
}

// freeRoom is what fits into the group of an owner, as of its last tick.
type freeRoom struct {
	freeCPU int64
	room    placer.Room
}

// ownership is the owner as currently known to this entry. The changed channel
// is closed when the value is replaced.
type ownership struct {
	address string
	changed chan struct{}
}

// Init initializes the relayer. Call it exactly once.
func (r *Relayer) Init(now time.Time) {
	r.placer = placer.New(r.Self.Incarnation)
	r.placer.RemoteFactor = r.RemoteFactor
	r.placer.WithoutLookahead = r.WithoutLookahead
	r.elector = elector.New(now, r.Self)
	r.events, r.submissions = make(chan any, eventQueueSize), make(chan any, submissionQueueSize)
	r.done, r.forceStop = make(chan struct{}), make(chan struct{})
	r.confirmations.MaxAge = r.ConfigApplyLimit
	r.groups.init(now, r.Self)
	r.ownership.Store(&ownership{changed: make(chan struct{})})
	r.workerList.Store(&lister.List{})
	r.storeDown = map[string]bool{}
	r.crashes.Store(&knownCrashes{})
	r.factors.Store(&placer.FactorReport{})
	r.room.Store(&freeRoom{})
	v := r.elector.View()
	r.view.Store(&v)
	r.lastSuspendedTime = suspendedTime()
}

// Run processes events until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	defer close(r.done)
	go r.pollStore(ctx)
	go runEvery(ctx, spiller.PollInterval, func() { r.pingNeighbours(time.Now()) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	r.handle(time.Now(), elector.AddressesFound{Addresses: r.Seeds})
	for ctx.Err() == nil {
		msg, due := r.nextEvent(ctx, ticker.C)
		now := time.Now()
		r.detectSuspension(now)
		if !due.IsZero() {
			r.lag = max(now.Sub(due), r.lag*lagRetainedPercent/100)
			r.handle(now, elector.Tick{WallMs: now.UnixMilli()})
			r.handle(now, placer.Tick{ResponseTime: r.responses.ResponseTime()})
			r.measureRoom(now)
			r.recordOrphans(now)
			r.setGauges(now)
		}
		if msg != nil {
			r.handle(now, msg)
		}
	}
}

// nextEvent waits for the next event or tick. Ticks come first and submissions
// last. It returns the time at which a tick was due, or an event, or neither if
// ctx has ended.
func (r *Relayer) nextEvent(ctx context.Context, ticks <-chan time.Time) (any, time.Time) {
	select {
	case due := <-ticks:
		return nil, due
	default:
	}
	select {
	case msg := <-r.events:
		return msg, time.Time{}
	default:
	}
	select {
	case due := <-ticks:
		return nil, due
	case msg := <-r.events:
		return msg, time.Time{}
	case msg := <-r.submissions:
		return msg, time.Time{}
	case <-ctx.Done():
		return nil, time.Time{}
	}
}

// measureRoom records what fits into the group for the heartbeats.
func (r *Relayer) measureRoom(now time.Time) {
	free := freeRoom{freeCPU: r.placer.FreeCPU(now)}
	if r.placer.IsOwner() && r.groups.current().Layout.Parts != 0 {
		free.room = r.placer.Room(now)
	}
	r.room.Store(&free)
}

// recordOrphans records the runs without a job for the heartbeats.
func (r *Relayer) recordOrphans(now time.Time) {
	if at := r.placer.OldestOrphan(now); at.IsZero() {
		r.oldestOrphan.Store(nil)
	} else {
		r.oldestOrphan.Store(&at)
	}
}

// raiseFence records a fencing token if it is the highest so far, so that the
// next owner starts above it.
func (r *Relayer) raiseFence(fence int64) {
	for {
		old := r.fence.Load()
		if fence <= old || r.fence.CompareAndSwap(old, fence) {
			return
		}
	}
}

// setGauges updates the gauges at most once per metricsInterval.
func (r *Relayer) setGauges(now time.Time) {
	if now.Sub(r.gaugesSetAt) < metricsInterval {
		return
	}
	r.gaugesSetAt = now
	o := exporter.Ownership{Owner: r.placer.IsOwner(), Lag: r.lag, ResponseTime: r.responses.ResponseTime(), Queued: len(r.submissions)}
	r.logBehind(o)
	o.Reachable, o.Workers = r.placer.ReachableWorkers(now)
	o.SlowWorkers = r.placer.SlowWorkers()
	o.Jobs, o.Waiting = r.placer.Jobs()
	if cfg := r.configuration.Load(); cfg != nil {
		o.ConfigVersion = cfg.Version
	}
	o.ConfigAge, _ = r.confirmations.Age(timeSinceBoot())
	r.Metrics.SetOwnership(o)
	for _, t := range r.placer.RunTimeRatios() {
		r.Metrics.SetRunTimeRatio(t.Queue, t.Median, t.P99)
	}
}

// logBehind logs when an owner falls behind and when it has caught up.
func (r *Relayer) logBehind(o exporter.Ownership) {
	behind := o.Owner && (o.Lag >= behindThreshold || o.ResponseTime >= behindThreshold)
	if behind == r.behind {
		return
	}
	r.behind = behind
	text := "relayer: the owner has caught up"
	if behind {
		text = "relayer: the owner is behind"
	}
	r.Log.WithFields(logrus.Fields{"lagMs": o.Lag.Milliseconds(), "responseMs": o.ResponseTime.Milliseconds(), "queued": o.Queued}).Warn(text)
}

// detectSuspension detects that the process was suspended, whether or not the
// monotonic clock counts that time, and reports it to both reducers.
func (r *Relayer) detectSuspension(now time.Time) {
	offset, lastEventAt := suspendedTime(), r.lastEventAt
	r.lastEventAt = now
	gap := offset - r.lastSuspendedTime
	if stall := now.Sub(lastEventAt); gap < suspensionThreshold && !lastEventAt.IsZero() && stall >= stallThreshold {
		gap = stall
	}
	if gap < suspensionThreshold {
		return
	}
	r.lastSuspendedTime = offset
	r.Log.WithField("gapMs", gap.Milliseconds()).Warn("relayer: the process was suspended")
	r.handle(now, placer.ProcessResumed{Gap: gap})
	r.handle(now, elector.ProcessResumed{})
}

// suspendedTime returns the total time for which the machine has been
// suspended, plus a constant.
func suspendedTime() time.Duration {
	steady := readClock(unix.CLOCK_MONOTONIC)
	return timeSinceBoot() - steady
}

// post queues an event for the loop.
func (r *Relayer) post(msg any) {
	select {
	case r.events <- msg:
	case <-r.done:
	}
}

func (r *Relayer) handle(now time.Time, msg any) {
	switch msg := msg.(type) {
	case placer.Submit:
		if _, ok := r.waiters.Load(msg.Waiter); !ok {
			// The request ended while the job was queued, so that its cancellation
			// has been handled already.
			return
		}
		if r.cancellings.Found(now, msg.Job.ID, msg.Entry) {
			r.runPlacerCmd(now, placer.Answer{Waiter: msg.Waiter, Result: placer.Result{Cancelled: true}})
			return
		}
		msg.Elsewhere = r.findElsewhere(now, msg)
		r.updatePlacer(now, msg)
	case placer.Msg:
		r.updatePlacer(now, msg)
	case elector.Msg:
		cmds := r.elector.Update(now, msg)
		v := r.elector.View()
		r.view.Store(&v)
		for _, cmd := range cmds {
			r.runElectorCmd(now, cmd)
		}
	case cancelRequest:
		msg.reply <- r.learnCancelling(now, now, msg.jobID)
	case []canceller.Cancelling:
		for _, c := range msg {
			r.learnCancelling(now, c.At(now), c.JobID)
		}
	}
}

func (r *Relayer) updatePlacer(now time.Time, msg placer.Msg) {
	for _, cmd := range r.placer.Update(now, msg) {
		r.runPlacerCmd(now, cmd)
	}
}

func (r *Relayer) runPlacerCmd(now time.Time, cmd placer.Cmd) {
	switch cmd := cmd.(type) {
	case placer.Hold:
		cmd.Extension = r.timeoutExtension()
		go r.hold(cmd)
	case placer.Start:
		cmd.Extension = r.timeoutExtension()
		go func() {
			began := time.Now()
			response := r.Workers.Start(cmd)
			r.responses.Observe(time.Since(began))
			r.post(response)
		}()
	case placer.Stop:
		cmd.Extension = r.timeoutExtension()
		go func() { r.post(r.Workers.Stop(cmd)) }()
	case placer.Answer:
		if ch, ok := r.waiters.LoadAndDelete(cmd.Waiter); ok {
			ch.(chan placer.Result) <- cmd.Result
		}
	case placer.WorkerTakenOver:
		r.handle(now, elector.WorkerTakenOver{})
	case placer.CrashesChanged:
		r.crashes.Store(&knownCrashes{r.placer.Crashes(now), now})
	case placer.FactorsChanged:
		factors := r.placer.Factors()
		r.factors.Store(&factors)
	case placer.Count:
		r.Metrics.Count(cmd.Group, cmd.Reason)
	case placer.Log:
		r.Log.WithFields(cmd.Fields).Info("placer: " + cmd.Text)
	}
}

// hold sends a hold. A response that came before the worker's wait was over says
// nothing about how long the request took.
func (r *Relayer) hold(cmd placer.Hold) {
	began := time.Now()
	response := r.Workers.Hold(cmd)
	if took := time.Since(began); took >= cmd.Wait {
		r.responses.Observe(took - cmd.Wait)
	}
	r.post(response)
}

// timeoutExtension returns how much the timeouts of requests to workers are
// extended. A request and its response each pass through several queues of this
// process.
func (r *Relayer) timeoutExtension() time.Duration {
	return r.responses.Extension() + timeoutPerLag*r.lag
}

func (r *Relayer) runElectorCmd(now time.Time, cmd elector.Cmd) {
	switch cmd := cmd.(type) {
	case elector.Ping:
		go r.ping(cmd.Address)
	case elector.Claim:
		r.Log.WithFields(logrus.Fields{"heard": cmd.Heard, "known": cmd.Known, "contested": cmd.Contested}).Info("elector: claiming ownership of the workers")
		if !r.placer.IsOwner() {
			r.claimedAt = now
		}
		r.handle(now, placer.Claim{
			WallMs: cmd.WallMs, HighestKnownFence: r.fence.Load(), Contested: cmd.Contested, PreviousOwnerHeardAt: cmd.PreviousOwnerHeardAt,
		})
		r.raiseFence(r.placer.Fence())
	case elector.Release:
		r.handle(now, placer.Release{Moved: cmd.Moved, Reason: cmd.Reason})
	case elector.EntryLost:
		if !cmd.OtherGroup {
			r.Log.WithField("entry", cmd.Address).Warn("elector: entry stopped sending pings to the owner")
		}
		r.handle(now, placer.EntryLost{Entry: cmd.Address})
	case elector.OwnerChanged:
		r.Log.WithFields(logrus.Fields{"owner": cmd.Address, "before": cmd.Previous, "reason": cmd.Reason}).Info("elector: owner changed")
		old := r.ownership.Swap(&ownership{address: cmd.Address, changed: make(chan struct{})})
		close(old.changed)
		r.handOnCancellings(now, cmd.Address)
	}
}

// Ready reports whether this entry may receive requests from callers.
func (r *Relayer) Ready() bool {
	return !r.draining.Load() && r.configuration.Load() != nil && r.ownership.Load().address != ""
}

// Draining reports whether a planned stop has started.
func (r *Relayer) Draining() bool { return r.draining.Load() }

// IsOwner reports whether this entry owns the workers.
func (r *Relayer) IsOwner() bool { return r.ownership.Load().address == r.Self.Address }
