package checker

import (
	"encoding/json"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// checkAllOrNothing finds complete answers, that is, answers with the outcome
// Complete, that do not have one result per task, and other answers that have
// any results.
func checkAllOrNothing(x *index) []Violation {
	var list []Violation
	for _, a := range x.answers {
		r := a.Record
		if r.Outcome != messenger.Complete {
			if len(r.Results) > 0 {
				list = append(list, newViolation(AllOrNothing, []Position{a},
					"the answer to job %s is %s but has %d results", r.JobID, r.Outcome, len(r.Results)))
			}
			continue
		}
		s := x.submissionOf(a)
		if s == nil {
			continue
		}
		if want := s.position.Record.Tasks; len(r.Results) != want {
			list = append(list, newViolation(AllOrNothing, []Position{s.position, a},
				"the answer to job %s is complete but has %d results for %d tasks", r.JobID, len(r.Results), want))
		}
	}
	return list
}

// checkResultsMatchRequest finds results that do not match the payloads of
// their request, and jobs with two different complete answers.
func checkResultsMatchRequest(x *index, matches func(payload, result json.RawMessage) bool) []Violation {
	var list []Violation
	first := map[string]Position{}
	for _, a := range x.answers {
		r := a.Record
		if r.Outcome != messenger.Complete {
			continue
		}
		if previous, ok := first[r.JobID]; !ok {
			first[r.JobID] = a
		} else if r.JobID != "" && !equalJSONLists(previous.Record.Results, r.Results) {
			list = append(list, newViolation(ResultsMatchRequest, []Position{previous, a},
				"job %s has two different complete answers", r.JobID))
		}
		list = append(list, checkResults(x, a, matches)...)
	}
	return list
}

// checkResults finds the first result of an answer that does not match the
// payload of its task.
func checkResults(x *index, a Position, matches func(payload, result json.RawMessage) bool) []Violation {
	s := x.submissionOf(a)
	if s == nil {
		return nil
	}
	payloads := s.position.Record.Payloads
	for i, result := range a.Record.Results {
		if i < len(payloads) && !matches(payloads[i], result) {
			return []Violation{newViolation(ResultsMatchRequest, []Position{s.position, a},
				"result %d of job %s is %s, which does not match payload %s", i, a.Record.JobID, result, payloads[i])}
		}
	}
	return nil
}

// checkRefusedNotRun finds jobs that were reported as not run although one of
// their tasks started.
func checkRefusedNotRun(x *index) []Violation {
	var list []Violation
	for _, c := range x.didNotRunClaims {
		starts := x.startsByJob[c.Record.JobID]
		if len(starts) == 0 || concernsOtherSubmission(x, c) {
			continue
		}
		list = append(list, newViolation(RefusedNotRun, []Position{c, starts[0]},
			"job %s was reported as %s with didNotRun, but its tasks started %d times", c.Record.JobID, c.Record.Kind, len(starts)))
	}
	return list
}

// concernsOtherSubmission reports whether a refusal may concern a submission other
// than the one whose tasks started: the id was submitted with different content
// or, for Forbidden, the refusal belongs to no known submission. Such a refusal
// makes no statement about the job.
func concernsOtherSubmission(x *index, c Position) bool {
	switch c.Record.Kind {
	case messenger.IDConflict:
		return x.hasConflictingContent(c.Record.JobID)
	case messenger.Forbidden:
		return x.hasConflictingContent(c.Record.JobID) || x.submissionOf(c) == nil
	default:
		return false
	}
}
