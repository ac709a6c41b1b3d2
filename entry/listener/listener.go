// Package listener serves an entry's three HTTP interfaces: for callers, for
// other entries and for operators. Each has its own server, so that load on one
// cannot starve the others.
package listener

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/godwitrelay/godwitrelay/core/identifier"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/dispatcher"
	"github.com/godwitrelay/godwitrelay/entry/exporter"
	"github.com/godwitrelay/godwitrelay/entry/limiter"
)

const (
	// maxFetchWait bounds how long a fetch may wait.
	maxFetchWait = 10 * time.Minute
	// maxIDsBodyBytes bounds the body of a request for ids.
	maxIDsBodyBytes = 1 << 10
	// readLimitRetryMs is the retry delay suggested to a caller whose body does
	// not fit into the memory for bodies.
	readLimitRetryMs = 500
	// fetchGrace is added to a fetch's wait to give the reducer, or the owner
	// of the id, time to answer.
	fetchGrace = time.Second
	// replyTimeout bounds requests that the reducer answers immediately.
	replyTimeout = 5 * time.Second
)

// eventLoop is the part of the runner that the listener uses.
type eventLoop interface {
	Request(ctx context.Context, build func(dispatcher.Waiter) dispatcher.Msg) (any, dispatcher.Waiter, error)
	Post(msg dispatcher.Msg)
	Ready() bool
}

// Listener creates the HTTP handlers. All exported fields must be set, except that places
// without a limit are unlimited. The handlers expect bodies that are bounded by a
// [limiter.Server].
type Listener struct {
	Runner  eventLoop
	Signer  identifier.Signer
	Metrics *exporter.Exporter
	// MaxBodyBytes bounds the body of a submission.
	MaxBodyBytes int64
	// MaxPeerBodyBytes bounds messages between entries. A registration takes 64 MB for
	// about 100,000 waiting tasks.
	MaxPeerBodyBytes int64
	// MaxTasks bounds the number of tasks in a submission.
	MaxTasks int
	// BodyReadTimeout is the time limit for reading a body.
	BodyReadTimeout time.Duration
	// MaxDeadline bounds how long a submission waits for its answer.
	MaxDeadline time.Duration
	// CallerPlaces and PeerPlaces bound the requests of callers and of other entries that
	// wait for a result.
	CallerPlaces, PeerPlaces limiter.Places

	// callerDecoding and peerDecoding are held while a large body is decoded. They are
	// separate so that callers cannot delay messages between entries.
	callerDecoding, peerDecoding sync.Mutex
}

// Callers returns the handler for callers.
func (l *Listener) Callers() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/ids", l.issueIDs)
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) { l.submit(w, r, false) })
	mux.HandleFunc("GET /v1/jobs/{id}", func(w http.ResponseWriter, r *http.Request) { l.fetch(w, r, false) })
	mux.HandleFunc("DELETE /v1/jobs/{id}", func(w http.ResponseWriter, r *http.Request) { l.cancel(w, r, false) })
	mux.HandleFunc("GET /readyz", l.readyz)
	mux.HandleFunc("/", l.notFound)
	return l.withCanonicalPath(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !l.Runner.Ready() {
			// Callers of an entry that is starting or stopping should
			// reconnect, so that the load balancer can choose another entry.
			w.Header().Set("Connection", "close")
		}
		mux.ServeHTTP(w, r)
	}))
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
	mux.HandleFunc("GET /peer/v1/vms", l.vms)
	mux.HandleFunc("/", l.notFound)
	return l.withCanonicalPath(mux)
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
	mux.HandleFunc("/", l.notFound)
	return l.withCanonicalPath(mux)
}

// notFound refuses a request for a path or method that does not exist.
func (l *Listener) notFound(w http.ResponseWriter, r *http.Request) {
	l.refuse(w, "", messenger.NewError(messenger.NotFound, fmt.Sprintf("no such path or method: %s %s", r.Method, truncate(r.URL.Path))).WithDidNotRun())
}

// refuse answers and counts a request that does not reach the reducer. The
// reducer counts its own refusals.
func (l *Listener) refuse(w http.ResponseWriter, id string, e *messenger.Error) {
	l.Metrics.Count("refusal", string(e.Kind))
	reply(w, messenger.NewRefusal(truncate(id), e))
}

