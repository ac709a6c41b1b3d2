package broker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

const (
	simTargets = 50
	simSlots   = 8
	simRun     = 60 * time.Second
	simWarmup  = 10 * time.Second
	simDelay   = 500 * time.Microsecond
	simMeanRun = 0.150
)

// simJob is a job of the simulation. Its ideal response time is the run time of
// its longest task plus four message delays, the fewest possible.
type simJob struct {
	messenger.SlotRequest
	entry   *simEntry
	runs    []time.Duration
	left    int
	started time.Time
	ended   bool
}

// simEntry is an entry process. After a crash it neither sends nor receives, but
// the tasks that it started keep running on their targets.
type simEntry struct {
	member  messenger.Member
	crashed bool
	// running counts its tasks on the targets.
	running int
}

type simEvent struct {
	at       time.Time
	sequence int
	pos      int
	do       func()
}

// simulation runs one broker, its entries and the targets in virtual time.
type simulation struct {
	*testBroker
	entries []*simEntry
	// meanRun is the mean run time of tasks in seconds.
	meanRun float64
	// measuredFrom is the time from which jobs are measured.
	measuredFrom time.Time
	random       *rand.Rand
	events       heap[*simEvent]
	lastSequence int
	jobs         map[string]*simJob
	running      map[string]int
	// brokenTarget fails all its tasks after simWarmup.
	brokenTarget                                                string
	overIdeal                                                   [classCount][]float64
	jobsOffered, jobsCompleted, jobsRefused, jobsLate           [classCount]int
	goodputMs                                                   float64
	starts, lateBrokenStarts, wastedStarts                      int
	busyReplies, doneTasks, registrationRequests, expiredGrants int
}

func newSimulation(c planner.Configuration, settings Settings, seed uint64) *simulation {
	s := &simulation{
		testBroker: newTestBroker(c, settings, simTargets, simSlots), random: rand.New(rand.NewPCG(seed, 2)),
		entries: []*simEntry{{member: self}}, meanRun: simMeanRun, measuredFrom: epoch.Add(simWarmup),
		jobs: map[string]*simJob{}, running: map[string]int{},
	}
	s.events = heap[*simEvent]{position: func(e *simEvent) *int { return &e.pos }, less: func(a, b *simEvent) bool {
		return a.at.Before(b.at) || a.at.Equal(b.at) && a.sequence < b.sequence
	}}
	return s
}

func simulate(settings Settings, load, urgentPart float64, withBrokenTarget bool) *simulation {
	s := newSimulation(testConfiguration(simTargets*simSlots), settings, 1)
	if withBrokenTarget {
		s.brokenTarget = "10.0.0.7:80"
	}
	s.run(load, urgentPart, simRun)
	return s
}

// run simulates arrivals and all events for the given time.
func (s *simulation) run(load, urgentPart float64, length time.Duration) {
	s.scheduleArrivals(urgent, load*urgentPart)
	s.scheduleArrivals(bulk, load*(1-urgentPart))
	s.tick()
	for s.events.len() > 0 && s.events.top().at.Before(epoch.Add(length)) {
		e := s.events.top()
		s.events.remove(e)
		s.at = e.at
		e.do()
	}
}

func (s *simulation) after(d time.Duration, do func()) {
	s.lastSequence++
	s.events.push(&simEvent{at: s.at.Add(d), sequence: s.lastSequence, do: do})
}

func (s *simulation) tick() {
	s.execute(s.do(Tick{}))
	s.after(5*time.Millisecond, s.tick)
}

// scheduleArrivals submits jobs at exponential intervals: urgent jobs of 1 to 8
// tasks, bulk jobs of 1 to 100.
func (s *simulation) scheduleArrivals(c class, load float64) {
	meanTasks := []float64{4.5, 50.5}[c]
	rate := load * simTargets * simSlots / s.meanRun / meanTasks
	if rate == 0 {
		return
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.submit(c, 1+s.random.IntN([]int{8, 100}[c]))
		s.scheduleArrivals(c, load)
	})
}

func (s *simulation) submit(c class, tasks int) {
	s.lastSequence++
	j := &simJob{SlotRequest: testRequest(fmt.Sprint("job", s.lastSequence), []string{"check", "batch"}[c], tasks), left: tasks, started: s.at}
	j.Priority = []messenger.Priority{messenger.Urgent, messenger.Bulk}[c]
	j.entry = s.liveEntry()
	j.DeadlineInMs = int64([]float64{3000, 10_000}[c] * (s.meanRun / simMeanRun))
	for range tasks {
		// Run times are log-normal: their natural logarithm has a standard
		// deviation of 0.6, so that a few tasks take several times the mean.
		j.runs = append(j.runs, time.Duration(s.meanRun*math.Exp(0.6*s.random.NormFloat64()-0.18)*float64(time.Second)))
	}
	j.DeclaredRunMs = int64(s.meanRun * 1000 * math.Pow(5, 2*s.random.Float64()-1))
	s.jobs[j.JobID] = j
	if s.isMeasured(j) {
		s.jobsOffered[c]++
	}
	s.send(j.entry, messenger.SlotsRequest{Requests: []messenger.SlotRequest{j.SlotRequest}})
}

