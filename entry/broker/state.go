// Package broker schedules tasks onto targets within one failure domain. It
// admits jobs, queues their tasks and grants target slots to the entries that
// own the jobs. It is a reducer without I/O: [State.Update] applies one event
// and returns the resulting effects as data.
//
// The broker is the one entry of a failure domain that allocates the slots of
// all its targets. With the baseline values of [Settings.Routing] every entry is
// its own broker. A peer is an entry, as known to the broker that it sends its
// messages to; the entry of the broker is a peer as well.
//
// A slot is the capacity of a target to run one task at a time. A grant is the
// right to start one task on one target within a limited time, the lease. The
// holder of a grant is the entry that it was issued to. A grant uses one slot
// until it is released, until a registration of its holder does not list it,
// until its service is no longer assigned to this broker, or, if its holder has
// left the membership, until it expires, two leases after the broker last
// recorded it.
//
// A registration is a message, marked by its field Full, that lists all grants
// and waiting requests of a peer. It replaces what the broker knew about the
// peer. An entry sends it to a new broker, and whenever the broker asks for it
// ([Send.NeedRegistration]) because a message may have been lost.
//
// Urgent and bulk are the two priorities. Urgent work is served first and has a
// reserve of slots; bulk work gets a share of the grants once it has waited for
// longer than [Settings.BulkAgeMs]. A tombstone is the record of a refused job.
// It is kept for a while, so that an outdated registration does not queue the
// job again.
package broker

import (
	"math/rand/v2"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// ms is one millisecond in nanoseconds, the unit of the State's clock.
const ms = int64(time.Millisecond)

// State holds the scheduling state of one broker. Create it with [New]. It is
// not safe for concurrent use.
type State struct {
	// Self is the entry that this broker runs in.
	Self     messenger.Member
	Settings Settings

	now             int64
	configuration   planner.Configuration
	configured      bool
	domain          string
	members         map[messenger.Member]bool
	peers           map[messenger.Member]*peer
	services        map[string]*service
	serviceNames    []string
	teams           map[string]*team
	vms             []messenger.VM
	reportedUsage   map[string]int64
	jobs            map[string]*job
	grants          map[grantKey]*grant
	freeGrants      []*grant
	refusedJobs     tombstones
	random          *rand.Rand
	lastGrantID     uint64
	lastJobSequence uint64
	nextSweep       int64
	nextProbe       int64
	lastTick        int64

	cmds         []Cmd
	pendingPeers []*peer
}

// New returns an empty State for a broker that runs in the entry self.
func New(self messenger.Member, settings Settings) *State {
	settings = settings.WithDefaults()
	return &State{
		Self:          self,
		Settings:      settings,
		members:       map[messenger.Member]bool{},
		peers:         map[messenger.Member]*peer{},
		services:      map[string]*service{},
		teams:         map[string]*team{},
		reportedUsage: map[string]int64{},
		jobs:          map[string]*job{},
		grants:        map[grantKey]*grant{},
		refusedJobs:   tombstones{byJob: map[string]tombstone{}},
		random:        rand.New(rand.NewPCG(settings.Seed, self.Incarnation)),
		// Each incarnation issues grant IDs from a range that is selected by its
		// number modulo 2^20. Two incarnations with the same remainder share a
		// range. IDs stay below 2^53 so that every JSON parser reads them exactly.
		lastGrantID: self.Incarnation % (1 << 20) << 32,
	}
}

// Update applies one event at the time now and returns the effects to carry out.
// The clock never goes back: if now is before the time of an earlier call, that
// time is used.
func (s *State) Update(now time.Time, msg Msg) []Cmd {
	s.now = max(s.now, now.UnixNano())
	s.cmds = nil
	switch m := msg.(type) {
	case SlotsReceived:
		s.handleSlotsReceived(&m.Request)
	case ConfigurationChanged:
		s.handleConfigurationChanged(m)
	case ServicesAssigned:
		s.handleServicesAssigned(m)
	case TargetsListed:
		s.handleTargetsListed(m.VMs)
	case Probed:
		s.handleProbed(m)
	case UsageReported:
		s.handleUsageReported(m)
	case SendFailed:
		s.handleSendFailed(m)
	case Tick:
		s.handleTick()
	}
	for _, name := range s.serviceNames {
		if svc := s.services[name]; svc.dirty {
			svc.dirty = false
			s.grantWaiting(svc)
		}
	}
	return s.flush()
}

// handleTick refuses waiting jobs that are too close to their deadline, updates
// the load measurements of each service, and lets a service start granting once
// its wait for registrations is over. Every sweepIntervalMs it also checks
// targets, grants and tombstones.
func (s *State) handleTick() {
	for _, name := range s.serviceNames {
		svc := s.services[name]
		s.expireJobs(svc)
		svc.updateMeanUrgentInUse(s.now - s.lastTick)
		svc.standing.observe(svc.urgentWaitMs(s), s.now)
		if !svc.granting && s.now >= svc.grantingFrom {
			svc.granting = true
			svc.dirty = true
		}
	}
	s.lastTick = s.now
	if s.now < s.nextSweep {
		return
	}
	s.nextSweep = s.now + sweepIntervalMs*ms
	for _, name := range s.serviceNames {
		s.sweepTargets(s.services[name])
	}
	s.probeNext()
	s.sweepGrants()
	s.refusedJobs.prune(s.now)
}

// sweepIntervalMs is the interval of the checks that visit every target and the
// grants of holders that have left. It is below all constant timeouts that they
// enforce, the shortest of which is initialPauseMs.
const sweepIntervalMs = 20

func (s *State) count(group, reason string) {
	s.cmds = append(s.cmds, Count{Group: group, Reason: reason})
}

// flush adds one Send for each peer with pending output to the commands of the
// current Update and returns them.
func (s *State) flush() []Cmd {
	for i, p := range s.pendingPeers {
		s.cmds = append(s.cmds, Send{To: p.member, NeedRegistration: p.needRegistration, Grants: p.pendingGrants, Refusals: p.pendingRefusals})
		p.needRegistration, p.pendingGrants, p.pendingRefusals, p.pending = false, nil, nil, false
		s.pendingPeers[i] = nil
	}
	s.pendingPeers = s.pendingPeers[:0]
	out := s.cmds
	s.cmds = nil
	return out
}

// markPending schedules a Send to the peer at the end of the current Update.
func (s *State) markPending(p *peer) {
	if !p.pending {
		p.pending = true
		s.pendingPeers = append(s.pendingPeers, p)
	}
}
