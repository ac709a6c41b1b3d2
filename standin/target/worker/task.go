package worker

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// maxRunMs limits the run time of a task. Tasks of the workload run for at most
// several seconds.
const maxRunMs = 600_000

// payload is the task payload that simulated targets accept.
type payload struct {
	RunMs *int64          `json:"runMs"`
	Value json.RawMessage `json:"value"`
}

// parse validates a request and returns a plan with no faults applied.
func (w *Worker) parse(r messenger.TaskRequest) (Plan, error) {
	slash := strings.LastIndexByte(r.TaskID, '/')
	if slash <= 0 {
		return Plan{}, errors.Newf("taskId %q is not of the form <job id>/<index>", r.TaskID)
	}
	task, err := strconv.Atoi(r.TaskID[slash+1:])
	if err != nil || task < 0 {
		return Plan{}, errors.Newf("taskId %q does not end in a non-negative integer", r.TaskID)
	}
	if r.Service != w.identity.Service {
		return Plan{}, errors.Newf("service is %q, but this target serves %q", r.Service, w.identity.Service)
	}
	var in payload
	if err := messenger.DecodeJSONBytes(r.Payload, &in); err != nil {
		return Plan{}, errors.Newf("payload: %s", err.Message)
	}
	if in.RunMs == nil || *in.RunMs < 0 || *in.RunMs > maxRunMs {
		return Plan{}, errors.Newf("payload: runMs must be 0 to %d", maxRunMs)
	}
	return Plan{
		JobID:  r.TaskID[:slash],
		Task:   task,
		RunFor: time.Duration(*in.RunMs) * time.Millisecond,
		Value:  in.Value,
	}, nil
}

// result returns the encoded result of a successful task.
func result(value json.RawMessage, taskID string) json.RawMessage {
	if value == nil {
		value = json.RawMessage("null")
	}
	// Marshal cannot fail: both fields are a string or decoded JSON.
	data, _ := json.Marshal(struct {
		Value  json.RawMessage `json:"value"`
		TaskID string          `json:"taskId"`
	}{value, taskID})
	return data
}
