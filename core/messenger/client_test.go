package messenger

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// breakingServer answers the first request of each connection, and closes the
// connection after it has read the second one. It counts what it read.
type breakingServer struct {
	listener net.Listener
	requests atomic.Int64
}

func newBreakingServer(t *testing.T) *breakingServer {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &breakingServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *breakingServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := range 2 {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if n == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"taskId\":\"j/0\"}")
		}
	}
}

// TestClientNeverSendsTwice guards against a task that starts twice because the
// transport sent its request again on a new connection.
func TestClientNeverSendsTwice(t *testing.T) {
	s := newBreakingServer(t)
	client := Client{Transport: NewTransport(1, time.Second)}
	address := s.listener.Addr().String()
	task := TaskRequest{TaskID: "j/0", Service: "s", RequestType: "r"}
	if _, err := client.StartTask(t.Context(), address, task); err != nil {
		t.Fatal(err)
	}
	_, err := client.StartTask(t.Context(), address, task)
	if err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("the connection closed after the request was read: error %v", err)
	}
	if got := s.requests.Load(); got != 2 {
		t.Errorf("the server read %d requests, want 2", got)
	}
}

// TestClientNotSent guards against work that is given up although no
// connection was established, and against an answer for another task.
func TestClientNotSent(t *testing.T) {
	s := newBreakingServer(t)
	client := Client{Transport: NewTransport(1, time.Second)}
	address := s.listener.Addr().String()
	if _, err := client.StartTask(t.Context(), address, TaskRequest{TaskID: "other/0"}); err == nil {
		t.Error("the answer for another task was taken")
	}
	_ = s.listener.Close()
	fresh := Client{Transport: NewTransport(1, time.Second)}
	if _, err := fresh.StartTask(t.Context(), address, TaskRequest{TaskID: "j/0"}); !errors.Is(err, ErrNotSent) {
		t.Errorf("refused connection: error %v is not ErrNotSent", err)
	}
	if _, err := fresh.Call(t.Context(), http.MethodPost, "http://"+address, func() {}, nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("request that can't be encoded: error %v is not ErrNotSent", err)
	}
}
