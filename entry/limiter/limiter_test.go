package limiter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestStalledBodies guards against bodies that are held open just short of their end,
// or sent too slowly for any caller, and that keep out others; and against giving up
// those that make progress, or more than needed.
func TestStalledBodies(t *testing.T) {
	now := time.Unix(1000, 0)
	body := func(age, sinceProgress time.Duration) *Body {
		return &Body{beganAt: now.Add(-age), progressAt: now.Add(-sinceProgress), credit: 10}
	}
	trickling, stalledOne, fresh, stalledToo := body(3*time.Second, 0), body(time.Second, 400*time.Millisecond), body(time.Second, 0), body(500*time.Millisecond, 500*time.Millisecond)
	waiting, dropped := body(3*time.Second, time.Second), body(3*time.Second, time.Second)
	waitingToo := body(time.Second, 0)
	waiting.cancelWait, waitingToo.cancelWait, dropped.dropped = func() {}, func() {}, true
	all := []*Body{trickling, waiting, stalledOne, fresh, stalledToo}
	for _, c := range []struct {
		name   string
		bodies []*Body
		want   int64
		chosen []*Body
	}{
		{"nothing wanted", all, 0, nil},
		{"the oldest stalled one", all, 10, []*Body{stalledOne}},
		{"all stalled ones", all, 20, []*Body{stalledOne, stalledToo}},
		{"then those that are too slow", all, 100, []*Body{stalledOne, stalledToo, trickling}},
		{"one is given up already", append(all, dropped), 10, nil},
		{"all wait for each other", []*Body{waiting, waitingToo}, 10, []*Body{waitingToo}},
		{"one waits for others", []*Body{waiting}, 10, nil},
		{"one of those that wait is given up already", []*Body{waiting, waitingToo, dropped}, 20, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := stalled(now, c.bodies, c.want); !slices.Equal(got, c.chosen) {
				t.Errorf("got %v, want %v", got, c.chosen)
			}
		})
	}
}

// TestCrowdOfConnections guards against clients that open connections without end and
// send no complete request: they must close each other, not callers that are served
// or have been served since.
func TestCrowdOfConnections(t *testing.T) {
	p := &pool{limit: 4}
	now := time.Unix(1000, 0)
	add := func() (*conn, *conn) {
		now = now.Add(time.Millisecond)
		c := &conn{pool: p}
		return c, p.add(now, c)
	}
	served, _ := add()
	serving, _ := add()
	p.startServing(serving)
	p.startServing(served)
	oldest, _ := add()
	p.endServing(now, served)
	_, surplus := add()
	expect := func(name string, got, want *conn) {
		t.Helper()
		if got != want {
			t.Errorf("%s: closed %p, want %p", name, got, want)
		}
	}
	expect("below the limit", surplus, nil)
	_, surplus = add()
	expect("without a request for the longest", surplus, oldest)
	_, surplus = add()
	expect("answered before the others came", surplus, served)
	if p.startServing(oldest) {
		t.Error("the request of a closed connection is served")
	}
	for e := p.waiting.Front(); e != nil; e = e.Next() {
		p.startServing(e.Value.(*conn))
	}
	c, surplus := add()
	expect("all are being served", surplus, c)
	served, serving = p.waiting.Front().Value.(*conn), p.waiting.Back().Value.(*conn)
	serving.writesSince.Store(now.Add(-stalledAfter).UnixNano())
	served.writesSince.Store(now.UnixNano())
	if n := p.unanswered(now); n != p.limit-1 {
		t.Errorf("%d requests are to be answered, want all but the unread one of %d", n, p.limit)
	}
	_, surplus = add()
	expect("the answer is not read", surplus, serving)
}

// TestPlaces guards against jobs of a low priority that hold all connections, and against
// refused callers that return when there is no place: all at once, or much too early.
func TestPlaces(t *testing.T) {
	p := &Places{Limit: 64}
	var ends []time.Time
	take := func(now time.Time, rank int) bool {
		for ; len(ends) > 0 && !ends[0].After(now); ends = ends[1:] {
			p.End(ends[0])
		}
		if !p.Take(rank) {
			return false
		}
		ends = append(ends, now.Add(2*time.Second))
		return true
	}
	for rank, want := range []int{64, 48, 36, 27, 27} {
		if got := placesFor(p.Limit, rank); got != want {
			t.Errorf("rank %d: up to %d places, want %d", rank, got, want)
		}
	}
	start := time.Unix(1000, 0)
	returns := map[string]time.Time{}
	for i := range 500 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if id := fmt.Sprint(i); !take(now, 1) {
			returns[id] = now.Add(p.RetryAfter(now, id, 1))
		}
	}
	if now := start.Add(5 * time.Second); p.taken != 48 || !take(now, 0) {
		t.Errorf("%d places are taken, want 48 and one for an urgent job", p.taken)
	}
	order := slices.SortedFunc(maps.Values(returns), time.Time.Compare)
	found := 0
	for _, at := range order {
		// Those that return earlier do so beside the crowd.
		if !at.Before(start.Add(5*time.Second)) && take(at, 1) {
			found++
		}
	}
	if len(order) < 100 || found < len(order)/2 {
		t.Errorf("%d of %d refused callers found a place when they returned", found, len(order))
	}
}

