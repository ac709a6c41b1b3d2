// Package elector implements owner election as a pure reducer. A worker group
// is the set of workers that have one owner: all workers, or in large
// deployments those of one failure domain. Exactly one entry per worker group
// should own its workers. Every other entry of the group pings the owner a few
// times a second. When the owner stops answering, the entries that have
// received pings or replies from each other within heardWindow elect the one
// whose own process has the largest CPU allotment.
//
// Safety does not depend on there being a single owner: workers obey the
// highest fencing token only. The rules here prevent two owners from
// alternately taking over each other's workers. The package performs no I/O and
// reads no clock.
package elector

import (
	"sort"
	"time"
)

const (
	// pingInterval is the interval between pings to the owner.
	pingInterval = 150 * time.Millisecond
	// ownerTimeout is how long the owner may leave pings unanswered before it
	// counts as lost. Leases last 1 s, so this leaves time for a takeover.
	ownerTimeout = 450 * time.Millisecond
	// lateTickThreshold is the gap between two ticks of this entry, normally
	// 20 ms apart, from which the second one counts as late. Replies from other
	// entries may have arrived unprocessed in the meantime.
	lateTickThreshold = 200 * time.Millisecond
	// lateTickGrace is how long an entry waits after a late tick, or after its
	// process was suspended, before it concludes from missing pings or replies
	// that another entry is lost. It equals the timeout of one ping.
	lateTickGrace = 250 * time.Millisecond
	// heardWindow is the maximum age of the last ping or reply from an entry
	// that counts as heard. It is shorter than ownerTimeout so that an owner
	// that was just lost does not count.
	heardWindow = 400 * time.Millisecond
	// entryTimeout is how long an entry may go without pinging the owner before
	// the owner cancels that entry's jobs. Its callers may resubmit 1.3 s after
	// their connection breaks before the answer.
	entryTimeout = 700 * time.Millisecond
	// startupWait is how long a new process that has heard at most half of the
	// entries searches for an owner before it claims ownership. Entries start
	// within 0.3 s of each other.
	startupWait = 1200 * time.Millisecond
	// searchWait is how long an entry that lost its owner searches for another
	// one before it claims ownership.
	searchWait = 120 * time.Millisecond
	// stepDownBackoff is how long an entry makes no claim after it stepped down
	// because another owner took over its workers. That owner is alive even if
	// it is unreachable.
	stepDownBackoff = 3 * time.Second
	// reclaimInterval is the minimum interval at which an owner reclaims
	// workers that another owner took over. One claim covers all workers taken
	// over so far.
	reclaimInterval = 100 * time.Millisecond
	// minOwnership is how long an owner keeps the workers before it may hand
	// them over to a stronger entry.
	minOwnership = 2 * time.Second
	// handoverCPUFactor defines a stronger entry: its CPU allotment is more than
	// handoverCPUFactor times that of the owner.
	handoverCPUFactor = 2
	// discoveryInterval is the interval at which an owner pings entries that do
	// not ping it, because they may follow another owner.
	discoveryInterval = time.Second
	// membershipTimeout is how long an entry counts towards the majority after
	// it was added, last heard, or last listed by an owner.
	membershipTimeout = 6 * time.Second
	// removalDelay is how much longer such an entry is still pinged
	// occasionally. It may be partitioned away together with another owner.
	removalDelay = time.Minute
)

// State is the state of the election reducer. Create one with [New].
type State struct {
	self          Member
	group         string
	groupAssigned bool
	members       map[string]*member
	owner         string
	claimedAtMs   int64
	isOwner       bool
	draining      bool
	// successor is the entry to which this owner handed the workers.
	successor     string
	searchSince   time.Time
	startedAt     time.Time
	steppedDownAt time.Time
	ownedAt       time.Time
	// contested is set if this owner had heard only itself or at most half of
	// the entries when it claimed ownership, so that the others may have an
	// owner too.
	contested   bool
	reclaimedAt time.Time
	lastTickAt  time.Time
	// graceUntil is the time until which this entry ignores missing pings and
	// replies, because its own ticks were late or its process was suspended.
	graceUntil time.Time
	wallMs     int64
	cmds       []Cmd
}

// New returns the initial state of an entry that starts at now.
func New(now time.Time, self Member) *State {
	return &State{self: self, members: map[string]*member{}, startedAt: now, searchSince: now}
}

// Owner returns the address of the current owner, or "" if none is known.
func (s *State) Owner() string { return s.owner }

// IsOwner reports whether this entry owns the workers.
func (s *State) IsOwner() bool { return s.isOwner }

// View returns the state that this entry reports to others. An entry that
// follows another owner leaves out the members: it pings only that owner, and the
// owner lists the members itself.
func (s *State) View(now time.Time) View {
	v := View{From: s.self, Group: s.group, Owner: s.owner, Draining: s.draining, Successor: s.successor}
	if s.isOwner {
		v.ClaimedAtMs = s.claimedAtMs
	}
	if !s.isOwner && s.owner != "" {
		return v
	}
	for _, a := range s.addresses() {
		if s.members[a].isKnown(now) {
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

// Update applies one event and returns the resulting commands in order.
func (s *State) Update(now time.Time, msg Msg) []Cmd {
	s.cmds = nil
	switch msg := msg.(type) {
	case AddressesFound:
		s.addMembers(now, msg.Addresses)
	case GroupAssigned:
		s.setGroup(now, msg.Group)
	case PingReceived:
		m := s.recordView(now, msg.View)
		m.pingReceivedAt = now
		s.applyView(now, m)
	case PingAnswered:
		m := s.recordView(now, msg.View)
		m.replyReceivedAt, m.pingPending = now, false
		s.applyView(now, m)
	case PingFailed:
		s.pingFailed(now, msg)
	case WorkerTakenOver:
		s.handleWorkerTakenOver(now)
	case Drain:
		s.drain(now)
	case ProcessResumed:
		s.handleProcessResumed(now)
	case Tick:
		s.wallMs = msg.WallMs
		s.tick(now)
	}
	return s.cmds
}

func (s *State) emit(cmd Cmd) { s.cmds = append(s.cmds, cmd) }
