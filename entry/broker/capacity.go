package broker

// spareCapacityPercent is the percentage of the slots, and of each team's
// share, that must be free before entries may delay releases. It is above the
// percentage that can be released within that delay.
const spareCapacityPercent = 10

// HasSpareCapacity reports whether no task waits and every service and every
// team that uses slots has at least spareCapacityPercent of them free. Entries
// may then batch their releases without delaying any task.
func (s *State) HasSpareCapacity() bool {
	for _, name := range s.serviceNames {
		svc := s.services[name]
		if svc.waitingTasks[urgent]+svc.waitingTasks[bulk] > 0 || scarce(svc.slotsInUse(), svc.capacity()) {
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

func scarce(used, total int) bool { return 100*(total-used) < spareCapacityPercent*total }
