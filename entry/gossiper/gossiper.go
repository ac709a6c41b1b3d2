// Package gossiper keeps the membership of a failure domain by heartbeats with
// a fixed fan-out. It is a reducer: [State.Update] takes one event and returns
// effects as data.
package gossiper

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Msg is an event that [State.Update] takes.
type Msg interface{ gossiperMsg() }

// Heard is a heartbeat, or the reply to one, from another entry.
type Heard struct{ Heartbeat messenger.Heartbeat }

// Candidates is the list of entries from the settings and the platform.
// Addresses of the own failure domain go to Local, those of others to Remote.
type Candidates struct{ Local, Remote []string }

// Version tells the own version of the configuration.
type Version struct{ ConfigVersion int64 }

// Stop announces that this entry is leaving.
type Stop struct{}

// Tick lets time pass: heartbeats fall due, silent members are suspected.
type Tick struct{}

func (Heard) gossiperMsg()      {}
func (Candidates) gossiperMsg() {}
func (Version) gossiperMsg()    {}
func (Stop) gossiperMsg()       {}
func (Tick) gossiperMsg()       {}

// Cmd is an effect that [State.Update] asks for.
type Cmd interface{ gossiperCmd() }

// Beat sends a heartbeat to the entry at Address. Its reply comes back as
// [Heard].
type Beat struct {
	Address   string
	Heartbeat messenger.Heartbeat
}

// Changed reports the live members of the failure domain, this entry included
// unless it is stopping, sorted by address.
type Changed struct{ Members []messenger.Member }

// Newer reports that the entry at Address has a newer configuration.
type Newer struct {
	Address string
	Version int64
}

func (Beat) gossiperCmd()    {}
func (Changed) gossiperCmd() {}
func (Newer) gossiperCmd()   {}

// Settings are the periods of the membership. Zero values mean defaults.
type Settings struct {
	HeartbeatMs int64 `json:"heartbeatMs,omitempty"`
	RemoteMs    int64 `json:"remoteMs,omitempty"`
	SuspectMs   int64 `json:"suspectMs,omitempty"`
	ForgetMs    int64 `json:"forgetMs,omitempty"`
	FanOut      int   `json:"fanOut,omitempty"`
}

// State is the membership as this entry sees it. Make one with [New].
type State struct {
	Self     messenger.Member
	Domain   string
	Settings Settings
}

// New returns the state of the entry self in the failure domain; seed starts
// the source of randomness.
func New(self messenger.Member, domain string, settings Settings, seed uint64) *State {
	_ = seed
	return &State{Self: self, Domain: domain, Settings: settings}
}

// Update takes one event at the time now and returns the effects it asks for.
func (s *State) Update(now time.Time, msg Msg) []Cmd {
	_, _ = now, msg
	return nil
}

// Members returns the rows of the membership, this entry included.
func (s *State) Members() []messenger.MemberState { return nil }
