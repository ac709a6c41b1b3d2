// Package listener serves stand-ins for the operators' platform over HTTP: the
// store and workers, with faults to inject, and checks what workers see.
package listener

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// Work is what a task's specification tells a worker of the stand-in.
type Work struct {
	CPU    int64 `json:"cpu"`
	WorkMs int64 `json:"workMs"`
	Fails  bool  `json:"fails,omitempty"`
	Hangs  bool  `json:"hangs,omitempty"`
}

// Faults tell how often orders go wrong, as shares of 1.
type Faults struct {
	// Late starts are not answered and carried out after LateMs.
	Late   float64 `json:"late"`
	LateMs int64   `json:"lateMs"`
	// Mute starts are carried out at once and not answered.
	Mute float64 `json:"mute"`
}

// Fleet is a set of workers. The zero value has none.
type Fleet struct {
	mu         sync.Mutex
	workers    []*Worker
	faults     Faults
	random     *rand.Rand
	violations []string
	started    int
	// jobs counts the runs of each job's tasks.
	jobs map[string]int
}

// Worker is a stand-in for one worker.
type Worker struct {
	executor.Executor
	ID    string
	fleet *Fleet
	// silent workers read orders and answer none.
	silent  bool
	started int
}

// Add adds a worker with the given room in thousandths of a core.
func (f *Fleet) Add(id string, cpu int64) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{ID: id, fleet: f}
	w.CPU, w.Born = cpu, time.Now()
	f.workers = append(f.workers, w)
	if f.random == nil {
		f.random = rand.New(rand.NewSource(1))
	}
	return w
}

// Break sets the faults of orders from now on.
func (f *Fleet) Break(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Violations returns what no worker should have seen.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// Started returns how many runs have begun.
func (f *Fleet) Started() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started
}

// StartedOf returns how many runs of a job's tasks have begun.
func (f *Fleet) StartedOf(jobID string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobs[jobID]
}

// Running returns how many runs are at work.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		n += len(w.Runs(time.Now()))
	}
	return n
}

// Started returns how many runs have begun on the worker.
func (w *Worker) Started() int {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.started
}

// Restart begins a new life of a worker.
func (w *Worker) Restart() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.Executor.Restart(time.Now())
}

// SetSilent has the worker read orders without an answer, or ends that.
func (w *Worker) SetSilent(silent bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.silent = silent
}

// order is a call of the dispatcher to a worker.
type order struct {
	Task         string
	RunID        int64 `json:"RunId"`
	Spec         string
	UntilMs      int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
}

// Handler serves the worker.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /godwitrelay/run-start", w.serve(w.start))
	mux.HandleFunc("POST /godwitrelay/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /godwitrelay/hold", w.serve(w.hold))
	return mux
}

func (w *Worker) serve(handle func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.ID {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		w.fleet.mu.Lock()
		silent := w.silent
		w.fleet.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		handle(out, r, o)
	}
}

func (w *Worker) start(out http.ResponseWriter, r *http.Request, o order) {
	f := w.fleet
	f.mu.Lock()
	p, faults := f.random.Float64(), f.faults
	f.mu.Unlock()
	switch {
	case p < faults.Late:
		time.AfterFunc(time.Duration(faults.LateMs)*time.Millisecond, func() { w.begin(o) })
		<-r.Context().Done()
	case p < faults.Late+faults.Mute:
		w.begin(o)
		<-r.Context().Done()
	default:
		reason, clock := w.begin(o)
		status := http.StatusOK
		if reason != "" {
			status = http.StatusConflict
		}
		reply(out, status, map[string]any{"ClockMs": clock, "Reason": reason})
	}
}

// begin starts a run and checks that it is the only one of its task.
func (w *Worker) begin(o order) (reason string, clockMs int64) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var work Work
	if err := json.Unmarshal([]byte(o.Spec), &work); err != nil {
		f.violations = append(f.violations, fmt.Sprintf("task %s: specification %q", o.Task, o.Spec))
		return "", w.ClockMs(now)
	}
	before := len(w.Runs(now))
	key := executor.Key{Task: o.Task, Number: o.RunID}
	reason = w.Start(now, key, executor.Task{
		CPU: work.CPU, Work: time.Duration(work.WorkMs) * time.Millisecond, Fails: work.Fails, Hangs: work.Hangs,
	}, o.UntilMs, o.FencingToken)
	if reason == "" && len(w.Runs(now)) > before {
		f.started++
		w.started++
		if f.jobs == nil {
			f.jobs = map[string]int{}
		}
		f.jobs[strings.SplitN(o.Task, ".", 2)[0]]++
		f.checkAlone(now, w, key)
	}
	return reason, w.ClockMs(now)
}

func (f *Fleet) checkAlone(now time.Time, on *Worker, key executor.Key) {
	for _, w := range f.workers {
		for _, r := range w.Runs(now) {
			if r.Key.Task == key.Task && (w != on || r.Key != key) {
				f.violations = append(f.violations, "task "+key.Task+" runs on "+on.ID+" (run "+strconv.FormatInt(key.Number, 10)+
					") and "+w.ID+" (run "+strconv.FormatInt(r.Key.Number, 10)+")")
			}
		}
	}
}

func (w *Worker) stop(out http.ResponseWriter, _ *http.Request, o order) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	now := time.Now()
	status := http.StatusOK
	if !w.Stop(now, executor.Key{Task: o.Task, Number: o.RunID}, o.FencingToken) {
		status = http.StatusConflict
	}
	reply(out, status, map[string]any{"ClockMs": w.ClockMs(now)})
}

// lookEvery is the precision at which a waiting hold notices an end.
const lookEvery = 2 * time.Millisecond

func (w *Worker) hold(out http.ResponseWriter, r *http.Request, o order) {
	end := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	until := o.UntilMs
	for {
		w.fleet.mu.Lock()
		now := time.Now()
		runs, ends, ok := w.Hold(now, until, o.FencingToken, o.LastSeen)
		body := map[string]any{"ClockMs": w.ClockMs(now), "born": w.Born.UnixMilli(), "Running": runRows(now, runs), "EndedRuns": endRows(ends)}
		w.fleet.mu.Unlock()
		until = 0
		switch {
		case !ok:
			reply(out, http.StatusConflict, map[string]any{"Reason": "fence"})
			return
		case len(ends) > 0 || !now.Before(end):
			reply(out, http.StatusOK, body)
			return
		}
		select {
		case <-time.After(lookEvery):
		case <-r.Context().Done():
			return
		}
	}
}

func runRows(now time.Time, runs []executor.Run) [][]any {
	rows := [][]any{}
	for _, r := range runs {
		percent := 0
		if !r.Hangs && r.Work > 0 {
			percent = int(100 * now.Sub(r.Began) / r.Work)
		}
		rows = append(rows, []any{r.Key.Task, r.Key.Number, "", percent})
	}
	return rows
}

func endRows(ends []executor.End) [][]any {
	rows := [][]any{}
	for _, e := range ends {
		rows = append(rows, []any{e.Index, e.Key.Task, e.Key.Number, e.How, ""})
	}
	return rows
}

// Record is the entry of a worker in the store.
func (w *Worker) Record(service, address, zone string, draining bool) []byte {
	state := "ready"
	if draining {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"Service": service, "Address": address, "Zone": zone, "State": state, "Capacity": 8, "born": w.Born.UnixMilli(),
		"FreeCapacity": map[string]any{"Cpu": w.CPU, "MemMb": 1 << 18, "Gpu": 0}, "Labels": []string{"a", "r1"}, "Sequence": 1,
	})
	if err != nil {
		panic(err) // The values above can always be encoded.
	}
	return data
}
