// Package gossiper tracks the membership of a failure domain with a gossip
// protocol. It is a reducer: [State.Update] takes one event and returns effects
// as data.
//
// Each entry has a counter that it increments once per round of heartbeats. An
// entry keeps one row per other member, with the highest counter of that member
// that it has seen, directly or through others. In each heartbeat and its reply,
// two entries exchange their rows. A member is suspected if its counter does not
// advance within the suspicion timeout or if its address refuses connections,
// and its row is deleted (the member is forgotten) if the counter does not advance
// for much longer. A member that is neither suspected nor stopping is live.
//
// Members whose counters have advanced within the suspicion timeout are active.
// The digest is a hash of the set of active members. A full heartbeat contains
// rows with the members' names. Two entries with the same digest exchange
// compact heartbeats instead: only the counters, in the order of the members'
// addresses, with 0 for a counter that the receiver already has.
package gossiper

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Msg is an event handled by [State.Update].
type Msg interface{ gossiperMsg() }

// HeartbeatReceived delivers a heartbeat, or the reply to one, from another
// entry.
type HeartbeatReceived struct{ Heartbeat messenger.Heartbeat }

// HeartbeatFailed reports that a heartbeat to Address got no reply. Refused is
// set if the connection was refused, which indicates that the process is gone.
type HeartbeatFailed struct {
	Address string
	Refused bool
}

// Candidates lists the addresses to contact, as known from the settings and the
// platform; whether an entry runs there is unknown. Local holds the addresses in
// this entry's failure domain, Remote those in other ones. It replaces the
// previous list.
type Candidates struct{ Local, Remote []string }

// ConfigVersionChanged reports the version of this entry's configuration.
type ConfigVersionChanged struct{ ConfigVersion int64 }

// Stop announces that this entry is leaving.
type Stop struct{}

// Tick advances time: due heartbeats are sent, and members whose counters have
// not advanced for too long are suspected and later forgotten.
type Tick struct{}

func (HeartbeatReceived) gossiperMsg()    {}
func (HeartbeatFailed) gossiperMsg()      {}
func (Candidates) gossiperMsg()           {}
func (ConfigVersionChanged) gossiperMsg() {}
func (Stop) gossiperMsg()                 {}
func (Tick) gossiperMsg()                 {}

// Cmd is an effect requested by [State.Update].
type Cmd interface{ gossiperCmd() }

// SendHeartbeat sends a heartbeat to the entry at Address. The reply comes back
// as [HeartbeatReceived], a missing reply as [HeartbeatFailed].
type SendHeartbeat struct {
	Address   string
	Heartbeat messenger.Heartbeat
}

// MembersChanged reports the live members of the failure domain, sorted by
// address. It includes this entry unless it is stopping.
type MembersChanged struct{ Members []messenger.Member }

// NewerConfiguration reports that the entry at Address has a newer
// configuration. It is repeated at most once a second while heartbeats show
// that version and this entry's version is lower.
type NewerConfiguration struct {
	Address string
	Version int64
}

func (SendHeartbeat) gossiperCmd()      {}
func (MembersChanged) gossiperCmd()     {}
func (NewerConfiguration) gossiperCmd() {}

// State is the membership as seen by this entry. Create one with [New].
type State struct {
	Self          messenger.Member
	FailureDomain string
	Settings      Settings

	random   *rand.Rand
	counter  uint64
	stopping bool
	version  int64
	rows     []row
	replaced []replacedIncarnation
	local    []string
	remote   []string
	// forgotten lists the addresses of members whose rows were deleted because
	// they timed out, most recent last. Members known to be stopping are not
	// added.
	forgotten []string
	probes    []probe

	// suspicionCache holds the suspicion timeout for the last domain size,
	// because it is needed for every row on every event.
	suspicionCache struct {
		size    int
		timeout time.Duration
	}

	lastUpdate        time.Time
	nextRound         time.Time
	nextRemote        time.Time
	rounds            int
	unsuspectedQueue  []string
	otherQueue        []string
	lastVersionNotice versionNotice
	reportedLive      []messenger.Member
}

// New returns the state of the entry self in the given failure domain. seed and
// the incarnation of self seed the random source.
func New(self messenger.Member, domain string, settings Settings, seed uint64) *State {
	return &State{
		Self:          self,
		FailureDomain: domain,
		Settings:      settings.WithDefaults(),
		random:        rand.New(rand.NewPCG(seed, self.Incarnation)),
	}
}

// Update handles one event at time now and returns the effects it requests.
func (s *State) Update(now time.Time, msg Msg) []Cmd {
	s.compensatePause(now)
	var cmds []Cmd
	switch m := msg.(type) {
	case HeartbeatReceived:
		cmds = s.handleHeartbeat(now, m.Heartbeat)
	case HeartbeatFailed:
		s.recordFailure(now, m)
	case Candidates:
		s.setCandidates(m)
	case ConfigVersionChanged:
		s.version = max(s.version, m.ConfigVersion)
	case Stop:
		cmds = s.stop(now)
	case Tick:
		s.forget(now)
		cmds = slices.Concat(s.beatIfDue(now), s.sendProbes(now), s.beatRemoteIfDue(now))
	}
	return s.reportChange(now, cmds)
}

// Members returns all rows, and one for this entry itself, sorted by address,
// with ages as of the last event. Suspected members are listed until they are
// forgotten.
func (s *State) Members() []messenger.MemberState {
	list := make([]messenger.MemberState, 0, len(s.rows)+1)
	for i := range s.rows {
		list = append(list, s.rows[i].withAge(s.lastUpdate))
	}
	i, _ := s.find(s.Self.Address)
	return slices.Insert(list, i, s.selfState())
}

// selfState returns this entry's own row.
func (s *State) selfState() messenger.MemberState {
	return messenger.MemberState{Member: s.Self, Counter: s.counter, Stopping: s.stopping}
}
