package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// requestSlots requests slots for one job and returns the broker's reply.
func (b *testBroker) requestSlots(r messenger.SlotRequest) ([]messenger.Grant, []messenger.SlotRefusal) {
	grants, refusals, _ := collectSent(b.receive(self, messenger.SlotsRequest{Requests: []messenger.SlotRequest{r}}))
	return grants, refusals
}

// finish releases a grant of request type "check" with an outcome.
func (b *testBroker) finish(g messenger.Grant, o messenger.GrantOutcome, requeue bool) []Cmd {
	return b.receive(self, messenger.SlotsRequest{Releases: []messenger.Release{{Grant: g, Team: "red", RequestType: "check", Outcome: o, RunMs: 100, Requeue: requeue}}})
}

// advance advances the clock by d in ticks of 5 ms and returns all commands.
func (b *testBroker) advance(d time.Duration) []Cmd {
	var cmds []Cmd
	for end := b.at.Add(d); b.at.Before(end); {
		b.at = b.at.Add(5 * time.Millisecond)
		cmds = append(cmds, b.do(Tick{})...)
	}
	return cmds
}

// targetStates returns the number of targets in each state.
func (b *testBroker) targetStates() map[string]int {
	n := map[string]int{}
	for _, t := range b.Services()[0].Targets {
		n[t.State]++
	}
	return n
}

func wantEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

// TestRefusalKinds guards against refusals with the wrong error kind.
func TestRefusalKinds(t *testing.T) {
	cases := []struct {
		kind   messenger.ErrorKind
		change func(*messenger.SlotRequest)
		setup  func(*testBroker)
	}{
		{messenger.UnknownService, func(r *messenger.SlotRequest) { r.Service = "none" }, nil},
		{messenger.UnknownService, func(r *messenger.SlotRequest) { r.RequestType = "none" }, nil},
		{messenger.UnknownTeam, func(r *messenger.SlotRequest) { r.Team = "none" }, nil},
		{messenger.NeverRunnable, func(r *messenger.SlotRequest) { r.DeclaredMemoryMB = 1001 }, nil},
		{messenger.NeverRunnable, func(r *messenger.SlotRequest) { r.DeadlineInMs = 19 }, nil},
		{messenger.DeadlineUnmeetable, func(r *messenger.SlotRequest) { r.DeadlineInMs = 99 }, withMeasuredRunTime(100)},
		{messenger.DeadlineUnmeetable, func(r *messenger.SlotRequest) { r.DeclaredRunMs, r.DeadlineInMs = 1, 99 }, withMeasuredRunTime(100)},
		{messenger.NoTarget, nil, func(b *testBroker) { b.handleTargetsListed([]messenger.VM{{}}); b.leaveAllTargets() }},
		{messenger.DeadlineUnmeetable, func(r *messenger.SlotRequest) { r.DeadlineInMs = 200 }, func(b *testBroker) { b.requestSlots(testRequest("big", "check", 40)) }},
		{messenger.OverQuota, func(r *messenger.SlotRequest) { r.Team, r.DeadlineInMs = "small", 500 }, nil},
		{messenger.Overloaded, func(r *messenger.SlotRequest) { r.Tasks = make([]int, 0); appendTasks(r, 101) }, nil},
		{messenger.AllowanceExhausted, nil, func(b *testBroker) { b.services["orders"].allowance = 100 }},
		{messenger.DeadlineExceeded, func(r *messenger.SlotRequest) { r.Admitted, r.DeadlineInMs = true, 0 }, nil},
	}
	for i, c := range cases {
		t.Run(fmt.Sprint(i, c.kind), func(t *testing.T) {
			config := testConfiguration(100)
			config.Teams["small"] = planner.Team{Slots: 1}
			b := newTestBroker(config, Settings{MaxWaitingTasks: 100}, 2, 4)
			if c.setup != nil {
				c.setup(b)
			}
			r := testRequest("j", "check", 10)
			if c.change != nil {
				c.change(&r)
			}
			grants, refusals := b.requestSlots(r)
			if len(grants) != 0 || len(refusals) != 1 || refusals[0].Error.Kind != c.kind {
				t.Fatalf("got %v, %v, want a refusal as %s", grants, refusals, c.kind)
			}
		})
	}
}

