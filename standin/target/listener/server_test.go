package listener

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/standin/target/worker"
)

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) count(event recorder.Event) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buf.String(), `"event":"`+string(event)+`"`)
}

type fixture struct {
	t       *testing.T
	server  *Server
	control *httptest.Server
	history *lockedBuffer
	client  messenger.Client
}

// newFixture serves a target with 2 slots and at most maxConnections connections
// on a free port.
func newFixture(t *testing.T, maxConnections int) *fixture {
	t.Helper()
	probe := httptest.NewServer(http.NotFoundHandler())
	address := probe.Listener.Addr().String()
	probe.Close()
	history := &lockedBuffer{}
	w := worker.New(worker.Identity{Role: messenger.TargetVM, Address: address, Service: "orders", Slots: 2}, false, 1)
	s, err := NewServer(w, maxConnections, "p", &recorder.Recorder{Process: "test", Out: history})
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	transport := messenger.NewTransport(10, time.Minute)
	f := &fixture{t: t, server: s, control: httptest.NewServer(ControlHandler([]*Server{s})), history: history, client: messenger.Client{Transport: transport}}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		f.control.Close()
		_ = s.httpServer.Close()
	})
	return f
}

func (f *fixture) run(payload string) (messenger.TaskReply, error) {
	return f.client.StartTask(f.t.Context(), f.server.Address(), messenger.TaskRequest{TaskID: "job/1", Service: "orders", Payload: json.RawMessage(payload)})
}

func (f *fixture) applyControl(c any) ControlStatus {
	f.t.Helper()
	var out ControlStatus
	status, err := messenger.Client{}.Call(f.t.Context(), http.MethodPost, f.control.URL+"/control", c, &out)
	if err != nil || status != http.StatusOK {
		f.t.Fatalf("control: status %d, %v", status, err)
	}
	return out
}

func (f *fixture) wantResult(payload, value string) {
	f.t.Helper()
	reply, err := f.run(payload)
	if err != nil || string(reply.Result) != `{"value":`+value+`,"taskId":"job/1"}` {
		f.t.Fatalf("got %+v, %v", reply, err)
	}
}

func TestTask(t *testing.T) {
	f := newFixture(t, 10)
	f.wantResult(`{"runMs":1,"value":{"a":[1]}}`, `{"a":[1]}`)
	f.wantResult(`{"runMs":0}`, `null`)
	if f.history.count(recorder.TaskStarted) != 2 || f.history.count(recorder.TaskEnded) != 2 {
		t.Fatal("history does not contain both tasks")
	}
	got := f.applyControl(worker.ControlRequest{})
	if got.Totals.Starts != 2 || got.Targets[0].Connections.Accepted != 1 {
		t.Fatalf("got status %+v", got)
	}
}

// TestCutConnectionsAfterStart guards against the client reporting
// messenger.ErrNotSent when the connection is closed after the task has started:
// the caller would then start the task again on another target.
func TestCutConnectionsAfterStart(t *testing.T) {
	for name, c := range map[string]worker.ControlRequest{
		"after read": {CloseAfterRead: new(int64(1))},
		"mid reply":  {CloseMidReply: new(int64(1))},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 10)
			f.applyControl(c)
			if _, err := f.run(`{"runMs":1}`); err == nil || errors.Is(err, messenger.ErrNotSent) {
				t.Fatalf("got %v, want a broken connection", err)
			}
			if f.history.count(recorder.TaskStarted) != 1 {
				t.Fatal("task start is not in the history")
			}
			f.wantResult(`{"runMs":1}`, `null`)
		})
	}
}

func TestRefusedConnections(t *testing.T) {
	f := newFixture(t, 10)
	f.wantResult(`{"runMs":0}`, `null`)
	f.applyControl(worker.ControlRequest{RefuseConnections: new(true)})
	f.client.Transport.(*http.Transport).CloseIdleConnections()
	if _, err := f.run(`{"runMs":0}`); !errors.Is(err, messenger.ErrNotSent) {
		t.Fatalf("got %v, want a refused connection", err)
	}
	f.applyControl(worker.ControlRequest{RefuseConnections: new(false)})
	f.wantResult(`{"runMs":0}`, `null`)
}

func TestConnectionsAboveTheLimitAreClosed(t *testing.T) {
	f := newFixture(t, 1)
	f.wantResult(`{"runMs":0}`, `null`)
	other := messenger.NewTransport(1, time.Minute)
	defer other.CloseIdleConnections()
	_, err := messenger.Client{Transport: other}.Call(t.Context(), http.MethodGet, "http://"+f.server.Address()+"/v1/status", nil, nil)
	if err == nil {
		t.Fatal("second connection was served")
	}
	f.wantResult(`{"runMs":0}`, `null`)
	if got := f.applyControl(worker.ControlRequest{}).Targets[0].Connections; got.Rejected == 0 || got.Open != 1 {
		t.Fatalf("got connections %+v", got)
	}
}

// TestStopFinishesTasks guards against a graceful stop that interrupts a
// running task or still accepts new ones.
func TestStopFinishesTasks(t *testing.T) {
	f := newFixture(t, 10)
	done := make(chan error, 1)
	go func() {
		reply, err := f.run(`{"runMs":100}`)
		if err == nil && reply.Result == nil {
			err = errors.Newf("no result: %+v", reply.Error)
		}
		done <- err
	}()
	for f.applyControl(worker.ControlRequest{}).Targets[0].InFlight == 0 {
	}
	f.server.Leave(time.Now())
	if reply, err := f.run(`{"runMs":0}`); err != nil || reply.Error == nil || reply.Error.Kind != messenger.TaskErrorLeaving {
		t.Fatalf("got %+v, %v; want leaving", reply, err)
	}
	if err := f.server.Stop(time.Minute); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatalf("running task: %v", err)
	}
	if f.history.count(recorder.TargetLeaving) != 1 {
		t.Fatal("targetLeaving event is not in the history")
	}
}
