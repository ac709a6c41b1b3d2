package broker

import (
	"slices"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// service holds the scheduling state of one service in this failure domain:
// its targets, its queue, its slot usage and its run time statistics.
type service struct {
	name string
	// share is the number of slots that the configuration gives the service in
	// this failure domain.
	share int
	// granting is false while a new broker waits for the registrations of all
	// members. It becomes true at grantingFrom at the latest.
	granting     bool
	grantingFrom int64
	registered   map[messenger.Member]bool
	// dirty requests a scheduling pass at the end of the current Update.
	dirty bool

	targets      map[string]*target
	targetList   []*target
	memoryGroups []*memoryGroup
	// nextTargetIndex is the index of the next new target. Indexes follow the
	// order in which targets were added.
	nextTargetIndex int
	// usableSlots is the sum of the slot limits of all targets, usableTargets
	// the number of targets with a limit above 0.
	usableSlots   int
	usableTargets int

	// orderedBefore compares jobs by Settings.Order.
	orderedBefore func(a, b *job) bool
	queues        map[queueKey]*jobQueue
	// readyQueues holds the queues that have waiting jobs and a team below its
	// share, by class and memory group.
	readyQueues  [classCount][]*queueSet
	deadlines    heap[*job]
	waitingTasks [classCount]int
	inUse        [classCount]int
	// backlogMs is the estimated time to serve the waiting work of a class and
	// of the classes above it, computed at the start of each scheduling pass.
	backlogMs [classCount]int64
	// grantsSinceAged counts the urgent grants since the last one to bulk work
	// older than Settings.BulkAgeMs.
	grantsSinceAged int
	// meanUrgentInUse is the moving average of the slots used by urgent work.
	meanUrgentInUse float64
	standing        standingQueue

	requestTypes  map[string]planner.RequestType
	typeStats     map[string]*typeStats
	typeStatsList []*typeStats
	retryBudgets  map[*team]*retryBudget
	allowance     int64
	domainCount   int
	allowanceState
}

func newService(name string, settings Settings) *service {
	svc := &service{
		name: name, registered: map[messenger.Member]bool{}, targets: map[string]*target{},
		orderedBefore: orderFunc(settings.Order), queues: map[queueKey]*jobQueue{},
		deadlines: heap[*job]{less: deadlineBefore, position: func(j *job) *int { return &j.deadlinePos }},
		typeStats: map[string]*typeStats{}, retryBudgets: map[*team]*retryBudget{},
	}
	svc.rebuildQueues()
	return svc
}

func (svc *service) slotsInUse() int { return svc.inUse[urgent] + svc.inUse[bulk] }

// capacity returns the number of slots that the service can use now.
func (svc *service) capacity() int { return min(svc.share, svc.usableSlots) }

// bulkSlots returns the number of slots that bulk work may use. It is at least
// one if there is any capacity, so that a very small service can run bulk work.
func (svc *service) bulkSlots(reservePercent int) int {
	c := svc.capacity()
	if reservePercent <= 0 {
		return c
	}
	return min(c, max(1, c*(100-reservePercent)/100))
}

// urgentInUseTimeConstantMs is the time constant of meanUrgentInUse. It spans
// many short tasks but follows a change of load within seconds.
const urgentInUseTimeConstantMs = 1000

func (svc *service) updateMeanUrgentInUse(elapsedNs int64) {
	weight := min(1, float64(elapsedNs)/float64(urgentInUseTimeConstantMs*ms))
	svc.meanUrgentInUse += (float64(svc.inUse[urgent]) - svc.meanUrgentInUse) * weight
}

// handleServicesAssigned adds and removes services as assigned, and ends the
// queued work of peers that are no longer members.
func (s *State) handleServicesAssigned(m ServicesAssigned) {
	clear(s.members)
	for _, member := range m.Members {
		s.members[member] = true
	}
	for _, name := range slices.Clone(s.serviceNames) {
		if !slices.Contains(m.Services, name) {
			s.removeService(s.services[name])
		}
	}
	for _, name := range m.Services {
		if s.services[name] == nil {
			s.addService(name)
		}
	}
	s.serviceNames = s.serviceNames[:0]
	for name := range s.services {
		s.serviceNames = append(s.serviceNames, name)
	}
	slices.Sort(s.serviceNames)
	s.reconcileMembers()
	for _, name := range s.serviceNames {
		s.grantIfAllRegistered(s.services[name])
	}
}

// takeoverTimeoutMs limits how long a new broker waits for the registrations of
// all members before it starts to grant.
const takeoverTimeoutMs = 300

func (s *State) addService(name string) {
	svc := newService(name, s.Settings)
	svc.grantingFrom = s.now + takeoverTimeoutMs*ms
	svc.reportedMs = s.reportedUsage[name]
	s.services[name] = svc
	s.configureService(svc)
	s.syncTargets(svc)
	for _, p := range s.sortedPeers() {
		if p.misdirected {
			s.requestRegistration(p)
		}
	}
}

// grantIfAllRegistered lets the service start granting once every live member
// has registered, because only then are all slots in use known.
func (s *State) grantIfAllRegistered(svc *service) {
	if svc.granting {
		return
	}
	for member := range s.members {
		if !svc.registered[member] {
			return
		}
	}
	svc.granting = true
	svc.dirty = true
}

func (s *State) removeService(svc *service) {
	for _, p := range s.sortedPeers() {
		for _, g := range slices.Clone(p.grants) {
			if g.job.service == svc {
				s.removeGrant(g)
			}
		}
		for _, j := range slices.Clone(p.jobs) {
			if j.service == svc {
				s.endJob(j)
			}
		}
	}
	svc.dropQueues()
	delete(s.services, svc.name)
}
