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

// replyGracePeriod is added to the time that a task may take before its
// connection is closed, so that the reply has time to arrive.
const replyGracePeriod = time.Second

// taskKey identifies one task of this entry.
type taskKey struct {
	job  string
	task int
}

// applyBrokerReply handles grants and refusals from a broker. The leases of
// the grants are counted from the time sent.
func (s *State) applyBrokerReply(now, sent time.Time, grants []messenger.Grant, refusals []messenger.SlotRefusal) {
	for _, g := range grants {
		s.startOrReleaseGrant(now, sent, g)
	}
	for _, r := range refusals {
		if j := s.jobs.Find(r.JobID); j != nil && !j.Finished() {
			e := r.Error
			s.failJob(now, j, &e)
		}
	}
}

// startOrReleaseGrant starts the granted task. It releases the grant if the
// task does not need it or the lease has ended, for example because this
// process was paused.
func (s *State) startOrReleaseGrant(now, sent time.Time, g messenger.Grant) {
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
		s.releaseGrant(now, messenger.Release{Grant: g, Outcome: messenger.GrantUnused, Requeue: wanted})
		return
	}
	s.startTask(now, j, g)
}

func (s *State) startTask(now time.Time, j *registrar.Job, g messenger.Grant) {
	s.markAdmitted(now, j)
	j.Tasks[g.Task] = registrar.Task{State: registrar.Running}
	j.StartedTasks++
	s.runningTasks[taskKey{g.JobID, g.Task}] = runningTask{
		grant: g, team: j.Team, requestType: j.RequestType, priority: j.Priority, startedAt: now,
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
		Timeout: max(left, j.MaxRun) + replyGracePeriod,
	})
}

// markAdmitted records that the broker has admitted the job.
func (s *State) markAdmitted(now time.Time, j *registrar.Job) {
	if j.Admitted {
		return
	}
	j.Admitted = true
	if w, ok := s.admissionWaiters[j.ID]; ok {
		delete(s.admissionWaiters, j.ID)
		s.sendAnswer(now, w, messenger.Answer{ID: j.ID, Outcome: messenger.InProgress})
	}
}

// handleTaskEnded processes the result of a start. A task gets another grant
// only if it provably did not start.
func (s *State) handleTaskEnded(now time.Time, msg TaskEnded) {
	key := taskKey{msg.JobID, msg.Task}
	h, ok := s.runningTasks[key]
	if !ok || h.grant.ID != msg.Grant.ID {
		return
	}
	delete(s.runningTasks, key)
	v := classifyResult(msg)
	j := s.jobs.Find(msg.JobID)
	active := j != nil && !j.Finished()
	if j != nil && msg.Task < len(j.Tasks) {
		s.recordResult(j, msg, v)
	}
	rel := messenger.Release{
		Grant: h.grant, Team: h.team, RequestType: h.requestType,
		Outcome: v.outcome, RunMs: msg.Reply.RunMs, Requeue: v.retry && active,
	}
	if msg.Err == nil {
		status := msg.Reply.Status
		rel.Status = &status
	}
	s.releaseGrant(now, rel)
	if v.retry {
		s.emit(Count{Group: "retry", Reason: string(v.outcome)})
		s.emit(Count{Group: "wasted", Reason: string(v.outcome)})
	}
	switch {
	case !active:
		s.emit(Count{Group: "wasted", Reason: "lateResult"})
	case v.errorKind != "":
		s.failJob(now, j, messenger.NewError(v.errorKind, fmt.Sprintf("task %d: %s", msg.Task, v.message)))
	case j.UnfinishedTasks == 0:
		s.finishJob(now, j, messenger.Answer{ID: j.ID, Outcome: messenger.Complete, Results: j.Results})
	}
}

// recordResult writes the result of a start to the job's record.
func (s *State) recordResult(j *registrar.Job, msg TaskEnded, v startResult) {
	t := &j.Tasks[msg.Task]
	if !v.started {
		t.State = registrar.Waiting
		j.StartedTasks--
		return
	}
	t.State = registrar.Done
	if v.errorKind == "" && !j.Finished() {
		if j.Results == nil {
			j.Results = make([]json.RawMessage, len(j.Tasks))
		}
		j.Results[msg.Task] = msg.Reply.Result
		j.UnfinishedTasks--
	}
}

// startResult classifies the result of a start. A non-empty errorKind fails
// the job; retry requests another grant.
type startResult struct {
	outcome   messenger.GrantOutcome
	started   bool
	retry     bool
	errorKind messenger.ErrorKind
	message   string
}

// classifyResult determines how the result of a start affects the task and its
// grant.
func classifyResult(msg TaskEnded) startResult {
	switch e := msg.Reply.Error; {
	case msg.Err != nil && msg.Err.NotSent:
		return startResult{outcome: messenger.GrantUnreachable, retry: true}
	case msg.Err != nil:
		return startResult{outcome: messenger.GrantLost, started: true, errorKind: messenger.TargetLost,
			message: "target " + msg.Grant.Target + " broke off after the task was sent"}
	case e == nil:
		return startResult{outcome: messenger.GrantDone, started: true}
	case e.Started:
		return startResult{outcome: messenger.GrantFailed, started: true, errorKind: messenger.TaskFailed, message: e.Message}
	case e.Kind == messenger.TaskErrorBusy:
		return startResult{outcome: messenger.GrantBusy, retry: true}
	case e.Kind == messenger.TaskErrorBadTask:
		return startResult{outcome: messenger.GrantUnused, errorKind: messenger.TaskFailed, message: "the target refused the payload: " + e.Message}
	default:
		return startResult{outcome: messenger.GrantLeaving, retry: true}
	}
}
