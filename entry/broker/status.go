package broker

import "github.com/godwitrelay/godwitrelay/core/messenger"

// Services reports the state of the services that this entry brokers.
func (s *State) Services() []messenger.ServiceState {
	list := make([]messenger.ServiceState, 0, len(s.names))
	for _, name := range s.names {
		svc := s.services[name]
		state := messenger.ServiceState{
			Service: name, Share: svc.share, InUse: svc.used(),
			Waiting: svc.waiting[urgent] + svc.waiting[bulk],
			Targets: make([]messenger.TargetState, 0, len(svc.listed)),
		}
		for _, t := range svc.listed {
			state.Targets = append(state.Targets, messenger.TargetState{
				Address: t.address, State: t.stateName(), Slots: t.slots, InUse: t.inUse,
			})
		}
		list = append(list, state)
	}
	return list
}

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
