// Package meter aggregates the finished jobs of one run into figures: latency
// quantiles, throughput and failure counts. Response times are compared with an
// ideal: the ideal response time of a job is the run time of its longest task
// plus the minimum network round trip.
package meter

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/caller"
)

const (
	// valueScale converts figures to histogram values: ratios are recorded in
	// thousandths, and times in milliseconds are recorded in microseconds.
	valueScale = 1000
	// maxRatio and maxMicros are the largest recordable values; larger ones are
	// clamped.
	maxRatio          = 1_000_000 * valueScale
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	// maxViolationSamples limits the number of violations whose text is kept.
	maxViolationSamples = 20
)

// Settings hold the parameters of a run that figures are relative to.
// NetworkRoundTrip is the minimum network time of a job, and Duration the time
// during which jobs arrive. Warmup is the initial period that is excluded from
// all figures except FinishedTasks and the violations.
type Settings struct {
	Slots             int64
	CapacityTasksPerS float64
	NetworkRoundTrip  time.Duration
	Warmup            time.Duration
	Duration          time.Duration
}

// Meter aggregates finished jobs. It is safe for concurrent use. Create it with
// [New].
type Meter struct {
	settings Settings

	mu               sync.Mutex
	priorities       map[messenger.Priority]*priorityStats
	sendDelay        *hdrhistogram.Histogram
	finishedTasks    int64
	tasksInWindow    int64
	workInWindow     time.Duration
	offeredWork      time.Duration
	violations       int64
	violationSamples []string
	timelineSeconds  []secondStats
}

// priorityStats aggregates the jobs of one priority.
type priorityStats struct {
	jobs, complete              int64
	failed, refused, unanswered map[messenger.ErrorKind]int64
	overIdeal, added, response  *hdrhistogram.Histogram
}

// New returns an empty meter.
func New(s Settings) *Meter {
	return &Meter{settings: s, priorities: map[messenger.Priority]*priorityStats{}, sendDelay: hdrhistogram.New(1, maxMicros, significantDigits)}
}

func newPriorityStats() *priorityStats {
	return &priorityStats{
		failed: map[messenger.ErrorKind]int64{}, refused: map[messenger.ErrorKind]int64{}, unanswered: map[messenger.ErrorKind]int64{},
		overIdeal: hdrhistogram.New(1, maxRatio, significantDigits),
		added:     hdrhistogram.New(1, maxMicros, significantDigits),
		response:  hdrhistogram.New(1, maxMicros, significantDigits),
	}
}

// Record adds one finished job.
func (m *Meter) Record(f caller.FinishedJob) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if text := f.Attempt.Violation; text != "" {
		m.addViolationLocked(text)
	}
	if f.Attempt.Outcome == messenger.Complete {
		m.countFinishedLocked(f)
	}
	if f.Job.ArrivesAt < m.settings.Warmup {
		return
	}
	m.offeredWork += f.Job.TotalRun()
	recordClamped(m.sendDelay, maxMicros, f.SendDelay.Microseconds())
	stats := m.priorities[f.Job.Type.Priority]
	if stats == nil {
		stats = newPriorityStats()
		m.priorities[f.Job.Type.Priority] = stats
	}
	stats.record(f, m.settings.NetworkRoundTrip)
	m.recordTimelineLocked(f)
}

// AddViolation counts a violation that was not found in the answer of a recorded
// job, such as one in the answer to a resubmission.
func (m *Meter) AddViolation(text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addViolationLocked(text)
}

func (m *Meter) addViolationLocked(text string) {
	m.violations++
	if len(m.violationSamples) < maxViolationSamples {
		m.violationSamples = append(m.violationSamples, text)
	}
}

// countFinishedLocked counts the tasks of a complete job. Only jobs answered
// between the end of the warm-up and the end of Settings.Duration count towards
// throughput, because the load is not at its nominal level outside that window.
func (m *Meter) countFinishedLocked(f caller.FinishedJob) {
	m.finishedTasks += int64(len(f.Job.RunMs))
	if f.FinishedAt >= m.settings.Warmup && f.FinishedAt < m.settings.Duration {
		m.tasksInWindow += int64(len(f.Job.RunMs))
		m.workInWindow += f.Job.TotalRun()
	}
}

func (s *priorityStats) record(f caller.FinishedJob, roundTrip time.Duration) {
	s.jobs++
	switch f.Attempt.Outcome {
	case messenger.Complete:
		s.complete++
		ideal := f.Job.LongestRun() + roundTrip
		recordClamped(s.overIdeal, maxRatio, int64(float64(f.Response)/float64(ideal)*valueScale+0.5))
		recordClamped(s.added, maxMicros, (f.Response - f.Job.LongestRun()).Microseconds())
		recordClamped(s.response, maxMicros, f.Response.Microseconds())
	case messenger.Failed:
		s.failed[f.Attempt.Kind]++
	case messenger.Refused:
		s.refused[f.Attempt.Kind]++
	default:
		s.unanswered[f.Attempt.Kind]++
	}
}

