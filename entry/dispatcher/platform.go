package dispatcher

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

func (s *State) vmsListed(now time.Time, msg VMsListed) {
	s.timers.listing = false
	if msg.Err != nil {
		return
	}
	local, remote := append([]string(nil), s.cfg.Seeds...), append([]string(nil), s.cfg.RemoteSeeds...)
	var targets []messenger.VM
	for _, vm := range msg.List.VMs {
		switch {
		case vm.Role == messenger.TargetVM && vm.FailureDomain == s.cfg.FailureDomain:
			targets = append(targets, vm)
		case vm.Role == messenger.EntryVM && vm.FailureDomain == s.cfg.FailureDomain:
			local = append(local, vm.Address)
		case vm.Role == messenger.EntryVM:
			remote = append(remote, vm.Address)
		}
	}
	s.updateBroker(now, broker.Targets{VMs: targets})
	s.updateGossiper(now, gossiper.Candidates{Local: local, Remote: remote})
}

func (s *State) usageRead(now time.Time, msg UsageRead) {
	s.timers.usage = false
	if msg.Err != nil {
		return
	}
	for _, service := range sortedKeys(msg.SlotMs) {
		s.updateBroker(now, broker.Usage{Service: service, SlotMs: msg.SlotMs[service]})
	}
}

func (s *State) renewLease() {
	if s.cfg.LeaseTTL <= 0 {
		return
	}
	s.emit(RenewLease{messenger.LeaseRequest{
		VM: messenger.VM{
			Role: messenger.EntryVM, Address: s.cfg.Self.Address,
			FailureDomain: s.cfg.FailureDomain, Region: s.cfg.Region, Leaving: s.stop.begun,
		},
		TTLMs: s.cfg.LeaseTTL.Milliseconds(),
	}})
}
