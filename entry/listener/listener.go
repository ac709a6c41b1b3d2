// Package listener serves an entry's three HTTP interfaces: for callers, for
// other entries and for operators. Each has a server of its own, so that none
// can be crowded out by another.
package listener

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/godwitrelay/godwitrelay/core/identifier"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/dispatcher"
	"github.com/godwitrelay/godwitrelay/entry/exporter"
)

const (
	// maxPeerBytes bounds messages between entries: a registration of some
	// 100,000 waiting tasks.
	maxPeerBytes = 64 << 20
	// maxWait bounds how long a fetch may wait.
	maxWait = 10 * time.Minute
	// writeTimeout bounds the time in which a caller must take its answer.
	writeTimeout = 30 * time.Second
	// fetchSlack is added to a fetch's wait: the time for the reducer, or for
	// the owner of the id, to answer.
	fetchSlack = time.Second
	// controlWait bounds requests that the reducer answers at once.
	controlWait = 5 * time.Second
)

// asker is the part of the runner that the listeners use.
type asker interface {
	Ask(ctx context.Context, build func(dispatcher.Waiter) dispatcher.Msg) (any, dispatcher.Waiter, error)
	Post(msg dispatcher.Msg)
	Ready() bool
}

// Listener makes the handlers. All fields must be set.
type Listener struct {
	Runner  asker
	Signer  identifier.Signer
	Metrics *exporter.Exporter
	// MaxBodyBytes bounds the body of a submission.
	MaxBodyBytes int64
	// BodyRead bounds the time for reading that body.
	BodyRead time.Duration
	// MaxDeadline bounds how long a submission is waited for.
	MaxDeadline time.Duration
}

// Callers returns the handler for callers.
func (l *Listener) Callers() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/ids", l.issueIDs)
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) { l.submit(w, r, false) })
	mux.HandleFunc("GET /v1/jobs/{id}", func(w http.ResponseWriter, r *http.Request) { l.fetch(w, r, false) })
	mux.HandleFunc("DELETE /v1/jobs/{id}", func(w http.ResponseWriter, r *http.Request) { l.cancel(w, r, false) })
	mux.HandleFunc("GET /readyz", l.readyz)
	mux.HandleFunc("/", notFound)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !l.Runner.Ready() {
			// Callers of an entry that starts or stops should connect anew,
			// so that the balancer can choose another.
			w.Header().Set("Connection", "close")
		}
		// The deadline that the last answer on this connection set has to go.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		mux.ServeHTTP(w, r)
	})
}

// Peers returns the handler for other entries.
func (l *Listener) Peers() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /peer/v1/jobs", func(w http.ResponseWriter, r *http.Request) { l.submit(w, r, true) })
	mux.HandleFunc("GET /peer/v1/jobs/{id}", func(w http.ResponseWriter, r *http.Request) { l.fetch(w, r, true) })
	mux.HandleFunc("DELETE /peer/v1/jobs/{id}", func(w http.ResponseWriter, r *http.Request) { l.cancel(w, r, true) })
	mux.HandleFunc("POST /peer/v1/slots", l.slots)
	mux.HandleFunc("POST /peer/v1/grants", l.grants)
	mux.HandleFunc("POST /peer/v1/heartbeat", l.heartbeat)
	mux.HandleFunc("GET /peer/v1/configuration", l.configuration)
	mux.HandleFunc("/", notFound)
	return mux
}

// Operators returns the handler for operators.
func (l *Listener) Operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /operator/v1/status", l.status)
	mux.HandleFunc("POST /operator/v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		l.Runner.Post(dispatcher.Drain{})
		w.WriteHeader(http.StatusAccepted)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", l.readyz)
	mux.HandleFunc("GET /metrics", l.metrics)
	mux.HandleFunc("/", notFound)
	return mux
}

func notFound(w http.ResponseWriter, r *http.Request) {
	refuse(w, "", messenger.NewError(messenger.NotFound, fmt.Sprintf("no such path or method: %s %s", r.Method, r.URL.Path)).NotRun())
}

