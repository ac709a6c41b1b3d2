package packer_test

import (
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/load/packer"
)

var start = time.UnixMilli(1_700_000_000_000)

func job(queue string, at time.Duration, tasks int, cpu int64, ms int) packer.Job {
	return packer.Job{Queue: queue, Arrived: start.Add(at), Tasks: tasks, CPU: cpu, Expected: time.Duration(ms) * time.Millisecond}
}

// TestPack guards against a bound that includes work that does not fit in time,
// and against a bound below what a dispatcher can serve. want is the mean bound
// of the queues.
func TestPack(t *testing.T) {
	for name, c := range map[string]struct {
		jobs []packer.Job
		want float64
	}{
		"single job fits":            {[]packer.Job{job("q", 0, 2, 30, 1000)}, 1},
		"two jobs compete":           {[]packer.Job{job("q", 0, 2, 60, 600), job("q", 0, 2, 60, 600)}, 0.94},
		"second job arrives later":   {[]packer.Job{job("q", 0, 2, 60, 600), job("q", time.Second, 2, 60, 600)}, 1},
		"job moves for a later one":  {[]packer.Job{job("q", 0, 1, 60, 1000), job("q", 0, 2, 60, 200), job("q", 200*time.Millisecond, 2, 60, 400)}, 1},
		"work exceeds capacity":      {[]packer.Job{job("q", 0, 40, 64, 1000)}, 0.082},
		"small job takes precedence": {[]packer.Job{job("p", 0, 40, 64, 1000), job("q", 0, 1, 64, 100)}, 0.540},
	} {
		t.Run(name, func(t *testing.T) {
			got := packer.Pack(c.jobs, []int64{64, 64})
			sum := 0.0
			for _, s := range got {
				sum += s.Bound / float64(len(got))
			}
			if sum < c.want-0.02 || sum > c.want+0.02 {
				t.Errorf("bound %v, want %v", sum, c.want)
			}
		})
	}
}

// TestPackIsUpperBound guards against Pack returning a bound below the credit
// that a real schedule completes. The schedule of the test is online: it
// handles the jobs in order of arrival and gives each one the capacity that is
// still free between its arrival and its latency objective.
func TestPackIsUpperBound(t *testing.T) {
	for seed := range int64(20) {
		random := rand.New(rand.NewSource(seed))
		var jobs []packer.Job
		at := time.Duration(0)
		for range 150 {
			at += time.Duration(random.Intn(80)) * time.Millisecond
			jobs = append(jobs, job("q", at, 1+random.Intn(4), int64(20+random.Intn(40)), 40+random.Intn(400)))
		}
		const capacity = 128
		free := make([]float64, 4000)
		for i := range free {
			free[i] = capacity * 0.02
		}
		for i := range jobs {
			j := &jobs[i]
			remaining := float64(j.Tasks) * float64(j.CPU) * j.Expected.Seconds()
			from := int(j.Arrived.Sub(start) / (20 * time.Millisecond))
			last := from + int((45*time.Millisecond+j.Expected*8/5)/(20*time.Millisecond))
			for k := from; k <= last && remaining > 0; k++ {
				n := min(remaining, free[k])
				remaining, free[k] = remaining-n, free[k]-n
			}
			j.Completed = remaining <= 0
		}
		got := packer.Pack(jobs, []int64{64, 64})[0]
		if got.Bound < got.Completed-1e-6 || got.Bound > 1+1e-6 {
			t.Errorf("seed %d: bound %v, but the online schedule completes %v", seed, got.Bound, got.Completed)
		}
	}
}

// TestRead guards against counting a job twice whose end two owners have
// logged, and against failing on other text before and between the log lines.
func TestRead(t *testing.T) {
	const log = `quiet-1 8/48 0.75
   4.5 front-1 {"msg":"placer: worker appeared","worker":"w0","cpu":64000}
   4.6 front-2 {"msg":"placer: worker appeared","worker":"w0","cpu":64000}
   4.7 front-1 {"msg":"placer: job ended","job":"a","queue":"q","tasks":2,"cpu":27000,"expectedMs":60,"ageMs":100,"outcome":"targetLost","time":"2026-07-10T16:23:18.500Z"}
   4.8 front-2 {"msg":"placer: job ended","job":"a","queue":"q","tasks":2,"cpu":27000,"expectedMs":60,"ageMs":50,"outcome":"completed","time":"2026-07-10T16:23:18.700Z"}
   4.9 front-2 {"msg":"placer: job en`
	jobs, capacities, err := packer.Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if len(capacities) != 1 || capacities[0] != 64000 {
		t.Errorf("capacities %v", capacities)
	}
	want := time.Date(2026, 7, 10, 16, 23, 18, 400e6, time.UTC)
	if len(jobs) != 1 || !jobs[0].Completed || !jobs[0].Arrived.Equal(want) {
		t.Errorf("jobs %+v", jobs)
	}
}
