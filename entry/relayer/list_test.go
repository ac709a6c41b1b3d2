package relayer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/exporter"
	"github.com/godwitrelay/godwitrelay/entry/placer"
)

// rejectingStore rejects every request.
type rejectingStore struct{ Store }

func (rejectingStore) Workers(context.Context) ([]placer.Worker, error) {
	return nil, errors.New("rejected")
}

// TestOddWorkersOfOtherEntries guards against an odd worker being taken over from an
// entry of a release that accepted it, or hiding the workers beside it, whether the
// owner or an entry that reads the store for this one sends it.
func TestOddWorkersOfOtherEntries(t *testing.T) {
	const list = `[{"id":"a","address":"10.0.0.1:9000","failureDomain":"d","service":"s","room":{"cpu":64000,"mem":1}},
		{"id":"port","address":"10.0.0.1:99999","failureDomain":"d","service":"s","room":{"cpu":64000,"mem":1}},
		{"id":"endless","address":"10.0.0.2:9000","failureDomain":"d","service":"s","room":{"cpu":9223372036854775807,"mem":1}},
		{"id":"b","address":"10.0.0.3:9000","failureDomain":"d","service":"s","room":{"cpu":64000,"mem":1}}]`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.HasSuffix(req.URL.Path, "/stored/workers") {
			_, _ = w.Write([]byte(list))
			return
		}
		_, _ = w.Write([]byte(`{"author":7,"version":3,"digest":9,"full":true,"workers":` + list + `}`))
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	var log strings.Builder
	r := &Relayer{
		Self: elector.Member{Address: "10.0.0.9:7720", FailureDomain: "d"}, Store: rejectingStore{},
		Peers: messenger.Client{Transport: http.DefaultTransport}, Metrics: exporter.New(), Log: logrus.New(),
	}
	r.Log.SetOutput(&log)
	check := func(t *testing.T, workers []placer.Worker) {
		t.Helper()
		if len(workers) != 2 || workers[0].ID != "a" || workers[1].ID != "b" {
			t.Errorf("got %+v, want the workers a and b", workers)
		}
		for _, id := range []string{"port", "endless"} {
			if strings.Count(log.String(), "worker="+id) != 1 {
				t.Errorf("worker %q is not logged once: %s", id, log.String())
			}
		}
		log.Reset()
	}
	r.Init(time.Now())
	t.Run("from an entry that reads the store", func(t *testing.T) {
		r.storeProxy = address
		check(t, r.readWorkersThroughProxy())
	})
	t.Run("from the owner", func(t *testing.T) {
		r.ownership.Store(&ownership{address: address, changed: make(chan struct{})})
		r.fetchNewer(address, heartbeat{View: elector.View{Group: r.groups.current().Name()}, WorkersVersion: 3, WorkersAuthor: 7, WorkersDigest: 9})
		check(t, r.workerList.Load().Workers)
	})
}
