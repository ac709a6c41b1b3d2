package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// fixture is a server behind a forwarder and a client that connects through it.
type fixture struct {
	network *Network
	served  chan struct{}
	url     string
	client  *http.Client
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{network: New(func(net.Conn) string { return "a" }), served: make(chan struct{}, 10)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		f.served <- struct{}{}
		_, _ = io.WriteString(w, "ok")
	}))
	t.Cleanup(server.Close)
	reserved := listen(t)
	address := reserved.Addr().String()
	_ = reserved.Close()
	if err := f.network.Forward("b", address, server.Listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.network.Close)
	f.url, f.client = "http://"+address, &http.Client{Transport: &http.Transport{}}
	return f
}

func (f *fixture) post(ctx context.Context, path string) error {
	const body = `{"value":1}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return err
	}
	req.ContentLength = int64(len(body))
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func expectError(t *testing.T, err error, want bool) {
	t.Helper()
	if (err != nil) != want {
		t.Fatalf("want error %v, got %v", want, err)
	}
}

// TestLose guards against drop rules that match the wrong request, or that keep
// the request from reaching the server.
func TestLose(t *testing.T) {
	for name, point := range map[string]DropPoint{"after the request": AfterRequest, "at the reply": AtReply} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			expectError(t, f.post(t.Context(), "/v1/other"), false)
			f.network.DropReplies("a", "b", "/v1/tasks", point, 1)
			expectError(t, f.post(t.Context(), "/v1/other"), false)
			expectError(t, f.post(t.Context(), "/v1/tasks"), true)
			expectError(t, f.post(t.Context(), "/v1/tasks"), false)
			for range 4 {
				<-f.served
			}
			if f.network.DroppedReplies() != 1 {
				t.Fatalf("want 1 dropped reply, got %d", f.network.DroppedReplies())
			}
		})
	}
}

// TestCut guards against a partition that lets data through, and against data
// that is lost once the partition is healed.
func TestCut(t *testing.T) {
	f := newFixture(t)
	expectError(t, f.post(t.Context(), "/"), false)
	f.network.Partition("a", "b")
	done := make(chan error, 1)
	go func() { done <- f.post(t.Context(), "/") }()
	shortCtx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	expectError(t, f.post(shortCtx, "/"), true)
	f.network.Heal()
	expectError(t, <-done, false)
}

// TestRestore guards against a restored pair that stays blocked in one direction,
// and against ending the partitions of other pairs.
func TestRestore(t *testing.T) {
	f := newFixture(t)
	f.network.Partition("a", "b")
	f.network.Partition("a", "c")
	f.network.Restore("b", "a")
	expectError(t, f.post(t.Context(), "/"), false)
	if f.network.HasFault("a", "b") || !f.network.HasFault("a", "c") {
		t.Error("want a partition between a and c only")
	}
}

// TestSilence guards against a silenced connection that transfers data or its end, and
// against new connections that are silent as well.
func TestSilence(t *testing.T) {
	f := newFixture(t)
	expectError(t, f.post(t.Context(), "/"), false)
	f.network.Silence("b", "a")
	shortCtx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	expectError(t, f.post(shortCtx, "/"), true)
	expectError(t, f.post(t.Context(), "/"), false)
	if got := len(f.served); got != 2 {
		t.Errorf("want 2 requests at the server, got %d", got)
	}
}

// TestOwner guards against attributing a connection to the wrong process, which
// would apply a partition to the wrong pair of processes.
func TestOwner(t *testing.T) {
	listener := listen(t)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if got := OwnerPID(accepted, []int{os.Getpid()}); got != os.Getpid() {
		t.Fatalf("want the test process, got pid %d", got)
	}
	if got := OwnerPID(accepted, nil); got != 0 {
		t.Fatalf("want no process, got pid %d", got)
	}
}
