package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	holdMax   = time.Second
	stopTakes = 5 * time.Millisecond
	// beatEvery is HeartbeatMs.
	beatEvery   = 1500 * time.Millisecond
	maxListEnds = 500
)

type runKey struct {
	task   string
	number int64
}

type run struct {
	key       runKey
	spec      string
	startedAt time.Time
	takes     time.Duration
	cpu       int64
	// over is set once the run has ended.
	over atomic.Bool
}

type ended struct {
	index int64
	key   runKey
	how   string
}

// runner is a worker of the platform: a server with one address and id, and one life
// after the other. A Spec of the form "ms=N cpu=N ..." says how long a task takes.
type runner struct {
	id, address, service, zone string
	cpu                        int64
	rec                        *record
	store                      *store

	mu       sync.Mutex
	up       bool
	kind     string
	rack     string
	born     time.Time
	server   *http.Server
	fence    int64
	leaseEnd time.Time
	runs     map[runKey]*run
	ends     []ended
	nextEnd  int64
	highest  map[string]int64
	sequence int64
	changed  chan struct{}
	stopBeat context.CancelFunc
	// life counts the lives of the runner. While it is cut off, healed is open, and no
	// request is read and no answer sent.
	life   int
	healed chan struct{}
	// lateFor, if set, says for how long a start is held up before it is carried out. Such a
	// start gets no answer.
	lateFor func(r *runner, key runKey) (time.Duration, bool)
	// started, if set, is called when the runner has begun a run, with the lock held.
	started func(*runner, *run)
}

// boot begins a new life of the runner.
func (r *runner) boot(kind string) error {
	ln, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.begin(kind)
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	ctx, cancel := context.WithCancel(context.Background())
	r.stopBeat = cancel
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	go r.expireLeases(ctx)
	r.beat()
	go func() {
		for {
			select {
			case <-time.After(beatEvery):
				r.beat()
			case <-ctx.Done():
				return
			}
		}
	}()
	return nil
}

// begin begins a new life, with the lock held.
func (r *runner) begin(kind string) {
	r.up, r.kind = true, kind
	r.life++
	r.born = time.Now()
	r.fence, r.leaseEnd, r.runs, r.ends, r.nextEnd, r.highest = 0, time.Time{}, map[runKey]*run{}, nil, 1, map[string]int64{}
	r.sequence, r.changed = 0, make(chan struct{})
	r.rec.add("runner %s begins a life: kind %s, born %d", r.id, kind, r.born.UnixMilli())
}

// crash ends the life of the runner: its connections break and its runs are gone.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	r.stopBeat()
	server := r.server
	n := len(r.runs)
	for _, x := range r.runs {
		x.over.Store(true)
	}
	r.runs = map[runKey]*run{}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	_ = server.Close()
	r.rec.add("runner %s crashes with %d runs", r.id, n)
}

// cutOff partitions the runner from all machines of the system. It still reaches the store.
func (r *runner) cutOff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healed = make(chan struct{})
	r.rec.add("runner %s is cut off", r.id)
}

// heal ends the partition. Connections to an earlier life are reset.
func (r *runner) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.healed)
	r.healed = nil
	r.rec.add("runner %s is reached again", r.id)
}

// crashBehindCut ends the life of a runner that is cut off. Nobody sees its connections
// break.
func (r *runner) crashBehindCut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up = false
	r.rec.add("runner %s crashes behind the cut with %d runs", r.id, len(r.runs))
	for _, x := range r.runs {
		x.over.Store(true)
	}
	r.runs = map[runKey]*run{}
}

// rebornBehindCut begins the next life of a runner that has crashed behind a cut.
func (r *runner) rebornBehindCut() {
	r.mu.Lock()
	changed := r.changed
	r.begin(r.kind)
	close(changed)
	r.mu.Unlock()
	r.beat()
}

// awaitHeal waits while the runner is cut off. It reports false for a connection that does
// not outlast the cut.
func (r *runner) awaitHeal(ctx context.Context, life int) bool {
	r.mu.Lock()
	healed := r.healed
	r.mu.Unlock()
	if healed != nil {
		select {
		case <-healed:
		case <-ctx.Done():
			return false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life == life
}

// beat writes the runner's entry.
func (r *runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.sequence++
	entry := map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": "v1", "Capacity": 8, "State": "ready", "ColdLeftMs": 0,
		"FreeCapacity": map[string]int64{"Cpu": r.cpu, "MemMb": 262144, "Gpu": 0}, "Labels": []string{r.kind, r.rack},
		"ClockMs": r.clock(time.Now()), "Sequence": r.sequence, "born": r.born.UnixMilli(),
	}
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	r.store.put("keyed.servers", r.id, data)
	if r.sequence == 1 {
		r.rec.add("runner %s wrote its entry: kind %s, born %d", r.id, r.kind, r.born.UnixMilli())
	}
}

func (r *runner) clock(now time.Time) int64 { return now.Sub(r.born).Milliseconds() + 1000 }

// settle ends the runs that are over by now.
func (r *runner) settle(now time.Time) {
	var list []*run
	for _, x := range r.runs {
		list = append(list, x)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].startedAt.Before(list[b].startedAt) })
	for _, x := range list {
		at := x.startedAt.Add(x.takes)
		switch {
		case !at.After(now) && !at.After(r.leaseEnd):
			r.end(x, "done")
		case !r.leaseEnd.After(now):
			r.end(x, "lapsed")
		}
	}
}

