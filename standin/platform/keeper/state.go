// Package keeper holds what the stand-in platform stores and decides: the log,
// the leases and the VM list, the usage reports and the faults. It does no I/O
// and reads no clock.
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

// UsageStream is the log stream in which usage reports show. Only the platform
// appends to it, outside the limit on appends.
const UsageStream = "usage"

// maxStreams bounds the streams that clients can create.
const maxStreams = 1000

// State is the whole platform. Make one with [New]. It is not safe for several
// goroutines.
type State struct {
	settings    Settings
	outage      map[Part]Outage
	loseReplies int64
	limiter     Limiter
	streams     map[string]*Stream
	leases      *Leases
	usage       *Usage
	counters    Counters
}

// New returns an empty platform.
func New(settings Settings) *State {
	return &State{
		settings: settings,
		outage:   map[Part]Outage{},
		streams:  map[string]*Stream{UsageStream: {}},
		leases:   NewLeases(),
		usage:    NewUsage(settings.Seed),
	}
}

// Admit returns the outage of a part and counts the request that met it.
func (s *State) Admit(part Part) Outage {
	switch s.outage[part] {
	case Refuse:
		s.counters.Refused++
		return Refuse
	case Hang:
		s.counters.Hung++
		return Hang
	default:
		return Works
	}
}

// AppendDelay is the time to wait before an append takes effect.
func (s *State) AppendDelay() time.Duration { return ms(s.settings.AppendDelayMs) }

// ReadDelay is the time to wait before a page is read.
func (s *State) ReadDelay() time.Duration { return ms(s.settings.ReadDelayMs) }

// MaxRecordBytes is the limit on one record.
func (s *State) MaxRecordBytes() int64 { return s.settings.MaxRecordBytes }

// Append adds a record to a stream and returns its offset, and whether the
// reply is to be lost. The error kind is Overloaded if the limit on appends is
// reached.
func (s *State) Append(now time.Time, stream string, value json.RawMessage) (offset int64, lose bool, refusal *messenger.Error) {
	s.advance(now)
	if stream == UsageStream {
		return 0, false, messenger.NewError(messenger.Forbidden, "only the platform appends to the stream usage")
	}
	if int64(len(value)) > s.settings.MaxRecordBytes {
		return 0, false, messenger.NewError(messenger.TooLarge, fmt.Sprintf("the record is over %d bytes", s.settings.MaxRecordBytes))
	}
	if !json.Valid(value) {
		return 0, false, messenger.NewError(messenger.BadRequest, "the record is not one JSON value")
	}
	log := s.streams[stream]
	if log == nil && len(s.streams) >= maxStreams {
		return 0, false, messenger.NewError(messenger.BadRequest, "too many streams")
	}
	if ok, wait := s.limiter.Take(now, s.settings.AppendsPerSecond); !ok {
		s.counters.LimitedAppends++
		text := fmt.Sprintf("over %d appends per second", s.settings.AppendsPerSecond)
		return 0, false, messenger.NewError(messenger.Overloaded, text).After(1 + wait.Milliseconds())
	}
	if log == nil {
		log = &Stream{}
		s.streams[stream] = log
	}
	offset = log.Append(now, value)
	s.forget(now)
	s.counters.Appends++
	if s.loseReplies > 0 {
		s.loseReplies--
		s.counters.LostReplies++
		lose = true
	}
	return offset, lose, nil
}

// Page returns records of a stream from the offset from. A limit of 0 means
// the longest page. A stream that has no records yet is empty.
func (s *State) Page(now time.Time, stream string, from int64, limit int) messenger.LogPage {
	s.advance(now)
	s.counters.Reads++
	longest := int(s.settings.MaxPageRecords)
	if limit <= 0 || limit > longest {
		limit = longest
	}
	log := s.streams[stream]
	if log == nil {
		log = &Stream{}
	}
	page := log.Page(now, from, limit)
	page.RetentionMs = s.settings.RetentionMs
	return page
}

// VMs returns the lagging list.
func (s *State) VMs(now time.Time) messenger.VMList {
	s.advance(now)
	return s.leases.List()
}

// Lease takes, renews or gives back a lease, and returns the granted time.
func (s *State) Lease(now time.Time, r messenger.LeaseRequest) (messenger.LeaseReply, *messenger.Error) {
	s.advance(now)
	s.counters.LeaseRequests++
	if err := checkVM(r.VM); err != nil {
		return messenger.LeaseReply{}, err
	}
	if r.TTLMs < 0 {
		return messenger.LeaseReply{}, messenger.NewError(messenger.BadRequest, "ttlMs is negative")
	}
	ttl := min(r.TTLMs, s.settings.MaxLeaseMs)
	s.leases.Take(now, r.VM, ms(ttl))
	s.advance(now)
	return messenger.LeaseReply{TTLMs: ttl}, nil
}

// Report takes a usage report.
func (s *State) Report(now time.Time, r messenger.UsageReport) *messenger.Error {
	s.advance(now)
	if r.ID == "" || r.Service == "" || r.SlotMs < 0 {
		return messenger.NewError(messenger.BadRequest, "a usage report needs id, service and a slotMs that is not negative")
	}
	s.counters.UsageReports++
	s.usage.Accept(now, r, s.settings)
	s.advance(now)
	return nil
}

// Totals returns the usage received, each report counted once.
func (s *State) Totals(now time.Time) messenger.UsageTotals { return s.usage.Totals(now) }

// Condition describes the platform at the time now.
func (s *State) Condition(now time.Time) Condition {
	s.advance(now)
	c := Condition{
		Settings:     s.settings,
		Outage:       map[Part]Outage{},
		LoseReplies:  s.loseReplies,
		Leaving:      slices.AppendSeq([]string{}, maps.Keys(s.leases.leaving)),
		Streams:      map[string]int64{},
		Leases:       s.leases.Held(now),
		PendingUsage: s.usage.Pending(),
		Counters:     s.counters,
	}
	for _, part := range []Part{LogPart, VMsPart, LeasesPart, UsagePart} {
		c.Outage[part] = s.outage[part]
	}
	slices.Sort(c.Leaving)
	for name, log := range s.streams {
		c.Streams[name] = log.next()
	}
	return c
}

// advance moves due usage reports to the log, brings the VM list up to date
// and drops old records.
func (s *State) advance(now time.Time) {
	s.leases.Advance(now, ms(s.settings.ListLagMs))
	for _, r := range s.usage.Due(now) {
		// A report holds only strings and numbers, which always have a JSON form.
		value, _ := json.Marshal(r)
		s.streams[UsageStream].Append(now, value)
	}
	s.forget(now)
}

func (s *State) forget(now time.Time) {
	for _, log := range s.streams {
		log.Forget(now, ms(s.settings.RetentionMs), s.settings.MaxStreamBytes)
	}
}

func checkVM(vm messenger.VM) *messenger.Error {
	if vm.Role != messenger.EntryVM && vm.Role != messenger.TargetVM {
		return messenger.NewError(messenger.BadRequest, fmt.Sprintf("role is %q; allowed: entry, target", vm.Role))
	}
	if _, err := netip.ParseAddrPort(vm.Address); err != nil {
		return messenger.NewError(messenger.BadRequest, fmt.Sprintf("address is %q; allowed: an IP number and a port", vm.Address))
	}
	if vm.FailureDomain == "" {
		return messenger.NewError(messenger.BadRequest, "failureDomain is missing")
	}
	return nil
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
