package broker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	simTargets = 50
	simSlots   = 8
	simRun     = 60 * time.Second
	simWarm    = 10 * time.Second
	simDelay   = 500 * time.Microsecond
)

// simJob is a job of the simulation. Its ideal response time is its longest
// task plus the shortest path of messages.
type simJob struct {
	messenger.SlotRequest
	runs    []time.Duration
	left    int
	started time.Time
	ended   bool
}

type simEvent struct {
	at       time.Time
	sequence int
	place    int
	do       func()
}

// simulation runs one broker, one entry and the targets in virtual time.
type simulation struct {
	*bench
	random  *rand.Rand
	events  heap[*simEvent]
	count   int
	jobs    map[string]*simJob
	running map[string]int
	// broken fails all its tasks from simWarm on.
	broken                              string
	ratios                              [classes][]float64
	offered, completed, refused, missed [classes]int
	goodMs                              float64
	starts, brokenLate, wasted          int
}

func simulate(settings Settings, load, urgentPart float64, broken bool) *simulation {
	s := &simulation{bench: newBench(testConfiguration(simTargets*simSlots), settings, simTargets, simSlots), random: rand.New(rand.NewPCG(1, 2)), jobs: map[string]*simJob{}, running: map[string]int{}}
	s.events = heap[*simEvent]{place: func(e *simEvent) *int { return &e.place }, less: func(a, b *simEvent) bool {
		return a.at.Before(b.at) || a.at.Equal(b.at) && a.sequence < b.sequence
	}}
	if broken {
		s.broken = "10.0.0.7:80"
	}
	s.arrive(urgent, load*urgentPart)
	s.arrive(bulk, load*(1-urgentPart))
	s.tick()
	for s.events.len() > 0 && s.events.top().at.Before(epoch.Add(simRun)) {
		e := s.events.top()
		s.events.remove(e)
		s.at = e.at
		e.do()
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.count++
	s.events.push(&simEvent{at: s.at.Add(d), sequence: s.count, do: do})
}

func (s *simulation) tick() {
	s.receive(s.do(Tick{}))
	s.after(5*time.Millisecond, s.tick)
}

// arrive submits jobs at random times: urgent jobs of 1 to 8 tasks, bulk jobs
// of 1 to 100.
func (s *simulation) arrive(c class, load float64) {
	const meanRun = 0.150
	meanTasks := []float64{4.5, 50.5}[c]
	rate := load * simTargets * simSlots / meanRun / meanTasks
	if rate == 0 {
		return
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.submit(c, 1+s.random.IntN([]int{8, 100}[c]), meanRun)
		s.arrive(c, load)
	})
}

func (s *simulation) submit(c class, tasks int, meanRun float64) {
	s.count++
	j := &simJob{SlotRequest: testRequest(fmt.Sprint("job", s.count), []string{"check", "batch"}[c], tasks), left: tasks, started: s.at}
	j.Priority = []messenger.Priority{messenger.Urgent, messenger.Bulk}[c]
	j.DeadlineInMs = []int64{3000, 10_000}[c]
	for range tasks {
		// Log-normal with a deviation of 0.6: a few tasks take several times
		// the mean.
		j.runs = append(j.runs, time.Duration(meanRun*math.Exp(0.6*s.random.NormFloat64()-0.18)*float64(time.Second)))
	}
	j.DeclaredRunMs = int64(meanRun * 1000 * math.Pow(5, 2*s.random.Float64()-1))
	s.jobs[j.JobID] = j
	if s.measured(j) {
		s.offered[c]++
	}
	s.send(messenger.SlotsRequest{Requests: []messenger.SlotRequest{j.SlotRequest}})
}

func (s *simulation) measured(j *simJob) bool { return j.started.Sub(epoch) > simWarm }

func (s *simulation) send(r messenger.SlotsRequest) {
	s.after(simDelay, func() { s.receive(s.from(self, r)) })
}

func (s *simulation) receive(cmds []Cmd) {
	for _, c := range cmds {
		switch c := c.(type) {
		case Probe:
			s.after(2*simDelay, func() {
				s.receive(s.do(Probed{Target: c.Target, Status: messenger.TargetStatus{Slots: simSlots, InFlight: s.running[c.Target]}}))
			})
		case Send:
			s.after(simDelay, func() { s.take(c) })
		}
	}
}

func (s *simulation) take(c Send) {
	for _, r := range c.Refusals {
		j := s.jobs[r.JobID]
		if !j.ended && s.measured(j) {
			if r.Error.Kind == messenger.DeadlineExceeded {
				s.missed[classOf(j.Priority)]++
			} else {
				s.refused[classOf(j.Priority)]++
			}
		}
		j.ended = true
	}
	for _, g := range c.Grants {
		s.after(simDelay, func() { s.start(s.jobs[g.JobID], g) })
	}
}

