package listener

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/identifier"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
	"github.com/godwitrelay/godwitrelay/entry/dispatcher"
	"github.com/godwitrelay/godwitrelay/entry/exporter"
)

// simulatedLoop passes events to a reducer in virtual time, with targets that
// finish each task immediately.
type simulatedLoop struct {
	t       *testing.T
	state   *dispatcher.State
	now     time.Time
	waiter  dispatcher.Waiter
	replies map[dispatcher.Waiter][]any
	started map[string]int
}

const (
	fuzzAddress  = "127.0.0.1:7001"
	fuzzMaxTasks = 50
)

var fuzzSigner = identifier.Signer{Key: []byte("0123456789abcdef")}

func newSimulatedLoop(t *testing.T) *simulatedLoop {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	a := &simulatedLoop{t: t, now: start, replies: map[dispatcher.Waiter][]any{}, started: map[string]int{}}
	a.state = dispatcher.New(start, dispatcher.Settings{
		Self: messenger.Member{Address: fuzzAddress, Incarnation: 11}, FailureDomain: "patan", Signer: fuzzSigner,
		DefaultDeadline: 10 * time.Second, MaxDeadline: time.Minute, MaxTasks: fuzzMaxTasks, MaxHeldBytes: 1 << 20,
		AnswerKeep: 30 * time.Second, AnswerBytes: 1 << 20, IDKeep: time.Minute,
		BalancerNotice: time.Second, StopLinger: time.Second, Seed: 3,
	})
	a.Post(dispatcher.ConfigurationFetched{Accepted: follower.Accepted{Version: 1, ChangeID: "c1", Configuration: planner.Configuration{
		BudgetSlots: 100, FailureDomains: []string{"patan"},
		Services: map[string]planner.Service{"orders": {Slots: 100, RequestTypes: map[string]planner.RequestType{
			"stock-check":  {Priority: messenger.Urgent, Idempotent: true, MaxRunMs: 5000},
			"firm-booking": {Priority: messenger.Urgent, MaxRunMs: 5000},
		}}},
		Teams: map[string]planner.Team{"restaurants": {Slots: 100}},
	}}})
	a.Post(dispatcher.VMsListed{List: messenger.VMList{VMs: []messenger.VM{{
		Role: messenger.TargetVM, Address: "127.0.0.1:9001", FailureDomain: "patan", Service: "orders", Slots: 100, MemoryMB: 1000,
	}}}})
	a.Post(dispatcher.Tick{})
	a.now = a.now.Add(2 * time.Second)
	a.Post(dispatcher.Tick{})
	if !a.Ready() {
		t.Fatal("the entry is not ready")
	}
	return a
}

func (a *simulatedLoop) Ready() bool { return a.state.Ready() }

// Post handles an event and the effects that follow from it.
func (a *simulatedLoop) Post(msg dispatcher.Msg) {
	for _, cmd := range append([]dispatcher.Cmd(nil), a.state.Update(a.now, msg)...) {
		switch cmd := cmd.(type) {
		case dispatcher.Reply:
			a.replies[cmd.Waiter] = append(a.replies[cmd.Waiter], cmd.Value)
		case dispatcher.StartTask:
			a.started[cmd.Request.TaskID]++
			a.Post(dispatcher.TaskEnded{JobID: cmd.JobID, Task: cmd.Task, Grant: cmd.Grant, Reply: messenger.TaskReply{
				TaskID: cmd.Request.TaskID, Result: cmd.Request.Payload, RunMs: 1,
				Status: messenger.TargetStatus{Service: "orders", Slots: 100, MemoryMB: 1000},
			}})
		case dispatcher.Forward:
			a.Post(dispatcher.Forwarded{Waiter: cmd.Waiter, JobID: cmd.JobID, Err: &dispatcher.Failure{NotSent: true}})
		}
	}
}

// Request advances time until the event is answered, for longer than any
// deadline.
func (a *simulatedLoop) Request(_ context.Context, build func(dispatcher.Waiter) dispatcher.Msg) (any, dispatcher.Waiter, error) {
	a.waiter++
	w := a.waiter
	a.Post(build(w))
	for range 70 {
		if len(a.replies[w]) > 0 {
			return a.replies[w][0], w, nil
		}
		a.now = a.now.Add(time.Second)
		a.Post(dispatcher.Tick{})
	}
	a.t.Error("the request was not answered")
	return nil, w, errors.New("no reply")
}

