package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/identifier"
	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
	"github.com/godwitrelay/godwitrelay/entry/dispatcher"
)

const minimalSettings = `{
	"name": "e1", "failureDomain": "patan", "idKey": "00112233445566778899aabbccddeeff",
	"callerAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:7999", "peerListen": "127.0.0.1:0",
	"operatorAddress": "127.0.0.1:0", "limits": {%s}
}`

// liveEntry is an entry on real sockets with a configuration but no targets.
// The strings are the addresses of its listeners.
type liveEntry struct {
	callers, peers, operators string
	metrics                   http.Handler
	signer                    identifier.Signer
}

// startEntry starts an entry and waits until it is ready. The argument holds
// the fields of "limits" in its settings.
func startEntry(t *testing.T, limits string) liveEntry {
	t.Helper()
	var cfg settings
	if err := loader.Parse("test", fmt.Appendf(nil, minimalSettings, limits), &cfg); err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r, err := newRunner(cfg, log, nil)
	if err != nil {
		t.Fatal(err)
	}
	servers, err := listen(cfg, newListener(cfg, r), r.Metrics, log)
	if err != nil {
		t.Fatal(err)
	}
	go r.Run()
	for _, s := range servers {
		go s.serve(log)
		t.Cleanup(func() { _ = s.Close() })
	}
	t.Cleanup(r.Stop)
	e := liveEntry{
		callers: servers[0].listener.Addr().String(), peers: servers[1].listener.Addr().String(),
		operators: servers[2].listener.Addr().String(),
		metrics:   r.Metrics.Handler(), signer: identifier.Signer{Key: cfg.key},
	}
	r.Post(dispatcher.ConfigurationFetched{Accepted: follower.Accepted{Version: 1, ChangeID: "c1", Configuration: planner.Configuration{
		BudgetSlots: 8, FailureDomains: []string{"patan"},
		Services: map[string]planner.Service{"orders": {Slots: 8, RequestTypes: map[string]planner.RequestType{
			"stock-check": {Priority: messenger.Urgent, Idempotent: true, MaxRunMs: 5000},
		}}},
		Teams: map[string]planner.Team{"restaurants": {Slots: 8}},
	}}})
	r.Post(dispatcher.VMsListed{})
	for deadline := time.Now().Add(30 * time.Second); !r.Ready(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatal("the entry does not become ready")
		}
	}
	return e
}

// dial opens a connection with a deadline, so that a hang fails the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// checkCallerServed checks that a well-behaved caller still gets its answer.
func checkCallerServed(t *testing.T, e liveEntry) {
	t.Helper()
	c := dial(t, e.callers)
	send(t, c, post("/v1/ids", `{"count":2}`))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var ids messenger.IDsReply
	if err := json.NewDecoder(resp.Body).Decode(&ids); err != nil || len(ids.IDs) != 2 {
		t.Fatalf("a well-behaved caller got status %d, %+v, %v", resp.StatusCode, ids, err)
	}
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// wantRefusal reads a response and checks that it is an error of the given kind
// whose text contains message, which usually states where the input is wrong.
func wantRefusal(t *testing.T, c io.Reader, kind messenger.ErrorKind, message string) messenger.Answer {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var a messenger.Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || a.Error == nil {
		t.Fatalf("status %d without a documented error: %+v, %v", resp.StatusCode, a, err)
	}
	if a.Error.Kind != kind || resp.StatusCode != a.Error.Status() || !strings.Contains(a.Error.Message, message) {
		t.Fatalf("got status %d, %s, want %s with %q", resp.StatusCode, a.Error, kind, message)
	}
	return a
}

// wantClosed reads until the server closes the connection.
func wantClosed(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := io.Copy(io.Discard, c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("the connection stays open")
	}
}

// TestSlowCallers guards against connections that stay open forever because the
// caller does not send the bytes it announced.
func TestSlowCallers(t *testing.T) {
	const short = `"headerReadMs": 50, "bodyReadMs": 50, "answerWriteMs": 50`
	// If message is set, it is part of the expected error; "-" accepts any
	// response, and "" expects none.
	cases := []struct{ name, sent, message string }{
		{"nothing", "", ""},
		{"part of a header", "POST /v1/jobs HTTP/1.1\r\nHost", ""},
		{"no body for a submission", "POST /v1/jobs HTTP/1.1\r\nHost: e\r\nContent-Length: 9\r\n\r\n", "after byte 0 of 9"},
		{"part of a submission", "POST /v1/jobs HTTP/1.1\r\nHost: e\r\nContent-Length: 9\r\n\r\n{\"i", "after byte 3 of 9"},
		{"part of a chunk", "POST /v1/jobs HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"i", "after byte 3 of an unknown number"},
		{"no body for ids", "POST /v1/ids HTTP/1.1\r\nHost: e\r\nContent-Length: 9\r\n\r\n", "after byte 0 of 9"},
		{"no body where expected", "POST /v1/jobs HTTP/1.1\r\nHost: e\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n", "-"},
	}
	e := startEntry(t, short)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn := dial(t, e.callers)
			send(t, conn, c.sent)
			checkCallerServed(t, e)
			if c.message != "" && c.message != "-" {
				a := wantRefusal(t, conn, messenger.BadRequest, c.message)
				if a.Error.Ran != messenger.MayHaveRun {
					t.Errorf("the unread body may repeat a submission that has run, but the answer says %s", a.Error.Ran)
				}
			}
			wantClosed(t, conn)
		})
	}
	for name, address := range map[string]string{"peers": e.peers, "operators": e.operators} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, address)
			send(t, conn, "POST /peer/v1/slots HTTP/1.1\r\nHost: e\r\nContent-Length: 9\r\n\r\n{")
			wantClosed(t, conn)
		})
	}
}