// withMeasuredRunTime returns a setup that adds enough run times of request type
// "check" for the measured run time to replace the declared one.
func withMeasuredRunTime(runMs int64) func(*testBroker) {
	return func(b *testBroker) {
		for range minRunTimes {
			b.services["orders"].statsFor("check").observe(runMs)
		}
	}
}

// TestUncertainRunTimes guards against refusing a job because of a run time that
// was only declared or is unknown: declared values are off by a factor of up to
// five.
func TestUncertainRunTimes(t *testing.T) {
	for _, declared := range []int64{0, 100, 490} {
		t.Run(fmt.Sprint(declared), func(t *testing.T) {
			r := testRequest("j", "check", 1)
			r.DeclaredRunMs, r.DeadlineInMs = declared, 100
			grants, refusals := newTestBroker(testConfiguration(100), Settings{}, 2, 4).requestSlots(r)
			if len(grants) != 1 || len(refusals) != 0 {
				t.Fatalf("got %v, %v, want one grant", grants, refusals)
			}
		})
	}
}

func appendTasks(r *messenger.SlotRequest, n int) {
	for i := range n {
		r.Tasks = append(r.Tasks, i)
	}
}

// leaveAllTargets lists all targets as leaving.
func (b *testBroker) leaveAllTargets() {
	vms := testTargets(2, 4)
	for i := range vms {
		vms[i].Leaving = true
	}
	b.do(TargetsListed{VMs: vms})
}

// TestBulkProgress guards against starvation of bulk work under urgent load, and
// against bulk work that gets more than its share of grants.
func TestBulkProgress(t *testing.T) {
	b := newTestBroker(testConfiguration(100), Settings{BulkAgeMs: 500, BulkShare: 5}, 1, 4)
	bulkJob := testRequest("bulk", "batch", 1000)
	bulkJob.DeadlineInMs, bulkJob.DeclaredRunMs = 1<<40, 1
	live, _ := b.requestSlots(testRequest("first", "check", 4))
	b.requestSlots(bulkJob)
	bulks, early := 0, 0
	for i := range 400 {
		b.at = b.at.Add(5 * time.Millisecond)
		r := testRequest(fmt.Sprint("urgent", i), "check", 1)
		r.DeadlineInMs, r.DeclaredRunMs = 1<<30, 1
		b.requestSlots(r)
		g := live[0]
		grants, _, _ := collectSent(b.finish(g, messenger.GrantDone, false))
		live = append(live[1:], grants...)
		for _, g := range grants {
			bulks += boolToInt(g.JobID == "bulk")
			early += boolToInt(g.JobID == "bulk" && i < 100)
		}
	}
	wantEqual(t, "bulk grants before BulkAgeMs", early, 0)
	wantEqual(t, "bulk grants in the last 300 rounds", bulks, 60)
}

// TestEjection guards against a target that stays in use although all its tasks
// fail, and against one that gets its full load right after its backoff.
func TestEjection(t *testing.T) {
	b := newTestBroker(testConfiguration(100), Settings{}, 3, 8)
	bad := "10.0.0.1:80"
	id := 0
	round := func(fails bool) int {
		id++
		grants, _ := b.requestSlots(testRequest(fmt.Sprint(id), "check", 24))
		toBad := 0
		for _, g := range grants {
			o := messenger.GrantDone
			if g.Target == bad {
				toBad++
				if fails {
					o = messenger.GrantFailed
				}
			}
			b.receive(self, messenger.SlotsRequest{Cancels: []string{g.JobID}})
			b.finish(g, o, false)
		}
		return toBad
	}
	wantEqual(t, "starts on the failing target", round(true), 8)
	wantEqual(t, "ejected targets", b.targetStates()["ejected"], 1)
	wantEqual(t, "starts while ejected", round(true), 0)
	b.advance(1100 * time.Millisecond)
	wantEqual(t, "starts on trial", round(true), 1)
	b.advance(1100 * time.Millisecond)
	wantEqual(t, "starts during the doubled backoff", round(true), 0)
	b.advance(1000 * time.Millisecond)
	for i, want := range []int{1, 2, 8, 8} {
		wantEqual(t, fmt.Sprint("starts in round ", i), round(false), want)
	}
}

