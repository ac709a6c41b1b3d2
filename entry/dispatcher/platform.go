package dispatcher

import (
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/broker"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// handleVMsListed stores the platform's list of VMs. An entry without one,
// because it is starting or the platform is down, also requests it from
// another entry of its failure domain.
func (s *State) handleVMsListed(now time.Time, msg VMsListed) {
	if msg.Peer {
		s.fetchingVMs = false
	} else {
		s.timers.listingVMs = false
	}
	switch {
	case msg.Err != nil && !msg.Peer:
		s.fetchVMsFromPeer()
		return
	case msg.Err != nil, msg.Peer && s.vmsKnown:
		return
	}
	s.vms, s.vmsKnown = msg.List, true
	s.updateBroker(now, broker.TargetsListed{VMs: s.listedTargets()})
	s.updateCandidates(now, msg.List.VMs)
}

// listedTargets returns the targets of this failure domain in the list of VMs.
func (s *State) listedTargets() []messenger.VM {
	var targets []messenger.VM
	for _, vm := range s.vms.VMs {
		if vm.Role == messenger.TargetVM && vm.FailureDomain == s.cfg.FailureDomain {
			targets = append(targets, vm)
		}
	}
	return targets
}

func (s *State) fetchVMsFromPeer() {
	if s.vmsKnown || s.fetchingVMs {
		return
	}
	others := slices.DeleteFunc(slices.Clone(s.members), func(m messenger.Member) bool { return m == s.cfg.Self })
	if len(others) > 0 {
		s.fetchingVMs = true
		s.emit(FetchVMs{Address: others[s.rand.IntN(len(others))].Address})
	}
}

// updateCandidates tells the gossiper which entries to contact: those in the
// settings, which allow a start during an outage of the platform, and those in
// the list of VMs.
func (s *State) updateCandidates(now time.Time, vms []messenger.VM) {
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
	s.remotePeers = remote
	s.updateGossiper(now, gossiper.Candidates{Local: local, Remote: remote})
}

func (s *State) handleUsageRead(now time.Time, msg UsageRead) {
	s.timers.readingUsage = false
	if msg.Err != nil {
		return
	}
	for _, service := range sortedKeys(msg.SlotMs) {
		s.updateBroker(now, broker.UsageReported{Service: service, SlotMs: msg.SlotMs[service]})
	}
}

func (s *State) renewLease() {
	if s.cfg.LeaseTTL <= 0 {
		return
	}
	s.emit(RenewLease{messenger.LeaseRequest{
		VM: messenger.VM{
			Role: messenger.EntryVM, Address: s.cfg.Self.Address,
			FailureDomain: s.cfg.FailureDomain, Region: s.cfg.Region, Leaving: s.stop.started,
		},
		TTLMs: s.cfg.LeaseTTL.Milliseconds(),
	}})
}
