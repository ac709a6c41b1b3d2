package dispatcher

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/identifier"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// countsByReason returns how often cmds increment each counter of a group.
func countsByReason(cmds []Cmd, group string) map[string]int {
	list := map[string]int{}
	for _, c := range commandsOf[Count](cmds) {
		if c.Group == group {
			list[c.Reason]++
		}
	}
	return list
}

func wantOneCount(t *testing.T, cmds []Cmd, group, reason string) {
	t.Helper()
	if got := countsByReason(cmds, group); len(got) != 1 || got[reason] != 1 {
		t.Errorf("%s counters incremented: %v, want %s once", group, got, reason)
	}
}

// reconfigure puts a changed configuration into force.
func (e *entryUnderTest) reconfigure(change func(*planner.Configuration)) {
	accepted := e.s.active
	accepted.Version, accepted.ChangeID, accepted.ReadThrough = accepted.Version+1, "c2", accepted.ReadThrough+5
	accepted.Configuration = testConfiguration()
	change(&accepted.Configuration)
	e.update(ConfigurationFetched{Accepted: accepted})
}

// submitModified submits a stock check of one task, modified by change.
func (e *entryUnderTest) submitModified(change func(*messenger.Submission)) []Cmd {
	sub := e.submission(e.newID(), "stock-check", `1`)
	change(&sub)
	_, cmds := e.submit(sub)
	return cmds
}

// fillSlots starts a task in every slot.
func (e *entryUnderTest) fillSlots() {
	for range 4 {
		e.submitModified(func(s *messenger.Submission) { s.DeclaredRunMs = 5000 })
	}
}

// foreignID returns an id that another entry process at the address issued.
func (e *entryUnderTest) foreignID(address string) string {
	return e.s.cfg.Signer.Format(identifier.ID{FailureDomain: "patan", Address: address, Incarnation: 10, Sequence: 1})
}

// refusalCases triggers each error kind that the reducer can return.
var refusalCases = map[messenger.ErrorKind]func(e *entryUnderTest) []Cmd{
	messenger.BadRequest: func(e *entryUnderTest) []Cmd {
		return e.submitModified(func(s *messenger.Submission) { s.MoreIDs = 1001 })
	},
	messenger.TooLarge: func(e *entryUnderTest) []Cmd {
		return e.submitModified(func(s *messenger.Submission) {
			for range 100 {
				s.Tasks = append(s.Tasks, s.Tasks[0])
			}
		})
	},
	messenger.NotFound: func(e *entryUnderTest) []Cmd {
		id := e.newID()
		parsed, _ := e.s.cfg.Signer.Parse(id)
		return e.update(Fetch{Waiter: 99, Text: id, ID: parsed})
	},
	messenger.UnknownTeam: func(e *entryUnderTest) []Cmd {
		return e.submitModified(func(s *messenger.Submission) { s.Team = "x" })
	},
	messenger.UnknownService: func(e *entryUnderTest) []Cmd {
		return e.submitModified(func(s *messenger.Submission) { s.Service = "x" })
	},
	messenger.IDConflict: func(e *entryUnderTest) []Cmd {
		id := e.newID()
		e.submit(e.submission(id, "stock-check", `1`))
		_, cmds := e.submit(e.submission(id, "stock-check", `1`, `2`))
		return cmds
	},
	messenger.IDExpired: func(e *entryUnderTest) []Cmd {
		sub := e.submission(e.newID(), "stock-check", `1`)
		e.advance(63 * time.Second)
		_, cmds := e.submit(sub)
		return cmds
	},
	messenger.OwnerGone: func(e *entryUnderTest) []Cmd {
		return e.submitModified(func(s *messenger.Submission) { s.ID = e.foreignID(e.s.cfg.Self.Address) })
	},
	messenger.OwnerUnreachable: func(e *entryUnderTest) []Cmd {
		cmds := e.submitModified(func(s *messenger.Submission) { s.ID = e.foreignID("127.0.0.1:7009") })
		return e.update(Forwarded{Waiter: e.waiter, JobID: commandsOf[Forward](cmds)[0].JobID, Err: &Failure{}})
	},
	messenger.NeverRunnable: func(e *entryUnderTest) []Cmd {
		return e.submitModified(func(s *messenger.Submission) { s.DeclaredRunMs, s.DeadlineMs = 4900, 100 })
	},
	messenger.DeadlineUnmeetable: func(e *entryUnderTest) []Cmd {
		e.fillSlots()
		e.submitModified(func(s *messenger.Submission) {
			s.DeadlineMs = 60_000
			for range 50 {
				s.Tasks = append(s.Tasks, s.Tasks[0])
			}
		})
		return e.submitModified(func(s *messenger.Submission) { s.DeclaredRunMs, s.DeadlineMs = 900, 1000 })
	},
	messenger.OverQuota: func(e *entryUnderTest) []Cmd {
		e.reconfigure(func(c *planner.Configuration) { c.Teams["restaurants"] = planner.Team{} })
		return e.submitModified(func(*messenger.Submission) {})
	},
	messenger.AllowanceExhausted: func(e *entryUnderTest) []Cmd {
		e.reconfigure(func(c *planner.Configuration) {
			svc := c.Services["orders"]
			svc.AllowanceSlotSeconds = 10
			c.Services["orders"] = svc
		})
		e.update(UsageRead{SlotMs: map[string]int64{"orders": 20_000}})
		return e.submitModified(func(*messenger.Submission) {})
	},
	messenger.Overloaded: func(e *entryUnderTest) []Cmd {
		e.waiter++
		return e.update(Submit{Waiter: e.waiter, Submission: e.submission("", "stock-check", `1`), Bytes: 2 << 20})
	},
	messenger.NoTarget: func(e *entryUnderTest) []Cmd {
		e.reconfigure(func(c *planner.Configuration) { c.Services["idle"] = c.Services["orders"] })
		return e.submitModified(func(s *messenger.Submission) { s.Service = "idle" })
	},
	messenger.Draining: func(e *entryUnderTest) []Cmd {
		sub := e.submission(e.newID(), "stock-check", `1`)
		e.update(Drain{})
		e.advance(1500 * time.Millisecond)
		_, cmds := e.submit(sub)
		return cmds
	},
	messenger.NotReady: func(e *entryUnderTest) []Cmd {
		e.s = New(testStart, testSettings())
		return e.submitModified(func(*messenger.Submission) {})
	},
	messenger.DeadlineExceeded: func(e *entryUnderTest) []Cmd {
		e.fillSlots()
		cmds := e.submitModified(func(s *messenger.Submission) { s.DeadlineMs = 9000 })
		return append(cmds, e.advance(9100*time.Millisecond)...)
	},
	messenger.TaskFailed: func(e *entryUnderTest) []Cmd {
		st := wantOneStart(e.t, e.submitModified(func(*messenger.Submission) {}))
		return e.endTask(st, errorReply(messenger.TaskErrorFailed, true), nil)
	},
	messenger.TargetLost: func(e *entryUnderTest) []Cmd {
		st := wantOneStart(e.t, e.submitModified(func(*messenger.Submission) {}))
		return e.endTask(st, messenger.TaskReply{}, &Failure{Text: "EOF"})
	},
	messenger.Cancelled: func(e *entryUnderTest) []Cmd {
		id := e.newID()
		parsed, _ := e.s.cfg.Signer.Parse(id)
		e.submit(e.submission(id, "stock-check", `1`))
		return e.update(Cancel{Waiter: 99, Text: id, ID: parsed})
	},
}

