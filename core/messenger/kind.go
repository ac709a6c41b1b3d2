package messenger

import "net/http"

// ErrorKind is the reason why a request was refused or failed. The set of kinds
// is closed; [ErrorKindInfo] describes each of them.
type ErrorKind string

// The error kinds.
const (
	BadRequest         ErrorKind = "badRequest"
	TooLarge           ErrorKind = "tooLarge"
	NotFound           ErrorKind = "notFound"
	UnknownService     ErrorKind = "unknownService"
	UnknownTeam        ErrorKind = "unknownTeam"
	Forbidden          ErrorKind = "forbidden"
	BadID              ErrorKind = "badId"
	IDConflict         ErrorKind = "idConflict"
	IDExpired          ErrorKind = "idExpired"
	OwnerGone          ErrorKind = "ownerGone"
	OwnerUnreachable   ErrorKind = "ownerUnreachable"
	NeverRunnable      ErrorKind = "neverRunnable"
	DeadlineUnmeetable ErrorKind = "deadlineUnmeetable"
	OverQuota          ErrorKind = "overQuota"
	AllowanceExhausted ErrorKind = "allowanceSpent"
	Overloaded         ErrorKind = "overloaded"
	NoTarget           ErrorKind = "noTarget"
	Draining           ErrorKind = "draining"
	NotReady           ErrorKind = "notReady"
	DeadlineExceeded   ErrorKind = "deadlineExceeded"
	TaskFailed         ErrorKind = "taskFailed"
	TargetLost         ErrorKind = "targetLost"
	Cancelled          ErrorKind = "cancelled"
	Internal           ErrorKind = "internal"
)

// ExecutionStatus states whether any work of a request that was refused or
// failed may have run.
type ExecutionStatus string

// The execution statuses. DidNotRun guarantees that no task of the request has
// reached or will reach a target; MayHaveRun guarantees nothing. JobDecides is
// used only in [ErrorInfo], for kinds where the value depends on the record of
// the job.
const (
	DidNotRun  ExecutionStatus = "didNotRun"
	MayHaveRun ExecutionStatus = "mayHaveRun"
	JobDecides ExecutionStatus = "jobDecides"
)

// ErrorInfo describes an error kind: the HTTP status, whether any work may have
// run, whether a later retry can succeed, and the default message.
type ErrorInfo struct {
	Status  int
	Ran     ExecutionStatus
	Retry   bool
	Message string
}

var infoByKind = map[ErrorKind]ErrorInfo{
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
	AllowanceExhausted: {http.StatusTooManyRequests, DidNotRun, true, "the allowance of the service is spent"},
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

// ErrorKinds returns all kinds in unspecified order.
func ErrorKinds() []ErrorKind {
	list := make([]ErrorKind, 0, len(infoByKind))
	for k := range infoByKind {
		list = append(list, k)
	}
	return list
}

// ErrorKindInfo returns the description of k, or that of Internal if k is not a
// declared kind.
func ErrorKindInfo(k ErrorKind) ErrorInfo {
	if info, ok := infoByKind[k]; ok {
		return info
	}
	return infoByKind[Internal]
}

// Error is the refusal or failure of a request as reported to its caller.
// RetryAfterMs is the recommended delay before a retry, or 0 if no delay is
// recommended.
// SafeToResubmit is set if the same work may be submitted again under a new id,
// because it did not run or because running it twice is harmless.
type Error struct {
	Kind           ErrorKind       `json:"kind"`
	Message        string          `json:"message"`
	Ran            ExecutionStatus `json:"ran"`
	RetryAfterMs   int64           `json:"retryAfterMs,omitempty"`
	SafeToResubmit bool            `json:"safeToResubmit"`
}

// NewError returns an Error of kind k. An empty message selects the default
// message of the kind. For kinds with JobDecides, Ran is initially MayHaveRun;
// see [Error.WithDidNotRun].
func NewError(k ErrorKind, message string) *Error {
	info := ErrorKindInfo(k)
	if message == "" {
		message = info.Message
	}
	ran := info.Ran
	if ran == JobDecides {
		ran = MayHaveRun
	}
	return &Error{Kind: k, Message: message, Ran: ran, SafeToResubmit: ran == DidNotRun}
}

// Error implements the error interface.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Message }

// WithDidNotRun sets Ran to DidNotRun and returns e. Use it only if the record of the
// job proves that no task has reached or will reach a target.
func (e *Error) WithDidNotRun() *Error {
	e.Ran = DidNotRun
	e.SafeToResubmit = true
	return e
}

// WithRetryAfter sets RetryAfterMs and returns e.
func (e *Error) WithRetryAfter(ms int64) *Error {
	e.RetryAfterMs = ms
	return e
}

// Status returns the HTTP status of e's kind.
func (e *Error) Status() int { return ErrorKindInfo(e.Kind).Status }
