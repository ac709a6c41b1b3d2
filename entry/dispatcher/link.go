package dispatcher

import (
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/registrar"
)

// linkRetry is the pause after a message to a broker got no reply or asked for
// a registration: well under the suspicion time of the membership, and long
// enough not to load a broker that is starting.
const linkRetry = 50 * time.Millisecond

// Releases to a broker with plenty of free slots wait up to releaseDelay, or
// until releaseBatch are together. At the design size a failure domain starts
// 20,700 tasks a second; 20 ms of them are 6 percent of its slots, less than
// the part that a relaxed broker has free.
const (
	releaseDelay = 20 * time.Millisecond
	releaseBatch = 64
)

// heldTask is a task that is on a target now.
type heldTask struct {
	grant       messenger.Grant
	team        string
	requestType string
	priority    messenger.Priority
	memoryMB    int64
	deadline    time.Time
	since       time.Time
}

// link is what this entry has to say to the broker. One message is on its way
// at a time; what comes up meanwhile travels together in the next.
type link struct {
	to       messenger.Member
	busy     bool
	needFull bool
	retryAt  time.Time
	// relaxed is set while the broker has plenty of free slots; released is
	// when the oldest release in the box came up.
	relaxed  bool
	released time.Time
	asked    []string
	box      messenger.SlotsRequest
}

func (l *link) pending() bool {
	return l.needFull || len(l.box.Requests) > 0 || len(l.box.Releases) > 0 || len(l.box.Cancels) > 0
}

// due tells whether the link has something to say now.
func (l *link) due(now time.Time) bool {
	if l.busy || !l.pending() || now.Before(l.retryAt) {
		return false
	}
	urgent := l.needFull || len(l.box.Requests) > 0 || len(l.box.Cancels) > 0 || len(l.box.Releases) >= releaseBatch
	return urgent || !l.relaxed || now.Sub(l.released) >= releaseDelay
}

// toSelf tells whether the own broker decides for this entry.
func (s *State) toSelf() bool { return s.link.to == s.cfg.Self }

func (s *State) ownRouting() bool {
	return s.cfg.Broker.Routing != "" && s.cfg.Broker.Routing != "broker"
}

// connect makes m the broker. What the old link still had to say is part of
// the registration with the new one.
func (s *State) connect(m messenger.Member) {
	if s.link.to != m {
		s.link = link{to: m, needFull: true}
	}
}

// ask requests slots for a new job.
func (s *State) ask(j *registrar.Job) {
	j.Asked = true
	l := &s.link
	if l.needFull {
		return
	}
	l.box.Requests = append(l.box.Requests, messenger.SlotRequest{JobID: j.ID})
}

// release gives a grant back. One that needs another grant for its task does
// not wait for others to travel with.
func (s *State) release(now time.Time, r messenger.Release) {
	l := &s.link
	if len(l.box.Releases) == 0 {
		l.released = now
	}
	if r.Requeue {
		l.relaxed = false
	}
	l.box.Releases = append(l.box.Releases, r)
}

// withdraw takes a job's waiting tasks out of the broker's queue.
func (s *State) withdraw(j *registrar.Job) {
	if !j.Asked || len(j.WaitingTasks()) == 0 {
		return
	}
	l := &s.link
	n := len(l.box.Requests)
	l.box.Requests = slices.DeleteFunc(l.box.Requests, func(r messenger.SlotRequest) bool { return r.JobID == j.ID })
	if n == len(l.box.Requests) && !l.needFull {
		l.box.Cancels = append(l.box.Cancels, j.ID)
	}
}

// slotRequest describes j to a broker at the time now.
func slotRequest(now time.Time, j *registrar.Job) messenger.SlotRequest {
	return messenger.SlotRequest{
		JobID: j.ID, Service: j.Service, RequestType: j.RequestType, Team: j.Team, Priority: j.Priority,
		Tasks: j.WaitingTasks(), Running: j.RunningTasks(),
		DeclaredRunMs: j.Hints.DeclaredRunMs, DeclaredMemoryMB: j.Hints.DeclaredMemoryMB,
		DeadlineInMs: j.Deadline.Sub(now).Milliseconds(), WaitedMs: now.Sub(j.Received).Milliseconds(),
		Admitted: j.Admitted,
	}
}

// take empties the link's box into a message.
func (s *State) take(now time.Time, l *link) messenger.SlotsRequest {
	s.sequence++
	req := l.box
	l.box = messenger.SlotsRequest{}
	req.From, req.To, req.Sequence = s.cfg.Self, l.to.Incarnation, s.sequence
	if l.needFull {
		l.needFull = false
		s.register(now, &req)
	} else {
		s.describe(now, &req)
	}
	l.asked = l.asked[:0]
	for _, r := range req.Requests {
		l.asked = append(l.asked, r.JobID)
	}
	return req
}

