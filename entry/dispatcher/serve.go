package dispatcher

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/broker"
)

// sender is what the own broker has to say to one other entry. One message is
// on its way at a time.
type sender struct {
	busy    bool
	retryAt time.Time
	box     messenger.GrantsRequest
}

func (p *sender) pending() bool {
	return p.box.NeedFull || len(p.box.Grants) > 0 || len(p.box.Refusals) > 0
}

// collector gathers what the broker says to the entry whose message is being
// handled.
type collector struct {
	to    messenger.Member
	reply messenger.SlotsReply
}

// updateBroker passes an event to the own broker and handles its commands.
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
			// Refusals and retries are counted by the entry that has the job,
			// which this one may be.
			if cmd.Group == "target" {
				s.emit(Count{Group: cmd.Group, Reason: cmd.Reason})
			}
		}
	}
}

func (s *State) sendFromBroker(now time.Time, cmd broker.Send) {
	switch {
	case cmd.To == s.cfg.Self:
		s.link.needFull = s.link.needFull || cmd.NeedFull && s.toSelf()
		s.apply(now, now, cmd.Grants, cmd.Refusals)
	case s.collect != nil && s.collect.to == cmd.To:
		r := &s.collect.reply
		r.NeedFull = r.NeedFull || cmd.NeedFull
		r.Grants = append(r.Grants, cmd.Grants...)
		r.Refusals = append(r.Refusals, cmd.Refusals...)
	default:
		p, ok := s.senders[cmd.To]
		if !ok {
			p = &sender{}
			s.senders[cmd.To] = p
		}
		p.box.NeedFull = p.box.NeedFull || cmd.NeedFull
		p.box.Grants = append(p.box.Grants, cmd.Grants...)
		p.box.Refusals = append(p.box.Refusals, cmd.Refusals...)
	}
}

// slotsReceived handles a message of another entry to the own broker.
func (s *State) slotsReceived(now time.Time, msg SlotsReceived) {
	s.collect = &collector{to: msg.Request.From, reply: messenger.SlotsReply{From: s.cfg.Self}}
	s.updateBroker(now, broker.Slots{Request: msg.Request})
	s.collect.reply.Relaxed = s.broker.Relaxed()
	s.reply(msg.Waiter, s.collect.reply)
	s.collect = nil
}

func (s *State) flushGrants(now time.Time) {
	for _, to := range sortedMembers(s.senders) {
		p := s.senders[to]
		if p.busy || !p.pending() || now.Before(p.retryAt) {
			continue
		}
		p.busy = true
		req := p.box
		p.box = messenger.GrantsRequest{}
		req.From, req.To = s.cfg.Self, to.Incarnation
		s.emit(Count{Group: "message", Reason: "grants"})
		s.emit(SendGrants{To: to, Request: req})
	}
}

// grantsSent asks the entry to register again if a message to it was lost: the
// grants in it may or may not have arrived.
func (s *State) grantsSent(now time.Time, msg GrantsSent) {
	p, ok := s.senders[msg.To]
	if !ok {
		return
	}
	p.busy = false
	if msg.Err == nil {
		return
	}
	s.emit(Count{Group: "wasted", Reason: "grantsLost"})
	if !s.live(msg.To) {
		delete(s.senders, msg.To)
		return
	}
	p.retryAt = now.Add(linkRetry)
	s.updateBroker(now, broker.Undelivered{To: msg.To})
}
