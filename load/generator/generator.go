package generator

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Settings configure the workload of one run. MixName selects a built-in mix (see
// [PresetMix]) unless CustomMix is set. Slots is the total number of slots of all
// targets, and LoadPercent the offered load relative to their capacity. Run times
// and deadlines are multiplied by TimeScale, which is at most 1. DeclaredErrorMax
// is the largest factor by which a declared run time is too high or too low.
type Settings struct {
	Seed             uint64        `json:"seed"`
	MixName          string        `json:"mix,omitempty"`
	CustomMix        *Mix          `json:"customMix,omitempty"`
	Slots            int64         `json:"slots"`
	LoadPercent      float64       `json:"loadPercent"`
	TimeScale        float64       `json:"timeScale,omitempty"`
	DeclaredErrorMax float64       `json:"declaredErrorMax,omitempty"`
	DurationMs       int64         `json:"durationMs"`
	Bursts           Bursts        `json:"bursts,omitzero"`
	Cancellations    Cancellations `json:"cancellations,omitzero"`
	ResubmitPercent  float64       `json:"resubmitPercent,omitempty"`
}

// Cancellations are sent at regular intervals: every EveryMs, Percent of the jobs
// that arrived in the preceding WindowMs are cancelled together. The zero value
// means none.
type Cancellations struct {
	EveryMs  int64   `json:"everyMs,omitempty"`
	WindowMs int64   `json:"windowMs,omitempty"`
	Percent  float64 `json:"percent,omitempty"`
}

// Check records invalid settings in f and fills in defaults.
func (s *Settings) Check(f *loader.Problems) {
	if s.CustomMix != nil {
		s.CustomMix.Check("customMix", f)
	} else {
		f.CheckOneOf("mix", &s.MixName, "smokehouse", "namta")
	}
	f.CheckRange("slots", &s.Slots, 400, 1, 1_000_000)
	f.CheckRange("durationMs", &s.DurationMs, 20_000, 1, 3_600_000)
	checkFloatRange(f, "loadPercent", &s.LoadPercent, 80, 0.01, 1000)
	checkFloatRange(f, "timeScale", &s.TimeScale, 1, 0.0001, 1)
	checkFloatRange(f, "declaredErrorMax", &s.DeclaredErrorMax, 5, 1, 100)
	if s.ResubmitPercent < 0 || s.ResubmitPercent > 100 {
		f.Add("resubmitPercent", s.ResubmitPercent, "0 to 100")
	}
	if b := s.Bursts; b != (Bursts{}) && (b.ForMs < 1 || b.EveryMs <= b.ForMs || b.Factor < 1) {
		f.Add("bursts", b, "1 <= forMs < everyMs and factor at least 1")
	}
	c := s.Cancellations
	if c != (Cancellations{}) && (c.EveryMs < 1 || c.WindowMs < 1 || c.Percent <= 0 || c.Percent > 100) {
		f.Add("cancellations", c, "everyMs and windowMs at least 1, percent above 0 and at most 100")
	}
}

func checkFloatRange(f *loader.Problems, field string, x *float64, defaultValue, low, high float64) {
	if *x == 0 {
		*x = defaultValue
	}
	if *x < low || *x > high || math.IsNaN(*x) {
		f.Add(field, *x, fmt.Sprintf("%v to %v", low, high))
	}
}

// Mix returns the configured mix with unscaled run times and deadlines.
func (s Settings) Mix() Mix {
	if s.CustomMix != nil {
		return *s.CustomMix
	}
	m, _ := PresetMix(s.MixName)
	return m
}

// CapacityTasksPerS returns the number of tasks per second that the slots can
// complete.
func (s Settings) CapacityTasksPerS() float64 {
	return float64(s.Slots) * 1000 / (s.Mix().MeanRunMs() * s.TimeScale)
}

// JobsPerS returns the job arrival rate for a load of LoadPercent, computed from
// the mix's mean number of tasks per job and mean run time per task. [New]
// calibrates the actual rate to the jobs that the seed generates.
func (s Settings) JobsPerS() float64 {
	return s.CapacityTasksPerS() * s.LoadPercent / 100 / s.Mix().MeanTasks()
}

// Job is one job of a run. ArrivesAt and CancelAt are relative to the start of
// the run; CancelAt is 0 for a job that is not cancelled. RunMs has one element
// per task. ResubmitAfter is the delay after which the job is submitted again
// through another entry, or 0 for a job that is submitted once.
type Job struct {
	Index         int
	ArrivesAt     time.Duration
	Service       string
	Team          string
	Type          RequestType
	RunMs         []int64
	DeclaredRunMs int64
	DeadlineMs    int64
	CancelAt      time.Duration
	ResubmitAfter time.Duration
	valuePrefix   string
}

// LongestRun returns the run time of the job's longest task.
func (j Job) LongestRun() time.Duration {
	longest := int64(0)
	for _, ms := range j.RunMs {
		longest = max(longest, ms)
	}
	return time.Duration(longest) * time.Millisecond
}

// TotalRun returns the sum of the run times of all tasks.
func (j Job) TotalRun() time.Duration {
	sum := int64(0)
	for _, ms := range j.RunMs {
		sum += ms
	}
	return time.Duration(sum) * time.Millisecond
}

// Value returns the value that the target must return for the task. It is
// unique within a run, so that swapped results are detected.
func (j Job) Value(task int) string { return fmt.Sprintf("%s-%d-%d", j.valuePrefix, j.Index, task) }

// Payload is the task payload that a simulated target expects.
type Payload struct {
	RunMs int64  `json:"runMs"`
	Value string `json:"value"`
}

// Payloads returns the payload of every task.
func (j Job) Payloads() []json.RawMessage {
	list := make([]json.RawMessage, len(j.RunMs))
	for i := range list {
		list[i] = j.Payload(i)
	}
	return list
}

// Payload returns the payload of one task.
func (j Job) Payload(task int) json.RawMessage {
	data, _ := json.Marshal(Payload{RunMs: j.RunMs[task], Value: j.Value(task)})
	return data
}

// Submission returns the submission of the job under the given id. It requests
// moreIDs further ids.
func (j Job) Submission(id string, moreIDs int) messenger.Submission {
	idempotent := j.Type.Idempotent
	return messenger.Submission{
		ID: id, Team: j.Team, Service: j.Service, RequestType: j.Type.Name, Priority: j.Type.Priority,
		DeadlineMs: j.DeadlineMs, Idempotent: &idempotent, DeclaredRunMs: j.DeclaredRunMs,
		Tasks: j.Payloads(), Wait: true, MoreIDs: moreIDs,
	}
}

// Generator generates the jobs of one run in order of arrival.
type Generator struct {
	settings  Settings
	mix       Mix
	arrivals  *Arrivals
	random    *rand.Rand
	nextIndex int
}

// New returns a generator for validated settings. The arrival rate is calibrated
// so that the total work of the run matches LoadPercent. Without calibration, the
// offered load of a short run depends strongly on the seed: it was between 72 and
// 94 percent in runs of 5 s of the mix namta with LoadPercent 80.
func New(s Settings) *Generator { return newAtRate(s, calibratedRate(s)) }

// newAtRate returns a generator with a mean arrival rate of jobsPerS.
func newAtRate(s Settings, jobsPerS float64) *Generator {
	return &Generator{
		settings: s,
		mix:      s.Mix(),
		arrivals: NewArrivals(jobsPerS, s.Bursts, rand.New(rand.NewPCG(s.Seed, 1))),
		random:   rand.New(rand.NewPCG(s.Seed, 2)),
	}
}

// calibratedRate returns the arrival rate at which the total work of the jobs
// that arrive during the run is as close to the configured load as whole jobs
// allow. At least one job arrives.
func calibratedRate(s Settings) float64 {
	seconds := float64(s.DurationMs) / 1000
	targetWork := float64(s.Slots) * s.LoadPercent / 100 * seconds
	g := newAtRate(s, 1)
	expected := g.arrivals.random.ExpFloat64()
	for totalWork := g.generate(0).TotalRun().Seconds(); ; {
		gap, work := g.arrivals.random.ExpFloat64(), g.generate(0).TotalRun().Seconds()
		if totalWork+work/2 > targetWork {
			// The end of the run falls between the last counted job and the next.
			return (expected + gap/2) / g.arrivals.expectedCount(seconds)
		}
		expected += gap
		totalWork += work
	}
}

// Next returns the next job, or false if it would arrive after the end of the
// run.
func (g *Generator) Next() (Job, bool) {
	at := g.arrivals.Next()
	if at >= time.Duration(g.settings.DurationMs)*time.Millisecond {
		return Job{}, false
	}
	return g.generate(at), true
}

// generate returns the next job with the given arrival time.
func (g *Generator) generate(at time.Duration) Job {
	r, s := g.random, g.settings
	t := g.pickType()
	j := Job{
		Index: g.nextIndex, ArrivesAt: at, Service: g.mix.Service, Type: t,
		Team:        g.mix.Teams[r.IntN(len(g.mix.Teams))],
		RunMs:       make([]int64, t.Sizes.Sample(r)),
		valuePrefix: fmt.Sprintf("s%d", s.Seed),
	}
	g.nextIndex++
	mean := 0.0
	for i := range j.RunMs {
		ms := math.Max(1, math.Round(t.Run.Sample(r)*s.TimeScale))
		mean += ms / float64(len(j.RunMs))
		j.RunMs[i] = int64(ms)
	}
	errorFactor := math.Pow(s.DeclaredErrorMax, 2*r.Float64()-1)
	j.DeclaredRunMs = max(1, int64(math.Round(mean*errorFactor)))
	deadline := float64(t.DeadlineMinMs) + r.Float64()*float64(t.DeadlineMaxMs-t.DeadlineMinMs)
	j.DeadlineMs = max(int64(deadline*s.TimeScale), 3*j.LongestRun().Milliseconds())
	g.scheduleCancelAndResubmit(&j)
	return j
}

// scheduleCancelAndResubmit sets the job's cancellation and resubmission. It
// always draws the same number of random values, so that these settings do not
// change the jobs themselves.
func (g *Generator) scheduleCancelAndResubmit(j *Job) {
	cancel, resubmit, delay := g.random.Float64(), g.random.Float64(), g.random.Float64()
	if c := g.settings.Cancellations; c.EveryMs > 0 {
		every := time.Duration(c.EveryMs) * time.Millisecond
		cancelAt := j.ArrivesAt.Truncate(every) + every
		if cancelAt-j.ArrivesAt <= time.Duration(c.WindowMs)*time.Millisecond && cancel*100 < c.Percent {
			j.CancelAt = cancelAt
		}
	}
	if resubmit*100 < g.settings.ResubmitPercent {
		j.ResubmitAfter = max(1, time.Duration(delay*float64(j.LongestRun())))
	}
}

func (g *Generator) pickType() RequestType {
	total := 0.0
	for _, t := range g.mix.Types {
		total += t.Share
	}
	u := g.random.Float64() * total
	for _, t := range g.mix.Types {
		if u -= t.Share; u < 0 {
			return t
		}
	}
	return g.mix.Types[len(g.mix.Types)-1]
}
