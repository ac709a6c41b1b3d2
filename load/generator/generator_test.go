package generator

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/loader"
)

// checkStatistic fails the test if got is more than five standard errors from
// want.
func checkStatistic(t *testing.T, name string, got, want, standardError float64) {
	t.Helper()
	if math.Abs(got-want) > 5*standardError {
		t.Errorf("%s is %v, expected %v with a standard error of %v", name, got, want, standardError)
	}
}

func checkedSettings(t *testing.T, s Settings) Settings {
	t.Helper()
	var f loader.Problems
	s.Check(&f)
	if err := f.Err(); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestLogNormal guards against run times that do not follow the configured
// distribution, which would make the offered load differ from LoadPercent.
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
	checkStatistic(t, "mean", mean, commonRun.Mean(), math.Sqrt((squares/n-mean*mean)/n))
	for bound, count := range below {
		p := commonRun.CDF(bound)
		checkStatistic(t, "share below bound", count/n, p, math.Sqrt(p*(1-p)/n))
	}
}

// TestArrivals guards against a wrong arrival rate, and against bursts that
// change the mean rate or do not raise the rate.
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
			// The first 0.2 s of each period of 2 s, a tenth, are checked. With
			// bursts, the arrival rate there is 5 times that of the other 1.8 s.
			share := 0.1
			if bursts.Factor > 0 {
				share = 0.2 * 5 / (1.8 + 0.2*5)
			}
			checkStatistic(t, "arrivals", count, rate*seconds, math.Sqrt(rate*seconds))
			checkStatistic(t, "share in the first tenth of each period", inBurst/count, share, math.Sqrt(share*(1-share)/count))
		})
	}
}

// TestPresetMixes guards against a mix whose jobs do not add up to LoadPercent,
// or whose sizes, declared run times or deadlines are out of bounds.
func TestPresetMixes(t *testing.T) {
	for _, mix := range []string{"smokehouse", "namta"} {
		t.Run(mix, func(t *testing.T) {
			s := checkedSettings(t, Settings{Seed: 3, MixName: mix, Slots: 400, LoadPercent: 80, DurationMs: 600_000})
			g := newAtRate(s, s.JobsPerS())
			jobs, tasks, work, squares := 0.0, 0.0, 0.0, 0.0
			for j, ok := g.Next(); ok; j, ok = g.Next() {
				mean := j.TotalRun().Seconds() * 1000 / float64(len(j.RunMs))
				if len(j.RunMs) < 1 || len(j.RunMs) > 100 {
					t.Fatalf("job of %d tasks", len(j.RunMs))
				}
				if f := float64(j.DeclaredRunMs) / mean; f < 0.2-1/mean || f > 5+1/mean {
					t.Fatalf("declared run time is off by a factor of %v", f)
				}
				if j.DeadlineMs < 3*j.LongestRun().Milliseconds() {
					t.Fatalf("deadline of %d ms for a job of %v", j.DeadlineMs, j.LongestRun())
				}
				jobs++
				tasks += float64(len(j.RunMs))
				work += j.TotalRun().Seconds()
				squares += j.TotalRun().Seconds() * j.TotalRun().Seconds()
			}
			checkStatistic(t, "jobs", jobs, s.JobsPerS()*600, math.Sqrt(jobs))
			// The variance of a compound Poisson sum is estimated by the sum of
			// squares.
			checkStatistic(t, "work in slot seconds", work, 0.8*400*600, math.Sqrt(squares))
		})
	}
}

// TestCalibratedLoad guards against short runs whose offered load differs from
// LoadPercent. Without calibration, single large jobs change the work of 10 s
// by a tenth between seeds.
func TestCalibratedLoad(t *testing.T) {
	for seed := range uint64(20) {
		s := Settings{Seed: seed, MixName: "namta", Slots: 400, LoadPercent: 80, DurationMs: 10_000}
		if seed%2 == 1 {
			s.Bursts = Bursts{EveryMs: 3000, ForMs: 500, Factor: 4}
		}
		g := New(checkedSettings(t, s))
		work, largest := 0.0, 0.0
		for j, ok := g.Next(); ok; j, ok = g.Next() {
			work += j.TotalRun().Seconds()
			largest = math.Max(largest, j.TotalRun().Seconds())
		}
		if target := 0.8 * 400 * 10; math.Abs(work-target) > largest/2 {
			t.Errorf("seed %d: %v slot seconds of work, expected %v", seed, work, target)
		}
	}
	short := New(checkedSettings(t, Settings{MixName: "namta", Slots: 1, LoadPercent: 1, DurationMs: 1}))
	if _, ok := short.Next(); !ok {
		t.Error("the run has no jobs")
	}
}

// TestSameSeedGeneratesSameJobs guards against runs that are not reproducible,
// and against cancellation or resubmission settings that change the generated
// jobs.
func TestSameSeedGeneratesSameJobs(t *testing.T) {
	generateAll := func(s Settings) (list []Job) {
		g := New(checkedSettings(t, s))
		for j, ok := g.Next(); ok; j, ok = g.Next() {
			list = append(list, j)
		}
		return list
	}
	plain := Settings{Seed: 9, MixName: "namta", Slots: 40, LoadPercent: 80, DurationMs: 60_000}
	disturbed := plain
	disturbed.ResubmitPercent = 20
	disturbed.Cancellations = Cancellations{EveryMs: 5000, WindowMs: 1000, Percent: 50}
	plainJobs, repeatedJobs, disturbedJobs := generateAll(plain), generateAll(plain), generateAll(disturbed)
	if !reflect.DeepEqual(plainJobs, repeatedJobs) {
		t.Error("two generators with the same seed gave different jobs")
	}
	resubmitted, cancelled := 0.0, 0
	for i := range disturbedJobs {
		if disturbedJobs[i].ResubmitAfter > 0 {
			resubmitted++
		}
		if disturbedJobs[i].CancelAt > 0 {
			cancelled++
			if disturbedJobs[i].CancelAt-disturbedJobs[i].ArrivesAt > time.Second || disturbedJobs[i].CancelAt%(5*time.Second) != 0 {
				t.Errorf("job arriving at %v is cancelled at %v", disturbedJobs[i].ArrivesAt, disturbedJobs[i].CancelAt)
			}
		}
		disturbedJobs[i].ResubmitAfter, disturbedJobs[i].CancelAt = 0, 0
	}
	if !reflect.DeepEqual(plainJobs, disturbedJobs) {
		t.Error("cancellations or resubmissions changed the jobs")
	}
	n := float64(len(disturbedJobs))
	checkStatistic(t, "resubmitted share", resubmitted/n, 0.2, math.Sqrt(0.2*0.8/n))
	if cancelled == 0 {
		t.Error("no job was cancelled")
	}
}
