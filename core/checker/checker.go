// Package checker verifies safety properties, see [Property], against the
// histories that callers, entries, targets and operators recorded during a run.
//
// Timestamps are compared only within one log, never between the clocks of
// different processes. Records of different logs are related by causality
// alone: through the job, change or version that they name.
package checker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Property is a safety property, numbered as in section 1 of docs/design.md.
type Property int

// The safety properties.
const (
	// TaskAtMostOnce: a task starts at most once under one job id.
	TaskAtMostOnce Property = 1
	// AllOrNothing: a complete answer has one result per task, any other none.
	AllOrNothing Property = 2
	// ResultsMatchRequest: the results of a job match the payloads of its tasks
	// and are the same in all complete answers.
	ResultsMatchRequest Property = 3
	// RefusedNotRun: no task of a job that was reported as not run has started.
	RefusedNotRun Property = 4
	// WorkAtMostOnce: non-idempotent work runs at most once, unless its caller
	// resubmits it under a new id without having been told that it did not run.
	WorkAtMostOnce Property = 5
	// NoStartAfterLeaving: a target that announced that it is leaving starts no
	// task later than Options.LeavingBound after that.
	NoStartAfterLeaving Property = 6
	// GracefulStop: a planned stop interrupts no request, and every job in
	// progress gets an answer from its owner unless its caller abandons it.
	GracefulStop Property = 7
	// ConsistentConfiguration: every version is one change based on the version
	// before it, no process goes back to an older version, and the replies to
	// operators agree with the versions in force.
	ConsistentConfiguration Property = 8
)

// Properties returns all safety properties in numeric order.
func Properties() []Property {
	return []Property{
		TaskAtMostOnce, AllOrNothing, ResultsMatchRequest, RefusedNotRun,
		WorkAtMostOnce, NoStartAfterLeaving, GracefulStop, ConsistentConfiguration,
	}
}

// Violation reports that a property did not hold. Evidence holds records that
// demonstrate it.
type Violation struct {
	Property Property
	Message  string
	Evidence []Position
}

// String formats the message, followed by one line for each record.
func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "safety property %d: %s", v.Property, v.Message)
	for _, p := range v.Evidence {
		text, _ := json.Marshal(p.Record)
		fmt.Fprintf(&b, "\n  %s:%d %s", p.Log, p.Line, text)
	}
	return b.String()
}

// Options configures a check. The zero value selects the defaults.
type Options struct {
	// LeavingBound is how long after TargetLeaving a target may still start
	// tasks. The default is 5 s.
	LeavingBound time.Duration
	// ResultMatches reports whether result is the correct result for payload.
	// The default is EqualValue.
	ResultMatches func(payload, result json.RawMessage) bool
}

func (o Options) withDefaults() Options {
	if o.LeavingBound == 0 {
		o.LeavingBound = 5 * time.Second
	}
	if o.ResultMatches == nil {
		o.ResultMatches = EqualValue
	}
	return o
}

// Check returns the violations that it finds in h, ordered by property.
func Check(h History, options Options) []Violation {
	options = options.withDefaults()
	x := newIndex(h)
	var list []Violation
	list = append(list, checkTaskAtMostOnce(x)...)
	list = append(list, checkAllOrNothing(x)...)
	list = append(list, checkResultsMatchRequest(x, options.ResultMatches)...)
	list = append(list, checkRefusedNotRun(x)...)
	list = append(list, checkWorkAtMostOnce(x)...)
	list = append(list, checkStartsAfterLeaving(x, options.LeavingBound)...)
	list = append(list, checkGracefulStops(x)...)
	list = append(list, checkVersions(x)...)
	return list
}

// EqualValue reports whether payload and result carry equal values: the field
// "value" if the JSON value is an object that has one, otherwise the JSON value
// itself.
func EqualValue(payload, result json.RawMessage) bool {
	want, got := compact(extractValue(payload)), compact(extractValue(result))
	return len(want) > 0 && bytes.Equal(want, got)
}

// extractValue returns the field "value" of a JSON object that has one, otherwise
// raw itself.
func extractValue(raw json.RawMessage) json.RawMessage {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(raw, &object); err == nil {
		if v, ok := object["value"]; ok {
			return v
		}
	}
	return raw
}

func compact(raw json.RawMessage) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, raw); err != nil {
		return nil
	}
	return b.Bytes()
}

func newViolation(p Property, places []Position, format string, args ...any) Violation {
	return Violation{Property: p, Message: fmt.Sprintf(format, args...), Evidence: places}
}

func positionOf(log Log, i int) Position {
	return Position{Log: log.Name, Line: i + 1, Record: log.Records[i]}
}
