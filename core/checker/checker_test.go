package checker

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
)

func values(numbers ...int) []json.RawMessage {
	var list []json.RawMessage
	for _, n := range numbers {
		list = append(list, json.RawMessage(fmt.Sprintf(`{"value":%d}`, n)))
	}
	return list
}

func submitted(request, job string, numbers ...int) recorder.Record {
	return recorder.Record{
		Event: recorder.JobSubmitted, Request: request, JobID: job,
		Tasks: len(numbers), Payloads: values(numbers...), Digest: fmt.Sprint(numbers),
	}
}

func firm(r recorder.Record) recorder.Record {
	r.NonIdempotent = true
	return r
}

func complete(request, job string, numbers ...int) recorder.Record {
	return recorder.Record{
		Event: recorder.JobAnswered, Request: request, JobID: job,
		Outcome: messenger.Complete, Results: values(numbers...),
	}
}

func unanswered(request, job string, outcome messenger.Outcome, kind messenger.Kind, ran messenger.Ran) recorder.Record {
	return recorder.Record{Event: recorder.JobAnswered, Request: request, JobID: job, Outcome: outcome, Kind: kind, Ran: ran}
}

func started(job string, task int, atUs int64) recorder.Record {
	return recorder.Record{Event: recorder.TaskStarted, JobID: job, Task: task, Target: "t", AtUs: atUs}
}

func change(event recorder.Event, id, base string, version int64) recorder.Record {
	return recorder.Record{Event: event, ChangeID: id, Base: base, Version: version}
}

func event(e recorder.Event) recorder.Record { return recorder.Record{Event: e} }

func sent(job string) recorder.Record { return recorder.Record{Event: recorder.TaskSent, JobID: job} }

func log(name string, records ...recorder.Record) Log { return Log{Name: name, Records: records} }

var (
	proposed = recorder.ChangeProposed
	told     = recorder.ChangeAccepted
	lostRace = recorder.ChangeLost
	inForce  = recorder.VersionInForce
)

