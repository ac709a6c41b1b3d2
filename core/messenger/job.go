package messenger

import "encoding/json"

// Priority is the class of a request type. Urgent work goes before bulk work.
type Priority string

// The priorities.
const (
	Urgent Priority = "urgent"
	Bulk   Priority = "bulk"
)

// IDsRequest is the body of POST /v1/ids: asks for Count unused job ids.
type IDsRequest struct {
	Count int `json:"count"`
}

// IDsReply answers POST /v1/ids. An id is refused ExpiresInMs after it was
// issued if it has not been used by then.
type IDsReply struct {
	IDs         []string `json:"ids"`
	ExpiresInMs int64    `json:"expiresInMs"`
}

// Submission is the body of POST /v1/jobs: a job of one or more tasks.
//
// ID comes from POST /v1/ids or from Answer.NextIDs; without one the job can't
// be submitted again safely. Priority may lower what the configuration says of
// the request type, and Idempotent false may make it stricter. DeadlineMs
// counts from receipt; 0 means the entry's default. DeclaredRunMs and
// DeclaredMemoryMB are hints for one task. Wait true holds the reply until the
// job has ended. MoreIDs asks for unused ids with the answer.
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

// Outcome is the state of a job as its caller sees it.
type Outcome string

// The outcomes. A refused job was never accepted; a failed one was.
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

// Refusal returns the answer that refuses a request with e.
func Refusal(id string, e *Error) Answer { return Answer{ID: id, Outcome: Refused, Error: e} }

// Status returns the HTTP status of the answer: 200 when complete, 202 while
// in progress, else the status of the error's kind.
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
