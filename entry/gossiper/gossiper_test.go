package gossiper_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// entry is the state under test: member 0 of the domain.
type entry struct {
	t     *testing.T
	now   time.Time
	state *gossiper.State
}

func newEntry(t *testing.T, settings gossiper.Settings) *entry {
	t.Helper()
	e := &entry{t: t, now: start, state: gossiper.New(member(0, 1), domain, settings, 1)}
	e.update(gossiper.Tick{})
	return e
}

func (e *entry) update(msg gossiper.Msg) []gossiper.Cmd { return e.state.Update(e.now, msg) }

// advance advances time by ms milliseconds in steps of 50 ms and returns all
// effects.
func (e *entry) advance(ms int) []gossiper.Cmd {
	var cmds []gossiper.Cmd
	for range ms / 50 {
		e.now = e.now.Add(50 * time.Millisecond)
		cmds = append(cmds, e.update(gossiper.Tick{})...)
	}
	return cmds
}

// receive handles a heartbeat from the member from with the given rows.
func (e *entry) receive(from messenger.MemberState, others ...messenger.MemberState) []gossiper.Cmd {
	return e.update(gossiper.HeartbeatReceived{Heartbeat: messenger.Heartbeat{
		From: from.Member, FailureDomain: domain, Members: append([]messenger.MemberState{from}, others...),
	}})
}

func memberState(i int, incarnation, counter uint64) messenger.MemberState {
	return messenger.MemberState{Member: member(i, incarnation), Counter: counter}
}

func cmdsOf[T gossiper.Cmd](cmds []gossiper.Cmd) []T {
	var list []T
	for _, c := range cmds {
		if x, ok := c.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

// wantChanged fails unless the last MembersChanged in cmds lists exactly the
// members.
func wantChanged(t *testing.T, cmds []gossiper.Cmd, members ...messenger.Member) {
	t.Helper()
	changes := cmdsOf[gossiper.MembersChanged](cmds)
	if len(changes) == 0 || !slices.Equal(changes[len(changes)-1].Members, members) {
		t.Fatalf("got %v, want a change to %v", changes, members)
	}
}

func wantUnchanged(t *testing.T, cmds []gossiper.Cmd) {
	t.Helper()
	if changes := cmdsOf[gossiper.MembersChanged](cmds); len(changes) != 0 {
		t.Fatalf("unexpected change: %v", changes)
	}
}

func TestLiveness(t *testing.T) {
	self := member(0, 1)
	t.Run("a single entry is live", func(t *testing.T) {
		wantChanged(t, gossiper.New(self, domain, gossiper.Settings{}, 1).Update(start, gossiper.Tick{}), self)
	})
	t.Run("a candidate is contacted but not live until it sends a heartbeat", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		wantUnchanged(t, e.update(gossiper.Candidates{Local: []string{address(1), self.Address}}))
		cmds := e.advance(250)
		wantUnchanged(t, cmds)
		if beats := cmdsOf[gossiper.SendHeartbeat](cmds); len(beats) != 1 || beats[0].Address != address(1) {
			t.Fatalf("got %v, want one heartbeat to the candidate", beats)
		}
		wantChanged(t, e.receive(memberState(1, 5, 1)), self, member(1, 5))
	})
	t.Run("a candidate is contacted with a fan-out of 1", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{FanOut: 1})
		e.update(gossiper.Candidates{Local: []string{address(1), address(2)}})
		beatsTo := map[string]int{}
		for counter := range uint64(8) {
			e.receive(memberState(1, 5, counter))
			for _, b := range cmdsOf[gossiper.SendHeartbeat](e.advance(250)) {
				beatsTo[b.Address]++
			}
		}
		if beatsTo[address(1)] != 6 || beatsTo[address(2)] != 2 {
			t.Fatalf("got %v, want 6 heartbeats to the member and 2 to the candidate", beatsTo)
		}
	})
	t.Run("an entry that knows no member tries three candidates in a round", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.update(gossiper.Candidates{Local: []string{address(1), address(2), address(3), address(4), address(5)}})
		if beats := cmdsOf[gossiper.SendHeartbeat](e.advance(250)); len(beats) != 3 {
			t.Fatalf("%d heartbeats, want 3", len(beats))
		}
	})
	t.Run("a member is suspected after 1 s without a higher counter and returns with one", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(1, 5, 7))
		wantUnchanged(t, e.advance(900))
		e.receive(memberState(1, 5, 7))
		wantChanged(t, e.advance(100), self)
		wantUnchanged(t, e.receive(memberState(1, 5, 6)))
		wantChanged(t, e.receive(memberState(1, 5, 8)), self, member(1, 5))
	})
	t.Run("a suspected member is forgotten after 10 s", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(1, 5, 7))
		e.advance(9950)
		if n := len(e.state.Members()); n != 2 {
			t.Fatalf("%d rows, want 2", n)
		}
		e.advance(50)
		if n := len(e.state.Members()); n != 1 {
			t.Fatalf("%d rows, want 1", n)
		}
	})
	t.Run("a suspected member is not sent to others", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(1, 5, 7))
		e.advance(1000)
		reply := e.state.Reply(e.now, messenger.Heartbeat{From: member(2, 6), FailureDomain: domain})
		if len(reply.Members) != 1 || reply.Members[0].Member != self {
			t.Fatalf("got rows %v", reply.Members)
		}
	})
	t.Run("a stopping member is not live", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(1, 5, 7))
		stopping := memberState(1, 5, 8)
		stopping.Stopping = true
		wantChanged(t, e.receive(stopping), self)
		wantUnchanged(t, e.receive(memberState(1, 5, 9)))
	})
	t.Run("a stopping entry immediately informs others", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(1, 5, 7))
		cmds := e.update(gossiper.Stop{})
		wantChanged(t, cmds, member(1, 5))
		beats := cmdsOf[gossiper.SendHeartbeat](cmds)
		if len(beats) != 1 || !beats[0].Heartbeat.Members[0].Stopping {
			t.Fatalf("got %v", beats)
		}
	})
}

