package placer

import (
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxTasks is the maximum number of tasks of a job. The largest jobs have
	// about 1,300.
	maxTasks = 10_000
	// maxAmount limits the CPU and memory of a task, so that sums over all tasks
	// do not overflow.
	maxAmount = 1 << 40
	// maxTimeMs limits times in a job to a day.
	maxTimeMs = 24 * 60 * 60 * 1000
)

// Job is a single-step job whose tasks are independent of each other.
type Job struct {
	ID   string `json:"id"`
	Spec string `json:"spec,omitempty"`
	// Queue is the name of the configured queue that the job belongs to. The
	// list of jobs that wait for workers is State.waiting.
	Queue string `json:"queue"`
	// ConfigVersion is the version of the configuration by which the queue was
	// found, or 0 if it is unknown.
	ConfigVersion int64     `json:"configVersion,omitempty"`
	Service       string    `json:"service"`
	Tasks         int       `json:"tasks"`
	Resources     Resources `json:"room"`
	// GuardedCapacity is set if the workers refuse starts that exceed their capacity.
	GuardedCapacity bool `json:"guardedCapacity,omitempty"`
	// EstimateMs is the caller's estimate of a task's run time.
	EstimateMs int64 `json:"estimateMs,omitempty"`
	// Label is a label the worker must have, or empty for any worker.
	Label string `json:"label,omitempty"`
	// Rack is the rack closest to the data of the job, or empty. Tasks run on other
	// racks too, but take longer there.
	Rack string `json:"rack,omitempty"`
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

// Validate returns an error if a field of the job is out of range. Every job from
// a caller or another entry must be validated before it is submitted: memory is
// allocated for each of its tasks.
func (j Job) Validate() error {
	inRange := func(v, most int64) bool { return v >= 0 && v <= most }
	r := j.Resources
	switch {
	case j.Tasks < 1 || j.Tasks > maxTasks:
		return errors.Newf("the job has %d tasks, want 1 to %d", j.Tasks, maxTasks)
	case !inRange(r.CPU, maxAmount) || !inRange(r.Mem, maxAmount) || !inRange(r.GPU, maxAmount):
		return errors.Newf("a task needs CPU %d, memory %d and %d accelerators, want 0 to %d each", r.CPU, r.Mem, r.GPU, int64(maxAmount))
	case !inRange(j.EstimateMs, maxTimeMs):
		return errors.Newf("the estimated run time is %d ms, want 0 to %d", j.EstimateMs, maxTimeMs)
	case !inRange(j.RemainingMs, maxTimeMs):
		return errors.Newf("the caller waits %d ms, want 0 to %d", j.RemainingMs, maxTimeMs)
	case !inRange(j.TargetLatencyMs, maxTimeMs):
		return errors.Newf("the latency objective is %d ms, want 0 to %d", j.TargetLatencyMs, maxTimeMs)
	case math.IsNaN(j.Stretch) || j.Stretch < 0 || j.Stretch > maxTimeMs:
		return errors.Newf("the stretch is %v, want 0 to %d", j.Stretch, maxTimeMs)
	case j.PerWorker < 0:
		return errors.Newf("the limit per worker is %d, want 0 or more", j.PerWorker)
	}
	return nil
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
	// resumedAt is when the job was resumed without known runs, or zero. Until every
	// worker has listed its runs since then, the task may have one that this owner does
	// not know.
	resumedAt time.Time
	// ownerConflict is set if another owner took over the worker of the awaited
	// run. The run may then have completed although no worker lists it.
	ownerConflict bool
}

// job holds the state of a job from submission to its answer.
type job struct {
	Job
	waiter Waiter
	entry  string
	// receivedAt is when the job last arrived from its entry, and attestedAt the last
	// time at which that entry is known to have waited for it, or zero if the entry
	// does not attest its jobs.
	receivedAt, attestedAt time.Time

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
	// pressure is that of the job's arrival, and judged is set from then until its first
	// start or refusal.
	pressure float64
	judged   bool
	// forecastRunTime is the expected run time of a task when the job was admitted.
	forecastRunTime time.Duration
	// refusedBy is the rule that refused the job, or empty.
	refusedBy string
}

func newJob(now time.Time, msg Submit) *job {
	return &job{
		Job: msg.Job, waiter: msg.Waiter, entry: msg.Entry, receivedAt: msg.arrivedAt(now), attestedAt: msg.AttestedAt, submittedAt: msg.arrivedAt(now), deadline: msg.deadline(now),
		tasks: make([]task, msg.Job.Tasks), remainingTasks: msg.Job.Tasks,
	}
}

// taskName returns the name that identifies a task to workers: the ID of the
// job, ".0.0." and the index of the task.
func (j *job) taskName(i int) string { return j.ID + ".0.0." + strconv.Itoa(i) }

// placements returns the last start of each task, and its starts without an answer, for
// the next owner.
func (s *State) placements(now time.Time, j *job) []Placement {
	var list []Placement
	for i := range j.tasks {
		t := &j.tasks[i]
		lateStarts := s.lateStarts.of(now, j.ID, i)
		if t.done || t.lastRunNumber > 0 || t.awaitedRun != nil || len(lateStarts) > 0 {
			list = append(list, Placement{
				Task: i, Worker: t.workerID, Number: t.lastRunNumber, Done: t.done, Ended: t.run == nil && t.awaitedRun == nil,
				Failures: t.failures, HungRuns: t.hungRuns, LateStarts: lateStarts,
			})
		}
	}
	return list
}
