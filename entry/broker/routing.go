package broker

// The values of Settings.Routing.
const (
	routeBroker        = "broker"
	routeRandom        = "random"
	routeLeastInFlight = "leastInFlight"
	routeTwoChoices    = "twoChoices"
)

// choose returns the target for the job's next task, or nil. A target that
// just refused the task is taken only if no other one is free.
func (s *State) choose(svc *service, j *job) *target {
	groups := svc.groups[svc.groupFor(j.memoryMB):]
	switch s.Settings.Routing {
	case routeRandom:
		return s.pickRandom(groups, j.avoid())
	case routeTwoChoices:
		a := s.pickRandom(groups, j.avoid())
		b := s.pickRandom(groups, j.avoid())
		if a != nil && lessLoaded(b, a) {
			return b
		}
		return a
	case routeLeastInFlight:
		return s.pickLeast(groups, j.avoid())
	default:
		return pickBest(groups, j.avoid())
	}
}

// pickBest returns the least loaded target of the groups. The second best of a
// heap is one of the two below the top.
func pickBest(groups []*group, avoid *target) *target {
	var best *target
	for _, g := range groups {
		for i := 0; i < min(3, g.free.len()); i++ {
			t := g.free.items[i]
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
	if best == nil && avoid != nil && avoid.place != 0 {
		return avoid
	}
	return best
}

func (s *State) pickRandom(groups []*group, avoid *target) *target {
	n := 0
	for _, g := range groups {
		n += g.free.len()
	}
	if n == 0 {
		return nil
	}
	t := nth(groups, s.random.IntN(n))
	if t != avoid || n == 1 {
		return t
	}
	return nth(groups, s.random.IntN(n))
}

func nth(groups []*group, i int) *target {
	for _, g := range groups {
		if i < g.free.len() {
			return g.free.items[i]
		}
		i -= g.free.len()
	}
	return nil
}

// pickLeast returns a random one of the least loaded targets. Without the
// random choice all entries would prefer the same target.
func (s *State) pickLeast(groups []*group, avoid *target) *target {
	best := pickBest(groups, avoid)
	if best == nil {
		return nil
	}
	ties := 1
	chosen := best
	for _, g := range groups {
		for _, t := range g.free.items {
			if t == best || t == avoid || !sameLoad(t, best) {
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

func sameLoad(a, b *target) bool {
	return a.slow == b.slow && (a.inUse+a.others)*b.slots == (b.inUse+b.others)*a.slots
}
