package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	// counterLeaseMs is a lease of 30 years: grants are counted down by their
	// holder or never, as with a plain counter.
	counterLeaseMs = int64(30 * 365 * 24 * 3600 * 1000)
	// suspectAfter is the default time after which the membership drops a
	// silent entry. Its replacement joins at the same time.
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

// death is what became of the slots that one killed entry held.
type crash struct {
	member       messenger.Member
	entry        *simEntry
	held         int
	countedAfter []int
	// lostS is the integral of the slots counted for the dead entry, idleS that
	// of the part in which no task of it ran, in slot seconds.
	lostSlotSeconds, idleSlotSeconds float64
	lastCountedSeconds               float64
}

// newDeaths returns a simulation of n entries. Entry 0 is the broker.
func newCrashSimulation(settings Settings, n int, meanRun float64, seed uint64) *simulation {
	c := testConfiguration(simTargets * simSlots)
	for name, k := range c.Services["orders"].RequestTypes {
		// Runs have no limit in the model. This is above the longest, so that no
		// grant of a live entry looks forgotten.
		k.MaxRunMs = int64(float64(2*k.MaxRunMs) * (meanRun / simMeanRun))
		c.Services["orders"].RequestTypes[name] = k
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

// join puts a new incarnation in place of entry i.
func (s *simulation) join(i int, incarnation uint64) {
	e := &simEntry{member: messenger.Member{Address: fmt.Sprintf("127.0.1.%d:1", i), Incarnation: incarnation}}
	s.entries[i] = e
	m := Assign{Services: []string{"orders"}}
	for _, e := range s.entries {
		if !e.crashed {
			m.Members = append(m.Members, e.member)
		}
	}
	s.execute(s.do(m))
	s.execute(s.receive(e.member, messenger.SlotsRequest{Full: true}))
}

// counted is the number of slots that the broker counts as used by the member.
func (s *simulation) grantsHeldBy(m messenger.Member) int {
	if p := s.peers[m]; p != nil {
		return len(p.grants)
	}
	return 0
}

// kill ends entry i without a word and follows the slots that it held, at the
// times given after its death.
func (s *simulation) crash(i int, times []time.Duration) *crash {
	e := s.entries[i]
	e.crashed = true
	d := &crash{member: e.member, entry: e, held: s.grantsHeldBy(e.member)}
	s.after(suspectAfter, func() { s.join(i, e.member.Incarnation+100) })
	for _, t := range times {
		s.after(t, func() { d.countedAfter = append(d.countedAfter, s.grantsHeldBy(d.member)) })
	}
	s.trackCrash(d, s.at)
	return d
}

// follow adds up the slots of a dead entry until they are free.
func (s *simulation) trackCrash(d *crash, killed time.Time) {
	const step = 5 * time.Millisecond
	if s.at.Sub(killed) >= trackFor {
		return
	}
	n := s.grantsHeldBy(d.member)
	d.lostSlotSeconds += float64(n) * step.Seconds()
	d.idleSlotSeconds += float64(max(0, n-d.entry.running)) * step.Seconds()
	if n > 0 {
		d.lastCountedSeconds = s.at.Sub(killed).Seconds()
	}
	// Until it is dropped, the dead entry may still be given grants.
	if n > 0 || s.at.Sub(killed) < suspectAfter {
		s.after(step, func() { s.trackCrash(d, killed) })
	}
}

// BenchmarkHolderDeath kills an entry and reports, as means over several
// deaths, the slots that it held, how many are still counted as used after so
// many seconds, the slot seconds lost within 60 s, the last moment at which a
// slot was counted, busy replies, grants of live entries that expired, and
// messages that only keep leases alive: the requests for a registration, since
// an entry sends nothing but requests, releases and cancellations by itself.
// The figures are the same in every run.
//
//	go test -run '^$' -bench HolderDeath -benchtime 1x ./broker
func BenchmarkHolderDeath(b *testing.B) {
	for _, meanRun := range []float64{simMeanRun, 20 * simMeanRun} {
		for _, n := range []int{2, 8} {
			for _, kind := range expiryVariants {
				b.Run(fmt.Sprintf("%s/entries=%d/runMs=%.0f", kind.name, n, 1000*meanRun), func(b *testing.B) {
					for b.Loop() {
						benchHolderCrash(b, kind.settings, n, meanRun)
					}
				})
			}
		}
	}
}

func benchHolderCrash(b *testing.B, settings Settings, n int, meanRun float64) {
	times := []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, trackFor}
	// The pool has reached its load after some ten mean run times.
	killAt := max(simWarmup, time.Duration(10*meanRun*float64(time.Second)))
	sums := map[string]float64{}
	for seed := range uint64(crashSamples) {
		s := newCrashSimulation(settings, n, meanRun, seed+1)
		var d *crash
		busyBefore, expiredBefore := 0, 0
		s.after(killAt, func() {
			busyBefore, expiredBefore = s.busyReplies, s.expiredGrants
			d = s.crash(1, times)
		})
		s.run(crashLoad, 0.5, killAt+trackFor+time.Second)
		sums["held"] += float64(d.held)
		for i, t := range times {
			sums[fmt.Sprintf("after%.0fs", t.Seconds())] += float64(d.countedAfter[i])
		}
		sums["lost-slot-s"] += d.lostSlotSeconds
		sums["idle-slot-s"] += d.idleSlotSeconds
		sums["until-s"] += d.lastCountedSeconds
		sums["busy-before"] += float64(busyBefore)
		sums["busy-after"] += float64(s.busyReplies - busyBefore)
		sums["expired-before"] += float64(expiredBefore)
		sums["keepalive/task"] += float64(s.needFulls) / float64(s.doneTasks)
	}
	b.ReportMetric(0, "ns/op")
	for name, sum := range sums {
		b.ReportMetric(sum/crashSamples, name)
	}
}

// BenchmarkRollingCrash kills ten entries one after the other and reports the
// share of the slots that dead entries do not hold, at its lowest and 5 s after
// the last death, and what becomes of the jobs of the 30 s from then on.
//
//	go test -run '^$' -bench RollingCrash -benchtime 1x ./broker
func BenchmarkRollingCrash(b *testing.B) {
	for _, n := range []int{2, 8} {
		for _, every := range []time.Duration{0, 2 * time.Second, 5 * time.Second} {
			for _, kind := range expiryVariants {
				b.Run(fmt.Sprintf("%s/entries=%d/everyS=%.0f", kind.name, n, every.Seconds()), func(b *testing.B) {
					for b.Loop() {
						benchRollingCrash(b, kind.settings, n, every)
					}
				})
			}
		}
	}
}

// benchRoll kills no entry if every is 0.
func benchRollingCrash(b *testing.B, settings Settings, n int, every time.Duration) {
	s := newCrashSimulation(settings, n, simMeanRun, 1)
	var deaths []*crash
	left := func() float64 {
		lost := 0
		for _, d := range deaths {
			lost += s.grantsHeldBy(d.member)
		}
		return 100 - 100*float64(lost)/(simTargets*simSlots)
	}
	for i := range rollingCrashes {
		if every > 0 {
			s.after(simWarmup+time.Duration(i)*every, func() { deaths = append(deaths, s.crash(1+i%(n-1), nil)) })
		}
	}
	lowest, last := 100.0, 0.0
	measureAfter := simWarmup + (rollingCrashes-1)*every + 5*time.Second
	var watch func()
	watch = func() {
		lowest = min(lowest, left())
		s.after(10*time.Millisecond, watch)
	}
	watch()
	s.after(measureAfter, func() { last = left() })
	s.measuredFrom = epoch.Add(measureAfter)
	s.run(crashLoad, 0.5, measureAfter+30*time.Second)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(lowest, "lowest%")
	b.ReportMetric(last, "left%")
	b.ReportMetric(quantileOf(s.overIdeal[urgent], 0.99), "urgent-p99")
	for c, name := range []string{"urgent", "bulk"} {
		b.ReportMetric(100*float64(s.refusedJobs[c]+s.missedDeadline[c])/float64(max(1, s.offeredJobs[c])), name+"-lost%")
	}
	b.ReportMetric(float64(s.completedJobs[urgent]+s.completedJobs[bulk]), "completed")
}
