// Package listener implements test doubles of the operators' platform over HTTP:
// its store and its workers. It can inject faults and records violations of the
// guarantees that workers can observe. The operators' platform is the one that
// godwit-platform-entry uses, not the platform with a log and leases that
// standin/platform simulates.
package listener

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// Work is the specification of a task for the test workers. CPU is in thousandths
// of a core.
type Work struct {
	CPU    int64 `json:"cpu"`
	WorkMs int64 `json:"workMs"`
	// EstimateMs is the run time that the job states, or 0 if that is WorkMs.
	EstimateMs int64 `json:"estimateMs,omitempty"`
	Fails      bool  `json:"fails,omitempty"`
	Hangs      bool  `json:"hangs,omitempty"`
	// Crashes makes the task restart its worker after WorkMs.
	Crashes bool `json:"crashes,omitempty"`
}

// Faults sets the faults of requests to workers. Each request has at most one.
type Faults struct {
	// DelayedProbability is the probability, from 0 to 1, that a start gets no
	// response and takes effect only after DelayMs.
	DelayedProbability float64 `json:"late"`
	DelayMs            int64   `json:"lateMs"`
	// NoReplyProbability is the probability, from 0 to 1, that a start takes
	// effect at once but gets no response.
	NoReplyProbability float64 `json:"mute"`
	// DelayedHoldProbability and DelayedStopProbability are the probabilities, from
	// 0 to 1, that a hold or a stop gets no response and takes effect only after
	// DelayMs.
	DelayedHoldProbability float64 `json:"lateHolds"`
	DelayedStopProbability float64 `json:"lateStops"`
}

// TimeFormat is the format of times in [Fleet.Trace], which is that of the entries'
// logs.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Fleet is a set of workers. The zero value is an empty fleet.
type Fleet struct {
	// Trace receives a line for each request that takes effect at a worker, unless
	// it is nil. It must not be changed after the first request.
	Trace io.Writer

	mu         sync.Mutex
	workers    []*Worker
	faults     Faults
	random     *rand.Rand
	violations []string
	started    int
	// startsByJob counts the started runs of each job.
	startsByJob map[string]int
}

// Worker is a test double of one worker.
type Worker struct {
	executor.Executor
	ID    string
	fleet *Fleet
	// unresponsive workers read requests but do not respond.
	unresponsive bool
	started      int
}

// Add adds a worker with the given CPU capacity in thousandths of a core.
func (f *Fleet) Add(id string, cpu int64) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{ID: id, fleet: f}
	w.CPU, w.StartedAt = cpu, time.Now()
	f.workers = append(f.workers, w)
	if f.random == nil {
		f.random = rand.New(rand.NewSource(1))
	}
	return w
}

// SetFaults sets the faults to inject from now on. The zero value injects none.
func (f *Fleet) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Violations returns the violated guarantees that workers have observed.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// Started returns how many runs have started on all workers.
func (f *Fleet) Started() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started
}

// StartedForJob returns how many runs have started for the tasks of a job.
func (f *Fleet) StartedForJob(jobID string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startsByJob[jobID]
}

// Running returns how many runs are in execution.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		n += len(w.Runs(time.Now()))
	}
	return n
}

// Started returns how many runs have started on the worker.
func (w *Worker) Started() int {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.started
}

// Restart simulates a restart of the worker process, which loses all state.
func (w *Worker) Restart() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.Executor.Restart(time.Now())
	w.tracef("restarts")
}

// SetUnresponsive sets whether the worker leaves requests without a response.
func (w *Worker) SetUnresponsive(unresponsive bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.unresponsive = unresponsive
}

// workerRequest is the union of the start, stop and hold requests to a worker.
// RunID is the run number, which is the Number of an [executor.Key].
type workerRequest struct {
	Task         string
	RunID        int64 `json:"RunId"`
	Spec         string
	UntilMs      int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
}