// TestReplies guards against replies that never end, or large ones from many workers at
// once, that fill the memory; and against refusing an ordinary one beside them.
func TestReplies(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for n := len(r.URL.Path); ; n++ {
			if _, err := io.WriteString(w, strings.Repeat("x", 1000)); err != nil || r.URL.Path != "/endless" {
				return
			}
		}
	}))
	defer server.Close()
	transport := NewReplyTransport(&http.Transport{}, Share{BodyBytes: 1 << 20})
	get := func(path string) *http.Response {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+path, http.NoBody)
		resp, err := transport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	total := 0
	for range 4 {
		resp := get("/endless")
		data, err := io.ReadAll(resp.Body)
		if total += len(data); !errors.Is(err, ErrReplyLimit) {
			t.Errorf("%d bytes of an endless reply, %v", len(data), err)
		}
		defer resp.Body.Close()
	}
	if total > 1<<20/copies+4*pieceBytes {
		t.Errorf("replies hold %d bytes", total)
	}
	resp := get("/ordinary")
	defer resp.Body.Close()
	if data, err := io.ReadAll(resp.Body); err != nil || len(data) != 1000 {
		t.Errorf("ordinary reply: %d bytes, %v", len(data), err)
	}
}

// TestUnfinishedHeads guards against heads that stop short of their end, each within
// its limit, and that fill the memory or keep out others.
func TestUnfinishedHeads(t *testing.T) {
	closed := 0
	p := &pool{limit: 10, headLimit: 100, report: func(time.Time, string) { closed++ }}
	now := time.Unix(1000, 0)
	old, young, own := &conn{pool: p, TCPConn: &net.TCPConn{}}, &conn{pool: p}, &conn{pool: p}
	p.add(now, old)
	fits := p.countHead(now, old, 60)
	now = now.Add(stalledAfter)
	p.add(now, young)
	p.add(now, own)
	if !fits || !p.countHead(now, young, 60) || closed != 1 || old.element != nil {
		t.Errorf("an old unfinished head is not closed for a new one")
	}
	if p.countHead(now, own, 60) || young.element == nil {
		t.Error("a head beyond the limit is accepted, or a young one closed for it")
	}
	p.headParsed(young, 0, http.Header{})
	if p.endServing(now, young); p.heads != 0 {
		t.Errorf("%d bytes of heads are counted after their end", p.heads)
	}
}

// TestPlan guards against limits that together exceed the memory or the descriptors of
// a VM, or that keep out a single body or the callers of a deployment, of which an
// entry has some hundred connections.
func TestPlan(t *testing.T) {
	for _, vm := range []struct{ memoryMB, maxFds int }{{144, 3075}, {144, 0}, {300, 6000}, {536, 10250}, {0, 0}} {
		p := NewPlan(vm.memoryMB, vm.maxFds)
		shares := []Share{p.Callers, p.Peers, p.Ready, p.Metrics, p.WorkerReplies, p.PeerReplies, p.StoreReplies}
		memory, conns := int64(0), 0
		for _, s := range shares {
			memory += s.HeadBytes + s.BodyBytes + int64(s.Connections)*peerConnBytes
			conns += s.Connections
		}
		if vm.memoryMB > 0 && memory > int64(vm.memoryMB)<<20 || vm.maxFds > 0 && conns > vm.maxFds-reservedFds {
			t.Errorf("%+v: %d bytes and %d connections", vm, memory, conns)
		}
		if p.Callers.BodyBytes < copies*256<<10 || p.Peers.BodyBytes < copies*4<<20 || p.Callers.Connections < 500 || p.Peers.Connections < 500 {
			t.Errorf("%+v: %+v", vm, p)
		}
	}
}

// TestReporter guards against an attack that fills the log.
func TestReporter(t *testing.T) {
	var r Reporter
	lines, events := 0, int64(0)
	for ms := range 60_000 {
		if n := r.Report(time.UnixMilli(int64(ms)), "k", 2); n > 0 {
			lines, events = lines+1, events+n
		}
	}
	if lines > 24 || events < 55_000 {
		t.Errorf("%d lines for %d events", lines, events)
	}
}

// serveFor starts a server with the given budget for bodies that reads each body and
// answers with the number of its bytes.
func serveFor(t *testing.T, budget int64, limits *atomic.Pointer[Limits]) string {
	s := &Server{
		Addr: "127.0.0.1:0", Connections: 16, HeadBytes: 1 << 20, Bodies: NewBudget(budget), Limits: func() Limits { return *limits.Load() },
		Report: func(time.Time, string) {},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if _, ok := c.(syscall.Conn); !ok {
				t.Error("messenger.ClientGone can't see whether the client has gone")
			}
			return ctx
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			switch {
			case r.URL.Path == "/unread":
			case errors.Is(err, ErrNoCredit):
				w.WriteHeader(http.StatusServiceUnavailable)
			case err != nil:
				w.WriteHeader(http.StatusBadRequest)
			}
			_, _ = fmt.Fprint(w, len(body))
		}),
	}
	ln, err := s.Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String()
}

