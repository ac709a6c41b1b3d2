package main

import (
	"fmt"
	"net/netip"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// settings is the decoded settings file.
type settings struct {
	// Control is the address of the control API.
	Control string `json:"control"`
	// LogLevel is one of error, warning, info, debug.
	LogLevel string `json:"logLevel,omitempty"`
	// Process names this process in the history.
	Process string `json:"process,omitempty"`
	// HistoryFile is the file that history records are appended to; empty
	// disables the history.
	HistoryFile string `json:"historyFile,omitempty"`
	// Platform is the address of the platform; empty disables leases and usage
	// reports.
	Platform string `json:"platform,omitempty"`
	// Lease enables leases, which requires Platform.
	Lease *leaseSettings `json:"lease,omitempty"`
	// UsageReportMs is the interval between usage reports of each target.
	UsageReportMs int64 `json:"usageReportMs,omitempty"`
	// LeavingNoticeMs is the minimum time between the announcement that a
	// target is leaving and its shutdown. 0 means the default.
	LeavingNoticeMs int64 `json:"leavingNoticeMs,omitempty"`
	// Targets lists groups of targets with identical settings.
	Targets []targetGroup `json:"targets"`
	// Processors sets GOMAXPROCS. Tasks mostly sleep, so more threads increase
	// the CPU time spent on thread wake-ups.
	Processors int64 `json:"processors,omitempty"`
	// Seed seeds the random number generators.
	Seed uint64 `json:"seed,omitempty"`
}

type leaseSettings struct {
	TTLMs   int64 `json:"ttlMs"`
	RenewMs int64 `json:"renewMs"`
	// RequiredForTasks makes targets without a lease refuse tasks.
	RequiredForTasks bool `json:"guardsWork"`
}

// targetGroup is a set of targets that differ only in their addresses. These are
// either Addresses or Count consecutive ports starting at FirstAddress. Listen
// has one listen address for each of Addresses, for targets that are reached
// through a proxy.
type targetGroup struct {
	Addresses      []string `json:"addresses,omitempty"`
	Listen         []string `json:"listen,omitempty"`
	FirstAddress   string   `json:"firstAddress,omitempty"`
	Count          int64    `json:"count,omitempty"`
	Service        string   `json:"service"`
	FailureDomain  string   `json:"failureDomain"`
	Region         string   `json:"region,omitempty"`
	Slots          int64    `json:"slots,omitempty"`
	MaxConnections int64    `json:"maxConnections,omitempty"`
	MemoryMB       int64    `json:"memoryMB,omitempty"`
}

const (
	maxPort    = 65_535
	maxTargets = 10_000
)

// Check implements [loader.Checker]: it fills in defaults and records every
// invalid field.
func (s *settings) Check(f *loader.Problems) {
	f.CheckAddress("control", s.Control)
	f.CheckOneOf("logLevel", &s.LogLevel, "info", "error", "warning", "debug")
	if s.Process == "" {
		s.Process = "targets"
	}
	f.CheckName("process", s.Process)
	if s.Platform != "" {
		f.CheckAddress("platform", s.Platform)
	}
	f.CheckRange("usageReportMs", &s.UsageReportMs, 1000, 10, 3_600_000)
	f.CheckRange("leavingNoticeMs", &s.LeavingNoticeMs, 3000, 1, 600_000)
	f.CheckRange("processors", &s.Processors, 2, 1, 1024)
	if s.Lease != nil {
		f.CheckRange("lease.ttlMs", &s.Lease.TTLMs, 10_000, 10, 24*3_600_000)
		f.CheckRange("lease.renewMs", &s.Lease.RenewMs, max(1, s.Lease.TTLMs/4), 1, max(1, s.Lease.TTLMs-1))
		if s.Platform == "" {
			f.Add("platform", "", "an address (required by lease)")
		}
	}
	if len(s.Targets) == 0 {
		f.Add("targets", "[]", "at least one group")
	}
	seen := map[string]bool{s.Control: true}
	for i := range s.Targets {
		s.Targets[i].check(f, fmt.Sprintf("targets[%d].", i), seen)
	}
}

func (g *targetGroup) check(f *loader.Problems, prefix string, seen map[string]bool) {
	f.CheckName(prefix+"service", g.Service)
	f.CheckName(prefix+"failureDomain", g.FailureDomain)
	if g.Region != "" {
		f.CheckName(prefix+"region", g.Region)
	}
	f.CheckRange(prefix+"slots", &g.Slots, 8, 1, 10_000)
	f.CheckRange(prefix+"maxConnections", &g.MaxConnections, 60, 1, 10_000)
	f.CheckRange(prefix+"memoryMB", &g.MemoryMB, 4096, 1, 1<<24)
	g.checkAddresses(f, prefix)
	for _, address := range g.addressList() {
		if seen[address] {
			f.Add(prefix+"addresses", address, "unique addresses")
		}
		seen[address] = true
	}
}

func (g *targetGroup) checkAddresses(f *loader.Problems, prefix string) {
	for _, address := range g.Listen {
		f.CheckAddress(prefix+"listen", address)
	}
	if len(g.Listen) > 0 && len(g.Listen) != len(g.Addresses) {
		f.Add(prefix+"listen", g.Listen, "empty, or one entry for each of addresses")
	}
	switch {
	case len(g.Addresses) > 0 && g.FirstAddress != "":
		f.Add(prefix+"firstAddress", g.FirstAddress, "empty if addresses is set")
	case len(g.Addresses) > 0:
		for _, address := range g.Addresses {
			f.CheckAddress(prefix+"addresses", address)
		}
	default:
		f.CheckAddress(prefix+"firstAddress", g.FirstAddress)
		f.CheckRange(prefix+"count", &g.Count, 1, 1, maxTargets)
		if first, err := netip.ParseAddrPort(g.FirstAddress); err == nil && int64(first.Port())+g.Count-1 > maxPort {
			f.Add(prefix+"count", g.Count, fmt.Sprintf("up to port %d", maxPort))
		}
	}
}

// addressList returns the addresses of the group.
func (g *targetGroup) addressList() []string {
	first, err := netip.ParseAddrPort(g.FirstAddress)
	if len(g.Addresses) > 0 || err != nil {
		return g.Addresses
	}
	var addresses []string
	for i := range min(g.Count, maxTargets) {
		if port := int64(first.Port()) + i; port <= maxPort {
			addresses = append(addresses, netip.AddrPortFrom(first.Addr(), uint16(port)).String())
		}
	}
	return addresses
}

// listenAddress returns the listen address of the target with index i.
func (g *targetGroup) listenAddress(i int) string {
	if len(g.Listen) > 0 {
		return g.Listen[i]
	}
	return g.addressList()[i]
}

// vms describes the targets of the group for the platform's VM list.
func (g *targetGroup) vms() []messenger.VM {
	var vms []messenger.VM
	for _, address := range g.addressList() {
		vms = append(vms, messenger.VM{
			Role:          messenger.TargetVM,
			Address:       address,
			FailureDomain: g.FailureDomain,
			Region:        g.Region,
			Service:       g.Service,
			Slots:         int(g.Slots),
			MemoryMB:      g.MemoryMB,
		})
	}
	return vms
}
