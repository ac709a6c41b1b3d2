// Package elector implements owner election as a pure reducer. A worker group
// is the set of workers that have one owner: all workers, or in large
// deployments those of one failure domain or a part of them. Exactly one entry
// per worker group should own its workers. Every other entry of the group pings
// the owner a few times a second. When the owner stops answering, the entries
// that have received pings or replies from each other within heardWindow elect
// the one that can own the most workers (see [Member.Capacity]).
//
// The number of pings per entry does not grow with the number of entries: an
// entry without an owner pings the preferred candidates and takes turns among
// the rest. After a restart of all entries, pings from each of them to each
// other would take more CPU time than small VMs have.
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
	// settledOwnership is how long an entry must have followed an owner to rely on it
	// having stopped the runs that the owner before it left behind.
	settledOwnership = 1500 * time.Millisecond
	// maxOrphanAgeMs limits what an owner reports as View.OrphanAgeMs.
	maxOrphanAgeMs = 10_000
	// minOwnership is how long an owner keeps the workers before it may hand
	// them over to a stronger entry.
	minOwnership = 2 * time.Second
	// farStrongerFactor defines a far stronger entry: its capacity is at least
	// farStrongerFactor times that of the other.
	farStrongerFactor = 2
	// startSpread is how long after its start an entry waits for far stronger ones
	// that it knows and has not heard. All entries start within 0.3 s.
	startSpread = 400 * time.Millisecond
	// expiryInterval is the interval at which expired members are removed.
	expiryInterval = time.Second
	// searchFanout is the number of preferred candidates, and of other entries,
	// that an entry without an owner pings in each pingInterval.
	searchFanout = 6
	// suspectPeriod is how long an entry that did not answer a ping ranks after
	// all others as a candidate to ping.
	suspectPeriod = time.Second
	// maxListedMembers is the maximum number of members in a view. An owner lists
	// other ones in each pingInterval, so that followers learn of all of them
	// within membershipTimeout.
	maxListedMembers = 16
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
	failureDomain string
	groupAssigned bool
	// canOwn is set if this entry knows the workers of its group.
	canOwn  bool
	members map[string]*member
	// sorted caches the result of addresses.
	sorted []string
	// listed are the members in the view of this entry, and listedAt is when they
	// were chosen, starting at listStart in the sorted list.
	listed    []string
	listedAt  time.Time
	listStart int
	// expiredAt is when expired members were last removed.
	expiredAt time.Time
	// othersPingedAt is when this entry last pinged entries other than its owner
	// and the preferred candidates.
	othersPingedAt time.Time
	owner          string
	// ownerSince is when this entry began to follow the owner.
	ownerSince time.Time
	// previousOwnerHeardAt is a time at which the owner before the current one was
	// still alive, or zero if none is known.
	previousOwnerHeardAt time.Time
	claimedAtMs          int64
	isOwner              bool
	draining             bool
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
func (s *State) View() View {
	v := View{From: s.self, Group: s.group, Owner: s.owner, Draining: s.draining, NoWorkers: s.groupAssigned && !s.canOwn, Successor: s.successor}
	if s.isOwner {
		v.ClaimedAtMs = s.claimedAtMs
	}
	if s.isOwner || s.owner == "" {
		v.Members = s.listed
	}
	return v
}

// chooseListed chooses the members that the view lists next: known members of
// the worker group, in turns of maxListedMembers.
func (s *State) chooseListed(now time.Time) {
	if now.Sub(s.listedAt) < pingInterval || (!s.isOwner && s.owner != "") {
		return
	}
	s.listedAt = now
	var known []string
	for _, a := range s.addresses() {
		if m := s.members[a]; !m.otherGroup && m.isKnown(now) {
			known = append(known, a)
		}
	}
	if len(known) <= maxListedMembers {
		s.listed, s.listStart = known, 0
		return
	}
	s.listed = make([]string, 0, maxListedMembers)
	for i := range maxListedMembers {
		s.listed = append(s.listed, known[(s.listStart+i)%len(known)])
	}
	s.listStart = (s.listStart + maxListedMembers) % len(known)
}

// addresses returns the addresses of all members in a fixed order.
func (s *State) addresses() []string {
	if s.sorted == nil {
		s.sorted = make([]string, 0, len(s.members))
		for a := range s.members {
			s.sorted = append(s.sorted, a)
		}
		sort.Strings(s.sorted)
	}
	return s.sorted
}

// nearMembers returns the members that may belong to the worker group, in a fixed
// order: all but those in another failure domain. The group that an entry last
// reported may be out of date, since all entries of a failure domain change their
// groups at about the same time.
func (s *State) nearMembers() []*member {
	var list []*member
	for _, a := range s.addresses() {
		if m := s.members[a]; !s.isForeign(m) {
			list = append(list, m)
		}
	}
	return list
}

// Update applies one event and returns the resulting commands in order.
func (s *State) Update(now time.Time, msg Msg) []Cmd {
	s.cmds = nil
	switch msg := msg.(type) {
	case AddressesFound:
		s.addMembers(now, msg.Addresses)
	case MembersFound:
		s.updateMembers(now, msg.Members)
	case GroupAssigned:
		s.setGroup(now, msg)
	case PingReceived:
		m := s.recordView(now, msg.View)
		m.pingReceivedAt = now
		s.applyView(now, m)
	case PingAnswered:
		m := s.recordView(now, msg.View)
		m.replyReceivedAt, m.pingPending = now, false
		if msg.View.ClaimedAtMs != 0 {
			m.ownedRunsSince = m.pingSentAt.Add(-msg.View.orphanAge())
		}
		if m.view.ClaimedAtMs == 0 && s.owner == m.Address && m.pingSentAt.Before(s.ownerSince) {
			// The reply may have been sent before the entry claimed the workers.
			break
		}
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
