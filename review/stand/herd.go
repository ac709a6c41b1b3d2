package main

import (
	"math/rand"
	"sync"
	"time"
)

const (
	herdRounds = 3
	// herdDown is how long the processes stay down, within the 0.51 to 1.3 s of the
	// site file for days on which all processes are killed.
	herdDown = 600 * time.Millisecond
	// herdCalm is the pause after a round. RecoveryS is 12 s.
	herdCalm = 13 * time.Second
)

// herd kills all front processes at once while jobs are at work, restarts them, and
// checks that no task runs twice at a time.
func herd(p *platform, trouble bool) int {
	r := rand.New(rand.NewSource(1))
	completed, all := 0, 0
	var mu sync.Mutex
	for round := range herdRounds {
		if round > 0 {
			time.Sleep(herdCalm)
		}
		var jobs sync.WaitGroup
		for i := range 16 {
			j := newJob(r, 2, 27000, 3000, 15000)
			second := r.Intn(len(p.machines))
			all++
			jobs.Go(func() {
				o := p.submit(j, func(attempt int) *machine {
					if attempt == 0 {
						return p.machines[i%len(p.machines)]
					}
					return p.machines[(second+attempt)%len(p.machines)]
				})
				mu.Lock()
				defer mu.Unlock()
				if o.state == "completed" {
					completed++
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		if trouble {
			if err := p.killAll(p.machines, herdDown); err != nil {
				p.rec.printf("cannot run: %v", err)
				return notRun
			}
		}
		jobs.Wait()
	}
	doubles := p.fleet.doubles()
	p.rec.printf("%d of %d jobs completed; %d starts beside another run of the same task", completed, all, len(doubles))
	switch {
	case len(doubles) > 0:
		return broken
	case completed == 0:
		return notRun
	}
	return held
}
