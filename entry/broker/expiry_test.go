package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	// counterLeaseMs is a lease of 30 years. Without expiry a slot is freed by
	// its holder or never, as with a plain counter of slots in use.
	counterLeaseMs = int64(30 * 365 * 24 * 3600 * 1000)
	// suspectAfter is the default time without heartbeats after which an entry
	// is removed from the membership. Its replacement joins at the same time.
	suspectAfter   = time.Second
	crashLoad      = 0.8
	rollingCrashes = 10
	crashSamples   = 5
	trackFor       = time.Minute
)

var expiryVariants = []struct {
	name     string
	settings Settings
}{{"expiry", Settings{}}, {"counter", Settings{LeaseMs: counterLeaseMs}}}

// crash tracks the grants of one crashed entry, each of which uses one slot.
type crash struct {
	member messenger.Member
	entry  *simEntry
	// held is the number of grants at the time of the crash, countedAfter that of
	// the grants still live after each of several delays.
	held         int
	countedAfter []int
	// lostSlotSeconds is the time integral of the number of live grants,
	// idleSlotSeconds that of the live grants without a running task.
	lostSlotSeconds, idleSlotSeconds float64
	// lastCountedSeconds is the last time after the crash with a live grant.
	lastCountedSeconds float64
}

// newCrashSimulation returns a simulation of n entries. Entry 0 is the broker.
func newCrashSimulation(settings Settings, n int, meanRun float64, seed uint64) *simulation {
	c := testConfiguration(simTargets * simSlots)
	for name, requestType := range c.Services["orders"].RequestTypes {
		// Run times are unbounded in the simulation. This limit is above the
		// longest, so that no grant of a live entry is taken for a lost one.
		requestType.MaxRunMs = int64(float64(2*requestType.MaxRunMs) * (meanRun / simMeanRun))
		c.Services["orders"].RequestTypes[name] = requestType
	}
	s := newSimulation(c, settings, seed)
	s.meanRun = meanRun
	for i := 1; i < n; i++ {
		s.entries = append(s.entries, &simEntry{})
	}
	for i := 1; i < n; i++ {
		s.join(i, uint64(100+i))
	}
	return s
}

// join replaces entry i by a new incarnation.
func (s *simulation) join(i int, incarnation uint64) {
	e := &simEntry{member: messenger.Member{Address: fmt.Sprintf("127.0.1.%d:1", i), Incarnation: incarnation}}
	s.entries[i] = e
	m := ServicesAssigned{Services: []string{"orders"}}
	for _, e := range s.entries {
		if !e.crashed {
			m.Members = append(m.Members, e.member)
		}
	}
	s.execute(s.do(m))
	s.execute(s.receive(e.member, messenger.SlotsRequest{Full: true}))
}

// grantsHeldBy returns the number of live grants of the member at the broker.
func (s *simulation) grantsHeldBy(m messenger.Member) int {
	if p := s.peers[m]; p != nil {
		return len(p.grants)
	}
	return 0
}

// crash stops entry i without notice and tracks its grants. times are the delays
// after the crash at which to record how many of them are live.
func (s *simulation) crash(i int, times []time.Duration) *crash {
	e := s.entries[i]
	e.crashed = true
	cr := &crash{member: e.member, entry: e, held: s.grantsHeldBy(e.member)}
	s.after(suspectAfter, func() { s.join(i, e.member.Incarnation+100) })
	for _, t := range times {
		s.after(t, func() { cr.countedAfter = append(cr.countedAfter, s.grantsHeldBy(cr.member)) })
	}
	s.trackCrash(cr, s.at)
	return cr
}

// trackCrash adds up the slot time that the grants of a crashed entry use, in
// steps of 5 ms, until none of them is live or trackFor has passed.
func (s *simulation) trackCrash(cr *crash, crashedAt time.Time) {
	const step = 5 * time.Millisecond
	if s.at.Sub(crashedAt) >= trackFor {
		return
	}
	n := s.grantsHeldBy(cr.member)
	cr.lostSlotSeconds += float64(n) * step.Seconds()
	cr.idleSlotSeconds += float64(max(0, n-cr.entry.running)) * step.Seconds()
	if n > 0 {
		cr.lastCountedSeconds = s.at.Sub(crashedAt).Seconds()
	}
	// The crashed entry may get grants until it leaves the membership.
	if n > 0 || s.at.Sub(crashedAt) < suspectAfter {
		s.after(step, func() { s.trackCrash(cr, crashedAt) })
	}
}

// BenchmarkHolderDeath crashes an entry that has live grants, with leases that
// expire and with leases that never do. The metrics are described at benchHolderCrash.
// The figures are the same in every run.
//
//	go test -run '^$' -bench HolderDeath -benchtime 1x ./broker
func BenchmarkHolderDeath(b *testing.B) {
	for _, meanRun := range []float64{simMeanRun, 20 * simMeanRun} {
		for _, n := range []int{2, 8} {
			for _, variant := range expiryVariants {
				b.Run(fmt.Sprintf("%s/entries=%d/runMs=%.0f", variant.name, n, 1000*meanRun), func(b *testing.B) {
					for b.Loop() {
						benchHolderCrash(b, variant.settings, n, meanRun)
					}
				})
			}
		}
	}
}

