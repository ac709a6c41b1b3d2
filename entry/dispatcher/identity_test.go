package dispatcher

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/identifier"
	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// TestResubmission guards against a resubmission that starts the work a second
// time.
func TestResubmission(t *testing.T) {
	t.Run("while in progress joins the job", func(t *testing.T) {
		e := newEntry(t)
		sub := e.submission(e.newID(), "firm-booking", `1`)
		first, cmds := e.submit(sub)
		st := wantOneStart(t, cmds)
		second, cmds := e.submit(sub)
		wantNoStart(t, cmds)
		cmds = e.endTask(st, successReply(`"a"`), nil)
		wantComplete(t, replyTo[messenger.Answer](t, cmds, first), `"a"`)
		wantComplete(t, replyTo[messenger.Answer](t, cmds, second), `"a"`)
	})
	t.Run("after the end gets the kept answer", func(t *testing.T) {
		e := newEntry(t)
		sub := e.submission(e.newID(), "firm-booking", `1`)
		_, cmds := e.submit(sub)
		e.endTask(wantOneStart(t, cmds), successReply(`"a"`), nil)
		w, cmds := e.submit(sub)
		wantNoStart(t, cmds)
		wantComplete(t, replyTo[messenger.Answer](t, cmds, w), `"a"`)
	})
	t.Run("after the answer was dropped is refused", func(t *testing.T) {
		e := newEntry(t)
		sub := e.submission(e.newID(), "firm-booking", `1`)
		_, cmds := e.submit(sub)
		e.endTask(wantOneStart(t, cmds), successReply(`"a"`), nil)
		e.advance(32 * time.Second)
		w, cmds := e.submit(sub)
		wantNoStart(t, cmds)
		wantError(t, replyTo[messenger.Answer](t, cmds, w), messenger.IDExpired, messenger.MayHaveRun)
	})
	t.Run("with other content is refused", func(t *testing.T) {
		e := newEntry(t)
		id := e.newID()
		e.submit(e.submission(id, "firm-booking", `1`))
		w, cmds := e.submit(e.submission(id, "firm-booking", `1`, `2`))
		wantNoStart(t, cmds)
		wantError(t, replyTo[messenger.Answer](t, cmds, w), messenger.IDConflict, messenger.MayHaveRun)
	})
	t.Run("of a refused job stays refused", func(t *testing.T) {
		e := newEntry(t)
		sub := e.submission(e.newID(), "firm-booking", `1`)
		sub.Team = "strangers"
		w, cmds := e.submit(sub)
		wantError(t, replyTo[messenger.Answer](t, cmds, w), messenger.UnknownTeam, messenger.DidNotRun)
		configuration := testConfiguration()
		configuration.Teams["strangers"] = configuration.Teams["restaurants"]
		accepted := e.s.active
		accepted.Version, accepted.ChangeID, accepted.Configuration = 2, "c2", configuration
		accepted.ReadThrough = 5
		e.update(ConfigurationFetched{Accepted: accepted})
		w, cmds = e.submit(sub)
		wantNoStart(t, cmds)
		wantError(t, replyTo[messenger.Answer](t, cmds, w), messenger.UnknownTeam, messenger.DidNotRun)
	})
}

// TestIDs guards against work that starts under an id after its caller was told
// that it did not run, or after the id expired.
func TestIDs(t *testing.T) {
	t.Run("an id cancelled before its use can't start work", func(t *testing.T) {
		e := newEntry(t)
		id := e.newID()
		parsed, err := e.s.cfg.Signer.Parse(id)
		if err != nil {
			t.Fatal(err)
		}
		a := replyTo[messenger.Answer](t, e.update(Cancel{Waiter: 99, Text: id, ID: parsed}), 99)
		wantError(t, a, messenger.Cancelled, messenger.DidNotRun)
		_, cmds := e.submit(e.submission(id, "firm-booking", `1`))
		wantNoStart(t, cmds)
	})
	t.Run("an old unused id can't start work", func(t *testing.T) {
		e := newEntry(t)
		id := e.newID()
		e.advance(63 * time.Second)
		w, cmds := e.submit(e.submission(id, "firm-booking", `1`))
		wantNoStart(t, cmds)
		wantError(t, replyTo[messenger.Answer](t, cmds, w), messenger.IDExpired, messenger.MayHaveRun)
	})
	t.Run("a non-idempotent request needs an id", func(t *testing.T) {
		e := newEntry(t)
		w, cmds := e.submit(e.submission("", "firm-booking", `1`))
		wantNoStart(t, cmds)
		wantError(t, replyTo[messenger.Answer](t, cmds, w), messenger.BadRequest, messenger.DidNotRun)
	})
	t.Run("an earlier incarnation at this address is gone", func(t *testing.T) {
		e := newEntry(t)
		id := e.s.cfg.Signer.Format(identifier.ID{FailureDomain: "patan", Address: e.s.cfg.Self.Address, Incarnation: 10, Sequence: 1})
		w, cmds := e.submit(e.submission(id, "firm-booking", `1`))
		wantNoStart(t, cmds)
		wantError(t, replyTo[messenger.Answer](t, cmds, w), messenger.OwnerGone, messenger.MayHaveRun)
	})
	t.Run("another entry's id is forwarded once and never started here", func(t *testing.T) {
		e := newEntry(t)
		id := e.s.cfg.Signer.Format(identifier.ID{FailureDomain: "kalimati", Address: "127.0.0.1:7009", Incarnation: 10, Sequence: 1})
		w, cmds := e.submit(e.submission(id, "firm-booking", `1`))
		wantNoStart(t, cmds)
		if n := len(commandsOf[Forward](cmds)); n != 1 {
			t.Fatalf("got %d forwards, want 1", n)
		}
		cmds = e.update(Forwarded{Waiter: w, JobID: id, Err: &Failure{NotSent: true}})
		wantError(t, replyTo[messenger.Answer](t, cmds, w), messenger.OwnerUnreachable, messenger.MayHaveRun)
	})
}
