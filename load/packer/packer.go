// Package packer works out the most of a day's jobs that any dispatcher could
// have served in time. It reads the log of entries on
// the operators' platform.
package packer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slot is the precision of the timeline.
	slot = 20 * time.Millisecond
	// overhead is the part of a job's latency that is neither waiting nor work.
	overhead = 15 * time.Millisecond
	// targetLatency and stretch give the latency objective of the deployments
	// that were measured: 60 ms and 1.6 times the longest task.
	targetLatency = 60 * time.Millisecond
	stretch       = 1.6
	// baseCredit is the part of a job's credit that does not depend on its size,
	// and maxCredit the most that a job is worth, both as the platform's users
	// count them.
	baseCredit = 0.3
	maxCredit  = 4
)

// Job is a job of independent tasks. CPU is the need of a task in thousandths
// of a core.
type Job struct {
	ID        string
	Queue     string
	Arrived   time.Time
	Tasks     int
	CPU       int64
	Expected  time.Duration
	Completed bool
	credit    float64
}

func (j *Job) work() float64 { return float64(j.Tasks) * float64(j.CPU) * j.Expected.Seconds() }

// Share is what became of the jobs of a queue, as shares of their credit.
type Share struct {
	Queue     string  `json:"queue"`
	Jobs      int     `json:"jobs"`
	Completed float64 `json:"completed"`
	Bound     float64 `json:"bound"`
}

// Pack returns what was completed, and what the most credit is for which the
// workers have room in time if each queue's credit counts the same. It is an
// upper bound: tasks may be cut into pieces of any size and moved between
// workers, a part of a job earns its part of the credit, and no worker is lost.
//
// The work that can be done between arrival and objective of each job is a
// polymatroid, so taking the jobs by credit for a core-second is optimal.
func Pack(jobs []Job, rooms []int64) []Share {
	if len(jobs) == 0 {
		return nil
	}
	queues := weigh(jobs)
	first := jobs[0].Arrived
	order := make([]*Job, len(jobs))
	for i := range jobs {
		order[i] = &jobs[i]
		if jobs[i].Arrived.Before(first) {
			first = jobs[i].Arrived
		}
	}
	slices.SortStableFunc(order, func(a, b *Job) int {
		return cmp.Compare(b.credit/queues[b.Queue].credit/b.work(), a.credit/queues[a.Queue].credit/a.work())
	})
	t := timeline{start: first}
	for _, room := range rooms {
		t.capacity += float64(room) * slot.Seconds()
	}
	for _, j := range order {
		q := queues[j.Queue]
		if j.Completed {
			q.Completed += j.credit / q.credit
		}
		q.Bound += j.credit / q.credit * t.place(j) / j.work()
	}
	var shares []Share
	for _, q := range queues {
		shares = append(shares, q.Share)
	}
	slices.SortFunc(shares, func(a, b Share) int { return cmp.Compare(a.Queue, b.Queue) })
	return shares
}

type queue struct {
	Share
	credit float64
}

// weigh sets the credit of each job and returns the sums by queue.
func weigh(jobs []Job) map[string]*queue {
	queues := map[string]*queue{}
	work := map[string]float64{}
	for i := range jobs {
		j := &jobs[i]
		j.Expected = max(j.Expected, slot)
		if queues[j.Queue] == nil {
			queues[j.Queue] = &queue{Share: Share{Queue: j.Queue}}
		}
		queues[j.Queue].Jobs++
		work[j.Queue] += j.work()
	}
	for i := range jobs {
		j := &jobs[i]
		q := queues[j.Queue]
		j.credit = min(maxCredit, baseCredit+(1-baseCredit)*j.work()*float64(q.Jobs)/work[j.Queue])
		q.credit += j.credit
	}
	return queues
}

// timeline is the work of jobs in each slot.
type timeline struct {
	start time.Time
	// capacity is the work that fits into a slot.
	capacity float64
	slots    []slotState
}

type slotState struct {
	used float64
	// work is that of each job in the slot.
	work map[*placed]float64
	// full slots can't give room to any further job: all work in them is of
	// jobs that have no other slots.
	full bool
}

// placed is a job with the slots from its arrival to its objective.
type placed struct{ from, to int }

// place gives a job as much work as there is room for, moving others within
// their times, and returns the amount.
func (t *timeline) place(j *Job) float64 {
	p := &placed{from: int(j.Arrived.Sub(t.start) / slot)}
	p.to = p.from + int((targetLatency+time.Duration(stretch*float64(j.Expected))-overhead)/slot) + 1
	for len(t.slots) <= p.to {
		t.slots = append(t.slots, slotState{work: map[*placed]float64{}})
	}
	want := j.work()
	left := want
	for left > epsilon*want {
		moved := t.augment(p, left)
		if moved == 0 {
			break
		}
		left -= moved
	}
	return want - left
}

// epsilon is the share of a job's work that counts as none.
const epsilon = 1e-6

// step is how a slot was reached: by moving work of a job from another slot.
type step struct {
	job  *placed
	from int
}

// augment finds room for at most want of p's work by the shortest chain of
// moves and returns the amount it found, 0 if there is none.
func (t *timeline) augment(p *placed, want float64) float64 {
	reached := map[int]step{}
	var queue []int
	visit := func(job *placed, from int) {
		for i := job.from; i <= job.to; i++ {
			if _, ok := reached[i]; !ok && !t.slots[i].full {
				reached[i] = step{job, from}
				queue = append(queue, i)
			}
		}
	}
	visit(p, -1)
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		if free := t.capacity - t.slots[i].used; free > epsilon*t.capacity {
			return t.move(reached, i, min(want, free))
		}
		for job := range t.slots[i].work {
			visit(job, i)
		}
	}
	for i := range reached {
		t.slots[i].full = true
	}
	return 0
}

// move shifts work along the chain that ends at slot last.
func (t *timeline) move(reached map[int]step, last int, amount float64) float64 {
	for i := last; ; {
		s := reached[i]
		if s.from < 0 {
			break
		}
		amount = min(amount, t.slots[s.from].work[s.job])
		i = s.from
	}
	t.slots[last].used += amount
	for i := last; ; {
		s := reached[i]
		t.slots[i].work[s.job] += amount
		if s.from < 0 {
			return amount
		}
		if t.slots[s.from].work[s.job] -= amount; t.slots[s.from].work[s.job] <= 0 {
			delete(t.slots[s.from].work, s.job)
		}
		i = s.from
	}
}
