// Package meter collects the jobs of one run and turns them into figures.
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
	// unit is what histograms hold for one: thousandths of a ratio, and
	// microseconds of a time in milliseconds.
	unit = 1000
	// maxRatio and maxMicros bound what a histogram can hold; larger values
	// are recorded as the bound.
	maxRatio  = 1_000_000 * unit
	maxMicros = int64(time.Hour / time.Microsecond)
	digits    = 3
	// maxSamples bounds the violations that are kept word for word.
	maxSamples = 20
)

// Settings describe what the figures refer to. Path is the minimum network
// path of a job, Warmup the time after which arrivals and finished tasks
// count, and Duration the time during which jobs arrive.
type Settings struct {
	Slots            int64
	CapacityTasksPer float64
	Path             time.Duration
	Warmup           time.Duration
	Duration         time.Duration
}

// Meter collects finished jobs. It may be used by several goroutines. Create
// it with [New].
type Meter struct {
	settings Settings

	mu         sync.Mutex
	priorities map[messenger.Priority]*class
	late       *hdrhistogram.Histogram
	tasks      int64
	window     int64
	work       time.Duration
	offered    time.Duration
	violations int64
	samples    []string
	seconds    []second
}

// class is what is kept of one priority.
type class struct {
	jobs, complete          int64
	failed, refused, unsure map[messenger.Kind]int64
	ratio, added, response  *hdrhistogram.Histogram
}

// New returns an empty meter.
func New(s Settings) *Meter {
	return &Meter{settings: s, priorities: map[messenger.Priority]*class{}, late: hdrhistogram.New(1, maxMicros, digits)}
}

func newClass() *class {
	return &class{
		failed: map[messenger.Kind]int64{}, refused: map[messenger.Kind]int64{}, unsure: map[messenger.Kind]int64{},
		ratio:    hdrhistogram.New(1, maxRatio, digits),
		added:    hdrhistogram.New(1, maxMicros, digits),
		response: hdrhistogram.New(1, maxMicros, digits),
	}
}

// Record adds one finished job.
func (m *Meter) Record(f caller.Finished) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if text := f.Attempt.Violation; text != "" {
		m.violationLocked(text)
	}
	if f.Attempt.Outcome == messenger.Complete {
		m.finishLocked(f)
	}
	if f.Job.At < m.settings.Warmup {
		return
	}
	m.offered += f.Job.Work()
	record(m.late, maxMicros, f.Late.Microseconds())
	c := m.priorities[f.Job.Type.Priority]
	if c == nil {
		c = newClass()
		m.priorities[f.Job.Type.Priority] = c
	}
	c.record(f, m.settings.Path)
	m.recordSecond(f)
}

// Violation counts a violation that was found outside a job's own answer.
func (m *Meter) Violation(text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violationLocked(text)
}

func (m *Meter) violationLocked(text string) {
	m.violations++
	if len(m.samples) < maxSamples {
		m.samples = append(m.samples, text)
	}
}

// finishLocked counts the tasks of a complete job. Only those answered between
// the warm-up and the last arrival count towards the throughput, because the
// load is not at its level before and after.
func (m *Meter) finishLocked(f caller.Finished) {
	m.tasks += int64(len(f.Job.RunMs))
	if f.Since >= m.settings.Warmup && f.Since < m.settings.Duration {
		m.window += int64(len(f.Job.RunMs))
		m.work += f.Job.Work()
	}
}

func (c *class) record(f caller.Finished, path time.Duration) {
	c.jobs++
	switch f.Attempt.Outcome {
	case messenger.Complete:
		c.complete++
		ideal := f.Job.Longest() + path
		record(c.ratio, maxRatio, int64(float64(f.Response)/float64(ideal)*unit+0.5))
		record(c.added, maxMicros, (f.Response - f.Job.Longest()).Microseconds())
		record(c.response, maxMicros, f.Response.Microseconds())
	case messenger.Failed:
		c.failed[f.Attempt.Kind]++
	case messenger.Refused:
		c.refused[f.Attempt.Kind]++
	default:
		c.unsure[f.Attempt.Kind]++
	}
}

