// Package elector is the reducer that finds the entry which owns the workers.
// Every entry calls its owner a few times a second; an owner that is silent is
// replaced by the strongest entry among those that hear each
// other. Two owners never harm each other's work, since workers obey the
// highest fence only; the rules here keep them from taking workers in turns.
// It performs no I/O and reads no clock.
package elector

import (
	"sort"
	"time"
)

const (
	// pingEvery is the pause between calls to the owner.
	pingEvery = 150 * time.Millisecond
	// silentFor is the time without an answer after which the owner is taken
	// as lost. Leases of 1 s then leave time for a takeover.
	silentFor = 450 * time.Millisecond
	// lateFrom is the pause between two ticks, which are 20 ms apart, from which
	// on this entry was late itself: others may have answered meanwhile.
	lateFrom = 200 * time.Millisecond
	// answerFor is how long an entry that was late waits before it takes others
	// as silent: the time-out of one call.
	answerFor = 250 * time.Millisecond
	// hearFor is the age up to which another entry counts as heard. It is below
	// silentFor, so that an owner that was just lost does not count.
	hearFor = 400 * time.Millisecond
	// lostFor is the time without a call after which the jobs of an entry are
	// stopped. Its caller may send them again 1.3 s after it lost its answer.
	lostFor = 700 * time.Millisecond
	// startFor is how long a new process that does not hear most of the others
	// looks for an owner before it becomes one: entries start within 0.3 s of
	// each other.
	startFor = 1200 * time.Millisecond
	// searchFor is how long an entry that lost its owner looks for another.
	searchFor = 120 * time.Millisecond
	// deposedFor is how long an entry whose workers were taken does not claim
	// any: the other owner is alive, though out of reach.
	deposedFor = 3 * time.Second
	// reclaimEvery is the pause between claims for workers that were taken:
	// one claim serves all that are lost at once.
	reclaimEvery = 100 * time.Millisecond
	// settleFor is how long an owner keeps the workers before it hands them to a
	// stronger entry, and strongerFactor how many times its processor time that
	// entry must have.
	settleFor      = 2 * time.Second
	strongerFactor = 2
	// seekEvery is the pause between calls of an owner to entries that don't
	// call it: they may follow another owner.
	seekEvery = time.Second
	// forgetFor is the time after which an entry that was not heard no longer
	// counts for a majority.
	forgetFor = 6 * time.Second
	// dropAfter is how long after that an entry is still called now and then:
	// it may have been cut off, with an owner on its side.
	dropAfter = time.Minute
)

// State is the reducer. Make one with [New].
type State struct {
	self     Member
	group    string
	grouped  bool
	members  map[string]*member
	owner    string
	term     int64
	leading  bool
	stopping bool
	// successor is the entry that this owner gave its workers to.
	successor   string
	searchSince time.Time
	startedAt   time.Time
	deposedAt   time.Time
	ownedAt     time.Time
	contested   bool
	reclaimedAt time.Time
	tickedAt    time.Time
	// patientUntil is when silence counts again after this entry was late.
	patientUntil time.Time
	wallMs       int64
	cmds         []Cmd
}

// New returns the state of an entry that starts at now.
func New(now time.Time, self Member) *State {
	return &State{self: self, members: map[string]*member{}, startedAt: now, searchSince: now}
}

// Owner returns the address of the owner, or "" while none is known.
func (s *State) Owner() string { return s.owner }

// Leading tells whether this entry owns the workers.
func (s *State) Leading() bool { return s.leading }

// View returns what this entry says of itself.
func (s *State) View(now time.Time) View {
	v := View{From: s.self, Group: s.group, Owner: s.owner, Stopping: s.stopping, Successor: s.successor}
	if s.leading {
		v.Term = s.term
	}
	if !s.leading && s.owner != "" {
		return v
	}
	for _, a := range s.addresses() {
		if s.members[a].known(now) {
			v.Members = append(v.Members, a)
		}
	}
	return v
}

func (s *State) addresses() []string {
	list := make([]string, 0, len(s.members))
	for a := range s.members {
		list = append(list, a)
	}
	sort.Strings(list)
	return list
}

// Update handles one event and returns the effects in order.
func (s *State) Update(now time.Time, msg Msg) []Cmd {
	s.cmds = nil
	switch msg := msg.(type) {
	case Known:
		s.learn(now, msg.Addresses)
	case Grouped:
		s.join(now, msg.Group)
	case Called:
		m := s.heard(now, msg.View)
		m.calledAt = now
		s.judge(now, m)
	case Answered:
		m := s.heard(now, msg.View)
		m.answeredAt, m.waiting = now, false
		s.judge(now, m)
	case Unanswered:
		s.unanswered(now, msg)
	case Deposed:
		s.deposed(now)
	case Drain:
		s.drain(now)
	case Resumed:
		s.resumed(now)
	case Tick:
		s.wallMs = msg.WallMs
		s.tick(now)
	}
	return s.cmds
}

func (s *State) do(cmd Cmd) { s.cmds = append(s.cmds, cmd) }
