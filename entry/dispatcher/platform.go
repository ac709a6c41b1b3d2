package dispatcher

import (
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// vmsListed takes over the platform's list. An entry that has none, because it
// starts or the platform is down, also asks another entry of its failure
// domain.
func (s *State) vmsListed(now time.Time, msg VMsListed) {
	if msg.Peer {
		s.askingVMs = false
	} else {
		s.timers.listing = false
	}
	switch {
	case msg.Err != nil && !msg.Peer:
		s.askVMs()
		return
	case msg.Err != nil, msg.Peer && s.listed:
		return
	}
	s.vms, s.listed = msg.List, true
	var targets []messenger.VM
	for _, vm := range msg.List.VMs {
		if vm.Role == messenger.TargetVM && vm.FailureDomain == s.cfg.FailureDomain {
			targets = append(targets, vm)
		}
	}
	s.updateBroker(now, broker.Targets{VMs: targets})
	s.candidates(now, msg.List.VMs)
}

func (s *State) askVMs() {
	if s.listed || s.askingVMs {
		return
	}
	others := slices.DeleteFunc(slices.Clone(s.members), func(m messenger.Member) bool { return m == s.cfg.Self })
	if len(others) > 0 {
		s.askingVMs = true
		s.emit(FetchVMs{Address: others[s.rand.IntN(len(others))].Address})
	}
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
