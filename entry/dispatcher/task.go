package dispatcher

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/entry/registrar"
)

// taskGrace is added to the time that a task may take before its connection
// is given up: the time for the reply to arrive.
const taskGrace = time.Second

// taskKey names one task of this entry.
type taskKey struct {
	job  string
	task int
}

// apply takes grants and refusals of a broker that were on their way since the
// time sent.
func (s *State) apply(now, sent time.Time, grants []messenger.Grant, refusals []messenger.SlotRefusal) {
	for _, g := range grants {
		s.useGrant(now, sent, g)
	}
	for _, r := range refusals {
		if j := s.jobs.Find(r.JobID); j != nil && !j.Finished() {
			e := r.Error
			s.fail(now, j, &e)
		}
	}
}

// useGrant starts the granted task, or gives the grant back if the task does
// not need it or the lease has ended, for example because this process was
// paused.
func (s *State) useGrant(now, sent time.Time, g messenger.Grant) {
	j := s.jobs.Find(g.JobID)
	wanted := j != nil && !j.Finished() && g.Task >= 0 && g.Task < len(j.Tasks) && j.Tasks[g.Task].State == registrar.Waiting
	lapsed := now.Sub(sent) >= time.Duration(g.LeaseMs)*time.Millisecond
	if !wanted || lapsed {
		reason := "unusedGrant"
		if lapsed {
			reason = "lapsedGrant"
		}
		s.emit(Count{Group: "wasted", Reason: reason})
		if wanted {
			s.emit(Count{Group: "retry", Reason: string(messenger.GrantUnused)})
		}
		s.release(now, messenger.Release{Grant: g, Outcome: messenger.GrantUnused, Requeue: wanted})
		return
	}
	s.start(now, j, g)
}

func (s *State) start(now time.Time, j *registrar.Job, g messenger.Grant) {
	s.admitted(now, j)
	j.Tasks[g.Task] = registrar.Task{State: registrar.Running}
	j.Started++
	s.held[taskKey{g.JobID, g.Task}] = heldTask{
		grant: g, team: j.Team, requestType: j.RequestType, priority: j.Priority, since: now,
		memoryMB: j.Hints.DeclaredMemoryMB, deadline: j.Deadline,
	}
	left := j.Deadline.Sub(now)
	s.emit(Count{Group: "message", Reason: "start"})
	s.emit(Note{recorder.Record{Event: recorder.TaskSent, JobID: j.ID, Task: g.Task, Target: g.Target}})
	s.emit(StartTask{
		JobID: j.ID, Task: g.Task, Grant: g,
		Request: messenger.TaskRequest{
			TaskID: j.ID + "/" + strconv.Itoa(g.Task), Service: j.Service, RequestType: j.RequestType,
			Payload: j.Payloads[g.Task], DeadlineInMs: left.Milliseconds(),
		},
		Timeout: max(left, j.MaxRun) + taskGrace,
	})
}

// admitted notes that the broker has taken the job up.
func (s *State) admitted(now time.Time, j *registrar.Job) {
	if j.Admitted {
		return
	}
	j.Admitted = true
	if w, ok := s.untilAdmitted[j.ID]; ok {
		delete(s.untilAdmitted, j.ID)
		s.answer(now, w, messenger.Answer{ID: j.ID, Outcome: messenger.InProgress})
	}
}

// taskEnded takes the result of a start. Only a proof that the task did not
// start lets it wait for another grant.
func (s *State) taskEnded(now time.Time, msg TaskEnded) {
	key := taskKey{msg.JobID, msg.Task}
	h, ok := s.held[key]
	if !ok || h.grant.ID != msg.Grant.ID {
		return
	}
	delete(s.held, key)
	v := judge(msg)
	j := s.jobs.Find(msg.JobID)
	active := j != nil && !j.Finished()
	if j != nil && msg.Task < len(j.Tasks) {
		s.settle(j, msg, v)
	}
	rel := messenger.Release{
		Grant: h.grant, Team: h.team, RequestType: h.requestType,
		Outcome: v.outcome, RunMs: msg.Reply.RunMs, Requeue: v.again && active,
	}
	if msg.Err == nil {
		status := msg.Reply.Status
		rel.Status = &status
	}
	s.release(now, rel)
	if v.again {
		s.emit(Count{Group: "retry", Reason: string(v.outcome)})
		s.emit(Count{Group: "wasted", Reason: string(v.outcome)})
	}
	switch {
	case !active:
		s.emit(Count{Group: "wasted", Reason: "lateResult"})
	case v.kind != "":
		s.fail(now, j, messenger.NewError(v.kind, fmt.Sprintf("task %d: %s", msg.Task, v.text)))
	case j.Left == 0:
		s.finish(now, j, messenger.Answer{ID: j.ID, Outcome: messenger.Complete, Results: j.Results})
	}
}

// settle writes the result of a start into the job's record.
func (s *State) settle(j *registrar.Job, msg TaskEnded, v verdict) {
	t := &j.Tasks[msg.Task]
	if !v.started {
		t.State = registrar.Waiting
		j.Started--
		return
	}
	t.State = registrar.Done
	if v.kind == "" && !j.Finished() {
		if j.Results == nil {
			j.Results = make([]json.RawMessage, len(j.Tasks))
		}
		j.Results[msg.Task] = msg.Reply.Result
		j.Left--
	}
}

// verdict is what the result of a start means. A kind fails the job. Again
// asks for another grant.
type verdict struct {
	outcome messenger.GrantOutcome
	started bool
	again   bool
	kind    messenger.Kind
	text    string
}

// judge decides what the result of a start means.
func judge(msg TaskEnded) verdict {
	switch e := msg.Reply.Error; {
	case msg.Err != nil && msg.Err.NotSent:
		return verdict{outcome: messenger.GrantUnreachable, again: true}
	case msg.Err != nil:
		return verdict{outcome: messenger.GrantLost, started: true, kind: messenger.TargetLost,
			text: "target " + msg.Grant.Target + " broke off after the task was sent"}
	case e == nil:
		return verdict{outcome: messenger.GrantDone, started: true}
	case e.Started:
		return verdict{outcome: messenger.GrantFailed, started: true, kind: messenger.TaskFailed, text: e.Message}
	case e.Kind == messenger.Busy:
		return verdict{outcome: messenger.GrantBusy, again: true}
	case e.Kind == messenger.BadTask:
		return verdict{outcome: messenger.GrantUnused, kind: messenger.TaskFailed, text: "the target refused the payload: " + e.Message}
	default:
		return verdict{outcome: messenger.GrantLeaving, again: true}
	}
}