// reply writes an answer with its HTTP status.
func reply(w http.ResponseWriter, a messenger.Answer) {
	if a.Error != nil && a.Error.RetryAfterMs > 0 {
		seconds := (a.Error.RetryAfterMs + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	messenger.WriteJSON(w, a.Status(), a)
}

// readyz reports whether the entry is ready for requests of callers.
func (l *Listener) readyz(w http.ResponseWriter, _ *http.Request) {
	if !l.Runner.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// issueIDs returns new job ids.
func (l *Listener) issueIDs(w http.ResponseWriter, r *http.Request) {
	var req messenger.IDsRequest
	if !l.decode(w, r, maxIDsBodyBytes, &req) {
		return
	}
	if req.Count < 1 || req.Count > 1000 {
		l.refuse(w, "", messenger.NewError(messenger.BadRequest, fmt.Sprintf("count: %d, allowed: 1 to 1000", req.Count)))
		return
	}
	l.askAndReply(w, r, replyTimeout, "", func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.IssueIDs{Waiter: n, Count: req.Count}
	})
}

// submit starts a job, or looks it up if its id was submitted before. forwarded
// is set if another entry passes on a request of its caller, here and in fetch
// and cancel.
func (l *Listener) submit(w http.ResponseWriter, r *http.Request, forwarded bool) {
	msg, e := l.readSubmission(r, forwarded)
	if e != nil {
		l.refuse(w, msg.Submission.ID, e)
		return
	}
	release, ok := l.takePlace(w, msg.Submission.ID, submissionRank, forwarded)
	if !ok {
		return
	}
	defer release()
	l.askAndReply(w, r, l.MaxDeadline, msg.Submission.ID, func(n dispatcher.Waiter) dispatcher.Msg {
		msg.Waiter = n
		return msg
	})
}

// readSubmission reads and checks a submission. The errors for an incomplete
// body and for the limit on buffered bytes leave open whether the work has run.
// All other refusals depend only on the body and this entry's settings, so the
// entry refuses every resubmission of the body too, and they state that the work
// did not run.
func (l *Listener) readSubmission(r *http.Request, forwarded bool) (dispatcher.Submit, *messenger.Error) {
	msg := dispatcher.Submit{Forwarded: forwarded}
	limit := l.MaxBodyBytes
	if forwarded {
		// The forwarding entry has already checked the size. Its encoding of
		// the same payloads may be longer, because it escapes some characters.
		limit = l.MaxPeerBodyBytes
	}
	body, release, e := l.readBody(r, limit)
	defer release()
	if e != nil {
		return msg, e
	}
	decoding := &l.callerDecoding
	if forwarded {
		decoding = &l.peerDecoding
	}
	defer lockLarge(decoding, body)()
	if e := checkStructure(body, l.MaxTasks); e != nil {
		return msg, e
	}
	var sub messenger.Submission
	if e := messenger.DecodeJSONBytes(body, &sub); e != nil {
		e.Message = truncate(e.Message)
		return msg, e
	}
	msg.Submission, msg.Digest, msg.Bytes = sub, SubmissionDigest(sub), int64(len(body))
	if e := checkNameLengths(sub); e != nil {
		return msg, e
	}
	if sub.ID != "" {
		var err error
		if msg.ID, err = l.Signer.Parse(sub.ID); err != nil {
			return msg, messenger.NewError(messenger.BadID, "")
		}
	}
	return msg, nil
}

// SubmissionDigest returns the digest of the fields that a repeated submission
// must share with the first: team, service, request type and payloads. Hints,
// deadlines and the wait mode may differ. Payloads are hashed as a forwarding
// entry encodes them: without insignificant white space and with some
// characters escaped.
func SubmissionDigest(sub messenger.Submission) [32]byte {
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
	var compact, escaped bytes.Buffer
	for _, p := range sub.Tasks {
		compact.Reset()
		escaped.Reset()
		if json.Compact(&compact, p) != nil {
			write(p)
			continue
		}
		json.HTMLEscape(&escaped, compact.Bytes())
		write(escaped.Bytes())
	}
	return [32]byte(h.Sum(nil))
}

// fetch returns the answer to a job. If the job is in progress, it waits up to
// the query parameter waitMs for its end.
func (l *Listener) fetch(w http.ResponseWriter, r *http.Request, forwarded bool) {
	text, id, ok := l.pathID(w, r)
	if !ok {
		return
	}
	wait := int64(0)
	if q := r.URL.Query().Get("waitMs"); q != "" {
		var err error
		if wait, err = strconv.ParseInt(q, 10, 64); err != nil || wait < 0 || wait > maxFetchWait.Milliseconds() {
			l.refuse(w, text, outcomeUnknown(messenger.NewError(messenger.BadRequest, fmt.Sprintf("waitMs: %q, allowed: 0 to %d", truncate(q), maxFetchWait.Milliseconds()))))
			return
		}
	}
	if wait > 0 {
		release, ok := l.takePlace(w, text, fetchRank, forwarded)
		if !ok {
			return
		}
		defer release()
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond+fetchGrace)
	defer cancel()
	v, n, err := l.Runner.Request(ctx, func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.Fetch{Waiter: n, Text: text, ID: id, Forwarded: forwarded, WaitMs: wait}
	})
	if err != nil {
		l.Runner.Post(dispatcher.Abandon{Waiter: n, JobID: text})
		reply(w, messenger.Answer{ID: text, Outcome: messenger.InProgress})
		return
	}
	respond(w, v)
}

// cancel cancels a job and returns its answer.
func (l *Listener) cancel(w http.ResponseWriter, r *http.Request, forwarded bool) {
	text, id, ok := l.pathID(w, r)
	if !ok {
		return
	}
	l.askAndReply(w, r, l.MaxDeadline, text, func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.Cancel{Waiter: n, Text: text, ID: id, Forwarded: forwarded}
	})
}

