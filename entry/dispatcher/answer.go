package dispatcher

import (
	"net/http"
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/entry/registrar"
)

// sendAnswer sends a to the waiter and adds the unused ids that it requested.
func (s *State) sendAnswer(now time.Time, w Waiter, a messenger.Answer) {
	if w == 0 {
		return
	}
	if n := s.requestedIDs[w]; n > 0 {
		a.NextIDs = s.jobs.Issuer.Issue(now, n)
	}
	delete(s.requestedIDs, w)
	s.reply(w, a)
}

// refuseRequest answers a request that has no job with an error.
func (s *State) refuseRequest(now time.Time, w Waiter, id string, e *messenger.Error) {
	s.emit(Count{Group: "refusal", Reason: string(e.Kind)})
	s.sendAnswer(now, w, messenger.NewRefusal(id, e))
}

// finishJob records the final answer of a job and sends it to all waiters.
func (s *State) finishJob(now time.Time, j *registrar.Job, a messenger.Answer) {
	if j.Finished() {
		return
	}
	if a.Outcome != messenger.Complete {
		// Cancel the waiting tasks first: Registrar.Finish drops the task
		// states.
		s.cancelWaitingTasks(j)
		s.emit(Count{Group: "refusal", Reason: string(a.Error.Kind)})
		s.emit(Note{recorder.Record{
			Event: recorder.JobRefused, JobID: j.ID, Outcome: a.Outcome, Kind: a.Error.Kind, Ran: a.Error.Ran,
		}})
	}
	s.emit(Observe{Priority: j.Priority, Outcome: a.Outcome, Response: now.Sub(j.ReceivedAt)})
	for _, w := range s.jobs.Finish(now, j, a) {
		s.sendAnswer(now, Waiter(w), a)
	}
	if w, ok := s.admissionWaiters[j.ID]; ok {
		delete(s.admissionWaiters, j.ID)
		s.sendAnswer(now, w, a)
	}
}

// failJob ends a job with e. The job's record determines whether e reports
// that tasks may have run.
func (s *State) failJob(now time.Time, j *registrar.Job, e *messenger.Error) {
	outcome := messenger.Failed
	if !j.Admitted && j.StartedTasks == 0 {
		outcome = messenger.Refused
	}
	s.finishJob(now, j, messenger.Answer{ID: j.ID, Outcome: outcome, Error: j.SetRan(e)})
}

func (s *State) handleFetch(now time.Time, msg Fetch) {
	if !s.jobs.Issuer.Owns(msg.ID) {
		s.forwardToOwner(now, msg.Waiter, msg.Forwarded, 0, Forward{
			Method: http.MethodGet, Address: msg.ID.Address, JobID: msg.Text,
			Timeout: time.Duration(msg.WaitMs)*time.Millisecond + time.Second,
		})
		return
	}
	switch j := s.jobs.Find(msg.Text); {
	case j == nil && s.jobs.Issuer.IsUsable(now, msg.ID.Sequence):
		s.refuseRequest(now, msg.Waiter, msg.Text, messenger.NewError(messenger.NotFound, "no submission has arrived under this id"))
	case j == nil:
		s.refuseRequest(now, msg.Waiter, msg.Text, messenger.NewError(messenger.IDExpired, ""))
	case j.Finished():
		s.sendAnswer(now, msg.Waiter, *j.Answer)
	case msg.WaitMs == 0:
		s.sendAnswer(now, msg.Waiter, messenger.Answer{ID: j.ID, Outcome: messenger.InProgress})
	default:
		j.Waiters = append(j.Waiters, uint64(msg.Waiter))
	}
}

