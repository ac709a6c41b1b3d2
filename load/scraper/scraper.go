// Package scraper reads the counters of entries and targets before and after a
// run and reports the number of messages per finished task.
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

// Counters exposed by entries, and their labels. A message that did not contribute
// to a finished task, such as the grant of a slot that is then not used, is
// wasted.
const (
	messagesTotal = "godwitrelay_messages_total"
	messagesLabel = "kind"
	wastedTotal   = "godwitrelay_wasted_messages_total"
	wastedLabel   = "reason"
)

// maxReplyBytes limits the size of a scrape reply.
const maxReplyBytes = 16 << 20

// scrapeTimeout limits the duration of one scrape.
const scrapeTimeout = 5 * time.Second

// Scraper reads the counters of entries and target processes. Create it with
// [New].
type Scraper struct {
	client           messenger.Client
	entryAddresses   []string
	controlAddresses []string
}

// New returns a scraper for the addresses at which entries serve GET /metrics and
// those at which target processes serve GET /control.
func New(c messenger.Client, entryAddresses, controlAddresses []string) *Scraper {
	return &Scraper{c, entryAddresses, controlAddresses}
}

// Snapshot holds the counters of each process at one time, by address and
// counter name, and in startsByTarget by the addresses of the process and the
// target. Processes that did not answer are absent. All counters are cumulative
// except maxInFlight of targets, which is a maximum.
type Snapshot struct {
	messages       map[string]map[string]float64
	wasted         map[string]map[string]float64
	targets        map[string]map[string]float64
	startsByTarget map[string]map[string]float64
}

// Read reads the counters of all processes.
func (s *Scraper) Read(ctx context.Context) Snapshot {
	out := Snapshot{
		messages: map[string]map[string]float64{}, wasted: map[string]map[string]float64{},
		targets: map[string]map[string]float64{}, startsByTarget: map[string]map[string]float64{},
	}
	for _, address := range s.entryAddresses {
		families, err := ReadMetrics(ctx, s.client, address)
		if err != nil {
			log.Debugf("scraping entry %s: %v", address, err)
			continue
		}
		out.messages[address] = sumByLabel(families[messagesTotal], messagesLabel)
		out.wasted[address] = sumByLabel(families[wastedTotal], wastedLabel)
	}
	for _, address := range s.controlAddresses {
		totals, starts, err := s.readTargetCounters(ctx, address)
		if err != nil {
			log.Debugf("scraping target process %s: %v", address, err)
			continue
		}
		out.targets[address], out.startsByTarget[address] = totals, starts
	}
	return out
}

// Watch reads the counters of the entries every period until ctx is done, and
// returns the last counters of each. It preserves most counts of an entry that
// dies during a run.
func (s *Scraper) Watch(ctx context.Context, period time.Duration) Snapshot {
	last := Snapshot{messages: map[string]map[string]float64{}, wasted: map[string]map[string]float64{}}
	entries := New(s.client, s.entryAddresses, nil)
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

// FillMissing adds to s the counters of entries that only an earlier snapshot
// has. It returns s and the addresses of these entries.
func (s Snapshot) FillMissing(earlier Snapshot) (Snapshot, []string) {
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

// ReadMetrics reads GET /metrics of the process at address.
func ReadMetrics(ctx context.Context, c messenger.Client, address string) (map[string]*dto.MetricFamily, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
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
	families, err := parser.TextToMetricFamilies(io.LimitReader(resp.Body, maxReplyBytes))
	return families, errors.Wrap(err, "parsing the metrics")
}

// SumValues returns the sum of all values in a metric family.
func SumValues(f *dto.MetricFamily) float64 {
	sum := 0.0
	for _, m := range f.GetMetric() {
		sum += m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
	}
	return sum
}

func sumByLabel(f *dto.MetricFamily, label string) map[string]float64 {
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

// controlReply holds the fields of a target process's GET /control reply that
// are used.
type controlReply struct {
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

// readTargetCounters reads the total counters of a target process, and the
// number of starts of each of its targets by address.
func (s *Scraper) readTargetCounters(ctx context.Context, address string) (totals, starts map[string]float64, err error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	var reply controlReply
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

// MessageReport holds the message counts of a run. Missing lists processes whose
// counters could not be read both before and after the run; their messages are
// not included. Partial lists entries that died during the run; their messages
// are included up to the last successful scrape.
type MessageReport struct {
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

// NewMessageReport returns the increase of the counters between two snapshots
// for a run that finished the given number of tasks. The increase of maxInFlight
// in Targets is meaningless, because maxInFlight is a maximum.
func NewMessageReport(before, after Snapshot, tasks int64) *MessageReport {
	r := &MessageReport{FinishedTasks: tasks}
	r.Messages = r.counterIncrease(before.messages, after.messages)
	r.Wasted = r.counterIncrease(before.wasted, after.wasted)
	r.Targets = r.counterIncrease(before.targets, after.targets)
	r.StartsByTarget = r.counterIncrease(before.startsByTarget, after.startsByTarget)
	r.AllMessages, r.AllWasted = sumCounters(r.Messages), sumCounters(r.Wasted)
	if tasks > 0 {
		r.MessagesPerTask = r.AllMessages / float64(tasks)
		r.WastedPerTask = r.AllWasted / float64(tasks)
	}
	slices.Sort(r.Missing)
	r.Missing = slices.Compact(r.Missing)
	return r
}

// counterIncrease returns the increase of each counter, summed over the
// processes in both snapshots. It adds processes that are in only one snapshot
// to Missing.
func (r *MessageReport) counterIncrease(before, after map[string]map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for address, old := range before {
		now, ok := after[address]
		if !ok {
			r.Missing = append(r.Missing, address)
			continue
		}
		for name, n := range now {
			out[name] += n - old[name]
		}
	}
	for address := range after {
		if _, ok := before[address]; !ok {
			r.Missing = append(r.Missing, address)
		}
	}
	return out
}

func sumCounters(counters map[string]float64) float64 {
	sum := 0.0
	for _, n := range counters {
		sum += n
	}
	return sum
}
