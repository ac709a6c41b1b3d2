package dispatcher

import (
	"slices"
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
	var targets []messenger.VM
	for _, vm := range msg.List.VMs {
		if vm.Role == messenger.TargetVM && vm.FailureDomain == s.cfg.FailureDomain {
			targets = append(targets, vm)
		}
	}
	s.updateBroker(now, broker.Targets{VMs: targets})
	s.candidates(now, msg.List.VMs)
}

// candidates tells the membership whom to contact: the entries of the settings,
// which serve a start during an outage of the platform, and those of the list.
func (s *State) candidates(now time.Time, vms []messenger.VM) {
	local, remote := slices.Clone(s.cfg.Seeds), slices.Clone(s.cfg.RemoteSeeds)
	for _, vm := range vms {
		switch {
		case vm.Role != messenger.EntryVM:
		case vm.FailureDomain == s.cfg.FailureDomain:
			local = append(local, vm.Address)
		default:
			remote = append(remote, vm.Address)
		}
	}
	s.remote = remote
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
