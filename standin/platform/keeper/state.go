// Package keeper implements the state of the simulated platform: the log, leases
// and the VM list, usage reports and injected faults. The log consists of
// streams, each of which is a sequence of records. The package does no I/O, and
// callers pass in the current time.
//
// The platform is the one that godwit-entry uses. The operators' platform, which
// godwit-platform-entry uses and which has a store and workers, is simulated in
// standin/fleet.
package keeper

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// UsageStream is the log stream that contains usage reports. Only the platform
// appends to it, and these appends do not count towards the rate limit.
const UsageStream = "usage"

// maxStreams limits the number of streams, because clients can create them.
const maxStreams = 1000

// State is the complete state of the platform. Use [New] to create one. It is
// not safe for concurrent use.
type State struct {
	settings    Settings
	outage      map[Component]Outage
	loseReplies int64
	limiter     Limiter
	streams     map[string]*Stream
	leases      *Leases
	usage       *Usage
	counters    Counters
}

// New returns a platform with no records, leases or usage.
func New(settings Settings) *State {
	return &State{
		settings: settings,
		outage:   map[Component]Outage{},
		streams:  map[string]*Stream{UsageStream: {}},
		leases:   NewLeases(),
		usage:    NewUsage(settings.Seed),
	}
}

// CheckOutage returns the current outage of a component and counts the request
// if there is one.
func (s *State) CheckOutage(component Component) Outage {
	switch s.outage[component] {
	case Refuse:
		s.counters.Refused++
		return Refuse
	case Hang:
		s.counters.Hung++
		return Hang
	default:
		return NoOutage
	}
}

// AppendDelay returns the delay before an append takes effect.
func (s *State) AppendDelay() time.Duration { return ms(s.settings.AppendDelayMs) }

// ReadDelay returns the delay before a page is read.
func (s *State) ReadDelay() time.Duration { return ms(s.settings.ReadDelayMs) }

// MaxRecordBytes returns the maximum record size.
func (s *State) MaxRecordBytes() int64 { return s.settings.MaxRecordBytes }

// Append adds a record to the named stream and returns its offset and whether to
// drop the reply. The error kind is Overloaded if the append rate limit is
// exceeded.
func (s *State) Append(now time.Time, name string, value json.RawMessage) (offset int64, loseReply bool, err *messenger.Error) {
	s.advance(now)
	if name == UsageStream {
		return 0, false, messenger.NewError(messenger.Forbidden, "stream usage is read-only")
	}
	if int64(len(value)) > s.settings.MaxRecordBytes {
		return 0, false, messenger.NewError(messenger.TooLarge, fmt.Sprintf("record exceeds %d bytes", s.settings.MaxRecordBytes))
	}
	if !json.Valid(value) {
		return 0, false, messenger.NewError(messenger.BadRequest, "record is not a single JSON value")
	}
	stream := s.streams[name]
	if stream == nil && len(s.streams) >= maxStreams {
		return 0, false, messenger.NewError(messenger.BadRequest, "maximum number of streams reached")
	}
	if ok, wait := s.limiter.Allow(now, s.settings.AppendsPerSecond); !ok {
		s.counters.LimitedAppends++
		text := fmt.Sprintf("rate limit of %d appends per second exceeded", s.settings.AppendsPerSecond)
		return 0, false, messenger.NewError(messenger.Overloaded, text).WithRetryAfter(1 + wait.Milliseconds())
	}
	if stream == nil {
		stream = &Stream{}
		s.streams[name] = stream
	}
	offset = stream.Append(now, value)
	s.trimStreams(now)
	s.counters.Appends++
	if s.loseReplies > 0 {
		s.loseReplies--
		s.counters.LostReplies++
		loseReply = true
	}
	return offset, loseReply, nil
}

// Page returns up to limit records of the named stream, beginning at offset from. A
// limit of 0 means MaxPageRecords. An unknown stream yields an empty page.
func (s *State) Page(now time.Time, name string, from int64, limit int) messenger.LogPage {
	s.advance(now)
	s.counters.Reads++
	maxRecords := int(s.settings.MaxPageRecords)
	if limit <= 0 || limit > maxRecords {
		limit = maxRecords
	}
	stream := s.streams[name]
	if stream == nil {
		stream = &Stream{}
	}
	page := stream.Page(now, from, limit)
	page.RetentionMs = s.settings.RetentionMs
	return page
}

