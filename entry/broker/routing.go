package broker

// The values of Settings.Routing.
const (
	routeBroker        = "broker"
	routeRandom        = "random"
	routeLeastInFlight = "leastInFlight"
	routeTwoChoices    = "twoChoices"
)

// chooseTarget returns the target for the job's next task, or nil. The target of
// the task's last grant is avoided while another one is free, except that the
// routings "random" and "twoChoices" may still draw it.
func (s *State) chooseTarget(svc *service, j *job) *target {
	groups := svc.memoryGroups[svc.memoryGroupIndex(j.memoryMB):]
	switch s.Settings.Routing {
	case routeRandom:
		return s.randomTarget(groups, j.avoidTarget())
	case routeTwoChoices:
		a := s.randomTarget(groups, j.avoidTarget())
		b := s.randomTarget(groups, j.avoidTarget())
		if a != nil && lessLoaded(b, a) {
			return b
		}
		return a
	case routeLeastInFlight:
		return s.randomLeastLoaded(groups, j.avoidTarget())
	default:
		return leastLoaded(groups, j.avoidTarget())
	}
}

// leastLoaded returns the least loaded target of the groups other than avoid,
// or avoid if no other one is free. If the top of a heap is to be avoided, the
// next best element is one of its two children.
func leastLoaded(groups []*memoryGroup, avoid *target) *target {
	var best *target
	for _, g := range groups {
		for i := 0; i < min(3, g.freeTargets.len()); i++ {
			t := g.freeTargets.items[i]
			if t == avoid {
				continue
			}
			if best == nil || lessLoaded(t, best) {
				best = t
			}
			if i == 0 {
				break
			}
		}
	}
	if best == nil && avoid != nil && avoid.freePos != 0 {
		return avoid
	}
	return best
}

// randomTarget returns a random free target of the groups, or nil. If the first
// draw is the target to avoid, it draws once more.
func (s *State) randomTarget(groups []*memoryGroup, avoid *target) *target {
	n := 0
	for _, g := range groups {
		n += g.freeTargets.len()
	}
	if n == 0 {
		return nil
	}
	t := nthFree(groups, s.random.IntN(n))
	if t != avoid || n == 1 {
		return t
	}
	return nthFree(groups, s.random.IntN(n))
}

// nthFree returns the free target number i, counted across the groups, or nil.
func nthFree(groups []*memoryGroup, i int) *target {
	for _, g := range groups {
		if i < g.freeTargets.len() {
			return g.freeTargets.items[i]
		}
		i -= g.freeTargets.len()
	}
	return nil
}

// randomLeastLoaded returns one of the least loaded targets at random. Without
// the random choice all entries would prefer the same target.
func (s *State) randomLeastLoaded(groups []*memoryGroup, avoid *target) *target {
	best := leastLoaded(groups, avoid)
	if best == nil {
		return nil
	}
	ties := 1
	chosen := best
	for _, g := range groups {
		for _, t := range g.freeTargets.items {
			if t == best || t == avoid || !equalLoad(t, best) {
				continue
			}
			ties++
			if s.random.IntN(ties) == 0 {
				chosen = t
			}
		}
	}
	return chosen
}

func equalLoad(a, b *target) bool {
	return a.slow == b.slow && (a.inUse+a.othersInUse)*b.slots == (b.inUse+b.othersInUse)*a.slots
}
