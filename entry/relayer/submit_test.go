package relayer_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/entry/router"
)

// silentWorkers answers no request.
type silentWorkers struct{}

func (silentWorkers) Hold(cmd placer.Hold) placer.HoldResponse {
	return placer.HoldResponse{Worker: cmd.Worker, Fence: cmd.Fence, Result: placer.HoldNoAnswer, Sent: cmd.Sent}
}

func (silentWorkers) Start(cmd placer.Start) placer.StartResponse {
	return placer.StartResponse{Worker: cmd.Worker, Fence: cmd.Fence, Key: cmd.Key, Result: placer.StartNoAnswer}
}

func (silentWorkers) Stop(cmd placer.Stop) placer.StopResponse {
	return placer.StopResponse{Worker: cmd.Worker, Key: cmd.Key}
}

// fixedStore returns a single worker.
type fixedStore struct{}

func (fixedStore) Configuration(context.Context) (router.Configuration, error) {
	return router.Configuration{Version: 1}, nil
}

func (fixedStore) Workers(context.Context) ([]placer.Worker, error) {
	return []placer.Worker{{ID: "w0", Address: "127.0.0.1:9", FailureDomain: "patan", Service: "router"}}, nil
}

func (fixedStore) Announce(context.Context, elector.Member) error { return nil }

func (fixedStore) Members(context.Context) ([]elector.Member, error) { return nil, nil }

// scriptedOwner is an owner of the workers that replies to jobs from a list of
// answers. The last answer repeats, and an empty one breaks the connection.
type scriptedOwner struct {
	address string
	mu      sync.Mutex
	answers []placer.Result
	// received holds the placements of each job received.
	received [][]placer.Placement
}

func (o *scriptedOwner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if strings.HasSuffix(req.URL.Path, "/beat") {
		view := elector.View{From: elector.Member{Address: o.address, CPU: 9}, Group: "all", Owner: o.address, ClaimedAtMs: 1}
		messenger.WriteJSON(w, http.StatusOK, map[string]any{"view": view})
		return
	}
	var body struct {
		Placements []placer.Placement `json:"placements"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	o.received = append(o.received, body.Placements)
	answer := o.answers[0]
	if len(o.answers) > 1 {
		o.answers = o.answers[1:]
	}
	o.mu.Unlock()
	if answer.Outcome() == "none" {
		panic(http.ErrAbortHandler)
	}
	messenger.WriteJSON(w, http.StatusOK, answer)
}

// submitTo starts an entry that follows the owner and submits a job of two
// tasks to it.
func submitTo(t *testing.T, o *scriptedOwner) placer.Result {
	t.Helper()
	server := httptest.NewUnstartedServer(o)
	server.Config.ErrorLog = nil
	server.Start()
	t.Cleanup(server.Close)
	o.address = server.Listener.Addr().String()
	r := startEntry(t, 0, o.address)
	return r.Submit(t.Context(), placer.Job{ID: "00000000000000aa", Queue: "q", Service: "router", Tasks: 2, RemainingMs: 3000})
}

// TestAnswersAfterOwnerChange guards against answering "did not run" for a job
// that may have run under an earlier owner, and against a 502 for a job that no
// owner accepted.
func TestAnswersAfterOwnerChange(t *testing.T) {
	moved := placer.Result{Moved: true, Placements: []placer.Placement{{Task: 0, Worker: "w0", Number: 1}}}
	notOwner := placer.Result{Err: messenger.NewError(messenger.NoTarget, "this entry does not own the workers")}
	for name, c := range map[string]struct {
		answers []placer.Result
		want    messenger.ExecutionStatus
		// last holds the placements of the last submission.
		last []placer.Placement
	}{
		"moved, then no owner":              {[]placer.Result{moved, notOwner}, messenger.MayHaveRun, moved.Placements},
		"moved, then refused":               {[]placer.Result{moved, {Err: messenger.NewError(messenger.Overloaded, "")}}, messenger.MayHaveRun, moved.Placements},
		"moved without runs":                {[]placer.Result{{Moved: true}, {Err: messenger.NewError(messenger.Overloaded, "")}}, messenger.DidNotRun, nil},
		"no owner":                          {[]placer.Result{notOwner}, messenger.DidNotRun, nil},
		"connection broken, then no owner":  {[]placer.Result{{}, notOwner}, messenger.MayHaveRun, []placer.Placement{{Task: 0}, {Task: 1}}},
		"connection broken repeatedly":      {[]placer.Result{{}}, messenger.MayHaveRun, []placer.Placement{{Task: 0}, {Task: 1}}},
		"connection broken, then runs lost": {[]placer.Result{{}, {Err: messenger.NewError(messenger.TargetLost, "")}}, messenger.MayHaveRun, []placer.Placement{{Task: 0}, {Task: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := &scriptedOwner{answers: c.answers}
			result := submitTo(t, o)
			if result.Err == nil || result.Err.Ran != c.want {
				t.Errorf("result %+v, want an error with %s", result, c.want)
			}
			o.mu.Lock()
			defer o.mu.Unlock()
			got, err := json.Marshal(o.received[len(o.received)-1])
			if err != nil {
				t.Fatal(err)
			}
			want, err := json.Marshal(c.last)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != string(want) {
				t.Errorf("last submission had placements %s, want %s", got, want)
			}
		})
	}
}

// TestRetryAfterBrokenConnection guards against failing a job because the
// connection to its owner broke.
func TestRetryAfterBrokenConnection(t *testing.T) {
	o := &scriptedOwner{answers: []placer.Result{{}, {Completed: true}}}
	if result := submitTo(t, o); !result.Completed {
		t.Errorf("result %+v, want completed", result)
	}
}
