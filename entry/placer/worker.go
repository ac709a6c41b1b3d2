package placer

import (
	"net/netip"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	// maxCapacity limits the CPU in thousandths of a core, the memory in MB and the
	// accelerators of a worker, so that sums over all workers do not overflow.
	maxCapacity = 1_000_000_000
	// maxNameBytes limits the names and labels of a worker, and maxLabels their
	// number, because entries keep them in memory and send them to each other.
	maxNameBytes = 255
	maxLabels    = 64
	// maxStartedAtMs limits the start time of a worker in Unix milliseconds.
	maxStartedAtMs = 1 << 53
)

// Resources is what a worker offers or a task requires: CPU in thousandths of a
// core, memory in MB, and the number of accelerators.
type Resources struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem"`
	GPU int64 `json:"gpu,omitempty"`
}

// Fits reports whether r fits within free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Mem <= free.Mem && r.GPU <= free.GPU
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Mem + o.Mem, r.GPU + o.GPU}
}

// Sub returns the difference of r and o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Mem - o.Mem, r.GPU - o.GPU}
}

// Worker is a VM that runs tasks under leases, as described by the platform.
// Address has the form IP:port.
type Worker struct {
	ID            string    `json:"id"`
	Address       string    `json:"address"`
	FailureDomain string    `json:"failureDomain"`
	Service       string    `json:"service"`
	Rack          string    `json:"rack,omitempty"`
	Labels        []string  `json:"labels,omitempty"`
	Resources     Resources `json:"room"`
	Draining      bool      `json:"draining,omitempty"`
	// StartedAtMs is when the worker's current incarnation started, in Unix
	// milliseconds, or 0 if unknown. It changes when the worker restarts under
	// the same id.
	StartedAtMs int64 `json:"bornMs"`
}

// Validate returns an error if a field of the worker is missing or out of range.
// Other programs write to the list of workers too, so every worker from the store
// or from another entry must be validated before it is used.
func (w Worker) Validate() error {
	address, err := netip.ParseAddrPort(w.Address)
	switch {
	case err != nil:
		return errors.Wrap(err, "invalid worker address, want IP:port")
	case address.Port() == 0:
		return errors.Newf("invalid worker address %q: the port is 0", w.Address)
	case w.StartedAtMs < -maxStartedAtMs || w.StartedAtMs > maxStartedAtMs:
		return errors.Newf("the start time of the worker is %d ms, want at most %d in either direction", w.StartedAtMs, int64(maxStartedAtMs))
	case len(w.Labels) > maxLabels:
		return errors.Newf("the worker has %d labels, want at most %d", len(w.Labels), maxLabels)
	}
	for _, r := range []struct {
		name   string
		amount int64
	}{{"CPU", w.Resources.CPU}, {"memory", w.Resources.Mem}, {"accelerators", w.Resources.GPU}} {
		if r.amount < 0 || r.amount > maxCapacity {
			return errors.Newf("the worker's %s is %d, want 0 to %d", r.name, r.amount, maxCapacity)
		}
	}
	for _, name := range []string{w.ID, w.FailureDomain, w.Service} {
		if name == "" || !isPrintable(name) {
			return errors.Newf("invalid worker id, failure domain or service %.40q, want 1 to %d bytes of printable text", name, maxNameBytes)
		}
	}
	for _, label := range w.Labels {
		if !isPrintable(label) {
			return errors.Newf("invalid worker label %.40q, want at most %d bytes of printable text", label, maxNameBytes)
		}
	}
	return nil
}

