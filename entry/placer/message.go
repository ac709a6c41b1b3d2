package placer

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Msg is an event handled by [State.Update].
type Msg interface{ isMsg() }

// Waiter identifies the request that waits for a job's answer.
type Waiter uint64

// WorkersListed replaces the list of workers.
type WorkersListed struct{ Workers []Worker }

// Claim makes this entry the owner of all workers, or makes an owner reclaim
// those that another owner took over. The placer then claims each worker by
// sending it a [Hold] with this entry's fence. WallMs is the wall clock in Unix
// milliseconds, from which the first fence is derived.
//
// Contested is set if another owner may exist. One worker of each failure
// domain is then claimed first, and the others only if no other owner reclaims
// that worker.
type Claim struct {
	WallMs int64
	// HighestKnownFence is the highest fence known to this entry.
	HighestKnownFence int64
	Contested         bool
	// PreviousOwnerHeardAt is when this entry last heard the owner that it replaces, or
	// when the first run that may still be in progress had lost its job by then, if that
	// is earlier. It is zero if this entry heard no owner.
	PreviousOwnerHeardAt time.Time
}

// Release gives up all workers. Moved is set if another owner takes over the
// jobs immediately.
type Release struct {
	Moved  bool
	Reason string
}

// Submit submits a job. Entry is the entry that holds the caller's connection.
// Placements lists the runs of the job under a previous owner. QueuedAt is when
// the job arrived at this process, or zero if it is handled at once.
type Submit struct {
	Waiter     Waiter
	QueuedAt   time.Time
	Entry      string
	Job        Job
	Placements []Placement
	// AttestedAt is a time at which the entry was alive and about to send the job, or
	// waited for it, or zero if the entry does not attest its jobs.
	AttestedAt time.Time
	// MayMove is set if the entry can offer the job to other groups. Elsewhere is the
	// name of one in which the whole job fits, or empty; only a job that may move has it.
	MayMove   bool
	Elsewhere string
	// Offered is set if the job is of another group. Spent is the time since the caller's
	// request arrived, of a job that was offered to other groups.
	Offered bool
	Spent   time.Duration
}

// arrivedAt returns when the job arrived at this process.
func (m Submit) arrivedAt(now time.Time) time.Time {
	if m.QueuedAt.IsZero() {
		return now
	}
	return m.QueuedAt
}

// deadline returns when the caller stops waiting.
func (m Submit) deadline(now time.Time) time.Time {
	return m.arrivedAt(now).Add(time.Duration(m.Job.RemainingMs) * time.Millisecond)
}

// Cancel cancels a job because its caller requested it or disconnected. If
// Waiter is set, it identifies the request to cancel: a job that has since been
// resubmitted has another waiter and continues. 0 cancels the job in any case.
type Cancel struct {
	JobID  string
	Waiter Waiter
}

// EntryLost cancels all jobs of an entry that has not been heard from for too
// long.
type EntryLost struct{ Entry string }

// JobsAttested reports that an entry was alive at the given time and waited for these
// jobs here, and for no others that it had sent by then. Jobs is in ascending order.
type JobsAttested struct {
	Entry string
	At    time.Time
	Jobs  []string
}

// HoldResponse is the response to a [Hold].
type HoldResponse struct {
	Worker      string
	Fence       int64
	Result      HoldResult
	ClockMs     int64
	StartedAtMs int64
	Running     []RunningRun
	Ended       []EndedRun
	// Sent and Probe are copied from the hold.
	Sent  time.Time
	Probe bool
}

// StartResponse is the response to a [Start].
type StartResponse struct {
	Worker  string
	Fence   int64
	Key     RunKey
	Result  StartResult
	ClockMs int64
}

// StopResponse is the response to a [Stop]. OK is set if the worker confirmed
// the stop.
type StopResponse struct {
	Worker string
	Key    RunKey
	OK     bool
	// WrongWorker is set if another worker responded at the address.
	WrongWorker bool
}

// CrashesReported adds crashes that another entry knows.
type CrashesReported struct{ Crashes []Crash }

// Tick triggers the handling of timeouts and retries. ResponseTime is how long
// workers currently take to respond, network and queues included.
type Tick struct{ ResponseTime time.Duration }

// ProcessResumed reports that the process was suspended for the given time.
type ProcessResumed struct{ Gap time.Duration }

func (WorkersListed) isMsg()   {}
func (Claim) isMsg()           {}
func (Release) isMsg()         {}
func (Submit) isMsg()          {}
func (Cancel) isMsg()          {}
func (EntryLost) isMsg()       {}
func (JobsAttested) isMsg()    {}
func (HoldResponse) isMsg()    {}
func (StartResponse) isMsg()   {}
func (StopResponse) isMsg()    {}
func (CrashesReported) isMsg() {}
func (Tick) isMsg()            {}
func (ProcessResumed) isMsg()  {}

// Cmd is an effect requested by [State.Update].
type Cmd interface{ isCmd() }

