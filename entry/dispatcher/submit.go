package dispatcher

import (
	"fmt"
	"net/http"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
	"github.com/godwitrelay/godwitrelay/entry/registrar"
)

// maxIDsPerRequest limits the ids issued for one request.
const maxIDsPerRequest = 1000

func (s *State) handleIssueIDs(now time.Time, msg IssueIDs) {
	n := min(max(msg.Count, 1), maxIDsPerRequest)
	s.reply(msg.Waiter, messenger.IDsReply{
		IDs:         s.jobs.Issuer.Issue(now, n),
		ExpiresInMs: s.cfg.IDKeep.Milliseconds(),
	})
}

func (s *State) handleSubmit(now time.Time, msg Submit) {
	sub := msg.Submission
	if sub.MoreIDs > 0 && sub.MoreIDs <= maxIDsPerRequest && msg.Waiter != 0 {
		s.requestedIDs[msg.Waiter] = sub.MoreIDs
	}
	if sub.ID == "" {
		s.submitWithoutID(now, msg)
		return
	}
	if !s.jobs.Issuer.Owns(msg.ID) {
		s.forwardToOwner(now, msg.Waiter, msg.Forwarded, msg.Bytes, Forward{
			Method: http.MethodPost, Address: msg.ID.Address, JobID: sub.ID, Submission: sub,
			Timeout: s.jobTimeout(sub),
		})
		return
	}
	if j := s.jobs.Find(sub.ID); j != nil {
		s.joinJob(now, j, msg)
		return
	}
	if !s.jobs.Issuer.MarkUsed(now, msg.ID.Sequence) {
		s.refuseRequest(now, msg.Waiter, sub.ID, messenger.NewError(messenger.IDExpired, ""))
		return
	}
	s.openJob(now, msg)
}

// submitWithoutID issues an id for the submission. A non-idempotent request
// must bring its own: without one, a resubmission after a lost reply would run
// the work again.
func (s *State) submitWithoutID(now time.Time, msg Submit) {
	sub := msg.Submission
	rt, ok := s.requestType(sub.Service, sub.RequestType)
	if ok && !isIdempotent(sub, rt) {
		e := messenger.NewError(messenger.BadRequest, "id: a non-idempotent request needs an id from POST /v1/ids")
		s.refuseRequest(now, msg.Waiter, "", e)
		return
	}
	msg.Submission.ID = s.jobs.Issuer.Issue(now, 1)[0]
	id, err := s.cfg.Signer.Parse(msg.Submission.ID)
	if err != nil || !s.jobs.Issuer.MarkUsed(now, id.Sequence) {
		s.refuseRequest(now, msg.Waiter, "", messenger.NewError(messenger.Internal, "issuing an id failed").WithDidNotRun())
		return
	}
	s.openJob(now, msg)
}

// joinJob attaches a resubmission to the job with the same id.
func (s *State) joinJob(now time.Time, j *registrar.Job, msg Submit) {
	switch {
	case j.Digest != msg.Digest:
		s.refuseRequest(now, msg.Waiter, j.ID, messenger.NewError(messenger.IDConflict, ""))
	case j.Finished():
		s.sendAnswer(now, msg.Waiter, *j.Answer)
	case msg.Submission.Wait:
		j.Waiters = append(j.Waiters, uint64(msg.Waiter))
	default:
		s.sendAnswer(now, msg.Waiter, messenger.Answer{ID: j.ID, Outcome: messenger.InProgress})
	}
}

// openJob creates the job for an id that was just marked as used. A refusal is
// kept as the job's final answer, so that a delayed copy of the submission
// can't run later.
func (s *State) openJob(now time.Time, msg Submit) {
	sub := msg.Submission
	rt, _ := s.requestType(sub.Service, sub.RequestType)
	j := &registrar.Job{
		ID: sub.ID, Digest: msg.Digest, Team: sub.Team, Service: sub.Service, RequestType: sub.RequestType,
		Priority: effectivePriority(sub, rt), Idempotent: isIdempotent(sub, rt),
		ReceivedAt: now, Deadline: now.Add(s.jobTimeout(sub)),
		MaxRun:   time.Duration(rt.MaxRunMs) * time.Millisecond,
		Payloads: sub.Tasks, Tasks: make([]registrar.Task, len(sub.Tasks)), UnfinishedTasks: len(sub.Tasks),
	}
	e := s.validate(sub, msg.Bytes)
	s.jobs.Add(j)
	if e != nil {
		j.Waiters = append(j.Waiters, uint64(msg.Waiter))
		s.finishJob(now, j, messenger.NewRefusal(j.ID, e))
		return
	}
	j.Hints = registrar.Hints{DeclaredRunMs: sub.DeclaredRunMs, DeclaredMemoryMB: sub.DeclaredMemoryMB}
	if sub.Wait {
		j.Waiters = append(j.Waiters, uint64(msg.Waiter))
	} else if msg.Waiter != 0 {
		s.admissionWaiters[j.ID] = msg.Waiter
	}
	s.requestSlots(j)
}

