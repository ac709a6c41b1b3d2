package dispatcher

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/broker"
)

// grantSender holds the pending message from this entry's broker to another
// entry. At most one message is in flight.
type grantSender struct {
	inFlight bool
	retryAt  time.Time
	batch    messenger.GrantsRequest
}

func (p *grantSender) pending() bool {
	return p.batch.NeedRegistration || len(p.batch.Grants) > 0 || len(p.batch.Refusals) > 0
}

// replyCollector gathers the broker's output for the entry whose message is
// being handled.
type replyCollector struct {
	to    messenger.Member
	reply messenger.SlotsReply
}

// updateBroker passes an event to this entry's broker and executes the
// commands it returns.
func (s *State) updateBroker(now time.Time, msg broker.Msg) {
	for _, cmd := range s.broker.Update(now, msg) {
		switch cmd := cmd.(type) {
		case broker.Send:
			s.sendFromBroker(now, cmd)
		case broker.Probe:
			s.emit(Count{Group: "message", Reason: "probe"})
			s.emit(Count{Group: "wasted", Reason: "probe"})
			s.emit(Probe{Target: cmd.Target})
		case broker.Count:
			// The entry that owns the job, which may be this one, counts
			// refusals and retries.
			if cmd.Group == "target" {
				s.emit(Count{Group: cmd.Group, Reason: cmd.Reason})
			}
		}
	}
}

func (s *State) sendFromBroker(now time.Time, cmd broker.Send) {
	switch {
	case cmd.To == s.cfg.Self:
		s.session.needRegistration = s.session.needRegistration || cmd.NeedRegistration && s.selfIsBroker()
		s.applyBrokerReply(now, now, cmd.Grants, cmd.Refusals)
	case s.collector != nil && s.collector.to == cmd.To:
		r := &s.collector.reply
		r.NeedRegistration = r.NeedRegistration || cmd.NeedRegistration
		r.Grants = append(r.Grants, cmd.Grants...)
		r.Refusals = append(r.Refusals, cmd.Refusals...)
	default:
		p, ok := s.grantSenders[cmd.To]
		if !ok {
			p = &grantSender{}
			s.grantSenders[cmd.To] = p
		}
		p.batch.NeedRegistration = p.batch.NeedRegistration || cmd.NeedRegistration
		p.batch.Grants = append(p.batch.Grants, cmd.Grants...)
		p.batch.Refusals = append(p.batch.Refusals, cmd.Refusals...)
	}
}

// handleSlotsReceived passes a message from another entry to this entry's
// broker and sends the broker's output as the reply.
func (s *State) handleSlotsReceived(now time.Time, msg SlotsReceived) {
	s.collector = &replyCollector{to: msg.Request.From, reply: messenger.SlotsReply{From: s.cfg.Self}}
	s.updateBroker(now, broker.SlotsReceived{Request: msg.Request})
	s.collector.reply.SpareCapacity = s.broker.HasSpareCapacity()
	s.reply(msg.Waiter, s.collector.reply)
	s.collector = nil
}

func (s *State) flushGrants(now time.Time) {
	for _, to := range sortedMembers(s.grantSenders) {
		p := s.grantSenders[to]
		if p.inFlight || !p.pending() || now.Before(p.retryAt) {
			continue
		}
		p.inFlight = true
		req := p.batch
		p.batch = messenger.GrantsRequest{}
		req.From, req.To = s.cfg.Self, to.Incarnation
		s.emit(Count{Group: "message", Reason: "grants"})
		s.emit(SendGrants{To: to, Request: req})
	}
}

// handleGrantsSent makes the entry register again if a message to it failed,
// because the grants in it may or may not have arrived.
func (s *State) handleGrantsSent(now time.Time, msg GrantsSent) {
	p, ok := s.grantSenders[msg.To]
	if !ok {
		return
	}
	p.inFlight = false
	if msg.Err == nil {
		return
	}
	s.emit(Count{Group: "wasted", Reason: "grantsLost"})
	if !s.isLive(msg.To) {
		delete(s.grantSenders, msg.To)
		return
	}
	p.retryAt = now.Add(peerRetryDelay)
	s.updateBroker(now, broker.SendFailed{To: msg.To})
}
