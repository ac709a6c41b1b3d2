package main

import (
	"math/rand"
	"sync"
	"time"
)

const (
	rebornRounds = 4
	// rebornDown is how long a crashed runner is away.
	rebornDown = 2500 * time.Millisecond
	// backgroundJobs short jobs a round keep the delayed start below 0.055 of all
	// starts, the dose of the site file.
	backgroundJobs = 60
)

// background submits short jobs for about 3 s.
func (p *platform) background(seed int64, posts *sync.WaitGroup) {
	r := rand.New(rand.NewSource(seed))
	for range backgroundJobs {
		j, m := newJob(r, 1, 5000, 60, 1500), p.machines[r.Intn(len(p.machines))]
		posts.Go(func() { p.post(m, j) })
		time.Sleep(50 * time.Millisecond)
	}
}

// reborn delays one start to a runner, which crashes meanwhile and starts again under
// its id, and checks that the task does not run there and elsewhere at a time.
func reborn(p *platform, trouble bool) int {
	r := rand.New(rand.NewSource(5))
	f := p.fleet
	completed, delayed := 0, 0
	for round := range rebornRounds {
		f.mu.Lock()
		for _, w := range f.runners {
			w.delayStarts = trouble
		}
		f.mu.Unlock()
		j := newJob(r, 1, 27000, 6000, 20000)
		done := make(chan outcome, 1)
		go func() { done <- p.submit(j, func(int) *machine { return p.machines[r.Intn(len(p.machines))] }) }()
		// The first start is delayed; all other runners answer.
		var crashed *runner
		for end := time.Now().Add(2 * time.Second); trouble && crashed == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
			f.mu.Lock()
			for _, w := range f.runners {
				if len(w.kept) > 0 && crashed == nil {
					crashed = w
				}
			}
			for _, w := range f.runners {
				if crashed != nil && w != crashed {
					w.delayStarts = false
				}
			}
			f.mu.Unlock()
		}
		if crashed != nil {
			f.mu.Lock()
			crashed.delayStarts = false
			f.mu.Unlock()
		}
		var posts sync.WaitGroup
		posts.Go(func() { p.background(int64(100+round), &posts) })
		if crashed != nil {
			delayed++
			time.Sleep(700 * time.Millisecond)
			if err := crashed.crash(rebornDown); err != nil {
				p.rec.printf("cannot run: %v", err)
				return notRun
			}
		}
		if o := <-done; o.state == "completed" {
			completed++
		}
		posts.Wait()
		time.Sleep(3 * time.Second)
	}
	doubles := f.doubles()
	f.mu.Lock()
	orders := f.orders
	f.mu.Unlock()
	p.rec.printf("%d of %d jobs completed; %d of %d starts were delayed; %d starts beside another run of the same task", completed, rebornRounds, delayed, orders, len(doubles))
	switch {
	case len(doubles) > 0:
		return broken
	case completed == 0 || (trouble && delayed == 0):
		return notRun
	}
	return held
}
