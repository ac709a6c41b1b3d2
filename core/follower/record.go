// Package follower folds the records of the configuration log into the
// configuration in force. It does no I/O.
package follower

import "github.com/godwitrelay/godwitrelay/core/planner"

// RecordKind tells a change from a snapshot.
type RecordKind string

// The kinds of records in the stream "config".
const (
	Change   RecordKind = "change"
	Snapshot RecordKind = "snapshot"
)

// Stream is the name of the log's stream that holds the configuration.
const Stream = "config"

// Record is one record of the configuration log. Base and Author belong to a
// change; Version and ReadThrough to a snapshot.
type Record struct {
	Kind          RecordKind            `json:"kind"`
	ChangeID      string                `json:"changeId"`
	Base          string                `json:"base,omitempty"`
	Author        string                `json:"author,omitempty"`
	Version       int64                 `json:"version,omitempty"`
	ReadThrough   int64                 `json:"readThrough,omitempty"`
	Configuration planner.Configuration `json:"configuration"`
}

// Accepted is a configuration in force: the result of the fold, and the body
// of GET /peer/v1/configuration. Version counts accepted changes from 1; 0
// means that there is none. ReadThrough is the last offset that was folded, -1
// before the first.
type Accepted struct {
	Version       int64                 `json:"version"`
	ChangeID      string                `json:"changeId"`
	ReadThrough   int64                 `json:"readThrough"`
	Configuration planner.Configuration `json:"configuration"`
}
