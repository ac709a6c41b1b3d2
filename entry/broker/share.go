package broker

// team holds the slot usage of a team across all services for which this entry is
// the broker.
type team struct {
	name string
	// share is the team's quota of slots in this failure domain, inUse the number
	// of slots that its live grants use.
	share int
	inUse int
	// waitingMs is the estimated total run time of the waiting tasks.
	waitingMs [classCount]int64
	queues    []*jobQueue
}

// belowShare reports whether the team may use another slot.
func (t *team) belowShare() bool { return t.inUse < t.share }

// addInUse adds n to the slots in use. It blocks the team's queues when the
// team reaches its share and unblocks them when it drops below it.
func (t *team) addInUse(n int) {
	before := t.belowShare()
	t.inUse += n
	if t.belowShare() != before {
		t.updateQueues()
	}
}

func (t *team) updateQueues() {
	for _, q := range t.queues {
		q.reposition()
		q.service.dirty = true
	}
}

// ensureTeam returns the team of that name and adds it if it is unknown.
func (s *State) ensureTeam(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name}
		s.teams[name] = t
		s.configureTeam(t)
	}
	return t
}

// handleConfigurationChanged applies a new configuration to all known teams and
// services.
func (s *State) handleConfigurationChanged(m ConfigurationChanged) {
	s.configuration, s.domain, s.configured = m.Configuration, m.FailureDomain, true
	for _, t := range s.teams {
		s.configureTeam(t)
	}
	for _, name := range s.serviceNames {
		s.configureService(s.services[name])
	}
}

func (s *State) configureTeam(t *team) {
	t.share = s.configuration.Share(s.configuration.Teams[t.name].Slots, s.domain)
	t.updateQueues()
}

func (s *State) configureService(svc *service) {
	c := s.configuration.Services[svc.name]
	svc.share = s.configuration.Share(c.Slots, s.domain)
	svc.allowance = c.AllowanceSlotSeconds * 1000
	svc.domainCount = max(1, len(s.configuration.FailureDomains))
	svc.requestTypes = c.RequestTypes
	for _, stats := range svc.typeStatsList {
		stats.maxRunMs = svc.requestTypes[stats.name].MaxRunMs
	}
	svc.dirty = true
}
