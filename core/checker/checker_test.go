package checker

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
)

func valuePayloads(numbers ...int) []json.RawMessage {
	var list []json.RawMessage
	for _, n := range numbers {
		list = append(list, json.RawMessage(fmt.Sprintf(`{"value":%d}`, n)))
	}
	return list
}

func newSubmission(request, job string, numbers ...int) recorder.Record {
	return recorder.Record{
		Event: recorder.JobSubmitted, Request: request, JobID: job,
		Tasks: len(numbers), Payloads: valuePayloads(numbers...), Digest: fmt.Sprint(numbers),
	}
}

func nonIdempotent(r recorder.Record) recorder.Record {
	r.NonIdempotent = true
	return r
}

func completeAnswer(request, job string, numbers ...int) recorder.Record {
	return recorder.Record{
		Event: recorder.JobAnswered, Request: request, JobID: job,
		Outcome: messenger.Complete, Results: valuePayloads(numbers...),
	}
}

func errorAnswer(request, job string, outcome messenger.Outcome, kind messenger.ErrorKind, ran messenger.ExecutionStatus) recorder.Record {
	return recorder.Record{Event: recorder.JobAnswered, Request: request, JobID: job, Outcome: outcome, Kind: kind, Ran: ran}
}

func newTaskStart(job string, task int, atUs int64) recorder.Record {
	return recorder.Record{Event: recorder.TaskStarted, JobID: job, Task: task, Target: "t", AtUs: atUs}
}

func newChange(event recorder.Event, id, base string, version int64) recorder.Record {
	return recorder.Record{Event: event, ChangeID: id, Base: base, Version: version}
}

func newEvent(e recorder.Event) recorder.Record { return recorder.Record{Event: e} }

func newTaskSent(job string) recorder.Record {
	return recorder.Record{Event: recorder.TaskSent, JobID: job}
}

func newLog(name string, records ...recorder.Record) Log { return Log{Name: name, Records: records} }

var (
	proposed = recorder.ChangeProposed
	accepted = recorder.ChangeAccepted
	lost     = recorder.ChangeLost
	inForce  = recorder.VersionInForce
)

