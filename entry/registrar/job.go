package registrar

import (
	"encoding/json"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// TaskState is the state of one task of a job.
type TaskState uint8

// The states of a task. A task leaves Running for Waiting only when the target
// or the transport proved that it did not start.
const (
	Waiting TaskState = iota
	Running
	Done
)

// Task is one task of a job. It is kept for every waiting task, so that what
// only running ones need has its place elsewhere.
type Task struct {
	State TaskState
}

// Hints are what a submission declares about each of its tasks.
type Hints struct {
	DeclaredRunMs    int64
	DeclaredMemoryMB int64
}

// Job is one accepted submission and what became of it. Started counts the
// tasks that may have reached a target. Asked is set once a broker was asked for
// slots, Admitted once one has taken the job up. Results is nil until the first
// result.
type Job struct {
	ID          string
	Digest      [32]byte
	Team        string
	Service     string
	RequestType string
	Priority    messenger.Priority
	Idempotent  bool
	Hints       Hints
	Received    time.Time
	Deadline    time.Time
	MaxRun      time.Duration
	Asked       bool
	Admitted    bool
	Started     int
	Payloads    []json.RawMessage
	Results     []json.RawMessage
	Tasks       []Task
	Left        int
	Waiters     []uint64
	Answer      *messenger.Answer
	Ended       time.Time
	Bytes       int64

	// place is the job's index in the heap of deadlines.
	place int
}

// Finished tells whether the job has its final answer.
func (j *Job) Finished() bool { return j.Answer != nil }

// WaitingTasks returns the indexes of the tasks that have not been started.
func (j *Job) WaitingTasks() []int {
	var list []int
	for i := range j.Tasks {
		if j.Tasks[i].State == Waiting {
			list = append(list, i)
		}
	}
	return list
}

// RunningTasks returns the number of tasks on targets.
func (j *Job) RunningTasks() int {
	n := 0
	for i := range j.Tasks {
		if j.Tasks[i].State == Running {
			n++
		}
	}
	return n
}

// Fail returns e with what the job's record says about its work: DidNotRun
// only if no task has reached a target. A job that fails is never started
// again, so the statement stays true.
func (j *Job) Fail(e *messenger.Error) *messenger.Error {
	if j.Started == 0 {
		return e.NotRun()
	}
	e.Ran = messenger.MayHaveRun
	e.SafeToResubmit = j.Idempotent
	return e
}
