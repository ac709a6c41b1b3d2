package relayer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/exporter"
	"github.com/godwitrelay/godwitrelay/entry/relayer"
)

// startEntry starts an entry with the given CPU and waits until it is ready. Without
// seeds it knows no other entries and becomes the owner.
func startEntry(t testing.TB, cpu int64, seeds ...string) *relayer.Relayer {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &relayer.Relayer{
		Self: elector.Member{Address: "127.0.0.1:1", FailureDomain: "patan", Incarnation: 1, CPU: cpu}, Seeds: seeds,
		Workers: silentWorkers{}, Store: fixedStore{}, Peers: messenger.Client{Transport: relayer.NewTransport(4, time.Second, nil)},
		Metrics: exporter.New(), Log: log,
	}
	r.Init(time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.Run(ctx)
	for end := time.Now().Add(5 * time.Second); !r.Ready(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the entry found no owner")
		}
	}
	return r
}

// checkAlive checks that the event loop of an entry still handles messages.
func checkAlive(t *testing.T, r *relayer.Relayer) {
	t.Helper()
	w := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.PeerHandler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodDelete, "/peer/v1/jobs/0000000000000000", nil))
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the event loop no longer handles messages")
	}
	if w.Code != http.StatusOK {
		t.Errorf("status %d", w.Code)
	}
}

// FuzzPeerMessages guards against a message from another entry that ends the
// process or blocks its event loop.
func FuzzPeerMessages(f *testing.F) {
	const job = `"id":"00000000000000aa","queue":"q","service":"router","remainingMs":1`
	for _, body := range []string{
		`{"entry":"a","job":{` + job + `,"tasks":-1}}`,
		`{"entry":"a","job":{` + job + `,"tasks":1000000000000}}`,
		`{"entry":"a","job":{` + job + `,"tasks":2,"room":{"cpu":-9223372036854775808,"mem":-1}}}`,
		`{"entry":"a","job":{` + job + `,"tasks":2,"estimateMs":9223372036854775807,"stretch":1e308,"targetLatencyMs":-9223372036854775808}}`,
		`{"entry":"a","job":{` + job + `,"tasks":2},"placements":[{"task":-1},{"task":9},{"task":0,"number":-7,"done":true}]}`,
		`{"view":{"from":{"address":"10.0.0.2:7720","failureDomain":"patan","cpu":-5},"owner":"10.0.0.2:7720","term":-1,"members":["",":","x"]},"layout":{"parts":-1,"known":true},"leastCapacity":-9}`,
		`{"view":{"from":{"address":"10.0.0.2:7720","failureDomain":"patan"},"owner":"10.0.0.2:7720","term":1},"layout":{"parts":3000000000,"known":true},"leastCapacity":1,"fence":9223372036854775807}`,
		`{"view":{"from":{"address":"127.0.0.1:1"},"term":1,"owner":"127.0.0.1:1"},"configVersion":9223372036854775807}`,
		`null`, `[]`, `{`, ``, `{"view":null}`, `{"job":null}`, `"\ud800"`,
	} {
		f.Add("/peer/v1/jobs", body)
		f.Add("/peer/v1/beat", body)
		f.Add("/peer/v1/cancellings", body)
	}
	f.Add("/peer/v1/cancellings", `[{"jobId":"","ageMs":-9223372036854775808},{"jobId":"a","ageMs":9223372036854775807},{"jobId":"a"},{}]`)
	f.Add("/peer/v1/workers?author=-1&version=x", "")
	r := startEntry(f, 400)
	f.Fuzz(func(t *testing.T, path, body string) {
		method := http.MethodPost
		if body == "" {
			method = http.MethodGet
		}
		req, err := http.NewRequestWithContext(t.Context(), method, "http://127.0.0.1"+path, strings.NewReader(body))
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(req.Context(), 200*time.Millisecond)
		defer cancel()
		r.PeerHandler().ServeHTTP(httptest.NewRecorder(), req.WithContext(ctx))
		checkAlive(t, r)
	})
}
