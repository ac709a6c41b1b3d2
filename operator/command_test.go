package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

const sheetPath = "../examples/namta/sheet.csv"

// s0 is the time of every fold in these tests.
var s0 = time.Unix(1_800_000_000, 0)

// fakePlatform serves the log. lose makes the next append take effect without a
// reply, down refuses everything, and rival appends another change just before
// the next append.
type fakePlatform struct {
	mu     sync.Mutex
	values []json.RawMessage
	lose   bool
	down   bool
	rival  bool
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodPost {
		value, _ := io.ReadAll(r.Body)
		if p.rival {
			p.rival = false
			p.append("rival", p.inForce())
		}
		p.values = append(p.values, value)
		if p.lose {
			p.lose = false
			panic(http.ErrAbortHandler)
		}
		messenger.Reply(w, http.StatusOK, messenger.AppendReply{Offset: int64(len(p.values) - 1)})
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	messenger.Reply(w, http.StatusOK, p.page(from))
}

func (p *fakePlatform) page(from int64) messenger.LogPage {
	page := messenger.LogPage{Next: int64(len(p.values)), RetentionMs: 3_600_000}
	for o := from; o < page.Next; o++ {
		page.Records = append(page.Records, messenger.LogRecord{Offset: o, Value: p.values[o]})
	}
	return page
}

func (p *fakePlatform) append(id, base string) {
	value, _ := json.Marshal(follower.Record{
		Kind: follower.Change, ChangeID: id, Base: base, Author: "rita",
		Configuration: planner.Configuration{BudgetSlots: 1, FailureDomains: []string{"x"}},
	})
	p.values = append(p.values, value)
}

func (p *fakePlatform) inForce() string {
	s := follower.New()
	_, _ = s.Fold(s0, p.page(0))
	return s.Present().ChangeID
}

func (p *fakePlatform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// fakeEntry follows the platform's log at once, unless it is stuck.
type fakeEntry struct {
	platform *fakePlatform
	stuck    bool
	drained  bool
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.platform.mu.Lock()
	defer e.platform.mu.Unlock()
	if r.Method == http.MethodPost && r.URL.Path == "/operator/v1/drain" {
		e.drained = true
		w.WriteHeader(http.StatusAccepted)
		return
	}
	status := messenger.EntryStatus{
		FailureDomain: "ikeja", Ready: !e.stuck,
		Members:  []messenger.MemberState{{Member: messenger.Member{Address: "127.0.0.1:9"}}},
		Brokered: []messenger.ServiceState{{Service: "trials", Targets: []messenger.TargetState{{Address: "127.0.0.1:8", State: "leaving"}}}},
	}
	if !e.stuck {
		s := follower.New()
		_, _ = s.Fold(s0, e.platform.page(0))
		status.ConfigVersion, status.ChangeID = s.Present().Version, s.Present().ChangeID
	}
	messenger.Reply(w, http.StatusOK, status)
}

// bench is a platform, an entry and a settings file for one test.
type bench struct {
	t        *testing.T
	platform *fakePlatform
	entry    *fakeEntry
	address  string
	settings string
	history  string
	out      string
}

func newBench(t *testing.T) *bench {
	platform := &fakePlatform{}
	entry := &fakeEntry{platform: platform}
	address := func(h http.Handler) string {
		s := httptest.NewServer(h)
		s.Config.ErrorLog = nil
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	b := &bench{t: t, platform: platform, entry: entry}
	b.address = address(entry)
	dir := t.TempDir()
	b.settings, b.history = filepath.Join(dir, "settings.json"), filepath.Join(dir, "history")
	text := fmt.Sprintf("{\n// the test's addresses\n\"platform\": %q, \"entries\": [%q], \"author\": \"anita\", \"historyFile\": %q}",
		address(platform), b.address, b.history)
	if err := os.WriteFile(b.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return b
}

// run runs godwitctl and checks the exit code and parts of the output.
func (b *bench) run(code int, args string, parts ...string) {
	b.t.Helper()
	var out bytes.Buffer
	list := append([]string{"godwitctl", "--settings", b.settings}, strings.Fields(args)...)
	if got := run(b.t.Context(), list, &out, &out); got != code {
		b.t.Errorf("%s: exit code %d, want %d; output:\n%s", args, got, code, out.String())
	}
	b.out = out.String()
	for _, part := range parts {
		if !strings.Contains(b.out, part) {
			b.t.Errorf("%s: the output has no %q:\n%s", args, part, b.out)
		}
	}
}

func (b *bench) appended(want int) {
	b.t.Helper()
	b.platform.set(func() {
		if got := len(b.platform.values); got != want {
			b.t.Errorf("the log has %d records, want %d", got, want)
		}
	})
}

func (b *bench) recorded(events ...string) {
	b.t.Helper()
	data, _ := os.ReadFile(b.history)
	var got []string
	for _, m := range regexp.MustCompile(`"event":"(\w+)"`).FindAllStringSubmatch(string(data), -1) {
		got = append(got, m[1])
	}
	if strings.Join(got, " ") != strings.Join(events, " ") {
		b.t.Errorf("the history has %v, want %v", got, events)
	}
}

// TestApply guards against an apply that reports another fate than the log's.
func TestApply(t *testing.T) {
	b := newBench(t)
	b.run(exitDone, "show", "log: no configuration yet", "all 1 entries have the version")
	b.run(exitDone, "apply --wait "+sheetPath, "domain ikeja: added", "in force as version 1", "all 1 entries have version 1")
	b.run(exitDone, "apply "+sheetPath, "the sheet changes nothing", "nothing was written")
	b.appended(1)
	b.run(exitDone, "diff "+sheetPath, "version 1", "by anita", "the sheet changes nothing")
	b.run(exitDone, "diff ../examples/smokehouse/sheet.csv", "service trials: removed", "--base ")
	b.run(exitDone, "show --sheet", "request,trials,sign-off,urgent,,no,5000,")
	b.recorded("changeProposed", "changeAccepted")
}

// TestApplyLostReply guards against a change that is reported as failed or is
// written twice because the log's reply was lost.
func TestApplyLostReply(t *testing.T) {
	b := newBench(t)
	b.platform.set(func() { b.platform.lose = true })
	b.run(exitDone, "apply "+sheetPath, "in force as version 1")
	b.appended(1)
}

// TestApplyLosesRace guards against a loser that is told nothing, and against
// a change on an old base that undoes another operator's change.
func TestApplyLosesRace(t *testing.T) {
	b := newBench(t)
	b.platform.set(func() { b.platform.rival = true })
	b.run(exitLost, "apply "+sheetPath, "lost to change rival by rita; version 1, change rival, is in force")
	b.run(exitLost, "apply --base mistyped "+sheetPath, "lost: the base mistyped is not in force")
	b.run(exitLost, "apply --base= "+sheetPath, "lost to change rival by rita")
	b.run(exitDone, "apply --base rival "+sheetPath, "in force as version 2")
	b.recorded("changeProposed", "changeLost", "changeProposed", "changeLost", "changeProposed", "changeLost", "changeProposed", "changeAccepted")
}

// TestApplyUnknownFate guards against a command to run again that publishes the
// change a second time.
func TestApplyUnknownFate(t *testing.T) {
	b := newBench(t)
	b.platform.set(func() { b.platform.down = true })
	b.run(exitUnknown, "--timeout 1ms apply "+sheetPath, "nothing was written")
	b.run(exitUnknown, "--timeout 1ms apply --change-id c7 --base= "+sheetPath, "unknown: ", "apply --change-id c7 --base '' "+sheetPath)
	b.platform.set(func() { b.platform.down = false })
	for range 2 {
		b.run(exitDone, "apply --change-id c7 --base= "+sheetPath, "in force as version 1")
	}
	b.appended(1)
	b.run(exitRefused, "apply --change-id c7 --base= ../examples/smokehouse/sheet.csv", "refused: the change id c7 was used")
}

// TestEntries guards against an operator who believes that a version is
// everywhere when it is not.
func TestEntries(t *testing.T) {
	b := newBench(t)
	b.platform.set(func() { b.entry.stuck = true })
	b.run(exitDisagree, "apply --wait --wait-timeout 1ms "+sheetPath, "in force as version 1", "1 of 1 entries did not report it")
	b.run(exitDisagree, "show", "not ready", "1 of 1 entries do not have the version of the log")
	b.platform.set(func() { b.entry.stuck = false })
	b.run(exitDone, "show", "ready", "all 1 entries have the version of the log")
	b.run(exitDone, "status", "failure domain ikeja, ready, version 1", "127.0.0.1:9", "service  trials", "leaving")
	b.run(exitDone, "status --json", `"configVersion":1`)
	b.run(exitDisagree, "--entry 127.0.0.1:1 status", "no answer", "1 of 1 entries do not answer")
	b.run(exitDone, "drain "+b.address, "is draining")
	if !b.entry.drained {
		t.Error("the entry was not asked to drain")
	}
	b.run(exitRefused, "drain 127.0.0.1:1", "does not answer")
}

// TestUsage guards against a mistyped command that does something.
func TestUsage(t *testing.T) {
	b := newBench(t)
	b.run(exitDone, "check "+sheetPath, "no faults")
	b.run(exitRefused, "check "+b.settings, "row 1", "godwitctl:")
	b.run(exitRefused, "check no-such-file", "no such file")
	for _, args := range []string{
		"", "appply", "check", "check a b", "show x", "apply --bogus " + sheetPath, "drain here",
		"apply --change-id c " + sheetPath, "--platform nowhere show", "--entry x status", "--author a~b show",
	} {
		b.run(exitUsage, args, "godwitctl: ")
	}
	b.appended(0)
}
