// Package follower replays the configuration log to determine the configuration
// in force. It performs no I/O.
//
// The log holds changes and snapshots. A change names the id of another change as
// its base and is accepted if that change is in force when it is applied; it is
// then in force itself until the next change is accepted. Accepted changes are
// numbered from 1; the number of the change in force is the version in force. A
// snapshot holds the version in force after all records up to an offset, so that
// a reader can start there after the log service has removed older records.
package follower

import "github.com/godwitrelay/godwitrelay/core/planner"

// RecordKind distinguishes changes from snapshots.
type RecordKind string

// Record kinds in the "config" stream.
const (
	Change   RecordKind = "change"
	Snapshot RecordKind = "snapshot"
)

// Stream is the name of the log stream that holds the configuration.
const Stream = "config"

// Record is an entry of the configuration log. ChangeID identifies the change, or
// for a snapshot the change that was in force.
//
// Base and Author are set for changes. Base is the id of the change that must be
// in force for this one to be accepted, or empty for the very first change.
//
// Version and ReadThrough are set for snapshots: Version is the version in force
// after all records up to and including the offset ReadThrough.
type Record struct {
	Kind          RecordKind            `json:"kind"`
	ChangeID      string                `json:"changeId"`
	Base          string                `json:"base,omitempty"`
	Author        string                `json:"author,omitempty"`
	Version       int64                 `json:"version,omitempty"`
	ReadThrough   int64                 `json:"readThrough,omitempty"`
	Configuration planner.Configuration `json:"configuration"`
}

// Accepted is the configuration in force after replaying the log up to and
// including the offset ReadThrough. It is also the response body of GET
// /peer/v1/configuration. Version is the number of accepted changes, and ChangeID
// the id of the last one; 0 and an empty id mean that there is none. ReadThrough
// is -1 if no record has been applied.
type Accepted struct {
	Version       int64                 `json:"version"`
	ChangeID      string                `json:"changeId"`
	ReadThrough   int64                 `json:"readThrough"`
	Configuration planner.Configuration `json:"configuration"`
}