// Each case is a history that a checker must pass (point 0) or in which it
// must find a violation of exactly the given points.
var cases = []struct {
	name    string
	points  []Point
	history History
}{
	{"one start a task", nil, History{log("t", started("a", 0, 0), started("a", 1, 0), started("b", 0, 0))}},
	{"two starts on two targets", []Point{1}, History{log("t", started("a", 1, 0)), log("u", started("a", 1, 0))}},

	{"whole answer", nil, History{log("c", submitted("r", "a", 1, 2), complete("r", "a", 1, 2))}},
	{"failed answer", nil, History{log("c", submitted("r", "a", 1), unanswered("r", "a", messenger.Failed, messenger.TaskFailed, messenger.MayHaveRun))}},
	{"id given by the entry", nil, History{log("c", submitted("r", "", 1), complete("r", "a", 1))}},
	{"one result is missing", []Point{2}, History{log("c", submitted("r", "a", 1, 2), complete("r", "a", 1))}},
	{"failed answer with a result", []Point{2}, History{log("c", submitted("r", "a", 1), func() recorder.Record {
		r := complete("r", "a", 1)
		r.Outcome = messenger.Failed
		return r
	}())}},

	{"answers out of order", nil, History{log("c", submitted("r", "a", 1), submitted("s", "b", 2), complete("s", "b", 2), complete("r", "a", 1))}},
	{"another request's answer", []Point{3}, History{log("c", submitted("r", "a", 1), submitted("s", "b", 2), complete("r", "a", 2))}},
	{"results in another order", []Point{3}, History{log("c", submitted("r", "a", 1, 2), complete("r", "a", 2, 1))}},
	{"two different complete answers", []Point{3}, History{log("c", complete("", "a", 1)), log("d", complete("", "a", 2))}},
	{"same complete answer twice", nil, History{log("c", submitted("r", "a", 1), complete("r", "a", 1), complete("r", "a", 1))}},
	{"content of a conflicting submission", []Point{3}, History{log("c", submitted("r", "a", 1), submitted("s", "a", 2), complete("s", "a", 1))}},

	{"refused and not started", nil, History{log("c", submitted("r", "a", 1), unanswered("r", "a", messenger.Refused, messenger.Overloaded, messenger.DidNotRun))}},
	{"refused before the start", []Point{4}, History{log("c", submitted("r", "a", 1), unanswered("r", "a", messenger.Refused, messenger.Overloaded, messenger.DidNotRun)), log("t", started("a", 0, 0))}},
	{"failed as not run after the start", []Point{4}, History{log("t", started("a", 0, 0)), log("e", recorder.Record{Event: recorder.JobRefused, JobID: "a", Kind: messenger.Cancelled, Ran: messenger.DidNotRun})}},
	{"conflicting content refused", nil, History{
		log("c", submitted("r", "a", 1), submitted("s", "a", 2), complete("r", "a", 1), unanswered("s", "a", messenger.Refused, messenger.IDConflict, messenger.DidNotRun)),
		log("t", started("a", 0, 0)),
	}},
	{"conflict without another content", []Point{4}, History{
		log("c", submitted("r", "a", 1), unanswered("r", "a", messenger.Refused, messenger.IDConflict, messenger.DidNotRun)),
		log("t", started("a", 0, 0)),
	}},

	{"firm work again under a new id after a refusal", nil, History{
		log("c", firm(submitted("r", "a", 1)), unanswered("r", "a", messenger.Refused, messenger.Draining, messenger.DidNotRun), firm(submitted("r", "b", 1)), complete("r", "b", 1)),
		log("t", started("b", 0, 0)),
	}},
	{"firm work twice after a refusal", []Point{4, 5}, History{
		log("c", firm(submitted("r", "a", 1)), unanswered("r", "a", messenger.Refused, messenger.Draining, messenger.DidNotRun), firm(submitted("r", "b", 1)), complete("r", "b", 1)),
		log("t", started("a", 0, 0), started("b", 0, 0)),
	}},
	{"firm work twice under one id", []Point{1, 5}, History{
		log("c", firm(submitted("r", "a", 1)), firm(submitted("r", "a", 1))),
		log("t", started("a", 0, 0), started("a", 0, 0)),
	}},

	{"start soon after leaving", nil, History{log("t", recorder.Record{Event: recorder.TargetLeaving, Target: "t", AtUs: 10}, started("a", 0, 4_000_000))}},
	{"start of another target", nil, History{log("t", recorder.Record{Event: recorder.TargetLeaving, Target: "u", AtUs: 10}, started("a", 0, 9_000_000))}},
	{"start long after leaving", []Point{6}, History{log("t", recorder.Record{Event: recorder.TargetLeaving, Target: "t", AtUs: 10}, started("a", 0, 6_000_000))}},

	{"stop after the last answer", nil, History{
		log("e", sent("a"), event(recorder.StopBegun), event(recorder.StopEnded)), log("c", submitted("r", "a", 1), complete("r", "a", 1)),
	}},
	{"stop with a caller that gave up", nil, History{
		log("e", sent("a"), event(recorder.StopBegun), event(recorder.StopEnded)),
		log("c", submitted("r", "a", 1), recorder.Record{Event: recorder.JobAbandoned, Request: "r", JobID: "a"}),
	}},
	{"stop that cuts off a request", []Point{7}, History{log("e", event(recorder.StopBegun), recorder.Record{Event: recorder.StopEnded, Count: 1})}},
	{"stop without an answer", []Point{7}, History{log("e", sent("a"), event(recorder.StopBegun), event(recorder.StopEnded)), log("c", submitted("r", "a", 1))}},
	{"stop with an answer that the owner is gone", []Point{7}, History{
		log("e", sent("a"), event(recorder.StopBegun), event(recorder.StopEnded)),
		log("c", submitted("r", "a", 1), unanswered("r", "a", messenger.Failed, messenger.OwnerGone, messenger.MayHaveRun)),
	}},

	{"race with one winner", nil, History{
		log("o", change(proposed, "a", "", 0), change(proposed, "b", "", 0), change(told, "a", "", 1), change(lostRace, "b", "", 0)),
		log("e", change(inForce, "a", "", 1)),
	}},
	{"change of unknown fate in force", nil, History{
		log("o", change(proposed, "a", "", 0), change(proposed, "b", "a", 0), change(told, "b", "", 2)),
		log("e", change(inForce, "a", "", 1), change(inForce, "b", "", 2)),
	}},
	{"version falls", []Point{8}, History{log("e", change(inForce, "b", "", 2), change(inForce, "a", "", 1))}},
	{"processes disagree", []Point{8}, History{log("e", change(inForce, "a", "", 1)), log("f", change(inForce, "b", "", 1))}},
	{"two winners on one base", []Point{8}, History{
		log("o", change(proposed, "a", "", 0), change(proposed, "b", "", 0)), log("e", change(inForce, "a", "", 1), change(inForce, "b", "", 2)),
	}},
	{"lost change in force", []Point{8}, History{log("o", change(proposed, "a", "", 0), change(lostRace, "a", "", 0)), log("e", change(inForce, "a", "", 1))}},
	{"accepted change never in force", []Point{8}, History{
		log("o", change(proposed, "a", "", 0), change(told, "a", "", 1)),
	}},
	{"base is not the predecessor", []Point{8}, History{
		log("o", change(proposed, "a", "", 0), change(proposed, "c", "b", 0)), log("e", change(inForce, "a", "", 1), change(inForce, "c", "", 2)),
	}},
	{"lost although its base was in force", []Point{8}, History{
		log("o", change(proposed, "a", "", 0), change(told, "a", "", 1), change(proposed, "b", "a", 0), change(lostRace, "b", "", 0)),
		log("e", change(inForce, "a", "", 1)),
	}},
	{"accepted before its base was proposed", []Point{8}, History{
		log("o", change(proposed, "b", "a", 0), change(told, "b", "", 2), change(proposed, "a", "", 0), change(told, "a", "", 1)),
		log("e", change(inForce, "b", "", 2)),
	}},
}