// TestFailingRequestType guards against ejecting targets because of a request
// type that fails on all of them, and against ejecting more than half of the pool.
func TestFailingRequestType(t *testing.T) {
	b := newTestBroker(testConfiguration(100), Settings{}, 10, 2)
	most := 0
	for i := range 50 {
		grants, _ := b.requestSlots(testRequest(fmt.Sprint(i), "check", 20))
		for _, g := range grants {
			b.finish(g, messenger.GrantFailed, false)
			most = max(most, b.targetStates()["ejected"]+b.targetStates()["trial"])
		}
	}
	wantEqual(t, "targets ejected or on trial", most, 0)
	for _, vm := range testTargets(10, 2) {
		for range 6 {
			b.do(Probed{Target: vm.Address, Failed: true})
		}
	}
	wantEqual(t, "ejected targets when all probes fail", b.targetStates()["ejected"], 5)
}

// TestRetryBudget guards against unbounded retries.
func TestRetryBudget(t *testing.T) {
	b := newTestBroker(testConfiguration(100), Settings{}, 2, 1)
	grants, _ := b.requestSlots(testRequest("j", "check", 1))
	for i := range initialTokens {
		var refusals []messenger.SlotRefusal
		grants, refusals, _ = collectSent(b.finish(grants[0], messenger.GrantLeaving, true))
		b.do(Probed{Target: "10.0.0.1:80"})
		retry, _, _ := collectSent(b.do(Probed{Target: "10.0.0.2:80"}))
		if grants = append(grants, retry...); len(grants) != 1 || len(refusals) != 0 {
			t.Fatalf("retry %d: got %v, %v, want a grant", i, grants, refusals)
		}
	}
	_, refusals, _ := collectSent(b.finish(grants[0], messenger.GrantLeaving, true))
	if len(refusals) != 1 || refusals[0].Error.Kind != messenger.Overloaded || refusals[0].Error.SafeToResubmit {
		t.Fatalf("got %v, want a refusal as overloaded that is not safe to resubmit", refusals)
	}
}

// TestAllowance guards against exceeding the allowance because admitted work, or
// ended work that the platform has not reported yet, is not counted.
func TestAllowance(t *testing.T) {
	b := newTestBroker(testConfiguration(100), Settings{}, 1, 10)
	svc := b.services["orders"]
	svc.allowance = 2000
	grants, _ := b.requestSlots(testRequest("a", "check", 10))
	wantEqual(t, "reserved after admission", svc.reservedMs, 1000)
	for _, g := range grants {
		b.finish(g, messenger.GrantDone, false)
	}
	wantEqual(t, "reserved after all tasks ended", svc.reservedMs, 0)
	b.do(UsageReported{Service: "orders", SlotMs: 500})
	wantEqual(t, "500 slot ms fit the allowance", svc.fitsAllowance(500), true)
	wantEqual(t, "501 slot ms fit the allowance", svc.fitsAllowance(501), false)
	b.advance(12 * time.Second)
	b.do(UsageReported{Service: "orders", SlotMs: 1000})
	wantEqual(t, "1000 slot ms fit the allowance", svc.fitsAllowance(1000), true)
	wantEqual(t, "1001 slot ms fit the allowance", svc.fitsAllowance(1001), false)
}

// TestRequeueEdges guards against requeueing a task of a cancelled job, and
// against losing a task whose release names a grant that is no longer live.
func TestRequeueEdges(t *testing.T) {
	b := newTestBroker(testConfiguration(100), Settings{}, 2, 1)
	grants, _ := b.requestSlots(testRequest("j", "check", 1))
	b.receive(self, messenger.SlotsRequest{Cancels: []string{"j"}})
	grantsAfterCancel, _, needRegistration := collectSent(b.finish(grants[0], messenger.GrantBusy, true))
	wantEqual(t, "grants and registration requests after cancelling", len(grantsAfterCancel)+len(needRegistration), 0)
	_, _, needRegistration = collectSent(b.finish(grants[0], messenger.GrantBusy, true))
	wantEqual(t, "registration requests after a repeated release", len(needRegistration), 1)
}

// TestMemoryDoesNotBlock guards against head-of-line blocking: a job that waits
// for a target with much memory must not keep other jobs from free targets.
func TestMemoryDoesNotBlock(t *testing.T) {
	b := newTestBroker(testConfiguration(100), Settings{Order: "fifo"}, 2, 1)
	vms := testTargets(2, 1)
	vms[1].MemoryMB = 4000
	b.do(TargetsListed{VMs: vms})
	large := testRequest("large", "check", 3)
	large.DeclaredMemoryMB = 2000
	grants, _ := b.requestSlots(large)
	wantEqual(t, "grants of the large job", len(grants), 1)
	grants, _ = b.requestSlots(testRequest("small", "check", 1))
	wantEqual(t, "grants of the small job", len(grants), 1)
}

