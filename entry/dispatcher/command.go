package dispatcher

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
)

// Cmd is an effect that [State.Update] asks for.
type Cmd interface{ dispatcherCmd() }

// Reply gives Value to a waiter: a messenger.Answer, IDsReply, SlotsReply,
// Heartbeat, EntryStatus, or a follower.Accepted.
type Reply struct {
	Waiter Waiter
	Value  any
}

// Forward sends a request of a caller to the entry that issued the id. Method
// is POST, GET or DELETE; Submission belongs to POST. The result comes back as
// [Forwarded].
type Forward struct {
	Waiter     Waiter
	Method     string
	Address    string
	JobID      string
	Submission messenger.Submission
	Timeout    time.Duration
}

// StartTask sends one task to a target, once. The result comes back as
// [TaskEnded].
type StartTask struct {
	JobID   string
	Task    int
	Grant   messenger.Grant
	Request messenger.TaskRequest
	Timeout time.Duration
}

// SendSlots sends a message to a broker. The result comes back as
// [SlotsAnswered].
type SendSlots struct {
	To      messenger.Member
	Request messenger.SlotsRequest
}

// SendGrants sends a message from this broker to an entry. The result comes
// back as [GrantsSent].
type SendGrants struct {
	To      messenger.Member
	Request messenger.GrantsRequest
}

// Probe asks a target for its status. The result comes back as [Probed].
type Probe struct{ Target string }

// Beat sends a heartbeat. The reply comes back as [Heard], its absence as
// [BeatFailed].
type Beat struct {
	Address   string
	Heartbeat messenger.Heartbeat
}

// ReadLog reads up to Limit records of the configuration log. The result comes
// back as [LogRead].
type ReadLog struct {
	From  int64
	Limit int
}

// AppendSnapshot publishes the configuration in force again. The result comes
// back as [SnapshotAppended].
type AppendSnapshot struct{ Record follower.Record }

// FetchConfiguration asks another entry for its configuration. The result
// comes back as [ConfigurationFetched].
type FetchConfiguration struct{ Address string }

// ListVMs reads the platform's list. The result comes back as [VMsListed].
type ListVMs struct{}

// FetchVMs asks another entry for the platform's list as it last read it. The
// result comes back as [VMsListed].
type FetchVMs struct{ Address string }

// ReadUsage reads the platform's usage totals. The result comes back as
// [UsageRead].
type ReadUsage struct{}

// RenewLease renews this entry's row in the platform's list.
type RenewLease struct{ Request messenger.LeaseRequest }

// Count adds one to a counter. Group is "refusal", "retry", "message",
// "wasted" or "target".
type Count struct {
	Group  string
	Reason string
}

// Observe records the response time of a job.
type Observe struct {
	Priority messenger.Priority
	Outcome  messenger.Outcome
	Response time.Duration
}

// Note records a line of the history.
type Note struct{ Record recorder.Record }

// Log writes a log line with the prefix of a part.
type Log struct {
	Part string
	Text string
}

// Exit ends the process: the planned stop is complete.
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
