package gossiper_test

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// wantBeats fails unless the heartbeats in cmds go to exactly n times address.
func wantBeats(t *testing.T, cmds []gossiper.Cmd, address string, n int) {
	t.Helper()
	beats := only[gossiper.Beat](cmds)
	for _, b := range beats {
		if b.Address != address {
			t.Fatalf("a heartbeat to %s, want only %s", b.Address, address)
		}
	}
	if len(beats) != n {
		t.Fatalf("%d heartbeats, want %d", len(beats), n)
	}
}

// A killed process must cost less than the time of suspicion, and a connection
// that is refused for another reason no more than a heartbeat.
func TestRefusals(t *testing.T) {
	self := member(0, 1)
	refused := gossiper.Failed{Address: address(1), Refused: true}
	known := func(t *testing.T) *entry {
		t.Helper()
		e := newEntry(t, gossiper.Settings{HeartbeatMs: 900})
		e.hear(at(1, 5, 7))
		return e
	}
	t.Run("two in a row suspect a member", func(t *testing.T) {
		e := known(t)
		wantUnchanged(t, e.do(refused))
		wantChanged(t, e.do(refused), self)
	})
	t.Run("the second attempt comes after 100 ms, and no third one", func(t *testing.T) {
		e := known(t)
		wantBeats(t, e.do(refused), address(1), 0)
		wantBeats(t, e.pass(50), address(1), 0)
		wantBeats(t, e.pass(50), address(1), 1)
		e.do(refused)
		wantBeats(t, e.pass(200), address(1), 0)
	})
	t.Run("there is no second attempt to a member that was suspected meanwhile", func(t *testing.T) {
		e := known(t)
		wantBeats(t, e.pass(950), address(1), 1)
		e.do(refused)
		wantBeats(t, e.pass(150), address(1), 0)
	})
	t.Run("a heartbeat in between breaks the series", func(t *testing.T) {
		e := known(t)
		e.do(refused)
		e.hear(at(1, 5, 8))
		wantUnchanged(t, e.do(refused))
	})
	t.Run("another failure in between breaks the series", func(t *testing.T) {
		e := known(t)
		e.do(refused)
		e.do(gossiper.Failed{Address: address(1)})
		wantUnchanged(t, e.do(refused))
	})
	t.Run("other failures suspect nobody", func(t *testing.T) {
		e := known(t)
		for range 5 {
			wantUnchanged(t, e.do(gossiper.Failed{Address: address(1)}))
		}
	})
	t.Run("a heartbeat from the member makes it live again, news of it does not", func(t *testing.T) {
		e := known(t)
		e.hear(at(2, 6, 1))
		e.do(refused)
		e.do(refused)
		wantUnchanged(t, e.hear(at(2, 6, 2), at(1, 5, 8)))
		wantChanged(t, e.hear(at(1, 5, 9)), self, member(1, 5), member(2, 6))
	})
	t.Run("news of the next incarnation at the address makes that live", func(t *testing.T) {
		e := known(t)
		e.do(refused)
		e.do(refused)
		wantChanged(t, e.hear(at(2, 6, 2), at(1, 9, 1)), self, member(1, 9), member(2, 6))
	})
	t.Run("an address that refuses from the start is not tried sooner", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{HeartbeatMs: 900})
		e.do(gossiper.Candidates{Local: []string{address(1)}})
		e.do(refused)
		wantBeats(t, e.pass(850), address(1), 0)
	})
}

// What one entry finds out must spare the others the time of suspicion, but the
// word of one entry is no proof.
func TestDoubts(t *testing.T) {
	tell := func(e *entry, counter uint64) {
		e.do(gossiper.Heard{Heartbeat: messenger.Heartbeat{
			From: member(2, 6), FailureDomain: domain, Members: []messenger.MemberState{at(2, 6, counter)}, Refused: []string{address(1)},
		}})
	}
	t.Run("are told while they are new", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(1, 5, 7))
		for range 2 {
			e.do(gossiper.Failed{Address: address(1), Refused: true})
		}
		asks := messenger.Heartbeat{From: member(2, 6), FailureDomain: domain}
		if told := e.state.Reply(e.now, asks).Refused; len(told) != 1 || told[0] != address(1) {
			t.Fatalf("told %v", told)
		}
		e.pass(1000)
		if told := e.state.Reply(e.now, asks).Refused; len(told) != 0 {
			t.Fatalf("told %v after the time of suspicion", told)
		}
	})
	t.Run("lead to one heartbeat and to no suspicion", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{HeartbeatMs: 900})
		e.hear(at(1, 5, 7))
		tell(e, 1)
		cmds := e.pass(50)
		for counter := range uint64(10) {
			tell(e, counter+2)
			cmds = append(cmds, e.pass(50)...)
		}
		wantUnchanged(t, cmds)
		wantBeats(t, cmds, address(1), 1)
	})
}

// A process that is killed while its VM answers must be noticed by all others
// before the time of suspicion ends, and at the cost of few messages.
func TestKilledProcess(t *testing.T) {
	for _, n := range []int{2, 4, 8} {
		w := newNetwork(n, 0, 3)
		w.pass(5 * time.Second)
		w.nodes[0].down, w.nodes[0].refuses = true, true
		w.pass(875 * time.Millisecond)
		if problem := w.liveProblem(upTo(n)[1:]...); problem != "" {
			t.Errorf("%d members: %s", n, problem)
		}
	}
}