// Hold renews the leases on a worker and requests its lists of running and ended
// runs. The worker discards ends up to LastEnd. UntilMs is the lease expiry on
// the worker's clock, or 0 to renew nothing. The worker keeps the request open
// and responds when a run ends or after Wait.
type Hold struct {
	Worker  string
	Address string
	Fence   int64
	LastEnd int64
	UntilMs int64
	Wait    time.Duration
	Sent    time.Time
	// Extension has the same meaning as in [Start].
	Extension time.Duration
	// Probe marks an additional hold, sent while another one is pending, that
	// finds out immediately whether a run exists.
	Probe bool
}

// Start requests the start of a run.
type Start struct {
	Worker  string
	Address string
	Fence   int64
	Key     RunKey
	Spec    string
	UntilMs int64
	// Extension is how much the timeout of the request is extended because this
	// process or its network link is slow. It is set when the request is sent.
	Extension time.Duration
}

// Stop requests the stop of a run, or prevents it from starting later.
type Stop struct {
	Worker  string
	Address string
	Fence   int64
	Key     RunKey
	// Extension has the same meaning as in [Start].
	Extension time.Duration
}

// Answer completes a waiting request.
type Answer struct {
	Waiter Waiter
	Result Result
}

// WorkerTakenOver reports that another owner has taken over a worker.
type WorkerTakenOver struct{ Worker string }

// CrashesChanged reports that [State.Crashes] has changed.
type CrashesChanged struct{}

// Count increments the counter for Reason in a group of metrics.
type Count struct{ Group, Reason string }

// Log is a log line with its fields.
type Log struct {
	Text   string
	Fields map[string]any
}

func (Hold) isCmd()            {}
func (Start) isCmd()           {}
func (Stop) isCmd()            {}
func (Answer) isCmd()          {}
func (WorkerTakenOver) isCmd() {}
func (CrashesChanged) isCmd()  {}
func (Count) isCmd()           {}
func (Log) isCmd()             {}

// Result is the outcome of a job. Exactly one of Completed, Failed, Cancelled, Moved,
// Elsewhere and Err is set.
type Result struct {
	Completed bool `json:"completed,omitempty"`
	Failed    bool `json:"failed,omitempty"`
	// Cancelled is set if the caller cancelled the job.
	Cancelled bool `json:"cancelled,omitempty"`
	Moved     bool `json:"moved,omitempty"`
	// Elsewhere names another group in which the job fits. This owner has not accepted
	// the job and has sent no start of it.
	Elsewhere string           `json:"elsewhere,omitempty"`
	Err       *messenger.Error `json:"error,omitempty"`
	// Placements lists the runs of a moved job.
	Placements []Placement `json:"placements,omitempty"`
}

// Outcome returns a one-word name for the result.
func (r Result) Outcome() string {
	switch {
	case r.Completed:
		return "completed"
	case r.Failed:
		return "failed"
	case r.Cancelled:
		return "cancelled"
	case r.Moved:
		return "moved"
	case r.Elsewhere != "":
		return "elsewhere"
	case r.Err != nil:
		return string(r.Err.Kind)
	default:
		return "none"
	}
}

func (r Result) errorMessage() string {
	if r.Err == nil {
		return ""
	}
	return r.Err.Message
}

// Placement is the last start of a task under a previous owner. Number is 0 if
// it is unknown because that owner was lost; the job then continues only if
// workers list a run for each such task.
type Placement struct {
	Task   int    `json:"task"`
	Worker string `json:"worker"`
	Number int64  `json:"number"`
	Done   bool   `json:"done,omitempty"`
	// Ended is set if the run is over and counted in Failures if it failed. The task
	// has to be started again.
	Ended bool `json:"ended,omitempty"`
	// Failures and HungRuns count the runs that failed or made no progress.
	Failures int `json:"failures,omitempty"`
	HungRuns int `json:"hungRuns,omitempty"`
	// LateStarts are the starts of the task that got no answer.
	LateStarts []LateStart `json:"lateStarts,omitempty"`
}

// LateStart is a start request that a worker may still execute. AgeMs is how long ago
// it was sent.
type LateStart struct {
	Worker string `json:"worker"`
	Number int64  `json:"number"`
	AgeMs  int64  `json:"ageMs"`
}

// UnknownPlacements returns the placements of a job of n tasks whose owner was
// lost. What is known about done tasks, earlier attempts and starts without an answer
// stays.
func UnknownPlacements(n int, known []Placement) []Placement {
	list := make([]Placement, n)
	for i := range list {
		list[i].Task = i
	}
	for _, p := range known {
		switch {
		case p.Task < 0 || p.Task >= n:
		case p.Done:
			list[p.Task] = p
		default:
			list[p.Task].Failures, list[p.Task].HungRuns, list[p.Task].LateStarts = p.Failures, p.HungRuns, p.LateStarts
		}
	}
	return list
}
