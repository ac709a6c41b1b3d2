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

// Settings choose the workload of one run. Slots is the number of slots of all
// targets together; LoadPercent of their capacity arrives. TimeScale shrinks
// run times and deadlines. DeclaredErrorMax is the largest factor by which a
// declared run time is wrong in either direction.
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

// Cancellations come in waves: every EveryMs, Percent of the jobs that arrived
// in the WindowMs before are cancelled. The zero value means none.
type Cancellations struct {
	EveryMs  int64   `json:"everyMs,omitempty"`
	WindowMs int64   `json:"windowMs,omitempty"`
	Percent  float64 `json:"percent,omitempty"`
}

// Check records faults in f and fills in defaults.
func (s *Settings) Check(f *loader.Faults) {
	if s.CustomMix != nil {
		s.CustomMix.Check("customMix", f)
	} else {
		f.OneOf("mix", &s.MixName, "smokehouse", "namta")
	}
	f.Range("slots", &s.Slots, 400, 1, 1_000_000)
	f.Range("durationMs", &s.DurationMs, 20_000, 1, 3_600_000)
	preset(f, "loadPercent", &s.LoadPercent, 80, 0.01, 1000)
	preset(f, "timeScale", &s.TimeScale, 1, 0.0001, 1)
	preset(f, "declaredErrorMax", &s.DeclaredErrorMax, 5, 1, 100)
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

func preset(f *loader.Faults, field string, x *float64, value, low, high float64) {
	if *x == 0 {
		*x = value
	}
	if *x < low || *x > high || math.IsNaN(*x) {
		f.Add(field, *x, fmt.Sprintf("%v to %v", low, high))
	}
}

// Mix returns the mix that the settings name, at time scale 1.
func (s Settings) Mix() Mix {
	if s.CustomMix != nil {
		return *s.CustomMix
	}
	m, _ := Preset(s.MixName)
	return m
}

// CapacityTasksPerS returns the number of tasks per second that the slots can
// finish.
func (s Settings) CapacityTasksPerS() float64 {
	return float64(s.Slots) * 1000 / (s.Mix().MeanRunMs() * s.TimeScale)
}

// JobsPerS returns the mean arrival rate of jobs.
func (s Settings) JobsPerS() float64 {
	return s.CapacityTasksPerS() * s.LoadPercent / 100 / s.Mix().MeanTasks()
}

// Job is one job to submit At after the start of the run. RunMs has one
// element per task. CancelAt is 0 for a job that is not cancelled. Resubmit
// is the delay after which the job is sent again through another entry, 0 for
// jobs that are sent once.
type Job struct {
	Index         int
	At            time.Duration
	Service       string
	Team          string
	Type          RequestType
	RunMs         []int64
	DeclaredRunMs int64
	DeadlineMs    int64
	CancelAt      time.Duration
	Resubmit      time.Duration
	values        string
}

// Longest returns the run time of the job's longest task.
func (j Job) Longest() time.Duration {
	longest := int64(0)
	for _, ms := range j.RunMs {
		longest = max(longest, ms)
	}
	return time.Duration(longest) * time.Millisecond
}

// Work returns the run time of all tasks together.
func (j Job) Work() time.Duration {
	sum := int64(0)
	for _, ms := range j.RunMs {
		sum += ms
	}
	return time.Duration(sum) * time.Millisecond
}

// Value returns the value that the target must give back for the task. It
// differs for every task of a run, so that a swapped result is seen.
func (j Job) Value(task int) string { return fmt.Sprintf("%s-%d-%d", j.values, j.Index, task) }

// Payload is the payload of one task as the stand-in target reads it.
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

// Submission returns the job as a submission with the given id.
func (j Job) Submission(id string, moreIDs int) messenger.Submission {
	idempotent := j.Type.Idempotent
	return messenger.Submission{
		ID: id, Team: j.Team, Service: j.Service, RequestType: j.Type.Name, Priority: j.Type.Priority,
		DeadlineMs: j.DeadlineMs, Idempotent: &idempotent, DeclaredRunMs: j.DeclaredRunMs,
		Tasks: j.Payloads(), Wait: true, MoreIDs: moreIDs,
	}
}

// Generator yields the jobs of one run in order of arrival.
type Generator struct {
	settings Settings
	mix      Mix
	arrivals *Arrivals
	random   *rand.Rand
	next     int
}

// New returns a generator for checked settings. The arrival rate is adjusted
// so that the work of the whole run is the set part of the capacity: without
// it, 5 s of namta at 80 percent offered between 72 and 94 percent, by seed.
func New(s Settings) *Generator { return newAt(s, exactRate(s)) }

// newAt returns a generator of jobs at a mean rate of jobsPerS.
func newAt(s Settings, jobsPerS float64) *Generator {
	return &Generator{
		settings: s,
		mix:      s.Mix(),
		arrivals: NewArrivals(jobsPerS, s.Bursts, rand.New(rand.NewPCG(s.Seed, 1))),
		random:   rand.New(rand.NewPCG(s.Seed, 2)),
	}
}

// exactRate returns the rate at which the jobs of s that arrive in the run's
// duration hold the set work, as nearly as whole jobs allow. At least one job
// arrives.
func exactRate(s Settings) float64 {
	seconds := float64(s.DurationMs) / 1000
	target := float64(s.Slots) * s.LoadPercent / 100 * seconds
	g := newAt(s, 1)
	expected := g.arrivals.random.ExpFloat64()
	for sum := g.draw(0).Work().Seconds(); ; {
		gap, work := g.arrivals.random.ExpFloat64(), g.draw(0).Work().Seconds()
		if sum+work/2 > target {
			// The run ends between the last of these jobs and the next one.
			return (expected + gap/2) / g.arrivals.expectedBy(seconds)
		}
		expected += gap
		sum += work
	}
}

// Next returns the next job, or false when the run's duration is over.
func (g *Generator) Next() (Job, bool) {
	at := g.arrivals.Next()
	if at >= time.Duration(g.settings.DurationMs)*time.Millisecond {
		return Job{}, false
	}
	return g.draw(at), true
}

// draw returns the next job, arriving at the given time.
func (g *Generator) draw(at time.Duration) Job {
	r, s := g.random, g.settings
	t := g.pickType()
	j := Job{
		Index: g.next, At: at, Service: g.mix.Service, Type: t,
		Team:   g.mix.Teams[r.IntN(len(g.mix.Teams))],
		RunMs:  make([]int64, t.Sizes.Sample(r)),
		values: fmt.Sprintf("s%d", s.Seed),
	}
	g.next++
	mean := 0.0
	for i := range j.RunMs {
		ms := math.Max(1, math.Round(t.Run.Sample(r)*s.TimeScale))
		mean += ms / float64(len(j.RunMs))
		j.RunMs[i] = int64(ms)
	}
	wrong := math.Pow(s.DeclaredErrorMax, 2*r.Float64()-1)
	j.DeclaredRunMs = max(1, int64(math.Round(mean*wrong)))
	deadline := float64(t.DeadlineMinMs) + r.Float64()*float64(t.DeadlineMaxMs-t.DeadlineMinMs)
	j.DeadlineMs = max(int64(deadline*s.TimeScale), 3*j.Longest().Milliseconds())
	g.disturb(&j)
	return j
}

// disturb draws the job's cancellation and resubmission. It always draws the
// same amount of randomness, so that these settings do not change the jobs.
func (g *Generator) disturb(j *Job) {
	cancel, again, delay := g.random.Float64(), g.random.Float64(), g.random.Float64()
	if c := g.settings.Cancellations; c.EveryMs > 0 {
		every := time.Duration(c.EveryMs) * time.Millisecond
		wave := j.At.Truncate(every) + every
		if wave-j.At <= time.Duration(c.WindowMs)*time.Millisecond && cancel*100 < c.Percent {
			j.CancelAt = wave
		}
	}
	if again*100 < g.settings.ResubmitPercent {
		j.Resubmit = max(1, time.Duration(delay*float64(j.Longest())))
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
