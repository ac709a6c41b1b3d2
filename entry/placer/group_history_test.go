package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// regressionGroupSeeds are the seeds of group histories that once failed.
var regressionGroupSeeds = []int64{
	// Leases were renewed for a run whose start got no answer.
	58,
	// The next owner renewed the lease of a run that the previous one could not stop.
	16,
	// A lease ended late on a slow clock.
	505,
}

// TestNoSecondRunAcrossGroups guards against two runs of a task at the same time when
// callers send their jobs again, to any worker group, over random series of lost
// entries and owners, handovers, competing claims, one-way and full cuts, and requests
// that are lost, unanswered or executed late.
func TestNoSecondRunAcrossGroups(t *testing.T) {
	seeds := append([]int64(nil), regressionGroupSeeds...)
	for seed := range int64(historyCount()) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := newGroupHistory(seed)
			h.play()
			h.checkNoSecondRuns(t)
		})
	}
}

// attempt is one submission of a job by its caller.
type attempt struct {
	job    *submittedJob
	group  *workerGroup
	waiter placer.Waiter
	// entryLost is set once the entry with the caller's connection is lost.
	entryLost bool
}

// groupHistory is a random history of worker groups, and of callers that send their
// jobs again.
type groupHistory struct {
	*simulation
	groups   []*workerGroup
	attempts map[placer.Waiter]*attempt
	// cut holds the workers that no owner reaches.
	cut map[*machine]bool
	// claims is the number of claims, each with a higher fence.
	claims int64
}

func newGroupHistory(seed int64) *groupHistory {
	sizes := []int{3, 3, 3}[:2+seed%2]
	s, groups := newGroups(seed, sizes...)
	h := &groupHistory{simulation: s, groups: groups, attempts: map[placer.Waiter]*attempt{}, cut: map[*machine]bool{}}
	s.reclaimWorkers, s.attests = true, true
	h.attestJobs()
	s.answered = h.handleAnswer
	s.faults.exactLeases = true
	for _, m := range s.machines {
		m.ClockSlowPercent = 2 * s.random.Int63n(2)
	}
	return h
}

func (h *groupHistory) play() {
	for range 50 {
		h.run(h.upTo(300 * time.Millisecond))
		g := h.groups[h.random.Intn(len(h.groups))]
		switch p := h.random.Intn(100); {
		case p < 45:
			h.sendNew(g)
		case p < 60:
			h.loseEntry()
		case p < 68:
			h.changeOwner(g)
		case p < 74:
			h.compete(g)
		case p < 90:
			h.cutOff(g.machines[h.random.Intn(len(g.machines))])
			h.schedule(h.upTo(300*time.Millisecond), func(time.Time) { h.sendNew(g) })
			h.schedule(300*time.Millisecond+h.upTo(time.Second), func(time.Time) { h.loseEntry() })
		default:
			h.disturb()
		}
	}
}

func (h *groupHistory) upTo(d time.Duration) time.Duration {
	return time.Duration(h.random.Int63n(int64(d)))
}

// sendNew submits a new job to the owner of a group.
func (h *groupHistory) sendNew(g *workerGroup) {
	work := 200*time.Millisecond + h.upTo(4*time.Second)
	job := newJob(fmt.Sprintf("j%04d", len(h.jobs)), 1+h.random.Intn(3), 20000, work.Milliseconds())
	job.RemainingMs = 20_000
	h.send(g, job, executor.Task{CPU: 20000, Duration: work})
}

// send submits a job to the owner of a group.
func (h *groupHistory) send(g *workerGroup, job placer.Job, task executor.Task, placements ...placer.Placement) {
	if g.owner.crashed {
		return
	}
	if j := h.jobs[job.ID]; j != nil {
		h.forgetRunNumbers(j)
	}
	a := &attempt{group: g, waiter: h.lastWaiter + 1}
	h.attempts[a.waiter] = a
	a.job = h.submit(g.owner, job, task, placements...)
}

// sendAgain submits a job again after resubmitDelay, to any group.
func (h *groupHistory) sendAgain(j *submittedJob) {
	h.schedule(resubmitDelay, func(time.Time) {
		h.send(h.groups[h.random.Intn(len(h.groups))], j.job, j.task)
	})
}

// handleAnswer passes a moved job to the next owner of its group. A caller that does
// not know whether its job ran sends it again.
func (h *groupHistory) handleAnswer(cmd placer.Answer) {
	a := h.attempts[cmd.Waiter]
	delete(h.attempts, cmd.Waiter)
	if a == nil || a.entryLost {
		return
	}
	switch r := cmd.Result; {
	case r.Moved:
		h.schedule(h.upTo(50*time.Millisecond), func(time.Time) {
			h.send(a.group, a.job.job, a.job.task, r.Placements...)
		})
	case r.Err != nil && r.Err.Ran == messenger.MayHaveRun:
		h.schedule(0, func(time.Time) { h.sendAgain(a.job) })
	}
}

// attestJobs makes the entries attest that they wait for their jobs, with the stamp of
// the reply before.
func (h *groupHistory) attestJobs() {
	h.schedule(attestationInterval, func(now time.Time) {
		for _, a := range h.waiting(nil) {
			h.deliver(a.group.owner, placer.JobsAttested{Entry: h.entryName(a.waiter), At: now.Add(-attestationInterval), Jobs: []string{a.job.job.ID}})
		}
		h.attestJobs()
	})
}