func (s *simulation) start(j *simJob, g messenger.Grant) {
	r := messenger.Release{Grant: g, Team: j.Team, RequestType: j.RequestType, Outcome: messenger.GrantDone}
	s.starts++
	run := j.runs[g.Task]
	switch {
	case s.running[g.Target] >= simSlots:
		r.Outcome, r.Requeue, run = messenger.GrantBusy, !j.ended, 0
		s.wasted++
	case g.Target == s.broken && s.at.Sub(epoch) > simWarm:
		r.Outcome, run = messenger.GrantFailed, time.Millisecond
		s.wasted++
		if s.at.Sub(epoch) > simWarm+time.Second {
			s.brokenLate++
		}
	}
	r.RunMs = run.Milliseconds()
	s.running[g.Target]++
	s.after(run, func() {
		s.running[g.Target]--
		s.after(simDelay, func() { s.finish(j, r) })
	})
}

func (s *simulation) finish(j *simJob, r messenger.Release) {
	m := messenger.SlotsRequest{Releases: []messenger.Release{r}}
	switch {
	case r.Outcome == messenger.GrantFailed && !j.ended:
		j.ended = true
		m.Cancels = []string{j.JobID}
	case r.Outcome == messenger.GrantDone:
		if j.left--; j.left == 0 && !j.ended {
			s.complete(j)
		}
	}
	s.send(m)
}

func (s *simulation) complete(j *simJob) {
	j.ended = true
	c := classOf(j.Priority)
	late := s.at.Sub(j.started).Milliseconds() > j.DeadlineInMs
	if !late && s.at.Sub(epoch) > simWarm {
		for _, d := range j.runs {
			s.goodMs += float64(d.Milliseconds())
		}
	}
	if !s.measured(j) {
		return
	}
	if late {
		s.missed[c]++
		return
	}
	s.completed[c]++
	ideal := slices.Max(j.runs) + 4*simDelay
	s.ratios[c] = append(s.ratios[c], float64(s.at.Sub(j.started))/float64(ideal))
}

func quantileOf(list []float64, q float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

func (s *simulation) report(b *testing.B) {
	percent := func(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(quantileOf(s.ratios[urgent], 0.5), "urgent-p50")
	b.ReportMetric(quantileOf(s.ratios[urgent], 0.99), "urgent-p99")
	b.ReportMetric(quantileOf(s.ratios[bulk], 0.5), "bulk-p50")
	b.ReportMetric(quantileOf(s.ratios[bulk], 0.99), "bulk-p99")
	for c, name := range []string{"urgent", "bulk"} {
		b.ReportMetric(percent(s.refused[c], s.offered[c]), name+"-refused%")
		b.ReportMetric(percent(s.missed[c], s.offered[c]-s.refused[c]), name+"-missed%")
	}
	b.ReportMetric(100*s.goodMs/(simTargets*simSlots*float64((simRun-simWarm).Milliseconds())), "goodput%")
	b.ReportMetric(float64(s.wasted)/float64(s.starts), "wasted/start")
	b.ReportMetric(percent(s.brokenLate, s.starts), "broken%")
}

// BenchmarkPolicy reports what settings do to response times over ideal, to
// refusals and to the capacity used, in virtual time. The figures are the same
// in every run.
//
//	go test -run '^$' -bench Policy -benchtime 1x ./broker
func BenchmarkPolicy(b *testing.B) {
	run := func(name string, settings Settings, load, urgentPart float64, broken bool) {
		b.Run(fmt.Sprintf("%s/load=%.0f", name, 100*load), func(b *testing.B) {
			for b.Loop() {
				simulate(settings, load, urgentPart, broken).report(b)
			}
		})
	}
	for _, load := range []float64{0.8, 0.95, 1.2} {
		run("fewestLeft", Settings{}, load, 0.5, false)
		run("fifo", Settings{Order: "fifo"}, load, 0.5, false)
	}
	for _, percent := range []int{-1, 5, 10, 20} {
		run(fmt.Sprint("reserve=", max(0, percent)), Settings{UrgentReservePercent: percent}, 1.2, 0.1, false)
	}
	for _, load := range []float64{0.8, 0.95, 1.2, 2} {
		run("allUrgent", Settings{}, load, 1, false)
		run("allUrgentUnlimited", Settings{UrgentWaitPercent: -1}, load, 1, false)
	}
	for _, load := range []float64{0.5, 0.8} {
		run("brokenTarget", Settings{}, load, 0.5, true)
	}
}
