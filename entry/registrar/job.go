package registrar

import (
	"encoding/json"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// TaskState is the state of one task of a job.
type TaskState uint8

// The states of a task. A task returns from Running to Waiting only if the
// target or the transport proved that it did not start.
const (
	Waiting TaskState = iota
	Running
	Done
)

// Task is one task of a job. One is kept for every waiting task, so data that
// only running tasks need is stored elsewhere.
type Task struct {
	State TaskState
}

// Hints are the run time and memory that a submission declares for each of its
// tasks.
type Hints struct {
	DeclaredRunMs    int64
	DeclaredMemoryMB int64
}

// Job is a submission and its progress. StartedTasks counts the tasks that may
// have reached a target. SlotsRequested is set once slots were requested from
// a broker, Admitted once a broker admitted the job. Results is nil until the
// first result. Waiters holds the numbers of the requests that wait for the answer
// (see dispatcher.Waiter).
type Job struct {
	ID              string
	Digest          [32]byte
	Team            string
	Service         string
	RequestType     string
	Priority        messenger.Priority
	Idempotent      bool
	Hints           Hints
	ReceivedAt      time.Time
	Deadline        time.Time
	MaxRun          time.Duration
	SlotsRequested  bool
	Admitted        bool
	StartedTasks    int
	Payloads        []json.RawMessage
	Results         []json.RawMessage
	Tasks           []Task
	UnfinishedTasks int
	Waiters         []uint64
	Answer          *messenger.Answer
	FinishedAt      time.Time
	Bytes           int64

	// heapIndex is the job's index in the deadline heap.
	heapIndex int
}

// Finished reports whether the job has its final answer.
func (j *Job) Finished() bool { return j.Answer != nil }

// WaitingTaskIndexes returns the indexes of the tasks that are waiting for a
// start.
func (j *Job) WaitingTaskIndexes() []int {
	var list []int
	for i := range j.Tasks {
		if j.Tasks[i].State == Waiting {
			list = append(list, i)
		}
	}
	return list
}

// RunningTaskCount returns the number of tasks running on targets.
func (j *Job) RunningTaskCount() int {
	n := 0
	for i := range j.Tasks {
		if j.Tasks[i].State == Running {
			n++
		}
	}
	return n
}

// SetRan sets in e whether the work of the job may have run and whether it is
// safe to resubmit, and returns e. It reports DidNotRun only if no task has
// reached a target. A failed job is never started again, so the statement stays
// true.
func (j *Job) SetRan(e *messenger.Error) *messenger.Error {
	if j.StartedTasks == 0 {
		return e.WithDidNotRun()
	}
	e.Ran = messenger.MayHaveRun
	e.SafeToResubmit = j.Idempotent
	return e
}
