// Package recorder writes the history of a run as JSON lines, one for each
// event at a caller, an entry, a target or an operator. Package checker
// verifies these histories.
package recorder

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Event is the type of a recorded event.
type Event string

// The events of a history. The fields of Record that matter are in parentheses.
const (
	// JobSubmitted: a caller is going to send a submission (JobID, Request,
	// Tasks, Payloads, Digest, NonIdempotent). This record, TaskSent and
	// ChangeProposed are written before the message is sent, so that they exist
	// even if the process is killed while it sends.
	JobSubmitted Event = "jobSubmitted"
	// JobAnswered: a caller received an answer (JobID, Request, Outcome, Kind,
	// Ran, Results).
	JobAnswered Event = "jobAnswered"
	// JobAbandoned: a caller stopped waiting for an answer, or a fault injected
	// by the scenario broke its connection (JobID, Request).
	JobAbandoned Event = "jobAbandoned"
	// JobRefused: an entry refused a job or determined that it failed (JobID,
	// Kind, Ran).
	JobRefused Event = "jobRefused"
	// TaskSent: an entry is going to send a task (JobID, Task, Target).
	TaskSent Event = "taskSent"
	// TaskStarted: a target started a task (JobID, Task, Target).
	TaskStarted Event = "taskStarted"
	// TaskEnded: a target finished a task (JobID, Task, Target).
	TaskEnded Event = "taskEnded"
	// TargetLeaving: a target announced that it is leaving (Target).
	TargetLeaving Event = "targetLeaving"
	// ChangeProposed: an operator is going to append a change to the
	// configuration log (ChangeID, Base).
	ChangeProposed Event = "changeProposed"
	// ChangeAccepted: an operator was told that the change is in force
	// (ChangeID, Version).
	ChangeAccepted Event = "changeAccepted"
	// ChangeLost: an operator was told that a concurrent change was accepted
	// instead (ChangeID).
	ChangeLost Event = "changeLost"
	// VersionInForce: an entry put a configuration version in force (ChangeID,
	// Version).
	VersionInForce Event = "versionInForce"
	// StopStarted: a planned stop of Process started.
	StopStarted Event = "stopBegun"
	// StopEnded: a planned stop of Process ended after interrupting Count
	// requests.
	StopEnded Event = "stopEnded"
)

// Record is one line of a history. AtUs is the clock of the recording process
// in microseconds since the Unix epoch; clocks of different processes are not
// compared. Request identifies a piece of work at its caller: all submissions
// of the same work have the same Request, whatever their job ids.
// NonIdempotent marks a submission whose work must run at most once.
type Record struct {
	AtUs     int64                     `json:"atUs"`
	Process  string                    `json:"process"`
	Event    Event                     `json:"event"`
	JobID    string                    `json:"jobId,omitempty"`
	Request  string                    `json:"request,omitempty"`
	Task     int                       `json:"task,omitempty"`
	Tasks    int                       `json:"tasks,omitempty"`
	Digest   string                    `json:"digest,omitempty"`
	Target   string                    `json:"target,omitempty"`
	Outcome  messenger.Outcome         `json:"outcome,omitempty"`
	Kind     messenger.ErrorKind       `json:"kind,omitempty"`
	Ran      messenger.ExecutionStatus `json:"ran,omitempty"`
	Results  []json.RawMessage         `json:"results,omitempty"`
	Payloads []json.RawMessage         `json:"payloads,omitempty"`
	ChangeID string                    `json:"changeId,omitempty"`
	Base     string                    `json:"base,omitempty"`
	Version  int64                     `json:"version,omitempty"`
	Count    int                       `json:"count,omitempty"`

	NonIdempotent bool `json:"nonIdempotent,omitempty"`
}

// Recorder appends records to Out. The zero value and a nil Recorder discard
// them. It is safe for concurrent use.
type Recorder struct {
	Process string
	Out     io.Writer

	mu sync.Mutex
}

// Record sets the process name and the time of r and writes it as one line. It
// uses a single write, so that a killed process can truncate only the last
// line. A record that cannot be encoded or written is lost without an error.
func (w *Recorder) Record(now time.Time, r Record) {
	if w == nil || w.Out == nil {
		return
	}
	r.AtUs = now.UnixMicro()
	r.Process = w.Process
	line, err := json.Marshal(r)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.Out.Write(append(line, '\n'))
}