// TestTakeover guards against a new broker that issues grants before all members
// have registered theirs, which would use slots twice, and against one that waits
// forever for a silent member.
func TestTakeover(t *testing.T) {
	for _, silent := range []bool{true, false} {
		b := newTestBroker(testConfiguration(100), Settings{}, 1, 1)
		b.do(ServicesAssigned{Members: []messenger.Member{self, other}})
		b.do(ServicesAssigned{Services: []string{"orders"}, Members: []messenger.Member{self, other}})
		grants, _, _ := collectSent(b.receive(self, messenger.SlotsRequest{Full: true, Requests: []messenger.SlotRequest{testRequest("j", "check", 1)}}))
		wantEqual(t, "grants before all members registered", len(grants), 0)
		if silent {
			grants, _, _ = collectSent(b.advance(295 * time.Millisecond))
			wantEqual(t, "grants before 300 ms", len(grants), 0)
			grants, _, _ = collectSent(b.advance(5 * time.Millisecond))
		} else {
			grants, _, _ = collectSent(b.receive(other, messenger.SlotsRequest{Full: true}))
		}
		wantEqual(t, "grants after registration or timeout", len(grants), 1)
	}
}

// TestProbes guards against probes of targets that already reply to tasks.
func TestProbes(t *testing.T) {
	b := newTestBroker(testConfiguration(100), Settings{}, 2, 1)
	probes := map[string]int{}
	for i := range 100 {
		grants, _ := b.requestSlots(testRequest(fmt.Sprint(i), "check", 1))
		wantEqual(t, "granted target", grants[0].Target, "10.0.0.1:80")
		b.finish(grants[0], messenger.GrantDone, false)
		for _, c := range b.advance(100 * time.Millisecond) {
			if p, ok := c.(Probe); ok {
				probes[p.Target]++
			}
		}
	}
	wantEqual(t, "probes of the busy target", probes["10.0.0.1:80"], 0)
	wantEqual(t, "probes of the idle target in 10 s", probes["10.0.0.2:80"], 4)
}

// TestSlowTargetLast guards against using a slow target while others are free.
func TestSlowTargetLast(t *testing.T) {
	b := newTestBroker(testConfiguration(100), Settings{}, 4, 2)
	for i := range 20 {
		grants, _ := b.requestSlots(testRequest(fmt.Sprint(i), "check", 8))
		for _, g := range grants {
			run := int64(100)
			if g.Target == "10.0.0.1:80" {
				run = 1500
			}
			b.receive(self, messenger.SlotsRequest{Releases: []messenger.Release{{Grant: g, RequestType: "check", Outcome: messenger.GrantDone, RunMs: run}}})
		}
	}
	grants, _ := b.requestSlots(testRequest("few", "check", 6))
	for _, g := range grants {
		if g.Target == "10.0.0.1:80" {
			t.Fatalf("grant %v on the slow target while others are free", g)
		}
	}
}

// TestBusy guards against repeated grants on a target whose slots are used by
// others, and against slots that stay blocked after that work has ended.
func TestBusy(t *testing.T) {
	for _, status := range []*messenger.TargetStatus{nil, {Slots: 4, InFlight: 4}} {
		b := newTestBroker(testConfiguration(100), Settings{}, 1, 4)
		grants, _ := b.requestSlots(testRequest("j", "check", 1))
		more, _, _ := collectSent(b.receive(self, messenger.SlotsRequest{Releases: []messenger.Release{{Grant: grants[0], Outcome: messenger.GrantBusy, Requeue: true, Status: status}}}))
		wantEqual(t, "grants right after a busy reply", len(more), 0)
		more, _, _ = collectSent(b.advance(1990 * time.Millisecond))
		wantEqual(t, "grants within 2 s", len(more), 0)
		more, _, _ = collectSent(b.advance(50 * time.Millisecond))
		wantEqual(t, "grants after 2 s", len(more), 1)
	}
}

