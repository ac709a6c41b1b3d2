// Package driver executes runs: for each mode and round, it connects the
// generator, the callers, the meter and the message counters.
package driver

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/load/generator"
)

// Modes of a run.
const (
	// Entries submits jobs through entries.
	Entries = "entries"
	// Direct sends tasks directly to targets, as the baseline.
	Direct = "direct"
)

// Settings configure a run. Addresses are IP:port, or IP:port+n for n
// consecutive ports. Metrics are the addresses at which entries serve
// GET /metrics, and TargetControls those at which target processes serve
// GET /control. In mode entries, both are read before and after a run, and
// Metrics also once per second during it. Label names the version under test.
type Settings struct {
	generator.Settings
	Entries         []string `json:"entries,omitempty"`
	Targets         []string `json:"targets,omitempty"`
	SlotsPerTarget  int64    `json:"slotsPerTarget,omitempty"`
	Modes           []string `json:"modes,omitempty"`
	Rounds          int64    `json:"rounds,omitempty"`
	Sessions        int64    `json:"sessions,omitempty"`
	IDBatch         int64    `json:"idBatch,omitempty"`
	WarmupMs        int64    `json:"warmupMs,omitempty"`
	MaxInFlight     int64    `json:"maxInFlight,omitempty"`
	HistoryFile     string   `json:"historyFile,omitempty"`
	HistoryPayloads *bool    `json:"historyPayloads,omitempty"`
	Metrics         []string `json:"metrics,omitempty"`
	TargetControls  []string `json:"targetControls,omitempty"`
	Label           string   `json:"label,omitempty"`
}

// Check records invalid settings in f, fills in defaults and expands address
// ranges.
func (s *Settings) Check(f *loader.Problems) {
	s.Entries = ExpandAddresses(f, "entries", s.Entries)
	s.Targets = ExpandAddresses(f, "targets", s.Targets)
	s.Metrics = ExpandAddresses(f, "metrics", s.Metrics)
	s.TargetControls = ExpandAddresses(f, "targetControls", s.TargetControls)
	f.CheckRange("slotsPerTarget", &s.SlotsPerTarget, 8, 1, 10_000)
	if s.Slots == 0 && len(s.Targets) > 0 {
		s.Slots = int64(len(s.Targets)) * s.SlotsPerTarget
	}
	s.Settings.Check(f)
	f.CheckRange("rounds", &s.Rounds, 1, 1, 1000)
	f.CheckRange("sessions", &s.Sessions, max(1, 8*int64(len(s.Entries))), 1, 100_000)
	f.CheckRange("idBatch", &s.IDBatch, 16, 1, 1000)
	f.CheckRange("maxInFlight", &s.MaxInFlight, 20_000, 1, 1_000_000)
	if s.WarmupMs < 0 || s.WarmupMs >= s.DurationMs {
		f.Add("warmupMs", s.WarmupMs, "0 to less than durationMs")
	}
	s.checkModes(f)
}

func (s *Settings) checkModes(f *loader.Problems) {
	if len(s.Modes) == 0 {
		s.Modes = []string{Entries}
	}
	for i := range s.Modes {
		f.CheckOneOf(fmt.Sprintf("modes[%d]", i), &s.Modes[i], Entries, Direct)
		if s.Modes[i] == Entries && len(s.Entries) == 0 {
			f.Add("entries", 0, "at least one address for mode entries")
		}
		if s.Modes[i] == Direct && len(s.Targets) == 0 {
			f.Add("targets", 0, "at least one address for mode direct")
		}
	}
}

// maxPorts limits the number of ports in one address range.
const maxPorts = 20_000

// ExpandAddresses validates addresses and expands ranges (IP:port+n) to single
// addresses. It records invalid addresses in f.
func ExpandAddresses(f *loader.Problems, field string, list []string) []string {
	var all []string
	for i, text := range list {
		item := fmt.Sprintf("%s[%d]", field, i)
		first, count, isRange := strings.Cut(text, "+")
		n := 1
		if isRange {
			var err error
			if n, err = strconv.Atoi(count); err != nil || n < 1 || n > maxPorts {
				f.Add(item, text, fmt.Sprintf("IP:port+n with n from 1 to %d", maxPorts))
				continue
			}
		}
		start, err := netip.ParseAddrPort(first)
		if err != nil || int(start.Port())+n-1 > 65535 {
			f.CheckAddress(item, text)
			continue
		}
		for k := range n {
			all = append(all, netip.AddrPortFrom(start.Addr(), start.Port()+uint16(k)).String())
		}
	}
	return all
}
