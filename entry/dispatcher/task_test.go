package dispatcher

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

func errorReply(kind messenger.TaskErrorKind, started bool) messenger.TaskReply {
	reply := successReply(``)
	reply.Result, reply.Error = nil, &messenger.TaskError{Kind: kind, Started: started}
	return reply
}

// TestStartResults guards against a second start of a task that may have
// reached its target, and against failing one that provably did not.
func TestStartResults(t *testing.T) {
	cases := []struct {
		name    string
		reply   messenger.TaskReply
		failure *Failure
		again   bool
		kind    messenger.ErrorKind
	}{
		{"no connection", messenger.TaskReply{}, &Failure{NotSent: true}, true, ""},
		{"busy", errorReply(messenger.TaskErrorBusy, false), nil, true, ""},
		{"leaving", errorReply(messenger.TaskErrorLeaving, false), nil, true, ""},
		{"lease lapsed", errorReply(messenger.TaskErrorLeaseLapsed, false), nil, true, ""},
		{"connection broke", messenger.TaskReply{}, &Failure{Text: "EOF"}, false, messenger.TargetLost},
		{"busy but started", errorReply(messenger.TaskErrorBusy, true), nil, false, messenger.TaskFailed},
		{"fault", errorReply(messenger.TaskErrorFailed, true), nil, false, messenger.TaskFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEntry(t)
			w, cmds := e.submit(e.submission(e.newID(), "firm-booking", `1`))
			first := wantOneStart(t, cmds)
			cmds = append(e.endTask(first, c.reply, c.failure), e.advance(time.Second)...)
			if !c.again {
				wantNoStart(t, cmds)
				wantError(t, replyTo[messenger.Answer](t, cmds, w), c.kind, messenger.MayHaveRun)
				return
			}
			second := wantOneStart(t, cmds)
			if second.Grant.Target == first.Grant.Target {
				t.Errorf("the task went to %s again", first.Grant.Target)
			}
			cmds = e.endTask(second, successReply(`2`), nil)
			wantComplete(t, replyTo[messenger.Answer](t, cmds, w), `2`)
		})
	}
	t.Run("a payload that the target refuses fails the job, which did not run", func(t *testing.T) {
		e := newEntry(t)
		w, cmds := e.submit(e.submission(e.newID(), "firm-booking", `1`))
		cmds = e.endTask(wantOneStart(t, cmds), errorReply(messenger.TaskErrorBadTask, false), nil)
		wantError(t, replyTo[messenger.Answer](t, cmds, w), messenger.TaskFailed, messenger.DidNotRun)
	})
}

// TestJobAnswer guards against partial answers and against results in the wrong
// order.
func TestJobAnswer(t *testing.T) {
	t.Run("results keep the order of tasks", func(t *testing.T) {
		e := newEntry(t)
		w, cmds := e.submit(e.submission(e.newID(), "stock-check", `1`, `2`, `3`))
		starts := commandsOf[StartTask](cmds)
		var last []Cmd
		for i := len(starts) - 1; i >= 0; i-- {
			last = e.endTask(starts[i], successReply(string(starts[i].Request.Payload)), nil)
		}
		wantComplete(t, replyTo[messenger.Answer](t, last, w), `1`, `2`, `3`)
	})
	t.Run("one failed task fails the job, and later results are dropped", func(t *testing.T) {
		e := newEntry(t)
		w, cmds := e.submit(e.submission(e.newID(), "stock-check", `1`, `2`))
		starts := commandsOf[StartTask](cmds)
		wantError(t, replyTo[messenger.Answer](t, e.endTask(starts[0], errorReply(messenger.TaskErrorFailed, true), nil), w),
			messenger.TaskFailed, messenger.MayHaveRun)
		if replies := commandsOf[Reply](e.endTask(starts[1], successReply(`2`), nil)); len(replies) != 0 {
			t.Errorf("the late result caused %d replies", len(replies))
		}
	})
	t.Run("an ended job frees its slots", func(t *testing.T) {
		e := newEntry(t)
		_, cmds := e.submit(e.submission(e.newID(), "stock-check", `1`, `2`, `3`, `4`, `5`, `6`))
		starts := commandsOf[StartTask](cmds)
		if len(starts) != 4 {
			t.Fatalf("got %d starts on 4 slots", len(starts))
		}
		e.endTask(starts[0], errorReply(messenger.TaskErrorFailed, true), nil)
		for _, st := range starts[1:] {
			wantNoStart(t, e.endTask(st, successReply(`0`), nil))
		}
		_, cmds = e.submit(e.submission(e.newID(), "stock-check", `1`, `2`, `3`, `4`))
		if n := len(commandsOf[StartTask](cmds)); n != 4 {
			t.Errorf("got %d starts on 4 free slots", n)
		}
	})
}