func (s *State) handleCancel(now time.Time, msg Cancel) {
	if !s.jobs.Issuer.Owns(msg.ID) {
		s.forwardToOwner(now, msg.Waiter, msg.Forwarded, 0, Forward{
			Method: http.MethodDelete, Address: msg.ID.Address, JobID: msg.Text, Timeout: s.cfg.DefaultDeadline,
		})
		return
	}
	j := s.jobs.Find(msg.Text)
	switch {
	case j == nil && s.jobs.Issuer.MarkUsed(now, msg.ID.Sequence):
		j = &registrar.Job{ID: msg.Text, ReceivedAt: now, Deadline: now, Waiters: []uint64{uint64(msg.Waiter)}}
		s.jobs.Add(j)
		s.failJob(now, j, messenger.NewError(messenger.Cancelled, "the job was cancelled before it was submitted"))
	case j == nil:
		s.refuseRequest(now, msg.Waiter, msg.Text, messenger.NewError(messenger.IDExpired, ""))
	case j.Finished():
		s.emit(Count{Group: "wasted", Reason: "lateCancel"})
		s.sendAnswer(now, msg.Waiter, *j.Answer)
	default:
		j.Waiters = append(j.Waiters, uint64(msg.Waiter))
		s.failJob(now, j, messenger.NewError(messenger.Cancelled, ""))
	}
}

func (s *State) handleAbandon(msg Abandon) {
	delete(s.requestedIDs, msg.Waiter)
	if s.admissionWaiters[msg.JobID] == msg.Waiter {
		delete(s.admissionWaiters, msg.JobID)
	}
	if j := s.jobs.Find(msg.JobID); j != nil {
		j.Waiters = slices.DeleteFunc(j.Waiters, func(w uint64) bool { return w == uint64(msg.Waiter) })
	}
}

// maxForwards limits the requests that wait for other entries. Each takes a
// connection of the owner's peer listener, which keeps some free for heartbeats
// and refuses forwarded requests beyond that.
const maxForwards = 2048

// forwardOverhead is an estimated upper bound of the memory that a forwarded
// request holds besides its body: a goroutine, and a connection with its
// buffers.
const forwardOverhead = 16 << 10

// forwardToOwner passes a request to the entry that issued the id. Only that
// entry may start the job or state that it did not run. The parameter
// bytes is the size of the body.
func (s *State) forwardToOwner(now time.Time, w Waiter, forwarded bool, bytes int64, f Forward) {
	if forwarded || f.Address == s.cfg.Self.Address {
		delete(s.requestedIDs, w)
		s.emit(Count{Group: "refusal", Reason: string(messenger.OwnerGone)})
		s.reply(w, messenger.NewRefusal(f.JobID, messenger.NewError(messenger.OwnerGone, "")))
		return
	}
	// The body is held in memory both decoded and encoded.
	cost := 2*bytes + forwardOverhead
	if s.pendingForwards >= maxForwards || s.jobs.HeldBytes+s.forwardBytes+cost > s.cfg.MaxHeldBytes {
		e := messenger.NewError(messenger.Overloaded, "too many requests wait for other entries").WithRetryAfter(s.jitteredRetryMs(500))
		e.Ran, e.SafeToResubmit = messenger.MayHaveRun, false
		s.refuseRequest(now, w, f.JobID, e)
		return
	}
	s.pendingForwards++
	s.forwardCost[w] = cost
	s.forwardBytes += cost
	f.Waiter = w
	if _, ok := s.requestedIDs[w]; ok {
		// This entry issues the ids itself, so the owner is not asked for any.
		// An invalid count is passed on, so that the owner refuses it.
		f.Submission.MoreIDs = 0
	}
	s.emit(Count{Group: "message", Reason: "forward"})
	s.emit(f)
}

func (s *State) handleForwarded(now time.Time, msg Forwarded) {
	s.pendingForwards--
	s.forwardBytes -= s.forwardCost[msg.Waiter]
	delete(s.forwardCost, msg.Waiter)
	if msg.Err == nil {
		s.sendAnswer(now, msg.Waiter, msg.Answer)
		return
	}
	text := "the entry that issued the id did not answer in time"
	if msg.Err.NotSent {
		text = "the entry that issued the id can't be reached"
	}
	e := messenger.NewError(messenger.OwnerUnreachable, text).WithRetryAfter(s.jitteredRetryMs(200))
	s.emit(Count{Group: "wasted", Reason: "forwardLost"})
	s.refuseRequest(now, msg.Waiter, msg.JobID, e)
}
