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

// Member is an entry. Address is IP:port for calls between entries.
type Member struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Incarnation   uint64 `json:"incarnation"`
	// CPU is the share of a processor that the entry has, in thousandths. The
	// strongest entry becomes the owner.
	CPU int64 `json:"cpu,omitempty"`
}

// before tells whether m comes before o as an owner.
func (m Member) before(o Member) bool {
	if m.CPU != o.CPU {
		return m.CPU > o.CPU
	}
	return m.Address < o.Address
}

// View is what an entry says of itself in a call or its answer.
type View struct {
	From Member `json:"from"`
	// Group names the workers that the sender takes part in owning.
	Group string `json:"group"`
	// Term is set by an owner; of two owners the one with the lower term, the
	// older one, stays.
	Term int64 `json:"term,omitempty"`
	// Owner is the address that the sender follows, or its own.
	Owner string `json:"owner,omitempty"`
	// Successor is set by an owner that stops.
	Successor string `json:"successor,omitempty"`
	Stopping  bool   `json:"stopping,omitempty"`
	// Members are the addresses that an owner, or an entry without one, knows
	// of.
	Members []string `json:"members,omitempty"`
}

// Msg is an event for [State.Update].
type Msg interface{ isMsg() }

// Known adds addresses from the settings or the store.
type Known struct{ Addresses []string }

// Grouped tells which group of workers this entry takes part in owning: all,
// or those of its failure domain. There is no owner before it is known.
type Grouped struct{ Group string }

// Called is a call by another entry.
type Called struct{ View View }

// Answered is the answer to [Ping].
type Answered struct{ View View }

// Unanswered is a ping without an answer. Refused tells that nothing listens.
type Unanswered struct {
	Address string
	Refused bool
}

// Deposed tells that another owner took a worker of this one.
type Deposed struct{}

// Drain begins the planned stop.
type Drain struct{}

// Resumed tells that the process stood still.
type Resumed struct{}

// Tick lets time pass. WallMs is the wall clock in Unix milliseconds.
type Tick struct{ WallMs int64 }

func (Known) isMsg()      {}
func (Grouped) isMsg()    {}
func (Called) isMsg()     {}
func (Answered) isMsg()   {}
func (Unanswered) isMsg() {}
func (Deposed) isMsg()    {}
func (Drain) isMsg()      {}
func (Resumed) isMsg()    {}
func (Tick) isMsg()       {}

// Cmd is an effect that [State.Update] asks for.
type Cmd interface{ isCmd() }

// Ping calls an entry.
type Ping struct{ Address string }

// Own makes this entry the owner of the workers, or has it claim again those
// that were taken.
type Own struct {
	WallMs    int64
	Contested bool
	// Heard and Known count entries, this one included.
	Heard, Known int
}

// Disown gives the workers up; with Moved to a successor that knows.
type Disown struct {
	Moved  bool
	Reason string
}

// Lost tells that an entry was not heard for too long.
type Lost struct{ Address string }

// OwnerChanged tells where jobs go from now on; empty for nowhere.
type OwnerChanged struct{ Address, Before, Reason string }

func (Ping) isCmd()         {}
func (Own) isCmd()          {}
func (Disown) isCmd()       {}
func (Lost) isCmd()         {}
func (OwnerChanged) isCmd() {}

type member struct {
	Member
	// calledAt and answeredAt are the last signs of life in each direction.
	calledAt   time.Time
	answeredAt time.Time
	pingedAt   time.Time
	knownAt    time.Time
	refusedAt  time.Time
	waiting    bool
	// foreign entries belong to another group.
	foreign  bool
	stopping bool
	lost     bool
	view     View
}

func (m *member) heardAt() time.Time {
	if m.calledAt.After(m.answeredAt) {
		return m.calledAt
	}
	return m.answeredAt
}

// known tells whether the entry was heard, or named by an owner, lately.
func (m *member) known(now time.Time) bool {
	return now.Sub(m.knownAt) <= forgetFor || now.Sub(m.heardAt()) <= forgetFor
}

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
	wallMs      int64
	cmds        []Cmd
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

func (s *State) learn(now time.Time, addresses []string) {
	for _, a := range addresses {
		if a == "" || a == s.self.Address || s.members[a] != nil {
			continue
		}
		s.members[a] = &member{Member: Member{Address: a}, knownAt: now}
	}
}

// join changes the group of this entry.
func (s *State) join(now time.Time, group string) {
	if s.grouped && s.group == group {
		return
	}
	if s.leading {
		s.disown(now, false, "the workers are grouped in another way")
	}
	s.group, s.grouped = group, true
	s.startedAt, s.searchSince = now, now
	s.follow(now, "", "the workers are grouped in another way")
	for _, m := range s.members {
		m.foreign = m.view.Group != "" && m.view.Group != group
	}
}