// benchHolderCrash crashes one entry per seed and reports the means over all
// seeds:
//
//   - held: grants of the entry at the time of the crash
//   - after1s to after60s: grants that are still live after that time
//   - lost-slot-s: slot seconds used by its grants within 60 s of the crash
//   - idle-slot-s: the part of lost-slot-s during which no task ran
//   - until-s: the last time after the crash with a live grant
//   - busy-before, busy-after: busy replies of targets before and after the crash
//   - expired-before: grants of live entries that expired before the crash
//   - keepalive/task: messages per finished task that only keep leases alive.
//     These are the requests for a registration: unasked, an entry sends only
//     requests, releases and cancellations.
func benchHolderCrash(b *testing.B, settings Settings, n int, meanRun float64) {
	times := []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, trackFor}
	// The load of the pool is steady after about ten mean run times.
	killAt := max(simWarmup, time.Duration(10*meanRun*float64(time.Second)))
	sums := map[string]float64{}
	for seed := range uint64(crashSamples) {
		s := newCrashSimulation(settings, n, meanRun, seed+1)
		var cr *crash
		busyBefore, expiredBefore := 0, 0
		s.after(killAt, func() {
			busyBefore, expiredBefore = s.busyReplies, s.expiredGrants
			cr = s.crash(1, times)
		})
		s.run(crashLoad, 0.5, killAt+trackFor+time.Second)
		sums["held"] += float64(cr.held)
		for i, t := range times {
			sums[fmt.Sprintf("after%.0fs", t.Seconds())] += float64(cr.countedAfter[i])
		}
		sums["lost-slot-s"] += cr.lostSlotSeconds
		sums["idle-slot-s"] += cr.idleSlotSeconds
		sums["until-s"] += cr.lastCountedSeconds
		sums["busy-before"] += float64(busyBefore)
		sums["busy-after"] += float64(s.busyReplies - busyBefore)
		sums["expired-before"] += float64(expiredBefore)
		sums["keepalive/task"] += float64(s.registrationRequests) / float64(s.doneTasks)
	}
	b.ReportMetric(0, "ns/op")
	for name, sum := range sums {
		b.ReportMetric(sum/crashSamples, name)
	}
}

// BenchmarkRollingCrash crashes ten entries one after the other. In the names of
// the sub-benchmarks, everyS is the interval between two crashes in seconds, or 0
// for the baseline without crashes. The metrics are described at
// benchRollingCrash.
//
//	go test -run '^$' -bench RollingCrash -benchtime 1x ./broker
func BenchmarkRollingCrash(b *testing.B) {
	for _, n := range []int{2, 8} {
		for _, every := range []time.Duration{0, 2 * time.Second, 5 * time.Second} {
			for _, variant := range expiryVariants {
				b.Run(fmt.Sprintf("%s/entries=%d/everyS=%.0f", variant.name, n, every.Seconds()), func(b *testing.B) {
					for b.Loop() {
						benchRollingCrash(b, variant.settings, n, every)
					}
				})
			}
		}
	}
}

// benchRollingCrash crashes one entry at each interval of length every. If every
// is 0 it crashes none, as a baseline. It reports:
//
//   - lowest%: lowest percentage of slots not in use by grants of crashed entries
//   - left%: that percentage 5 s after the last crash
//   - urgent-p99: 99th percentile of the response time of urgent jobs in the
//     following 30 s, relative to the ideal one
//   - urgent-lost%, bulk-lost%: percentage of the jobs of these 30 s that were
//     refused or missed their deadline
//   - completed: number of the jobs of these 30 s that completed in time
func benchRollingCrash(b *testing.B, settings Settings, n int, every time.Duration) {
	s := newCrashSimulation(settings, n, simMeanRun, 1)
	var crashes []*crash
	notLostPercent := func() float64 {
		lost := 0
		for _, cr := range crashes {
			lost += s.grantsHeldBy(cr.member)
		}
		return 100 - 100*float64(lost)/(simTargets*simSlots)
	}
	for i := range rollingCrashes {
		if every > 0 {
			s.after(simWarmup+time.Duration(i)*every, func() { crashes = append(crashes, s.crash(1+i%(n-1), nil)) })
		}
	}
	lowest, last := 100.0, 0.0
	measureAfter := simWarmup + (rollingCrashes-1)*every + 5*time.Second
	var observe func()
	observe = func() {
		lowest = min(lowest, notLostPercent())
		s.after(10*time.Millisecond, observe)
	}
	observe()
	s.after(measureAfter, func() { last = notLostPercent() })
	s.measuredFrom = epoch.Add(measureAfter)
	s.run(crashLoad, 0.5, measureAfter+30*time.Second)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(lowest, "lowest%")
	b.ReportMetric(last, "left%")
	b.ReportMetric(quantileOf(s.overIdeal[urgent], 0.99), "urgent-p99")
	for c, name := range []string{"urgent", "bulk"} {
		b.ReportMetric(100*float64(s.jobsRefused[c]+s.jobsLate[c])/float64(max(1, s.jobsOffered[c])), name+"-lost%")
	}
	b.ReportMetric(float64(s.jobsCompleted[urgent]+s.jobsCompleted[bulk]), "completed")
}
