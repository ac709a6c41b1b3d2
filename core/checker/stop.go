package checker

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
)

// checkLeaving finds tasks that started on a target later than bound after it
// announced that it was leaving. Both times are of the target's own process.
func checkLeaving(x *index, bound time.Duration) []Violation {
	var list []Violation
	for _, log := range x.history {
		leaving := map[string]Place{}
		for i, r := range log.Records {
			switch r.Event {
			case recorder.TargetLeaving:
				if _, ok := leaving[r.Target]; !ok {
					leaving[r.Target] = placeOf(log, i)
				}
			case recorder.TaskStarted:
				since, ok := leaving[r.Target]
				if late := time.Duration(r.AtUs-since.Record.AtUs) * time.Microsecond; ok && late > bound {
					list = append(list, violation(LeavingNoWork, []Place{since, placeOf(log, i)},
						"target %s started task %d of job %s %v after it was leaving (bound %v)",
						r.Target, r.Task, r.JobID, late, bound))
				}
			default:
			}
		}
	}
	return list
}

// checkStops finds planned stops that cut off a request or left a job that was
// in progress without an answer from its owner.
func checkStops(x *index) []Violation {
	var list []Violation
	for _, log := range x.history {
		begun, ended := find(log, recorder.StopBegun), find(log, recorder.StopEnded)
		if ended != nil && ended.Record.Count != 0 {
			list = append(list, violation(GracefulStop, []Place{*ended},
				"the planned stop of %s cut off %d requests", ended.Record.Process, ended.Record.Count))
		}
		if begun != nil && ended != nil {
			list = append(list, checkStoppedJobs(x, log, *begun)...)
		}
	}
	return list
}

func checkStoppedJobs(x *index, log Log, begun Place) []Violation {
	var list []Violation
	seen := map[string]bool{}
	for i, r := range log.Records {
		if r.Event != recorder.TaskSent || seen[r.JobID] {
			continue
		}
		seen[r.JobID] = true
		for _, s := range x.ofJob[r.JobID] {
			if s.settled && !lost(s) {
				continue
			}
			places := append([]Place{s.place, placeOf(log, i), begun}, s.answers...)
			list = append(list, violation(GracefulStop, places,
				"job %s was in progress at the planned stop of %s and has no answer", r.JobID, begun.Record.Process))
		}
	}
	return list
}

// lost reports whether all that a caller was told is that the owner is gone.
func lost(s *submission) bool {
	for _, a := range s.answers {
		if a.Record.Kind != messenger.OwnerGone && a.Record.Kind != messenger.OwnerUnreachable {
			return false
		}
	}
	return len(s.answers) > 0
}

// find returns the first record of the event in the log, or nil.
func find(log Log, event recorder.Event) *Place {
	for i, r := range log.Records {
		if r.Event == event {
			p := placeOf(log, i)
			return &p
		}
	}
	return nil
}