// Handler returns the HTTP API of the worker.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /godwitrelay/run-start", w.serve(w.start))
	mux.HandleFunc("POST /godwitrelay/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /godwitrelay/hold", w.serve(w.hold))
	return mux
}

func (w *Worker) serve(handle func(http.ResponseWriter, *http.Request, workerRequest)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.ID {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var req workerRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		w.fleet.mu.Lock()
		unresponsive := w.unresponsive
		w.fleet.mu.Unlock()
		if unresponsive {
			<-r.Context().Done()
			return
		}
		handle(out, r, req)
	}
}

func (w *Worker) start(out http.ResponseWriter, r *http.Request, req workerRequest) {
	f := w.fleet
	f.mu.Lock()
	p, faults := f.random.Float64(), f.faults
	f.mu.Unlock()
	switch {
	case p < faults.DelayedProbability:
		time.AfterFunc(time.Duration(faults.DelayMs)*time.Millisecond, func() { w.startRun(req) })
		<-r.Context().Done()
	case p < faults.DelayedProbability+faults.NoReplyProbability:
		w.startRun(req)
		<-r.Context().Done()
	default:
		reason, clock := w.startRun(req)
		status := http.StatusOK
		if reason != "" {
			status = http.StatusConflict
		}
		writeJSON(out, status, map[string]any{"ClockMs": clock, "Reason": reason})
	}
}

// startRun starts a run and checks that no other run of the task is in execution.
// It returns the reason for a rejection, if any, and the worker's clock, on which
// entries specify the end of leases.
func (w *Worker) startRun(req workerRequest) (reason string, clockMs int64) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var work Work
	if err := json.Unmarshal([]byte(req.Spec), &work); err != nil {
		f.violations = append(f.violations, fmt.Sprintf("task %s: invalid specification %q", req.Task, req.Spec))
		return "", w.ClockMs(now)
	}
	before := len(w.Runs(now))
	key := executor.Key{Task: req.Task, Number: req.RunID}
	reason = w.Start(now, key, executor.Task{
		CPU: work.CPU, Duration: time.Duration(work.WorkMs) * time.Millisecond, Fails: work.Fails, Hangs: work.Hangs || work.Crashes,
	}, req.UntilMs, req.FencingToken)
	w.tracef("start of %s run %d, fence %d, lease %+d ms: %q", req.Task, req.RunID, req.FencingToken, req.UntilMs-w.ClockMs(now), reason)
	if reason == "" && len(w.Runs(now)) > before {
		f.started++
		w.started++
		if f.startsByJob == nil {
			f.startsByJob = map[string]int{}
		}
		f.startsByJob[strings.SplitN(req.Task, ".", 2)[0]]++
		f.checkSingleRun(now, w, key)
		if work.Crashes {
			time.AfterFunc(time.Duration(work.WorkMs)*time.Millisecond, w.Restart)
		}
	}
	return reason, w.ClockMs(now)
}

// checkSingleRun records a violation for each run of the same task other than the
// one just started.
func (f *Fleet) checkSingleRun(now time.Time, started *Worker, key executor.Key) {
	for _, w := range f.workers {
		for _, r := range w.Runs(now) {
			if r.Key.Task == key.Task && (w != started || r.Key != key) {
				violation := "task " + key.Task + " runs on " + started.ID + " (run " + strconv.FormatInt(key.Number, 10) +
					") and " + w.ID + " (run " + strconv.FormatInt(r.Key.Number, 10) + ")"
				f.violations = append(f.violations, violation)
				started.tracef("%s", violation)
			}
		}
	}
}

func (w *Worker) stop(out http.ResponseWriter, r *http.Request, req workerRequest) {
	if w.delay(r, func(f Faults) float64 { return f.DelayedStopProbability }, func() { w.stopRun(req) }) {
		return
	}
	status := http.StatusOK
	ok, clock := w.stopRun(req)
	if !ok {
		status = http.StatusConflict
	}
	writeJSON(out, status, map[string]any{"ClockMs": clock})
}