// TestAnswerBeforeBody guards against a response that net/http delays until the
// announced body has arrived or the read times out.
func TestAnswerBeforeBody(t *testing.T) {
	e := startEntry(t, `"bodyReadMs": 600000, "bodyBytes": 1024`)
	for name, c := range map[string]struct {
		request string
		kind    messenger.ErrorKind
	}{
		"wrong path":     {"POST /v1/nothing HTTP/1.1\r\nHost: e\r\nContent-Length: 9\r\n\r\n", messenger.NotFound},
		"over the limit": {"POST /v1/jobs HTTP/1.1\r\nHost: e\r\nContent-Length: 2000\r\n\r\n", messenger.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, e.callers)
			send(t, conn, c.request)
			wantRefusal(t, conn, c.kind, "")
		})
	}
}

// TestUnreadAnswers guards against a caller that keeps sending requests without
// reading any response.
func TestUnreadAnswers(t *testing.T) {
	e := startEntry(t, `"answerWriteMs": 50`)
	for name, request := range map[string]string{
		"ids": post("/v1/ids", `{"count":1000}`), "readyz": "GET /readyz HTTP/1.1\r\nHost: e\r\n\r\n",
		"wrong path": "GET /" + strings.Repeat("x", 300) + " HTTP/1.1\r\nHost: e\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, e.callers)
			for {
				if _, err := io.WriteString(conn, request); err != nil {
					if errors.Is(err, os.ErrDeadlineExceeded) {
						t.Fatal("the connection stays open")
					}
					break
				}
			}
			checkCallerServed(t, e)
		})
	}
}

// TestConnectionLimits guards against a listener that keeps more connections
// open than its limit, or closes others than the one without a request for the
// longest, and against a limit that also counts closed connections or those of
// another listener.
func TestConnectionLimits(t *testing.T) {
	e := startEntry(t, `"connections": 2, "peerConnections": 1, "operatorConnections": 1, "headerReadMs": 60000`)
	first, second := dial(t, e.callers), dial(t, e.callers)
	third := dial(t, e.callers)
	wantClosed(t, first)
	_ = third.Close()
	send(t, second, "GET /none HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n")
	wantRefusal(t, second, messenger.NotFound, "/none")
	wantClosed(t, second)
	checkCallerServed(t, e)
	for _, address := range []string{e.peers, e.operators} {
		held := dial(t, address)
		next := dial(t, address)
		wantClosed(t, held)
		send(t, next, "GET /healthz HTTP/1.1\r\nHost: e\r\n\r\n")
		if _, err := bufio.NewReader(next).Peek(1); err != nil {
			t.Fatal(err)
		}
	}
}

