package listener_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/standin/platform/keeper"
	"github.com/godwitrelay/godwitrelay/standin/platform/listener"
)

type client struct {
	t   *testing.T
	url string
}

func newClient(t *testing.T) client {
	t.Helper()
	s := keeper.DefaultSettings()
	s.ListLagMs, s.UsageLagMs, s.UsageShuffleMs = 0, 0, 0
	ctx, cancel := context.WithCancel(context.Background())
	server := httptest.NewServer(listener.New(ctx, keeper.New(s)).Handler())
	t.Cleanup(func() {
		cancel()
		server.Close()
	})
	return client{t: t, url: server.URL}
}

func (c client) call(method, path string, in, out any) (int, error) {
	return messenger.Client{}.Call(c.t.Context(), method, c.url+path, in, out)
}

func (c client) want(status int, method, path string, in, out any) {
	c.t.Helper()
	got, err := c.call(method, path, in, out)
	if err != nil || got != status {
		c.t.Fatalf("%s %s: got %d, %v; want %d", method, path, got, err, status)
	}
}

func TestEndpoints(t *testing.T) {
	c := newClient(t)
	vm := messenger.VM{Role: messenger.EntryVM, Address: "127.0.0.1:7100", FailureDomain: "patan"}
	var appended messenger.AppendReply
	c.want(200, http.MethodPost, "/v1/log/config", map[string]int{"a": 1}, &appended)
	var page messenger.LogPage
	c.want(200, http.MethodGet, "/v1/log/config?from=0&limit=10", nil, &page)
	if len(page.Records) != 1 || string(page.Records[0].Value) != `{"a":1}` {
		t.Fatalf("got page %+v", page)
	}
	c.want(400, http.MethodGet, "/v1/log/config?from=-1", nil, nil)
	c.want(400, http.MethodPost, "/v1/log/a%20b", 1, nil)
	c.want(200, http.MethodPost, "/v1/leases", messenger.LeaseRequest{VM: vm, TTLMs: 1000}, nil)
	var list messenger.VMList
	c.want(200, http.MethodGet, "/v1/vms", nil, &list)
	if len(list.VMs) != 1 || list.VMs[0] != vm {
		t.Fatalf("got VM list %+v", list)
	}
	c.want(204, http.MethodPost, "/v1/usage", messenger.UsageReport{ID: "a", Service: "orders", SlotMs: 3}, nil)
	var totals messenger.UsageTotals
	c.want(200, http.MethodGet, "/v1/usage", nil, &totals)
	if totals.SlotMs["orders"] != 3 {
		t.Fatalf("got totals %+v", totals)
	}
	c.want(404, http.MethodGet, "/v1/nothing", nil, nil)
}

func TestAppendLimitAnswers429(t *testing.T) {
	c := newClient(t)
	one := int64(1)
	c.want(200, http.MethodPost, "/control", keeper.ControlRequest{AppendsPerSecond: &one}, nil)
	c.want(200, http.MethodPost, "/v1/log/config", 1, nil)
	c.want(429, http.MethodPost, "/v1/log/config", 2, nil)
}

func TestOutageRefuses(t *testing.T) {
	c := newClient(t)
	c.want(200, http.MethodPost, "/control", keeper.ControlRequest{Outage: map[keeper.Component]keeper.Outage{keeper.UsageComponent: keeper.Refuse}}, nil)
	c.want(503, http.MethodGet, "/v1/usage", nil, nil)
	c.want(200, http.MethodGet, "/v1/vms", nil, nil)
}

// TestLostReplyClosesTheConnectionAfterTheAppend guards against a lost reply
// that the client reports as messenger.ErrNotSent although the record is in the
// log: the caller would believe that nothing was written.
func TestLostReplyClosesTheConnectionAfterTheAppend(t *testing.T) {
	c := newClient(t)
	one := int64(1)
	c.want(200, http.MethodPost, "/control", keeper.ControlRequest{LoseReplies: &one}, nil)
	if _, err := c.call(http.MethodPost, "/v1/log/config", 1, nil); err == nil || errors.Is(err, messenger.ErrNotSent) {
		t.Fatalf("got %v, want a broken connection", err)
	}
	var page messenger.LogPage
	c.want(200, http.MethodGet, "/v1/log/config", nil, &page)
	if page.Next != 1 {
		t.Fatalf("got next offset %d, want 1", page.Next)
	}
}

// TestHangNeverAnswers guards against a hanging component that still responds,
// which would hide a client that has no timeout of its own.
func TestHangNeverAnswers(t *testing.T) {
	c := newClient(t)
	c.want(200, http.MethodPost, "/control", keeper.ControlRequest{Outage: map[keeper.Component]keeper.Outage{keeper.VMsComponent: keeper.Hang}}, nil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := messenger.Client{}.Call(ctx, http.MethodGet, c.url+"/v1/vms", nil, nil)
		done <- err
	}()
	var state keeper.ControlStatus
	for state.Counters.Hung == 0 {
		c.want(200, http.MethodGet, "/control", nil, &state)
	}
	select {
	case err := <-done:
		t.Fatalf("the request was answered: %v", err)
	default:
	}
	cancel()
	if err := <-done; err == nil {
		t.Fatal("got no error after cancellation")
	}
}