// validate returns an error if the submission violates the configuration or a
// limit, and nil otherwise.
func (s *State) validate(sub messenger.Submission, bytes int64) *messenger.Error {
	active := s.active
	rt, known := s.requestType(sub.Service, sub.RequestType)
	_, team := active.Configuration.Teams[sub.Team]
	switch {
	case s.stop.refusingWork:
		return messenger.NewError(messenger.Draining, "").WithRetryAfter(s.jitteredRetryMs(200))
	case active.Version == 0 || !s.discovered:
		return messenger.NewError(messenger.NotReady, "").WithRetryAfter(s.jitteredRetryMs(1000))
	case !team:
		return messenger.NewError(messenger.UnknownTeam, fmt.Sprintf("team %q is not in the configuration", sub.Team))
	case !known:
		return messenger.NewError(messenger.UnknownService, fmt.Sprintf("service %q with request type %q is not in the configuration", sub.Service, sub.RequestType))
	case len(sub.Tasks) == 0:
		return messenger.NewError(messenger.BadRequest, "tasks: must have at least one element")
	case len(sub.Tasks) > s.cfg.MaxTasks:
		return messenger.NewError(messenger.TooLarge, fmt.Sprintf("tasks: %d elements, at most %d allowed", len(sub.Tasks), s.cfg.MaxTasks))
	case sub.DeadlineMs < 0 || sub.DeadlineMs > s.cfg.MaxDeadline.Milliseconds():
		return messenger.NewError(messenger.BadRequest, fmt.Sprintf("deadlineMs: %d, allowed: 0 to %d", sub.DeadlineMs, s.cfg.MaxDeadline.Milliseconds()))
	case sub.DeclaredRunMs < 0 || sub.DeclaredMemoryMB < 0:
		return messenger.NewError(messenger.BadRequest, "declaredRunMs, declaredMemoryMB: must not be negative")
	case sub.MoreIDs < 0 || sub.MoreIDs > maxIDsPerRequest:
		return messenger.NewError(messenger.BadRequest, fmt.Sprintf("moreIds: %d, allowed: 0 to %d", sub.MoreIDs, maxIDsPerRequest))
	case sub.Priority != "" && sub.Priority != messenger.Urgent && sub.Priority != messenger.Bulk:
		return messenger.NewError(messenger.BadRequest, fmt.Sprintf("priority: %q, allowed: urgent, bulk", sub.Priority))
	case sub.Priority == messenger.Urgent && rt.Priority == messenger.Bulk:
		return messenger.NewError(messenger.BadRequest, "priority: the configuration has this request type as bulk")
	case sub.Idempotent != nil && *sub.Idempotent && !rt.Idempotent:
		return messenger.NewError(messenger.BadRequest, "idempotent: the configuration has this request type as non-idempotent")
	case s.jobs.HeldBytes+s.forwardBytes+bytes > s.cfg.MaxHeldBytes:
		return messenger.NewError(messenger.Overloaded, "the entry holds too many bytes").WithRetryAfter(s.jitteredRetryMs(500))
	}
	return nil
}

func (s *State) requestType(service, name string) (planner.RequestType, bool) {
	rt, ok := s.active.Configuration.Services[service].RequestTypes[name]
	return rt, ok
}

func isIdempotent(sub messenger.Submission, rt planner.RequestType) bool {
	return rt.Idempotent && (sub.Idempotent == nil || *sub.Idempotent)
}

func effectivePriority(sub messenger.Submission, rt planner.RequestType) messenger.Priority {
	if sub.Priority == messenger.Bulk {
		return messenger.Bulk
	}
	return rt.Priority
}

func (s *State) jobTimeout(sub messenger.Submission) time.Duration {
	if sub.DeadlineMs <= 0 {
		return s.cfg.DefaultDeadline
	}
	return min(time.Duration(sub.DeadlineMs)*time.Millisecond, s.cfg.MaxDeadline)
}

// jitteredRetryMs returns a random time between base and twice base, in
// milliseconds, so that refused callers do not retry simultaneously.
func (s *State) jitteredRetryMs(base int64) int64 { return base + s.rand.Int64N(base+1) }
