package placer

import "time"

// RunKey names one start of one task.
type RunKey struct {
	Task   string `json:"task"`
	Number int64  `json:"number"`
}

// runState is the state of a run on a worker.
type runState int

const (
	// starting runs have been sent and are not answered.
	starting runState = iota
	// running runs were accepted or listed by the worker.
	running
	// unsure runs got no answer: they may run now or later.
	unsure
	// stopping runs are being stopped.
	stopping
)

// run is a start of a task that may occupy room on a worker. A run of no job
// was found on the worker.
type run struct {
	key   RunKey
	job   *job
	task  int
	state runState
	room  Room
	// expected is the expected run time.
	expected time.Duration
	since    time.Time
	// adopted runs began under an earlier owner, so their run time is unknown.
	adopted bool
	percent int
	// progressAt is when percent last changed.
	progressAt time.Time
	stopSent   time.Time
	stopTries  int
}

// EndKind tells how a run ended, as its worker lists it.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	// EndOther is any way that doesn't concern jobs of independent tasks.
	EndOther EndKind = "other"
)

// StartResult is what came of sending a start.
type StartResult string

// The results of a start. All but StartAccepted and StartNoAnswer prove that
// the run does not exist and never will under this number or fence.
const (
	StartAccepted  StartResult = "accepted"
	StartNoAnswer  StartResult = "noAnswer"
	StartNotSent   StartResult = "notSent"
	StartNoRoom    StartResult = "noRoom"
	StartFenced    StartResult = "fenced"
	StartOldNumber StartResult = "oldNumber"
	StartLate      StartResult = "late"
	// StartUnhealthy is a refusal by a worker that says it is not well.
	StartUnhealthy StartResult = "unhealthy"
	// StartOtherLife is a refusal by another incarnation at the address.
	StartOtherLife StartResult = "otherLife"
	// StartInvalid is a refusal for a malformed order.
	StartInvalid StartResult = "invalid"
)

// HoldResult is what came of renewing the leases of a worker.
type HoldResult string

// The results of a hold.
const (
	HoldAnswered  HoldResult = "answered"
	HoldNoAnswer  HoldResult = "noAnswer"
	HoldFenced    HoldResult = "fenced"
	HoldOtherLife HoldResult = "otherLife"
)

// RunningRun is a row of a worker's list of runs.
type RunningRun struct {
	Key     RunKey
	Percent int
}

// EndedRun is a row of a worker's list of ended runs. Index counts the ends of
// one life of the worker.
type EndedRun struct {
	Index int64
	Key   RunKey
	How   EndKind
}
