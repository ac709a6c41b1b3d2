package driver

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/load/caller"
	"github.com/godwitrelay/godwitrelay/load/generator"
	"github.com/godwitrelay/godwitrelay/load/meter"
	"github.com/godwitrelay/godwitrelay/load/scraper"
)

var log = logrus.WithField("prefix", "driver")

const (
	idleConnections = 1024
	dialTimeout     = 2 * time.Second
	// watchPeriod bounds the messages that are lost with an entry that dies,
	// and costs an entry one scrape a second.
	watchPeriod = time.Second
)

// Report is the result of one run: one mode in one round.
type Report struct {
	Mode    string           `json:"mode"`
	Round   int              `json:"round"`
	Seed    uint64           `json:"seed"`
	Label   string           `json:"label,omitempty"`
	Began   time.Time        `json:"began"`
	Figures meter.Figures    `json:"figures"`
	Sent    map[string]int64 `json:"sent,omitempty"`
	Repeats map[string]int64 `json:"repeats,omitempty"`
	// Messages is nil if no metrics address was set.
	Messages *scraper.Account `json:"messages,omitempty"`
}

// Reports is the result of all rounds. Added is there if both modes ran.
type Reports struct {
	Settings Settings `json:"settings"`
	Runs     []Report `json:"runs"`
	Added    *Added   `json:"added,omitempty"`
}

// Violations returns the number of violations in all runs.
func (r Reports) Violations() int64 {
	sum := int64(0)
	for _, run := range r.Runs {
		sum += run.Figures.Violations
	}
	return sum
}

// Run carries out all rounds, alternating the modes in each. A round's seed is
// the settings' seed plus its number, the same for all modes.
func Run(ctx context.Context, s Settings) (Reports, error) {
	history, err := openHistory(s.HistoryFile)
	if err != nil {
		return Reports{}, err
	}
	if history != nil {
		defer history.Close()
	}
	all := Reports{Settings: s}
	for round := range int(s.Rounds) {
		for _, mode := range s.Modes {
			if ctx.Err() != nil {
				return all, ctx.Err()
			}
			all.Runs = append(all.Runs, runOnce(ctx, s, mode, round, history))
		}
	}
	all.Added = added(all.Runs)
	return all, nil
}

func openHistory(path string) (*os.File, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	return file, errors.Wrap(err, "opening the history")
}

func runOnce(ctx context.Context, s Settings, mode string, round int, history *os.File) Report {
	transport := messenger.NewTransport(idleConnections, dialTimeout)
	defer transport.CloseIdleConnections()
	client := messenger.Client{Transport: transport}
	workload := s.Settings
	workload.Seed += uint64(round)
	m := meter.New(meter.Settings{
		Slots: s.Slots, CapacityTasksPer: workload.CapacityTasksPerS(),
		Path:     networkPath(ctx, client, mode, &s),
		Warmup:   time.Duration(s.WarmupMs) * time.Millisecond,
		Duration: time.Duration(s.DurationMs) * time.Millisecond,
	})
	report := Report{Mode: mode, Round: round, Seed: workload.Seed, Label: s.Label, Began: time.Now().UTC()}
	log.Infof("round %d, mode %s, seed %d: %.1f jobs/s for %d ms", round, mode, workload.Seed, workload.JobsPerS(), s.DurationMs)
	loop := caller.Loop{MaxInFlight: int(s.MaxInFlight), Done: m.Record}
	if mode == Direct {
		loop.Submitter = caller.NewDirect(transport, s.Targets, int(s.SlotsPerTarget))
		loop.Run(ctx, generator.New(workload))
		report.Figures = m.Figures()
		return report
	}
	pool := newPool(s, transport, history)
	pool.Prefetch(ctx)
	scrape := scraper.New(client, s.Metrics, s.TargetControls)
	before := scrape.Read(ctx)
	stopWatch := watch(ctx, scrape)
	loop.Submitter = pool
	loop.Run(ctx, generator.New(workload))
	last := stopWatch()
	totals := pool.Totals()
	for _, text := range totals.Violations {
		m.Violation(text)
	}
	report.Figures, report.Sent, report.Repeats = m.Figures(), totals.Messages, totals.Repeats
	if len(s.Metrics) > 0 {
		after, partial := scrape.Read(ctx).Complete(last)
		report.Messages = scraper.Compare(before, after, report.Figures.FinishedTasks)
		report.Messages.Partial = partial
	}
	return report
}

// watch begins to read the counters of entries from time to time. The returned
// function ends it and returns the last reading of each entry.
func watch(ctx context.Context, s *scraper.Scraper) func() scraper.Sample {
	ctx, cancel := context.WithCancel(ctx)
	last := make(chan scraper.Sample, 1)
	go func() { last <- s.Watch(ctx, watchPeriod) }()
	return func() scraper.Sample {
		cancel()
		return <-last
	}
}

func newPool(s Settings, transport http.RoundTripper, history *os.File) *caller.Pool {
	settings := caller.PoolSettings{
		Transport: transport, Entries: s.Entries, Sessions: int(s.Sessions), Batch: int(s.IDBatch),
		Payloads: s.HistoryPayloads == nil || *s.HistoryPayloads,
	}
	if history != nil {
		settings.History = &recorder.Recorder{Process: "load", Out: history}
	}
	return caller.NewPool(settings)
}
