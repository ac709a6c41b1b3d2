package publisher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// epoch is the time at which the tests begin.
var epoch = time.Unix(1_800_000_000, 0)

func config(budget int) planner.Configuration {
	return planner.Configuration{BudgetSlots: budget, FailureDomains: []string{"a"}}
}

// faultyLog is an in-memory log that implements http.RoundTripper. faultPercent is
// the percentage of calls that fail because of a simulated network, storage or
// rate limit fault.
type faultyLog struct {
	rng              *rand.Rand
	faultPercent     int
	values           []json.RawMessage
	first            int64
	delayed          []json.RawMessage
	competing        int
	competingPercent int
	pageLimit        int
}

func (l *faultyLog) RoundTrip(req *http.Request) (*http.Response, error) {
	if l.rng.Intn(100) < l.competingPercent {
		l.appendCompetingRecord()
	}
	if len(l.delayed) > 0 && l.rng.Intn(2) == 0 {
		l.flushDelayed()
	}
	// 0: connection refused; 1: status 503; 2: an append takes effect later, and
	// the connection is reset; 3: the request is executed, but the connection is
	// reset; 4: the reply is truncated; 5: status 429.
	fault := -1
	if l.rng.Intn(100) < l.faultPercent {
		fault = l.rng.Intn(6)
	}
	if fault == 0 {
		return nil, errors.New("connection refused")
	}
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	switch fault {
	case 1:
		return response(http.StatusServiceUnavailable, []byte("outage")), nil
	case 5:
		return response(http.StatusTooManyRequests, []byte("busy")), nil
	}
	body := l.serve(req, fault == 2)
	switch fault {
	case 2, 3:
		return nil, errors.New("connection reset")
	case 4:
		return response(http.StatusOK, body[:len(body)/2]), nil
	}
	return response(http.StatusOK, body), nil
}

func response(status int, body []byte) *http.Response {
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))}
}

// serve executes a request and returns the reply. If delay is set, an append takes
// effect during a later call and has no reply.
func (l *faultyLog) serve(req *http.Request, delay bool) []byte {
	if req.Method == http.MethodPost {
		value, err := io.ReadAll(req.Body)
		if err != nil {
			panic(err)
		}
		if delay {
			l.delayed = append(l.delayed, value)
			return nil
		}
		l.values = append(l.values, value)
		return encode(messenger.AppendReply{Offset: int64(len(l.values) - 1)})
	}
	from, _ := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	limit, _ := strconv.Atoi(req.URL.Query().Get("limit"))
	return encode(l.page(from, min(limit, l.pageLimit)))
}

func (l *faultyLog) page(from int64, limit int) messenger.LogPage {
	p := messenger.LogPage{First: l.first, Next: int64(len(l.values)), RetentionMs: time.Hour.Milliseconds()}
	for o := max(from, l.first); o < p.Next && len(p.Records) < limit; o++ {
		p.Records = append(p.Records, messenger.LogRecord{Offset: o, Value: l.values[o]})
	}
	return p
}

// flushDelayed executes the delayed appends.
func (l *faultyLog) flushDelayed() {
	l.values = append(l.values, l.delayed...)
	l.delayed = nil
}

// replayAll replays the log from offset 0, including records that retention
// removed.
func (l *faultyLog) replayAll() (current follower.Accepted, won map[string][]int64) {
	first := l.first
	l.first = 0
	state := follower.New()
	res, err := state.ApplyPage(epoch, l.page(0, len(l.values)))
	if err != nil {
		panic(err)
	}
	l.first = first
	won = make(map[string][]int64)
	for _, f := range res.ChangeResults {
		if f.Outcome == follower.Won {
			won[f.ChangeID] = append(won[f.ChangeID], f.Version)
		}
	}
	return state.Current(), won
}

