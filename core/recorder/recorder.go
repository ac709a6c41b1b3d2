// Package recorder writes the history of a run: one JSON line for each thing
// that a caller, an entry, a target or an operator did or saw. The history
// checker reads these files.
package recorder

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Event names what was done or seen.
type Event string

// The events of a history.
const (
	// JobSubmitted: a caller is about to send a submission (JobID, Digest, Tasks).
	JobSubmitted Event = "jobSubmitted"
	// JobAnswered: a caller received an answer (JobID, Outcome, Kind, Ran, Results).
	JobAnswered Event = "jobAnswered"
	// JobAbandoned: a caller gave up waiting for an answer, or a fault that the
	// scenario set broke its connection (JobID, Request).
	JobAbandoned Event = "jobAbandoned"
	// JobRefused: an entry refused a job or decided its failure (JobID, Kind, Ran).
	JobRefused Event = "jobRefused"
	// TaskSent: an entry is about to send a task to Target (JobID, Task).
	TaskSent Event = "taskSent"
	// TaskStarted: a target started a task (JobID, Task, Target).
	TaskStarted Event = "taskStarted"
	// TaskEnded: a target finished a task (JobID, Task, Target).
	TaskEnded Event = "taskEnded"
	// TargetLeaving: a target or the platform announced that Target is leaving.
	TargetLeaving Event = "targetLeaving"
	// ChangeProposed: an operator is about to append a change (ChangeID, Base).
	ChangeProposed Event = "changeProposed"
	// ChangeAccepted: an operator was told that the change is in force (ChangeID, Version).
	ChangeAccepted Event = "changeAccepted"
	// ChangeLost: an operator was told that the change lost a race (ChangeID).
	ChangeLost Event = "changeLost"
	// VersionInForce: an entry put a version in force (ChangeID, Version).
	VersionInForce Event = "versionInForce"
	// StopBegun: a planned stop of Process began.
	StopBegun Event = "stopBegun"
	// StopEnded: a planned stop of Process ended; Count requests were cut off.
	StopEnded Event = "stopEnded"
)

// Record is one line of a history. AtUs is the time of the recording process
// in microseconds since 1970; clocks of different processes are not compared.
// Request is the caller's name for one piece of work: submissions of the same
// work, under whatever id, carry the same name. NonIdempotent marks a
// submission whose work must run at most once.
type Record struct {
	AtUs     int64             `json:"atUs"`
	Process  string            `json:"process"`
	Event    Event             `json:"event"`
	JobID    string            `json:"jobId,omitempty"`
	Request  string            `json:"request,omitempty"`
	Task     int               `json:"task,omitempty"`
	Tasks    int               `json:"tasks,omitempty"`
	Digest   string            `json:"digest,omitempty"`
	Target   string            `json:"target,omitempty"`
	Outcome  messenger.Outcome `json:"outcome,omitempty"`
	Kind     messenger.Kind    `json:"kind,omitempty"`
	Ran      messenger.Ran     `json:"ran,omitempty"`
	Results  []json.RawMessage `json:"results,omitempty"`
	Payloads []json.RawMessage `json:"payloads,omitempty"`
	ChangeID string            `json:"changeId,omitempty"`
	Base     string            `json:"base,omitempty"`
	Version  int64             `json:"version,omitempty"`
	Count    int               `json:"count,omitempty"`

	NonIdempotent bool `json:"nonIdempotent,omitempty"`
}

// Recorder appends records to a file. The zero value and a nil Recorder drop
// them. It may be used by several goroutines.
type Recorder struct {
	Process string
	Out     io.Writer

	mu sync.Mutex
}

// Record writes r with the process name and the time now, in one write, so
// that a killed process leaves whole lines but for the last.
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
