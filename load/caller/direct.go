package caller

import (
	"container/heap"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/generator"
)

// Direct sends tasks straight to targets with perfect knowledge of their
// slots: one process sees every start and end. It is the reference that an
// entry's added time is measured against. Create it with [NewDirect].
type Direct struct {
	client messenger.Client

	mu      sync.Mutex
	targets []directTarget
	waiting directQueue
	arrived int
}

type directTarget struct {
	address string
	free    int
}

type directJob struct {
	job     generator.Job
	id      string
	ctx     context.Context
	order   int
	waiting []int
	left    int
	attempt Attempt
	done    chan struct{}
}

// NewDirect returns the reference for targets (IP:port) of slots slots each.
func NewDirect(transport http.RoundTripper, targets []string, slots int) *Direct {
	d := &Direct{client: messenger.Client{Transport: transport}}
	for _, t := range targets {
		d.targets = append(d.targets, directTarget{t, slots})
	}
	return d
}

// Submit implements [Submitter]. Cancellations and resubmissions do not apply.
func (d *Direct) Submit(ctx context.Context, j generator.Job, _ time.Time) Attempt {
	d.mu.Lock()
	n := len(j.RunMs)
	w := &directJob{
		job: j, id: fmt.Sprintf("direct~%d", j.Index), ctx: ctx, order: d.arrived, left: n,
		done: make(chan struct{}), attempt: Attempt{Outcome: messenger.Complete},
	}
	w.attempt.ID = w.id
	for i := range n {
		w.waiting = append(w.waiting, i)
	}
	d.arrived++
	heap.Push(&d.waiting, w)
	d.assignLocked()
	d.mu.Unlock()
	select {
	case <-w.done:
	case <-ctx.Done():
		d.abandon(w)
		<-w.done
	}
	return w.attempt
}

// assignLocked starts waiting tasks while there are free slots, each on the
// target with the most of them.
func (d *Direct) assignLocked() {
	for len(d.waiting) > 0 {
		best := 0
		for i := range d.targets {
			if d.targets[i].free > d.targets[best].free {
				best = i
			}
		}
		if d.targets[best].free == 0 {
			return
		}
		w := d.waiting[0]
		task := w.waiting[0]
		w.waiting = w.waiting[1:]
		if len(w.waiting) == 0 {
			heap.Pop(&d.waiting)
		} else {
			heap.Fix(&d.waiting, 0)
		}
		d.targets[best].free--
		go d.run(w, task, best)
	}
}

// run carries out one task and gives its slot back.
func (d *Direct) run(w *directJob, task, target int) {
	reply, err := d.client.StartTask(w.ctx, d.targets[target].address, messenger.TaskRequest{
		TaskID: taskID(w.id, task), Service: w.job.Service, RequestType: w.job.Type.Name,
		Payload: w.job.Payload(task), DeadlineInMs: w.job.DeadlineMs,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets[target].free++
	kind := messenger.Kind("")
	switch {
	case errors.Is(err, messenger.ErrNotSent):
		kind = messenger.NoTarget
	case err != nil:
		kind = messenger.TargetLost
	case reply.Error != nil:
		kind = messenger.TaskFailed
	default:
		if text := taskViolation(w.job, w.id, task, reply.Result); text != "" && w.attempt.Violation == "" {
			w.attempt.Violation = text
		}
	}
	if kind != "" {
		w.attempt.Outcome, w.attempt.Kind = messenger.Failed, kind
	}
	d.endLocked(w, 1)
	d.assignLocked()
}

// abandon drops the waiting tasks of a job whose time is over.
func (d *Direct) abandon(w *directJob) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, other := range d.waiting {
		if other == w {
			heap.Remove(&d.waiting, i)
			break
		}
	}
	if n := len(w.waiting); n > 0 {
		w.attempt.Outcome, w.attempt.Kind = messenger.Failed, messenger.DeadlineExceeded
		w.waiting = nil
		d.endLocked(w, n)
	}
}

func (d *Direct) endLocked(w *directJob, tasks int) {
	if w.left -= tasks; w.left == 0 {
		close(w.done)
	}
}

// directQueue orders jobs like the broker does: urgent first, then the fewest
// tasks to start, then by arrival.
type directQueue []*directJob

func (q directQueue) Len() int { return len(q) }
func (q directQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.job.Type.Priority != b.job.Type.Priority {
		return a.job.Type.Priority == messenger.Urgent
	}
	if len(a.waiting) != len(b.waiting) {
		return len(a.waiting) < len(b.waiting)
	}
	return a.order < b.order
}
func (q directQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for package heap.
func (q *directQueue) Push(x any) { *q = append(*q, x.(*directJob)) }

// Pop is for package heap.
func (q *directQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