// appendCompetingRecord appends a change by another operator, or a snapshot. For
// about half of the snapshots it also simulates retention: it removes the records
// before the snapshot, in some cases all but the last of them.
func (l *faultyLog) appendCompetingRecord() {
	l.competing++
	current, _ := l.replayAll()
	if l.rng.Intn(3) == 0 && current.Version > 0 {
		l.values = append(l.values, encode(follower.Record{
			Kind: follower.Snapshot, ChangeID: current.ChangeID, Version: current.Version,
			ReadThrough: current.ReadThrough, Configuration: current.Configuration,
		}))
		if l.rng.Intn(2) == 0 {
			l.first = int64(len(l.values) - 1 - l.rng.Intn(2))
		}
		return
	}
	id := fmt.Sprintf("r%d", l.competing)
	l.values = append(l.values, encode(follower.Record{
		Kind: follower.Change, ChangeID: id, Base: current.ChangeID, Author: "competitor", Configuration: config(l.competing),
	}))
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func (l *faultyLog) log() Log {
	return Log{Client: messenger.Client{Transport: l}, Platform: "127.0.0.1:1", Stream: follower.Stream}
}

// applier returns an Applier that stops retrying after maxFailures failures.
func (l *faultyLog) applier(maxFailures int) Applier {
	return Applier{
		Log: l.log(),
		Now: func() time.Time { return epoch },
		Backoff: func(context.Context) error {
			if maxFailures--; maxFailures < 0 {
				return context.DeadlineExceeded
			}
			return nil
		},
	}
}

// checkStatus compares a status with a replay of the whole log.
func checkStatus(l *faultyLog, p Proposal, result ApplyResult) error {
	l.flushDelayed()
	_, won := l.replayAll()
	versions := won[p.ChangeID]
	switch {
	case len(versions) > 1:
		return fmt.Errorf("the change was accepted more than once, as versions %v", versions)
	case result.Status == InForce && (len(versions) != 1 || versions[0] != result.Version):
		return fmt.Errorf("got status inForce with version %d; the log has versions %v", result.Version, versions)
	case (result.Status == LostRace || result.Status == NotAccepted) && len(versions) > 0:
		return fmt.Errorf("got status %s (%s); the log has versions %v", result.Status, result.Reason, versions)
	case result.Status == Unknown && l.faultPercent == 0 && !p.Resubmitted:
		return fmt.Errorf("got status unknown without a log failure: %s", result.Reason)
	case result.Status == InForce && result.Current.Version < result.Version:
		return fmt.Errorf("got current version %d after version %d came into force", result.Current.Version, result.Version)
	}
	return nil
}

// TestApplyVerdictMatchesLog guards against reporting a failure for an accepted
// change, a success for one that was not accepted, and against accepting a change
// twice. It simulates lost replies, delayed appends, outages, competing changes
// and retention.
func TestApplyVerdictMatchesLog(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(41)
	params.MinSuccessfulTests = 2000
	counts := make(map[ApplyStatus]int)
	properties := gopter.NewProperties(params)
	properties.Property("the status agrees with the log", prop.ForAll(
		func(seed int64, faultPercent, competingPercent int) (bool, error) {
			l := &faultyLog{rng: rand.New(rand.NewSource(seed)), faultPercent: faultPercent, pageLimit: 3}
			for range l.rng.Intn(6) {
				l.appendCompetingRecord()
			}
			l.competingPercent = competingPercent
			current, _ := l.replayAll()
			p := Proposal{ChangeID: "mine", Base: current.ChangeID, Author: "me", Configuration: config(7)}
			result := l.applier(l.rng.Intn(12)).Apply(t.Context(), p)
			counts[result.Status]++
			if err := checkStatus(l, p, result); err != nil {
				return false, err
			}
			// The operator repeats the command, whether or not the status was
			// unknown.
			p.Resubmitted, l.faultPercent = true, 0
			again := l.applier(50).Apply(t.Context(), p)
			counts["again "+again.Status]++
			if result.Status == InForce && again.Status != InForce && again.Status != Unknown {
				return false, fmt.Errorf("got status inForce, then %s for the same change", again.Status)
			}
			return true, checkStatus(l, p, again)
		}, gen.Int64(), gen.IntRange(0, 70), gen.IntRange(0, 30)))
	properties.TestingRun(t)
	for _, v := range []ApplyStatus{InForce, LostRace, Unknown, "again " + InForce, "again " + LostRace} {
		if counts[v] < 50 {
			t.Errorf("status %q occurred %d times, want at least 50", v, counts[v])
		}
	}
	t.Log(counts)
}

// TestApplyRejectsReusedChangeID guards against reporting a sheet as in force when
// an operator repeats an old command, with its change id, but a different sheet.
func TestApplyRejectsReusedChangeID(t *testing.T) {
	l := &faultyLog{rng: rand.New(rand.NewSource(1)), pageLimit: 100}
	p := Proposal{ChangeID: "mine", Author: "me", Configuration: config(1)}
	if result := l.applier(0).Apply(t.Context(), p); result.Status != InForce || result.Version != 1 {
		t.Fatalf("first change: got %+v, want version 1 in force", result)
	}
	p.Resubmitted = true
	p.Configuration = config(2)
	if result := l.applier(0).Apply(t.Context(), p); result.Status != NotAccepted {
		t.Errorf("different configuration: got %+v, want NotAccepted", result)
	}
	p.Base = "other"
	if result := l.applier(0).Apply(t.Context(), p); result.Status != NotAccepted {
		t.Errorf("different base: got %+v, want NotAccepted", result)
	}
	if len(l.values) != 1 {
		t.Errorf("the log has %d records, want 1", len(l.values))
	}
}
