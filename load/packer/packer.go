// Package packer computes an upper bound on the credit that any dispatcher could
// have earned in time with the jobs in a set of entry logs. Credit counts as a
// fraction of the total credit of its queue, and the bound holds for the sum of
// these fractions over all queues. The logs are those of entries that run on the
// operators' platform.
package packer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slotLength is the time resolution of the schedule.
	slotLength = 20 * time.Millisecond
	// fixedOverhead is the part of a job's latency that is neither queueing nor
	// run time.
	fixedOverhead = 15 * time.Millisecond
	// targetLatency and stretch define the latency objective of the measured
	// deployments: 60 ms plus 1.6 times the longest task.
	targetLatency = 60 * time.Millisecond
	stretch       = 1.6
	// baseCredit is the part of a job's credit that does not depend on its size,
	// and maxCredit the maximum credit of a job. Both are defined by the
	// platform's users.
	baseCredit = 0.3
	maxCredit  = 4
)

// Job is a job of independent tasks. CPU is the demand of each task in
// thousandths of a core, and Expected its expected run time.
type Job struct {
	ID        string
	Queue     string
	Arrived   time.Time
	Tasks     int
	CPU       int64
	Expected  time.Duration
	Completed bool
	// credit is the value of completing the job, which depends on its work
	// relative to the mean of its queue.
	credit float64
}

func (j *Job) work() float64 { return float64(j.Tasks) * float64(j.CPU) * j.Expected.Seconds() }

// QueueShare holds the result for one queue. Completed and Bound are fractions
// of the total credit of its jobs.
type QueueShare struct {
	Queue     string  `json:"queue"`
	Jobs      int     `json:"jobs"`
	Completed float64 `json:"completed"`
	Bound     float64 `json:"bound"`
}

// Pack returns for each queue the credit that was completed, and the credit in
// the best schedule that fits the workers' capacity and meets the latency
// objective, with the credit of all queues weighted equally. The sum of the
// latter over all queues is an upper bound: tasks may be split into pieces of any
// size and moved between workers, a part of a job earns its part of the credit,
// and no worker is lost.
//
// The feasible amounts of work between the arrival and the objective of each job
// form a polymatroid, so adding jobs greedily by credit per core-second is
// optimal.
func Pack(jobs []Job, capacities []int64) []QueueShare {
	if len(jobs) == 0 {
		return nil
	}
	queues := assignCredits(jobs)
	start := jobs[0].Arrived
	byCreditPerWork := make([]*Job, len(jobs))
	for i := range jobs {
		byCreditPerWork[i] = &jobs[i]
		if jobs[i].Arrived.Before(start) {
			start = jobs[i].Arrived
		}
	}
	slices.SortStableFunc(byCreditPerWork, func(a, b *Job) int {
		return cmp.Compare(b.credit/queues[b.Queue].credit/b.work(), a.credit/queues[a.Queue].credit/a.work())
	})
	timeline := schedule{start: start}
	for _, capacity := range capacities {
		timeline.capacity += float64(capacity) * slotLength.Seconds()
	}
	for _, j := range byCreditPerWork {
		q := queues[j.Queue]
		if j.Completed {
			q.Completed += j.credit / q.credit
		}
		q.Bound += j.credit / q.credit * timeline.scheduleJob(j) / j.work()
	}
	var shares []QueueShare
	for _, q := range queues {
		shares = append(shares, q.QueueShare)
	}
	slices.SortFunc(shares, func(a, b QueueShare) int { return cmp.Compare(a.Queue, b.Queue) })
	return shares
}

// queueCredit is the result for one queue with the total credit of its jobs.
type queueCredit struct {
	QueueShare
	credit float64
}

