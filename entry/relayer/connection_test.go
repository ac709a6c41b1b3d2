package relayer

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/placer"
)

// TestJobOfLostEntry guards against an owner that starts a job which was held up on the
// way, although its entry has closed the connection and given the job up.
func TestJobOfLostEntry(t *testing.T) {
	for _, closed := range []bool{true, false} {
		t.Run(fmt.Sprintf("closed %v", closed), func(t *testing.T) {
			r, handled := newOwner(t), make(chan struct{})
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				r.PeerHandler().ServeHTTP(w, req)
				close(handled)
			}))
			server.Config.ConnContext = messenger.WithConnection
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			body, err := json.Marshal(submission{Entry: "10.0.0.2:7720", Job: placer.Job{ID: "5c0e7a21d94b36f8", Service: "router", Tasks: 1, RemainingMs: 5000}})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := fmt.Fprintf(conn, "POST /peer/v1/jobs HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
				t.Fatal(err)
			}
			if closed {
				_ = conn.Close()
			}
			// The connection is accepted and read only now.
			server.Start()
			defer server.Close()
			for end := time.Now().Add(2 * time.Second); len(r.submissions) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
				select {
				case <-handled:
					end = time.Now()
				default:
				}
			}
			if passed := len(r.submissions) > 0; passed == closed {
				t.Errorf("the job was taken: %v, want %v", passed, !closed)
			}
			_ = conn.Close()
		})
	}
}
