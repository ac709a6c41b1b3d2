package dispatcher

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
)

// Cmd is an effect requested by [State.Update].
type Cmd interface{ dispatcherCmd() }

// Reply delivers Value to the request that waits under Waiter. Value is a
// messenger.Answer, IDsReply, SlotsReply, Heartbeat, VMList or EntryStatus, a
// follower.Accepted, or a bool in reply to [GrantsReceived].
type Reply struct {
	Waiter Waiter
	Value  any
}

// Forward sends a caller's request to the entry that issued the id. Method is
// POST, GET or DELETE; Submission is set only for POST. The result arrives as
// [Forwarded].
type Forward struct {
	Waiter     Waiter
	Method     string
	Address    string
	JobID      string
	Submission messenger.Submission
	Timeout    time.Duration
}

// StartTask sends one task to a target, without retries. The result arrives as
// [TaskEnded].
type StartTask struct {
	JobID   string
	Task    int
	Grant   messenger.Grant
	Request messenger.TaskRequest
	Timeout time.Duration
}

// SendSlots sends slot requests, releases and cancellations to a broker. The
// result arrives as [SlotsAnswered].
type SendSlots struct {
	To      messenger.Member
	Request messenger.SlotsRequest
}

// SendGrants sends grants and refusals from this entry's broker to another
// entry. The result arrives as [GrantsSent].
type SendGrants struct {
	To      messenger.Member
	Request messenger.GrantsRequest
}

// Probe requests the status of a target. The result arrives as [Probed].
type Probe struct{ Target string }

// Beat sends a heartbeat. A reply arrives as [Heard], a missing one as
// [BeatFailed].
type Beat struct {
	Address   string
	Heartbeat messenger.Heartbeat
}

// ReadLog reads up to Limit records of the configuration log. The result
// arrives as [LogRead].
type ReadLog struct {
	From  int64
	Limit int
}

// AppendSnapshot appends the configuration in force to the configuration log
// as a snapshot. The result arrives as [SnapshotAppended].
type AppendSnapshot struct{ Record follower.Record }

// FetchConfiguration requests the configuration in force from another entry.
// The result arrives as [ConfigurationFetched].
type FetchConfiguration struct{ Address string }

// ListVMs reads the list of VMs from the platform. The result arrives as
// [VMsListed].
type ListVMs struct{}

// FetchVMs requests from another entry the list of VMs that it last read from
// the platform. The result arrives as [VMsListed].
type FetchVMs struct{ Address string }

// ReadUsage reads the usage totals from the platform. The result arrives as
// [UsageRead].
type ReadUsage struct{}

// RenewLease renews the lease of this entry in the platform's list of VMs.
type RenewLease struct{ Request messenger.LeaseRequest }

// Count increments the counter for Reason in one group of metrics. Group is
// "refusal", "retry", "message", "wasted" or "target"; package exporter maps it to
// the name of the metric, for example godwitrelay_refusals_total.
type Count struct {
	Group  string
	Reason string
}

// Observe records the response time of a job in the metrics.
type Observe struct {
	Priority messenger.Priority
	Outcome  messenger.Outcome
	Response time.Duration
}

// Note appends a record to the history.
type Note struct{ Record recorder.Record }

// Log writes a log line. Part is the component that the line is about, "config"
// or "stop", and is printed in front of Text.
type Log struct {
	Part string
	Text string
}

// Exit ends the process after a planned stop.
type Exit struct{}

func (Reply) dispatcherCmd()              {}
func (Forward) dispatcherCmd()            {}
func (StartTask) dispatcherCmd()          {}
func (SendSlots) dispatcherCmd()          {}
func (SendGrants) dispatcherCmd()         {}
func (Probe) dispatcherCmd()              {}
func (Beat) dispatcherCmd()               {}
func (ReadLog) dispatcherCmd()            {}
func (AppendSnapshot) dispatcherCmd()     {}
func (FetchConfiguration) dispatcherCmd() {}
func (ListVMs) dispatcherCmd()            {}
func (FetchVMs) dispatcherCmd()           {}
func (ReadUsage) dispatcherCmd()          {}
func (RenewLease) dispatcherCmd()         {}
func (Count) dispatcherCmd()              {}
func (Observe) dispatcherCmd()            {}
func (Note) dispatcherCmd()               {}
func (Log) dispatcherCmd()                {}
func (Exit) dispatcherCmd()               {}
