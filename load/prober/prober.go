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

// Names of figures and series variables.
const (
	cpuPerS      = "cpuPerS"
	messagesPerS = "messagesPerS"
	startsPerS   = "starts per second"
)

const (
	idleConnections = 1024
	dialTimeout     = 2 * time.Second
	maxInFlight     = 50_000
	sessionCount    = 64
	idBatch         = 500
	// minCompletedShare is the share of the arriving tasks that must complete for
	// a step to count as not saturated.
	minCompletedShare = 0.95
	// waitingDeadline does not exceed the largest deadline that entries accept by
	// default.
	waitingDeadline = 5 * time.Minute
	// settleTime is the delay between the submission of waiting tasks and the
	// memory reading, long enough for a garbage collection under allocation.
	settleTime = time.Second
)

// measurement measures one entry with the given settings.
type measurement struct {
	Settings
	client messenger.Client
}

// Run executes the configured measurements.
func Run(ctx context.Context, s Settings) (Report, error) {
	transport := messenger.NewTransport(idleConnections, dialTimeout)
	defer transport.CloseIdleConnections()
	m := measurement{s, messenger.Client{Transport: transport}}
	out := Report{Label: s.Label}
	add := func(series Series, err error) error {
		series.fit()
		out.Series = append(out.Series, series)
		return err
	}
	if s.Idle != nil {
		if err := add(m.measureIdle(ctx)); err != nil {
			return out, err
		}
	}
	if s.Starts != nil {
		for _, size := range s.Starts.TasksPerJob {
			if err := add(m.measureStarts(ctx, size)); err != nil {
				return out, err
			}
		}
	}
	if s.Waiting != nil {
		for _, size := range s.Waiting.TasksPerJob {
			if err := add(m.measureWaiting(ctx, size)); err != nil {
				return out, err
			}
		}
	}
	return out, nil
}

// snapshot holds the metrics of the entry process at one time.
type snapshot struct {
	at                    time.Time
	cpu, messages, starts float64
	memory                map[string]float64
}

// readSnapshot reads the entry's metrics. The heap size at the next collection
// indicates the live heap without the garbage that resident memory includes:
// with Go's default GOGC it is twice the live heap.
func (m measurement) readSnapshot(ctx context.Context) (snapshot, error) {
	families, err := scraper.ReadMetrics(ctx, m.client, m.Metrics)
	if err != nil {
		return snapshot{}, err
	}
	s := snapshot{at: time.Now(), memory: map[string]float64{}}
	for _, name := range []string{"process_cpu_seconds_total", "process_resident_memory_bytes"} {
		if families[name] == nil {
			return s, errors.Newf("metrics of %s do not contain %s", m.Metrics, name)
		}
	}
	s.cpu = scraper.SumValues(families["process_cpu_seconds_total"])
	s.messages = scraper.SumValues(families["godwitrelay_messages_total"])
	s.starts = startMessages(families["godwitrelay_messages_total"])
	s.memory["residentBytes"] = scraper.SumValues(families["process_resident_memory_bytes"])
	s.memory["heapAllocBytes"] = scraper.SumValues(families["go_memstats_heap_alloc_bytes"])
	s.memory["nextCollectionBytes"] = scraper.SumValues(families["go_memstats_next_gc_bytes"])
	return s, nil
}

