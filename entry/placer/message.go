package placer

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Msg is an event for [State.Update].
type Msg interface{ isMsg() }

// Waiter names the request that waits for a job's answer.
type Waiter uint64

// Listed replaces the list of workers.
type Listed struct{ Workers []Worker }

// Claim makes this entry the owner of all workers. WallMs is the wall clock in
// Unix milliseconds, from which the first fence is made. Contested claims take
// one worker of each failure domain first, and the rest only if no other owner
// takes it back.
type Claim struct {
	WallMs int64
	// Above is the highest fence that this entry has heard of.
	Above     int64
	Contested bool
}

// Release gives up all workers. Moved tells that a successor takes over the
// jobs at once.
type Release struct {
	Moved  bool
	Reason string
}

// Submit hands in a job. Entry is the entry that holds the caller's
// connection. Placements names runs of the job under an earlier owner.
type Submit struct {
	Waiter     Waiter
	Entry      string
	Job        Job
	Placements []Placement
}

// Cancel ends a job because its caller left. Waiter is the request of Submit,
// or 0 for any.
type Cancel struct {
	JobID  string
	Waiter Waiter
}

// EntryLost cancels all jobs of an entry that was not heard for too long.
type EntryLost struct{ Entry string }

// Held is the answer to [Hold].
type Held struct {
	Worker  string
	Fence   int64
	Result  HoldResult
	ClockMs int64
	BornMs  int64
	Running []RunningRun
	Ended   []EndedRun
	// Sent and Look are those of the hold.
	Sent time.Time
	Look bool
}

// Started is the answer to [Start].
type Started struct {
	Worker  string
	Fence   int64
	Key     RunKey
	Result  StartResult
	ClockMs int64
}

// Stopped is the answer to [Stop]. OK tells that the worker confirmed it.
type Stopped struct {
	Worker string
	Key    RunKey
	OK     bool
	// Gone tells that another incarnation answered.
	Gone bool
}

// Tick lets time pass.
type Tick struct{}

// Resumed tells that the process stood still for the given time.
type Resumed struct{ Gap time.Duration }

func (Listed) isMsg()    {}
func (Claim) isMsg()     {}
func (Release) isMsg()   {}
func (Submit) isMsg()    {}
func (Cancel) isMsg()    {}
func (EntryLost) isMsg() {}
func (Held) isMsg()      {}
func (Started) isMsg()   {}
func (Stopped) isMsg()   {}
func (Tick) isMsg()      {}
func (Resumed) isMsg()   {}

// Cmd is an effect that [State.Update] asks for.
type Cmd interface{ isCmd() }

// Hold renews the leases on a worker and asks for its lists. Ends up to
// LastEnd are forgotten by the worker. UntilMs is on the worker's clock, 0 to
// renew nothing. The worker answers at an end of a run, or after Wait.
type Hold struct {
	Worker  string
	Address string
	Fence   int64
	LastEnd int64
	UntilMs int64
	Wait    time.Duration
	Sent    time.Time
	// Lag is that of [Start].
	Lag time.Duration
	// Look marks a hold beside the one that waits, to learn at once whether a
	// run exists.
	Look bool
}

// Start starts a run.
type Start struct {
	Worker  string
	Address string
	Fence   int64
	Key     RunKey
	Spec    string
	UntilMs int64
	// Lag is how far behind its clock this process runs; answers seem late by
	// as much.
	Lag time.Duration
}

// Stop stops a run, or keeps it from starting later.
type Stop struct {
	Worker  string
	Address string
	Fence   int64
	Key     RunKey
}

// Answer ends the wait of a request.
type Answer struct {
	Waiter Waiter
	Result Result
}

// Deposed tells that another owner has taken workers over.
type Deposed struct{ Worker string }

// Count adds one to a counter of the group.
type Count struct{ Group, Reason string }

// Log is one line of the log with its fields.
type Log struct {
	Text   string
	Fields map[string]any
}

func (Hold) isCmd()    {}
func (Start) isCmd()   {}
func (Stop) isCmd()    {}
func (Answer) isCmd()  {}
func (Deposed) isCmd() {}
func (Count) isCmd()   {}
func (Log) isCmd()     {}

// Result is what became of a job. Exactly one of Completed, Failed, Moved and
// Err is set.
type Result struct {
	Completed bool             `json:"completed,omitempty"`
	Failed    bool             `json:"failed,omitempty"`
	Moved     bool             `json:"moved,omitempty"`
	Err       *messenger.Error `json:"error,omitempty"`
	// Placements are the runs of a moved job.
	Placements []Placement `json:"placements,omitempty"`
}

// Outcome names the result in a word.
func (r Result) Outcome() string {
	switch {
	case r.Completed:
		return "completed"
	case r.Failed:
		return "failed"
	case r.Moved:
		return "moved"
	case r.Err != nil:
		return string(r.Err.Kind)
	default:
		return "none"
	}
}

func (r Result) reason() string {
	if r.Err == nil {
		return ""
	}
	return r.Err.Message
}

// Placement is the last start of a task under an earlier owner. Number 0 tells
// that it is not known, since that owner was lost: the job goes on if workers
// list a run of each such task.
type Placement struct {
	Task   int    `json:"task"`
	Worker string `json:"worker"`
	Number int64  `json:"number"`
	Done   bool   `json:"done,omitempty"`
}

// Unknown returns the placements of a job of n tasks whose owner was lost, given
// those that were known before.
func Unknown(n int, known []Placement) []Placement {
	list := make([]Placement, n)
	for i := range list {
		list[i].Task = i
	}
	for _, p := range known {
		if p.Done && p.Task >= 0 && p.Task < n {
			list[p.Task] = p
		}
	}
	return list
}