// TestServer guards against limits that refuse a single legal request or let others
// through, and that do not follow the configuration.
func TestServer(t *testing.T) {
	const size = 256 << 10
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{IdleTime: 200 * time.Millisecond})
	address := serveFor(t, 2*size, &limits)
	dial := func(t *testing.T) net.Conn {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	send := func(c net.Conn, field string, body string) {
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: e\r\n%s\r\n\r\n%s", field, body)
	}
	length := fmt.Sprintf("Content-Length: %d", size)
	status := func(t *testing.T, c net.Conn) int {
		t.Helper()
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	expect := func(t *testing.T, c net.Conn, want int) {
		t.Helper()
		if got := status(t, c); got != want {
			t.Errorf("status %d, want %d", got, want)
		}
	}
	t.Run("slow body of full size", func(t *testing.T) {
		c := dial(t)
		send(c, length, "")
		for range 32 {
			_, _ = io.WriteString(c, strings.Repeat("x", size/32))
			time.Sleep(20 * time.Millisecond)
		}
		expect(t, c, http.StatusOK)
	})
	t.Run("body without progress", func(t *testing.T) {
		c := dial(t)
		send(c, length, "x")
		expect(t, c, http.StatusBadRequest)
	})
	t.Run("body without progress behind empty lines", func(t *testing.T) {
		// The part of the head that follows the empty lines must not pass for the body.
		c := dial(t)
		send(c, "Content-Length: 1", "x")
		expect(t, c, http.StatusOK)
		_, _ = io.WriteString(c, "\r\n\r\n")
		send(c, "Content-Length: 20", "x")
		expect(t, c, http.StatusBadRequest)
	})
	limits.Store(&Limits{HeaderBytes: 64 << 10, IdleTime: time.Minute})
	t.Run("larger heads", func(t *testing.T) {
		c := dial(t)
		send(c, "Content-Length: 0\r\nX-Filler: "+strings.Repeat("x", 40<<10), "")
		expect(t, c, http.StatusOK)
	})
	t.Run("bodies that stop short", func(t *testing.T) {
		for range 3 {
			send(dial(t), length, strings.Repeat("x", size-1))
		}
		// Refused at first, perhaps, as the others may have come just before.
		for got, end := 0, time.Now().Add(10*time.Second); got != http.StatusOK; {
			c := dial(t)
			send(c, length, strings.Repeat("x", size))
			if got = status(t, c); got != http.StatusOK && (got != http.StatusServiceUnavailable || time.Now().After(end)) {
				t.Fatalf("status %d, want 200", got)
			}
		}
		small := dial(t)
		send(small, "Content-Length: 4000", strings.Repeat("x", 4000))
		expect(t, small, http.StatusOK)
	})
	limits.Store(&Limits{})
	t.Run("smaller heads", func(t *testing.T) {
		c := dial(t)
		send(c, "Content-Length: 0\r\nX-Filler: "+strings.Repeat("x", 40<<10), "")
		expect(t, c, http.StatusRequestHeaderFieldsTooLarge)
	})
}

// TestSmallBodyBesideFullBudget guards against large bodies that keep out ordinary
// ones, and against waiting without bound.
func TestSmallBodyBesideFullBudget(t *testing.T) {
	budget := NewBudget(100)
	budget.credit.TryAcquire(100)
	for size, want := range map[int]error{pieceBytes: nil, pieceBytes + 1: ErrNoCredit} {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
		body := NewBody(time.Now(), httptest.NewRecorder(), r, budget)
		if _, err := io.ReadAll(body); !errors.Is(err, want) {
			t.Errorf("%d bytes: %v, want %v", size, err, want)
		}
	}
}

// TestShutdown guards against a planned stop that cuts off a request that is being
// served, under the present limits or earlier ones, or that never ends.
func TestShutdown(t *testing.T) {
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{})
	began, end := make(chan struct{}, 2), make(chan struct{})
	s := &Server{
		Addr: "127.0.0.1:0", Connections: 4, HeadBytes: 1 << 20, Bodies: NewBudget(1 << 20), Limits: func() Limits { return *limits.Load() },
		Report: func(time.Time, string) {},
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			began <- struct{}{}
			<-end
		}),
	}
	ln, err := s.Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	served, stopped, answers := make(chan error, 1), make(chan error, 1), make(chan error, 2)
	go func() { served <- s.Serve(ln) }()
	for i := range 2 {
		limits.Store(&Limits{IdleTime: time.Duration(i+1) * time.Minute})
		go func() {
			req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+ln.Addr().String(), strings.NewReader("x"))
			resp, err := (&http.Transport{}).RoundTrip(req)
			if err == nil {
				err = resp.Body.Close()
			}
			answers <- err
		}()
		<-began
	}
	go func() { stopped <- s.Shutdown(t.Context()) }()
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("serving ended with %v", err)
	}
	close(end)
	for _, ch := range []chan error{answers, answers, stopped} {
		if err := <-ch; err != nil {
			t.Error(err)
		}
	}
}
