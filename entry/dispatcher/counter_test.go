package dispatcher

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/identifier"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// counts returns the counters of a group that cmds raise.
func counts(cmds []Cmd, group string) map[string]int {
	list := map[string]int{}
	for _, c := range only[Count](cmds) {
		if c.Group == group {
			list[c.Reason]++
		}
	}
	return list
}

func wantOneCount(t *testing.T, cmds []Cmd, group, reason string) {
	t.Helper()
	if got := counts(cmds, group); len(got) != 1 || got[reason] != 1 {
		t.Errorf("the %s counters rise by %v, want %s by 1", group, got, reason)
	}
}

// reconfigure puts a changed configuration into force.
func (e *entryUnderTest) reconfigure(change func(*planner.Configuration)) {
	accepted := e.s.present
	accepted.Version, accepted.ChangeID, accepted.ReadThrough = accepted.Version+1, "c2", accepted.ReadThrough+5
	accepted.Configuration = testConfiguration()
	change(&accepted.Configuration)
	e.do(ConfigurationFetched{Accepted: accepted})
}

// submitChanged submits a stock check of one task with a change.
func (e *entryUnderTest) submitChanged(change func(*messenger.Submission)) []Cmd {
	sub := e.submission(e.newID(), "stock-check", `1`)
	change(&sub)
	_, cmds := e.submit(sub)
	return cmds
}

// fill starts a task in every slot.
func (e *entryUnderTest) fill() {
	for range 4 {
		e.submitChanged(func(s *messenger.Submission) { s.DeclaredRunMs = 5000 })
	}
}

func (e *entryUnderTest) foreignID(address string) string {
	return e.s.cfg.Signer.Format(identifier.ID{FailureDomain: "patan", Address: address, Incarnation: 10, Sequence: 1})
}

// refusalCases provokes each kind that the reducer can answer.
var refusalCases = map[messenger.Kind]func(e *entryUnderTest) []Cmd{
	messenger.BadRequest: func(e *entryUnderTest) []Cmd {
		return e.submitChanged(func(s *messenger.Submission) { s.MoreIDs = 1001 })
	},
	messenger.TooLarge: func(e *entryUnderTest) []Cmd {
		return e.submitChanged(func(s *messenger.Submission) {
			for range 100 {
				s.Tasks = append(s.Tasks, s.Tasks[0])
			}
		})
	},
	messenger.NotFound: func(e *entryUnderTest) []Cmd {
		id := e.newID()
		parsed, _ := e.s.cfg.Signer.Parse(id)
		return e.do(Fetch{Waiter: 99, Text: id, ID: parsed})
	},
	messenger.UnknownTeam: func(e *entryUnderTest) []Cmd {
		return e.submitChanged(func(s *messenger.Submission) { s.Team = "x" })
	},
	messenger.UnknownService: func(e *entryUnderTest) []Cmd {
		return e.submitChanged(func(s *messenger.Submission) { s.Service = "x" })
	},
	messenger.IDConflict: func(e *entryUnderTest) []Cmd {
		id := e.newID()
		e.submit(e.submission(id, "stock-check", `1`))
		_, cmds := e.submit(e.submission(id, "stock-check", `1`, `2`))
		return cmds
	},
	messenger.IDExpired: func(e *entryUnderTest) []Cmd {
		sub := e.submission(e.newID(), "stock-check", `1`)
		e.pass(63 * time.Second)
		_, cmds := e.submit(sub)
		return cmds
	},
	messenger.OwnerGone: func(e *entryUnderTest) []Cmd {
		return e.submitChanged(func(s *messenger.Submission) { s.ID = e.foreignID(e.s.cfg.Self.Address) })
	},
	messenger.OwnerUnreachable: func(e *entryUnderTest) []Cmd {
		cmds := e.submitChanged(func(s *messenger.Submission) { s.ID = e.foreignID("127.0.0.1:7009") })
		return e.do(Forwarded{Waiter: e.waiter, JobID: only[Forward](cmds)[0].JobID, Err: &Failure{}})
	},
	messenger.NeverRunnable: func(e *entryUnderTest) []Cmd {
		return e.submitChanged(func(s *messenger.Submission) { s.DeclaredRunMs, s.DeadlineMs = 4900, 100 })
	},
	messenger.DeadlineUnmeetable: func(e *entryUnderTest) []Cmd {
		e.fill()
		e.submitChanged(func(s *messenger.Submission) {
			s.DeadlineMs = 60_000
			for range 50 {
				s.Tasks = append(s.Tasks, s.Tasks[0])
			}
		})
		return e.submitChanged(func(s *messenger.Submission) { s.DeclaredRunMs, s.DeadlineMs = 900, 1000 })
	},
	messenger.OverQuota: func(e *entryUnderTest) []Cmd {
		e.reconfigure(func(c *planner.Configuration) { c.Teams["restaurants"] = planner.Team{} })
		return e.submitChanged(func(*messenger.Submission) {})
	},
	messenger.AllowanceSpent: func(e *entryUnderTest) []Cmd {
		e.reconfigure(func(c *planner.Configuration) {
			svc := c.Services["orders"]
			svc.AllowanceSlotSeconds = 10
			c.Services["orders"] = svc
		})
		e.do(UsageRead{SlotMs: map[string]int64{"orders": 20_000}})
		return e.submitChanged(func(*messenger.Submission) {})
	},
	messenger.Overloaded: func(e *entryUnderTest) []Cmd {
		e.waiter++
		return e.do(Submit{Waiter: e.waiter, Submission: e.submission("", "stock-check", `1`), Bytes: 2 << 20})
	},
	messenger.NoTarget: func(e *entryUnderTest) []Cmd {
		e.reconfigure(func(c *planner.Configuration) { c.Services["idle"] = c.Services["orders"] })
		return e.submitChanged(func(s *messenger.Submission) { s.Service = "idle" })
	},
	messenger.Draining: func(e *entryUnderTest) []Cmd {
		sub := e.submission(e.newID(), "stock-check", `1`)
		e.do(Drain{})
		e.pass(1500 * time.Millisecond)
		_, cmds := e.submit(sub)
		return cmds
	},
	messenger.NotReady: func(e *entryUnderTest) []Cmd {
		e.s = New(testStart, testSettings())
		return e.submitChanged(func(*messenger.Submission) {})
	},
	messenger.DeadlineExceeded: func(e *entryUnderTest) []Cmd {
		e.fill()
		cmds := e.submitChanged(func(s *messenger.Submission) { s.DeadlineMs = 9000 })
		return append(cmds, e.pass(9100*time.Millisecond)...)
	},
	messenger.TaskFailed: func(e *entryUnderTest) []Cmd {
		st := oneStart(e.t, e.submitChanged(func(*messenger.Submission) {}))
		return e.end(st, refusal(messenger.TaskFault, true), nil)
	},
	messenger.TargetLost: func(e *entryUnderTest) []Cmd {
		st := oneStart(e.t, e.submitChanged(func(*messenger.Submission) {}))
		return e.end(st, messenger.TaskReply{}, &Failure{Text: "EOF"})
	},
	messenger.Cancelled: func(e *entryUnderTest) []Cmd {
		id := e.newID()
		parsed, _ := e.s.cfg.Signer.Parse(id)
		e.submit(e.submission(id, "stock-check", `1`))
		return e.do(Cancel{Waiter: 99, Text: id, ID: parsed})
	},
}

