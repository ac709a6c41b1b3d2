package checker

import "github.com/godwitrelay/godwitrelay/core/messenger"

// checkTaskAtMostOnce finds tasks that started more than once under one job id.
func checkTaskAtMostOnce(x *index) []Violation {
	var list []Violation
	for _, k := range x.taskOrder {
		if starts := x.startsByTask[k]; len(starts) > 1 {
			list = append(list, newViolation(TaskAtMostOnce, starts[:2],
				"task %d of job %s started %d times", k.task, k.job, len(starts)))
		}
	}
	return list
}

// checkWorkAtMostOnce finds non-idempotent work in which the same task started
// more than once. Two starts under the same job id are always a violation. Two
// starts under different ids are a violation only if the caller was told that the
// first job did not run. A caller that resubmits the work under a new id without
// having been told so accepts that it may run twice.
func checkWorkAtMostOnce(x *index) []Violation {
	submissionsByWork := map[workKey][]*submission{}
	var order []workKey
	for _, s := range x.submissions {
		r := s.position.Record
		if !r.NonIdempotent || s.job == "" {
			continue
		}
		k := workKey{s.position.Log, correlationID(r)}
		if len(submissionsByWork[k]) == 0 {
			order = append(order, k)
		}
		submissionsByWork[k] = append(submissionsByWork[k], s)
	}
	var list []Violation
	for _, k := range order {
		list = append(list, checkWorkStarts(x, submissionsByWork[k])...)
	}
	return list
}

// checkWorkStarts checks the submissions of the same work, in the order in which
// the caller sent them.
func checkWorkStarts(x *index, submissions []*submission) []Violation {
	firstStarts := map[int]Position{}
	seen := map[string]bool{}
	var list []Violation
	for _, s := range submissions {
		if seen[s.job] {
			continue
		}
		seen[s.job] = true
		for _, p := range x.startsByJob[s.job] {
			previous, started := firstStarts[p.Record.Task]
			if !started {
				firstStarts[p.Record.Task] = p
				continue
			}
			list = append(list, newViolation(WorkAtMostOnce, []Position{s.position, previous, p},
				"task %d of non-idempotent work %q started under job %s and again under job %s",
				p.Record.Task, s.position.Record.Request, previous.Record.JobID, p.Record.JobID))
		}
		if !reportedNotRun(x.submissionsByJob[s.job]) {
			firstStarts = map[int]Position{}
		}
	}
	return list
}

// reportedNotRun reports whether any answer to the submissions states that the
// job did not run.
func reportedNotRun(submissions []*submission) bool {
	for _, s := range submissions {
		for _, a := range s.answers {
			if a.Record.Ran == messenger.DidNotRun {
				return true
			}
		}
	}
	return false
}