// assignCredits sets the credit of each job and returns the totals by queue.
func assignCredits(jobs []Job) map[string]*queueCredit {
	queues := map[string]*queueCredit{}
	workByQueue := map[string]float64{}
	for i := range jobs {
		j := &jobs[i]
		j.Expected = max(j.Expected, slotLength)
		if queues[j.Queue] == nil {
			queues[j.Queue] = &queueCredit{QueueShare: QueueShare{Queue: j.Queue}}
		}
		queues[j.Queue].Jobs++
		workByQueue[j.Queue] += j.work()
	}
	for i := range jobs {
		j := &jobs[i]
		q := queues[j.Queue]
		j.credit = min(maxCredit, baseCredit+(1-baseCredit)*j.work()*float64(q.Jobs)/workByQueue[j.Queue])
		q.credit += j.credit
	}
	return queues
}

// schedule holds the work assigned to each time slot.
type schedule struct {
	start time.Time
	// capacity is the amount of work that fits into one slot.
	capacity float64
	slots    []slotState
}

type slotState struct {
	used float64
	// work is the amount of work of each job in the slot.
	work map[*jobWindow]float64
	// saturated slots cannot take work of any further job, because no work in
	// them can be moved to a slot with free capacity.
	saturated bool
}

// jobWindow identifies a scheduled job and holds its range of slots, from its
// arrival to its latency objective.
type jobWindow struct{ from, to int }

// scheduleJob schedules as much of the job's work as fits, moving work of other
// jobs within their windows if needed, and returns the scheduled amount.
func (s *schedule) scheduleJob(j *Job) float64 {
	window := &jobWindow{from: int(j.Arrived.Sub(s.start) / slotLength)}
	window.to = window.from + int((targetLatency+time.Duration(stretch*float64(j.Expected))-fixedOverhead)/slotLength) + 1
	for len(s.slots) <= window.to {
		s.slots = append(s.slots, slotState{work: map[*jobWindow]float64{}})
	}
	work := j.work()
	remaining := work
	for remaining > workTolerance*work {
		moved := s.augment(window, remaining)
		if moved == 0 {
			break
		}
		remaining -= moved
	}
	return work - remaining
}

// workTolerance is the fraction of a job's work, or of a slot's capacity, that is
// treated as zero.
const workTolerance = 1e-6

// predecessor records how the search reached a slot: by moving work of job from
// fromSlot. fromSlot is -1 for the slots of the job that is being scheduled.
type predecessor struct {
	job      *jobWindow
	fromSlot int
}

// augment schedules up to limit of the window's work along a shortest augmenting
// path. It returns the scheduled amount, or 0 if there is no such path.
func (s *schedule) augment(window *jobWindow, limit float64) float64 {
	reached := map[int]predecessor{}
	var pending []int
	visit := func(job *jobWindow, from int) {
		for i := job.from; i <= job.to; i++ {
			if _, ok := reached[i]; !ok && !s.slots[i].saturated {
				reached[i] = predecessor{job, from}
				pending = append(pending, i)
			}
		}
	}
	visit(window, -1)
	for len(pending) > 0 {
		i := pending[0]
		pending = pending[1:]
		if free := s.capacity - s.slots[i].used; free > workTolerance*s.capacity {
			return s.moveAlongPath(reached, i, min(limit, free))
		}
		for job := range s.slots[i].work {
			visit(job, i)
		}
	}
	for i := range reached {
		s.slots[i].saturated = true
	}
	return 0
}

// moveAlongPath moves up to amount of work along the path that ends at slot last
// and returns the moved amount.
func (s *schedule) moveAlongPath(reached map[int]predecessor, last int, amount float64) float64 {
	for i := last; ; {
		prev := reached[i]
		if prev.fromSlot < 0 {
			break
		}
		amount = min(amount, s.slots[prev.fromSlot].work[prev.job])
		i = prev.fromSlot
	}
	s.slots[last].used += amount
	for i := last; ; {
		prev := reached[i]
		s.slots[i].work[prev.job] += amount
		if prev.fromSlot < 0 {
			return amount
		}
		if s.slots[prev.fromSlot].work[prev.job] -= amount; s.slots[prev.fromSlot].work[prev.job] <= 0 {
			delete(s.slots[prev.fromSlot].work, prev.job)
		}
		i = prev.fromSlot
	}
}
