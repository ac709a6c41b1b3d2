// Package listener serves the stand-in platform over HTTP. Decisions are in
// package keeper; this package holds its lock and carries out delays, lost
// replies and outages.
package listener

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/godwitrelay/godwitrelay/core/loader"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/standin/platform/keeper"
)

// maxBodyBytes bounds every body but a log record.
const maxBodyBytes = 64 << 10

// Listener is the HTTP side of a platform. Make one with [New].
type Listener struct {
	// stopping ends requests that a delay or an outage holds.
	stopping context.Context

	mu    sync.Mutex
	state *keeper.State
}

// New returns a listener over state. Requests that are held end with stopping.
func New(stopping context.Context, state *keeper.State) *Listener {
	return &Listener{stopping: stopping, state: state}
}

// Handler returns the endpoints.
func (l *Listener) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log/{stream}", l.append)
	mux.HandleFunc("GET /v1/log/{stream}", l.page)
	mux.HandleFunc("GET /v1/vms", l.vms)
	mux.HandleFunc("POST /v1/leases", l.lease)
	mux.HandleFunc("POST /v1/usage", l.report)
	mux.HandleFunc("GET /v1/usage", l.totals)
	mux.HandleFunc("POST /control", l.change)
	mux.HandleFunc("GET /control", l.condition)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, messenger.NewError(messenger.NotFound, ""))
	})
	return mux
}

func (l *Listener) append(w http.ResponseWriter, r *http.Request) {
	stream, err := streamName(r)
	if err != nil {
		refuse(w, err)
		return
	}
	value, err := readRecord(r, l.maxRecordBytes())
	if err != nil {
		refuse(w, err)
		return
	}
	if !l.admit(w, r, keeper.LogPart) {
		return
	}
	// An append takes effect after its delay even if the client has gone, as
	// with a store that is slow to write.
	l.wait(l.appendDelay())
	l.mu.Lock()
	offset, lose, err := l.state.Append(time.Now(), stream, value)
	l.mu.Unlock()
	switch {
	case lose:
		// The server closes the connection without a reply and without a log line.
		panic(http.ErrAbortHandler)
	case err != nil && err.Kind == messenger.Overloaded:
		messenger.Reply(w, http.StatusTooManyRequests, err)
	case err != nil:
		refuse(w, err)
	default:
		messenger.Reply(w, http.StatusOK, messenger.AppendReply{Offset: offset})
	}
}

func (l *Listener) page(w http.ResponseWriter, r *http.Request) {
	stream, err := streamName(r)
	if err != nil {
		refuse(w, err)
		return
	}
	from, errFrom := queryNumber(r, "from")
	limit, errLimit := queryNumber(r, "limit")
	if errFrom != nil || errLimit != nil {
		refuse(w, messenger.NewError(messenger.BadRequest, "from and limit must be integers of at least 0"))
		return
	}
	if !l.admit(w, r, keeper.LogPart) {
		return
	}
	l.wait(l.readDelay())
	l.mu.Lock()
	page := l.state.Page(time.Now(), stream, from, int(min(limit, 1<<30)))
	l.mu.Unlock()
	messenger.Reply(w, http.StatusOK, page)
}

func (l *Listener) vms(w http.ResponseWriter, r *http.Request) {
	if !l.admit(w, r, keeper.VMsPart) {
		return
	}
	l.mu.Lock()
	list := l.state.VMs(time.Now())
	l.mu.Unlock()
	messenger.Reply(w, http.StatusOK, list)
}

func (l *Listener) lease(w http.ResponseWriter, r *http.Request) {
	var in messenger.LeaseRequest
	if err := messenger.Decode(r.Body, maxBodyBytes, &in); err != nil {
		refuse(w, err)
		return
	}
	if !l.admit(w, r, keeper.LeasesPart) {
		return
	}
	l.mu.Lock()
	out, err := l.state.Lease(time.Now(), in)
	l.mu.Unlock()
	if err != nil {
		refuse(w, err)
		return
	}
	messenger.Reply(w, http.StatusOK, out)
}

func (l *Listener) report(w http.ResponseWriter, r *http.Request) {
	var in messenger.UsageReport
	if err := messenger.Decode(r.Body, maxBodyBytes, &in); err != nil {
		refuse(w, err)
		return
	}
	if !l.admit(w, r, keeper.UsagePart) {
		return
	}
	l.mu.Lock()
	err := l.state.Report(time.Now(), in)
	l.mu.Unlock()
	if err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *Listener) totals(w http.ResponseWriter, r *http.Request) {
	if !l.admit(w, r, keeper.UsagePart) {
		return
	}
	l.mu.Lock()
	totals := l.state.Totals(time.Now())
	l.mu.Unlock()
	messenger.Reply(w, http.StatusOK, totals)
}

func (l *Listener) change(w http.ResponseWriter, r *http.Request) {
	var in keeper.Change
	if err := messenger.Decode(r.Body, maxBodyBytes, &in); err != nil {
		refuse(w, err)
		return
	}
	l.mu.Lock()
	now := time.Now()
	err := l.state.Control(now, in)
	out := l.state.Condition(now)
	l.mu.Unlock()
	if err != nil {
		refuse(w, messenger.NewError(messenger.BadRequest, err.Error()))
		return
	}
	messenger.Reply(w, http.StatusOK, out)
}

func (l *Listener) condition(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	out := l.state.Condition(time.Now())
	l.mu.Unlock()
	messenger.Reply(w, http.StatusOK, out)
}

// admit answers the request if the part has an outage, and reports whether the
// request goes on. The body must have been read before: only then does the
// server notice that the client has gone.
func (l *Listener) admit(w http.ResponseWriter, r *http.Request, part keeper.Part) bool {
	l.mu.Lock()
	outage := l.state.Admit(part)
	l.mu.Unlock()
	switch outage {
	case keeper.Refuse:
		refuse(w, messenger.NewError(messenger.NotReady, "the part "+string(part)+" of the platform has an outage"))
		return false
	case keeper.Hang:
		select {
		case <-r.Context().Done():
		case <-l.stopping.Done():
		}
		panic(http.ErrAbortHandler)
	default:
		return true
	}
}

func (l *Listener) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.stopping.Done():
	}
}

func (l *Listener) appendDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.AppendDelay()
}

func (l *Listener) readDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.ReadDelay()
}

func (l *Listener) maxRecordBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.MaxRecordBytes()
}

func streamName(r *http.Request) (string, *messenger.Error) {
	var f loader.Faults
	name := r.PathValue("stream")
	f.Name("stream", name)
	if err := f.Err(); err != nil {
		return "", messenger.NewError(messenger.BadRequest, err.Error())
	}
	return name, nil
}

func queryNumber(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err == nil && n < 0 {
		err = strconv.ErrRange
	}
	return n, err
}

func refuse(w http.ResponseWriter, e *messenger.Error) { messenger.Reply(w, e.Status(), e) }
