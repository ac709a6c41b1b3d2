package gossiper_test

import (
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// wantBeats fails unless cmds holds exactly n heartbeats, all to address.
func wantBeats(t *testing.T, cmds []gossiper.Cmd, address string, n int) {
	t.Helper()
	beats := cmdsOf[gossiper.SendHeartbeat](cmds)
	for _, b := range beats {
		if b.Address != address {
			t.Fatalf("heartbeat to %s, want only %s", b.Address, address)
		}
	}
	if len(beats) != n {
		t.Fatalf("%d heartbeats, want %d", len(beats), n)
	}
}

// A killed process must be detected before the suspicion timeout, and a
// connection refused for another reason must cost no more than one additional
// heartbeat.
func TestRefusals(t *testing.T) {
	self := member(0, 1)
	refused := gossiper.HeartbeatFailed{Address: address(1), Refused: true}
	withMember := func(t *testing.T) *entry {
		t.Helper()
		e := newEntry(t, gossiper.Settings{HeartbeatMs: 900})
		e.receive(memberState(1, 5, 7))
		return e
	}
	t.Run("a member is suspected after two in a row", func(t *testing.T) {
		e := withMember(t)
		wantUnchanged(t, e.update(refused))
		wantChanged(t, e.update(refused), self)
	})
	t.Run("the second attempt follows after 100 ms, and there is no third", func(t *testing.T) {
		e := withMember(t)
		wantBeats(t, e.update(refused), address(1), 0)
		wantBeats(t, e.advance(50), address(1), 0)
		wantBeats(t, e.advance(50), address(1), 1)
		e.update(refused)
		wantBeats(t, e.advance(200), address(1), 0)
	})
	t.Run("there is no second attempt to a member that was suspected in the meantime", func(t *testing.T) {
		e := withMember(t)
		wantBeats(t, e.advance(950), address(1), 1)
		e.update(refused)
		wantBeats(t, e.advance(150), address(1), 0)
	})
	t.Run("a heartbeat in between resets the count", func(t *testing.T) {
		e := withMember(t)
		e.update(refused)
		e.receive(memberState(1, 5, 8))
		wantUnchanged(t, e.update(refused))
	})
	t.Run("another failure in between resets the count", func(t *testing.T) {
		e := withMember(t)
		e.update(refused)
		e.update(gossiper.HeartbeatFailed{Address: address(1)})
		wantUnchanged(t, e.update(refused))
	})
	t.Run("other failures do not lead to suspicion", func(t *testing.T) {
		e := withMember(t)
		for range 5 {
			wantUnchanged(t, e.update(gossiper.HeartbeatFailed{Address: address(1)}))
		}
	})
	t.Run("a heartbeat from the member makes it live again, a relayed row does not", func(t *testing.T) {
		e := withMember(t)
		e.receive(memberState(2, 6, 1))
		e.update(refused)
		e.update(refused)
		wantUnchanged(t, e.receive(memberState(2, 6, 2), memberState(1, 5, 8)))
		wantChanged(t, e.receive(memberState(1, 5, 9)), self, member(1, 5), member(2, 6))
	})
	t.Run("a relayed row of the next incarnation at the address makes that live", func(t *testing.T) {
		e := withMember(t)
		e.update(refused)
		e.update(refused)
		wantChanged(t, e.receive(memberState(2, 6, 2), memberState(1, 9, 1)), self, member(1, 9), member(2, 6))
	})
	t.Run("an address that never answered is not probed", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{HeartbeatMs: 900})
		e.update(gossiper.Candidates{Local: []string{address(1)}})
		e.update(refused)
		wantBeats(t, e.advance(850), address(1), 0)
	})
}

// If one entry reports that a member refuses connections, the others must check
// the member at once instead of waiting for the suspicion timeout. The report
// alone must not lead to suspicion, because the fault may affect only the entry
// that sent it.
func TestReportedRefusals(t *testing.T) {
	reportRefusal := func(e *entry, counter uint64) {
		e.update(gossiper.HeartbeatReceived{Heartbeat: messenger.Heartbeat{
			From: member(2, 6), FailureDomain: domain, Members: []messenger.MemberState{memberState(2, 6, counter)}, Refused: []string{address(1)},
		}})
	}
	t.Run("are sent during the suspicion timeout", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(1, 5, 7))
		for range 2 {
			e.update(gossiper.HeartbeatFailed{Address: address(1), Refused: true})
		}
		heartbeat := messenger.Heartbeat{From: member(2, 6), FailureDomain: domain}
		if reported := e.state.Reply(e.now, heartbeat).Refused; len(reported) != 1 || reported[0] != address(1) {
			t.Fatalf("reported %v", reported)
		}
		e.advance(1000)
		if reported := e.state.Reply(e.now, heartbeat).Refused; len(reported) != 0 {
			t.Fatalf("reported %v after the suspicion timeout", reported)
		}
	})
	t.Run("lead to one probe and to no suspicion", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{HeartbeatMs: 900})
		e.receive(memberState(1, 5, 7))
		reportRefusal(e, 1)
		cmds := e.advance(50)
		for counter := range uint64(10) {
			reportRefusal(e, counter+2)
			cmds = append(cmds, e.advance(50)...)
		}
		wantUnchanged(t, cmds)
		wantBeats(t, cmds, address(1), 1)
	})
}

// All other entries must detect a killed process on a running VM before the
// suspicion timeout ends.
func TestKilledProcess(t *testing.T) {
	for _, n := range []int{2, 4, 8} {
		w := newNetwork(n, 0, 3)
		w.advance(5 * time.Second)
		w.nodes[0].down, w.nodes[0].refuses = true, true
		w.advance(875 * time.Millisecond)
		if problem := w.liveProblem(indexesBelow(n)[1:]...); problem != "" {
			t.Errorf("%d members: %s", n, problem)
		}
	}
}