// TestDeadlineAndCancel guards against a false statement that a job did not
// run.
func TestDeadlineAndCancel(t *testing.T) {
	t.Run("deadline passes while a task runs", func(t *testing.T) {
		e := newEntry(t)
		sub := e.submission(e.newID(), "stock-check", `1`)
		sub.DeadlineMs = 100
		sub.DeclaredRunMs = 10
		w, cmds := e.submit(sub)
		wantOneStart(t, cmds)
		wantError(t, replyTo[messenger.Answer](t, e.advance(200*time.Millisecond), w), messenger.DeadlineExceeded, messenger.MayHaveRun)
	})
	t.Run("deadline passes before a start", func(t *testing.T) {
		e := newEntry(t)
		for range 4 {
			e.submit(e.submission(e.newID(), "stock-check", `1`))
		}
		sub := e.submission(e.newID(), "stock-check", `1`)
		sub.DeadlineMs = 9000
		w, cmds := e.submit(sub)
		wantNoStart(t, cmds)
		wantError(t, replyTo[messenger.Answer](t, e.advance(9100*time.Millisecond), w), messenger.DeadlineExceeded, messenger.DidNotRun)
	})
	t.Run("cancel while a task runs", func(t *testing.T) {
		e := newEntry(t)
		id := e.newID()
		parsed, _ := e.s.cfg.Signer.Parse(id)
		w, cmds := e.submit(e.submission(id, "stock-check", `1`))
		wantOneStart(t, cmds)
		wantError(t, replyTo[messenger.Answer](t, e.update(Cancel{Waiter: 99, Text: id, ID: parsed}), w), messenger.Cancelled, messenger.MayHaveRun)
	})
}

// TestLapsedGrant guards against starting a task on a lease that ended while
// the process was paused.
func TestLapsedGrant(t *testing.T) {
	e := newEntry(t)
	for range 4 {
		e.submit(e.submission(e.newID(), "stock-check", `1`))
	}
	waiting := e.newID()
	_, cmds := e.submit(e.submission(waiting, "stock-check", `1`))
	wantNoStart(t, cmds)
	g := messenger.Grant{ID: 1, Service: "orders", JobID: waiting, Target: "127.0.0.1:9001", LeaseMs: 2000}
	reply := SlotsAnswered{To: messenger.Member{Address: "127.0.0.1:7002", Incarnation: 5}, SentAt: e.now, Reply: messenger.SlotsReply{Grants: []messenger.Grant{g}}}
	e.now = e.now.Add(3 * time.Second)
	wantNoStart(t, e.update(reply))
}

// TestPlannedStop guards against a planned stop that interrupts work or ends
// too early.
func TestPlannedStop(t *testing.T) {
	e := newEntry(t)
	w, cmds := e.submit(e.submission(e.newID(), "firm-booking", `1`))
	st := wantOneStart(t, cmds)
	late := e.submission(e.newID(), "firm-booking", `1`)
	e.update(Drain{})
	if e.s.Ready() {
		t.Error("a stopping entry is ready")
	}
	if exits := commandsOf[Exit](e.advance(5 * time.Second)); len(exits) != 0 {
		t.Fatal("the process ended with a task in progress")
	}
	refused, cmds := e.submit(late)
	wantNoStart(t, cmds)
	wantError(t, replyTo[messenger.Answer](t, cmds, refused), messenger.Draining, messenger.DidNotRun)
	wantComplete(t, replyTo[messenger.Answer](t, e.endTask(st, successReply(`1`), nil), w), `1`)
	if exits := commandsOf[Exit](e.advance(2 * time.Second)); len(exits) != 1 {
		t.Fatalf("got %d exits after the last task, want 1", len(exits))
	}
}
