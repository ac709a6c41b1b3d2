package dispatcher

import (
	"net/http"
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/entry/registrar"
)

// answer replies to a waiter, with the unused ids that it asked for.
func (s *State) answer(now time.Time, w Waiter, a messenger.Answer) {
	if w == 0 {
		return
	}
	if n := s.moreIDs[w]; n > 0 {
		a.NextIDs = s.jobs.Issuer.Issue(now, n)
	}
	delete(s.moreIDs, w)
	s.reply(w, a)
}

// refuse answers a request that has no job of its own.
func (s *State) refuse(now time.Time, w Waiter, id string, e *messenger.Error) {
	s.emit(Count{Group: "refusal", Reason: string(e.Kind)})
	s.answer(now, w, messenger.Refusal(id, e))
}

// finish gives a job its final answer.
func (s *State) finish(now time.Time, j *registrar.Job, a messenger.Answer) {
	if j.Finished() {
		return
	}
	if a.Outcome != messenger.Complete {
		// The waiting tasks are withdrawn first: finishing drops their states.
		s.withdraw(j)
		s.emit(Count{Group: "refusal", Reason: string(a.Error.Kind)})
		s.emit(Note{recorder.Record{
			Event: recorder.JobRefused, JobID: j.ID, Outcome: a.Outcome, Kind: a.Error.Kind, Ran: a.Error.Ran,
		}})
	}
	s.emit(Observe{Priority: j.Priority, Outcome: a.Outcome, Response: now.Sub(j.Received)})
	for _, w := range s.jobs.Finish(now, j, a) {
		s.answer(now, Waiter(w), a)
	}
	if w, ok := s.untilAdmitted[j.ID]; ok {
		delete(s.untilAdmitted, j.ID)
		s.answer(now, w, a)
	}
}

// fail ends a job with e, corrected by what the job's record says about its
// work.
func (s *State) fail(now time.Time, j *registrar.Job, e *messenger.Error) {
	outcome := messenger.Failed
	if !j.Admitted && j.Started == 0 {
		outcome = messenger.Refused
	}
	s.finish(now, j, messenger.Answer{ID: j.ID, Outcome: outcome, Error: j.Fail(e)})
}

func (s *State) fetch(now time.Time, msg Fetch) {
	if !s.jobs.Issuer.Owns(msg.ID) {
		s.forward(msg.Waiter, msg.Forwarded, Forward{
			Method: http.MethodGet, Address: msg.ID.Address, JobID: msg.Text,
			Timeout: time.Duration(msg.WaitMs)*time.Millisecond + time.Second,
		})
		return
	}
	switch j := s.jobs.Find(msg.Text); {
	case j == nil && s.jobs.Issuer.Fresh(now, msg.ID.Sequence):
		s.refuse(now, msg.Waiter, msg.Text, messenger.NewError(messenger.NotFound, "no submission has arrived under this id"))
	case j == nil:
		s.refuse(now, msg.Waiter, msg.Text, messenger.NewError(messenger.IDExpired, ""))
	case j.Finished():
		s.answer(now, msg.Waiter, *j.Answer)
	case msg.WaitMs == 0:
		s.answer(now, msg.Waiter, messenger.Answer{ID: j.ID, Outcome: messenger.InProgress})
	default:
		j.Waiters = append(j.Waiters, uint64(msg.Waiter))
	}
}

func (s *State) cancel(now time.Time, msg Cancel) {
	if !s.jobs.Issuer.Owns(msg.ID) {
		s.forward(msg.Waiter, msg.Forwarded, Forward{
			Method: http.MethodDelete, Address: msg.ID.Address, JobID: msg.Text, Timeout: s.cfg.DefaultDeadline,
		})
		return
	}
	j := s.jobs.Find(msg.Text)
	switch {
	case j == nil && s.jobs.Issuer.Use(now, msg.ID.Sequence):
		j = &registrar.Job{ID: msg.Text, Received: now, Deadline: now, Waiters: []uint64{uint64(msg.Waiter)}}
		s.jobs.Add(j)
		s.fail(now, j, messenger.NewError(messenger.Cancelled, "the job was cancelled before it was submitted"))
	case j == nil:
		s.refuse(now, msg.Waiter, msg.Text, messenger.NewError(messenger.IDExpired, ""))
	case j.Finished():
		s.emit(Count{Group: "wasted", Reason: "lateCancel"})
		s.answer(now, msg.Waiter, *j.Answer)
	default:
		j.Waiters = append(j.Waiters, uint64(msg.Waiter))
		s.fail(now, j, messenger.NewError(messenger.Cancelled, ""))
	}
}

func (s *State) abandon(msg Abandon) {
	delete(s.moreIDs, msg.Waiter)
	if s.untilAdmitted[msg.JobID] == msg.Waiter {
		delete(s.untilAdmitted, msg.JobID)
	}
	if j := s.jobs.Find(msg.JobID); j != nil {
		j.Waiters = slices.DeleteFunc(j.Waiters, func(w uint64) bool { return w == uint64(msg.Waiter) })
	}
}

// forward passes a request to the entry that issued the id. Nobody else may
// start the job or promise that it did not run.
func (s *State) forward(w Waiter, forwarded bool, f Forward) {
	if forwarded || f.Address == s.cfg.Self.Address {
		delete(s.moreIDs, w)
		s.emit(Count{Group: "refusal", Reason: string(messenger.OwnerGone)})
		s.reply(w, messenger.Refusal(f.JobID, messenger.NewError(messenger.OwnerGone, "")))
		return
	}
	s.forwards++
	f.Waiter = w
	if _, ok := s.moreIDs[w]; ok {
		// The ids come from this entry. A number that is not allowed stays, so
		// that the owner refuses it.
		f.Submission.MoreIDs = 0
	}
	s.emit(Count{Group: "message", Reason: "forward"})
	s.emit(f)
}

func (s *State) forwarded(now time.Time, msg Forwarded) {
	s.forwards--
	if msg.Err == nil {
		s.answer(now, msg.Waiter, msg.Answer)
		return
	}
	text := "the entry that issued the id did not answer in time"
	if msg.Err.NotSent {
		text = "the entry that issued the id can't be reached"
	}
	e := messenger.NewError(messenger.OwnerUnreachable, text).After(s.spread(200))
	s.emit(Count{Group: "wasted", Reason: "forwardLost"})
	s.refuse(now, msg.Waiter, msg.JobID, e)
}
