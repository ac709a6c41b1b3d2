package worker

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// maxRunMs bounds the run time of a task: no task of the workload runs longer
// than several seconds.
const maxRunMs = 600_000

// payload is the content of a task of the stand-in.
type payload struct {
	RunMs *int64          `json:"runMs"`
	Value json.RawMessage `json:"value"`
}

// parse checks a request and returns a plan without faults.
func (w *Worker) parse(r messenger.TaskRequest) (Plan, error) {
	slash := strings.LastIndexByte(r.TaskID, '/')
	if slash <= 0 {
		return Plan{}, errors.Newf("taskId %q is not a job id, a slash and an index", r.TaskID)
	}
	task, err := strconv.Atoi(r.TaskID[slash+1:])
	if err != nil || task < 0 {
		return Plan{}, errors.Newf("taskId %q does not end in an index", r.TaskID)
	}
	if r.Service != w.identity.Service {
		return Plan{}, errors.Newf("service is %q; this target runs %q", r.Service, w.identity.Service)
	}
	var in payload
	if err := messenger.DecodeBytes(r.Payload, &in); err != nil {
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

// result returns the result of a task that succeeded.
func result(value json.RawMessage, taskID string) json.RawMessage {
	if value == nil {
		value = json.RawMessage("null")
	}
	// Strings and decoded JSON always have a JSON form.
	data, _ := json.Marshal(struct {
		Value  json.RawMessage `json:"value"`
		TaskID string          `json:"taskId"`
	}{value, taskID})
	return data
}
