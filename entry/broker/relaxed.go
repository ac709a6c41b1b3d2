package broker

// relaxedFreePercent is the part of the slots, and of each team's quota, that
// has to be free before releases may wait. It is above what can be released
// while they wait.
const relaxedFreePercent = 10

// Relaxed tells whether free slots are plenty for every service and team of
// this broker and no task waits, so that a release that comes a little later
// delays nobody.
func (s *State) Relaxed() bool {
	for _, name := range s.names {
		svc := s.services[name]
		if svc.waiting[urgent]+svc.waiting[bulk] > 0 || scarce(svc.used(), svc.capacity()) {
			return false
		}
	}
	for _, t := range s.teams {
		if t.inUse > 0 && scarce(t.inUse, t.share) {
			return false
		}
	}
	return true
}

func scarce(used, total int) bool { return 100*(total-used) < relaxedFreePercent*total }
