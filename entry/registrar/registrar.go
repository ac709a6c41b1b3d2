// Package registrar keeps the jobs of one entry process: their ids, their
// tasks and their answers, within limits of time and bytes. It decides whether
// a submission is new, a repeat, or too old, and does no I/O.
package registrar

import (
	"container/heap"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// What is held besides the bytes of payloads and results, from the benchmarks
// of memory in package dispatcher. An answer has the job's record, its id and
// its place in the tables; a result the slice header and the rounding of its
// allocation; a waiting job what an answer has and its places in the broker; a
// waiting task the slice header of its payload and its place in the queue.
const (
	answerOverhead = 600
	jobOverhead    = 780
	resultOverhead = 32
	taskOverhead   = 48
)

// Registrar is the set of jobs. Make one with [New].
type Registrar struct {
	Issuer     Issuer
	AnswerKeep time.Duration
	// AnswerBytes bounds the bytes of kept answers.
	AnswerBytes int64
	// Bytes counts the payloads and answers that are held now.
	Bytes int64

	jobs       map[string]*Job
	ended      []*Job
	endedBytes int64
	deadlines  deadlineHeap
	running    int
}

// New returns an empty registrar.
func New(issuer Issuer, answerKeep time.Duration, answerBytes int64) *Registrar {
	return &Registrar{Issuer: issuer, AnswerKeep: answerKeep, AnswerBytes: answerBytes, jobs: map[string]*Job{}}
}

// Find returns the job with the id, or nil.
func (r *Registrar) Find(id string) *Job { return r.jobs[id] }

// InProgress returns the number of jobs without a final answer.
func (r *Registrar) InProgress() int { return r.running }

// Each calls f for every job without a final answer.
func (r *Registrar) Each(f func(*Job)) {
	for _, j := range r.jobs {
		if !j.Finished() {
			f(j)
		}
	}
}

// Add takes up a job whose id was just marked as used.
func (r *Registrar) Add(j *Job) {
	j.Bytes = jobOverhead
	for _, p := range j.Payloads {
		j.Bytes += int64(len(p)) + taskOverhead
	}
	r.Bytes += j.Bytes
	r.running++
	r.jobs[j.ID] = j
	heap.Push(&r.deadlines, j)
}

// Finish sets the final answer of j and returns its waiters. The answer and the
// digest are kept for repeats of the submission; payloads, task states and names
// are dropped.
func (r *Registrar) Finish(now time.Time, j *Job, answer messenger.Answer) []uint64 {
	waiters := j.Waiters
	r.running--
	r.Bytes -= j.Bytes
	j.Bytes = answerOverhead
	for _, result := range answer.Results {
		j.Bytes += int64(len(result)) + resultOverhead
	}
	if answer.Error != nil {
		j.Bytes += int64(len(answer.Error.Message))
	}
	r.Bytes += j.Bytes
	j.Answer, j.Ended = &answer, now
	j.Payloads, j.Results, j.Tasks, j.Waiters, j.Hints = nil, nil, nil, nil, Hints{}
	j.Team, j.Service, j.RequestType = "", "", ""
	heap.Remove(&r.deadlines, j.place)
	r.ended = append(r.ended, j)
	r.endedBytes += j.Bytes
	r.Evict(now)
	return waiters
}

// Evict drops the oldest answers that are over the limits of time or bytes.
// Their ids stay marked as used.
func (r *Registrar) Evict(now time.Time) {
	n := 0
	for n < len(r.ended) && (now.Sub(r.ended[n].Ended) > r.AnswerKeep || r.endedBytes > r.AnswerBytes) {
		j := r.ended[n]
		r.endedBytes -= j.Bytes
		r.Bytes -= j.Bytes
		delete(r.jobs, j.ID)
		r.ended[n] = nil
		n++
	}
	r.ended = r.ended[n:]
}

// Overdue returns a job in progress whose deadline has passed, or nil. The
// caller must finish it before it asks again.
func (r *Registrar) Overdue(now time.Time) *Job {
	if len(r.deadlines) == 0 || now.Before(r.deadlines[0].Deadline) {
		return nil
	}
	return r.deadlines[0]
}

// deadlineHeap orders the jobs in progress by deadline.
type deadlineHeap []*Job

// Len is part of heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h deadlineHeap) Less(a, b int) bool { return h[a].Deadline.Before(h[b].Deadline) }

// Swap is part of heap.Interface.
func (h deadlineHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].place, h[b].place = a, b
}

// Push is part of heap.Interface.
func (h *deadlineHeap) Push(x any) {
	j := x.(*Job)
	j.place = len(*h)
	*h = append(*h, j)
}

// Pop is part of heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