// TestMalformedRequests guards against malformed requests that get a response
// other than a documented error kind, or an error that does not state where the
// input is wrong.
func TestMalformedRequests(t *testing.T) {
	e := startEntry(t, `"bodyBytes": 65536, "headerBytes": 4096, "tasksPerJob": 3`)
	otherKeyID := identifier.Signer{Key: []byte("another key of 16")}.Format(identifier.ID{FailureDomain: "patan", Address: "127.0.0.1:7999"})
	valid := e.signer.Format(identifier.ID{FailureDomain: "patan", Address: "127.0.0.1:7999", Incarnation: 1})
	deep := `{"team":"a","tasks":[` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `]}`
	cases := []struct {
		name, request string
		kind          messenger.ErrorKind
		message       string
	}{
		{"body announced over the limit", "POST /v1/jobs HTTP/1.1\r\nHost: e\r\nContent-Length: 99999999999\r\n\r\n", messenger.TooLarge, "over 65536 bytes"},
		{"body over the limit", post("/v1/jobs", `{"team":"`+strings.Repeat("x", 70000)+`"}`), messenger.TooLarge, "over 65536 bytes"},
		{"chunked body over the limit", "POST /v1/jobs HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + strings.Repeat(" ", 0x20000) + "\r\n0\r\n\r\n", messenger.TooLarge, "over 65536 bytes"},
		{"ids over the limit", post("/v1/ids", strings.Repeat(" ", 2000)), messenger.TooLarge, "over 1024 bytes"},
		{"empty body", post("/v1/jobs", ""), messenger.BadRequest, "ends too early"},
		{"null", post("/v1/jobs", " null"), messenger.BadRequest, "byte 1"},
		{"list", post("/v1/jobs", "[]"), messenger.BadRequest, "byte 0"},
		{"null for ids", post("/v1/ids", "null"), messenger.BadRequest, "byte 0"},
		{"text", post("/v1/jobs", "team=a&service=b"), messenger.BadRequest, "byte 0"},
		{"nested deeply", post("/v1/jobs", deep), messenger.BadRequest, "exceeded max depth"},
		{"field twice", post("/v1/jobs", `{"team":"a","tasks":[{"team":1}],"team":"b"}`), messenger.BadRequest, `"team" appears again at byte 33`},
		{"field twice in other case", post("/v1/jobs", `{"id":"a","ID":"b"}`), messenger.BadRequest, `"ID" appears again at byte 10`},
		{"field twice with an escape", post("/v1/jobs", `{"id":"a","\u0069d":"b"}`), messenger.BadRequest, `"id" appears again`},
		{"unknown field", post("/v1/jobs", `{"teem":"a"}`), messenger.BadRequest, `unknown field "teem"`},
		{"data after the value", post("/v1/jobs", `{} {}`), messenger.BadRequest, "at byte"},
		{"invalid UTF-8", post("/v1/jobs", "{\"tasks\":[\"\xff\"]}"), messenger.BadRequest, "UTF-8 at byte 11"},
		{"number over the type", post("/v1/jobs", `{"deadlineMs":99999999999999999999}`), messenger.BadRequest, `"deadlineMs"`},
		{"exponent over the type", post("/v1/jobs", `{"declaredRunMs":1e999}`), messenger.BadRequest, `"declaredRunMs"`},
		{"fractional count", post("/v1/ids", `{"count":1.5}`), messenger.BadRequest, `"count"`},
		{"negative count", post("/v1/ids", `{"count":-1}`), messenger.BadRequest, "count: -1"},
		{"too many ids", post("/v1/ids", `{"count":1001}`), messenger.BadRequest, "count: 1001"},
		{"too many tasks", post("/v1/jobs", `{"tasks":[1,[2,2],{"a":3,"b":3},4]}`), messenger.TooLarge, "tasks: 4 elements"},
		{"long name", post("/v1/jobs", `{"team":"`+strings.Repeat("x", 257)+`"}`), messenger.BadRequest, "team: 257 bytes"},
		{"huge number as payload", post("/v1/jobs", `{"team":"a","service":"b","requestType":"c","tasks":[1e999999]}`), messenger.UnknownTeam, "\"a\""},
		{"foreign id", post("/v1/jobs", `{"id":"`+otherKeyID+`"}`), messenger.BadID, "id"},
		{"long id", post("/v1/jobs", `{"id":"`+strings.Repeat("~", 60000)+`"}`), messenger.BadID, "id"},
		{"id in the path too short", "GET /v1/jobs/x HTTP/1.1\r\nHost: e\r\n\r\n", messenger.BadID, "id"},
		{"id in the path too long", "GET /v1/jobs/" + strings.Repeat("x", 3000) + " HTTP/1.1\r\nHost: e\r\n\r\n", messenger.BadID, "id"},
		{"cut id", "DELETE /v1/jobs/" + valid[:len(valid)-1] + " HTTP/1.1\r\nHost: e\r\n\r\n", messenger.BadID, "id"},
		{"slash in the id", "GET /v1/jobs/a%2Fb HTTP/1.1\r\nHost: e\r\n\r\n", messenger.BadID, "id"},
		{"no id", "GET /v1/jobs/ HTTP/1.1\r\nHost: e\r\n\r\n", messenger.NotFound, "/v1/jobs/"},
		{"parent folder", "POST /v1/jobs/../ids HTTP/1.1\r\nHost: e\r\nContent-Length: 0\r\n\r\n", messenger.NotFound, "/v1/jobs/../ids"},
		{"escaped parent folder", "GET /v1/jobs/%2e%2e/%2e%2e/metrics HTTP/1.1\r\nHost: e\r\n\r\n", messenger.NotFound, "/metrics"},
		{"double slash", "GET //v1/jobs HTTP/1.1\r\nHost: e\r\n\r\n", messenger.NotFound, "//v1/jobs"},
		{"wait not a number", "GET /v1/jobs/" + valid + "?waitMs=x HTTP/1.1\r\nHost: e\r\n\r\n", messenger.BadRequest, "waitMs"},
		{"negative wait", "GET /v1/jobs/" + valid + "?waitMs=-1 HTTP/1.1\r\nHost: e\r\n\r\n", messenger.BadRequest, "waitMs"},
		{"body on a fetch", "GET /v1/jobs/" + valid + " HTTP/1.1\r\nHost: e\r\nContent-Length: 9\r\n\r\n", messenger.BadRequest, "no body"},
		{"unknown method", "BREW /v1/jobs HTTP/1.1\r\nHost: e\r\n\r\n", messenger.NotFound, "BREW /v1/jobs"},
		{"PUT", "PUT /v1/jobs HTTP/1.1\r\nHost: e\r\n\r\n", messenger.NotFound, "PUT"},
		{"OPTIONS", "OPTIONS /v1/jobs HTTP/1.1\r\nHost: e\r\n\r\n", messenger.NotFound, "OPTIONS"},
		{"OPTIONS of the server", "OPTIONS * HTTP/1.1\r\nHost: e\r\n\r\n", messenger.NotFound, "OPTIONS *"},
		{"CONNECT", "CONNECT 127.0.0.1:1 HTTP/1.1\r\nHost: 127.0.0.1:1\r\n\r\n", messenger.NotFound, "CONNECT"},
		{"peer path", post("/peer/v1/slots", "{}"), messenger.NotFound, "/peer/v1/slots"},
		{"peer submission", post("/peer/v1/jobs", "{}"), messenger.NotFound, "/peer/v1/jobs"},
		{"operator path", post("/operator/v1/drain", ""), messenger.NotFound, "/operator/v1/drain"},
		{"metrics", "GET /metrics HTTP/1.1\r\nHost: e\r\n\r\n", messenger.NotFound, "/metrics"},
		{"profile", "GET /debug/pprof/ HTTP/1.1\r\nHost: e\r\n\r\n", messenger.NotFound, "/debug/pprof"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := refusalCounts(t, e)
			conn := dial(t, e.callers)
			// The server may respond before it has read the whole request.
			go func() { _, _ = io.WriteString(conn, c.request) }()
			a := wantRefusal(t, conn, c.kind, c.message)
			if len(a.ID) > 256 || len(a.Error.Message) > 600 {
				t.Errorf("the answer repeats %d bytes of the request", len(a.ID)+len(a.Error.Message))
			}
			after := refusalCounts(t, e)
			if after[c.kind] != before[c.kind]+1 || sum(after) != sum(before)+1 {
				t.Errorf("the refusal counters went from %v to %v", before, after)
			}
			checkCallerServed(t, e)
		})
	}
	for name, request := range map[string]string{
		"huge header":       "GET /readyz HTTP/1.1\r\nHost: e\r\nX: " + strings.Repeat("x", 1<<20) + "\r\n\r\n",
		"garbage":           "\x16\x03\x01\x00\x00garbage\r\n\r\n",
		"pipelined garbage": post("/v1/ids", `{"count":1}`) + "garbage\r\n\r\n",
		"two lengths":       "POST /v1/ids HTTP/1.1\r\nHost: e\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}",
	} {
		t.Run(name+" closes the connection", func(t *testing.T) {
			conn := dial(t, e.callers)
			go func() { _, _ = io.WriteString(conn, request) }()
			wantClosed(t, conn)
			checkCallerServed(t, e)
		})
	}
	t.Run("HEAD has no body", func(t *testing.T) {
		conn := dial(t, e.callers)
		send(t, conn, "HEAD /v1/jobs/x HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n")
		data, err := io.ReadAll(conn)
		if err != nil || !strings.HasPrefix(string(data), "HTTP/1.1 400") || !strings.HasSuffix(string(data), "\r\n\r\n") {
			t.Fatalf("got %q, %v", data, err)
		}
	})
}
