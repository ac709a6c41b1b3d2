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

// silentAsker never answers.
type silentAsker struct{}

func (silentAsker) Ask(context.Context, func(dispatcher.Waiter) dispatcher.Msg) (any, dispatcher.Waiter, error) {
	return nil, 1, errors.New("no reply")
}
func (silentAsker) Post(dispatcher.Msg) {}
func (silentAsker) Ready() bool         { return true }

// Guards against requests that the entry gave up without counting them.
func TestInternalIsCounted(t *testing.T) {
	metrics := exporter.New()
	l := &Listener{Runner: silentAsker{}, Metrics: metrics, MaxBodyBytes: 1000, MaxTasks: 1, BodyRead: time.Second, AnswerWrite: time.Second}
	answer := submitBody(t, l.Callers(), "/v1/jobs", `{"team":"a"}`)
	if answer.Error == nil || answer.Error.Kind != messenger.Internal || answer.Error.Ran != messenger.MayHaveRun {
		t.Fatalf("got %+v", answer)
	}
	w := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", http.NoBody))
	if line := `godwitrelay_refusals_total{kind="internal"} 1`; !strings.Contains(w.Body.String(), line) {
		t.Errorf("the metrics do not have %s", line)
	}
}
