package placer

import (
	"time"
)

// Room is what a worker offers or a task needs: processors in thousandths of a
// core, memory in MB, and accelerators.
type Room struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem"`
	GPU int64 `json:"gpu,omitempty"`
}

// Fits tells whether r is within free.
func (r Room) Fits(free Room) bool {
	return r.CPU <= free.CPU && r.Mem <= free.Mem && r.GPU <= free.GPU
}

// Add returns the sum of r and o.
func (r Room) Add(o Room) Room { return Room{r.CPU + o.CPU, r.Mem + o.Mem, r.GPU + o.GPU} }

// Sub returns r less o.
func (r Room) Sub(o Room) Room { return Room{r.CPU - o.CPU, r.Mem - o.Mem, r.GPU - o.GPU} }

// Worker is a VM that runs tasks under leases, as the platform's list
// describes it. Address is IP:port.
type Worker struct {
	ID            string   `json:"id"`
	Address       string   `json:"address"`
	FailureDomain string   `json:"failureDomain"`
	Service       string   `json:"service"`
	Rack          string   `json:"rack,omitempty"`
	Labels        []string `json:"labels,omitempty"`
	Room          Room     `json:"room"`
	Draining      bool     `json:"draining,omitempty"`
	// BornMs is the start of the worker's present life in Unix milliseconds, 0
	// if unknown. A worker that starts again under its id has another one.
	BornMs int64 `json:"bornMs"`
}

// phase tells how far this entry controls a worker.
type phase int

const (
	// released workers are another entry's, or nobody's.
	released phase = iota
	// claiming workers have been sent a claim that is not answered.
	claiming
	// owned workers have accepted this entry's fence.
	owned
)

// worker is what the owner knows of one VM.
type worker struct {
	Worker
	phase  phase
	gone   bool
	fence  int64
	used   Room
	runs   map[RunKey]*run
	ends   map[RunKey]endRecord
	health health
	speed  speed

	lastEnd    int64
	holding    bool
	answeredAt time.Time
	// listedAt is when the worker was last asked for lists that it gave.
	listedAt   time.Time
	lookedAt   time.Time
	unanswered int
	// unlisted is set from a restart of the worker until it lists its runs under
	// a higher fence.
	unlisted bool
	// lost is set once the runs of a silent worker were given up.
	lost        bool
	retryAt     time.Time
	claimedAt   time.Time
	startsUntil time.Time

	// clockMs is the worker's steady clock when its last answer arrived at
	// clockAt.
	clockMs int64
	clockAt time.Time
}

type endRecord struct {
	how EndKind
	at  time.Time
}

func newWorker(w Worker) *worker {
	return &worker{Worker: w, runs: map[RunKey]*run{}, ends: map[RunKey]endRecord{}}
}

// until returns a time on the worker's clock that is d after now, or 0 before
// the first answer.
func (w *worker) until(now time.Time, d time.Duration) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clockMs + now.Sub(w.clockAt).Milliseconds() + d.Milliseconds()
}

// reachable tells whether the worker answered lately.
func (w *worker) reachable(now time.Time) bool {
	return w.phase == owned && w.unanswered == 0 && now.Sub(w.answeredAt) < reachableFor
}

// silent tells whether the worker counts as lost.
func (w *worker) silent(now time.Time) bool {
	return w.unanswered >= silentHolds && now.Sub(w.answeredAt) >= silentAfter
}

// free is the room that no run occupies.
func (w *worker) free() Room { return w.Room.Sub(w.used) }

// usable tells whether new tasks may be placed here.
func (w *worker) usable(now time.Time) bool {
	return !w.gone && !w.Draining && !w.unlisted && w.reachable(now) && !now.Before(w.startsUntil)
}

// forget drops everything that was known of the worker's runs, because it
// started anew or its runs belong to another owner.
func (w *worker) forget() {
	w.runs, w.ends, w.used = map[RunKey]*run{}, map[RunKey]endRecord{}, Room{}
	w.lastEnd, w.unlisted = 0, false
}

func (w *worker) drop(r *run) {
	if w.runs[r.key] != r {
		return
	}
	delete(w.runs, r.key)
	w.used = w.used.Sub(r.room)
}

func (w *worker) occupy(r *run) {
	if old := w.runs[r.key]; old != nil {
		w.drop(old)
	}
	w.runs[r.key] = r
	w.used = w.used.Add(r.room)
}
