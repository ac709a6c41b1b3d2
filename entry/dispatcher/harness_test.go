package dispatcher

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/identifier"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// entryUnderTest drives one reducer with a virtual clock.
type entryUnderTest struct {
	t      *testing.T
	s      *State
	now    time.Time
	waiter Waiter
	cmds   []Cmd
	record func(now time.Time, msg Msg, cmds []Cmd)
}

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func testSettings() Settings {
	return Settings{
		Self: messenger.Member{Address: "127.0.0.1:7001", Incarnation: 11}, FailureDomain: "patan",
		Signer:          identifier.Signer{Key: []byte("0123456789abcdef")},
		DefaultDeadline: 10 * time.Second, MaxDeadline: time.Minute, MaxTasks: 100,
		MaxHeldBytes: 1 << 20, AnswerKeep: 30 * time.Second, AnswerBytes: 1 << 20,
		IDKeep: time.Minute, BalancerNotice: time.Second, StopLinger: time.Second, Seed: 3,
	}
}

func testConfiguration() planner.Configuration {
	return planner.Configuration{
		BudgetSlots: 8, FailureDomains: []string{"patan"},
		Services: map[string]planner.Service{"orders": {Slots: 8, RequestTypes: map[string]planner.RequestType{
			"stock-check":  {Priority: messenger.Urgent, Idempotent: true, MaxRunMs: 5000},
			"firm-booking": {Priority: messenger.Urgent, MaxRunMs: 5000},
			"archive":      {Priority: messenger.Bulk, Idempotent: true, MaxRunMs: 5000},
		}}},
		Teams: map[string]planner.Team{"restaurants": {Slots: 8}},
	}
}

// newEntry returns an entry with a configuration and two targets of 2 slots.
func newEntry(t *testing.T) *entryUnderTest {
	t.Helper()
	e := &entryUnderTest{t: t, s: New(testStart, testSettings()), now: testStart}
	e.makeReady()
	return e
}

// makeReady sends a new reducer the events that it needs to become ready.
func (e *entryUnderTest) makeReady() {
	e.t.Helper()
	accepted := follower.Accepted{Version: 1, ChangeID: "c1", ReadThrough: 0, Configuration: testConfiguration()}
	e.update(ConfigurationFetched{Accepted: accepted})
	e.update(VMsListed{List: messenger.VMList{VMs: []messenger.VM{target("127.0.0.1:9001"), target("127.0.0.1:9002")}}})
	e.advance(2 * time.Second)
	if !e.s.Ready() {
		e.t.Fatal("the entry is not ready")
	}
}

func target(address string) messenger.VM {
	return messenger.VM{
		Role: messenger.TargetVM, Address: address, FailureDomain: "patan",
		Service: "orders", Slots: 2, MemoryMB: 1000,
	}
}

// update handles one event and returns its commands.
func (e *entryUnderTest) update(msg Msg) []Cmd {
	e.cmds = append([]Cmd(nil), e.s.Update(e.now, msg)...)
	if e.record != nil {
		e.record(e.now, msg, e.cmds)
	}
	return e.cmds
}

// advance moves the clock forward in ticks and returns all commands.
func (e *entryUnderTest) advance(d time.Duration) []Cmd {
	var all []Cmd
	for end := e.now.Add(d); e.now.Before(end); {
		e.now = e.now.Add(5 * time.Millisecond)
		all = append(all, e.update(Tick{})...)
	}
	return all
}

func (e *entryUnderTest) newID() string {
	e.waiter++
	return replyTo[messenger.IDsReply](e.t, e.update(IssueIDs{Waiter: e.waiter, Count: 1}), e.waiter).IDs[0]
}

func (e *entryUnderTest) submission(id, requestType string, payloads ...string) messenger.Submission {
	sub := messenger.Submission{ID: id, Team: "restaurants", Service: "orders", RequestType: requestType, Wait: true}
	for _, p := range payloads {
		sub.Tasks = append(sub.Tasks, json.RawMessage(p))
	}
	return sub
}

// submit sends sub and returns its waiter and the commands.
func (e *entryUnderTest) submit(sub messenger.Submission) (Waiter, []Cmd) {
	e.waiter++
	msg := Submit{Waiter: e.waiter, Submission: sub, Bytes: 100, Digest: [32]byte{byte(len(sub.Tasks))}}
	if sub.ID != "" {
		id, err := e.s.cfg.Signer.Parse(sub.ID)
		if err != nil {
			e.t.Fatal(err)
		}
		msg.ID = id
	}
	return e.waiter, e.update(msg)
}

// endTask reports the result of a start.
func (e *entryUnderTest) endTask(st StartTask, reply messenger.TaskReply, failure *Failure) []Cmd {
	reply.TaskID = st.Request.TaskID
	return e.update(TaskEnded{JobID: st.JobID, Task: st.Task, Grant: st.Grant, Reply: reply, Err: failure})
}

func successReply(value string) messenger.TaskReply {
	return messenger.TaskReply{
		Result: json.RawMessage(value), RunMs: 10,
		Status: messenger.TargetStatus{Service: "orders", Slots: 2, MemoryMB: 1000},
	}
}

func commandsOf[C Cmd](cmds []Cmd) []C {
	var list []C
	for _, cmd := range cmds {
		if c, ok := cmd.(C); ok {
			list = append(list, c)
		}
	}
	return list
}

func wantOneStart(t *testing.T, cmds []Cmd) StartTask {
	t.Helper()
	starts := commandsOf[StartTask](cmds)
	if len(starts) != 1 {
		t.Fatalf("got %d starts, want 1", len(starts))
	}
	return starts[0]
}

func wantNoStart(t *testing.T, cmds []Cmd) {
	t.Helper()
	if n := len(commandsOf[StartTask](cmds)); n != 0 {
		t.Fatalf("got %d starts, want none", n)
	}
}

func replyTo[V any](t *testing.T, cmds []Cmd, w Waiter) V {
	t.Helper()
	var none V
	for _, r := range commandsOf[Reply](cmds) {
		if r.Waiter != w {
			continue
		}
		v, ok := r.Value.(V)
		if !ok {
			t.Fatalf("waiter %d got %T", w, r.Value)
		}
		return v
	}
	t.Fatalf("waiter %d got no reply", w)
	return none
}

func wantError(t *testing.T, a messenger.Answer, kind messenger.ErrorKind, ran messenger.ExecutionStatus) {
	t.Helper()
	if a.Error == nil || a.Error.Kind != kind || a.Error.Ran != ran {
		t.Fatalf("got %s with error %+v, want %s/%s", a.Outcome, a.Error, kind, ran)
	}
	if len(a.Results) != 0 {
		t.Fatalf("an answer with an error has %d results", len(a.Results))
	}
}

func wantComplete(t *testing.T, a messenger.Answer, results ...string) {
	t.Helper()
	if a.Outcome != messenger.Complete || len(a.Results) != len(results) {
		t.Fatalf("got %s with %d results and error %+v, want complete with %d", a.Outcome, len(a.Results), a.Error, len(results))
	}
	for i, want := range results {
		if string(a.Results[i]) != want {
			t.Errorf("result %d is %s, want %s", i, a.Results[i], want)
		}
	}
}
