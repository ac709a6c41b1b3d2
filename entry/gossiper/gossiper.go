// Package gossiper keeps the membership of a failure domain by heartbeats, in
// which two entries exchange the counters of all members that they know. It is a reducer: [State.Update] takes one event and returns
// effects as data.
package gossiper

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Msg is an event that [State.Update] takes.
type Msg interface{ gossiperMsg() }

// Heard is a heartbeat, or the reply to one, from another entry.
type Heard struct{ Heartbeat messenger.Heartbeat }

// Failed says that a heartbeat to Address got no reply. Refused is set if the
// connection was refused, which tells that the process is gone.
type Failed struct {
	Address string
	Refused bool
}

// Candidates is the list of entries from the settings and the platform.
// Addresses of the own failure domain go to Local, those of others to Remote.
// It replaces the list before.
type Candidates struct{ Local, Remote []string }

// Version tells the own version of the configuration.
type Version struct{ ConfigVersion int64 }

// Stop announces that this entry is leaving.
type Stop struct{}

// Tick lets time pass: heartbeats fall due, silent members are suspected.
type Tick struct{}

func (Heard) gossiperMsg()      {}
func (Failed) gossiperMsg()     {}
func (Candidates) gossiperMsg() {}
func (Version) gossiperMsg()    {}
func (Stop) gossiperMsg()       {}
func (Tick) gossiperMsg()       {}

// Cmd is an effect that [State.Update] asks for.
type Cmd interface{ gossiperCmd() }

// Beat sends a heartbeat to the entry at Address. Its reply comes back as
// [Heard], its absence as [Failed].
type Beat struct {
	Address   string
	Heartbeat messenger.Heartbeat
}

// Changed reports the live members of the failure domain, this entry included
// unless it is stopping, sorted by address.
type Changed struct{ Members []messenger.Member }

// Newer reports that the entry at Address has a newer configuration. It is
// repeated once a second while heartbeats show that version and the own one is
// lower.
type Newer struct {
	Address string
	Version int64
}

func (Beat) gossiperCmd()    {}
func (Changed) gossiperCmd() {}
func (Newer) gossiperCmd()   {}

// State is the membership as this entry sees it. Make one with [New].
type State struct {
	Self     messenger.Member
	Domain   string
	Settings Settings

	random   *rand.Rand
	counter  uint64
	stopping bool
	version  int64
	rows     []row
	replaced []replacedMember
	local    []string
	remote   []string
	// former lists addresses of forgotten members, the last ones at the end.
	former []string
	probes []probe

	// suspicionOf holds the time of suspicion for the last size, because it is
	// needed for every row at every event.
	suspicionOf struct {
		size int
		time time.Duration
	}

	updated    time.Time
	nextBeat   time.Time
	nextRemote time.Time
	rounds     int
	turnLive   []string
	turnRest   []string
	newer      newerNotice
	live       []messenger.Member
}

// New returns the state of the entry self in the failure domain; seed starts
// the source of randomness.
func New(self messenger.Member, domain string, settings Settings, seed uint64) *State {
	return &State{
		Self:     self,
		Domain:   domain,
		Settings: settings.WithDefaults(),
		random:   rand.New(rand.NewPCG(seed, self.Incarnation)),
	}
}

// Update takes one event at the time now and returns the effects it asks for.
func (s *State) Update(now time.Time, msg Msg) []Cmd {
	s.excusePause(now)
	var cmds []Cmd
	switch m := msg.(type) {
	case Heard:
		cmds = s.hear(now, m.Heartbeat)
	case Failed:
		s.failed(now, m)
	case Candidates:
		s.setCandidates(m)
	case Version:
		s.version = max(s.version, m.ConfigVersion)
	case Stop:
		cmds = s.stop(now)
	case Tick:
		s.forget(now)
		cmds = slices.Concat(s.beat(now), s.sendProbes(now), s.beatRemote(now))
	}
	return s.reportChange(now, cmds)
}

// Members returns the rows of the membership, this entry included, sorted by
// address, with ages as of the last event. Suspected members are in it until
// they are forgotten.
func (s *State) Members() []messenger.MemberState {
	list := make([]messenger.MemberState, 0, len(s.rows)+1)
	for i := range s.rows {
		list = append(list, s.rows[i].state(s.updated))
	}
	i, _ := s.find(s.Self.Address)
	return slices.Insert(list, i, s.own())
}

func (s *State) own() messenger.MemberState {
	return messenger.MemberState{Member: s.Self, Counter: s.counter, Stopping: s.stopping}
}
