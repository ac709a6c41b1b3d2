package dispatcher

import (
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/registrar"
)

// peerRetryDelay is the pause after a message between an entry and a broker
// failed, or after a broker requested a registration. It is well under the
// suspicion timeout of the membership, and long enough not to overload a broker
// that is starting.
const peerRetryDelay = 50 * time.Millisecond

// Releases to a broker with plenty of free slots are delayed by up to
// releaseDelay, unless releaseBatch of them are pending earlier. At the design
// load a failure domain starts 20,700 tasks per second; those that end within
// any 20 ms hold 6 percent of its slots, less than spareCapacityPercent of
// package broker.
const (
	releaseDelay = 20 * time.Millisecond
	releaseBatch = 64
)

// runningTask is a task that was sent to a target and has not ended.
type runningTask struct {
	grant       messenger.Grant
	team        string
	requestType string
	priority    messenger.Priority
	memoryMB    int64
	deadline    time.Time
	startedAt   time.Time
}

// brokerSession holds the pending message to the broker. At most one message
// is in flight; requests, releases and cancellations that arise meanwhile are
// batched into the next one. needRegistration is set if the next message
// has to be a registration, as defined in package broker.
type brokerSession struct {
	to               messenger.Member
	inFlight         bool
	needRegistration bool
	retryAt          time.Time
	// spareCapacity is set while the broker has plenty of free slots;
	// oldestRelease is when the oldest release in batch was added.
	spareCapacity bool
	oldestRelease time.Time
	requestedJobs []string
	batch         messenger.SlotsRequest
}

func (b *brokerSession) pending() bool {
	return b.needRegistration || len(b.batch.Requests) > 0 || len(b.batch.Releases) > 0 || len(b.batch.Cancels) > 0
}

// readyToSend reports whether a message should be sent now.
func (b *brokerSession) readyToSend(now time.Time) bool {
	if b.inFlight || !b.pending() || now.Before(b.retryAt) {
		return false
	}
	urgent := b.needRegistration || len(b.batch.Requests) > 0 || len(b.batch.Cancels) > 0 || len(b.batch.Releases) >= releaseBatch
	return urgent || !b.spareCapacity || now.Sub(b.oldestRelease) >= releaseDelay
}

// selfIsBroker reports whether this entry uses its own broker.
func (s *State) selfIsBroker() bool { return s.session.to == s.cfg.Self }

// usesLocalRouting reports whether the settings make every entry its own broker.
func (s *State) usesLocalRouting() bool {
	return s.cfg.Broker.Routing != "" && s.cfg.Broker.Routing != "broker"
}

// setBroker makes m the broker. Anything still pending for the previous broker
// is part of the registration with the new one.
func (s *State) setBroker(m messenger.Member) {
	if s.session.to != m {
		s.session = brokerSession{to: m, needRegistration: true}
	}
}

// requestSlots queues a slot request for a new job, unless a pending
// registration will contain it.
func (s *State) requestSlots(j *registrar.Job) {
	j.SlotsRequested = true
	b := &s.session
	if b.needRegistration {
		return
	}
	b.batch.Requests = append(b.batch.Requests, messenger.SlotRequest{JobID: j.ID})
}

// releaseGrant queues the release of a grant. A release whose task needs
// another grant is not delayed.
func (s *State) releaseGrant(now time.Time, r messenger.Release) {
	b := &s.session
	if len(b.batch.Releases) == 0 {
		b.oldestRelease = now
	}
	if r.Requeue {
		b.spareCapacity = false
	}
	b.batch.Releases = append(b.batch.Releases, r)
}

// cancelWaitingTasks removes a job's waiting tasks from the broker's queue.
func (s *State) cancelWaitingTasks(j *registrar.Job) {
	if !j.SlotsRequested || len(j.WaitingTaskIndexes()) == 0 {
		return
	}
	b := &s.session
	n := len(b.batch.Requests)
	b.batch.Requests = slices.DeleteFunc(b.batch.Requests, func(r messenger.SlotRequest) bool { return r.JobID == j.ID })
	if n == len(b.batch.Requests) && !b.needRegistration {
		b.batch.Cancels = append(b.batch.Cancels, j.ID)
	}
}

// slotRequest returns the request for the waiting tasks of j, with times
// relative to now.
func slotRequest(now time.Time, j *registrar.Job) messenger.SlotRequest {
	return messenger.SlotRequest{
		JobID: j.ID, Service: j.Service, RequestType: j.RequestType, Team: j.Team, Priority: j.Priority,
		Tasks: j.WaitingTaskIndexes(), Running: j.RunningTaskCount(),
		DeclaredRunMs: j.Hints.DeclaredRunMs, DeclaredMemoryMB: j.Hints.DeclaredMemoryMB,
		DeadlineInMs: j.Deadline.Sub(now).Milliseconds(), WaitedMs: now.Sub(j.ReceivedAt).Milliseconds(),
		Admitted: j.Admitted,
	}
}

