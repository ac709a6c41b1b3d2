package main

import (
	"math/rand"
	"sync"
	"time"
)

const (
	loneRounds = 11
	loneJobs   = 8
)

// lone kills one process at a time, a holder of runners, while jobs that came through
// it are at work, and checks that no task runs twice at a time. Each zone has two
// machines and a holder of its own.
func lone(p *platform, trouble bool) int {
	r := rand.New(rand.NewSource(6))
	completed, all := 0, 0
	var mu sync.Mutex
	for range loneRounds {
		holders := p.holders()
		p.rec.printf("%d machines hold runners", len(holders))
		if len(holders) < 2 {
			p.rec.printf("cannot run: the zones have no holders of their own")
			return notRun
		}
		killed := holders[r.Intn(len(holders))]
		var jobs sync.WaitGroup
		for range loneJobs {
			j := newJob(r, 2, 27000, 3000, 15000)
			second := r.Intn(len(p.machines))
			all++
			jobs.Go(func() {
				o := p.submit(j, func(attempt int) *machine {
					if attempt == 0 {
						return killed
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
			if err := p.killAll([]*machine{killed}, restartDelay); err != nil {
				p.rec.printf("cannot run: %v", err)
				return notRun
			}
		}
		jobs.Wait()
		time.Sleep(2 * time.Second)
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
