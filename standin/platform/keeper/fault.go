package keeper

import (
	"maps"
	"time"

	"github.com/godwitrelay/godwitrelay/core/loader"
)

// Part names a part of the platform that can fail on its own.
type Part string

// The parts.
const (
	LogPart    Part = "log"
	VMsPart    Part = "vms"
	LeasesPart Part = "leases"
	UsagePart  Part = "usage"
)

// Outage tells how a part fails. The zero value means that it works.
type Outage string

// The outages. Refuse answers 503. Hang takes the request and never answers.
// None of them has an effect on what the platform stores.
const (
	Works  Outage = ""
	Refuse Outage = "refuse"
	Hang   Outage = "hang"
)

// Change is the body of POST /control. Only the fields that are present change
// anything.
type Change struct {
	Outage             map[Part]Outage `json:"outage,omitempty"`
	LoseReplies        *int64          `json:"loseReplies,omitempty"`
	AppendDelayMs      *int64          `json:"appendDelayMs,omitempty"`
	ReadDelayMs        *int64          `json:"readDelayMs,omitempty"`
	RetentionMs        *int64          `json:"retentionMs,omitempty"`
	AppendsPerSecond   *int64          `json:"appendsPerSecond,omitempty"`
	ListLagMs          *int64          `json:"listLagMs,omitempty"`
	UsageLagMs         *int64          `json:"usageLagMs,omitempty"`
	UsageShuffleMs     *int64          `json:"usageShuffleMs,omitempty"`
	UsageRepeatPercent *int64          `json:"usageRepeatPercent,omitempty"`
	Leaving            map[string]bool `json:"leaving,omitempty"`
}

// Counters tell what the platform has done since its start.
type Counters struct {
	Appends        int64 `json:"appends"`
	LimitedAppends int64 `json:"limitedAppends"`
	LostReplies    int64 `json:"lostReplies"`
	Reads          int64 `json:"reads"`
	LeaseRequests  int64 `json:"leaseRequests"`
	UsageReports   int64 `json:"usageReports"`
	Refused        int64 `json:"refused"`
	Hung           int64 `json:"hung"`
}

// Condition answers GET /control and POST /control.
type Condition struct {
	Settings     Settings         `json:"settings"`
	Outage       map[Part]Outage  `json:"outage"`
	LoseReplies  int64            `json:"loseReplies"`
	Leaving      []string         `json:"leaving"`
	Streams      map[string]int64 `json:"streams"`
	Leases       int              `json:"leases"`
	PendingUsage int              `json:"pendingUsage"`
	Counters     Counters         `json:"counters"`
}

// Control applies c as a whole, or returns an error that lists every fault of
// c and changes nothing.
func (s *State) Control(now time.Time, c Change) error {
	var f loader.Faults
	settings, lose := s.settings, s.loseReplies
	c.apply(&settings)
	settings.checkChangeable(&f)
	if c.LoseReplies != nil {
		lose = *c.LoseReplies
		f.Range("loseReplies", &lose, 0, 0, 1_000_000)
	}
	for part, outage := range c.Outage {
		name, kind := string(part), string(outage)
		f.OneOf("outage part", &name, string(LogPart), string(VMsPart), string(LeasesPart), string(UsagePart))
		if outage != Works {
			f.OneOf("outage."+name, &kind, string(Refuse), string(Hang))
		}
	}
	for address := range c.Leaving {
		f.Address("leaving", address)
	}
	if err := f.Err(); err != nil {
		return err
	}
	s.advance(now)
	s.settings, s.loseReplies = settings, lose
	maps.Copy(s.outage, c.Outage)
	for address, leaving := range c.Leaving {
		s.leases.SetLeaving(now, address, leaving)
	}
	s.forget(now)
	return nil
}

func (c Change) apply(s *Settings) {
	set := func(to, from *int64) {
		if from != nil {
			*to = *from
		}
	}
	set(&s.AppendDelayMs, c.AppendDelayMs)
	set(&s.ReadDelayMs, c.ReadDelayMs)
	set(&s.RetentionMs, c.RetentionMs)
	set(&s.AppendsPerSecond, c.AppendsPerSecond)
	set(&s.ListLagMs, c.ListLagMs)
	set(&s.UsageLagMs, c.UsageLagMs)
	set(&s.UsageShuffleMs, c.UsageShuffleMs)
	set(&s.UsageRepeatPercent, c.UsageRepeatPercent)
}
