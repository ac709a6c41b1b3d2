package listener

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/dispatcher"
	"github.com/godwitrelay/godwitrelay/entry/exporter"
)

// unresponsiveLoop never replies.
type unresponsiveLoop struct{}

func (unresponsiveLoop) Request(context.Context, func(dispatcher.Waiter) dispatcher.Msg) (any, dispatcher.Waiter, error) {
	return nil, 1, errors.New("no reply")
}
func (unresponsiveLoop) Post(dispatcher.Msg) {}
func (unresponsiveLoop) Ready() bool         { return true }

// TestRequestsThatHoldAllPlaces guards against requests that wait for results and keep out
// others, and against a refusal that says that the work did not run: the id may have run.
func TestRequestsThatHoldAllPlaces(t *testing.T) {
	l := &Listener{Runner: unresponsiveLoop{}, Metrics: exporter.New(), MaxBodyBytes: 1000, MaxPeerBodyBytes: 1000, MaxTasks: 1, BodyReadTimeout: time.Second}
	l.CallerPlaces.Limit = 1
	l.CallerPlaces.Take(submissionRank)
	answer := submitBody(t, l.Callers(), "/v1/jobs", `{"team":"a"}`)
	if e := answer.Error; e == nil || e.Kind != messenger.Overloaded || e.Ran != messenger.MayHaveRun || e.RetryAfterMs < 1000 {
		t.Errorf("without a place: got %+v", answer.Error)
	}
	if answer = submitBody(t, l.Peers(), "/peer/v1/jobs", `{"team":"a"}`); answer.Error == nil || answer.Error.Kind != messenger.Internal {
		t.Errorf("from another entry, which has its own places: got %+v", answer.Error)
	}
}

// TestInternalErrorsAreCounted guards against requests that fail without a
// reply from the event loop and are not counted as refusals.
func TestInternalErrorsAreCounted(t *testing.T) {
	metrics := exporter.New()
	l := &Listener{Runner: unresponsiveLoop{}, Metrics: metrics, MaxBodyBytes: 1000, MaxTasks: 1, BodyReadTimeout: time.Second}
	answer := submitBody(t, l.Callers(), "/v1/jobs", `{"team":"a"}`)
	if answer.Error == nil || answer.Error.Kind != messenger.Internal || answer.Error.Ran != messenger.MayHaveRun {
		t.Fatalf("got %+v", answer)
	}
	w := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", http.NoBody))
	if line := `godwitrelay_refusals_total{kind="internal"} 1`; !strings.Contains(w.Body.String(), line) {
		t.Errorf("the metrics do not contain %s", line)
	}
}
