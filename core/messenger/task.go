package messenger

import "encoding/json"

// TaskRequest is the body of POST /v1/tasks on a target and starts one task.
// TaskID is the job's id, a slash and the task's index. DeadlineInMs is the
// time until the deadline at the moment of sending. Use [Client.StartTask] to
// send it.
type TaskRequest struct {
	TaskID       string          `json:"taskId"`
	Service      string          `json:"service"`
	RequestType  string          `json:"requestType"`
	Payload      json.RawMessage `json:"payload"`
	DeadlineInMs int64           `json:"deadlineInMs"`
}

// TaskErrorKind is the reason why a target returned no result.
type TaskErrorKind string

// The error kinds of a target.
const (
	// TaskErrorBusy: there is no free slot.
	TaskErrorBusy TaskErrorKind = "busy"
	// TaskErrorLeaving: the target accepts no new tasks.
	TaskErrorLeaving TaskErrorKind = "leaving"
	// TaskErrorLeaseLapsed: the target's own lease has expired.
	TaskErrorLeaseLapsed TaskErrorKind = "leaseLapsed"
	// TaskErrorBadTask: the request is malformed.
	TaskErrorBadTask TaskErrorKind = "badTask"
	// TaskErrorFailed: the task ran and failed.
	TaskErrorFailed TaskErrorKind = "failed"
)

// TaskError reports that a target refused a task or that the task failed. If
// Started is false, the target guarantees that the task did not start and that
// this request will never start it.
type TaskError struct {
	Kind    TaskErrorKind `json:"kind"`
	Message string        `json:"message,omitempty"`
	Started bool          `json:"started"`
}

// TaskReply is the reply to POST /v1/tasks: HTTP status 200 with Result, or
// another status with Error. RunMs is the run time of the task. Status is the
// status of the target after the task ended.
type TaskReply struct {
	TaskID string          `json:"taskId"`
	Result json.RawMessage `json:"result,omitempty"`
	RunMs  int64           `json:"runMs"`
	Error  *TaskError      `json:"error,omitempty"`
	Status TargetStatus    `json:"status"`
}

// TargetStatus is a target's report about itself. It is part of every reply and
// is the reply to GET /v1/status. Slots is the number of tasks that the target
// can run concurrently. MemoryMB is the memory of the target, which the
// declared memory of a task must not exceed; 0 means that it is not reported.
type TargetStatus struct {
	Service  string `json:"service"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"inFlight"`
	MemoryMB int64  `json:"memoryMB"`
	Leaving  bool   `json:"leaving"`
}