func record(h *hdrhistogram.Histogram, limit, value int64) {
	// The value lies within the histogram's range after clamping.
	_ = h.RecordValue(min(max(value, 1), limit))
}

// Quantiles are figures of one distribution.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Class holds the figures of one priority. OverIdeal is the response time over
// the ideal, AddedMs the response time less the longest task's run time. Both
// are of complete jobs. Unanswered counts jobs by the reason why no answer
// came.
type Class struct {
	Jobs       int64                    `json:"jobs"`
	Complete   int64                    `json:"complete"`
	Failed     map[messenger.Kind]int64 `json:"failed,omitempty"`
	Refused    map[messenger.Kind]int64 `json:"refused,omitempty"`
	Unanswered map[messenger.Kind]int64 `json:"unanswered,omitempty"`
	OverIdeal  Quantiles                `json:"overIdeal"`
	AddedMs    Quantiles                `json:"addedMs"`
	ResponseMs Quantiles                `json:"responseMs"`
}

// Figures are the result of one run. FinishedTasks counts those of all
// complete jobs; the throughput is that between warm-up and last arrival.
// WorkOverCapacity is the run time of tasks finished then over the slot time
// that passed, OfferedOverCap that of all tasks that arrived then. LateMs is how late the load tool itself sent jobs; response
// times contain it.
type Figures struct {
	Priorities        map[messenger.Priority]Class `json:"priorities"`
	FinishedTasks     int64                        `json:"finishedTasks"`
	FinishedTasksPerS float64                      `json:"finishedTasksPerS"`
	CapacityTasksPerS float64                      `json:"capacityTasksPerS"`
	TasksOverCapacity float64                      `json:"tasksOverCapacity"`
	OfferedOverCap    float64                      `json:"offeredOverCapacity"`
	WorkOverCapacity  float64                      `json:"workOverCapacity"`
	PathMs            float64                      `json:"pathMs"`
	LateMs            Quantiles                    `json:"lateMs"`
	Violations        int64                        `json:"violations"`
	ViolationSamples  []string                     `json:"violationSamples,omitempty"`
	Timeline          []Second                     `json:"timeline"`
}

// Figures returns the figures of the jobs recorded so far.
func (m *Meter) Figures() Figures {
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := (m.settings.Duration - m.settings.Warmup).Seconds()
	f := Figures{
		Priorities:        map[messenger.Priority]Class{},
		FinishedTasks:     m.tasks,
		FinishedTasksPerS: float64(m.window) / seconds,
		CapacityTasksPerS: m.settings.CapacityTasksPer,
		TasksOverCapacity: float64(m.window) / seconds / m.settings.CapacityTasksPer,
		OfferedOverCap:    m.offered.Seconds() / seconds / float64(m.settings.Slots),
		WorkOverCapacity:  m.work.Seconds() / seconds / float64(m.settings.Slots),
		PathMs:            float64(m.settings.Path.Microseconds()) / 1000,
		LateMs:            quantiles(m.late),
		Violations:        m.violations,
		ViolationSamples:  append([]string(nil), m.samples...),
		Timeline:          m.timeline(),
	}
	for p, c := range m.priorities {
		f.Priorities[p] = Class{
			Jobs: c.jobs, Complete: c.complete,
			Failed: maps.Clone(c.failed), Refused: maps.Clone(c.refused), Unanswered: maps.Clone(c.unsure),
			OverIdeal:  quantiles(c.ratio),
			AddedMs:    quantiles(c.added),
			ResponseMs: quantiles(c.response),
		}
	}
	return f
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{
		P50:  float64(h.ValueAtQuantile(50)) / unit,
		P99:  float64(h.ValueAtQuantile(99)) / unit,
		P999: float64(h.ValueAtQuantile(99.9)) / unit,
		Max:  float64(h.Max()) / unit,
	}
}