// TestOrderOfPeers guards against commands in map iteration order, which would
// make the replay of a recorded run differ.
func TestOrderOfPeers(t *testing.T) {
	b := newTestBroker(testConfiguration(100), Settings{}, 1, 1)
	members := []messenger.Member{self}
	for i := range 20 {
		members = append(members, messenger.Member{Address: fmt.Sprintf("127.0.1.%02d:1", i), Incarnation: 5})
	}
	b.do(ServicesAssigned{Services: []string{"orders"}, Members: members})
	for _, m := range members[1:] {
		b.receive(m, messenger.SlotsRequest{Full: true})
	}
	_, _, needRegistration := collectSent(b.do(ServicesAssigned{Services: []string{"orders"}, Members: members[:1]}))
	wantEqual(t, "registration requests", len(needRegistration), 20)
	for i, m := range needRegistration {
		wantEqual(t, "order of registration requests", m, members[i+1])
	}
}

// TestSendFailed guards against a lost request for a registration that is never
// repeated, and against a loop of messages to an unreachable peer.
func TestSendFailed(t *testing.T) {
	b := newTestBroker(testConfiguration(100), Settings{}, 1, 1)
	countRequests := func(cmds []Cmd) int {
		_, _, needRegistration := collectSent(cmds)
		return len(needRegistration)
	}
	wantEqual(t, "registration requests after the first failure", countRequests(b.do(SendFailed{To: other})), 1)
	wantEqual(t, "registration requests after the second failure", countRequests(b.do(SendFailed{To: other})), 0)
	wantEqual(t, "registration requests within 1.1 s", countRequests(b.advance(1100*time.Millisecond)), 2)
	b.receive(other, messenger.SlotsRequest{Full: true})
	wantEqual(t, "registration requests after the registration", countRequests(b.advance(1100*time.Millisecond)), 0)
}

// TestJobOrder guards against a wrong order of the jobs of one class, and against
// a stale order after the number of unfinished tasks has changed.
func TestJobOrder(t *testing.T) {
	cases := []struct {
		order        string
		small        int
		largeInMs    int64
		first, after string
	}{
		{"fewestLeft", 2, 10_000, "small", "large"},
		{"fewestLeft", 3, 10_000, "large", "large"},
		{"fifo", 2, 10_000, "large", "large"},
		{"fewestLeft", 2, 300, "large", "large"},
	}
	for i, c := range cases {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			b := newTestBroker(testConfiguration(100), Settings{Order: c.order}, 1, 2)
			large := testRequest("large", "check", 4)
			large.Tasks, large.Admitted, large.DeadlineInMs = append(large.Tasks, 3, 0), true, c.largeInMs
			live, _ := b.requestSlots(large)
			b.requestSlots(testRequest("small", "check", c.small))
			for _, want := range []string{c.first, c.after} {
				grants, _, _ := collectSent(b.finish(live[0], messenger.GrantDone, false))
				wantEqual(t, "job of the next grant", grants[0].JobID, want)
				live = live[1:]
			}
			wantEqual(t, "tasks waiting", b.Services()[0].Waiting, c.small+4-4)
		})
	}
}

// TestStandingQueue guards against urgent work that is always delayed by a queue
// that never empties, and against refusals after a single burst.
func TestStandingQueue(t *testing.T) {
	b := newTestBroker(testConfiguration(100), Settings{}, 1, 1)
	_, refusals := b.requestSlots(testRequest("first", "check", 5))
	wantEqual(t, "refusals with an empty queue", len(refusals), 0)
	_, refusals = b.requestSlots(testRequest("burst", "check", 5))
	wantEqual(t, "refusals of a burst", len(refusals), 0)
	b.advance(250 * time.Millisecond)
	_, refusals = b.requestSlots(testRequest("late", "check", 1))
	if len(refusals) != 1 || refusals[0].Error.Kind != messenger.Overloaded {
		t.Fatalf("got %v, want a refusal as overloaded", refusals)
	}
	quota := newTestBroker(testConfiguration(100), Settings{}, 1, 2)
	quota.services["orders"].share, quota.ensureTeam("blue").share = 2, 1
	blue := testRequest("blue", "check", 50)
	blue.Team = "blue"
	quota.requestSlots(blue)
	quota.advance(250 * time.Millisecond)
	_, refusals = quota.requestSlots(testRequest("red", "check", 1))
	wantEqual(t, "refusals while another team is at its share", len(refusals), 0)
	b.receive(self, messenger.SlotsRequest{Cancels: []string{"first", "burst"}})
	_, refusals = b.requestSlots(testRequest("again", "check", 1))
	wantEqual(t, "refusals after the queue emptied", len(refusals), 0)
}
