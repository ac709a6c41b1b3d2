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

// logReadTime is the time at which the fake platform and the fake entry read the
// log to find the configuration in force.
var logReadTime = time.Unix(1_800_000_000, 0)

// fakePlatform serves the log. dropReply makes the next append succeed without a
// reply, down rejects all requests, and concurrentChange appends another
// operator's change just before the next append.
type fakePlatform struct {
	mu               sync.Mutex
	values           []json.RawMessage
	dropReply        bool
	down             bool
	concurrentChange bool
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
		if p.concurrentChange {
			p.concurrentChange = false
			p.append("rival", p.currentChangeID())
		}
		p.values = append(p.values, value)
		if p.dropReply {
			p.dropReply = false
			panic(http.ErrAbortHandler)
		}
		messenger.WriteJSON(w, http.StatusOK, messenger.AppendReply{Offset: int64(len(p.values) - 1)})
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	messenger.WriteJSON(w, http.StatusOK, p.page(from))
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

func (p *fakePlatform) currentChangeID() string {
	s := follower.New()
	_, _ = s.ApplyPage(logReadTime, p.page(0))
	return s.Current().ChangeID
}

func (p *fakePlatform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// fakeEntry reports the newest configuration in the platform's log. An
// unconfigured entry has no configuration and is not ready.
type fakeEntry struct {
	platform       *fakePlatform
	unconfigured   bool
	drainRequested bool
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.platform.mu.Lock()
	defer e.platform.mu.Unlock()
	if r.Method == http.MethodPost && r.URL.Path == "/operator/v1/drain" {
		e.drainRequested = true
		w.WriteHeader(http.StatusAccepted)
		return
	}
	status := messenger.EntryStatus{
		FailureDomain: "ikeja", Ready: !e.unconfigured,
		Members:  []messenger.MemberState{{Member: messenger.Member{Address: "127.0.0.1:9"}}},
		Brokered: []messenger.ServiceState{{Service: "trials", Targets: []messenger.TargetState{{Address: "127.0.0.1:8", State: "leaving"}}}},
	}
	if !e.unconfigured {
		s := follower.New()
		_, _ = s.ApplyPage(logReadTime, e.platform.page(0))
		status.ConfigVersion, status.ChangeID = s.Current().Version, s.Current().ChangeID
	}
	messenger.WriteJSON(w, http.StatusOK, status)
}

// testEnv holds a fake platform, a fake entry and the settings of godwitctl.
type testEnv struct {
	t        *testing.T
	platform *fakePlatform
	entry    *fakeEntry
	address  string
	settings string
	history  string
	out      string
}

func newTestEnv(t *testing.T) *testEnv {
	platform := &fakePlatform{}
	entry := &fakeEntry{platform: platform}
	address := func(h http.Handler) string {
		s := httptest.NewServer(h)
		s.Config.ErrorLog = nil
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	env := &testEnv{t: t, platform: platform, entry: entry}
	env.address = address(entry)
	dir := t.TempDir()
	env.settings, env.history = filepath.Join(dir, "settings.json"), filepath.Join(dir, "history")
	text := fmt.Sprintf("{\n// the test's addresses\n\"platform\": %q, \"entries\": [%q], \"author\": \"anita\", \"historyFile\": %q}",
		address(platform), env.address, env.history)
	if err := os.WriteFile(env.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return env
}

// run runs godwitctl and checks the exit code and that the output contains parts.
func (env *testEnv) run(code int, args string, parts ...string) {
	env.t.Helper()
	var out bytes.Buffer
	list := append([]string{"godwitctl", "--settings", env.settings}, strings.Fields(args)...)
	if got := run(env.t.Context(), list, &out, &out); got != code {
		env.t.Errorf("%s: exit code %d, want %d; output:\n%s", args, got, code, out.String())
	}
	env.out = out.String()
	for _, part := range parts {
		if !strings.Contains(env.out, part) {
			env.t.Errorf("%s: output does not contain %q:\n%s", args, part, env.out)
		}
	}
}

func (env *testEnv) checkLogLength(want int) {
	env.t.Helper()
	env.platform.update(func() {
		if got := len(env.platform.values); got != want {
			env.t.Errorf("log has %d records, want %d", got, want)
		}
	})
}

func (env *testEnv) checkHistory(events ...string) {
	env.t.Helper()
	data, _ := os.ReadFile(env.history)
	var got []string
	for _, m := range regexp.MustCompile(`"event":"(\w+)"`).FindAllStringSubmatch(string(data), -1) {
		got = append(got, m[1])
	}
	if strings.Join(got, " ") != strings.Join(events, " ") {
		env.t.Errorf("history has events %v, want %v", got, events)
	}
}

// TestApply guards against an apply that reports an outcome other than the one
// the log records.
func TestApply(t *testing.T) {
	env := newTestEnv(t)
	env.run(exitOK, "show", "log: no configuration yet", "all 1 entries have the version")
	env.run(exitOK, "apply --wait "+sheetPath, "domain ikeja: added", "in force as version 1", "all 1 entries have version 1")
	env.run(exitOK, "apply "+sheetPath, "the sheet changes nothing", "nothing was written")
	env.checkLogLength(1)
	env.run(exitOK, "diff "+sheetPath, "version 1", "by anita", "the sheet changes nothing")
	env.run(exitOK, "diff ../examples/smokehouse/sheet.csv", "service trials: removed", "--base ")
	env.run(exitOK, "show --sheet", "request,trials,sign-off,urgent,,no,5000,")
	env.checkHistory("changeProposed", "changeAccepted")
}

// TestApplyLostReply guards against a change that is reported as failed, or is
// written twice, when the log appends it but the reply is lost.
func TestApplyLostReply(t *testing.T) {
	env := newTestEnv(t)
	env.platform.update(func() { env.platform.dropReply = true })
	env.run(exitOK, "apply "+sheetPath, "in force as version 1")
	env.checkLogLength(1)
}

// TestApplyLosesRace guards against a change that is accepted although its base is
// no longer in force, which would undo another operator's change, and against a
// lost change that is not reported as lost. An empty --base is the base of the
// very first change.
func TestApplyLosesRace(t *testing.T) {
	env := newTestEnv(t)
	env.platform.update(func() { env.platform.concurrentChange = true })
	env.run(exitLost, "apply "+sheetPath, "lost to change rival by rita; version 1, change rival, is in force")
	env.run(exitLost, "apply --base mistyped "+sheetPath, "lost: the base mistyped is not in force")
	env.run(exitLost, "apply --base= "+sheetPath, "lost to change rival by rita")
	env.run(exitOK, "apply --base rival "+sheetPath, "in force as version 2")
	env.checkHistory("changeProposed", "changeLost", "changeProposed", "changeLost", "changeProposed", "changeLost", "changeProposed", "changeAccepted")
}

// TestApplyUnknownOutcome guards against a change that is published twice when
// the operator runs the printed retry command. The exit code is the same whether
// or not the change may have been written, because the remedy is the same.
func TestApplyUnknownOutcome(t *testing.T) {
	env := newTestEnv(t)
	env.platform.update(func() { env.platform.down = true })
	env.run(exitUnknown, "--timeout 1ms apply "+sheetPath, "nothing was written")
	env.run(exitUnknown, "--timeout 1ms apply --change-id c7 --base= "+sheetPath, "the outcome of change c7 is unknown: ", "apply --change-id c7 --base '' "+sheetPath)
	env.platform.update(func() { env.platform.down = false })
	for range 2 {
		env.run(exitOK, "apply --change-id c7 --base= "+sheetPath, "in force as version 1")
	}
	env.checkLogLength(1)
	env.run(exitFailure, "apply --change-id c7 --base= ../examples/smokehouse/sheet.csv", "the proposed change c7 was refused: the change id c7 was already used with a different base or configuration; author: anita")
}

// TestEntries guards against success being reported although some entries do not
// have the version or do not answer.
func TestEntries(t *testing.T) {
	env := newTestEnv(t)
	env.platform.update(func() { env.entry.unconfigured = true })
	env.run(exitInconsistent, "apply --wait --wait-timeout 1ms "+sheetPath, "in force as version 1", "1 of 1 entries did not report it")
	env.run(exitInconsistent, "show", "not ready", "1 of 1 entries did not report the version of the log")
	env.platform.update(func() { env.entry.unconfigured = false })
	env.run(exitOK, "show", "ready", "all 1 entries have the version of the log")
	env.run(exitOK, "status", "failure domain ikeja, ready, version 1", "127.0.0.1:9", "service  trials", "leaving")
	env.run(exitOK, "status --json", `"configVersion":1`)
	env.run(exitInconsistent, "--entry 127.0.0.1:1 status", "entry 127.0.0.1:1: status query failed: ", "1 of 1 entries did not report their status")
	env.run(exitOK, "drain "+env.address, "is draining")
	if !env.entry.drainRequested {
		t.Error("the entry received no drain request")
	}
	env.run(exitFailure, "drain 127.0.0.1:1", "does not answer")
}

// TestUsage guards against an invalid command line that has an effect.
func TestUsage(t *testing.T) {
	env := newTestEnv(t)
	env.run(exitOK, "check "+sheetPath, "no faults")
	env.run(exitFailure, "check "+env.settings, "row 1", "godwitctl:")
	env.run(exitFailure, "check no-such-file", "no such file")
	for _, args := range []string{
		"", "appply", "check", "check a b", "show x", "apply --bogus " + sheetPath, "drain here",
		"apply --change-id c " + sheetPath, "--platform nowhere show", "--entry x status", "--author a~b show",
	} {
		env.run(exitUsage, args, "godwitctl: ")
	}
	env.checkLogLength(0)
}