// TestCheck guards against a checker that misses a broken history, names the
// wrong point, or rejects a good history.
func TestCheck(t *testing.T) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { expectPoints(t, c.history, c.points...) })
	}
}

func expectPoints(t *testing.T, h History, want ...Point) {
	t.Helper()
	list := Check(h, Options{})
	found := map[Point]bool{}
	for _, v := range list {
		found[v.Point] = true
		if len(v.Places) == 0 || !strings.Contains(v.String(), v.Message) {
			t.Errorf("violation without records: %v", v)
		}
	}
	if len(found) != len(want) {
		t.Fatalf("want points %v, got %v", want, list)
	}
	for _, p := range want {
		if !found[p] {
			t.Fatalf("want points %v, got %v", want, list)
		}
	}
}

// TestShortest guards against a report that drowns the fault in later records.
func TestShortest(t *testing.T) {
	var records []recorder.Record
	base := ""
	for i := 1; i <= 10; i++ {
		id := fmt.Sprintf("c%02d", i)
		records = append(records, change(proposed, id, base, 0), change(told, id, "", int64(i)))
		base = id
	}
	bad := []recorder.Record{change(proposed, "x", "c02", 0), change(lostRace, "x", "", 0)}
	records = append(records[:4], append(bad, records[4:]...)...)
	list := Check(History{log("o", records...), log("e", change(inForce, "c10", "", 10))}, Options{})
	if len(list) != 1 || len(list[0].Places) != 6 {
		t.Fatalf("want one violation with the first six records, got %v", list)
	}
}

// TestParse guards against a history that is rejected because its process was
// killed, and against silently dropped lines in its middle.
func TestParse(t *testing.T) {
	whole := `{"event":"taskStarted","jobId":"a"}` + "\n"
	for _, c := range []struct {
		name, text string
		records    int
		fails      bool
	}{
		{"empty", "", 0, false},
		{"whole", whole + whole, 2, false},
		{"last line cut off", whole + `{"event":"ta`, 1, false},
		{"last line without line feed", whole + strings.TrimSpace(whole), 2, false},
		{"broken line in the middle", `{"event":` + "\n" + whole, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := Parse(c.name, []byte(c.text))
			if (err != nil) != c.fails || len(l.Records) != c.records {
				t.Fatalf("got %d records, error %v", len(l.Records), err)
			}
		})
	}
}
