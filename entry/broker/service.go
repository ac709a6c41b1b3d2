package broker

import (
	"slices"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// service is the broker's state of one service.
type service struct {
	name  string
	share int
	// open is false until the members have registered with a new broker.
	open       bool
	opensAt    int64
	registered map[messenger.Member]bool
	// dirty asks for a look at the queue at the end of the present event.
	dirty bool

	targets map[string]*target
	listed  []*target
	groups  []*group
	// nextIndex numbers targets in the order in which they became known.
	nextIndex int
	// slots is what the usable targets offer together.
	slots  int
	usable int

	order     func(a, b *job) bool
	lanes     map[laneKey]*lane
	ready     [classes][]*laneSet
	deadlines heap[*job]
	waiting   [classes]int
	inUse     [classes]int
	// backlog is the time in milliseconds in which the waiting work of a class
	// and above can be served, as of the start of the present event.
	backlog   [classes]int64
	sinceAged int
	// urgentUse is the moving average of the slots used by urgent work.
	urgentUse float64
	standing  standing

	types     map[string]planner.RequestType
	kinds     map[string]*kind
	kindList  []*kind
	budgets   map[*team]*budget
	allowance int64
	domains   int
	allowanceState
}

func newService(name string, settings Settings) *service {
	svc := &service{
		name: name, registered: map[messenger.Member]bool{}, targets: map[string]*target{},
		order: jobOrder(settings.Order), lanes: map[laneKey]*lane{},
		deadlines: heap[*job]{less: deadlineFirst, place: func(j *job) *int { return &j.deadlinePlace }},
		kinds:     map[string]*kind{}, budgets: map[*team]*budget{},
	}
	svc.relane()
	return svc
}

func (svc *service) used() int { return svc.inUse[urgent] + svc.inUse[bulk] }

// capacity is the number of slots that the service can use at present.
func (svc *service) capacity() int { return min(svc.share, svc.slots) }

// bulkSlots is the number of slots that bulk work may use, at least one so
// that a very small service can run bulk work at all.
func (svc *service) bulkSlots(reservePercent int) int {
	c := svc.capacity()
	if reservePercent <= 0 {
		return c
	}
	return min(c, max(1, c*(100-reservePercent)/100))
}

// urgentUseMs is the time constant of the average of urgent use. It spans many
// short tasks but follows a change of load within seconds.
const urgentUseMs = 1000

func (svc *service) trackUrgent(elapsed int64) {
	weight := min(1, float64(elapsed)/float64(urgentUseMs*ms))
	svc.urgentUse += (float64(svc.inUse[urgent]) - svc.urgentUse) * weight
}

// assign takes over and gives up services, and drops members that are gone.
func (s *State) assign(m Assign) {
	clear(s.members)
	for _, member := range m.Members {
		s.members[member] = true
	}
	for _, name := range slices.Clone(s.names) {
		if !slices.Contains(m.Services, name) {
			s.forgetService(s.services[name])
		}
	}
	for _, name := range m.Services {
		if s.services[name] == nil {
			s.takeService(name)
		}
	}
	s.names = s.names[:0]
	for name := range s.services {
		s.names = append(s.names, name)
	}
	slices.Sort(s.names)
	s.dropMembers()
	for _, name := range s.names {
		s.openIfComplete(s.services[name])
	}
}

// takeoverMs is how long a new broker waits for the registrations of members.
const takeoverMs = 300

func (s *State) takeService(name string) {
	svc := newService(name, s.Settings)
	svc.opensAt = s.now + takeoverMs*ms
	svc.totalMs = s.usage[name]
	s.services[name] = svc
	s.configureService(svc)
	s.listService(svc)
	for _, p := range s.sortedPeers() {
		if p.misdirected {
			s.needFull(p)
		}
	}
}

// openIfComplete lets the service grant once every live member registered.
func (s *State) openIfComplete(svc *service) {
	if svc.open {
		return
	}
	for member := range s.members {
		if !svc.registered[member] {
			return
		}
	}
	svc.open = true
	svc.dirty = true
}

func (s *State) forgetService(svc *service) {
	for _, p := range s.sortedPeers() {
		for _, g := range slices.Clone(p.grants) {
			if g.job.service == svc {
				s.free(g)
			}
		}
		for _, j := range slices.Clone(p.jobs) {
			if j.service == svc {
				s.end(j)
			}
		}
	}
	svc.dropLanes()
	delete(s.services, svc.name)
}