func recordClamped(h *hdrhistogram.Histogram, limit, value int64) {
	// RecordValue only fails for values out of range, which are clamped here.
	_ = h.RecordValue(min(max(value, 1), limit))
}

// Quantiles summarizes one distribution.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// PriorityFigures holds the figures of one priority. OverIdeal is the ratio of
// the response time to the ideal response time. AddedMs is the response time minus
// the run time of the longest task. OverIdeal, AddedMs and ResponseMs cover
// complete jobs only.
// Unanswered counts jobs by the reason why no answer was received.
type PriorityFigures struct {
	Jobs       int64                         `json:"jobs"`
	Complete   int64                         `json:"complete"`
	Failed     map[messenger.ErrorKind]int64 `json:"failed,omitempty"`
	Refused    map[messenger.ErrorKind]int64 `json:"refused,omitempty"`
	Unanswered map[messenger.ErrorKind]int64 `json:"unanswered,omitempty"`
	OverIdeal  Quantiles                     `json:"overIdeal"`
	AddedMs    Quantiles                     `json:"addedMs"`
	ResponseMs Quantiles                     `json:"responseMs"`
}

// Figures are the result of one run. FinishedTasks counts the tasks of all
// complete jobs. Throughput is measured between the end of the warm-up and the
// end of Settings.Duration: TasksOverCapacity is FinishedTasksPerS divided by
// CapacityTasksPerS, WorkOverCapacity the total run time of the tasks finished in
// that window divided by the available slot time, and OfferedOverCapacity that
// of the tasks that arrived in it. SendDelayMs is the delay with which the load
// generator submitted jobs; it is included in the response times.
type Figures struct {
	Priorities          map[messenger.Priority]PriorityFigures `json:"priorities"`
	FinishedTasks       int64                                  `json:"finishedTasks"`
	FinishedTasksPerS   float64                                `json:"finishedTasksPerS"`
	CapacityTasksPerS   float64                                `json:"capacityTasksPerS"`
	TasksOverCapacity   float64                                `json:"tasksOverCapacity"`
	OfferedOverCapacity float64                                `json:"offeredOverCapacity"`
	WorkOverCapacity    float64                                `json:"workOverCapacity"`
	NetworkRoundTripMs  float64                                `json:"pathMs"`
	SendDelayMs         Quantiles                              `json:"lateMs"`
	Violations          int64                                  `json:"violations"`
	ViolationSamples    []string                               `json:"violationSamples,omitempty"`
	Timeline            []TimelineSecond                       `json:"timeline"`
}

// Figures returns the figures of the jobs recorded so far.
func (m *Meter) Figures() Figures {
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := (m.settings.Duration - m.settings.Warmup).Seconds()
	f := Figures{
		Priorities:          map[messenger.Priority]PriorityFigures{},
		FinishedTasks:       m.finishedTasks,
		FinishedTasksPerS:   float64(m.tasksInWindow) / seconds,
		CapacityTasksPerS:   m.settings.CapacityTasksPerS,
		TasksOverCapacity:   float64(m.tasksInWindow) / seconds / m.settings.CapacityTasksPerS,
		OfferedOverCapacity: m.offeredWork.Seconds() / seconds / float64(m.settings.Slots),
		WorkOverCapacity:    m.workInWindow.Seconds() / seconds / float64(m.settings.Slots),
		NetworkRoundTripMs:  float64(m.settings.NetworkRoundTrip.Microseconds()) / 1000,
		SendDelayMs:         quantiles(m.sendDelay),
		Violations:          m.violations,
		ViolationSamples:    append([]string(nil), m.violationSamples...),
		Timeline:            m.timelineLocked(),
	}
	for p, stats := range m.priorities {
		f.Priorities[p] = PriorityFigures{
			Jobs: stats.jobs, Complete: stats.complete,
			Failed: maps.Clone(stats.failed), Refused: maps.Clone(stats.refused), Unanswered: maps.Clone(stats.unanswered),
			OverIdeal:  quantiles(stats.overIdeal),
			AddedMs:    quantiles(stats.added),
			ResponseMs: quantiles(stats.response),
		}
	}
	return f
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{
		P50:  float64(h.ValueAtQuantile(50)) / valueScale,
		P99:  float64(h.ValueAtQuantile(99)) / valueScale,
		P999: float64(h.ValueAtQuantile(99.9)) / valueScale,
		Max:  float64(h.Max()) / valueScale,
	}
}
