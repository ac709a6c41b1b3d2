package keeper

import (
	"maps"
	"time"

	"github.com/godwitrelay/godwitrelay/core/loader"
)

// Component is a part of the platform that can fail independently.
type Component string

// Components of the platform.
const (
	LogComponent    Component = "log"
	VMsComponent    Component = "vms"
	LeasesComponent Component = "leases"
	UsageComponent  Component = "usage"
)

// Outage is the way in which a component fails to serve requests during a
// simulated outage. Stored state is not affected.
type Outage string

const (
	// NoOutage means that the component works.
	NoOutage Outage = ""
	// Refuse means that the component responds with status 503.
	Refuse Outage = "refuse"
	// Hang means that the component accepts requests and never responds.
	Hang Outage = "hang"
)

// ControlRequest is the body of POST /control. Absent fields leave their
// settings unchanged. LoseReplies is the number of upcoming appends whose replies
// are dropped. Leaving maps addresses of VMs to whether the VM list shows them as
// leaving, regardless of what they report.
type ControlRequest struct {
	Outage             map[Component]Outage `json:"outage,omitempty"`
	LoseReplies        *int64               `json:"loseReplies,omitempty"`
	AppendDelayMs      *int64               `json:"appendDelayMs,omitempty"`
	ReadDelayMs        *int64               `json:"readDelayMs,omitempty"`
	RetentionMs        *int64               `json:"retentionMs,omitempty"`
	AppendsPerSecond   *int64               `json:"appendsPerSecond,omitempty"`
	ListLagMs          *int64               `json:"listLagMs,omitempty"`
	UsageLagMs         *int64               `json:"usageLagMs,omitempty"`
	UsageShuffleMs     *int64               `json:"usageShuffleMs,omitempty"`
	UsageRepeatPercent *int64               `json:"usageRepeatPercent,omitempty"`
	Leaving            map[string]bool      `json:"leaving,omitempty"`
}

// Counters are cumulative since the platform started. LimitedAppends counts the
// appends rejected by the rate limit, and Refused and Hung the requests affected
// by an outage.
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

// ControlStatus is the response to GET /control and POST /control.
type ControlStatus struct {
	Settings     Settings             `json:"settings"`
	Outage       map[Component]Outage `json:"outage"`
	LoseReplies  int64                `json:"loseReplies"`
	Leaving      []string             `json:"leaving"`
	Streams      map[string]int64     `json:"streams"`
	Leases       int                  `json:"leases"`
	PendingUsage int                  `json:"pendingUsage"`
	Counters     Counters             `json:"counters"`
}

// ApplyControl applies c atomically. If any field is invalid, it changes nothing
// and returns an error that lists every invalid field.
func (s *State) ApplyControl(now time.Time, c ControlRequest) error {
	var f loader.Problems
	settings, loseReplies := s.settings, s.loseReplies
	c.applySettings(&settings)
	settings.checkMutable(&f)
	if c.LoseReplies != nil {
		loseReplies = *c.LoseReplies
		f.CheckRange("loseReplies", &loseReplies, 0, 0, 1_000_000)
	}
	for component, outage := range c.Outage {
		name, mode := string(component), string(outage)
		f.CheckOneOf("outage component", &name, string(LogComponent), string(VMsComponent), string(LeasesComponent), string(UsageComponent))
		if outage != NoOutage {
			f.CheckOneOf("outage."+name, &mode, string(Refuse), string(Hang))
		}
	}
	for address := range c.Leaving {
		f.CheckAddress("leaving", address)
	}
	if err := f.Err(); err != nil {
		return err
	}
	s.advance(now)
	s.settings, s.loseReplies = settings, loseReplies
	maps.Copy(s.outage, c.Outage)
	for address, leaving := range c.Leaving {
		s.leases.SetLeaving(now, address, leaving)
	}
	s.trimStreams(now)
	return nil
}

func (c ControlRequest) applySettings(s *Settings) {
	set := func(dst, src *int64) {
		if src != nil {
			*dst = *src
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