// loseEntry ends the entry of one of the last jobs. Its owner notices the broken
// connection, or does not, if that is silent.
func (h *groupHistory) loseEntry() {
	list := h.waiting(nil)
	if len(list) == 0 {
		return
	}
	a := list[len(list)-1-h.random.Intn(min(len(list), 3))]
	a.entryLost = true
	silent := a.waiter%3 == 0
	h.schedule(h.upTo(195*time.Millisecond), func(time.Time) {
		if !silent {
			h.deliver(a.group.owner, placer.Cancel{JobID: a.job.job.ID, Waiter: a.waiter})
		}
	})
	h.sendAgain(a.job)
}

// waiting returns the unanswered attempts in a group, or in all of them if g is nil.
func (h *groupHistory) waiting(g *workerGroup) []*attempt {
	var list []*attempt
	for waiter := placer.Waiter(1); waiter <= h.lastWaiter; waiter++ {
		if a := h.attempts[waiter]; a != nil && a.job != nil && !a.entryLost && (g == nil || a.group == g) {
			list = append(list, a)
		}
	}
	return list
}

// changeOwner replaces the owner of a group: it hands over as planned, or it is lost.
// Its jobs go to the next one, except those whose entry was lost with it.
func (h *groupHistory) changeOwner(g *workerGroup) {
	from := g.owner
	if from.crashed {
		return
	}
	if h.random.Intn(3) == 0 {
		g.owner = h.nextOwner(g)
		h.deliver(from, placer.Release{Moved: true, Reason: "planned"})
		h.claim(g, false, from)
		return
	}
	from.crashed = true
	var kept []*attempt
	for _, a := range h.waiting(g) {
		if h.random.Intn(2) == 0 {
			kept = append(kept, a)
			continue
		}
		a.entryLost = true
		h.sendAgain(a.job)
	}
	h.schedule(100*time.Millisecond+h.upTo(1100*time.Millisecond), func(time.Time) {
		g.owner = h.nextOwner(g)
		h.claim(g, h.random.Intn(3) == 0, from)
		h.schedule(h.upTo(200*time.Millisecond), func(time.Time) {
			for _, a := range kept {
				if !a.entryLost {
					delete(h.attempts, a.waiter)
					h.send(g, a.job.job, a.job.task, placer.UnknownPlacements(a.job.job.Tasks, nil)...)
				}
			}
		})
	})
}

// compete makes a second owner claim the workers of a group. One of the two yields.
func (h *groupHistory) compete(g *workerGroup) {
	first := g.owner
	if first.crashed {
		return
	}
	rival := h.nextOwner(g)
	h.claims++
	h.deliver(rival, placer.Claim{WallMs: h.now.UnixMilli() + h.claims*1000, Contested: h.random.Intn(4) > 0})
	yields := first
	if h.random.Intn(2) == 0 {
		yields = rival
	}
	h.schedule(h.upTo(time.Second), func(time.Time) {
		if g.owner != first || first.crashed {
			rival.crashed = true
			return
		}
		if yields == first {
			g.owner = rival
		}
		g.changedAt = h.now
		h.deliver(yields, placer.Release{Moved: true, Reason: "an owner with an earlier claim keeps the workers"})
		yields.crashed = true
	})
}

func (h *groupHistory) nextOwner(g *workerGroup) *owner {
	o := h.addOwner(g.machines)
	for _, m := range g.machines {
		if h.cut[m] {
			m.unreachableFrom[o] = true
		}
	}
	return o
}

// claim makes the owner of g claim its workers. It relies on what it heard of the
// previous owner only if that one had been the owner for a while.
func (h *groupHistory) claim(g *workerGroup, contested bool, previous *owner) {
	heardAt := previous.orphansSince
	if h.now.Sub(g.changedAt) < 1500*time.Millisecond {
		heardAt = time.Time{}
	}
	h.claims++
	g.changedAt = h.now
	h.deliver(g.owner, placer.Claim{WallMs: h.now.UnixMilli() + h.claims*1000, Contested: contested, PreviousOwnerHeardAt: heardAt})
}

// cutOff loses the replies of a worker for a while, or all requests to it as well.
func (h *groupHistory) cutOff(m *machine) {
	if m.mute || h.cut[m] {
		return
	}
	d := 200*time.Millisecond + h.upTo(4*time.Second)
	if h.random.Intn(2) == 0 {
		m.mute, m.missesStops = true, h.random.Intn(3) > 0
		h.schedule(d, func(time.Time) { m.mute, m.missesStops = false, false })
		return
	}
	h.cut[m] = true
	for _, o := range h.owners {
		m.unreachableFrom[o] = true
	}
	h.schedule(d, func(time.Time) {
		delete(h.cut, m)
		clear(m.unreachableFrom)
	})
}

// disturb changes the shares of requests that get no answer, for a while.
func (h *groupHistory) disturb() {
	share := func(most float64) float64 {
		if h.random.Intn(2) == 0 {
			return 0
		}
		return most * h.random.Float64()
	}
	h.faults.lostStops = share(1)
	if h.random.Intn(3) == 0 {
		h.faults.lostStops = 1
	}
	h.faults.lostStarts, h.faults.delayedStarts, h.faults.lostStartReplies = share(0.2), share(0.4), share(0.4)
	h.faults.lostHolds, h.faults.delayedHolds = share(0.3), share(0.5)
	h.schedule(500*time.Millisecond+h.upTo(3*time.Second), func(time.Time) {
		h.faults = faultRates{exactLeases: h.faults.exactLeases}
	})
}
