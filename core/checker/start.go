package checker

import "github.com/godwitrelay/godwitrelay/core/messenger"

// checkStarts finds tasks that started more than once under one id.
func checkStarts(x *index) []Violation {
	var list []Violation
	for _, k := range x.order {
		if starts := x.starts[k]; len(starts) > 1 {
			list = append(list, violation(StartsOnce, starts[:2],
				"task %d of job %s started %d times", k.task, k.job, len(starts)))
		}
	}
	return list
}

// checkRunsOnce finds non-idempotent work of which a task started more than
// once, under one id or under several. Work that its caller submits under a
// new id after it was told that the old one may have run is the caller's
// choice and does not count.
func checkRunsOnce(x *index) []Violation {
	works := map[workKey][]*submission{}
	var order []workKey
	for _, s := range x.submissions {
		r := s.place.Record
		if !r.NonIdempotent || s.job == "" {
			continue
		}
		k := workKey{s.place.Log, linkOf(r)}
		if len(works[k]) == 0 {
			order = append(order, k)
		}
		works[k] = append(works[k], s)
	}
	var list []Violation
	for _, k := range order {
		list = append(list, checkWork(x, works[k])...)
	}
	return list
}

func checkWork(x *index, work []*submission) []Violation {
	first := map[int]Place{}
	seen := map[string]bool{}
	var list []Violation
	for _, s := range work {
		if seen[s.job] {
			continue
		}
		seen[s.job] = true
		for _, p := range x.startsOf[s.job] {
			before, again := first[p.Record.Task]
			if !again {
				first[p.Record.Task] = p
				continue
			}
			list = append(list, violation(RunsOnce, []Place{s.place, before, p},
				"task %d of the non-idempotent work %q started under job %s and again under job %s",
				p.Record.Task, s.place.Record.Request, before.Record.JobID, p.Record.JobID))
		}
		if !toldNotRun(x.ofJob[s.job]) {
			first = map[int]Place{}
		}
	}
	return list
}

// toldNotRun reports whether a caller was told that the job did not run.
func toldNotRun(job []*submission) bool {
	for _, s := range job {
		for _, a := range s.answers {
			if a.Record.Ran == messenger.DidNotRun {
				return true
			}
		}
	}
	return false
}