// pathID returns the job id in the path, as text and parsed. If the id is
// invalid or the request has a body, it refuses the request and returns false.
func (l *Listener) pathID(w http.ResponseWriter, r *http.Request) (string, identifier.ID, bool) {
	text := r.PathValue("id")
	if r.ContentLength != 0 {
		l.refuse(w, text, outcomeUnknown(messenger.NewError(messenger.BadRequest, "a "+r.Method+" request must have no body")))
		return text, identifier.ID{}, false
	}
	id, err := l.Signer.Parse(text)
	if err != nil {
		l.refuse(w, text, messenger.NewError(messenger.BadID, ""))
		return text, id, false
	}
	return text, id, true
}

// askAndReply posts an event, waits for its reply and writes it to w. If there
// is no reply, the work may have run.
func (l *Listener) askAndReply(w http.ResponseWriter, r *http.Request, wait time.Duration, jobID string, build func(dispatcher.Waiter) dispatcher.Msg) {
	ctx, cancel := context.WithTimeout(r.Context(), wait+replyTimeout)
	defer cancel()
	v, n, err := l.Runner.Request(ctx, build)
	if err != nil {
		l.Runner.Post(dispatcher.Abandon{Waiter: n, JobID: jobID})
		l.refuse(w, jobID, messenger.NewError(messenger.Internal, err.Error()))
		return
	}
	respond(w, v)
}

// respond writes a reply of the reducer.
func respond(w http.ResponseWriter, v any) {
	if a, ok := v.(messenger.Answer); ok {
		reply(w, a)
		return
	}
	messenger.WriteJSON(w, http.StatusOK, v)
}

// slots handles a message of another entry to this entry as a broker: requests
// for slots, released slots and cancellations.
func (l *Listener) slots(w http.ResponseWriter, r *http.Request) {
	var req messenger.SlotsRequest
	if !l.decode(w, r, l.MaxPeerBodyBytes, &req) {
		return
	}
	l.askAndReply(w, r, replyTimeout, "", func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.SlotsReceived{Waiter: n, Request: req}
	})
}

// grants handles grants and refusals that a broker sends to this entry.
func (l *Listener) grants(w http.ResponseWriter, r *http.Request) {
	var req messenger.GrantsRequest
	if !l.decode(w, r, l.MaxPeerBodyBytes, &req) {
		return
	}
	v, _, err := l.Runner.Request(r.Context(), func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.GrantsReceived{Waiter: n, Request: req}
	})
	if accepted, ok := v.(bool); err != nil || !ok || !accepted {
		text := "the grants are for another incarnation of this entry"
		if err != nil {
			text = "the grants were not accepted: " + err.Error()
		}
		http.Error(w, text, http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// heartbeat handles a heartbeat of another entry and replies with one.
func (l *Listener) heartbeat(w http.ResponseWriter, r *http.Request) {
	var beat messenger.Heartbeat
	if !l.decode(w, r, l.MaxPeerBodyBytes, &beat) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), replyTimeout)
	defer cancel()
	v, _, err := l.Runner.Request(ctx, func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.Heard{Waiter: n, Heartbeat: beat}
	})
	own, ok := v.(messenger.Heartbeat)
	if err != nil || !ok {
		text := "no reply to the heartbeat"
		if err != nil {
			text += ": " + err.Error()
		}
		http.Error(w, text, http.StatusServiceUnavailable)
		return
	}
	messenger.WriteHeartbeat(w, own)
}

// configuration returns the configuration that this entry has in force.
func (l *Listener) configuration(w http.ResponseWriter, r *http.Request) {
	l.askAndReply(w, r, replyTimeout, "", func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.ConfigurationAsked{Waiter: n}
	})
}

// vms returns the list of VMs that this entry knows.
func (l *Listener) vms(w http.ResponseWriter, r *http.Request) {
	l.askAndReply(w, r, replyTimeout, "", func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.VMsAsked{Waiter: n}
	})
}

// status returns the entry's status.
func (l *Listener) status(w http.ResponseWriter, r *http.Request) {
	l.askAndReply(w, r, replyTimeout, "", func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.StatusAsked{Waiter: n}
	})
}

// metrics updates the gauges from the entry's status, if it is available, and
// returns all metrics.
func (l *Listener) metrics(w http.ResponseWriter, r *http.Request) {
	v, _, err := l.Runner.Request(r.Context(), func(n dispatcher.Waiter) dispatcher.Msg {
		return dispatcher.StatusAsked{Waiter: n}
	})
	if status, ok := v.(messenger.EntryStatus); err == nil && ok {
		l.Metrics.SetStatus(status)
	}
	l.Metrics.Handler().ServeHTTP(w, r)
}

// decode reads a body that holds one JSON object into v. Otherwise it refuses
// the request and returns false.
func (l *Listener) decode(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	body, release, e := l.readBody(r, limit)
	defer release()
	defer lockLarge(&l.peerDecoding, body)()
	if e == nil {
		e = checkStructure(body, math.MaxInt)
	}
	if e == nil {
		e = messenger.DecodeJSONBytes(body, v)
	}
	if e != nil {
		e.Message = truncate(e.Message)
		l.refuse(w, "", e)
		return false
	}
	return true
}