// Each case is a history in which the checker must find violations of exactly
// the given properties; none means that the history is valid.
var cases = []struct {
	name       string
	properties []Property
	history    History
}{
	{"one start per task", nil, History{newLog("t", newTaskStart("a", 0, 0), newTaskStart("a", 1, 0), newTaskStart("b", 0, 0))}},
	{"two starts on two targets", []Property{1}, History{newLog("t", newTaskStart("a", 1, 0)), newLog("u", newTaskStart("a", 1, 0))}},

	{"complete answer", nil, History{newLog("c", newSubmission("r", "a", 1, 2), completeAnswer("r", "a", 1, 2))}},
	{"failed answer", nil, History{newLog("c", newSubmission("r", "a", 1), errorAnswer("r", "a", messenger.Failed, messenger.TaskFailed, messenger.MayHaveRun))}},
	{"id assigned by the entry", nil, History{newLog("c", newSubmission("r", "", 1), completeAnswer("r", "a", 1))}},
	{"one result is missing", []Property{2}, History{newLog("c", newSubmission("r", "a", 1, 2), completeAnswer("r", "a", 1))}},
	{"failed answer with a result", []Property{2}, History{newLog("c", newSubmission("r", "a", 1), func() recorder.Record {
		r := completeAnswer("r", "a", 1)
		r.Outcome = messenger.Failed
		return r
	}())}},

	{"answers out of order", nil, History{newLog("c", newSubmission("r", "a", 1), newSubmission("s", "b", 2), completeAnswer("s", "b", 2), completeAnswer("r", "a", 1))}},
	{"another request's answer", []Property{3}, History{newLog("c", newSubmission("r", "a", 1), newSubmission("s", "b", 2), completeAnswer("r", "a", 2))}},
	{"results in another order", []Property{3}, History{newLog("c", newSubmission("r", "a", 1, 2), completeAnswer("r", "a", 2, 1))}},
	{"two different complete answers", []Property{3}, History{newLog("c", completeAnswer("", "a", 1)), newLog("d", completeAnswer("", "a", 2))}},
	{"same complete answer twice", nil, History{newLog("c", newSubmission("r", "a", 1), completeAnswer("r", "a", 1), completeAnswer("r", "a", 1))}},
	{"content of a conflicting submission", []Property{3}, History{newLog("c", newSubmission("r", "a", 1), newSubmission("s", "a", 2), completeAnswer("s", "a", 1))}},

	{"refused and not started", nil, History{newLog("c", newSubmission("r", "a", 1), errorAnswer("r", "a", messenger.Refused, messenger.Overloaded, messenger.DidNotRun))}},
	{"refused before the start", []Property{4}, History{newLog("c", newSubmission("r", "a", 1), errorAnswer("r", "a", messenger.Refused, messenger.Overloaded, messenger.DidNotRun)), newLog("t", newTaskStart("a", 0, 0))}},
	{"failed as not run after the start", []Property{4}, History{newLog("t", newTaskStart("a", 0, 0)), newLog("e", recorder.Record{Event: recorder.JobRefused, JobID: "a", Kind: messenger.Cancelled, Ran: messenger.DidNotRun})}},
	{"conflicting content refused", nil, History{
		newLog("c", newSubmission("r", "a", 1), newSubmission("s", "a", 2), completeAnswer("r", "a", 1), errorAnswer("s", "a", messenger.Refused, messenger.IDConflict, messenger.DidNotRun)),
		newLog("t", newTaskStart("a", 0, 0)),
	}},
	{"conflict without different content", []Property{4}, History{
		newLog("c", newSubmission("r", "a", 1), errorAnswer("r", "a", messenger.Refused, messenger.IDConflict, messenger.DidNotRun)),
		newLog("t", newTaskStart("a", 0, 0)),
	}},

	{"non-idempotent work resubmitted under a new id after a refusal", nil, History{
		newLog("c", nonIdempotent(newSubmission("r", "a", 1)), errorAnswer("r", "a", messenger.Refused, messenger.Draining, messenger.DidNotRun), nonIdempotent(newSubmission("r", "b", 1)), completeAnswer("r", "b", 1)),
		newLog("t", newTaskStart("b", 0, 0)),
	}},
	{"non-idempotent work started twice after a refusal", []Property{4, 5}, History{
		newLog("c", nonIdempotent(newSubmission("r", "a", 1)), errorAnswer("r", "a", messenger.Refused, messenger.Draining, messenger.DidNotRun), nonIdempotent(newSubmission("r", "b", 1)), completeAnswer("r", "b", 1)),
		newLog("t", newTaskStart("a", 0, 0), newTaskStart("b", 0, 0)),
	}},
	{"non-idempotent work started twice under one id", []Property{1, 5}, History{
		newLog("c", nonIdempotent(newSubmission("r", "a", 1)), nonIdempotent(newSubmission("r", "a", 1))),
		newLog("t", newTaskStart("a", 0, 0), newTaskStart("a", 0, 0)),
	}},

	{"start soon after leaving", nil, History{newLog("t", recorder.Record{Event: recorder.TargetLeaving, Target: "t", AtUs: 10}, newTaskStart("a", 0, 4_000_000))}},
	{"start of another target", nil, History{newLog("t", recorder.Record{Event: recorder.TargetLeaving, Target: "u", AtUs: 10}, newTaskStart("a", 0, 9_000_000))}},
	{"start long after leaving", []Property{6}, History{newLog("t", recorder.Record{Event: recorder.TargetLeaving, Target: "t", AtUs: 10}, newTaskStart("a", 0, 6_000_000))}},

	{"stop after the last answer", nil, History{
		newLog("e", newTaskSent("a"), newEvent(recorder.StopStarted), newEvent(recorder.StopEnded)), newLog("c", newSubmission("r", "a", 1), completeAnswer("r", "a", 1)),
	}},
	{"stop with a job abandoned by its caller", nil, History{
		newLog("e", newTaskSent("a"), newEvent(recorder.StopStarted), newEvent(recorder.StopEnded)),
		newLog("c", newSubmission("r", "a", 1), recorder.Record{Event: recorder.JobAbandoned, Request: "r", JobID: "a"}),
	}},
	{"stop that interrupts a request", []Property{7}, History{newLog("e", newEvent(recorder.StopStarted), recorder.Record{Event: recorder.StopEnded, Count: 1})}},
	{"stop without an answer", []Property{7}, History{newLog("e", newTaskSent("a"), newEvent(recorder.StopStarted), newEvent(recorder.StopEnded)), newLog("c", newSubmission("r", "a", 1))}},
	{"stop with an answer that the owner is gone", []Property{7}, History{
		newLog("e", newTaskSent("a"), newEvent(recorder.StopStarted), newEvent(recorder.StopEnded)),
		newLog("c", newSubmission("r", "a", 1), errorAnswer("r", "a", messenger.Failed, messenger.OwnerGone, messenger.MayHaveRun)),
	}},

	{"concurrent changes with one accepted", nil, History{
		newLog("o", newChange(proposed, "a", "", 0), newChange(proposed, "b", "", 0), newChange(accepted, "a", "", 1), newChange(lost, "b", "", 0)),
		newLog("e", newChange(inForce, "a", "", 1)),
	}},
	{"change of unknown outcome in force", nil, History{
		newLog("o", newChange(proposed, "a", "", 0), newChange(proposed, "b", "a", 0), newChange(accepted, "b", "", 2)),
		newLog("e", newChange(inForce, "a", "", 1), newChange(inForce, "b", "", 2)),
	}},
	{"version decreases", []Property{8}, History{newLog("e", newChange(inForce, "b", "", 2), newChange(inForce, "a", "", 1))}},
	{"processes disagree on a version", []Property{8}, History{newLog("e", newChange(inForce, "a", "", 1)), newLog("f", newChange(inForce, "b", "", 1))}},
	{"two changes accepted on one base", []Property{8}, History{
		newLog("o", newChange(proposed, "a", "", 0), newChange(proposed, "b", "", 0)), newLog("e", newChange(inForce, "a", "", 1), newChange(inForce, "b", "", 2)),
	}},
	{"lost change in force", []Property{8}, History{newLog("o", newChange(proposed, "a", "", 0), newChange(lost, "a", "", 0)), newLog("e", newChange(inForce, "a", "", 1))}},
	{"accepted change never in force", []Property{8}, History{
		newLog("o", newChange(proposed, "a", "", 0), newChange(accepted, "a", "", 1)),
	}},
	{"base is not the predecessor", []Property{8}, History{
		newLog("o", newChange(proposed, "a", "", 0), newChange(proposed, "c", "b", 0)), newLog("e", newChange(inForce, "a", "", 1), newChange(inForce, "c", "", 2)),
	}},
	{"lost although its base was in force", []Property{8}, History{
		newLog("o", newChange(proposed, "a", "", 0), newChange(accepted, "a", "", 1), newChange(proposed, "b", "a", 0), newChange(lost, "b", "", 0)),
		newLog("e", newChange(inForce, "a", "", 1)),
	}},
	{"accepted before its base was proposed", []Property{8}, History{
		newLog("o", newChange(proposed, "b", "a", 0), newChange(accepted, "b", "", 2), newChange(proposed, "a", "", 0), newChange(accepted, "a", "", 1)),
		newLog("e", newChange(inForce, "b", "", 2)),
	}},
}