// stopRun stops a run. It returns false if the fencing token is too low, and the
// worker's clock.
func (w *Worker) stopRun(req workerRequest) (ok bool, clockMs int64) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	now := time.Now()
	ok = w.Stop(now, executor.Key{Task: req.Task, Number: req.RunID}, req.FencingToken)
	w.tracef("stop of %s run %d, fence %d: %v", req.Task, req.RunID, req.FencingToken, ok)
	return ok, w.ClockMs(now)
}

// delay reports whether a request is delayed. If so, it schedules the effect and
// returns once the client has given up.
func (w *Worker) delay(r *http.Request, probability func(Faults) float64, effect func()) bool {
	f := w.fleet
	f.mu.Lock()
	p, ms := probability(f.faults), f.faults.DelayMs
	// The other faults should not depend on how many holds and stops there are.
	delayed := p > 0 && f.random.Float64() < p
	f.mu.Unlock()
	if !delayed {
		return false
	}
	time.AfterFunc(time.Duration(ms)*time.Millisecond, effect)
	<-r.Context().Done()
	return true
}

// tracef writes a line to the trace. The caller holds the fleet's mutex.
func (w *Worker) tracef(format string, args ...any) {
	if w.fleet.Trace != nil {
		// Ignore write errors: the trace is only for people to read.
		_, _ = fmt.Fprintf(w.fleet.Trace, time.Now().Format(TimeFormat)+" "+w.ID+" "+format+"\n", args...)
	}
}

// holdPollInterval is how often a waiting hold checks for ended runs.
const holdPollInterval = 2 * time.Millisecond

func (w *Worker) hold(out http.ResponseWriter, r *http.Request, req workerRequest) {
	if w.delay(r, func(f Faults) float64 { return f.DelayedHoldProbability }, func() { w.holdRuns(req) }) {
		return
	}
	end := time.Now().Add(time.Duration(req.WaitMs) * time.Millisecond)
	for {
		body, ended, ok := w.holdRuns(req)
		switch {
		case !ok:
			writeJSON(out, http.StatusConflict, map[string]any{"Reason": "fence"})
			return
		case ended || !time.Now().Before(end):
			writeJSON(out, http.StatusOK, body)
			return
		}
		req.UntilMs = 0
		select {
		case <-time.After(holdPollInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// holdRuns extends the lease, unless the request's UntilMs is 0. It returns the
// response and whether the response lists ends. ok is false if the fencing token
// is too low.
func (w *Worker) holdRuns(req workerRequest) (body map[string]any, ended, ok bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	now := time.Now()
	runs, ends, ok := w.Hold(now, req.UntilMs, req.FencingToken, req.LastSeen)
	rows, endedRows := runRows(now, runs), endRows(ends)
	if req.UntilMs > 0 || len(ends) > 0 {
		w.tracef("hold, fence %d, lease %+d ms: %v, runs %v, ends %v", req.FencingToken, req.UntilMs-w.ClockMs(now), ok, rows, endedRows)
	}
	return map[string]any{"ClockMs": w.ClockMs(now), "born": w.StartedAt.UnixMilli(), "Running": rows, "EndedRuns": endedRows}, len(ends) > 0, ok
}

func runRows(now time.Time, runs []executor.Run) [][]any {
	rows := [][]any{}
	for _, r := range runs {
		percent := 0
		if !r.Hangs && r.Duration > 0 {
			percent = int(100 * now.Sub(r.StartedAt) / r.Duration)
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

// Record returns the record of the worker in the store.
func (w *Worker) Record(service, address, zone string, draining bool) []byte {
	state := "ready"
	if draining {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"Service": service, "Address": address, "Zone": zone, "State": state, "Capacity": 8, "born": w.StartedAt.UnixMilli(),
		"FreeCapacity": map[string]any{"Cpu": w.CPU, "MemMb": 1 << 18, "Gpu": 0}, "Labels": []string{"a", "r1"}, "Sequence": 1,
	})
	if err != nil {
		panic(err) // Unreachable: the values above can always be encoded.
	}
	return data
}
