// Package checker decides from the histories of callers, entries, targets and
// operators whether the safety points of the design page held in a run.
//
// It compares times only within one log. Between logs it uses causality alone:
// what a record says about a job, a change or a version.
package checker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Point is a safety point, numbered as in section 1 of the design page.
type Point int

// The safety points.
const (
	StartsOnce      Point = 1
	WholeOrFailed   Point = 2
	OwnAnswer       Point = 3
	RefusedNotRun   Point = 4
	RunsOnce        Point = 5
	LeavingNoWork   Point = 6
	GracefulStop    Point = 7
	ConfigurationIn Point = 8
)

// Points lists all safety points.
func Points() []Point {
	return []Point{
		StartsOnce, WholeOrFailed, OwnAnswer, RefusedNotRun,
		RunsOnce, LeavingNoWork, GracefulStop, ConfigurationIn,
	}
}

// Violation says that a point did not hold. Places is the shortest stretch of
// records that shows it.
type Violation struct {
	Point   Point
	Message string
	Places  []Place
}

// String returns the message and the records, one a line.
func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "safety point %d: %s", v.Point, v.Message)
	for _, p := range v.Places {
		text, _ := json.Marshal(p.Record)
		fmt.Fprintf(&b, "\n  %s:%d %s", p.Log, p.Line, text)
	}
	return b.String()
}

// Options are the choices of a check. The zero value has usable defaults.
type Options struct {
	// LeavingBound is how long after TargetLeaving a target may still start a
	// task. The default is 5 s.
	LeavingBound time.Duration
	// Belongs says whether result is that of payload. The default is SameValue.
	Belongs func(payload, result json.RawMessage) bool
}

func (o Options) withDefaults() Options {
	if o.LeavingBound == 0 {
		o.LeavingBound = 5 * time.Second
	}
	if o.Belongs == nil {
		o.Belongs = SameValue
	}
	return o
}

// Check returns every violation in h, ordered by point.
func Check(h History, options Options) []Violation {
	options = options.withDefaults()
	x := newIndex(h)
	var list []Violation
	list = append(list, checkStarts(x)...)
	list = append(list, checkWhole(x)...)
	list = append(list, checkOwn(x, options.Belongs)...)
	list = append(list, checkRefused(x)...)
	list = append(list, checkRunsOnce(x)...)
	list = append(list, checkLeaving(x, options.LeavingBound)...)
	list = append(list, checkStops(x)...)
	list = append(list, checkVersions(x)...)
	return list
}

// SameValue reports whether result repeats payload's value: the field "value"
// of an object, or else the JSON value itself.
func SameValue(payload, result json.RawMessage) bool {
	a, b := compact(valueOf(payload)), compact(valueOf(result))
	return len(a) > 0 && bytes.Equal(a, b)
}

func valueOf(raw json.RawMessage) json.RawMessage {
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

func violation(p Point, places []Place, format string, args ...any) Violation {
	return Violation{Point: p, Message: fmt.Sprintf(format, args...), Places: places}
}

func placeOf(log Log, i int) Place {
	return Place{Log: log.Name, Line: i + 1, Record: log.Records[i]}
}
