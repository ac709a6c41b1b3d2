// Package follower replays the configuration log to determine the configuration
// in force. It performs no I/O.
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

// Record is an entry of the configuration log. Base and Author are set for
// changes, Version and ReadThrough for snapshots.
type Record struct {
	Kind          RecordKind            `json:"kind"`
	ChangeID      string                `json:"changeId"`
	Base          string                `json:"base,omitempty"`
	Author        string                `json:"author,omitempty"`
	Version       int64                 `json:"version,omitempty"`
	ReadThrough   int64                 `json:"readThrough,omitempty"`
	Configuration planner.Configuration `json:"configuration"`
}

// Accepted is the configuration in force after replaying the log up to
// ReadThrough. It is also the response body of GET /peer/v1/configuration.
// Version numbers accepted changes from 1; 0 means that no change has been
// accepted. ReadThrough is the last applied offset, or -1 if there is none.
type Accepted struct {
	Version       int64                 `json:"version"`
	ChangeID      string                `json:"changeId"`
	ReadThrough   int64                 `json:"readThrough"`
	Configuration planner.Configuration `json:"configuration"`
}
