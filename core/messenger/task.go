package messenger

import "encoding/json"

// TaskRequest is the body of POST /v1/tasks on a target: start one task.
// TaskID is the job's id, a slash and the task's index. DeadlineInMs is the
// time left when the message was sent. Use [StartClient] to send it.
type TaskRequest struct {
	TaskID       string          `json:"taskId"`
	Service      string          `json:"service"`
	RequestType  string          `json:"requestType"`
	Payload      json.RawMessage `json:"payload"`
	DeadlineInMs int64           `json:"deadlineInMs"`
}

// TaskErrorKind is a target's reason for not giving a result.
type TaskErrorKind string

// The reasons of a target. Busy: no free slot. Leaving: the target takes no new
// work. LeaseLapsed: the target's own lease has ended. BadTask: the request is
// malformed. TaskFault: the task ran and failed.
const (
	Busy        TaskErrorKind = "busy"
	Leaving     TaskErrorKind = "leaving"
	LeaseLapsed TaskErrorKind = "leaseLapsed"
	BadTask     TaskErrorKind = "badTask"
	TaskFault   TaskErrorKind = "failed"
)

// TaskError is a target's refusal or failure. Started false is a promise that
// the task did not start and never will on this request.
type TaskError struct {
	Kind    TaskErrorKind `json:"kind"`
	Message string        `json:"message,omitempty"`
	Started bool          `json:"started"`
}

// TaskReply answers POST /v1/tasks: status 200 with Result, or another status
// with Error. RunMs is the task's own run time. Status is the target's state
// after the task.
type TaskReply struct {
	TaskID string          `json:"taskId"`
	Result json.RawMessage `json:"result,omitempty"`
	RunMs  int64           `json:"runMs"`
	Error  *TaskError      `json:"error,omitempty"`
	Status TargetStatus    `json:"status"`
}

// TargetStatus is a target's own state, given with every reply and by
// GET /v1/status. Slots is the number of tasks it runs at once.
type TargetStatus struct {
	Service  string `json:"service"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"inFlight"`
	MemoryMB int64  `json:"memoryMB"`
	Leaving  bool   `json:"leaving"`
}