func (s *State) heard(now time.Time, v View) *member {
	s.learn(now, []string{v.From.Address})
	s.learn(now, v.Members)
	if v.Term != 0 {
		for _, a := range v.Members {
			if m := s.members[a]; m != nil {
				m.knownAt = now
			}
		}
	}
	m := s.members[v.From.Address]
	if m == nil {
		// A call from this entry's own address changes nothing.
		return &member{Member: s.self}
	}
	back := m.view.Term != 0 || (!m.heardAt().IsZero() && now.Sub(m.heardAt()) > lostFor)
	if s.leading && back && v.Term == 0 && v.Owner == s.self.Address && now.Sub(s.reclaimedAt) >= reclaimEvery {
		// It follows this owner again after a partition, in which workers may
		// have had another owner that has now given them up.
		s.reclaimedAt = now
		s.do(Own{WallMs: s.wallMs})
	}
	m.Member, m.view, m.stopping, m.refusedAt, m.lost = v.From, v, v.Stopping, time.Time{}, false
	// An entry that knows no workers yet may turn out to belong to this group.
	m.foreign = v.Group != "" && v.Group != s.group
	return m
}

// judge draws the conclusions from what another entry says.
func (s *State) judge(now time.Time, m *member) {
	v := m.view
	if m.Address == s.self.Address || m.foreign {
		return
	}
	owns := v.Owner == m.Address && v.Term != 0
	switch {
	case owns && s.leading && !s.stopping && (v.Term < s.term || (v.Term == s.term && m.Address < s.self.Address)):
		s.successor = m.Address
		s.disown(now, true, "an older owner was found")
		s.follow(now, m.Address, "an older owner was found")
	case owns && !s.leading && (s.owner == "" || s.owner == s.self.Address):
		s.follow(now, m.Address, "it owns the workers")
	case !owns && s.owner == m.Address && v.Successor == s.self.Address && !s.stopping:
		s.own(now, false, "the owner stops and named this entry")
	case !owns && s.owner == m.Address && v.Successor != "" && v.Successor != s.self.Address:
		s.follow(now, v.Successor, "the owner stops and named it")
	case !owns && s.owner == m.Address:
		s.follow(now, "", "it no longer owns the workers")
	}
}

// disown gives the workers up.
func (s *State) disown(now time.Time, moved bool, reason string) {
	s.leading, s.term, s.searchSince = false, 0, now
	s.do(Disown{Moved: moved, Reason: reason})
}

func (s *State) follow(now time.Time, address, reason string) {
	if address == s.owner {
		return
	}
	s.do(OwnerChanged{Address: address, Before: s.owner, Reason: reason})
	s.owner = address
	if address == "" {
		s.searchSince = now
	} else if m := s.members[address]; m != nil {
		// The new owner has a full period to answer.
		m.answeredAt = now
	}
}

func (s *State) own(now time.Time, contested bool, reason string) {
	s.leading, s.successor, s.ownedAt, s.contested = true, "", now, contested
	s.term = max(s.wallMs, 1)
	heard, known := s.count(now)
	s.do(Own{WallMs: s.wallMs, Contested: contested, Heard: heard, Known: known})
	s.follow(now, s.self.Address, reason)
	// Entries that are about to become owners too learn of this one.
	for _, a := range s.addresses() {
		s.ping(now, s.members[a], 0)
	}
}

func (s *State) unanswered(now time.Time, msg Unanswered) {
	m := s.members[msg.Address]
	if m == nil {
		return
	}
	m.waiting = false
	if !msg.Refused {
		return
	}
	m.refusedAt = now
	if s.owner == m.Address {
		s.follow(now, "", "its address refuses connections")
	}
}

// deposed handles the loss of a worker to another owner: an owner that most
// others follow claims it back, any other steps down.
func (s *State) deposed(now time.Time) {
	if !s.leading {
		return
	}
	heard, all := s.count(now)
	// The others call a new owner only after they have heard of it.
	fresh := !s.contested && now.Sub(s.ownedAt) < hearFor
	// Of two halves only the one with the former owner claims back.
	most := 2*heard > all || (2*heard == all && !s.contested)
	if fresh || (most && heard > 1) {
		if now.Sub(s.reclaimedAt) >= reclaimEvery {
			s.reclaimedAt = now
			s.do(Own{WallMs: s.wallMs})
		}
		return
	}
	s.deposedAt = now
	s.disown(now, false, "another entry owns the workers")
	s.follow(now, "", "another entry owns the workers")
}

