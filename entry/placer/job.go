package placer

import (
	"strconv"
	"time"
)

// Job is a single-step job whose tasks are independent of each other.
type Job struct {
	ID   string `json:"id"`
	Spec string `json:"spec,omitempty"`
	// Queue is the name of the configured queue that the job belongs to. The
	// list of jobs that wait for workers is State.waiting.
	Queue     string    `json:"queue"`
	Service   string    `json:"service"`
	Tasks     int       `json:"tasks"`
	Resources Resources `json:"room"`
	// EstimateMs is the caller's estimate of a task's run time.
	EstimateMs int64 `json:"estimateMs,omitempty"`
	// Label is a label the worker must have, or empty for any worker.
	Label string `json:"label,omitempty"`
	// PerWorker limits the number of tasks on one worker; 0 means no limit.
	PerWorker int `json:"perWorker,omitempty"`
	// Priority 0 is the highest priority.
	Priority    int `json:"priority"`
	MaxAttempts int `json:"maxAttempts"`
	// Stretch and TargetLatencyMs define the latency objective: Stretch times
	// the run time of the longest task, plus TargetLatencyMs.
	Stretch         float64 `json:"stretch"`
	TargetLatencyMs int64   `json:"targetLatencyMs"`
	// RemainingMs is how much longer the caller waits, counted from now.
	RemainingMs int64 `json:"remainingMs"`
}

// task holds the state of one task of a job.
type task struct {
	done     bool
	failures int
	// hungRuns counts the runs that stopped making progress.
	hungRuns int
	// lastRunNumber is the run number of the last start.
	lastRunNumber int64
	workerID      string
	run           *run
	// awaitedRun is a run, started by a previous owner or on a worker that
	// another owner took over, that the job waits for. It has not been matched
	// with a run or an end reported in the response to a hold yet. Number 0
	// matches any run of the task.
	awaitedRun    *RunKey
	awaitingSince time.Time
	// ownerConflict is set if another owner took over the worker of the awaited
	// run. The run may then have completed although no worker lists it.
	ownerConflict bool
}

// job holds the state of a job from submission to its answer.
type job struct {
	Job
	waiter         Waiter
	entry          string
	submittedAt    time.Time
	deadline       time.Time
	tasks          []task
	remainingTasks int
	// latestStart is submittedAt plus the value of maxQueueWait at that time. A
	// job that is still in the queue then is refused if it has not started.
	latestStart time.Time
	// started is set once a task of the job has been placed, by this owner or a
	// previous one. Started jobs come first in the queue.
	started bool
	// startRequested is set once a start request for any task of the job has
	// been sent to a worker, by this owner or a previous one. From then on the
	// job may have run.
	startRequested bool
}

func newJob(now time.Time, msg Submit) *job {
	j := &job{
		Job: msg.Job, waiter: msg.Waiter, entry: msg.Entry, submittedAt: now,
		deadline: now.Add(time.Duration(msg.Job.RemainingMs) * time.Millisecond),
		tasks:    make([]task, msg.Job.Tasks), remainingTasks: msg.Job.Tasks,
	}
	return j
}

// taskName returns the name that identifies a task to workers: the ID of the
// job, ".0.0." and the index of the task.
func (j *job) taskName(i int) string { return j.ID + ".0.0." + strconv.Itoa(i) }

// placements returns the last start of each task, for the next owner.
func (j *job) placements() []Placement {
	var list []Placement
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done || t.lastRunNumber > 0 || t.awaitedRun != nil {
			list = append(list, Placement{Task: i, Worker: t.workerID, Number: t.lastRunNumber, Done: t.done})
		}
	}
	return list
}
