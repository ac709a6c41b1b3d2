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

// Direct sends tasks directly to targets with complete knowledge of their free
// slots, because a single process sees the start and end of every task. It is
// the baseline for the latency that entries add. Create it with [NewDirect].
type Direct struct {
	client messenger.Client

	mu        sync.Mutex
	targets   []directTarget
	queue     jobQueue
	submitted int
}

type directTarget struct {
	address   string
	freeSlots int
}

type directJob struct {
	spec       generator.Job
	id         string
	ctx        context.Context
	sequence   int
	pending    []int
	unfinished int
	attempt    Attempt
	done       chan struct{}
}

// NewDirect returns a submitter for the targets (IP:port), each with the given
// number of slots.
func NewDirect(transport http.RoundTripper, targets []string, slots int) *Direct {
	d := &Direct{client: messenger.Client{Transport: transport}}
	for _, t := range targets {
		d.targets = append(d.targets, directTarget{t, slots})
	}
	return d
}

// Submit implements [Submitter]. It ignores cancellations and resubmissions.
func (d *Direct) Submit(ctx context.Context, j generator.Job, _ time.Time) Attempt {
	d.mu.Lock()
	n := len(j.RunMs)
	job := &directJob{
		spec: j, id: fmt.Sprintf("direct~%d", j.Index), ctx: ctx, sequence: d.submitted, unfinished: n,
		done: make(chan struct{}), attempt: Attempt{Outcome: messenger.Complete},
	}
	job.attempt.ID = job.id
	for i := range n {
		job.pending = append(job.pending, i)
	}
	d.submitted++
	heap.Push(&d.queue, job)
	d.dispatchLocked()
	d.mu.Unlock()
	select {
	case <-job.done:
	case <-ctx.Done():
		d.dropPending(job)
		<-job.done
	}
	return job.attempt
}

// dispatchLocked starts queued tasks while there are free slots, each on the
// target with the most free slots.
func (d *Direct) dispatchLocked() {
	for len(d.queue) > 0 {
		best := 0
		for i := range d.targets {
			if d.targets[i].freeSlots > d.targets[best].freeSlots {
				best = i
			}
		}
		if d.targets[best].freeSlots == 0 {
			return
		}
		job := d.queue[0]
		task := job.pending[0]
		job.pending = job.pending[1:]
		if len(job.pending) == 0 {
			heap.Pop(&d.queue)
		} else {
			heap.Fix(&d.queue, 0)
		}
		d.targets[best].freeSlots--
		go d.runTask(job, task, best)
	}
}

// runTask runs one task on a target and releases its slot.
func (d *Direct) runTask(job *directJob, task, target int) {
	reply, err := d.client.StartTask(job.ctx, d.targets[target].address, messenger.TaskRequest{
		TaskID: taskID(job.id, task), Service: job.spec.Service, RequestType: job.spec.Type.Name,
		Payload: job.spec.Payload(task), DeadlineInMs: job.spec.DeadlineMs,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets[target].freeSlots++
	kind := messenger.ErrorKind("")
	switch {
	case errors.Is(err, messenger.ErrNotSent):
		kind = messenger.NoTarget
	case err != nil:
		kind = messenger.TargetLost
	case reply.Error != nil:
		kind = messenger.TaskFailed
	default:
		if text := taskViolation(job.spec, job.id, task, reply.Result); text != "" && job.attempt.Violation == "" {
			job.attempt.Violation = text
		}
	}
	if kind != "" {
		job.attempt.Outcome, job.attempt.Kind = messenger.Failed, kind
	}
	d.completeTasksLocked(job, 1)
	d.dispatchLocked()
}

// dropPending drops the tasks of a job that have not started when its context
// ends. If there are any, the job fails with DeadlineExceeded.
func (d *Direct) dropPending(job *directJob) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, other := range d.queue {
		if other == job {
			heap.Remove(&d.queue, i)
			break
		}
	}
	if n := len(job.pending); n > 0 {
		job.attempt.Outcome, job.attempt.Kind = messenger.Failed, messenger.DeadlineExceeded
		job.pending = nil
		d.completeTasksLocked(job, n)
	}
}

func (d *Direct) completeTasksLocked(job *directJob, tasks int) {
	if job.unfinished -= tasks; job.unfinished == 0 {
		close(job.done)
	}
}

// jobQueue orders jobs: urgent jobs first, then jobs with the fewest tasks left
// to start, then by arrival. The broker's default order of jobs of the same
// priority is similar, but also counts the tasks that already have a slot.
type jobQueue []*directJob

func (q jobQueue) Len() int { return len(q) }
func (q jobQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.spec.Type.Priority != b.spec.Type.Priority {
		return a.spec.Type.Priority == messenger.Urgent
	}
	if len(a.pending) != len(b.pending) {
		return len(a.pending) < len(b.pending)
	}
	return a.sequence < b.sequence
}
func (q jobQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements [heap.Interface].
func (q *jobQueue) Push(x any) { *q = append(*q, x.(*directJob)) }

// Pop implements [heap.Interface].
func (q *jobQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
