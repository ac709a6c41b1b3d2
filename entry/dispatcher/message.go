package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/identifier"
	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Msg is an event that [State.Update] takes.
type Msg interface{ dispatcherMsg() }

// Failure is the error of an effect as data. NotSent proves that nothing
// reached the other side.
type Failure struct {
	NotSent bool   `json:"notSent,omitempty"`
	Text    string `json:"text"`
}

// Fail returns err as data, nil for nil.
func Fail(err error) *Failure {
	if err == nil {
		return nil
	}
	return &Failure{NotSent: errors.Is(err, messenger.ErrNotSent), Text: err.Error()}
}

// Waiter names one request that waits for a reply. 0 means that nobody waits.
type Waiter uint64

// IssueIDs asks for unused job ids.
type IssueIDs struct {
	Waiter Waiter
	Count  int
}

// Submit is a submission from a caller, or from another entry if Forwarded. ID
// holds the parts of the submission's id, if it has one. Digest covers what a
// repeat must share: team, service, request type and payloads. Bytes is the
// size of the body.
type Submit struct {
	Waiter     Waiter
	ID         identifier.ID
	Submission messenger.Submission
	Digest     [32]byte
	Bytes      int64
	Forwarded  bool
}

// Fetch asks for the answer of a job and waits for it.
type Fetch struct {
	Waiter    Waiter
	Text      string
	ID        identifier.ID
	Forwarded bool
	// WaitMs is how long the caller waits for a job in progress, in
	// milliseconds.
	WaitMs int64
}

// Cancel asks to end a job. A job that has not been submitted yet can't be
// submitted afterwards.
type Cancel struct {
	Waiter    Waiter
	Text      string
	ID        identifier.ID
	Forwarded bool
}

// Abandon says that a waiter is gone. Its job goes on.
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

// SlotsReceived is a message of another entry to this one as a broker.
type SlotsReceived struct {
	Waiter  Waiter
	Request messenger.SlotsRequest
}

// SlotsAnswered is the result of a [SendSlots]. SentAt is when it was sent.
type SlotsAnswered struct {
	To     messenger.Member
	SentAt time.Time
	Reply  messenger.SlotsReply
	Err    *Failure
}

// GrantsReceived is a message of a broker to this entry.
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

// Heard is a heartbeat of another entry. A waiter gets the own one in reply.
type Heard struct {
	Waiter    Waiter
	Heartbeat messenger.Heartbeat
}

// BeatFailed says that a heartbeat got no reply. Refused is set if the
// connection was refused: the VM answers, but no process listens there.
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

// ConfigurationAsked asks for the configuration in force.
type ConfigurationAsked struct{ Waiter Waiter }

// VMsAsked asks for the platform's list as this entry last read it.
type VMsAsked struct{ Waiter Waiter }

// VMsListed is the result of a [ListVMs], or of a [FetchVMs] if Peer is set.
type VMsListed struct {
	Peer bool
	List messenger.VMList
	Err  *Failure
}

// UsageRead is the result of a [ReadUsage]: slot milliseconds per service.
type UsageRead struct {
	SlotMs map[string]int64
	Err    *Failure
}

// StatusAsked asks for the status of this entry.
type StatusAsked struct{ Waiter Waiter }

// Drain begins the planned stop.
type Drain struct{}

// Tick lets time pass.
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
