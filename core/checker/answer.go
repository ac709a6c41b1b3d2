package checker

import (
	"encoding/json"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// checkWhole finds answers that are neither complete nor without results.
func checkWhole(x *index) []Violation {
	var list []Violation
	for _, a := range x.answers {
		r := a.Record
		if r.Outcome != messenger.Complete {
			if len(r.Results) > 0 {
				list = append(list, violation(WholeOrFailed, []Place{a},
					"the answer to job %s is %s and has %d results", r.JobID, r.Outcome, len(r.Results)))
			}
			continue
		}
		s := x.submissionOf(a)
		if s == nil {
			continue
		}
		if want := s.place.Record.Tasks; len(r.Results) != want {
			list = append(list, violation(WholeOrFailed, []Place{s.place, a},
				"the answer to job %s is complete and has %d results for %d tasks", r.JobID, len(r.Results), want))
		}
	}
	return list
}

// checkOwn finds results that are not those of the request's own payloads, and
// jobs with two different complete answers.
func checkOwn(x *index, belongs func(payload, result json.RawMessage) bool) []Violation {
	var list []Violation
	first := map[string]Place{}
	for _, a := range x.answers {
		r := a.Record
		if r.Outcome != messenger.Complete {
			continue
		}
		if before, ok := first[r.JobID]; !ok {
			first[r.JobID] = a
		} else if r.JobID != "" && !sameList(before.Record.Results, r.Results) {
			list = append(list, violation(OwnAnswer, []Place{before, a},
				"job %s has two different complete answers", r.JobID))
		}
		list = append(list, checkResults(x, a, belongs)...)
	}
	return list
}

func checkResults(x *index, a Place, belongs func(payload, result json.RawMessage) bool) []Violation {
	s := x.submissionOf(a)
	if s == nil {
		return nil
	}
	payloads := s.place.Record.Payloads
	for i, result := range a.Record.Results {
		if i < len(payloads) && !belongs(payloads[i], result) {
			return []Violation{violation(OwnAnswer, []Place{s.place, a},
				"result %d of job %s is %s, which does not belong to payload %s", i, a.Record.JobID, result, payloads[i])}
		}
	}
	return nil
}

// checkRefused finds jobs that started although someone was told that they did
// not and would not.
func checkRefused(x *index) []Violation {
	var list []Violation
	for _, c := range x.claims {
		starts := x.startsOf[c.Record.JobID]
		if len(starts) == 0 || aboutAnother(x, c) {
			continue
		}
		list = append(list, violation(RefusedNotRun, []Place{c, starts[0]},
			"job %s was answered %s, didNotRun, and has %d starts", c.Record.JobID, c.Record.Kind, len(starts)))
	}
	return list
}

// aboutAnother reports whether a refusal speaks of other content than that of
// the job that owns the id: the id was reused, or is another team's.
func aboutAnother(x *index, c Place) bool {
	switch c.Record.Kind {
	case messenger.IDConflict:
		return x.severalContents(c.Record.JobID)
	case messenger.Forbidden:
		return x.severalContents(c.Record.JobID) || x.submissionOf(c) == nil
	default:
		return false
	}
}
