package prober

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/caller"
	"github.com/godwitrelay/godwitrelay/load/generator"
	"github.com/godwitrelay/godwitrelay/load/scraper"
)

var log = logrus.WithField("prefix", "prober")

// Names of figures and of what series vary.
const (
	cpuPerS      = "cpuPerS"
	messagesPerS = "messagesPerS"
	startsPerS   = "starts per second"
)

const (
	idleConnections = 1024
	dialTimeout     = 2 * time.Second
	maxInFlight     = 50_000
	sessions        = 64
	idBatch         = 500
	// keepsUp is the share of the arriving tasks that must be finished for a
	// step to count as not saturated.
	keepsUp = 0.95
	// waitingDeadline is within the largest deadline that entries accept by
	// default.
	waitingDeadline = 5 * time.Minute
	// settle is the time between the submission of waiting tasks and the
	// reading of the memory, enough for a collection under allocation.
	settle = time.Second
)

// prober is one measurement under way.
type prober struct {
	Settings
	client messenger.Client
}

// Run makes the measurements that the settings choose.
func Run(ctx context.Context, s Settings) (Report, error) {
	transport := messenger.NewTransport(idleConnections, dialTimeout)
	defer transport.CloseIdleConnections()
	p := prober{s, messenger.Client{Transport: transport}}
	out := Report{Label: s.Label}
	add := func(series Series, err error) error {
		series.fit()
		out.Series = append(out.Series, series)
		return err
	}
	if s.Idle != nil {
		if err := add(p.idle(ctx)); err != nil {
			return out, err
		}
	}
	if s.Starts != nil {
		for _, size := range s.Starts.TasksPerJob {
			if err := add(p.starts(ctx, size)); err != nil {
				return out, err
			}
		}
	}
	if s.Waiting != nil {
		for _, size := range s.Waiting.TasksPerJob {
			if err := add(p.waiting(ctx, size)); err != nil {
				return out, err
			}
		}
	}
	return out, nil
}

// reading is the state of the entry process at one time.
type reading struct {
	at                    time.Time
	cpu, messages, starts float64
	memory                map[string]float64
}

// read reads the entry's metrics. The heap at the next collection shows what
// lives without the garbage that the resident memory contains: by Go's default
// setting it is twice the live heap.
func (p prober) read(ctx context.Context) (reading, error) {
	families, err := scraper.Metrics(ctx, p.client, p.Metrics)
	if err != nil {
		return reading{}, err
	}
	r := reading{at: time.Now(), memory: map[string]float64{}}
	for _, name := range []string{"process_cpu_seconds_total", "process_resident_memory_bytes"} {
		if families[name] == nil {
			return r, errors.Newf("the metrics of %s lack %s", p.Metrics, name)
		}
	}
	r.cpu = scraper.Value(families["process_cpu_seconds_total"])
	r.messages = scraper.Value(families["godwitrelay_messages_total"])
	r.starts = startsOf(families["godwitrelay_messages_total"])
	r.memory["residentBytes"] = scraper.Value(families["process_resident_memory_bytes"])
	r.memory["heapAllocBytes"] = scraper.Value(families["go_memstats_heap_alloc_bytes"])
	r.memory["nextCollectionBytes"] = scraper.Value(families["go_memstats_next_gc_bytes"])
	return r, nil
}

