// Package exporter keeps the Prometheus metrics of an entry process.
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

// Exporter holds the metrics. Make one with [New].
type Exporter struct {
	registry *prometheus.Registry
	groups   map[string]*prometheus.CounterVec
	response *prometheus.HistogramVec
	slots    *prometheus.GaugeVec
	waiting  *prometheus.GaugeVec
	version  prometheus.Gauge
	members  prometheus.Gauge
	jobs     prometheus.Gauge
	// ownership is set on the operators' platform only.
	ownership *prometheus.GaugeVec
}

// New returns metrics that start at zero, with every kind of refusal present.
func New() *Exporter {
	e := &Exporter{
		registry: prometheus.NewRegistry(),
		groups: map[string]*prometheus.CounterVec{
			"refusal": counter("refusals_total", "Requests refused or failed, by error kind.", "kind"),
			"retry":   counter("retries_total", "Tasks that were placed again because they had not started, by reason.", "reason"),
			"message": counter("messages_total", "Messages sent to other processes, by kind.", "kind"),
			"wasted":  counter("wasted_messages_total", "Messages that did not bring a finished task forward, by reason.", "reason"),
			"worker":  counter("worker_changes_total", "Changes in the owner's view of a worker of the operators' platform, by reason.", "reason"),
			"target":  counter("target_changes_total", "Changes in the broker's view of a target, by reason.", "reason"),
		},
		response: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "job_response_seconds",
			Help:    "Time from the receipt of a job to its final answer, by priority and outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"priority", "outcome"}),
		slots:     gauge("slots", "Slots of a service in this failure domain as its broker knows them; state is share or in_use.", "service", "state"),
		waiting:   gauge("waiting_tasks", "Tasks in the broker's queue, by service.", "service"),
		version:   plain("configuration_version", "Version of the configuration in force."),
		members:   plain("live_members", "Live entries of the failure domain, this one included."),
		jobs:      plain("jobs_in_progress", "Jobs of this entry without a final answer."),
		ownership: gauge("ownership", "On the operators' platform: whether this entry owns workers, and how they are.", "state"),
	}
	for _, c := range e.groups {
		e.registry.MustRegister(c)
	}
	e.registry.MustRegister(e.response, e.slots, e.waiting, e.ownership, e.version, e.members, e.jobs,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, k := range messenger.Kinds() {
		e.groups["refusal"].WithLabelValues(string(k))
	}
	return e
}

func counter(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func plain(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// Count adds one to the counter of a reason. Unknown groups are dropped.
func (e *Exporter) Count(group, reason string) {
	if c, ok := e.groups[group]; ok {
		c.WithLabelValues(reason).Inc()
	}
}

// Observe records the response time of a job.
func (e *Exporter) Observe(p messenger.Priority, o messenger.Outcome, d time.Duration) {
	if p == "" {
		p = "none"
	}
	e.response.WithLabelValues(string(p), string(o)).Observe(d.Seconds())
}

// Show sets the gauges from the entry's status.
func (e *Exporter) Show(status messenger.EntryStatus) {
	e.version.Set(float64(status.ConfigVersion))
	e.members.Set(float64(len(status.Members)))
	e.jobs.Set(float64(status.Jobs))
	e.slots.Reset()
	e.waiting.Reset()
	for _, s := range status.Brokered {
		e.slots.WithLabelValues(s.Service, "share").Set(float64(s.Share))
		e.slots.WithLabelValues(s.Service, "in_use").Set(float64(s.InUse))
		e.waiting.WithLabelValues(s.Service).Set(float64(s.Waiting))
	}
}

// Ownership is what an entry on the operators' platform knows of its workers.
type Ownership struct {
	ConfigVersion int64
	Owner         bool
	// Workers is the number of workers in the group, Reachable that of those
	// that answer this entry as their owner.
	Workers, Reachable int
	Jobs, Waiting      int
	// Lag is the delay of events in the entry's loop.
	Lag time.Duration
}

// ShowOwnership sets the gauges of an entry on the operators' platform.
func (e *Exporter) ShowOwnership(o Ownership) {
	e.version.Set(float64(o.ConfigVersion))
	e.jobs.Set(float64(o.Jobs))
	owner := 0.0
	if o.Owner {
		owner = 1
	}
	for state, v := range map[string]float64{
		"owner": owner, "workers": float64(o.Workers), "reachable_workers": float64(o.Reachable),
		"waiting_jobs": float64(o.Waiting), "loop_lag_seconds": o.Lag.Seconds(),
	} {
		e.ownership.WithLabelValues(state).Set(v)
	}
}

// Handler serves the metrics.
func (e *Exporter) Handler() http.Handler {
	return promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})
}
