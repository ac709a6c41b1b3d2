package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/identifier"
	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Msg is an event handled by [State.Update].
type Msg interface{ dispatcherMsg() }

// Failure is the error of an effect in serializable form. NotSent guarantees
// that nothing reached the other side.
type Failure struct {
	NotSent bool   `json:"notSent,omitempty"`
	Text    string `json:"text"`
}

// NewFailure converts err to a [Failure]. It returns nil for a nil error.
func NewFailure(err error) *Failure {
	if err == nil {
		return nil
	}
	return &Failure{NotSent: errors.Is(err, messenger.ErrNotSent), Text: err.Error()}
}

// Waiter is the number of a request, from a caller or another entry, that waits
// for a reply of this entry. The event that brings the request carries it, and
// the [Reply] names it again. 0 means that nobody waits.
type Waiter uint64

// IssueIDs requests unused job ids.
type IssueIDs struct {
	Waiter Waiter
	Count  int
}

// Submit is a submission from a caller, or from another entry if Forwarded is
// set. ID is the parsed id of the submission, if it has one. Digest covers the
// content that a resubmission must share: team, service, request type and
// payloads. Bytes is the size of the body.
type Submit struct {
	Waiter     Waiter
	ID         identifier.ID
	Submission messenger.Submission
	Digest     [32]byte
	Bytes      int64
	Forwarded  bool
}

// Fetch requests the answer of a job. Text is the id as received, ID its
// parsed form.
type Fetch struct {
	Waiter    Waiter
	Text      string
	ID        identifier.ID
	Forwarded bool
	// WaitMs is how long the caller waits for a job in progress, in
	// milliseconds.
	WaitMs int64
}

// Cancel requests the end of a job. A job that is cancelled before its
// submission can't be submitted afterwards.
type Cancel struct {
	Waiter    Waiter
	Text      string
	ID        identifier.ID
	Forwarded bool
}

// Abandon reports that the request of a waiter has ended without its reply, for
// example because the caller disconnected. The job continues.
type Abandon struct {
	Waiter Waiter
	JobID  string
}

// Forwarded is the result of a [Forward]: the owner's answer, or Err.
type Forwarded struct {
	Waiter Waiter
	JobID  string
	Answer messenger.Answer
	Err    *Failure
}

// TaskEnded is the result of a [StartTask].
type TaskEnded struct {
	JobID string
	Task  int
	Grant messenger.Grant
	Reply messenger.TaskReply
	Err   *Failure
}

// SlotsReceived is a message from another entry to this entry's broker.
type SlotsReceived struct {
	Waiter  Waiter
	Request messenger.SlotsRequest
}

// SlotsAnswered is the result of a [SendSlots]. SentAt is when the message was
// sent.
type SlotsAnswered struct {
	To     messenger.Member
	SentAt time.Time
	Reply  messenger.SlotsReply
	Err    *Failure
}

// GrantsReceived is a message from a broker to this entry.
type GrantsReceived struct {
	Waiter  Waiter
	Request messenger.GrantsRequest
}

// GrantsSent is the result of a [SendGrants].
type GrantsSent struct {
	To  messenger.Member
	Err *Failure
}

// Probed is the result of a [Probe].
type Probed struct {
	Target string
	Status messenger.TargetStatus
	Err    *Failure
}

// Heard is a heartbeat from another entry. A waiter gets this entry's
// heartbeat in reply.
type Heard struct {
	Waiter    Waiter
	Heartbeat messenger.Heartbeat
}

// BeatFailed reports that a heartbeat got no reply. Refused is set if the
// connection was refused: the VM responds, but no process listens at the
// address.
type BeatFailed struct {
	Address string
	Refused bool
}

// LogRead is the result of a [ReadLog].
type LogRead struct {
	Page messenger.LogPage
	Err  *Failure
}

// SnapshotAppended is the result of an [AppendSnapshot].
type SnapshotAppended struct{ Err *Failure }

// ConfigurationFetched is the result of a [FetchConfiguration].
type ConfigurationFetched struct {
	Accepted follower.Accepted
	Err      *Failure
}

// ConfigurationAsked requests the configuration in force.
type ConfigurationAsked struct{ Waiter Waiter }

// VMsAsked requests the list of VMs as this entry last read it.
type VMsAsked struct{ Waiter Waiter }

// VMsListed is the result of a [ListVMs], or of a [FetchVMs] if Peer is set.
type VMsListed struct {
	Peer bool
	List messenger.VMList
	Err  *Failure
}

// UsageRead is the result of a [ReadUsage]: slot milliseconds by service.
type UsageRead struct {
	SlotMs map[string]int64
	Err    *Failure
}

// StatusAsked requests the status of this entry.
type StatusAsked struct{ Waiter Waiter }

// Drain starts a planned stop.
type Drain struct{}

// Tick advances the time.
type Tick struct{}

func (IssueIDs) dispatcherMsg()             {}
func (Submit) dispatcherMsg()               {}
func (Fetch) dispatcherMsg()                {}
func (Cancel) dispatcherMsg()               {}
func (Abandon) dispatcherMsg()              {}
func (Forwarded) dispatcherMsg()            {}
func (TaskEnded) dispatcherMsg()            {}
func (SlotsReceived) dispatcherMsg()        {}
func (SlotsAnswered) dispatcherMsg()        {}
func (GrantsReceived) dispatcherMsg()       {}
func (GrantsSent) dispatcherMsg()           {}
func (Probed) dispatcherMsg()               {}
func (Heard) dispatcherMsg()                {}
func (BeatFailed) dispatcherMsg()           {}
func (LogRead) dispatcherMsg()              {}
func (SnapshotAppended) dispatcherMsg()     {}
func (ConfigurationFetched) dispatcherMsg() {}
func (ConfigurationAsked) dispatcherMsg()   {}
func (VMsAsked) dispatcherMsg()             {}
func (VMsListed) dispatcherMsg()            {}
func (UsageRead) dispatcherMsg()            {}
func (StatusAsked) dispatcherMsg()          {}
func (Drain) dispatcherMsg()                {}
func (Tick) dispatcherMsg()                 {}
