package generator

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/loader"
)

// within guards against a statistic that lies more than five standard errors
// from its expected value.
func within(t *testing.T, what string, got, want, standardError float64) {
	t.Helper()
	if math.Abs(got-want) > 5*standardError {
		t.Errorf("%s is %v; expected %v with a standard error of %v", what, got, want, standardError)
	}
}

func checked(t *testing.T, s Settings) Settings {
	t.Helper()
	var f loader.Faults
	s.Check(&f)
	if err := f.Err(); err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against run times off the stated distribution, which would make the
// load differ from its declared percentage.
func TestLogNormal(t *testing.T) {
	const n = 200_000
	r := rand.New(rand.NewPCG(1, 1))
	sum, squares := 0.0, 0.0
	below := map[float64]float64{50: 0, 220: 0, 1000: 0, 2000: 0}
	for range n {
		x := commonRun.Sample(r)
		sum += x
		squares += x * x
		for bound := range below {
			if x <= bound {
				below[bound]++
			}
		}
	}
	mean := sum / n
	within(t, "mean", mean, commonRun.Mean(), math.Sqrt((squares/n-mean*mean)/n))
	for bound, count := range below {
		p := commonRun.CDF(bound)
		within(t, "share below a bound", count/n, p, math.Sqrt(p*(1-p)/n))
	}
}

// Guards against arrivals at another rate than set, or bursts that change the
// mean rate or do not burst.
func TestArrivals(t *testing.T) {
	for name, bursts := range map[string]Bursts{
		"steady": {},
		"bursts": {EveryMs: 2000, ForMs: 200, Factor: 5},
	} {
		t.Run(name, func(t *testing.T) {
			const rate, seconds = 500.0, 200
			a := NewArrivals(rate, bursts, rand.New(rand.NewPCG(7, 7)))
			count, inBurst, last := 0.0, 0.0, time.Duration(-1)
			for {
				at := a.Next()
				if at < last {
					t.Fatalf("arrival at %v after one at %v", at, last)
				}
				if last = at; at >= seconds*time.Second {
					break
				}
				count++
				if at%(2*time.Second) < 200*time.Millisecond {
					inBurst++
				}
			}
			share := 0.1
			if bursts.Factor > 0 {
				share = 0.2 * 5 / (1.8 + 0.2*5)
			}
			within(t, "arrivals", count, rate*seconds, math.Sqrt(rate*seconds))
			within(t, "share in the first tenth", inBurst/count, share, math.Sqrt(share*(1-share)/count))
		})
	}
}

// Guards against a mix whose jobs do not add up to the load percentage, whose
// sizes or declared values leave their bounds, or whose types are misnamed.
func TestJobsOfBothMixes(t *testing.T) {
	for _, mix := range []string{"smokehouse", "namta"} {
		t.Run(mix, func(t *testing.T) {
			s := checked(t, Settings{Seed: 3, MixName: mix, Slots: 400, LoadPercent: 80, DurationMs: 600_000})
			g := newAt(s, s.JobsPerS())
			jobs, tasks, work, squares := 0.0, 0.0, 0.0, 0.0
			for j, ok := g.Next(); ok; j, ok = g.Next() {
				mean := j.Work().Seconds() * 1000 / float64(len(j.RunMs))
				if len(j.RunMs) < 1 || len(j.RunMs) > 100 {
					t.Fatalf("job of %d tasks", len(j.RunMs))
				}
				if f := float64(j.DeclaredRunMs) / mean; f < 0.2-1/mean || f > 5+1/mean {
					t.Fatalf("declared run time is wrong by %v", f)
				}
				if j.DeadlineMs < 3*j.Longest().Milliseconds() {
					t.Fatalf("deadline of %d ms for a job of %v", j.DeadlineMs, j.Longest())
				}
				jobs++
				tasks += float64(len(j.RunMs))
				work += j.Work().Seconds()
				squares += j.Work().Seconds() * j.Work().Seconds()
			}
			within(t, "jobs", jobs, s.JobsPerS()*600, math.Sqrt(jobs))
			// The variance of a compound Poisson sum is the sum of squares.
			within(t, "work in slot seconds", work, 0.8*400*600, math.Sqrt(squares))
		})
	}
}

// Guards against short runs that offer another load than set: single large
// jobs make the work of 10 s differ by a tenth between seeds.
func TestExactLoad(t *testing.T) {
	for seed := range uint64(20) {
		s := Settings{Seed: seed, MixName: "namta", Slots: 400, LoadPercent: 80, DurationMs: 10_000}
		if seed%2 == 1 {
			s.Bursts = Bursts{EveryMs: 3000, ForMs: 500, Factor: 4}
		}
		g := New(checked(t, s))
		work, largest := 0.0, 0.0
		for j, ok := g.Next(); ok; j, ok = g.Next() {
			work += j.Work().Seconds()
			largest = math.Max(largest, j.Work().Seconds())
		}
		if target := 0.8 * 400 * 10; math.Abs(work-target) > largest/2 {
			t.Errorf("seed %d: %v slot seconds of work instead of %v", seed, work, target)
		}
	}
	short := New(checked(t, Settings{MixName: "namta", Slots: 1, LoadPercent: 1, DurationMs: 1}))
	if _, ok := short.Next(); !ok {
		t.Error("a run without jobs")
	}
}

// Guards against a run that can't be repeated, and against disturbances that
// change the jobs that they disturb.
func TestSameSeedSameJobs(t *testing.T) {
	take := func(s Settings) (list []Job) {
		g := New(checked(t, s))
		for j, ok := g.Next(); ok; j, ok = g.Next() {
			list = append(list, j)
		}
		return list
	}
	plain := Settings{Seed: 9, MixName: "namta", Slots: 40, LoadPercent: 80, DurationMs: 60_000}
	disturbed := plain
	disturbed.ResubmitPercent = 20
	disturbed.Cancellations = Cancellations{EveryMs: 5000, WindowMs: 1000, Percent: 50}
	first, second, third := take(plain), take(plain), take(disturbed)
	if !reflect.DeepEqual(first, second) {
		t.Error("two generators with the same seed gave different jobs")
	}
	again, cancelled := 0.0, 0
	for i := range third {
		if third[i].Resubmit > 0 {
			again++
		}
		if third[i].CancelAt > 0 {
			cancelled++
			if third[i].CancelAt-third[i].At > time.Second || third[i].CancelAt%(5*time.Second) != 0 {
				t.Errorf("job arriving at %v is cancelled at %v", third[i].At, third[i].CancelAt)
			}
		}
		third[i].Resubmit, third[i].CancelAt = 0, 0
	}
	if !reflect.DeepEqual(first, third) {
		t.Error("cancellations or resubmissions changed the jobs")
	}
	n := float64(len(third))
	within(t, "resubmitted share", again/n, 0.2, math.Sqrt(0.2*0.8/n))
	if cancelled == 0 {
		t.Error("no job was cancelled")
	}
}