// startMessages returns the number of tasks that the entry sent to targets.
func startMessages(f *dto.MetricFamily) float64 {
	for _, m := range f.GetMetric() {
		for _, pair := range m.GetLabel() {
			if pair.GetValue() == "start" {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// figuresSince returns the rates between an earlier snapshot and s, and the
// memory figures of s.
func (s snapshot) figuresSince(before snapshot) map[string]float64 {
	seconds := s.at.Sub(before.at).Seconds()
	y := map[string]float64{
		cpuPerS:      (s.cpu - before.cpu) / seconds,
		messagesPerS: (s.messages - before.messages) / seconds,
	}
	for name, bytes := range s.memory {
		y[name] = bytes
	}
	return y
}

func (m measurement) measureIdle(ctx context.Context) (Series, error) {
	s := Series{Name: "idle by " + m.Idle.Dimension, Variable: m.Idle.Dimension}
	before, err := m.readSnapshot(ctx)
	if err != nil {
		return s, err
	}
	if err := sleep(ctx, time.Duration(m.Idle.ForMs)*time.Millisecond); err != nil {
		return s, err
	}
	after, err := m.readSnapshot(ctx)
	if err != nil {
		return s, err
	}
	s.Points = []Point{{X: float64(m.Idle.Size), Y: after.figuresSince(before)}}
	return s, nil
}

// measureStarts loads the entry with jobs that have size tasks each, at
// increasing rates until it is saturated.
func (m measurement) measureStarts(ctx context.Context, size int64) (Series, error) {
	s := Series{Name: fmt.Sprintf("starts in jobs of %d", size), Variable: startsPerS}
	for _, rate := range m.Starts.TasksPerS {
		point, err := m.measureStartsAt(ctx, rate, size)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, point)
		log.Infof("%s: %.0f of %d starts/s used %.3f cores", s.Name, point.X, rate, point.Y[cpuPerS])
		if point.Saturated {
			log.Warnf("%s: the entry does not keep up with %d starts/s; skipping higher rates", s.Name, rate)
			break
		}
	}
	return s, nil
}

func (m measurement) measureStartsAt(ctx context.Context, rate, size int64) (Point, error) {
	pool := caller.NewPool(caller.PoolSettings{Transport: m.client.Transport, Entries: []string{m.Entry}, Sessions: sessionCount, IDBatch: idBatch})
	pool.Prefetch(ctx)
	var arrived, complete, violations atomic.Int64
	loop := caller.OpenLoop{Submitter: pool, MaxInFlight: maxInFlight, OnFinished: func(f caller.FinishedJob) {
		arrived.Add(int64(len(f.Job.RunMs)))
		if f.Attempt.Violation != "" {
			violations.Add(1)
		}
		if f.Attempt.Outcome == messenger.Complete {
			complete.Add(int64(len(f.Job.RunMs)))
		}
	}}
	before, err := m.readSnapshot(ctx)
	if err != nil {
		return Point{}, err
	}
	loop.Run(ctx, generator.New(m.workload(rate, size)))
	after, err := m.readSnapshot(ctx)
	if err != nil {
		return Point{}, err
	}
	if n := violations.Load(); n > 0 {
		return Point{}, errors.Newf("starts in jobs of %d at %d starts/s: %d violations of the API contract", size, rate, n)
	}
	seconds := after.at.Sub(before.at).Seconds()
	point := Point{X: (after.starts - before.starts) / seconds, Y: after.figuresSince(before)}
	point.Y["completePerS"] = float64(complete.Load()) / seconds
	// A step is also saturated if its answers took much longer than its arrivals.
	step := float64(m.Starts.StepMs) / 1000
	point.Saturated = float64(complete.Load()) < minCompletedShare*float64(arrived.Load()) || step < minCompletedShare*seconds
	return point, nil
}

// measureWaiting occupies all slots, queues jobs that have size tasks each, and
// finally cancels all jobs. Callers do not stay connected, so that the memory of
// connections is not measured.
func (m measurement) measureWaiting(ctx context.Context, size int64) (s Series, err error) {
	s = Series{Name: fmt.Sprintf("waiting in jobs of %d", size), Variable: "waiting tasks"}
	mix, _ := generator.PresetMix(m.MixName)
	job := generator.Job{Service: mix.Service, Team: mix.Teams[0], Type: mix.Types[0], DeclaredRunMs: 1, DeadlineMs: waitingDeadline.Milliseconds()}
	slotHolder := job
	slotHolder.RunMs = slices.Repeat([]int64{m.Waiting.HoldMs}, int(min(m.Slots, 1000)))
	var jobs []string
	defer func() { err = errors.CombineErrors(err, m.cancelAll(context.WithoutCancel(ctx), jobs)) }()
	for n := int64(0); n < m.Slots; n += int64(len(slotHolder.RunMs)) {
		slotHolder.RunMs = slotHolder.RunMs[:min(int64(len(slotHolder.RunMs)), m.Slots-n)]
		id, err := m.submit(ctx, slotHolder)
		if err != nil {
			return s, err
		}
		jobs = append(jobs, id)
	}
	job.RunMs = slices.Repeat([]int64{1}, int(size))
	before, err := m.readSnapshot(ctx)
	if err != nil {
		return s, err
	}
	s.Points = append(s.Points, Point{X: 0, Y: before.memory})
	waiting := int64(0)
	for _, n := range m.Waiting.Tasks {
		for ; waiting < n; waiting += size {
			id, err := m.submit(ctx, job)
			if err != nil {
				return s, errors.Wrapf(err, "with %d tasks waiting", waiting)
			}
			jobs = append(jobs, id)
		}
		if err := sleep(ctx, settleTime); err != nil {
			return s, err
		}
		now, err := m.readSnapshot(ctx)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{X: float64(waiting), Y: now.memory})
	}
	if spent := time.Since(before.at); spent > time.Duration(m.Waiting.HoldMs)*time.Millisecond {
		return s, errors.Newf("holdMs is %d but %s took %s; tasks may have left the queue during the measurement", m.Waiting.HoldMs, s.Name, spent.Round(time.Millisecond))
	}
	return s, nil
}

// submit submits a job without waiting for its answer and returns its id.
func (m measurement) submit(ctx context.Context, j generator.Job) (string, error) {
	sub := j.Submission("", 0)
	sub.Wait = false
	var a messenger.Answer
	status, err := m.client.Call(ctx, http.MethodPost, "http://"+m.Entry+"/v1/jobs", sub, &a)
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

func (m measurement) cancelAll(ctx context.Context, jobs []string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for _, id := range jobs {
		if _, err := m.client.Call(ctx, http.MethodDelete, "http://"+m.Entry+"/v1/jobs/"+id, nil, nil); err != nil {
			return errors.Wrapf(err, "cancelling job %s", id)
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