// VMs returns the VM list, which follows lease changes after ListLagMs.
func (s *State) VMs(now time.Time) messenger.VMList {
	s.advance(now)
	return s.leases.List()
}

// Lease grants, renews or releases a lease and returns the granted duration.
func (s *State) Lease(now time.Time, r messenger.LeaseRequest) (messenger.LeaseReply, *messenger.Error) {
	s.advance(now)
	s.counters.LeaseRequests++
	if err := validateVM(r.VM); err != nil {
		return messenger.LeaseReply{}, err
	}
	if r.TTLMs < 0 {
		return messenger.LeaseReply{}, messenger.NewError(messenger.BadRequest, "ttlMs must not be negative")
	}
	ttl := min(r.TTLMs, s.settings.MaxLeaseMs)
	s.leases.Grant(now, r.VM, ms(ttl))
	s.advance(now)
	return messenger.LeaseReply{TTLMs: ttl}, nil
}

// AddUsageReport validates and stores a usage report.
func (s *State) AddUsageReport(now time.Time, r messenger.UsageReport) *messenger.Error {
	s.advance(now)
	if r.ID == "" || r.Service == "" || r.SlotMs < 0 {
		return messenger.NewError(messenger.BadRequest, "usage report requires id, service and a non-negative slotMs")
	}
	s.counters.UsageReports++
	s.usage.Add(now, r, s.settings)
	s.advance(now)
	return nil
}

// UsageTotals returns the usage received on the current UTC day. Duplicate
// reports are counted once.
func (s *State) UsageTotals(now time.Time) messenger.UsageTotals { return s.usage.Totals(now) }

// ControlStatus returns the settings, faults and counters at the time now.
func (s *State) ControlStatus(now time.Time) ControlStatus {
	s.advance(now)
	status := ControlStatus{
		Settings:     s.settings,
		Outage:       map[Component]Outage{},
		LoseReplies:  s.loseReplies,
		Leaving:      slices.AppendSeq([]string{}, maps.Keys(s.leases.leavingOverrides)),
		Streams:      map[string]int64{},
		Leases:       s.leases.Count(now),
		PendingUsage: s.usage.Pending(),
		Counters:     s.counters,
	}
	for _, component := range []Component{LogComponent, VMsComponent, LeasesComponent, UsageComponent} {
		status.Outage[component] = s.outage[component]
	}
	slices.Sort(status.Leaving)
	for name, stream := range s.streams {
		status.Streams[name] = stream.nextOffset()
	}
	return status
}

// advance brings the state up to date with the time now: it applies due changes to
// the VM list, appends due reports to the usage stream, and drops records of all
// streams that exceed the retention or the maximum size of their stream.
func (s *State) advance(now time.Time) {
	s.leases.Advance(now, ms(s.settings.ListLagMs))
	for _, r := range s.usage.PopDue(now) {
		// Marshal cannot fail: a report has only string and integer fields.
		value, _ := json.Marshal(r)
		s.streams[UsageStream].Append(now, value)
	}
	s.trimStreams(now)
}

func (s *State) trimStreams(now time.Time) {
	for _, stream := range s.streams {
		stream.Trim(now, ms(s.settings.RetentionMs), s.settings.MaxStreamBytes)
	}
}

func validateVM(vm messenger.VM) *messenger.Error {
	if vm.Role != messenger.EntryVM && vm.Role != messenger.TargetVM {
		return messenger.NewError(messenger.BadRequest, fmt.Sprintf("role is %q; allowed: entry, target", vm.Role))
	}
	if _, err := netip.ParseAddrPort(vm.Address); err != nil {
		return messenger.NewError(messenger.BadRequest, fmt.Sprintf("address is %q; allowed: an IP address and a port", vm.Address))
	}
	if vm.FailureDomain == "" {
		return messenger.NewError(messenger.BadRequest, "failureDomain is missing")
	}
	return nil
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