// liveEntry returns a random live entry.
func (s *simulation) liveEntry() *simEntry {
	for {
		e := s.entries[0]
		if n := len(s.entries); n > 1 {
			e = s.entries[s.random.IntN(n)]
		}
		if !e.crashed {
			return e
		}
	}
}

func (s *simulation) isMeasured(j *simJob) bool { return j.started.After(s.measuredFrom) }

func (s *simulation) send(e *simEntry, r messenger.SlotsRequest) {
	s.after(simDelay, func() { s.execute(s.receive(e.member, r)) })
}

func (s *simulation) execute(cmds []Cmd) {
	for _, c := range cmds {
		switch c := c.(type) {
		case Probe:
			s.after(2*simDelay, func() {
				s.execute(s.do(Probed{Target: c.Target, Status: messenger.TargetStatus{Slots: simSlots, InFlight: s.running[c.Target]}}))
			})
		case Send:
			s.after(simDelay, func() { s.deliver(c) })
		case Count:
			s.expiredGrants += boolToInt(c.Reason == "expired")
		}
	}
}

func (s *simulation) deliver(c Send) {
	i := slices.IndexFunc(s.entries, func(e *simEntry) bool { return e.member == c.To })
	if i < 0 || s.entries[i].crashed {
		s.after(simDelay, func() { s.execute(s.do(SendFailed{To: c.To})) })
		return
	}
	s.registrationRequests += boolToInt(c.NeedRegistration)
	for _, r := range c.Refusals {
		j := s.jobs[r.JobID]
		if !j.ended && s.isMeasured(j) {
			if r.Error.Kind == messenger.DeadlineExceeded {
				s.jobsLate[classOf(j.Priority)]++
			} else {
				s.jobsRefused[classOf(j.Priority)]++
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
		s.wastedStarts++
		s.busyReplies++
	case g.Target == s.brokenTarget && s.at.Sub(epoch) > simWarmup:
		r.Outcome, run = messenger.GrantFailed, time.Millisecond
		s.wastedStarts++
		if s.at.Sub(epoch) > simWarmup+time.Second {
			s.lateBrokenStarts++
		}
	}
	r.RunMs = run.Milliseconds()
	s.running[g.Target]++
	j.entry.running++
	s.after(run, func() {
		s.running[g.Target]--
		j.entry.running--
		s.after(simDelay, func() { s.finish(j, r) })
	})
}

func (s *simulation) finish(j *simJob, r messenger.Release) {
	if j.entry.crashed {
		return
	}
	m := messenger.SlotsRequest{Releases: []messenger.Release{r}}
	switch {
	case r.Outcome == messenger.GrantFailed && !j.ended:
		j.ended = true
		m.Cancels = []string{j.JobID}
	case r.Outcome == messenger.GrantDone:
		s.doneTasks++
		if j.left--; j.left == 0 && !j.ended {
			s.complete(j)
		}
	}
	s.send(j.entry, m)
}

func (s *simulation) complete(j *simJob) {
	j.ended = true
	c := classOf(j.Priority)
	late := s.at.Sub(j.started).Milliseconds() > j.DeadlineInMs
	if !late && s.at.After(s.measuredFrom) {
		for _, d := range j.runs {
			s.goodputMs += float64(d.Milliseconds())
		}
	}
	if !s.isMeasured(j) {
		return
	}
	if late {
		s.jobsLate[c]++
		return
	}
	s.jobsCompleted[c]++
	ideal := slices.Max(j.runs) + 4*simDelay
	s.overIdeal[c] = append(s.overIdeal[c], float64(s.at.Sub(j.started))/float64(ideal))
}

func quantileOf(list []float64, q float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

// report reports the metrics of a run. Response times are relative to the ideal
// ones.
//
//   - urgent-p50 to bulk-p99: quantiles of the response time
//   - urgent-refused%, bulk-refused%: refused jobs among those submitted
//   - urgent-missed%, bulk-missed%: jobs past their deadline among those not
//     refused
//   - goodput%: run time of the jobs completed in time, as a percentage of the
//     slot time of the pool
//   - wasted/start: fraction of starts that a target answered as busy or failed
//   - broken%: starts on the broken target later than 1 s after it broke
func (s *simulation) report(b *testing.B) {
	percent := func(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(quantileOf(s.overIdeal[urgent], 0.5), "urgent-p50")
	b.ReportMetric(quantileOf(s.overIdeal[urgent], 0.99), "urgent-p99")
	b.ReportMetric(quantileOf(s.overIdeal[bulk], 0.5), "bulk-p50")
	b.ReportMetric(quantileOf(s.overIdeal[bulk], 0.99), "bulk-p99")
	for c, name := range []string{"urgent", "bulk"} {
		b.ReportMetric(percent(s.jobsRefused[c], s.jobsOffered[c]), name+"-refused%")
		b.ReportMetric(percent(s.jobsLate[c], s.jobsOffered[c]-s.jobsRefused[c]), name+"-missed%")
	}
	b.ReportMetric(100*s.goodputMs/(simTargets*simSlots*float64((simRun-simWarmup).Milliseconds())), "goodput%")
	b.ReportMetric(float64(s.wastedStarts)/float64(s.starts), "wasted/start")
	b.ReportMetric(percent(s.lateBrokenStarts, s.starts), "broken%")
}

// BenchmarkPolicy reports how settings affect refusals, goodput, and response
// times relative to the ideal ones. It runs in virtual time, so the figures are
// the same in every run.
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