func TestIncarnations(t *testing.T) {
	self := member(0, 1)
	t.Run("a new incarnation permanently replaces the old one", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(1, 5, 70))
		wantChanged(t, e.receive(memberState(1, 9, 1)), self, member(1, 9))
		wantUnchanged(t, e.receive(memberState(1, 5, 80)))
		e.advance(1500)
		wantChanged(t, e.receive(memberState(2, 6, 1), memberState(1, 5, 81)), self, member(2, 6))
	})
	t.Run("a relayed row does not replace a live member", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(1, 9, 1))
		e.receive(memberState(2, 6, 1))
		wantUnchanged(t, e.receive(memberState(2, 6, 2), memberState(1, 5, 80)))
	})
	t.Run("a relayed row replaces a suspected member", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(1, 5, 70))
		e.advance(1000)
		wantChanged(t, e.receive(memberState(2, 6, 1), memberState(1, 9, 1)), self, member(1, 9), member(2, 6))
	})
	t.Run("rows for this entry's address are ignored", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		wantChanged(t, e.receive(memberState(2, 6, 1), memberState(0, 77, 900), memberState(0, 1, 900)), self, member(2, 6))
		if own := e.state.Members()[0]; own.Member != self || own.Counter > 2 {
			t.Fatalf("own row %+v", own)
		}
	})
}

// Without compensation, a process that was paused would suspect all other
// members when it resumes, and take every broker role for itself.
func TestPause(t *testing.T) {
	self := member(0, 1)
	t.Run("members are suspected only after a fresh timeout", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(1, 5, 1), memberState(2, 6, 1))
		e.now = e.now.Add(30 * time.Second)
		wantUnchanged(t, e.update(gossiper.Tick{}))
		wantUnchanged(t, e.advance(950))
		wantChanged(t, e.advance(50), self)
	})
	t.Run("a member that was already suspected stays suspected", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(1, 5, 1))
		wantChanged(t, e.advance(1000), self)
		e.now = e.now.Add(30 * time.Second)
		wantUnchanged(t, e.advance(950))
	})
	t.Run("heartbeats resume without a burst", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(1, 5, 1))
		e.now = e.now.Add(30 * time.Second)
		if beats := cmdsOf[gossiper.SendHeartbeat](e.advance(250)); len(beats) != 1 {
			t.Fatalf("%d heartbeats, want 1", len(beats))
		}
	})
}

func TestVersions(t *testing.T) {
	remote := func(version int64) gossiper.HeartbeatReceived {
		return gossiper.HeartbeatReceived{Heartbeat: messenger.Heartbeat{From: member(50, 9), FailureDomain: "patan", ConfigVersion: version}}
	}
	t.Run("a newer version is reported once a second until this entry has it", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.update(gossiper.ConfigVersionChanged{ConfigVersion: 3})
		count := func(version int64) int { return len(cmdsOf[gossiper.NewerConfiguration](e.update(remote(version)))) }
		got := []int{count(3), count(4), count(4), count(5)}
		e.advance(1000)
		got = append(got, count(5))
		e.update(gossiper.ConfigVersionChanged{ConfigVersion: 5})
		e.advance(1000)
		got = append(got, count(5))
		if want := []int{0, 1, 0, 1, 1, 0}; !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
	t.Run("no members are exchanged with another failure domain", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(1, 5, 1))
		h := remote(1).Heartbeat
		h.Members = []messenger.MemberState{memberState(50, 9, 1)}
		wantUnchanged(t, e.update(gossiper.HeartbeatReceived{Heartbeat: h}))
		if rows := e.state.Reply(e.now, h).Members; len(rows) != 0 {
			t.Fatalf("got rows %v", rows)
		}
	})
	t.Run("one remote entry gets a heartbeat every 2 s", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.update(gossiper.Candidates{Remote: []string{address(50), address(51), address(52)}})
		e.advance(2000)
		beats := cmdsOf[gossiper.SendHeartbeat](e.advance(20_000))
		if len(beats) != 10 || len(beats[0].Heartbeat.Members) != 0 {
			t.Fatalf("%d heartbeats, want 10", len(beats))
		}
	})
}

// Control traffic must not grow with the number of entries.
func TestFanOutIsBounded(t *testing.T) {
	e := newEntry(t, gossiper.Settings{FanOut: 3, MaxRows: 5})
	beatsTo := map[string]int{}
	for round, counter := 0, uint64(0); round < 40; counter++ {
		for i := range 20 {
			e.receive(memberState(i+1, 5, counter))
		}
		beats := cmdsOf[gossiper.SendHeartbeat](e.advance(50))
		if len(beats) == 0 {
			continue
		}
		round++
		if len(beats) != 3 {
			t.Fatalf("%d heartbeats in a round, want 3", len(beats))
		}
		for _, b := range beats {
			beatsTo[b.Address]++
			if n := len(b.Heartbeat.Members); n > 5 {
				t.Fatalf("%d rows, want at most 5", n)
			}
		}
	}
	for i := range 20 {
		if n := beatsTo[address(i+1)]; n < 5 || n > 7 {
			t.Errorf("%s got %d of 120 heartbeats, want 5 to 7", address(i+1), n)
		}
	}
	if t.Failed() {
		t.Log(fmt.Sprint(beatsTo))
	}
}