// count returns how many entries are heard, and how many there are, this one
// included.
func (s *State) count(now time.Time) (heard, all int) {
	heard, all = 1, 1
	for _, m := range s.members {
		if m.foreign || !m.known(now) {
			continue
		}
		all++
		if now.Sub(m.heardAt()) <= hearFor {
			heard++
		}
	}
	return heard, all
}

func (s *State) drain(now time.Time) {
	s.stopping = true
	if s.leading {
		s.handOver(now, s.candidate(now, false), "this entry stops")
	}
}

// handOver gives the workers to another entry in good order.
func (s *State) handOver(now time.Time, next, reason string) {
	if next == "" {
		return
	}
	s.successor = next
	s.disown(now, true, reason)
	s.do(Ping{Address: next})
	s.follow(now, next, reason)
}

// yieldToStronger hands the workers to an entry with far more processor time:
// a weak owner runs behind when load is high.
func (s *State) yieldToStronger(now time.Time) {
	if now.Sub(s.ownedAt) < settleFor {
		return
	}
	next := s.members[s.candidate(now, false)]
	if next != nil && next.CPU > strongerFactor*s.self.CPU && next.view.Owner == s.self.Address {
		s.handOver(now, next.Address, "a stronger entry takes over")
	}
}

func (s *State) resumed(now time.Time) {
	if s.leading {
		s.disown(now, false, "the process stood still")
	}
	s.follow(now, "", "the process stood still")
	for _, m := range s.members {
		m.calledAt, m.answeredAt, m.waiting = time.Time{}, time.Time{}, false
	}
	s.startedAt, s.searchSince = now, now
}

// candidate returns the address of the entry that should own the workers,
// among those that are heard and don't stop, with this one if self is set.
func (s *State) candidate(now time.Time, self bool) string {
	var best Member
	if self {
		best = s.self
	}
	for _, m := range s.members {
		at := m.heardAt()
		if m.view.Group != s.group || m.stopping || at.IsZero() || now.Sub(at) > hearFor {
			continue
		}
		if best.Address == "" || m.before(best) {
			best = m.Member
		}
	}
	return best.Address
}

func (s *State) tick(now time.Time) {
	s.forget(now)
	switch {
	case s.leading:
		s.seek(now)
		s.yieldToStronger(now)
	case s.owner != "":
		s.check(now)
	default:
		s.search(now)
	}
}

// seek calls entries that don't call this owner, and gives up on the jobs of
// those that fell silent.
func (s *State) seek(now time.Time) {
	for _, a := range s.addresses() {
		m := s.members[a]
		if !m.calledAt.IsZero() && now.Sub(m.calledAt) > lostFor && !m.lost {
			m.lost = true
			s.do(Lost{Address: a})
		}
		if now.Sub(m.calledAt) > seekEvery {
			every := seekEvery
			if m.foreign {
				every = forgetFor
			}
			s.ping(now, m, every)
		}
	}
}

func (s *State) check(now time.Time) {
	m := s.members[s.owner]
	if m == nil {
		s.follow(now, "", "it is no longer a member")
		return
	}
	if m.foreign {
		s.follow(now, "", "it belongs to another group")
		return
	}
	if now.Sub(m.answeredAt) > silentFor {
		s.follow(now, "", "it does not answer")
		return
	}
	s.ping(now, m, pingEvery)
}

// search looks for an owner among all entries, and becomes one if there is
// none and no other entry should.
func (s *State) search(now time.Time) {
	for _, a := range s.addresses() {
		every := pingEvery
		if s.members[a].foreign {
			every = seekEvery
		}
		s.ping(now, s.members[a], every)
	}
	if !s.grouped {
		return
	}
	heard, all := s.count(now)
	wait := searchFor
	if now.Sub(s.startedAt) < startFor && (2*heard <= all || all == 1) {
		wait = startFor
	}
	if s.stopping || now.Sub(s.searchSince) < wait || (!s.deposedAt.IsZero() && now.Sub(s.deposedAt) < deposedFor) {
		return
	}
	if s.candidate(now, true) != s.self.Address {
		return
	}
	s.own(now, 2*heard <= all || heard == 1, "no owner was found")
}

func (s *State) ping(now time.Time, m *member, every time.Duration) {
	if m.waiting || now.Sub(m.pingedAt) < every {
		return
	}
	m.pingedAt, m.waiting = now, true
	s.do(Ping{Address: m.Address})
}

// forget drops entries that have not been heard for long.
func (s *State) forget(now time.Time) {
	for a, m := range s.members {
		if !m.known(now.Add(-dropAfter)) {
			delete(s.members, a)
		}
	}
}
