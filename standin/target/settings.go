package main

import (
	"fmt"
	"net/netip"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// settings is the content of the settings file.
type settings struct {
	// Control is the address of the control listener.
	Control string `json:"control"`
	// LogLevel is one of error, warning, info, debug.
	LogLevel string `json:"logLevel,omitempty"`
	// Process names this process in the history.
	Process string `json:"process,omitempty"`
	// HistoryFile receives history records; none if empty.
	HistoryFile string `json:"historyFile,omitempty"`
	// Platform is the address of the platform; none if empty.
	Platform string `json:"platform,omitempty"`
	// Lease is set if the targets hold leases, which needs Platform.
	Lease *leaseSettings `json:"lease,omitempty"`
	// UsageReportMs is the time between usage reports of one target.
	UsageReportMs int64 `json:"usageReportMs,omitempty"`
	// LeavingNoticeMs is the least time between the announcement that a target
	// is leaving and its end. 0 means the default.
	LeavingNoticeMs int64 `json:"leavingNoticeMs,omitempty"`
	// Targets lists groups of equal targets.
	Targets []group `json:"targets"`
	// Processors bounds the threads that run at once. A host of short mostly
	// sleeping tasks spends more time on waking threads the more it has.
	Processors int64 `json:"processors,omitempty"`
	// Seed starts the source of randomness.
	Seed uint64 `json:"seed,omitempty"`
}

type leaseSettings struct {
	TTLMs   int64 `json:"ttlMs"`
	RenewMs int64 `json:"renewMs"`
	// GuardsWork makes a target without a lease refuse tasks.
	GuardsWork bool `json:"guardsWork"`
}

// group is a number of targets that differ in their address only: Addresses,
// or Count consecutive ports from FirstAddress. Listen, one for each of
// Addresses, is where the sockets are opened if others reach the targets
// through a forwarder.
type group struct {
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

// Check records every fault of the settings and fills in defaults.
func (s *settings) Check(f *loader.Faults) {
	f.Address("control", s.Control)
	f.OneOf("logLevel", &s.LogLevel, "info", "error", "warning", "debug")
	if s.Process == "" {
		s.Process = "targets"
	}
	f.Name("process", s.Process)
	if s.Platform != "" {
		f.Address("platform", s.Platform)
	}
	f.Range("usageReportMs", &s.UsageReportMs, 1000, 10, 3_600_000)
	f.Range("leavingNoticeMs", &s.LeavingNoticeMs, 3000, 1, 600_000)
	f.Range("processors", &s.Processors, 2, 1, 1024)
	if s.Lease != nil {
		f.Range("lease.ttlMs", &s.Lease.TTLMs, 10_000, 10, 24*3_600_000)
		f.Range("lease.renewMs", &s.Lease.RenewMs, max(1, s.Lease.TTLMs/4), 1, max(1, s.Lease.TTLMs-1))
		if s.Platform == "" {
			f.Add("platform", "", "an address, because lease is set")
		}
	}
	if len(s.Targets) == 0 {
		f.Add("targets", "[]", "at least one group")
	}
	used := map[string]bool{s.Control: true}
	for i := range s.Targets {
		s.Targets[i].check(f, fmt.Sprintf("targets[%d].", i), used)
	}
}

func (g *group) check(f *loader.Faults, prefix string, used map[string]bool) {
	f.Name(prefix+"service", g.Service)
	f.Name(prefix+"failureDomain", g.FailureDomain)
	if g.Region != "" {
		f.Name(prefix+"region", g.Region)
	}
	f.Range(prefix+"slots", &g.Slots, 8, 1, 10_000)
	f.Range(prefix+"maxConnections", &g.MaxConnections, 60, 1, 10_000)
	f.Range(prefix+"memoryMB", &g.MemoryMB, 4096, 1, 1<<24)
	g.checkAddresses(f, prefix)
	for _, address := range g.list() {
		if used[address] {
			f.Add(prefix+"addresses", address, "addresses that are used once")
		}
		used[address] = true
	}
}

func (g *group) checkAddresses(f *loader.Faults, prefix string) {
	for _, address := range g.Listen {
		f.Address(prefix+"listen", address)
	}
	if len(g.Listen) > 0 && len(g.Listen) != len(g.Addresses) {
		f.Add(prefix+"listen", g.Listen, "none, or one for each of addresses")
	}
	switch {
	case len(g.Addresses) > 0 && g.FirstAddress != "":
		f.Add(prefix+"firstAddress", g.FirstAddress, "nothing, because addresses is set")
	case len(g.Addresses) > 0:
		for _, address := range g.Addresses {
			f.Address(prefix+"addresses", address)
		}
	default:
		f.Address(prefix+"firstAddress", g.FirstAddress)
		f.Range(prefix+"count", &g.Count, 1, 1, maxTargets)
		if first, err := netip.ParseAddrPort(g.FirstAddress); err == nil && int64(first.Port())+g.Count-1 > maxPort {
			f.Add(prefix+"count", g.Count, fmt.Sprintf("up to port %d", maxPort))
		}
	}
}

// list returns the addresses of the group.
func (g *group) list() []string {
	first, err := netip.ParseAddrPort(g.FirstAddress)
	if len(g.Addresses) > 0 || err != nil {
		return g.Addresses
	}
	var list []string
	for i := range min(g.Count, maxTargets) {
		if port := int64(first.Port()) + i; port <= maxPort {
			list = append(list, netip.AddrPortFrom(first.Addr(), uint16(port)).String())
		}
	}
	return list
}

// listen returns where the socket of the target number i is opened.
func (g *group) listen(i int) string {
	if len(g.Listen) > 0 {
		return g.Listen[i]
	}
	return g.list()[i]
}

// vms returns the rows of the group's targets.
func (g *group) vms() []messenger.VM {
	var list []messenger.VM
	for _, address := range g.list() {
		list = append(list, messenger.VM{
			Role:          messenger.TargetVM,
			Address:       address,
			FailureDomain: g.FailureDomain,
			Region:        g.Region,
			Service:       g.Service,
			Slots:         int(g.Slots),
			MemoryMB:      g.MemoryMB,
		})
	}
	return list
}
