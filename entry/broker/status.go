package broker

import "github.com/godwitrelay/godwitrelay/core/messenger"

// Services returns the state of the services for which this entry is the broker.
func (s *State) Services() []messenger.ServiceState {
	list := make([]messenger.ServiceState, 0, len(s.serviceNames))
	for _, name := range s.serviceNames {
		svc := s.services[name]
		state := messenger.ServiceState{
			Service: name, Share: svc.share, InUse: svc.slotsInUse(),
			Waiting: svc.waitingTasks[urgent] + svc.waitingTasks[bulk],
			Targets: make([]messenger.TargetState, 0, len(svc.targetList)),
		}
		for _, t := range svc.targetList {
			state.Targets = append(state.Targets, messenger.TargetState{
				Address: t.address, State: t.stateName(), Slots: t.slots, InUse: t.inUse,
			})
		}
		list = append(list, state)
	}
	return list
}

// stateName returns the state of the target as shown in status replies.
func (t *target) stateName() string {
	switch {
	case t.leaving():
		return "leaving"
	case t.state == ejected:
		return "ejected"
	case t.state == trial:
		return "trial"
	default:
		return "ready"
	}
}
