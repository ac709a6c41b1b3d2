package messenger

import "net/http"

// Kind names a reason why a request was refused or failed. The kinds in this
// file are the only ones; [KindInfo] gives the answer that belongs to each.
type Kind string

// The closed list of kinds.
const (
	BadRequest         Kind = "badRequest"
	TooLarge           Kind = "tooLarge"
	NotFound           Kind = "notFound"
	UnknownService     Kind = "unknownService"
	UnknownTeam        Kind = "unknownTeam"
	Forbidden          Kind = "forbidden"
	BadID              Kind = "badId"
	IDConflict         Kind = "idConflict"
	IDExpired          Kind = "idExpired"
	OwnerGone          Kind = "ownerGone"
	OwnerUnreachable   Kind = "ownerUnreachable"
	NeverRunnable      Kind = "neverRunnable"
	DeadlineUnmeetable Kind = "deadlineUnmeetable"
	OverQuota          Kind = "overQuota"
	AllowanceSpent     Kind = "allowanceSpent"
	Overloaded         Kind = "overloaded"
	NoTarget           Kind = "noTarget"
	Draining           Kind = "draining"
	NotReady           Kind = "notReady"
	DeadlineExceeded   Kind = "deadlineExceeded"
	TaskFailed         Kind = "taskFailed"
	TargetLost         Kind = "targetLost"
	Cancelled          Kind = "cancelled"
	Internal           Kind = "internal"
)

// Ran tells what is known about the work of a request that got no answer.
type Ran string

// The values of Ran. DidNotRun is a promise: no task of the request has
// reached a target, or ever will. JobDecides appears only in the table of
// kinds, for kinds where the record of the job decides.
const (
	DidNotRun  Ran = "didNotRun"
	MayHaveRun Ran = "mayHaveRun"
	JobDecides Ran = "jobDecides"
)

// Info is the answer that belongs to a kind: the HTTP status, what is known
// about the work, whether sending the request again later can help, and the
// message used where no better one is known.
type Info struct {
	Status  int
	Ran     Ran
	Retry   bool
	Message string
}

var kinds = map[Kind]Info{
	BadRequest:         {http.StatusBadRequest, DidNotRun, false, "the request is malformed"},
	TooLarge:           {http.StatusRequestEntityTooLarge, DidNotRun, false, "the request is over a size limit"},
	NotFound:           {http.StatusNotFound, JobDecides, false, "no such path or job"},
	UnknownService:     {http.StatusNotFound, DidNotRun, false, "the configuration has no such service or request type"},
	UnknownTeam:        {http.StatusForbidden, DidNotRun, false, "the configuration has no such team"},
	Forbidden:          {http.StatusForbidden, MayHaveRun, false, "the job belongs to another team"},
	BadID:              {http.StatusBadRequest, DidNotRun, false, "the id was not issued by this system"},
	IDConflict:         {http.StatusConflict, MayHaveRun, false, "the id was used with other content"},
	IDExpired:          {http.StatusGone, MayHaveRun, false, "the id is too old; its answer is no longer kept"},
	OwnerGone:          {http.StatusGone, MayHaveRun, false, "the entry that issued the id has stopped"},
	OwnerUnreachable:   {http.StatusServiceUnavailable, MayHaveRun, true, "the entry that issued the id does not answer"},
	NeverRunnable:      {http.StatusUnprocessableEntity, DidNotRun, false, "no target can ever run the job"},
	DeadlineUnmeetable: {http.StatusServiceUnavailable, DidNotRun, true, "the job cannot finish before its deadline"},
	OverQuota:          {http.StatusTooManyRequests, DidNotRun, true, "the team has used up its quota"},
	AllowanceSpent:     {http.StatusTooManyRequests, DidNotRun, true, "the allowance of the service is spent"},
	Overloaded:         {http.StatusServiceUnavailable, DidNotRun, true, "too much work is waiting"},
	NoTarget:           {http.StatusServiceUnavailable, DidNotRun, true, "no target of the service is available"},
	Draining:           {http.StatusServiceUnavailable, DidNotRun, true, "the entry is about to stop"},
	NotReady:           {http.StatusServiceUnavailable, DidNotRun, true, "the entry has no configuration yet"},
	DeadlineExceeded:   {http.StatusGatewayTimeout, JobDecides, false, "the deadline has passed"},
	TaskFailed:         {http.StatusBadGateway, MayHaveRun, false, "a task failed on its target"},
	TargetLost:         {http.StatusBadGateway, MayHaveRun, false, "a target broke off after a task was sent"},
	Cancelled:          {http.StatusConflict, JobDecides, false, "the job was cancelled"},
	Internal:           {http.StatusInternalServerError, MayHaveRun, false, "internal error"},
}

// Kinds returns every kind. The order is not defined.
func Kinds() []Kind {
	list := make([]Kind, 0, len(kinds))
	for k := range kinds {
		list = append(list, k)
	}
	return list
}

// KindInfo returns the answer that belongs to k, and that of Internal for a
// value outside the closed list.
func KindInfo(k Kind) Info {
	if info, ok := kinds[k]; ok {
		return info
	}
	return kinds[Internal]
}

// Error is a refusal or a failure as callers see it. RetryAfterMs is advice in
// milliseconds, 0 for none. SafeToResubmit is set when the same work may be
// submitted again under a new id without running twice.
type Error struct {
	Kind           Kind   `json:"kind"`
	Message        string `json:"message"`
	Ran            Ran    `json:"ran"`
	RetryAfterMs   int64  `json:"retryAfterMs,omitempty"`
	SafeToResubmit bool   `json:"safeToResubmit"`
}

// NewError returns an Error of kind k. An empty message takes the table's. A
// kind for which the job decides starts as MayHaveRun; see [Error.NotRun].
func NewError(k Kind, message string) *Error {
	info := KindInfo(k)
	if message == "" {
		message = info.Message
	}
	ran := info.Ran
	if ran == JobDecides {
		ran = MayHaveRun
	}
	return &Error{Kind: k, Message: message, Ran: ran, SafeToResubmit: ran == DidNotRun}
}

// Error returns the kind and the message.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Message }

// NotRun states that no task has reached a target or ever will, and returns e.
// Use it only where the record of the job proves it.
func (e *Error) NotRun() *Error {
	e.Ran = DidNotRun
	e.SafeToResubmit = true
	return e
}

// After sets the retry advice, in milliseconds, and returns e.
func (e *Error) After(ms int64) *Error {
	e.RetryAfterMs = ms
	return e
}

// Status returns the HTTP status of e's kind.
func (e *Error) Status() int { return KindInfo(e.Kind).Status }
