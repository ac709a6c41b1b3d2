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

var epoch = time.Unix(1_800_000_000, 0)

func config(budget int) planner.Configuration {
	return planner.Configuration{BudgetSlots: budget, FailureDomains: []string{"a"}}
}

// faultyLog is a log behind an http.RoundTripper. faults is the share of calls,
// in percent, that fail in one of the ways that a network or a store has.
type faultyLog struct {
	rng       *rand.Rand
	faults    int
	values    []json.RawMessage
	first     int64
	late      []json.RawMessage
	rivals    int
	rivalOdds int
	pageLimit int
}

func (l *faultyLog) RoundTrip(req *http.Request) (*http.Response, error) {
	if l.rng.Intn(100) < l.rivalOdds {
		l.rival()
	}
	if len(l.late) > 0 && l.rng.Intn(2) == 0 {
		l.settle()
	}
	fault := -1
	if l.rng.Intn(100) < l.faults {
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
		return answer(http.StatusServiceUnavailable, []byte("outage")), nil
	case 5:
		return answer(http.StatusTooManyRequests, []byte("busy")), nil
	}
	body := l.serve(req, fault == 2)
	switch fault {
	case 2, 3:
		return nil, errors.New("connection reset")
	case 4:
		return answer(http.StatusOK, body[:len(body)/2]), nil
	}
	return answer(http.StatusOK, body), nil
}

func answer(status int, body []byte) *http.Response {
	return &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))}
}

// serve takes effect and returns the reply. delay keeps an append back until a
// later call.
func (l *faultyLog) serve(req *http.Request, delay bool) []byte {
	if req.Method == http.MethodPost {
		value, err := io.ReadAll(req.Body)
		if err != nil {
			panic(err)
		}
		if delay {
			l.late = append(l.late, value)
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

// settle lets the delayed appends take effect.
func (l *faultyLog) settle() {
	l.values = append(l.values, l.late...)
	l.late = nil
}

// truth folds the log from offset 0, forgotten records included.
func (l *faultyLog) truth() (present follower.Accepted, won map[string][]int64) {
	first := l.first
	l.first = 0
	state := follower.New()
	res, err := state.Fold(epoch, l.page(0, len(l.values)))
	if err != nil {
		panic(err)
	}
	l.first = first
	won = make(map[string][]int64)
	for _, f := range res.Fates {
		if f.Outcome == follower.Won {
			won[f.ChangeID] = append(won[f.ChangeID], f.Version)
		}
	}
	return state.Present(), won
}

// rival appends another operator's change, or a snapshot that lets the log
// forget what came before.
func (l *faultyLog) rival() {
	l.rivals++
	present, _ := l.truth()
	if l.rng.Intn(3) == 0 && present.Version > 0 {
		l.values = append(l.values, encode(follower.Record{
			Kind: follower.Snapshot, ChangeID: present.ChangeID, Version: present.Version,
			ReadThrough: present.ReadThrough, Configuration: present.Configuration,
		}))
		if l.rng.Intn(2) == 0 {
			l.first = int64(len(l.values) - 1 - l.rng.Intn(2))
		}
		return
	}
	id := fmt.Sprintf("r%d", l.rivals)
	l.values = append(l.values, encode(follower.Record{
		Kind: follower.Change, ChangeID: id, Base: present.ChangeID, Author: "rival", Configuration: config(l.rivals),
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

// applier gives up after the given number of failures.
func (l *faultyLog) applier(patience int) Applier {
	return Applier{
		Log: l.log(),
		Now: func() time.Time { return epoch },
		Pause: func(context.Context) error {
			if patience--; patience < 0 {
				return context.DeadlineExceeded
			}
			return nil
		},
	}
}

// checkFate compares a verdict with the fold of the whole log.
func checkFate(l *faultyLog, p Proposal, fate Fate) error {
	l.settle()
	_, won := l.truth()
	versions := won[p.ChangeID]
	switch {
	case len(versions) > 1:
		return fmt.Errorf("the change counted as versions %v", versions)
	case fate.Verdict == InForce && (len(versions) != 1 || versions[0] != fate.Version):
		return fmt.Errorf("told in force as version %d; the log says %v", fate.Version, versions)
	case (fate.Verdict == LostRace || fate.Verdict == NotAccepted) && len(versions) > 0:
		return fmt.Errorf("told %s (%s); the log says version %v", fate.Verdict, fate.Reason, versions)
	case fate.Verdict == Unknown && l.faults == 0 && !p.Again:
		return fmt.Errorf("unknown without a fault: %s", fate.Reason)
	case fate.Verdict == InForce && fate.Present.Version < fate.Version:
		return fmt.Errorf("version %d is present, after version %d came into force", fate.Present.Version, fate.Version)
	}
	return nil
}

// TestApplyTellsTheTruth guards against a false failure, a false success and a
// change that counts twice, with lost replies, delayed appends, outages, rivals
// and retention.
func TestApplyTellsTheTruth(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(41)
	params.MinSuccessfulTests = 2000
	counts := make(map[Verdict]int)
	properties := gopter.NewProperties(params)
	properties.Property("the verdict agrees with the log", prop.ForAll(
		func(seed int64, faults, rivals int) (bool, error) {
			l := &faultyLog{rng: rand.New(rand.NewSource(seed)), faults: faults, pageLimit: 3}
			for range l.rng.Intn(6) {
				l.rival()
			}
			l.rivalOdds = rivals
			present, _ := l.truth()
			p := Proposal{ChangeID: "mine", Base: present.ChangeID, Author: "me", Configuration: config(7)}
			fate := l.applier(l.rng.Intn(12)).Apply(t.Context(), p)
			counts[fate.Verdict]++
			if err := checkFate(l, p, fate); err != nil {
				return false, err
			}
			// The operator runs the same command again, after an unknown fate or
			// without need.
			p.Again, l.faults = true, 0
			again := l.applier(50).Apply(t.Context(), p)
			counts["again "+again.Verdict]++
			if fate.Verdict == InForce && again.Verdict != InForce && again.Verdict != Unknown {
				return false, fmt.Errorf("told in force, then %s", again.Verdict)
			}
			return true, checkFate(l, p, again)
		}, gen.Int64(), gen.IntRange(0, 70), gen.IntRange(0, 30)))
	properties.TestingRun(t)
	for _, v := range []Verdict{InForce, LostRace, Unknown, "again " + InForce, "again " + LostRace} {
		if counts[v] < 50 {
			t.Errorf("verdict %q came up %d times; the cases are not covered", v, counts[v])
		}
	}
	t.Log(counts)
}

// TestApplyRefusesAReusedChangeID guards against an operator who runs an old
// command again with another sheet and is told that the sheet is in force.
func TestApplyRefusesAReusedChangeID(t *testing.T) {
	l := &faultyLog{rng: rand.New(rand.NewSource(1)), pageLimit: 100}
	p := Proposal{ChangeID: "mine", Author: "me", Configuration: config(1)}
	if fate := l.applier(0).Apply(t.Context(), p); fate.Verdict != InForce || fate.Version != 1 {
		t.Fatalf("first: %+v", fate)
	}
	p.Again = true
	p.Configuration = config(2)
	if fate := l.applier(0).Apply(t.Context(), p); fate.Verdict != NotAccepted {
		t.Errorf("another content: %+v", fate)
	}
	p.Base = "other"
	if fate := l.applier(0).Apply(t.Context(), p); fate.Verdict != NotAccepted {
		t.Errorf("another base: %+v", fate)
	}
	if len(l.values) != 1 {
		t.Errorf("the log has %d records, want 1", len(l.values))
	}
}
