// Package broker decides which task starts on which target in one failure
// domain. It is a reducer: [State.Update] takes one event and returns effects
// as data.
package broker

import (
	"math/rand/v2"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// ms is one millisecond in the unit of the State's clock, nanoseconds.
const ms = int64(time.Millisecond)

// State is the broker's memory. Make one with [New].
type State struct {
	Self     messenger.Member
	Settings Settings

	now           int64
	configuration planner.Configuration
	configured    bool
	domain        string
	members       map[messenger.Member]bool
	peers         map[messenger.Member]*peer
	services      map[string]*service
	names         []string
	teams         map[string]*team
	vms           []messenger.VM
	usage         map[string]int64
	jobs          map[string]*job
	grants        map[grantKey]*grant
	spare         []*grant
	refused       tombstones
	random        *rand.Rand
	lastGrant     uint64
	lastArrival   uint64
	nextSweep     int64
	nextProbe     int64
	lastTick      int64

	out     []Cmd
	touched []*peer
}

// New returns the state of the entry self.
func New(self messenger.Member, settings Settings) *State {
	settings = settings.WithDefaults()
	return &State{
		Self:     self,
		Settings: settings,
		members:  map[messenger.Member]bool{},
		peers:    map[messenger.Member]*peer{},
		services: map[string]*service{},
		teams:    map[string]*team{},
		usage:    map[string]int64{},
		jobs:     map[string]*job{},
		grants:   map[grantKey]*grant{},
		refused:  tombstones{until: map[string]tombstone{}},
		random:   rand.New(rand.NewPCG(settings.Seed, self.Incarnation)),
		// Grants of different incarnations get ids from different ranges, below
		// 2^53 so that any JSON reader keeps them exact.
		lastGrant: self.Incarnation % (1 << 20) << 32,
	}
}

// Update takes one event at the time now and returns the effects it asks for.
func (s *State) Update(now time.Time, msg Msg) []Cmd {
	s.now = max(s.now, now.UnixNano())
	s.out = nil
	switch m := msg.(type) {
	case Slots:
		s.slots(&m.Request)
	case Configure:
		s.configure(m)
	case Assign:
		s.assign(m)
	case Targets:
		s.list(m.VMs)
	case Probed:
		s.probed(m)
	case Usage:
		s.correct(m)
	case Undelivered:
		s.undelivered(m)
	case Tick:
		s.tick()
	}
	for _, name := range s.names {
		if svc := s.services[name]; svc.dirty {
			svc.dirty = false
			s.serve(svc)
		}
	}
	return s.flush()
}

// tick refuses jobs whose deadline has passed and, less often, looks after
// targets and leases.
func (s *State) tick() {
	for _, name := range s.names {
		svc := s.services[name]
		s.expireJobs(svc)
		svc.trackUrgent(s.now - s.lastTick)
		svc.standing.observe(svc.urgentWaitMs(s), s.now)
		if !svc.open && s.now >= svc.opensAt {
			svc.open = true
			svc.dirty = true
		}
	}
	s.lastTick = s.now
	if s.now < s.nextSweep {
		return
	}
	s.nextSweep = s.now + sweepMs*ms
	for _, name := range s.names {
		s.sweepTargets(s.services[name])
	}
	s.sweepGrants()
	s.refused.prune(s.now)
}

// sweepMs is the period of the checks that look at every target and at the
// grants of lost holders. It is far below the periods that they watch.
const sweepMs = 20

func (s *State) count(group, reason string) {
	s.out = append(s.out, Count{Group: group, Reason: reason})
}

// flush turns what is to be sent to each peer into commands.
func (s *State) flush() []Cmd {
	for i, p := range s.touched {
		s.out = append(s.out, Send{To: p.member, NeedFull: p.needFull, Grants: p.sendGrants, Refusals: p.sendRefusals})
		p.needFull, p.sendGrants, p.sendRefusals, p.touched = false, nil, nil, false
		s.touched[i] = nil
	}
	s.touched = s.touched[:0]
	out := s.out
	s.out = nil
	return out
}

func (s *State) touch(p *peer) {
	if !p.touched {
		p.touched = true
		s.touched = append(s.touched, p)
	}
}