// TestCheck guards against a checker that misses a violation, reports the wrong
// property, or rejects a valid history.
func TestCheck(t *testing.T) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { expectProperties(t, c.history, c.properties...) })
	}
}

func expectProperties(t *testing.T, h History, want ...Property) {
	t.Helper()
	violations := Check(h, Options{})
	found := map[Property]bool{}
	for _, v := range violations {
		found[v.Property] = true
		if len(v.Evidence) == 0 || !strings.Contains(v.String(), v.Message) {
			t.Errorf("violation without evidence, or without its message in the text: %v", v)
		}
	}
	if len(found) != len(want) {
		t.Fatalf("want violations of properties %v, got %v", want, violations)
	}
	for _, p := range want {
		if !found[p] {
			t.Fatalf("want violations of properties %v, got %v", want, violations)
		}
	}
}

// TestShortestCounterexample guards against a violation whose evidence includes
// records that are not needed. Ten changes are accepted. After the second, a
// change based on it is reported as lost although its base is in force. The first
// three proposals with their replies, six records, prove the violation.
func TestShortestCounterexample(t *testing.T) {
	var records []recorder.Record
	base := ""
	for i := 1; i <= 10; i++ {
		id := fmt.Sprintf("c%02d", i)
		records = append(records, newChange(proposed, id, base, 0), newChange(accepted, id, "", int64(i)))
		base = id
	}
	rejected := []recorder.Record{newChange(proposed, "x", "c02", 0), newChange(lost, "x", "", 0)}
	records = append(records[:4], append(rejected, records[4:]...)...)
	violations := Check(History{newLog("o", records...), newLog("e", newChange(inForce, "c10", "", 10))}, Options{})
	if len(violations) != 1 || len(violations[0].Evidence) != 6 {
		t.Fatalf("want one violation with the first six records, got %v", violations)
	}
}

// TestParse guards against rejecting the history of a process that was killed
// during a write, and against silently dropping lines before the last one.
func TestParse(t *testing.T) {
	line := `{"event":"taskStarted","jobId":"a"}` + "\n"
	for _, c := range []struct {
		name, text string
		records    int
		wantErr    bool
	}{
		{"empty", "", 0, false},
		{"complete lines", line + line, 2, false},
		{"last line truncated", line + `{"event":"ta`, 1, false},
		{"last line without line feed", line + strings.TrimSpace(line), 2, false},
		{"malformed line before the last", `{"event":` + "\n" + line, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := Parse(c.name, []byte(c.text))
			if (err != nil) != c.wantErr || len(l.Records) != c.records {
				t.Fatalf("got %d records, error %v", len(l.Records), err)
			}
		})
	}
}
