package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployments (himal-relay and namta-trials in SYSTEM.md).
const (
	holdMaxMs     = 1000
	stopTimeoutMs = 50
	retransmitMs  = 1300
	maxWaitMs     = 2000
)

// recorder writes what was sent, answered and run, with milliseconds since the
// start of the script.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	return &recorder{out: out, began: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%7d ms  %s\n", time.Since(r.began).Milliseconds(), fmt.Sprintf(format, args...))
}

// spec is what a job's Spec tells a runner of this stand-in about its tasks.
type spec struct {
	CPU int64 `json:"cpu"`
	Ms  int64 `json:"ms"`
}

type runKey struct {
	task   string
	number int64
}

type run struct {
	key       runKey
	cpu       int64
	startedAt time.Time
	length    time.Duration
}

type end struct {
	n   int64
	key runKey
	how string
}

// runner is one runner as PROTOCOL.md describes it: it keeps the highest fencing
// token, runs tasks under a lease on its own clock, guards its capacity and lists
// its runs and ends.
type runner struct {
	fleet    *fleet
	id, zone string
	address  string
	cpu      int64
	labels   []string
	born     time.Time
	fence    int64
	lease    time.Time
	runs     map[runKey]*run
	ends     []end
	lastEnd  int64
	highest  map[string]int64
	changed  chan struct{}
	sequence int64
	// down is set while the runner has crashed.
	down bool
	// delayStarts has the network keep starts back, without an answer, until the
	// runner is back after a crash. kept are those starts.
	delayStarts bool
	kept        []order
	server      *http.Server
	mux         *http.ServeMux
}

// fleet is all runners. One lock serves all of them, so that two runs of a task
// can be seen at the moment of the second start.
type fleet struct {
	mu      sync.Mutex
	rec     *recorder
	runners []*runner
	// orders counts the starts that were sent.
	orders int
	// doubled lists the starts of a task that was at work on another runner, or
	// under another number on the same one.
	doubled []string
}

// add starts a runner on a free loopback port.
func (f *fleet) add(id, zone string, cpu int64) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w := &runner{fleet: f, id: id, zone: zone, address: ln.Addr().String(), cpu: cpu, labels: []string{"a", "r-" + zone}, born: time.Now(),
		runs: map[runKey]*run{}, highest: map[string]int64{}, changed: make(chan struct{})}
	w.mux = http.NewServeMux()
	w.mux.HandleFunc("POST /godwitrelay/run-start", w.handle(w.start))
	w.mux.HandleFunc("POST /godwitrelay/run-stop", w.handle(w.stop))
	w.mux.HandleFunc("POST /godwitrelay/hold", w.handle(w.hold))
	w.listen(ln)
	f.mu.Lock()
	f.runners = append(f.runners, w)
	f.mu.Unlock()
	return nil
}

func (w *runner) listen(ln net.Listener) {
	w.server = &http.Server{Handler: w.mux}
	go func(s *http.Server) { _ = s.Serve(ln) }(w.server)
}

// crash ends the runner and starts it again under its id after a while, at the same
// address. Starts that the network has kept back reach it then.
func (w *runner) crash(down time.Duration) error {
	w.fleet.rec.printf("runner %s: crashed", w.id)
	_ = w.server.Close()
	w.forget()
	time.Sleep(down)
	w.fleet.mu.Lock()
	w.born, w.down = time.Now(), false
	kept := w.kept
	w.kept, w.delayStarts = nil, false
	w.fleet.mu.Unlock()
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.fleet.rec.printf("runner %s: back", w.id)
	for _, o := range kept {
		w.fleet.rec.printf("runner %s: the start of task %s run %d arrives late", w.id, o.Task, o.RunID)
		w.start(httptest.NewRecorder(), nil, o)
	}
	w.listen(ln)
	return nil
}

