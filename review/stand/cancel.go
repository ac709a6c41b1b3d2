package main

import (
	"math/rand"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// cancelPercent is the share of the jobs that are cancelled, the largest dose of
// give_up in the site files.
const cancelPercent = 40

// cancelled is a job that its client cancelled.
type cancelled struct {
	id         string
	status     int
	answeredAt time.Time
}

// acknowledged reports whether the DELETE was answered as PROTOCOL.md says it is.
func (c cancelled) acknowledged() bool {
	return c.status/100 == 2 || c.status == http.StatusGone
}

// checkCancelled waits until each acknowledged cancelling lies cancel_ms and
// StopTimeoutMs back, counted from calmFrom at the earliest, and returns broken if a task of such a job
// is at work then.
func (p *platform) checkCancelled(list []cancelled, calmFrom time.Time) int {
	bound := time.Duration(p.cancelMs+stopTimeoutMs) * time.Millisecond
	acknowledged, left := 0, 0
	for _, c := range list {
		if !c.acknowledged() {
			continue
		}
		acknowledged++
		from := c.answeredAt
		if calmFrom.After(from) {
			from = calmFrom
		}
		time.Sleep(time.Until(from.Add(bound + 200*time.Millisecond)))
		if tasks := p.fleet.atWork(c.id); len(tasks) > 0 {
			left++
			p.rec.printf("STILL AT WORK: job %s, whose DELETE was answered %d %d ms ago: %v", c.id, c.status, time.Since(c.answeredAt).Milliseconds(), tasks)
		}
	}
	p.rec.printf("%d of %d cancellings were acknowledged; %d of these jobs still have tasks at work", acknowledged, len(list), left)
	switch {
	case acknowledged == 0:
		return notRun
	case left > 0:
		return broken
	}
	return held
}

// submitAll submits one job for each machine in turn without waiting for them. No
// client sends a job again that it has cancelled.
func (p *platform) submitAll(machines []*machine, jobs []job) *sync.WaitGroup {
	var posts sync.WaitGroup
	for i, j := range jobs {
		posts.Go(func() { p.post(machines[i%len(machines)], j) })
	}
	return &posts
}

// wave cancels jobs one after the other while the holder of the runners is killed
// and another machine takes its place.
func wave(p *platform, trouble bool) int {
	r := rand.New(rand.NewSource(2))
	holders := p.holders()
	if len(holders) != 1 {
		p.rec.printf("cannot run: %d machines hold the runners", len(holders))
		return notRun
	}
	p.rec.printf("%s holds the runners", holders[0].name)
	var others []*machine
	for _, m := range p.machines {
		if m != holders[0] {
			others = append(others, m)
		}
	}
	jobs := make([]job, 50)
	for i := range jobs {
		jobs[i] = newJob(r, 2, 10000, 14000, 30000)
	}
	p.submitAll(others, jobs)
	jobs = jobs[:len(jobs)*cancelPercent/100]
	time.Sleep(time.Second)
	if trouble {
		holders[0].signal(syscall.SIGKILL)
		p.rec.printf("platform: SIGKILL to %s", holders[0].name)
	}
	restarted := make(chan time.Time, 1)
	go func() {
		time.Sleep(restartDelay)
		if trouble {
			if err := p.start(holders[0]); err != nil {
				p.rec.printf("platform: %v", err)
			}
			p.rec.printf("platform: restarted %s", holders[0].name)
		}
		restarted <- time.Now()
	}()
	list := make([]cancelled, len(jobs))
	var cancels sync.WaitGroup
	for i, j := range jobs {
		cancels.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			status := p.cancel(others[i%len(others)], j.id)
			list[i] = cancelled{j.id, status, time.Now()}
		})
	}
	cancels.Wait()
	// The machines are in touch again ContactMs after the restart.
	return p.checkCancelled(list, (<-restarted).Add(time.Duration(p.contactMs)*time.Millisecond))
}

// shift has clients submit jobs in their zone and cancel some of them from another zone,
// to which these clients have moved.
func shift(p *platform, trouble bool) int {
	r := rand.New(rand.NewSource(3))
	half := len(p.machines) / 2
	home, away := p.machines[:half], p.machines[half:]
	jobs := make([]job, 30)
	for i := range jobs {
		jobs[i] = newJob(r, 2, 14000, 7000, 20000)
	}
	p.submitAll(home, jobs)
	jobs = jobs[:len(jobs)*cancelPercent/100]
	time.Sleep(time.Second)
	from := home
	if trouble {
		p.rec.printf("platform: half of the clients, among them those that cancel, have moved from %s to %s", home[0].zone, away[0].zone)
		from = away
	}
	list := make([]cancelled, len(jobs))
	var cancels sync.WaitGroup
	for i, j := range jobs {
		cancels.Go(func() {
			status := p.cancel(from[i%len(from)], j.id)
			list[i] = cancelled{j.id, status, time.Now()}
		})
	}
	cancels.Wait()
	return p.checkCancelled(list, time.Time{})
}
