// Package registrar stores the jobs of one entry process: their ids, tasks and
// answers, within limits of time and bytes. It decides whether a submission is
// new, a resubmission or expired, and does no I/O.
package registrar

import (
	"container/heap"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Bytes held in addition to payloads and results, from the memory benchmarks
// in package dispatcher. An answer takes the job's record, its id and its
// table entries; a result the slice header and the rounding of its allocation;
// a waiting job the same as an answer plus its entries in the broker; a
// waiting task the slice header of its payload and its queue entry.
const (
	answerOverhead = 600
	jobOverhead    = 780
	resultOverhead = 32
	taskOverhead   = 48
)

// Registrar stores jobs. Create one with [New].
type Registrar struct {
	Issuer          Issuer
	AnswerRetention time.Duration
	// MaxAnswerBytes limits the bytes of kept answers.
	MaxAnswerBytes int64
	// HeldBytes counts the bytes of the payloads and answers held now.
	HeldBytes int64

	jobs          map[string]*Job
	finished      []*Job
	finishedBytes int64
	deadlines     deadlineHeap
	inProgress    int
}

// New returns an empty registrar.
func New(issuer Issuer, answerRetention time.Duration, maxAnswerBytes int64) *Registrar {
	return &Registrar{Issuer: issuer, AnswerRetention: answerRetention, MaxAnswerBytes: maxAnswerBytes, jobs: map[string]*Job{}}
}

// Find returns the job with the id, or nil.
func (r *Registrar) Find(id string) *Job { return r.jobs[id] }

// InProgress returns the number of jobs without a final answer.
func (r *Registrar) InProgress() int { return r.inProgress }

// EachInProgress calls f for every job without a final answer.
func (r *Registrar) EachInProgress(f func(*Job)) {
	for _, j := range r.jobs {
		if !j.Finished() {
			f(j)
		}
	}
}

// Add stores a job whose id was just marked as used.
func (r *Registrar) Add(j *Job) {
	j.Bytes = jobOverhead
	for _, p := range j.Payloads {
		j.Bytes += int64(len(p)) + taskOverhead
	}
	r.HeldBytes += j.Bytes
	r.inProgress++
	r.jobs[j.ID] = j
	heap.Push(&r.deadlines, j)
}

// Finish sets the final answer of j and returns its waiters. The answer and
// the digest are kept for resubmissions; payloads, task states and names are
// dropped.
func (r *Registrar) Finish(now time.Time, j *Job, answer messenger.Answer) []uint64 {
	waiters := j.Waiters
	r.inProgress--
	r.HeldBytes -= j.Bytes
	j.Bytes = answerOverhead
	for _, result := range answer.Results {
		j.Bytes += int64(len(result)) + resultOverhead
	}
	if answer.Error != nil {
		j.Bytes += int64(len(answer.Error.Message))
	}
	r.HeldBytes += j.Bytes
	j.Answer, j.FinishedAt = &answer, now
	j.Payloads, j.Results, j.Tasks, j.Waiters, j.Hints = nil, nil, nil, nil, Hints{}
	j.Team, j.Service, j.RequestType = "", "", ""
	heap.Remove(&r.deadlines, j.heapIndex)
	r.finished = append(r.finished, j)
	r.finishedBytes += j.Bytes
	r.Evict(now)
	return waiters
}

// Evict drops the oldest answers that exceed the retention or the limit of
// bytes. Their ids stay marked as used.
func (r *Registrar) Evict(now time.Time) {
	n := 0
	for n < len(r.finished) && (now.Sub(r.finished[n].FinishedAt) > r.AnswerRetention || r.finishedBytes > r.MaxAnswerBytes) {
		j := r.finished[n]
		r.finishedBytes -= j.Bytes
		r.HeldBytes -= j.Bytes
		delete(r.jobs, j.ID)
		r.finished[n] = nil
		n++
	}
	r.finished = r.finished[n:]
}

// NextOverdue returns the job in progress with the earliest deadline if that
// has passed, or nil. The caller must finish it before the next call.
func (r *Registrar) NextOverdue(now time.Time) *Job {
	if len(r.deadlines) == 0 || now.Before(r.deadlines[0].Deadline) {
		return nil
	}
	return r.deadlines[0]
}

// deadlineHeap is a [heap.Interface] of the jobs in progress, ordered by deadline.
type deadlineHeap []*Job

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(a, b int) bool { return h[a].Deadline.Before(h[b].Deadline) }

func (h deadlineHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}

func (h *deadlineHeap) Push(x any) {
	j := x.(*Job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
