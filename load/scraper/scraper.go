// Package scraper reads the counters of entries and targets before and after a
// run and reports the messages that finished tasks cost.
package scraper

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

var log = logrus.WithField("prefix", "scraper")

// Names of the counters that entries expose, with their labels.
const (
	messagesTotal = "godwitrelay_messages_total"
	messagesLabel = "kind"
	wastedTotal   = "godwitrelay_wasted_messages_total"
	wastedLabel   = "reason"
)

// maxBytes bounds a reply to a scrape.
const maxBytes = 16 << 20

// timeout bounds one scrape.
const timeout = 5 * time.Second

// Scraper reads the counters of a set of processes. Create it with [New].
type Scraper struct {
	client   messenger.Client
	entries  []string
	controls []string
}

// New returns a scraper for entries' operator addresses (GET /metrics) and
// target processes (GET /control).
func New(c messenger.Client, entries, controls []string) *Scraper {
	return &Scraper{c, entries, controls}
}

// Sample is one reading: for each process its counters by name. Processes that
// did not answer are absent.
type Sample struct {
	messages map[string]map[string]float64
	wasted   map[string]map[string]float64
	targets  map[string]map[string]float64
	starts   map[string]map[string]float64
}

// Read reads all processes.
func (s *Scraper) Read(ctx context.Context) Sample {
	out := Sample{
		messages: map[string]map[string]float64{}, wasted: map[string]map[string]float64{},
		targets: map[string]map[string]float64{}, starts: map[string]map[string]float64{},
	}
	for _, address := range s.entries {
		families, err := Metrics(ctx, s.client, address)
		if err != nil {
			log.Debugf("entry %s: %v", address, err)
			continue
		}
		out.messages[address] = byLabel(families[messagesTotal], messagesLabel)
		out.wasted[address] = byLabel(families[wastedTotal], wastedLabel)
	}
	for _, address := range s.controls {
		totals, starts, err := s.control(ctx, address)
		if err != nil {
			log.Debugf("target %s: %v", address, err)
			continue
		}
		out.targets[address], out.starts[address] = totals, starts
	}
	return out
}

// Watch reads the entries every period until ctx ends, and returns the last
// reading of each. It keeps most counters of an entry that dies during a run.
func (s *Scraper) Watch(ctx context.Context, period time.Duration) Sample {
	last := Sample{messages: map[string]map[string]float64{}, wasted: map[string]map[string]float64{}}
	entries := New(s.client, s.entries, nil)
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return last
		case <-ticker.C:
			now := entries.Read(ctx)
			maps.Copy(last.messages, now.messages)
			maps.Copy(last.wasted, now.wasted)
		}
	}
}

// Complete returns s with the counters of entries that it lacks taken from an
// earlier reading, and the addresses of these entries.
func (s Sample) Complete(earlier Sample) (Sample, []string) {
	var partial []string
	for address, counters := range earlier.messages {
		if _, ok := s.messages[address]; !ok {
			s.messages[address], s.wasted[address] = counters, earlier.wasted[address]
			partial = append(partial, address)
		}
	}
	slices.Sort(partial)
	return s, partial
}

// Metrics reads GET /metrics of the process at address.
func Metrics(ctx context.Context, c messenger.Client, address string) (map[string]*dto.MetricFamily, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "building the request")
	}
	resp, err := (&http.Client{Transport: c.Transport}).Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "reading the metrics")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("reading the metrics: status %d", resp.StatusCode)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(io.LimitReader(resp.Body, maxBytes))
	return families, errors.Wrap(err, "parsing the metrics")
}

// Value returns the sum of a family's samples.
func Value(f *dto.MetricFamily) float64 {
	sum := 0.0
	for _, m := range f.GetMetric() {
		sum += m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
	}
	return sum
}

func byLabel(f *dto.MetricFamily, label string) map[string]float64 {
	out := map[string]float64{}
	for _, m := range f.GetMetric() {
		name := ""
		for _, pair := range m.GetLabel() {
			if pair.GetName() == label {
				name = pair.GetValue()
			}
		}
		out[name] += m.GetCounter().GetValue() + m.GetUntyped().GetValue()
	}
	return out
}

// targetCondition is the part of a target process's GET /control that is read.
type targetCondition struct {
	Targets []struct {
		VM struct {
			Address string `json:"address"`
		} `json:"vm"`
		Counters struct {
			Starts float64 `json:"starts"`
		} `json:"counters"`
	} `json:"targets"`
	Totals map[string]float64 `json:"totals"`
}

// control reads the counters of a target process, and the starts of each of
// its targets by address.
func (s *Scraper) control(ctx context.Context, address string) (totals, starts map[string]float64, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply targetCondition
	status, err := s.client.Call(ctx, http.MethodGet, "http://"+address+"/control", nil, &reply)
	if err != nil {
		return nil, nil, errors.Wrap(err, "reading the counters")
	}
	if status != http.StatusOK {
		return nil, nil, errors.Newf("reading the counters: status %d", status)
	}
	starts = map[string]float64{}
	for _, t := range reply.Targets {
		starts[t.VM.Address] = t.Counters.Starts
	}
	return reply.Totals, starts, nil
}

// Account is what a run cost in messages. Missing lists processes whose
// counters could not be read both before and after the run; their messages are
// not contained. Partial lists entries that died during the run; their messages
// are contained up to the last reading before.
type Account struct {
	Messages        map[string]float64 `json:"messages"`
	Wasted          map[string]float64 `json:"wasted"`
	Targets         map[string]float64 `json:"targets,omitempty"`
	StartsByTarget  map[string]float64 `json:"startsByTarget,omitempty"`
	AllMessages     float64            `json:"allMessages"`
	AllWasted       float64            `json:"allWasted"`
	FinishedTasks   int64              `json:"finishedTasks"`
	MessagesPerTask float64            `json:"messagesPerTask"`
	WastedPerTask   float64            `json:"wastedPerTask"`
	Missing         []string           `json:"missing,omitempty"`
	Partial         []string           `json:"partial,omitempty"`
}

// Compare returns the difference of two samples for a run that finished the
// given number of tasks.
func Compare(before, after Sample, tasks int64) *Account {
	a := &Account{FinishedTasks: tasks}
	a.Messages = a.difference(before.messages, after.messages)
	a.Wasted = a.difference(before.wasted, after.wasted)
	a.Targets = a.difference(before.targets, after.targets)
	a.StartsByTarget = a.difference(before.starts, after.starts)
	a.AllMessages, a.AllWasted = total(a.Messages), total(a.Wasted)
	if tasks > 0 {
		a.MessagesPerTask = a.AllMessages / float64(tasks)
		a.WastedPerTask = a.AllWasted / float64(tasks)
	}
	slices.Sort(a.Missing)
	a.Missing = slices.Compact(a.Missing)
	return a
}

// difference adds up, over the processes that were read both times, how far
// each counter grew. A process that was read only once is listed as missing.
func (a *Account) difference(before, after map[string]map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for address, old := range before {
		now, ok := after[address]
		if !ok {
			a.Missing = append(a.Missing, address)
			continue
		}
		for name, n := range now {
			out[name] += n - old[name]
		}
	}
	for address := range after {
		if _, ok := before[address]; !ok {
			a.Missing = append(a.Missing, address)
		}
	}
	return out
}

func total(counters map[string]float64) float64 {
	sum := 0.0
	for _, n := range counters {
		sum += n
	}
	return sum
}
