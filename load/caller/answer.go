package caller

import (
	"encoding/json"
	"fmt"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/generator"
)

// taskResult is the result that a simulated target returns for one task.
type taskResult struct {
	Value  string `json:"value"`
	TaskID string `json:"taskId"`
}

// AnswerViolation checks an answer against the job it belongs to. It returns a
// description of the first violation, or "" for a valid answer: complete with
// each task's own result in task order, or failed or refused with an error and
// without results. id is the id that the job was submitted under.
func AnswerViolation(j generator.Job, id string, a messenger.Answer) string {
	if a.ID != id {
		return fmt.Sprintf("answer for job %q", a.ID)
	}
	switch a.Outcome {
	case messenger.Complete:
		return resultsViolation(j, id, a)
	case messenger.Failed, messenger.Refused:
		if a.Error == nil {
			return fmt.Sprintf("outcome %s without an error", a.Outcome)
		}
		if len(a.Results) > 0 {
			return fmt.Sprintf("outcome %s with %d results", a.Outcome, len(a.Results))
		}
		return ""
	default:
		return fmt.Sprintf("outcome %q for a submission with wait set", a.Outcome)
	}
}

func resultsViolation(j generator.Job, id string, a messenger.Answer) string {
	if a.Error != nil {
		return "complete with an error: " + a.Error.Error()
	}
	if len(a.Results) != len(j.RunMs) {
		return fmt.Sprintf("complete with %d results for %d tasks", len(a.Results), len(j.RunMs))
	}
	for i, raw := range a.Results {
		if text := taskViolation(j, id, i, raw); text != "" {
			return text
		}
	}
	return ""
}

// taskViolation checks the result of one task and returns a description of the
// violation, or "" if the result is valid.
func taskViolation(j generator.Job, id string, task int, raw json.RawMessage) string {
	var r taskResult
	if err := json.Unmarshal(raw, &r); err != nil {
		return fmt.Sprintf("result %d cannot be decoded: %v", task, err)
	}
	if want := j.Value(task); r.Value != want {
		return fmt.Sprintf("result %d has value %q, expected %q", task, r.Value, want)
	}
	if want := taskID(id, task); r.TaskID != want {
		return fmt.Sprintf("result %d is of task %q, expected %q", task, r.TaskID, want)
	}
	return ""
}

func taskID(id string, task int) string { return fmt.Sprintf("%s/%d", id, task) }