// Guards against a refusal that is not counted, or counted by the broker and
// by the owner of the job.
func TestRefusalCounters(t *testing.T) {
	for kind, provoke := range refusalCases {
		t.Run(string(kind), func(t *testing.T) {
			e := newEntry(t)
			cmds := append([]Cmd(nil), provoke(e)...)
			wantOneCount(t, cmds, "refusal", string(kind))
			for _, r := range only[Reply](cmds) {
				if a, ok := r.Value.(messenger.Answer); ok && (a.Error == nil || a.Error.Kind != kind) {
					t.Errorf("the answer is %s, %v", a.Outcome, a.Error)
				}
			}
		})
	}
	// Forbidden is reserved. The listener answers the other two.
	elsewhere := map[messenger.Kind]bool{messenger.Forbidden: true, messenger.BadID: true, messenger.Internal: true}
	for _, kind := range messenger.Kinds() {
		if refusalCases[kind] == nil && !elsewhere[kind] {
			t.Errorf("no case for %s", kind)
		}
	}
}

// Guards against a retry that is not counted, or counted twice.
func TestRetryCounters(t *testing.T) {
	for _, c := range []struct {
		reason  messenger.GrantOutcome
		reply   messenger.TaskReply
		failure *Failure
	}{
		{messenger.GrantUnreachable, messenger.TaskReply{}, &Failure{NotSent: true}},
		{messenger.GrantBusy, refusal(messenger.Busy, false), nil},
		{messenger.GrantLeaving, refusal(messenger.Leaving, false), nil},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			e := newEntry(t)
			cmds := e.submitChanged(func(*messenger.Submission) {})
			cmds = append(e.end(oneStart(t, cmds), c.reply, c.failure), e.pass(time.Second)...)
			wantOneCount(t, cmds, "retry", string(c.reason))
		})
	}
	t.Run("lapsed", func(t *testing.T) {
		e := newEntry(t)
		e.fill()
		waiting := e.newID()
		e.submit(e.submission(waiting, "stock-check", `1`))
		g := messenger.Grant{ID: 1, Service: "orders", JobID: waiting, Target: "127.0.0.1:9001", LeaseMs: 2000}
		late := SlotsAnswered{To: messenger.Member{Address: "127.0.0.1:7002", Incarnation: 5}, SentAt: e.now, Reply: messenger.SlotsReply{Grants: []messenger.Grant{g}}}
		e.now = e.now.Add(3 * time.Second)
		wantOneCount(t, e.do(late), "retry", string(messenger.GrantUnused))
	})
}
