package placer

import (
	"strconv"
	"time"
)

// Job is a job of one step whose tasks are independent of each other.
type Job struct {
	ID      string `json:"id"`
	Spec    string `json:"spec,omitempty"`
	Queue   string `json:"queue"`
	Service string `json:"service"`
	Tasks   int    `json:"tasks"`
	Room    Room   `json:"room"`
	// EstimateMs is the caller's guess of a task's run time.
	EstimateMs int64 `json:"estimateMs,omitempty"`
	// Label is one that the worker must have, or empty.
	Label string `json:"label,omitempty"`
	// PerWorker bounds the tasks on one worker, 0 for no bound.
	PerWorker int `json:"perWorker,omitempty"`
	// Priority 0 comes first.
	Priority    int `json:"priority"`
	MaxAttempts int `json:"maxAttempts"`
	// Stretch and TargetLatencyMs give the latency objective: Stretch times the
	// longest task, and TargetLatencyMs more.
	Stretch         float64 `json:"stretch"`
	TargetLatencyMs int64   `json:"targetLatencyMs"`
	// RemainingMs is the time that the caller still waits, from now.
	RemainingMs int64 `json:"remainingMs"`
}

// task is the state of one task of a job.
type task struct {
	done     bool
	failures int
	// hangs counts the runs that made no progress.
	hangs int
	// number is that of the last start.
	number int64
	worker string
	run    *run
	// awaits names a run under an earlier owner that no worker has listed yet;
	// number 0 stands for any run of the task.
	awaits    *RunKey
	awaitFrom time.Time
	// rival tells that another owner had the worker of the awaited run, which
	// may be done although no worker lists it.
	rival bool
}

// job is a job between its submission and its answer.
type job struct {
	Job
	waiter   Waiter
	entry    string
	arrived  time.Time
	deadline time.Time
	tasks    []task
	left     int
	// latest is when the last task has to start for the objective.
	latest  time.Time
	started bool
	// offered tells that some start of the job was sent.
	offered bool
}

func newJob(now time.Time, msg Submit) *job {
	j := &job{
		Job: msg.Job, waiter: msg.Waiter, entry: msg.Entry, arrived: now,
		deadline: now.Add(time.Duration(msg.Job.RemainingMs) * time.Millisecond),
		tasks:    make([]task, msg.Job.Tasks), left: msg.Job.Tasks,
	}
	return j
}

// taskName is the name of a task towards workers.
func (j *job) taskName(i int) string { return j.ID + ".0.0." + strconv.Itoa(i) }

// placements lists the last starts, for a successor.
func (j *job) placements() []Placement {
	var list []Placement
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done || t.number > 0 || t.awaits != nil {
			list = append(list, Placement{Task: i, Worker: t.worker, Number: t.number, Done: t.done})
		}
	}
	return list
}