// register fills in all that the broker needs to know of this entry. Releases
// stay in the message for what they tell about targets.
func (s *State) register(now time.Time, req *messenger.SlotsRequest) {
	req.Full = true
	req.Requests, req.Cancels = nil, nil
	s.jobs.Each(func(j *registrar.Job) {
		if j.Asked && len(j.WaitingTasks()) > 0 {
			req.Requests = append(req.Requests, slotRequest(now, j))
		}
	})
	slices.SortFunc(req.Requests, func(a, b messenger.SlotRequest) int { return int(b.WaitedMs - a.WaitedMs) })
	for _, h := range s.held {
		req.Held = append(req.Held, messenger.HeldGrant{
			Grant: h.grant, Team: h.team, RequestType: h.requestType, Priority: h.priority,
			RanMs:            now.Sub(h.since).Milliseconds(),
			DeclaredMemoryMB: h.memoryMB, DeadlineInMs: h.deadline.Sub(now).Milliseconds(),
		})
	}
	slices.SortFunc(req.Held, func(a, b messenger.HeldGrant) int { return int(b.RanMs - a.RanMs) })
}

// describe fills in the new requests, which the box holds by id only.
func (s *State) describe(now time.Time, req *messenger.SlotsRequest) {
	kept := req.Requests[:0]
	for _, r := range req.Requests {
		if j := s.jobs.Find(r.JobID); j != nil && !j.Finished() {
			kept = append(kept, slotRequest(now, j))
		}
	}
	req.Requests = kept
}

// flush sends what is pending. Messages to the own broker are handled at once
// and may cause more.
func (s *State) flush(now time.Time) {
	if !s.settled {
		return
	}
	for s.toSelf() && s.link.due(now) {
		s.deliver(now)
	}
	if l := &s.link; !s.toSelf() && l.due(now) {
		l.busy = true
		req := s.take(now, l)
		s.countSlots(req)
		s.emit(SendSlots{To: l.to, Request: req})
	}
	s.flushGrants(now)
}

func (s *State) countSlots(req messenger.SlotsRequest) {
	reason := "slots"
	if req.Full {
		reason = "registration"
	}
	s.emit(Count{Group: "message", Reason: reason})
}

// deliver hands a message to the own broker. Jobs that it does not refuse at
// once are admitted.
func (s *State) deliver(now time.Time) {
	l := &s.link
	req := s.take(now, l)
	asked := slices.Clone(l.asked)
	s.updateBroker(now, broker.Slots{Request: req})
	s.markAdmitted(now, asked)
	if l.needFull && req.Full {
		l.retryAt = now.Add(linkRetry)
	}
}

func (s *State) markAdmitted(now time.Time, asked []string) {
	for _, id := range asked {
		if j := s.jobs.Find(id); j != nil && !j.Finished() {
			s.admitted(now, j)
		}
	}
}

func (s *State) slotsAnswered(now time.Time, msg SlotsAnswered) {
	l := &s.link
	if l.to != msg.To {
		// The broker has changed meanwhile. The old one's grants hold until
		// their lease ends; the registration with the new one lists them.
		for _, g := range msg.Reply.Grants {
			s.useGrant(now, msg.SentAt, g)
		}
		return
	}
	l.busy = false
	if msg.Err != nil || msg.Reply.From.Incarnation != l.to.Incarnation {
		l.needFull, l.retryAt = true, now.Add(linkRetry)
		s.emit(Count{Group: "wasted", Reason: "slotsLost"})
		return
	}
	l.relaxed = msg.Reply.Relaxed
	if msg.Reply.NeedFull {
		l.needFull, l.retryAt = true, now.Add(linkRetry)
	}
	asked := slices.Clone(l.asked)
	s.apply(now, msg.SentAt, msg.Reply.Grants, msg.Reply.Refusals)
	if !msg.Reply.NeedFull {
		s.markAdmitted(now, asked)
	}
}

func (s *State) grantsReceived(now time.Time, msg GrantsReceived) {
	s.reply(msg.Waiter, msg.Request.To == s.cfg.Self.Incarnation)
	if msg.Request.To != s.cfg.Self.Incarnation {
		return
	}
	if s.link.to == msg.Request.From && msg.Request.NeedFull {
		s.link.needFull = true
	}
	s.apply(now, now, msg.Request.Grants, msg.Request.Refusals)
}