func refuse(w http.ResponseWriter, id string, e *messenger.Error) {
	reply(w, messenger.Refusal(id, e))
}

func reply(w http.ResponseWriter, a messenger.Answer) {
	// A caller that does not read its answer must not hold the connection.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if a.Error != nil && a.Error.RetryAfterMs > 0 {
		seconds := (a.Error.RetryAfterMs + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	messenger.Reply(w, a.Status(), a)
}

func (l *Listener) readyz(w http.ResponseWriter, _ *http.Request) {
	if !l.Runner.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (l *Listener) issueIDs(w http.ResponseWriter, r *http.Request) {
	var req messenger.IDsRequest
	if e := messenger.Decode(r.Body, 1<<10, &req); e != nil {
		refuse(w, "", e)
		return
	}
	if req.Count < 1 || req.Count > 1000 {
		refuse(w, "", messenger.NewError(messenger.BadRequest, fmt.Sprintf("count: %d, allowed: 1 to 1000", req.Count)))
		return
	}
	l.ask(w, r, controlWait, "", func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.IssueIDs{Waiter: n, Count: req.Count}
	})
}

func (l *Listener) submit(w http.ResponseWriter, r *http.Request, forwarded bool) {
	body, err := l.readBody(w, r)
	if err != nil {
		refuse(w, "", messenger.NewError(messenger.BadRequest, "the body could not be read: "+err.Error()))
		return
	}
	if int64(len(body)) > l.MaxBodyBytes {
		refuse(w, "", messenger.NewError(messenger.TooLarge, fmt.Sprintf("the body is over %d bytes", l.MaxBodyBytes)))
		return
	}
	var sub messenger.Submission
	if e := messenger.DecodeBytes(body, &sub); e != nil {
		refuse(w, "", e)
		return
	}
	msg := dispatcher.Submit{Submission: sub, Digest: Digest(sub), Bytes: int64(len(body)), Forwarded: forwarded}
	if sub.ID != "" {
		if msg.ID, err = l.Signer.Parse(sub.ID); err != nil {
			refuse(w, sub.ID, messenger.NewError(messenger.BadID, ""))
			return
		}
	}
	l.ask(w, r, l.MaxDeadline, sub.ID, func(n dispatcher.Waiter) dispatcher.Msg {
		msg.Waiter = n
		return msg
	})
}

// readBody reads the body within its time limit. The limit is lifted
// afterwards: a read deadline that passes while the job runs would cancel the
// request's context.
func (l *Listener) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(l.BodyRead))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	return io.ReadAll(io.LimitReader(r.Body, l.MaxBodyBytes+1))
}

// Digest returns the digest of what a repeated submission must share with the
// first: team, service, request type and payloads. Hints, deadlines and the
// way of waiting may differ. Payloads are compared without insignificant white
// space, which a forwarding entry drops.
func Digest(sub messenger.Submission) [32]byte {
	h := sha256.New()
	var size [8]byte
	write := func(part []byte) {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(part)
	}
	write([]byte(sub.Team))
	write([]byte(sub.Service))
	write([]byte(sub.RequestType))
	var compact bytes.Buffer
	for _, p := range sub.Tasks {
		compact.Reset()
		if json.Compact(&compact, p) != nil {
			write(p)
			continue
		}
		write(compact.Bytes())
	}
	return [32]byte(h.Sum(nil))
}

func (l *Listener) fetch(w http.ResponseWriter, r *http.Request, forwarded bool) {
	text, id, ok := l.pathID(w, r)
	if !ok {
		return
	}
	wait := int64(0)
	if q := r.URL.Query().Get("waitMs"); q != "" {
		var err error
		if wait, err = strconv.ParseInt(q, 10, 64); err != nil || wait < 0 || wait > maxWait.Milliseconds() {
			refuse(w, text, messenger.NewError(messenger.BadRequest, fmt.Sprintf("waitMs: %q, allowed: 0 to %d", q, maxWait.Milliseconds())))
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond+fetchSlack)
	defer cancel()
	v, n, err := l.Runner.Ask(ctx, func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.Fetch{Waiter: n, Text: text, ID: id, Forwarded: forwarded, WaitMs: wait}
	})
	if err != nil {
		l.Runner.Post(dispatcher.Abandon{Waiter: n, JobID: text})
		reply(w, messenger.Answer{ID: text, Outcome: messenger.InProgress})
		return
	}
	respond(w, v)
}

