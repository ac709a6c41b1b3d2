package checker

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
)

// checkStartsAfterLeaving finds tasks that started more than bound after their
// target announced that it was leaving. Both records must be in the same log; an
// announcement in another log is ignored.
func checkStartsAfterLeaving(x *index, bound time.Duration) []Violation {
	var list []Violation
	for _, log := range x.history {
		leaving := map[string]Position{}
		for i, r := range log.Records {
			switch r.Event {
			case recorder.TargetLeaving:
				if _, ok := leaving[r.Target]; !ok {
					leaving[r.Target] = positionOf(log, i)
				}
			case recorder.TaskStarted:
				announced, ok := leaving[r.Target]
				if elapsed := time.Duration(r.AtUs-announced.Record.AtUs) * time.Microsecond; ok && elapsed > bound {
					list = append(list, newViolation(NoStartAfterLeaving, []Position{announced, positionOf(log, i)},
						"target %s started task %d of job %s %v after it announced that it was leaving (bound %v)",
						r.Target, r.Task, r.JobID, elapsed, bound))
				}
			default:
			}
		}
	}
	return list
}

// checkGracefulStops finds planned stops that interrupted a request, or after
// which a job in progress never got an answer from its owner.
func checkGracefulStops(x *index) []Violation {
	var list []Violation
	for _, log := range x.history {
		begin, end := findFirst(log, recorder.StopStarted), findFirst(log, recorder.StopEnded)
		if end != nil && end.Record.Count != 0 {
			list = append(list, newViolation(GracefulStop, []Position{*end},
				"the planned stop of %s interrupted %d requests", end.Record.Process, end.Record.Count))
		}
		if begin != nil && end != nil {
			list = append(list, checkJobsAtStop(x, log, *begin)...)
		}
	}
	return list
}

// checkJobsAtStop finds jobs for which the stopping process had sent a task and
// whose callers never got an answer from the owner.
func checkJobsAtStop(x *index, log Log, begin Position) []Violation {
	var list []Violation
	seen := map[string]bool{}
	for i, r := range log.Records {
		if r.Event != recorder.TaskSent || seen[r.JobID] {
			continue
		}
		seen[r.JobID] = true
		for _, s := range x.submissionsByJob[r.JobID] {
			if s.settled && !onlyOwnerLost(s) {
				continue
			}
			evidence := append([]Position{s.position, positionOf(log, i), begin}, s.answers...)
			list = append(list, newViolation(GracefulStop, evidence,
				"job %s was in progress at the planned stop of %s and got no answer", r.JobID, begin.Record.Process))
		}
	}
	return list
}

// onlyOwnerLost reports whether there are answers and all of them state that the
// owner of the job is gone or unreachable.
func onlyOwnerLost(s *submission) bool {
	for _, a := range s.answers {
		if a.Record.Kind != messenger.OwnerGone && a.Record.Kind != messenger.OwnerUnreachable {
			return false
		}
	}
	return len(s.answers) > 0
}

// findFirst returns the first record of the given event in the log, or nil.
func findFirst(log Log, event recorder.Event) *Position {
	for i, r := range log.Records {
		if r.Event == event {
			p := positionOf(log, i)
			return &p
		}
	}
	return nil
}
