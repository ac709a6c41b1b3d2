package relayer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/exporter"
	"github.com/godwitrelay/godwitrelay/entry/relayer"
)

// TestHeartbeatFromNewerVersion guards against entries that reject each other's
// heartbeats during a rolling upgrade to a version with additional fields.
func TestHeartbeatFromNewerVersion(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &relayer.Relayer{Self: elector.Member{Address: "10.0.0.1:7720"}, Metrics: exporter.New(), Log: log}
	r.Init(time.Now())
	for body, want := range map[string]int{
		`{"view":{"from":{"address":"10.0.0.2:7720","newNumber":7},"newText":"x"},"fence":3,"newList":[1]}`: http.StatusOK,
		`{"view":7}`: http.StatusBadRequest,
		`{`:          http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		r.PeerHandler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/peer/v1/beat", strings.NewReader(body)))
		if w.Code != want {
			t.Errorf("%s: status %d, want %d", body, w.Code, want)
		}
	}
}