// record returns the entry of the runner in the store, or nothing while it is down.
func (w *runner) record() []byte {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.down {
		return nil
	}
	w.sequence++
	data, _ := json.Marshal(map[string]any{
		"Service": serviceName, "Address": w.address, "Zone": w.zone, "Version": "1", "Capacity": 8, "State": "ready", "ColdLeftMs": 0,
		"Sequence": w.sequence, "born": w.born.UnixMilli(), "Machine": "m-" + w.id, "Labels": w.labels,
		"FreeCapacity": map[string]any{"Cpu": w.cpu, "MemMb": 262144, "Gpu": 0},
	})
	return data
}

type order struct {
	Task         string
	RunID        int64 `json:"RunId"`
	Spec         string
	UntilMs      int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
}

func (w *runner) handle(f func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		w.fleet.mu.Lock()
		start := strings.HasSuffix(r.URL.Path, "/run-start")
		if start {
			w.fleet.orders++
		}
		keep := w.delayStarts && start
		if keep {
			w.kept = append(w.kept, o)
		}
		w.fleet.mu.Unlock()
		if keep {
			w.fleet.rec.printf("runner %s: the start of task %s run %d is delayed and gets no answer", w.id, o.Task, o.RunID)
			<-r.Context().Done()
			return
		}
		f(out, r, o)
	}
}

// forget ends all that runs, as the crash of the runner does.
func (w *runner) forget() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	now := time.Now()
	w.settle(now)
	for _, r := range w.runs {
		w.finish(r, "crashed")
	}
	w.down, w.fence, w.lease, w.ends, w.lastEnd, w.highest, w.sequence = true, 0, time.Time{}, nil, 0, map[string]int64{}, 0
}

// clockMs is the runner's own steady clock.
func (w *runner) clockMs(now time.Time) int64 { return now.Sub(w.born).Milliseconds() }

// settle ends, as of now, what is done or whose lease has expired. The caller
// holds the lock.
func (w *runner) settle(now time.Time) {
	var due []*run
	for _, r := range w.runs {
		if r.dueAt(w.lease).After(now) {
			continue
		}
		due = append(due, r)
	}
	sort.Slice(due, func(a, b int) bool { return due[a].dueAt(w.lease).Before(due[b].dueAt(w.lease)) })
	for _, r := range due {
		how := "done"
		if r.startedAt.Add(r.length).After(w.lease) {
			how = "lapsed"
		}
		w.finish(r, how)
	}
}

func (r *run) dueAt(lease time.Time) time.Time {
	if done := r.startedAt.Add(r.length); done.Before(lease) {
		return done
	}
	return lease
}

func (w *runner) finish(r *run, how string) {
	delete(w.runs, r.key)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.key, how})
	w.highest[r.key.task] = max(w.highest[r.key.task], r.key.number)
	w.fleet.rec.printf("runner %s: task %s run %d ended %s", w.id, r.key.task, r.key.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *runner) extend(now time.Time, untilMs int64) {
	until := w.born.Add(time.Duration(untilMs) * time.Millisecond)
	if limit := now.Add(holdMaxMs * time.Millisecond); until.After(limit) {
		until = limit
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *runner) start(out http.ResponseWriter, _ *http.Request, o order) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, other := range f.runners {
		other.settle(now)
	}
	key := runKey{o.Task, o.RunID}
	reject := func(reason string) {
		f.rec.printf("runner %s: start of task %s run %d rejected: %s", w.id, o.Task, o.RunID, reason)
		reply(out, http.StatusConflict, map[string]any{"ClockMs": w.clockMs(now), "Reason": reason})
	}
	if o.FencingToken < w.fence {
		reject("fence")
		return
	}
	w.fence = o.FencingToken
	if w.runs[key] != nil {
		w.extend(now, o.UntilMs)
		reply(out, http.StatusOK, map[string]any{"ClockMs": w.clockMs(now)})
		return
	}
	if o.UntilMs <= w.clockMs(now) {
		reject("late")
		return
	}
	w.extend(now, o.UntilMs)
	if o.RunID <= w.highest[o.Task] {
		reject("old")
		return
	}
	var s spec
	if err := json.Unmarshal([]byte(o.Spec), &s); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	used := int64(0)
	for _, r := range w.runs {
		used += r.cpu
	}
	if used+s.CPU > w.cpu {
		reject("room")
		return
	}
	for _, other := range f.runners {
		for _, r := range other.runs {
			if r.key.task == o.Task {
				f.doubled = append(f.doubled, fmt.Sprintf("task %s: run %d started on %s while run %d was at work on %s", o.Task, o.RunID, w.id, r.key.number, other.id))
				f.rec.printf("TWO RUNS AT ONCE: %s", f.doubled[len(f.doubled)-1])
			}
		}
	}
	w.runs[key] = &run{key: key, cpu: s.CPU, startedAt: now, length: time.Duration(s.Ms) * time.Millisecond}
	f.rec.printf("runner %s: task %s run %d started", w.id, o.Task, o.RunID)
	reply(out, http.StatusOK, map[string]any{"ClockMs": w.clockMs(now)})
}