// nextSlotsRequest builds a message from the batch and clears the batch.
func (s *State) nextSlotsRequest(now time.Time, b *brokerSession) messenger.SlotsRequest {
	s.sequence++
	req := b.batch
	b.batch = messenger.SlotsRequest{}
	req.From, req.To, req.Sequence = s.cfg.Self, b.to.Incarnation, s.sequence
	if b.needRegistration {
		b.needRegistration = false
		s.fillRegistration(now, &req)
	} else {
		s.fillRequests(now, &req)
	}
	b.requestedJobs = b.requestedJobs[:0]
	for _, r := range req.Requests {
		b.requestedJobs = append(b.requestedJobs, r.JobID)
	}
	return req
}

// fillRegistration adds everything that the broker needs to know about this
// entry. Releases stay in the message because they report the status of
// targets.
func (s *State) fillRegistration(now time.Time, req *messenger.SlotsRequest) {
	req.Full = true
	req.Requests, req.Cancels = nil, nil
	s.jobs.EachInProgress(func(j *registrar.Job) {
		if j.SlotsRequested && len(j.WaitingTaskIndexes()) > 0 {
			req.Requests = append(req.Requests, slotRequest(now, j))
		}
	})
	slices.SortFunc(req.Requests, func(a, b messenger.SlotRequest) int { return int(b.WaitedMs - a.WaitedMs) })
	for _, h := range s.runningTasks {
		req.Held = append(req.Held, messenger.RunningGrant{
			Grant: h.grant, Team: h.team, RequestType: h.requestType, Priority: h.priority,
			RanMs:            now.Sub(h.startedAt).Milliseconds(),
			DeclaredMemoryMB: h.memoryMB, DeadlineInMs: h.deadline.Sub(now).Milliseconds(),
		})
	}
	slices.SortFunc(req.Held, func(a, b messenger.RunningGrant) int { return int(b.RanMs - a.RanMs) })
}

// fillRequests completes the new requests; the batch holds only their job ids.
func (s *State) fillRequests(now time.Time, req *messenger.SlotsRequest) {
	kept := req.Requests[:0]
	for _, r := range req.Requests {
		if j := s.jobs.Find(r.JobID); j != nil && !j.Finished() {
			kept = append(kept, slotRequest(now, j))
		}
	}
	req.Requests = kept
}

// flush sends pending messages. Messages to this entry's own broker are
// handled immediately and may cause more.
func (s *State) flush(now time.Time) {
	if !s.discovered {
		return
	}
	for s.selfIsBroker() && s.session.readyToSend(now) {
		s.sendToOwnBroker(now)
	}
	if b := &s.session; !s.selfIsBroker() && b.readyToSend(now) {
		b.inFlight = true
		req := s.nextSlotsRequest(now, b)
		s.countSlotsRequest(req)
		s.emit(SendSlots{To: b.to, Request: req})
	}
	s.flushGrants(now)
}

func (s *State) countSlotsRequest(req messenger.SlotsRequest) {
	reason := "slots"
	if req.Full {
		reason = "registration"
	}
	s.emit(Count{Group: "message", Reason: reason})
}

// sendToOwnBroker passes the pending message to this entry's own broker. Jobs
// that it does not refuse immediately are admitted.
func (s *State) sendToOwnBroker(now time.Time) {
	b := &s.session
	req := s.nextSlotsRequest(now, b)
	jobIDs := slices.Clone(b.requestedJobs)
	s.updateBroker(now, broker.SlotsReceived{Request: req})
	s.markJobsAdmitted(now, jobIDs)
	if b.needRegistration && req.Full {
		b.retryAt = now.Add(peerRetryDelay)
	}
}

func (s *State) markJobsAdmitted(now time.Time, jobIDs []string) {
	for _, id := range jobIDs {
		if j := s.jobs.Find(id); j != nil && !j.Finished() {
			s.markAdmitted(now, j)
		}
	}
}

func (s *State) handleSlotsAnswered(now time.Time, msg SlotsAnswered) {
	b := &s.session
	if b.to != msg.To {
		// The broker has changed in the meantime. Grants of the previous one are
		// valid until their lease ends; the registration with the new one lists
		// them.
		for _, g := range msg.Reply.Grants {
			s.startOrReleaseGrant(now, msg.SentAt, g)
		}
		return
	}
	b.inFlight = false
	if msg.Err != nil || msg.Reply.From.Incarnation != b.to.Incarnation {
		b.needRegistration, b.retryAt = true, now.Add(peerRetryDelay)
		s.emit(Count{Group: "wasted", Reason: "slotsLost"})
		return
	}
	b.spareCapacity = msg.Reply.SpareCapacity
	if msg.Reply.NeedRegistration {
		b.needRegistration, b.retryAt = true, now.Add(peerRetryDelay)
	}
	jobIDs := slices.Clone(b.requestedJobs)
	s.applyBrokerReply(now, msg.SentAt, msg.Reply.Grants, msg.Reply.Refusals)
	if !msg.Reply.NeedRegistration {
		s.markJobsAdmitted(now, jobIDs)
	}
}

func (s *State) handleGrantsReceived(now time.Time, msg GrantsReceived) {
	s.reply(msg.Waiter, msg.Request.To == s.cfg.Self.Incarnation)
	if msg.Request.To != s.cfg.Self.Incarnation {
		return
	}
	if s.session.to == msg.Request.From && msg.Request.NeedRegistration {
		s.session.needRegistration = true
	}
	s.applyBrokerReply(now, now, msg.Request.Grants, msg.Request.Refusals)
}