func (r *runner) end(x *run, how string) {
	if r.runs[x.key] != x {
		return
	}
	delete(r.runs, x.key)
	x.over.Store(true)
	r.ends = append(r.ends, ended{r.nextEnd, x.key, how})
	r.nextEnd++
	r.highest[x.key.task] = max(r.highest[x.key.task], x.key.number)
	if how != "done" {
		r.rec.add("runner %s: run %s/%d ended %s", r.id, x.key.task, x.key.number, how)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) expireLeases(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
		r.mu.Lock()
		if r.up {
			r.settle(time.Now())
		}
		r.mu.Unlock()
	}
}

func (r *runner) extend(now time.Time, until int64) {
	end := now.Add(min(time.Duration(until-r.clock(now))*time.Millisecond, holdMax))
	if end.After(r.leaseEnd) {
		r.leaseEnd = end
	}
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

func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	life := r.life
	r.mu.Unlock()
	if !r.awaitHeal(req.Context(), life) {
		panic(http.ErrAbortHandler)
	}
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		r.reply(w, req, life, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	switch req.URL.Path {
	case "/godwitrelay/run-start":
		r.serveStart(w, req, life, o)
	case "/godwitrelay/run-stop":
		time.Sleep(stopTakes)
		r.answer(w, req, life, r.stop(o))
	case "/godwitrelay/hold":
		r.hold(w, req, life, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) serveStart(w http.ResponseWriter, req *http.Request, life int, o order) {
	key := runKey{o.Task, o.RunID}
	if r.lateFor != nil {
		if d, ok := r.lateFor(r, key); ok {
			r.rec.add("runner %s: the start of %s/%d is held up for %d ms", r.id, key.task, key.number, d.Milliseconds())
			time.AfterFunc(d, func() {
				r.rec.add("runner %s carries the start of %s/%d out: %q", r.id, key.task, key.number, r.start(o))
			})
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	r.answer(w, req, life, r.start(o))
}

// answer answers an order. reason is empty if it was carried out.
func (r *runner) answer(w http.ResponseWriter, req *http.Request, life int, reason string) {
	r.mu.Lock()
	body := map[string]any{"ClockMs": r.clock(time.Now()), "born": r.born.UnixMilli()}
	r.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		status, body["Reason"] = http.StatusConflict, reason
	}
	r.reply(w, req, life, status, body)
}

// reply sends a response if the connection outlasts the cut, if there is one.
func (r *runner) reply(w http.ResponseWriter, req *http.Request, life, status int, body any) {
	if !r.awaitHeal(req.Context(), life) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, body)
}

func (r *runner) start(o order) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.up {
		return "down"
	}
	r.settle(now)
	if o.FencingToken < r.fence {
		return "fence"
	}
	r.fence = o.FencingToken
	key := runKey{o.Task, o.RunID}
	if r.runs[key] != nil {
		return ""
	}
	cpu, _ := strconv.ParseInt(field(o.Spec, "cpu"), 10, 64)
	r.extend(now, o.UntilMs)
	used := int64(0)
	for _, x := range r.runs {
		used += x.cpu
	}
	switch {
	case o.RunID <= r.highest[o.Task]:
		return "old"
	case o.UntilMs <= r.clock(now):
		return "late"
	case used+cpu > r.cpu:
		return "room"
	}
	ms, _ := strconv.ParseInt(field(o.Spec, "ms"), 10, 64)
	x := &run{key: key, spec: o.Spec, startedAt: now, takes: time.Duration(ms) * time.Millisecond, cpu: cpu}
	r.runs[key] = x
	if r.started != nil {
		r.started(r, x)
	}
	return ""
}

func (r *runner) stop(o order) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return "down"
	}
	r.settle(time.Now())
	if o.FencingToken < r.fence {
		return "fence"
	}
	r.fence = o.FencingToken
	r.highest[o.Task] = max(r.highest[o.Task], o.RunID)
	if x := r.runs[runKey{o.Task, o.RunID}]; x != nil {
		r.end(x, "stopped")
	}
	return ""
}

func (r *runner) hold(w http.ResponseWriter, req *http.Request, life int, o order) {
	now := time.Now()
	r.mu.Lock()
	r.settle(now)
	if o.FencingToken < r.fence {
		r.mu.Unlock()
		r.answer(w, req, life, "fence")
		return
	}
	r.fence = o.FencingToken
	if o.UntilMs > 0 {
		r.extend(now, o.UntilMs)
	}
	kept := r.ends[:0]
	for _, e := range r.ends {
		if e.index > o.LastSeen {
			kept = append(kept, e)
		}
	}
	r.ends = kept
	deadline := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	for over := o.WaitMs == 0; !over && len(r.ends) == 0 && r.life == life; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-req.Context().Done():
			return
		}
		r.mu.Lock()
	}
	now = time.Now()
	r.settle(now)
	if o.FencingToken < r.fence {
		r.mu.Unlock()
		r.answer(w, req, life, "fence")
		return
	}
	running, ends := [][]any{}, [][]any{}
	for _, x := range r.runs {
		running = append(running, []any{x.key.task, x.key.number, "", min(100*now.Sub(x.startedAt)/max(x.takes, 1), 99), x.cpu})
	}
	for _, e := range r.ends[:min(len(r.ends), maxListEnds)] {
		ends = append(ends, []any{e.index, e.key.task, e.key.number, e.how, ""})
	}
	body := map[string]any{"ClockMs": r.clock(now), "born": r.born.UnixMilli(), "Running": running, "EndedRuns": ends}
	r.mu.Unlock()
	r.reply(w, req, life, http.StatusOK, body)
}

// field returns the value of name=value in a Spec.
func field(spec, name string) string {
	for _, f := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(f, name+"="); ok {
			return v
		}
	}
	return ""
}

func runnerName(i int) string { return fmt.Sprintf("i-%04x", 0x7f30+i) }