func (l *Listener) cancel(w http.ResponseWriter, r *http.Request, forwarded bool) {
	text, id, ok := l.pathID(w, r)
	if !ok {
		return
	}
	l.ask(w, r, l.MaxDeadline, text, func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.Cancel{Waiter: n, Text: text, ID: id, Forwarded: forwarded}
	})
}

func (l *Listener) pathID(w http.ResponseWriter, r *http.Request) (string, identifier.ID, bool) {
	text := r.PathValue("id")
	id, err := l.Signer.Parse(text)
	if err != nil {
		refuse(w, text, messenger.NewError(messenger.BadID, ""))
		return text, id, false
	}
	return text, id, true
}

// ask posts an event, waits for its reply and writes it. Without a reply the
// work may have run.
func (l *Listener) ask(w http.ResponseWriter, r *http.Request, wait time.Duration, jobID string, build func(dispatcher.Waiter) dispatcher.Msg) {
	ctx, cancel := context.WithTimeout(r.Context(), wait+controlWait)
	defer cancel()
	v, n, err := l.Runner.Ask(ctx, build)
	if err != nil {
		l.Runner.Post(dispatcher.Abandon{Waiter: n, JobID: jobID})
		refuse(w, jobID, messenger.NewError(messenger.Internal, err.Error()))
		return
	}
	respond(w, v)
}

func respond(w http.ResponseWriter, v any) {
	if a, ok := v.(messenger.Answer); ok {
		reply(w, a)
		return
	}
	messenger.Reply(w, http.StatusOK, v)
}

func (l *Listener) slots(w http.ResponseWriter, r *http.Request) {
	var req messenger.SlotsRequest
	if !decodePeer(w, r, &req) {
		return
	}
	l.ask(w, r, controlWait, "", func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.SlotsReceived{Waiter: n, Request: req}
	})
}

func (l *Listener) grants(w http.ResponseWriter, r *http.Request) {
	var req messenger.GrantsRequest
	if !decodePeer(w, r, &req) {
		return
	}
	v, _, err := l.Runner.Ask(r.Context(), func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.GrantsReceived{Waiter: n, Request: req}
	})
	if accepted, ok := v.(bool); err != nil || !ok || !accepted {
		http.Error(w, "the grants are for another incarnation", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *Listener) heartbeat(w http.ResponseWriter, r *http.Request) {
	var beat messenger.Heartbeat
	if !decodePeer(w, r, &beat) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), controlWait)
	defer cancel()
	v, _, err := l.Runner.Ask(ctx, func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.Heard{Waiter: n, Heartbeat: beat}
	})
	own, ok := v.(messenger.Heartbeat)
	if err != nil || !ok {
		http.Error(w, "no reply to the heartbeat", http.StatusServiceUnavailable)
		return
	}
	messenger.ReplyHeartbeat(w, own)
}

func (l *Listener) configuration(w http.ResponseWriter, r *http.Request) {
	l.ask(w, r, controlWait, "", func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.ConfigurationAsked{Waiter: n}
	})
}

func (l *Listener) status(w http.ResponseWriter, r *http.Request) {
	l.ask(w, r, controlWait, "", func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.StatusAsked{Waiter: n}
	})
}

func (l *Listener) metrics(w http.ResponseWriter, r *http.Request) {
	v, _, err := l.Runner.Ask(r.Context(), func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.StatusAsked{Waiter: n}
	})
	if status, ok := v.(messenger.EntryStatus); err == nil && ok {
		l.Metrics.Show(status)
	}
	l.Metrics.Handler().ServeHTTP(w, r)
}

func decodePeer(w http.ResponseWriter, r *http.Request, v any) bool {
	if e := messenger.Decode(r.Body, maxPeerBytes, v); e != nil {
		refuse(w, "", e)
		return false
	}
	return true
}
