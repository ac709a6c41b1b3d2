package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/generator"
)

// fakeNetwork is a transport that passes requests to handlers by address
// without sockets, so that tests can run in virtual time. Unknown addresses
// refuse the connection.
type fakeNetwork map[string]http.Handler

func (n fakeNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	h, ok := n[r.URL.Host]
	if !ok {
		return nil, errors.New("connection refused")
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	if r.Body == nil {
		r.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// fakeEntry answers each job after the run time of its longest task. Requests
// that arrive between stallStart and stallEnd are delayed until stallEnd.
// modifyAnswer, if set, changes each answer.
type fakeEntry struct {
	name                 string
	stallStart, stallEnd time.Time
	modifyAnswer         func(*messenger.Answer)

	mu          sync.Mutex
	issued      int
	calls       map[string]int
	submissions []messenger.Submission
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.countCall(r.Method + " " + r.URL.Path)
	now := time.Now()
	if !now.Before(e.stallStart) && now.Before(e.stallEnd) {
		<-time.After(e.stallEnd.Sub(now))
	}
	if r.URL.Path == "/v1/ids" {
		var in messenger.IDsRequest
		_ = messenger.DecodeJSON(r.Body, 1<<20, &in)
		messenger.WriteJSON(w, http.StatusOK, messenger.IDsReply{IDs: e.issueIDs(in.Count)})
		return
	}
	var sub messenger.Submission
	if err := messenger.DecodeJSON(r.Body, 1<<20, &sub); err != nil {
		messenger.WriteJSON(w, err.Status(), messenger.NewRefusal("", err))
		return
	}
	e.mu.Lock()
	e.submissions = append(e.submissions, sub)
	e.mu.Unlock()
	longest := int64(0)
	a := messenger.Answer{ID: sub.ID, Outcome: messenger.Complete, NextIDs: e.issueIDs(sub.MoreIDs)}
	for i, raw := range sub.Tasks {
		var p generator.Payload
		_ = json.Unmarshal(raw, &p)
		longest = max(longest, p.RunMs)
		out, _ := json.Marshal(taskResult{p.Value, taskID(sub.ID, i)})
		a.Results = append(a.Results, out)
	}
	<-time.After(time.Duration(longest) * time.Millisecond)
	if e.modifyAnswer != nil {
		e.modifyAnswer(&a)
	}
	messenger.WriteJSON(w, a.Status(), a)
}

func (e *fakeEntry) countCall(call string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls == nil {
		e.calls = map[string]int{}
	}
	e.calls[call]++
}

func (e *fakeEntry) issueIDs(n int) (list []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for range n {
		e.issued++
		list = append(list, fmt.Sprintf("%s-%d", e.name, e.issued))
	}
	return list
}

// fakeTarget runs tasks and refuses those that exceed its slots.
type fakeTarget struct {
	slots  int
	broken bool

	mu      sync.Mutex
	running int
	refused int
	started int
}

func (t *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var task messenger.TaskRequest
	_ = messenger.DecodeJSON(r.Body, 1<<20, &task)
	if !t.acquireSlot() {
		messenger.WriteJSON(w, http.StatusServiceUnavailable, messenger.TaskReply{TaskID: task.TaskID, Error: &messenger.TaskError{Kind: messenger.TaskErrorBusy}})
		return
	}
	var p generator.Payload
	_ = json.Unmarshal(task.Payload, &p)
	<-time.After(time.Duration(p.RunMs) * time.Millisecond)
	out, _ := json.Marshal(taskResult{p.Value, task.TaskID})
	reply := messenger.TaskReply{TaskID: task.TaskID, Result: out, RunMs: p.RunMs}
	if t.broken {
		reply = messenger.TaskReply{TaskID: task.TaskID, Error: &messenger.TaskError{Kind: messenger.TaskErrorFailed, Started: true}}
	}
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	messenger.WriteJSON(w, http.StatusOK, reply)
}

func (t *fakeTarget) acquireSlot() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == t.slots {
		t.refused++
		return false
	}
	t.running++
	t.started++
	return true
}