// isPrintable reports whether s is short text that can be sent in a header.
func isPrintable(s string) bool {
	if len(s) > maxNameBytes || !utf8.ValidString(s) {
		return false
	}
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// phase is the ownership state of a worker.
type phase int

const (
	// released means that the worker belongs to another entry or to none.
	released phase = iota
	// claiming means that a hold with this entry's fence has been sent, and that
	// the worker has not answered any since.
	claiming
	// owned means that the worker has accepted this entry's fence.
	owned
)

// worker holds what the owner knows about one VM.
type worker struct {
	Worker
	phase phase
	// unlistedAt is when the worker disappeared from the list, or zero.
	unlistedAt time.Time
	// removed is set when the worker may not be used any more because it is not
	// listed.
	removed       bool
	fence         int64
	usedResources Resources
	// unsizedRuns is the number of runs that usedResources lacks.
	unsizedRuns int
	runs        map[RunKey]*run
	// lateStarts is the number of starts in [State.lateStarts] that were sent to the
	// worker.
	lateStarts int
	// orphans is the number of runs without a job.
	orphans int
	// renewedAt is when the last request that renewed the leases was sent.
	renewedAt time.Time
	// unmatchedEnds holds the ends of runs that this owner has no record of. No
	// job has been matched with them yet.
	unmatchedEnds map[RunKey]runEnd
	health        health
	speed         speed
	samples       speedSamples
	// lastingFactor is the factor of a worker that is slow for good, or 0.
	lastingFactor float64

	lastEndIndex int64
	holdPending  bool
	answeredAt   time.Time
	// listedAt is when the most recently received lists were requested.
	listedAt        time.Time
	probedAt        time.Time
	unansweredHolds int
	// runsUnknown is set from a restart of the worker until it lists its runs
	// under a higher fence.
	runsUnknown bool
	// lost is set while the worker counts as unresponsive.
	lost bool
	// refused is set when the worker's address refuses connections, until the worker
	// answers.
	refused              bool
	nextHoldAt           time.Time
	claimedAt            time.Time
	placementPausedUntil time.Time

	// workerClockMs is the worker's monotonic clock at clockReadAt, the arrival
	// of its last response.
	workerClockMs int64
	clockReadAt   time.Time
}

type runEnd struct {
	kind EndKind
	at   time.Time
}

func newWorker(w Worker) *worker {
	return &worker{Worker: w, runs: map[RunKey]*run{}, unmatchedEnds: map[RunKey]runEnd{}}
}

// renewLease returns the time on the worker's clock until which a request that is
// sent now renews the leases, or 0 if it must not renew them.
func (w *worker) renewLease(now time.Time) int64 {
	d := w.leaseLimit(now).Sub(now)
	// A claimed worker has not listed its runs yet.
	known := w.phase == owned && !w.clockReadAt.IsZero()
	// The jobs of a lost worker are answered, and their callers may resubmit them.
	needed := !w.lost || w.orphans < len(w.runs)
	if !known || !needed || d <= 0 {
		return 0
	}
	w.renewedAt = now
	// On a slow clock the lease must not last longer than d either.
	return w.workerClockMs + (now.Sub(w.clockReadAt)+d).Milliseconds()*(100-maxClockSlowPercent)/100
}

// keepUnlisted reports whether a worker that is not listed is used a little
// longer. After an outage of the store, live workers are missing from the list
// until they have registered again.
func (w *worker) keepUnlisted(now time.Time) bool {
	return w.reachable(now) && !w.Draining && now.Sub(w.unlistedAt) < unlistedGrace
}

// reachable reports whether the worker responded recently.
func (w *worker) reachable(now time.Time) bool {
	return w.phase == owned && w.unansweredHolds == 0 && now.Sub(w.answeredAt) < reachableWindow
}

// unresponsive reports whether the worker counts as lost.
func (w *worker) unresponsive(now time.Time) bool {
	return w.unansweredHolds >= lostAfterHolds && now.Sub(w.answeredAt) >= lostAfterTime
}

// freeResources returns the resources not occupied by runs.
func (w *worker) freeResources() Resources { return w.Resources.Sub(w.usedResources) }

// schedulable reports whether new tasks may be placed on the worker.
func (w *worker) schedulable(now time.Time) bool {
	return !w.removed && !w.Draining && !w.runsUnknown && w.reachable(now) && !now.Before(w.placementPausedUntil) &&
		w.leaseLimit(now).Sub(now) >= minStartLease
}

// resetRuns discards everything known about the worker's runs, because this
// entry is claiming the worker or no longer owns it, another worker replaced it,
// or it has not responded for lateStartPeriod.
func (w *worker) resetRuns() {
	w.runs, w.unmatchedEnds, w.usedResources = map[RunKey]*run{}, map[RunKey]runEnd{}, Resources{}
	w.orphans, w.unsizedRuns, w.lastEndIndex, w.runsUnknown = 0, 0, 0, false
}

func (w *worker) removeRun(r *run) {
	if w.runs[r.key] != r {
		return
	}
	delete(w.runs, r.key)
	if r.job == nil {
		w.orphans--
	}
	if r.unsized {
		w.unsizedRuns--
	}
	w.usedResources = w.usedResources.Sub(r.resources)
}

func (w *worker) addRun(r *run) {
	if old := w.runs[r.key]; old != nil {
		w.removeRun(old)
	}
	w.runs[r.key] = r
	if r.job == nil {
		w.orphans++
	}
	if r.unsized {
		w.unsizedRuns++
	}
	w.usedResources = w.usedResources.Add(r.resources)
}
