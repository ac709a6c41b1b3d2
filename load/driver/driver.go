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
	// scrapeInterval is the interval at which entries are scraped during a run.
	// It limits the message counts that are lost when an entry dies, at the cost
	// of one scrape per second and entry.
	scrapeInterval = time.Second
)

// RunReport is the result of one run, which is one mode in one round. Sent counts
// the messages that the callers sent, by kind (see [caller.Totals]), and
// FollowUps the outcomes of their resubmissions and cancellations. Sent,
// FollowUps and Messages are nil in mode direct.
type RunReport struct {
	Mode      string           `json:"mode"`
	Round     int              `json:"round"`
	Seed      uint64           `json:"seed"`
	Label     string           `json:"label,omitempty"`
	Began     time.Time        `json:"began"`
	Figures   meter.Figures    `json:"figures"`
	Sent      map[string]int64 `json:"sent,omitempty"`
	FollowUps map[string]int64 `json:"repeats,omitempty"`
	// Messages is also nil if no metrics address was set.
	Messages *scraper.MessageReport `json:"messages,omitempty"`
}

// Report is the result of all rounds. Added is nil unless a round ran both
// modes.
type Report struct {
	Settings Settings      `json:"settings"`
	Runs     []RunReport   `json:"runs"`
	Added    *AddedLatency `json:"added,omitempty"`
}

// Violations returns the total number of violations.
func (r Report) Violations() int64 {
	sum := int64(0)
	for _, run := range r.Runs {
		sum += run.Figures.Violations
	}
	return sum
}

// Run executes all rounds, each with all modes. The seed of a round is the
// configured seed plus the round number, and is the same for all modes.
func Run(ctx context.Context, s Settings) (Report, error) {
	history, err := openHistory(s.HistoryFile)
	if err != nil {
		return Report{}, err
	}
	if history != nil {
		defer history.Close()
	}
	report := Report{Settings: s}
	for round := range int(s.Rounds) {
		for _, mode := range s.Modes {
			if ctx.Err() != nil {
				return report, ctx.Err()
			}
			report.Runs = append(report.Runs, runOnce(ctx, s, mode, round, history))
		}
	}
	report.Added = computeAddedLatency(report.Runs)
	return report, nil
}

func openHistory(path string) (*os.File, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	return file, errors.Wrap(err, "opening the history")
}

func runOnce(ctx context.Context, s Settings, mode string, round int, history *os.File) RunReport {
	transport := messenger.NewTransport(idleConnections, dialTimeout)
	defer transport.CloseIdleConnections()
	client := messenger.Client{Transport: transport}
	workload := s.Settings
	workload.Seed += uint64(round)
	m := meter.New(meter.Settings{
		Slots: s.Slots, CapacityTasksPerS: workload.CapacityTasksPerS(),
		NetworkRoundTrip: networkRoundTrip(ctx, client, mode, &s),
		Warmup:           time.Duration(s.WarmupMs) * time.Millisecond,
		Duration:         time.Duration(s.DurationMs) * time.Millisecond,
	})
	report := RunReport{Mode: mode, Round: round, Seed: workload.Seed, Label: s.Label, Began: time.Now().UTC()}
	log.Infof("round %d, mode %s, seed %d: nominally %.1f jobs/s for %d ms", round, mode, workload.Seed, workload.JobsPerS(), s.DurationMs)
	loop := caller.OpenLoop{MaxInFlight: int(s.MaxInFlight), OnFinished: m.Record}
	if mode == Direct {
		loop.Submitter = caller.NewDirect(transport, s.Targets, int(s.SlotsPerTarget))
		loop.Run(ctx, generator.New(workload))
		report.Figures = m.Figures()
		return report
	}
	pool := newPool(s, transport, history)
	pool.Prefetch(ctx)
	entryScraper := scraper.New(client, s.Metrics, s.TargetControls)
	before := entryScraper.Read(ctx)
	stopWatching := startWatching(ctx, entryScraper)
	loop.Submitter = pool
	loop.Run(ctx, generator.New(workload))
	last := stopWatching()
	totals := pool.Totals()
	for _, text := range totals.Violations {
		m.AddViolation(text)
	}
	report.Figures, report.Sent, report.FollowUps = m.Figures(), totals.Messages, totals.FollowUps
	if len(s.Metrics) > 0 {
		after, partial := entryScraper.Read(ctx).FillMissing(last)
		report.Messages = scraper.NewMessageReport(before, after, report.Figures.FinishedTasks)
		report.Messages.Partial = partial
	}
	return report
}

// startWatching starts scraping the entries periodically. The returned function
// stops it and returns the last counters read from each entry.
func startWatching(ctx context.Context, s *scraper.Scraper) func() scraper.Snapshot {
	ctx, cancel := context.WithCancel(ctx)
	last := make(chan scraper.Snapshot, 1)
	go func() { last <- s.Watch(ctx, scrapeInterval) }()
	return func() scraper.Snapshot {
		cancel()
		return <-last
	}
}

func newPool(s Settings, transport http.RoundTripper, history *os.File) *caller.Pool {
	settings := caller.PoolSettings{
		Transport: transport, Entries: s.Entries, Sessions: int(s.Sessions), IDBatch: int(s.IDBatch),
		RecordPayloads: s.HistoryPayloads == nil || *s.HistoryPayloads,
	}
	if history != nil {
		settings.History = &recorder.Recorder{Process: "load", Out: history}
	}
	return caller.NewPool(settings)
}
