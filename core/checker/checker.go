// Package checker verifies the safety properties of section 1 of the design
// page against the histories that callers, entries, targets and operators
// recorded during a run.
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

// Property is a safety property, numbered as in section 1 of the design page.
type Property int

// The safety properties.
const (
	TaskAtMostOnce          Property = 1
	AllOrNothing            Property = 2
	ResultsMatchRequest     Property = 3
	RefusedNotRun           Property = 4
	WorkAtMostOnce          Property = 5
	NoStartAfterLeaving     Property = 6
	GracefulStop            Property = 7
	ConsistentConfiguration Property = 8
)

// Properties returns all safety properties in numeric order.
func Properties() []Property {
	return []Property{
		TaskAtMostOnce, AllOrNothing, ResultsMatchRequest, RefusedNotRun,
		WorkAtMostOnce, NoStartAfterLeaving, GracefulStop, ConsistentConfiguration,
	}
}

// Violation reports that a property did not hold. Evidence is the smallest set
// of records that demonstrates it.
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

// Check returns every violation in h, ordered by property.
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
