// Package exporter collects the Prometheus metrics of an entry process.
package exporter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const namespace = "godwitrelay"

// Exporter holds the metrics. Create one with [New].
type Exporter struct {
	registry     *prometheus.Registry
	counters     map[string]*prometheus.CounterVec
	responseTime *prometheus.HistogramVec
	slotCount    *prometheus.GaugeVec
	waitingTasks *prometheus.GaugeVec
	version      prometheus.Gauge
	members      prometheus.Gauge
	jobs         prometheus.Gauge
	// ownership is only set by entries of command godwit-platform-entry.
	ownership *prometheus.GaugeVec
	// runTimeRatio is only set by the same entries.
	runTimeRatio *prometheus.GaugeVec
}

// New returns metrics that start at zero, with a counter for every kind of
// refusal.
func New() *Exporter {
	e := &Exporter{
		registry: prometheus.NewRegistry(),
		counters: map[string]*prometheus.CounterVec{
			"refusal":       counterVec("refusals_total", "Requests refused or failed, by error kind.", "kind"),
			"retry":         counterVec("retries_total", "Tasks that were placed again because they had not started, by reason.", "reason"),
			"message":       counterVec("messages_total", "Messages sent to other processes, by kind.", "kind"),
			"wasted":        counterVec("wasted_messages_total", "Messages that did not bring a finished task forward, by reason.", "reason"),
			"worker":        counterVec("worker_changes_total", "Changes in the owner's view of a worker of the operators' platform, by reason.", "reason"),
			"offer":         counterVec("offers_total", "Jobs offered to another worker group of the operators' platform, by reason.", "reason"),
			"offerRefusal":  counterVec("offer_refusals_total", "Offers to another worker group that were not taken, by reason.", "reason"),
			"offerWithheld": counterVec("offers_withheld_total", "Jobs refused in their own worker group or sent elsewhere by it that were not offered further, by reason.", "reason"),
			"target":        counterVec("target_changes_total", "Changes in the broker's view of a target, by reason.", "reason"),
			"limit":         counterVec("limits_total", "Connections closed and requests refused at a limit for clients, by server and reason.", "reason"),
			"rack":          counterVec("rack_starts_total", "On the operators' platform: starts of tasks whose job names a rack, on the same or another rack.", "rack"),
			"placement":     counterVec("placements_total", "Decisions of look-ahead placement on the operators' platform, by reason.", "reason"),
			"admission":     counterVec("admission_refusals_total", "Jobs refused by the owner of the workers of the operators' platform, by rule.", "rule"),
		},
		responseTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "job_response_seconds",
			Help:    "Time from the receipt of a job to its final answer, by priority and outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"priority", "outcome"}),
		slotCount:    gaugeVec("slots", "Slots of a service in this failure domain as its broker knows them; state is share or in_use.", "service", "state"),
		waitingTasks: gaugeVec("waiting_tasks", "Tasks in the broker's queue, by service.", "service"),
		version:      simpleGauge("configuration_version", "Version of the configuration in force."),
		members:      simpleGauge("live_members", "Live entries of the failure domain, this one included."),
		jobs:         simpleGauge("jobs_in_progress", "Jobs of this entry without a final answer."),
		ownership:    gaugeVec("ownership", "On the operators' platform: whether this entry owns workers, and how they are.", "state"),
		runTimeRatio: gaugeVec("run_time_ratio", "On the operators' platform: run times of recent tasks as a multiple of the expected run time, by queue and quantile.", "queue", "quantile"),
	}
	for _, c := range e.counters {
		e.registry.MustRegister(c)
	}
	e.registry.MustRegister(e.responseTime, e.slotCount, e.waitingTasks, e.ownership, e.runTimeRatio, e.version, e.members, e.jobs,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, k := range messenger.ErrorKinds() {
		e.counters["refusal"].WithLabelValues(string(k))
	}
	return e
}

func counterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
}

func gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func simpleGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// Count increments the counter of a reason. Unknown groups are ignored.
func (e *Exporter) Count(group, reason string) {
	if c, ok := e.counters[group]; ok {
		c.WithLabelValues(reason).Inc()
	}
}

// ObserveJob records the response time of a job.
func (e *Exporter) ObserveJob(p messenger.Priority, o messenger.Outcome, d time.Duration) {
	if p == "" {
		p = "none"
	}
	e.responseTime.WithLabelValues(string(p), string(o)).Observe(d.Seconds())
}

// SetStatus updates the gauges from the entry's status.
func (e *Exporter) SetStatus(status messenger.EntryStatus) {
	e.version.Set(float64(status.ConfigVersion))
	e.members.Set(float64(len(status.Members)))
	e.jobs.Set(float64(status.Jobs))
	e.slotCount.Reset()
	e.waitingTasks.Reset()
	for _, s := range status.Brokered {
		e.slotCount.WithLabelValues(s.Service, "share").Set(float64(s.Share))
		e.slotCount.WithLabelValues(s.Service, "in_use").Set(float64(s.InUse))
		e.waitingTasks.WithLabelValues(s.Service).Set(float64(s.Waiting))
	}
}

// Ownership is the status of an entry of command godwit-platform-entry. Such an
// entry runs tasks on workers that one entry owns, instead of on granted slots of
// targets.
type Ownership struct {
	ConfigVersion int64
	// ConfigAge is how long ago ConfigVersion was known to be the newest version.
	ConfigAge time.Duration
	Owner     bool
	// Workers is the number of workers in the group; Reachable is the number of
	// those that answer this entry as their owner.
	Workers, Reachable int
	// SlowWorkers is the number of workers that are slower than others for good.
	SlowWorkers   int
	Jobs, Waiting int
	// Lag is the delay of events in the entry's event loop, and Queued the number
	// of jobs that wait for it.
	Lag    time.Duration
	Queued int
	// ResponseTime is how long workers usually take to respond.
	ResponseTime time.Duration
}

// SetOwnership updates the gauges of an entry of command godwit-platform-entry.
func (e *Exporter) SetOwnership(o Ownership) {
	e.version.Set(float64(o.ConfigVersion))
	e.jobs.Set(float64(o.Jobs))
	owner := 0.0
	if o.Owner {
		owner = 1
	}
	for state, v := range map[string]float64{
		"owner": owner, "config_age_seconds": o.ConfigAge.Seconds(), "workers": float64(o.Workers), "reachable_workers": float64(o.Reachable), "slow_workers": float64(o.SlowWorkers),
		"waiting_jobs": float64(o.Waiting), "loop_lag_seconds": o.Lag.Seconds(),
		"queued_jobs": float64(o.Queued), "worker_response_seconds": o.ResponseTime.Seconds(),
	} {
		e.ownership.WithLabelValues(state).Set(v)
	}
}

// SetRunTimeRatio updates the gauges of the run times of a queue's tasks, as multiples
// of the expected run time.
func (e *Exporter) SetRunTimeRatio(queue string, median, p99 float64) {
	e.runTimeRatio.WithLabelValues(queue, "0.5").Set(median)
	e.runTimeRatio.WithLabelValues(queue, "0.99").Set(p99)
}

// Handler returns the HTTP handler that serves the metrics.
func (e *Exporter) Handler() http.Handler {
	return promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})
}
