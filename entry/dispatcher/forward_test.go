package dispatcher

import (
	"testing"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// TestForwardsAreBounded guards against unlimited memory and connections when
// callers send many requests for an id of another entry and disconnect: each
// request is held until the owner answers or its timeout ends.
func TestForwardsAreBounded(t *testing.T) {
	const bytes = 100_000
	fetch := func(e *entryUnderTest, id string) []Cmd {
		parsed, _ := e.s.cfg.Signer.Parse(id)
		return e.update(Fetch{Waiter: e.waiter, Text: id, ID: parsed, WaitMs: 600_000})
	}
	cases := map[string]struct {
		size, held int64
		ask        func(e *entryUnderTest, id string) []Cmd
	}{
		"submissions": {2 * bytes, 1 << 20, func(e *entryUnderTest, id string) []Cmd {
			msg := Submit{Waiter: e.waiter, Submission: e.submission(id, "stock-check", `1`), Bytes: bytes}
			msg.ID, _ = e.s.cfg.Signer.Parse(id)
			return e.update(msg)
		}},
		"fetches":      {forwardOverhead, 1 << 20, fetch},
		"many fetches": {1, 1 << 40, fetch},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newEntry(t)
			e.s.cfg.MaxHeldBytes = c.held
			id := e.foreignID("127.0.0.1:7009")
			for round := range 2 {
				var forwards []Forward
				var cmds []Cmd
				for range maxForwards + 1 {
					e.waiter++
					cmds = c.ask(e, id)
					if len(commandsOf[Forward](cmds)) == 0 {
						break
					}
					e.update(Abandon{Waiter: e.waiter, JobID: id})
					forwards = append(forwards, commandsOf[Forward](cmds)...)
				}
				if held := int64(len(forwards)) * c.size; len(forwards) == 0 || len(forwards) > maxForwards || held > e.s.cfg.MaxHeldBytes {
					t.Fatalf("round %d: %d forwards hold %d bytes", round, len(forwards), held)
				}
				wantError(t, replyTo[messenger.Answer](t, cmds, e.waiter), messenger.Overloaded, messenger.MayHaveRun)
				wantOneCount(t, cmds, "refusal", string(messenger.Overloaded))
				for _, f := range forwards {
					e.update(Forwarded{Waiter: f.Waiter, JobID: id, Err: &Failure{}})
				}
			}
			if e.s.forwardBytes != 0 || len(e.s.forwardCost) != 0 {
				t.Errorf("%d bytes are still counted after all forwards ended", e.s.forwardBytes)
			}
		})
	}
}