// startsOf returns the number of tasks that the entry sent to targets.
func startsOf(f *dto.MetricFamily) float64 {
	for _, m := range f.GetMetric() {
		for _, pair := range m.GetLabel() {
			if pair.GetValue() == "start" {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// since returns the figures between an earlier reading and r, and the memory
// at r.
func (r reading) since(before reading) map[string]float64 {
	seconds := r.at.Sub(before.at).Seconds()
	y := map[string]float64{
		cpuPerS:      (r.cpu - before.cpu) / seconds,
		messagesPerS: (r.messages - before.messages) / seconds,
	}
	for name, bytes := range r.memory {
		y[name] = bytes
	}
	return y
}

func (p prober) idle(ctx context.Context) (Series, error) {
	s := Series{Name: "idle by " + p.Idle.Dimension, Of: p.Idle.Dimension}
	before, err := p.read(ctx)
	if err != nil {
		return s, err
	}
	if err := pause(ctx, time.Duration(p.Idle.ForMs)*time.Millisecond); err != nil {
		return s, err
	}
	after, err := p.read(ctx)
	if err != nil {
		return s, err
	}
	s.Points = []Point{{X: float64(p.Idle.Size), Y: after.since(before)}}
	return s, nil
}

// starts drives the entry at each rate with jobs of size tasks.
func (p prober) starts(ctx context.Context, size int64) (Series, error) {
	s := Series{Name: fmt.Sprintf("starts in jobs of %d", size), Of: startsPerS}
	for _, rate := range p.Starts.TasksPerS {
		point, err := p.startsAt(ctx, rate, size)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, point)
		log.Infof("%s: %.0f of %d starts/s took %.3f cores", s.Name, point.X, rate, point.Y[cpuPerS])
		if point.Saturated {
			log.Warnf("%s: the entry does not keep up with %d starts/s; higher rates are left out", s.Name, rate)
			break
		}
	}
	return s, nil
}

func (p prober) startsAt(ctx context.Context, rate, size int64) (Point, error) {
	pool := caller.NewPool(caller.PoolSettings{Transport: p.client.Transport, Entries: []string{p.Entry}, Sessions: sessions, Batch: idBatch})
	pool.Prefetch(ctx)
	var arrived, complete, wrong atomic.Int64
	loop := caller.Loop{Submitter: pool, MaxInFlight: maxInFlight, Done: func(f caller.Finished) {
		arrived.Add(int64(len(f.Job.RunMs)))
		if f.Attempt.Violation != "" {
			wrong.Add(1)
		}
		if f.Attempt.Outcome == messenger.Complete {
			complete.Add(int64(len(f.Job.RunMs)))
		}
	}}
	before, err := p.read(ctx)
	if err != nil {
		return Point{}, err
	}
	loop.Run(ctx, generator.New(p.workload(rate, size)))
	after, err := p.read(ctx)
	if err != nil {
		return Point{}, err
	}
	if n := wrong.Load(); n > 0 {
		return Point{}, errors.Newf("%d violations", n)
	}
	seconds := after.at.Sub(before.at).Seconds()
	point := Point{X: (after.starts - before.starts) / seconds, Y: after.since(before)}
	point.Y["completePerS"] = float64(complete.Load()) / seconds
	// A step also is too much if its answers came long after the arrivals.
	step := float64(p.Starts.StepMs) / 1000
	point.Saturated = float64(complete.Load()) < keepsUp*float64(arrived.Load()) || step < keepsUp*seconds
	return point, nil
}

// waiting fills all slots and lets tasks wait in jobs of size tasks, then
// cancels them. Callers do not stay connected, so that the memory of
// connections is not counted.
func (p prober) waiting(ctx context.Context, size int64) (s Series, err error) {
	s = Series{Name: fmt.Sprintf("waiting in jobs of %d", size), Of: "waiting tasks"}
	mix, _ := generator.Preset(p.MixName)
	job := generator.Job{Service: mix.Service, Team: mix.Teams[0], Type: mix.Types[0], DeclaredRunMs: 1, DeadlineMs: waitingDeadline.Milliseconds()}
	held := job
	held.RunMs = slices.Repeat([]int64{p.Waiting.HoldMs}, int(min(p.Slots, 1000)))
	var jobs []string
	defer func() { err = errors.CombineErrors(err, p.cancelAll(context.WithoutCancel(ctx), jobs)) }()
	for n := int64(0); n < p.Slots; n += int64(len(held.RunMs)) {
		held.RunMs = held.RunMs[:min(int64(len(held.RunMs)), p.Slots-n)]
		id, err := p.submit(ctx, held)
		if err != nil {
			return s, err
		}
		jobs = append(jobs, id)
	}
	job.RunMs = slices.Repeat([]int64{1}, int(size))
	before, err := p.read(ctx)
	if err != nil {
		return s, err
	}
	s.Points = append(s.Points, Point{X: 0, Y: before.memory})
	waiting := int64(0)
	for _, n := range p.Waiting.Tasks {
		for ; waiting < n; waiting += size {
			id, err := p.submit(ctx, job)
			if err != nil {
				return s, errors.Wrapf(err, "with %d tasks waiting", waiting)
			}
			jobs = append(jobs, id)
		}
		if err := pause(ctx, settle); err != nil {
			return s, err
		}
		now, err := p.read(ctx)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{X: float64(waiting), Y: now.memory})
	}
	if spent := time.Since(before.at); spent > time.Duration(p.Waiting.HoldMs)*time.Millisecond {
		return s, errors.Newf("holdMs is %d but %s took %s; tasks may have left the queue", p.Waiting.HoldMs, s.Name, spent.Round(time.Millisecond))
	}
	return s, nil
}

// submit submits a job without waiting for its answer and returns its id.
func (p prober) submit(ctx context.Context, j generator.Job) (string, error) {
	sub := j.Submission("", 0)
	sub.Wait = false
	var a messenger.Answer
	status, err := p.client.Call(ctx, http.MethodPost, "http://"+p.Entry+"/v1/jobs", sub, &a)
	switch {
	case err != nil:
		return "", errors.Wrap(err, "submitting a job")
	case a.Error != nil:
		return "", errors.Wrap(a.Error, "submitting a job")
	case a.ID == "":
		return "", errors.Newf("submitting a job: status %d without an id", status)
	}
	return a.ID, nil
}

func (p prober) cancelAll(ctx context.Context, jobs []string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for _, id := range jobs {
		if _, err := p.client.Call(ctx, http.MethodDelete, "http://"+p.Entry+"/v1/jobs/"+id, nil, nil); err != nil {
			return errors.Wrap(err, "cancelling a job")
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