// locatesFault matches messages that say what is wrong and where.
var locatesFault = regexp.MustCompile(`byte \d+|field "|unknown field|ends too early|over \d+ bytes|^(id|tasks|deadlineMs|declaredRunMs, declaredMemoryMB|priority|moreIds|idempotent|team|service|requestType): `)

// FuzzSubmission guards against a body that crashes an entry, gets no answer or
// two, starts a task twice, or gets an error that does not locate the fault. ID
// in a body stands for an unused id.
func FuzzSubmission(f *testing.F) {
	const validFields = `"team":"restaurants","service":"orders","requestType":"stock-check"`
	for _, seed := range []string{
		`{` + validFields + `,"wait":true,"tasks":[1,{"a":[]},null]}`,
		`{"id":"ID","team":"restaurants","service":"orders","requestType":"firm-booking","tasks":["<&>"],"moreIds":3}`,
		`{"id":"ID",` + validFields + `,"tasks":[1],"idempotent":true,"priority":"bulk","declaredRunMs":9223372036854775807}`,
		`{"id":"ID",` + validFields + `,"tasks":[1],"wait":true,"deadlineMs":1,"declaredMemoryMB":9223372036854775807}`,
		`{` + validFields + `,"tasks":[1],"moreIds":1000000}`, `{` + validFields + `,"tasks":[1],"moreIds":-1}`,
		`{` + validFields + `,"tasks":[1],"deadlineMs":-9223372036854775808}`, `{` + validFields + `,"tasks":null}`,
		`{` + validFields + `,"tasks":[1],"priority":"soon"}`, `{` + validFields + `,"tasks":[1],"declaredRunMs":-1}`,
		`{` + validFields + `,"tasks":[` + strings.Repeat("1,", 50) + `1]}`,
		`{"team":"restaurants","service":"orders","requestType":"firm-booking","tasks":[1]}`,
		`null`, `{`, `[]`, ``, `"`, `{"id"`, `{"\`, `{"id":"\ud800"}`, `{"tasks":[[[`, "{\"\xff", `{"id":"g1~patan~127.0.0.1:7001~b~1~AAAA"}`,
	} {
		f.Add(seed, false)
		f.Add(seed, true)
	}
	f.Fuzz(func(t *testing.T, body string, forwarded bool) {
		a := newSimulatedLoop(t)
		l := &Listener{
			Runner: a, Signer: fuzzSigner, Metrics: exporter.New(), MaxBodyBytes: 1 << 16, MaxPeerBodyBytes: 1 << 20,
			MaxTasks: fuzzMaxTasks, BodyReadTimeout: time.Second, MaxDeadline: time.Minute,
		}
		if strings.Contains(body, `"ID"`) {
			v, _, _ := a.Request(t.Context(), func(w dispatcher.Waiter) dispatcher.Msg { return dispatcher.IssueIDs{Waiter: w, Count: 1} })
			body = strings.ReplaceAll(body, `"ID"`, fmt.Sprintf("%q", v.(messenger.IDsReply).IDs[0]))
		}
		handler, path := l.Callers(), "/v1/jobs"
		if forwarded {
			handler, path = l.Peers(), "/peer/v1/jobs"
		}
		for range 2 {
			before := len(a.started)
			answer := submitBody(t, handler, path, body)
			if e := answer.Error; e != nil && e.Ran == messenger.DidNotRun && len(a.started) != before {
				t.Errorf("%d tasks started, but the answer is %s, %s", len(a.started)-before, e, e.Ran)
			}
		}
		for task, n := range a.started {
			if n > 1 {
				t.Errorf("task %s started %d times", task, n)
			}
		}
		for w, list := range a.replies {
			if len(list) > 1 {
				t.Errorf("waiter %d got %d replies", w, len(list))
			}
		}
	})
}

// submitBody posts a body and checks the format of the answer.
func submitBody(t *testing.T, handler http.Handler, path, body string) messenger.Answer {
	t.Helper()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader(body)))
	var answer messenger.Answer
	dec := json.NewDecoder(bytes.NewReader(w.Body.Bytes()))
	if err := dec.Decode(&answer); err != nil || dec.More() || w.Code != answer.Status() {
		t.Fatalf("status %d with %q: %v", w.Code, w.Body, err)
	}
	if e := answer.Error; e != nil {
		if messenger.ErrorKindInfo(e.Kind).Status != w.Code {
			t.Errorf("kind %s has status %d", e.Kind, w.Code)
		}
		if (e.Kind == messenger.BadRequest || e.Kind == messenger.TooLarge) && !locatesFault.MatchString(e.Message) {
			t.Errorf("the error does not locate the fault: %s", e)
		}
	}
	return answer
}
