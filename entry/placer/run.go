package placer

import "time"

// RunKey identifies a run, which is one start of a task. Each start of a task
// has a higher number than the one before.
type RunKey struct {
	Task   string `json:"task"`
	Number int64  `json:"number"`
}

// runState is the state of a run on a worker.
type runState int

const (
	// starting means that the start request has been sent and its outcome is
	// still pending.
	starting runState = iota
	// running means that the worker has accepted or listed the run.
	running
	// unconfirmed means that the start request ended without a conclusive answer,
	// for example by a timeout. The run may start now or later.
	unconfirmed
	// stopping means that a stop has been requested.
	stopping
)

// run is a start of a task that may occupy resources on a worker. It has no job
// if its result is no longer needed, or if it was discovered on the worker and no
// job has been matched with it yet.
type run struct {
	key             RunKey
	job             *job
	taskIndex       int
	state           runState
	resources       Resources
	expectedRunTime time.Duration
	startedAt       time.Time
	// unsized is set while the resources of the run are unknown, because it was
	// found on the worker and has not been matched with a job.
	unsized bool
	// adopted is set if the run started under a previous owner, so that its run
	// time is unknown.
	adopted         bool
	progressPercent int
	// progressAt is when progressPercent last changed.
	progressAt time.Time
	// orphanedAt is when a run without a job lost it. It is the earliest possible
	// time for a run that was found on a worker, or zero if that is unknown.
	orphanedAt time.Time
	// endBy is the time from which the leases on the worker are not renewed until the run
	// has ended, because its task may start elsewhere, or zero.
	endBy time.Time
	// stopSentAt is when the last stop request was sent, or when a stop was
	// confirmed.
	stopSentAt time.Time
	// stopAttempts is the number of stop requests sent, or -1 once a stop has
	// been confirmed.
	stopAttempts int
}

// EndKind describes how a run ended.
type EndKind string

// Ways in which a run can end.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndExpired means that the lease expired, or that the owner considers the
	// run gone although the worker did not list its end.
	EndExpired EndKind = "lapsed"
	// EndOther is any other end that a worker lists, such as those that do not
	// apply to jobs of independent tasks. The task is started again.
	EndOther EndKind = "other"
)

// StartResult is the result of a start request.
type StartResult string

// Results of a start request. All except StartAccepted and StartNoAnswer prove
// that the run does not exist and never will under this number or fence.
const (
	StartAccepted              StartResult = "accepted"
	StartNoAnswer              StartResult = "noAnswer"
	StartNotSent               StartResult = "notSent"
	StartInsufficientResources StartResult = "noRoom"
	StartFenced                StartResult = "fenced"
	StartOldNumber             StartResult = "oldNumber"
	StartLate                  StartResult = "late"
	// StartUnhealthy means that the worker refused because it reports itself
	// unhealthy.
	StartUnhealthy StartResult = "unhealthy"
	// StartWrongWorker means that another worker at the address refused.
	StartWrongWorker StartResult = "otherLife"
	// StartInvalid means that the request was rejected as malformed.
	StartInvalid StartResult = "invalid"
)

// HoldResult is the result of a hold.
type HoldResult string

// Results of a hold.
const (
	HoldAnswered HoldResult = "answered"
	HoldNoAnswer HoldResult = "noAnswer"
	// HoldRefused means that nothing listens on the address: the worker's process
	// has ended, and its runs with it.
	HoldRefused     HoldResult = "refused"
	HoldFenced      HoldResult = "fenced"
	HoldWrongWorker HoldResult = "otherLife"
)

// RunningRun is an item in a worker's list of running runs.
type RunningRun struct {
	Key     RunKey
	Percent int
}

// EndedRun is an end: an item in a worker's list of ended runs. Index counts
// the ends since the worker started, from 1.
type EndedRun struct {
	Index int64
	Key   RunKey
	Kind  EndKind
}
