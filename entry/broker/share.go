package broker

// team is what is known of a team over all services that this entry brokers.
type team struct {
	name  string
	share int
	inUse int
	// waitingMs is the estimated run time of the waiting tasks.
	waitingMs [classes]int64
	lanes     []*lane
}

// room reports whether the team may take another slot.
func (t *team) room() bool { return t.inUse < t.share }

// take adds n to the slots in use, and blocks or frees the team's lanes when
// it reaches or leaves its share.
func (t *team) take(n int) {
	before := t.room()
	t.inUse += n
	if t.room() != before {
		t.updateLanes()
	}
}

func (t *team) updateLanes() {
	for _, l := range t.lanes {
		l.update()
		l.service.dirty = true
	}
}

func (s *State) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name}
		s.teams[name] = t
		s.configureTeam(t)
	}
	return t
}

func (s *State) configure(m Configure) {
	s.configuration, s.domain, s.configured = m.Configuration, m.Domain, true
	for _, t := range s.teams {
		s.configureTeam(t)
	}
	for _, name := range s.names {
		s.configureService(s.services[name])
	}
}

func (s *State) configureTeam(t *team) {
	t.share = s.configuration.Share(s.configuration.Teams[t.name].Slots, s.domain)
	t.updateLanes()
}

func (s *State) configureService(svc *service) {
	c := s.configuration.Services[svc.name]
	svc.share = s.configuration.Share(c.Slots, s.domain)
	svc.allowance = c.AllowanceSlotSeconds * 1000
	svc.domains = max(1, len(s.configuration.FailureDomains))
	svc.types = c.RequestTypes
	for _, k := range svc.kindList {
		k.maxRunMs = svc.types[k.name].MaxRunMs
	}
	svc.dirty = true
}
