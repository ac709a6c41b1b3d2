package relayer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/canceller"
	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/placer"
)

// ackLimit is the platform's limit for the answer to a cancelling.
const ackLimit = 4 * time.Second

// muteOwner is an owner of the workers that answers heartbeats only.
type muteOwner struct {
	address           string
	jobs, cancellings atomic.Int64
}

func (o *muteOwner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case strings.HasSuffix(req.URL.Path, "/beat"):
		view := elector.View{From: elector.Member{Address: o.address, CPU: 9}, Group: "all", Owner: o.address, ClaimedAtMs: 1}
		messenger.WriteJSON(w, http.StatusOK, map[string]any{"view": view})
		return
	case req.Method == http.MethodPost:
		o.jobs.Add(1)
	case req.Method == http.MethodDelete:
		o.cancellings.Add(1)
	}
	// The server notices a closed connection only once the body was read.
	_, _ = io.Copy(io.Discard, req.Body)
	<-req.Context().Done()
}

func startMuteOwner(t *testing.T) *muteOwner {
	t.Helper()
	o := &muteOwner{}
	server := httptest.NewServer(o)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	o.address = server.Listener.Addr().String()
	return o
}

// TestCancelAtEntryOfCaller guards against an entry that does not end a cancelled job
// of its own caller because the owner is silent.
func TestCancelAtEntryOfCaller(t *testing.T) {
	o := startMuteOwner(t)
	r := startEntry(t, 0, o.address)
	result := make(chan placer.Result, 1)
	go func() {
		result <- r.Submit(t.Context(), placer.Job{ID: "00000000000000aa", Queue: "q", Service: "router", Tasks: 1, RemainingMs: 20_000})
	}()
	for o.jobs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if got := r.Cancel(t.Context(), "00000000000000aa"); got != canceller.Cancelled {
		t.Errorf("outcome %d, want that the job was cancelled", got)
	}
	select {
	case got := <-result:
		if !got.Cancelled {
			t.Errorf("result %+v, want cancelled", got)
		}
	case <-time.After(ackLimit):
		t.Error("the job did not end")
	}
	for end := time.Now().Add(2 * time.Second); o.cancellings.Load() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the silent owner was told %d times, want more than once", o.cancellings.Load())
		}
	}
	if n := o.jobs.Load(); n != 1 {
		t.Errorf("the job was submitted %d times, want once", n)
	}
}

// TestCancelWithSilentOwner guards against the answer that there is no such job while
// the owner, which may know it, is silent, and against one that comes too late.
func TestCancelWithSilentOwner(t *testing.T) {
	r := startEntry(t, 0, startMuteOwner(t).address)
	began := time.Now()
	if got := r.Cancel(t.Context(), "00000000000000aa"); got != canceller.Undecided {
		t.Errorf("outcome %d, want undecided", got)
	}
	if took := time.Since(began); took >= ackLimit {
		t.Errorf("the outcome took %v, want less than %v", took, ackLimit)
	}
}
