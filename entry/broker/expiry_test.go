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
	suspectAfter = time.Second
	deathLoad    = 0.8
	rollDeaths   = 10
	deathSamples = 5
	followFor    = time.Minute
)

var expiryKinds = []struct {
	name     string
	settings Settings
}{{"expiry", Settings{}}, {"counter", Settings{LeaseMs: counterLeaseMs}}}

// death is what became of the slots that one killed entry held.
type death struct {
	member  messenger.Member
	entry   *simEntry
	held    int
	counted []int
	// lostS is the integral of the slots counted for the dead entry, idleS that
	// of the part in which no task of it ran, in slot seconds.
	lostS, idleS float64
	untilS       float64
}

// newDeaths returns a simulation of n entries. Entry 0 is the broker.
func newDeaths(settings Settings, n int, meanRun float64, seed uint64) *simulation {
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
		if !e.killed {
			m.Members = append(m.Members, e.member)
		}
	}
	s.receive(s.do(m))
	s.receive(s.from(e.member, messenger.SlotsRequest{Full: true}))
}

// counted is the number of slots that the broker counts as used by the member.
func (s *simulation) counted(m messenger.Member) int {
	if p := s.peers[m]; p != nil {
		return len(p.grants)
	}
	return 0
}

// kill ends entry i without a word and follows the slots that it held, at the
// times given after its death.
func (s *simulation) kill(i int, times []time.Duration) *death {
	e := s.entries[i]
	e.killed = true
	d := &death{member: e.member, entry: e, held: s.counted(e.member)}
	s.after(suspectAfter, func() { s.join(i, e.member.Incarnation+100) })
	for _, t := range times {
		s.after(t, func() { d.counted = append(d.counted, s.counted(d.member)) })
	}
	s.follow(d, s.at)
	return d
}

// follow adds up the slots of a dead entry until they are free.
func (s *simulation) follow(d *death, killed time.Time) {
	const step = 5 * time.Millisecond
	if s.at.Sub(killed) >= followFor {
		return
	}
	n := s.counted(d.member)
	d.lostS += float64(n) * step.Seconds()
	d.idleS += float64(max(0, n-d.entry.running)) * step.Seconds()
	if n > 0 {
		d.untilS = s.at.Sub(killed).Seconds()
	}
	// Until it is dropped, the dead entry may still be given grants.
	if n > 0 || s.at.Sub(killed) < suspectAfter {
		s.after(step, func() { s.follow(d, killed) })
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
			for _, kind := range expiryKinds {
				b.Run(fmt.Sprintf("%s/entries=%d/runMs=%.0f", kind.name, n, 1000*meanRun), func(b *testing.B) {
					for b.Loop() {
						benchDeath(b, kind.settings, n, meanRun)
					}
				})
			}
		}
	}
}

func benchDeath(b *testing.B, settings Settings, n int, meanRun float64) {
	times := []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, followFor}
	// The pool has reached its load after some ten mean run times.
	killAt := max(simWarm, time.Duration(10*meanRun*float64(time.Second)))
	sums := map[string]float64{}
	for seed := range uint64(deathSamples) {
		s := newDeaths(settings, n, meanRun, seed+1)
		var d *death
		busyBefore, expiredBefore := 0, 0
		s.after(killAt, func() {
			busyBefore, expiredBefore = s.busy, s.expired
			d = s.kill(1, times)
		})
		s.run(deathLoad, 0.5, killAt+followFor+time.Second)
		sums["held"] += float64(d.held)
		for i, t := range times {
			sums[fmt.Sprintf("after%.0fs", t.Seconds())] += float64(d.counted[i])
		}
		sums["lost-slot-s"] += d.lostS
		sums["idle-slot-s"] += d.idleS
		sums["until-s"] += d.untilS
		sums["busy-before"] += float64(busyBefore)
		sums["busy-after"] += float64(s.busy - busyBefore)
		sums["expired-before"] += float64(expiredBefore)
		sums["keepalive/task"] += float64(s.needFulls) / float64(s.done)
	}
	b.ReportMetric(0, "ns/op")
	for name, sum := range sums {
		b.ReportMetric(sum/deathSamples, name)
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
			for _, kind := range expiryKinds {
				b.Run(fmt.Sprintf("%s/entries=%d/everyS=%.0f", kind.name, n, every.Seconds()), func(b *testing.B) {
					for b.Loop() {
						benchRoll(b, kind.settings, n, every)
					}
				})
			}
		}
	}
}

// benchRoll kills no entry if every is 0.
func benchRoll(b *testing.B, settings Settings, n int, every time.Duration) {
	s := newDeaths(settings, n, simMeanRun, 1)
	var deaths []*death
	left := func() float64 {
		lost := 0
		for _, d := range deaths {
			lost += s.counted(d.member)
		}
		return 100 - 100*float64(lost)/(simTargets*simSlots)
	}
	for i := range rollDeaths {
		if every > 0 {
			s.after(simWarm+time.Duration(i)*every, func() { deaths = append(deaths, s.kill(1+i%(n-1), nil)) })
		}
	}
	lowest, last := 100.0, 0.0
	measureAfter := simWarm + (rollDeaths-1)*every + 5*time.Second
	var watch func()
	watch = func() {
		lowest = min(lowest, left())
		s.after(10*time.Millisecond, watch)
	}
	watch()
	s.after(measureAfter, func() { last = left() })
	s.measuredFrom = epoch.Add(measureAfter)
	s.run(deathLoad, 0.5, measureAfter+30*time.Second)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(lowest, "lowest%")
	b.ReportMetric(last, "left%")
	b.ReportMetric(quantileOf(s.ratios[urgent], 0.99), "urgent-p99")
	for c, name := range []string{"urgent", "bulk"} {
		b.ReportMetric(100*float64(s.refused[c]+s.missed[c])/float64(max(1, s.offered[c])), name+"-lost%")
	}
	b.ReportMetric(float64(s.completed[urgent]+s.completed[bulk]), "completed")
}
