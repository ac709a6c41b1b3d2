package relayer_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/entry/router"
)

// TestOwnerLearnsVersionOfJob guards against an owner that starts a job of a
// configuration that it does not have: workers see the effect of the new version,
// while the owner's own callers are still answered by the old one.
func TestOwnerLearnsVersionOfJob(t *testing.T) {
	for name, c := range map[string]struct {
		fetchable bool
		want      int64
	}{
		"the entry has the newer version":    {true, 2},
		"the newer version can't be fetched": {false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if !c.fetchable || req.URL.Path != "/peer/v1/configuration" {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				messenger.WriteJSON(w, http.StatusOK, router.Configuration{Version: 2})
			}))
			t.Cleanup(entry.Close)
			r := startEntry(t, 0)
			job := placer.Job{ID: "00000000000000aa", Queue: "q", Service: "router", Tasks: 1, RemainingMs: 400, ConfigVersion: 2}
			body, err := json.Marshal(map[string]any{"entry": entry.Listener.Addr().String(), "job": job})
			if err != nil {
				t.Fatal(err)
			}
			w := httptest.NewRecorder()
			r.PeerHandler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/peer/v1/jobs", bytes.NewReader(body)))
			var result placer.Result
			if err := json.Unmarshal(w.Body.Bytes(), &result); err != nil {
				t.Fatal(err)
			}
			if got := r.Configuration().Version; got != c.want {
				t.Errorf("the owner has version %d when the job ends, want %d", got, c.want)
			}
			if result.Err == nil || (result.Err.Kind == messenger.NoTarget && result.Err.Message == "the owner lacks the configuration of the job") == c.fetchable {
				t.Errorf("result %+v", result.Err)
			}
		})
	}
}
