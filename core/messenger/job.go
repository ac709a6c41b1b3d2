package messenger

import "encoding/json"

// Priority is the priority class of a request type. Urgent work is scheduled
// before bulk work.
type Priority string

// The priorities.
const (
	Urgent Priority = "urgent"
	Bulk   Priority = "bulk"
)

// IDsRequest is the body of POST /v1/ids. It asks for Count unused job ids.
type IDsRequest struct {
	Count int `json:"count"`
}

// IDsReply is the reply to POST /v1/ids. An id that is still unused ExpiresInMs
// after it was issued expires and is then refused.
type IDsReply struct {
	IDs         []string `json:"ids"`
	ExpiresInMs int64    `json:"expiresInMs"`
}

// Submission is the body of POST /v1/jobs: a job of one or more tasks.
//
// ID comes from POST /v1/ids or from Answer.NextIDs; a job without one can't be
// resubmitted safely. Priority may lower the priority that the configuration
// gives the request type, and Idempotent may be set to false for a request type
// that is configured as idempotent, but not the reverse. DeadlineMs is relative
// to receipt; 0 selects the entry's default. Wait delays the reply until the
// job has ended. MoreIDs asks for that many unused ids with the answer.
//
// DeclaredRunMs and DeclaredMemoryMB describe each task; 0 means not declared.
// DeclaredRunMs is an estimate of the run time. A task runs only on targets
// that have at least DeclaredMemoryMB or whose memory is unknown. The job is
// refused if the service has no such target, or if DeclaredRunMs is far above
// the deadline.
type Submission struct {
	ID               string            `json:"id,omitempty"`
	Team             string            `json:"team"`
	Service          string            `json:"service"`
	RequestType      string            `json:"requestType"`
	Priority         Priority          `json:"priority,omitempty"`
	DeadlineMs       int64             `json:"deadlineMs,omitempty"`
	Idempotent       *bool             `json:"idempotent,omitempty"`
	DeclaredRunMs    int64             `json:"declaredRunMs,omitempty"`
	DeclaredMemoryMB int64             `json:"declaredMemoryMB,omitempty"`
	Tasks            []json.RawMessage `json:"tasks"`
	Wait             bool              `json:"wait,omitempty"`
	MoreIDs          int               `json:"moreIds,omitempty"`
}

// Outcome is how a job ended, or InProgress if it has not ended.
type Outcome string

// The outcomes of a job. A refused job was never accepted, whereas a failed job
// was.
const (
	Complete   Outcome = "complete"
	Failed     Outcome = "failed"
	Refused    Outcome = "refused"
	InProgress Outcome = "inProgress"
)

// Answer is the reply to a submission, a fetch or a cancellation. Results has
// one element per task, in task order, when Outcome is Complete, and is empty
// otherwise. Error is set when Outcome is Failed or Refused.
type Answer struct {
	ID      string            `json:"id,omitempty"`
	Outcome Outcome           `json:"outcome"`
	Results []json.RawMessage `json:"results,omitempty"`
	Error   *Error            `json:"error,omitempty"`
	NextIDs []string          `json:"nextIds,omitempty"`
}

// NewRefusal returns an answer with the outcome Refused and the error e.
func NewRefusal(id string, e *Error) Answer { return Answer{ID: id, Outcome: Refused, Error: e} }

// Status returns the HTTP status of the answer: the status of the error if
// there is one, 202 while the job is in progress, and otherwise 200.
func (a Answer) Status() int {
	switch {
	case a.Error != nil:
		return a.Error.Status()
	case a.Outcome == InProgress:
		return 202
	default:
		return 200
	}
}
