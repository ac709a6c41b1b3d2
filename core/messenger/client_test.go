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

// disconnectingServer answers the first request on each connection and closes
// the connection after it has read the second one. It counts the requests it
// read.
type disconnectingServer struct {
	listener net.Listener
	requests atomic.Int64
}

func newDisconnectingServer(t *testing.T) *disconnectingServer {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &disconnectingServer{listener: listener}
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

func (s *disconnectingServer) serve(conn net.Conn) {
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

// TestClientNeverSendsTwice guards against starting a task twice: by default
// http.Transport resends some requests on a new connection if a reused one
// breaks.
func TestClientNeverSendsTwice(t *testing.T) {
	s := newDisconnectingServer(t)
	client := Client{Transport: NewTransport(1, time.Second)}
	address := s.listener.Addr().String()
	task := TaskRequest{TaskID: "j/0", Service: "s", RequestType: "r"}
	if _, err := client.StartTask(t.Context(), address, task); err != nil {
		t.Fatal(err)
	}
	_, err := client.StartTask(t.Context(), address, task)
	if err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("connection closed after the request was read: error %v", err)
	}
	if got := s.requests.Load(); got != 2 {
		t.Errorf("the server read %d requests, want 2", got)
	}
}

// TestClientNotSent guards against treating a request that was never sent as
// possibly sent, in which case its work would not be retried. It also guards
// against accepting the reply to another task.
func TestClientNotSent(t *testing.T) {
	s := newDisconnectingServer(t)
	client := Client{Transport: NewTransport(1, time.Second)}
	address := s.listener.Addr().String()
	if _, err := client.StartTask(t.Context(), address, TaskRequest{TaskID: "other/0"}); err == nil {
		t.Error("the reply to another task was accepted")
	}
	_ = s.listener.Close()
	newClient := Client{Transport: NewTransport(1, time.Second)}
	if _, err := newClient.StartTask(t.Context(), address, TaskRequest{TaskID: "j/0"}); !errors.Is(err, ErrNotSent) {
		t.Errorf("refused connection: error %v is not ErrNotSent", err)
	}
	if _, err := newClient.Call(t.Context(), http.MethodPost, "http://"+address, func() {}, nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("request that can't be encoded: error %v is not ErrNotSent", err)
	}
}