// TestRefusalCounters guards against a refusal that is not counted, or is
// counted by both the broker and the owner of the job.
func TestRefusalCounters(t *testing.T) {
	for kind, trigger := range refusalCases {
		t.Run(string(kind), func(t *testing.T) {
			e := newEntry(t)
			cmds := append([]Cmd(nil), trigger(e)...)
			wantOneCount(t, cmds, "refusal", string(kind))
			for _, r := range commandsOf[Reply](cmds) {
				if a, ok := r.Value.(messenger.Answer); ok && (a.Error == nil || a.Error.Kind != kind) {
					t.Errorf("got outcome %s with error %v", a.Outcome, a.Error)
				}
			}
		})
	}
	// Forbidden is reserved. The listener returns the other two.
	elsewhere := map[messenger.ErrorKind]bool{messenger.Forbidden: true, messenger.BadID: true, messenger.Internal: true}
	for _, kind := range messenger.ErrorKinds() {
		if refusalCases[kind] == nil && !elsewhere[kind] {
			t.Errorf("no test case for kind %s", kind)
		}
	}
}

// TestRetryCounters guards against a retry that is not counted or is counted
// twice.
func TestRetryCounters(t *testing.T) {
	for _, c := range []struct {
		reason  messenger.GrantOutcome
		reply   messenger.TaskReply
		failure *Failure
	}{
		{messenger.GrantUnreachable, messenger.TaskReply{}, &Failure{NotSent: true}},
		{messenger.GrantBusy, errorReply(messenger.TaskErrorBusy, false), nil},
		{messenger.GrantLeaving, errorReply(messenger.TaskErrorLeaving, false), nil},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			e := newEntry(t)
			cmds := e.submitModified(func(*messenger.Submission) {})
			cmds = append(e.endTask(wantOneStart(t, cmds), c.reply, c.failure), e.advance(time.Second)...)
			wantOneCount(t, cmds, "retry", string(c.reason))
		})
	}
	t.Run("lapsed", func(t *testing.T) {
		e := newEntry(t)
		e.fillSlots()
		waiting := e.newID()
		e.submit(e.submission(waiting, "stock-check", `1`))
		g := messenger.Grant{ID: 1, Service: "orders", JobID: waiting, Target: "127.0.0.1:9001", LeaseMs: 2000}
		late := SlotsAnswered{To: messenger.Member{Address: "127.0.0.1:7002", Incarnation: 5}, SentAt: e.now, Reply: messenger.SlotsReply{Grants: []messenger.Grant{g}}}
		e.now = e.now.Add(3 * time.Second)
		wantOneCount(t, e.update(late), "retry", string(messenger.GrantUnused))
	})
}