func (w *runner) stop(out http.ResponseWriter, _ *http.Request, o order) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	w.settle(now)
	if o.FencingToken < w.fence {
		reply(out, http.StatusConflict, map[string]any{"ClockMs": w.clockMs(now), "Reason": "fence"})
		return
	}
	w.fence = o.FencingToken
	w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
	if r := w.runs[runKey{o.Task, o.RunID}]; r != nil {
		w.finish(r, "stopped")
	}
	reply(out, http.StatusOK, map[string]any{"ClockMs": w.clockMs(now)})
}

func (w *runner) hold(out http.ResponseWriter, r *http.Request, o order) {
	f := w.fleet
	until := time.Now().Add(time.Duration(min(o.WaitMs, maxWaitMs)) * time.Millisecond)
	for first := true; ; first = false {
		f.mu.Lock()
		now := time.Now()
		w.settle(now)
		if o.FencingToken < w.fence {
			f.mu.Unlock()
			reply(out, http.StatusConflict, map[string]any{"ClockMs": w.clockMs(now), "Reason": "fence"})
			return
		}
		w.fence = o.FencingToken
		if first && o.UntilMs > 0 {
			w.extend(now, o.UntilMs)
		}
		kept := w.ends[:0]
		for _, e := range w.ends {
			if e.n > o.LastSeen {
				kept = append(kept, e)
			}
		}
		w.ends = kept
		if len(w.ends) > 0 || !now.Before(until) {
			body := w.lists(now)
			f.mu.Unlock()
			reply(out, http.StatusOK, body)
			return
		}
		wake, next := w.changed, until
		for _, r := range w.runs {
			if due := r.dueAt(w.lease); due.Before(next) {
				next = due
			}
		}
		f.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Until(next)):
		case <-r.Context().Done():
			return
		}
	}
}

func (w *runner) lists(now time.Time) map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := int(100 * now.Sub(r.startedAt) / max(r.length, 1))
		running = append(running, []any{r.key.task, r.key.number, "", min(percent, 100), float64(r.cpu)})
	}
	sort.Slice(running, func(a, b int) bool { return running[a][0].(string) < running[b][0].(string) })
	for _, e := range w.ends {
		ended = append(ended, []any{e.n, e.key.task, e.key.number, e.how, ""})
	}
	return map[string]any{"ClockMs": w.clockMs(now), "born": w.born.UnixMilli(), "Running": running, "EndedRuns": ended}
}

// atWork returns the tasks of a job that are at work now.
func (f *fleet) atWork(jobID string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var list []string
	for _, w := range f.runners {
		w.settle(now)
		for _, r := range w.runs {
			if strings.HasPrefix(r.key.task, jobID+".") {
				list = append(list, fmt.Sprintf("%s run %d on %s", r.key.task, r.key.number, w.id))
			}
		}
	}
	sort.Strings(list)
	return list
}

// doubles returns the starts beside another run of the same task.
func (f *fleet) doubles() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.doubled...)
}

func reply(out http.ResponseWriter, status int, body any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}
