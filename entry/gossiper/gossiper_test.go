package gossiper_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// entry is one state under test: member 0 of the domain.
type entry struct {
	t     *testing.T
	now   time.Time
	state *gossiper.State
}

func newEntry(t *testing.T, settings gossiper.Settings) *entry {
	t.Helper()
	e := &entry{t: t, now: start, state: gossiper.New(member(0, 1), domain, settings, 1)}
	e.do(gossiper.Tick{})
	return e
}

func (e *entry) do(msg gossiper.Msg) []gossiper.Cmd { return e.state.Update(e.now, msg) }

// pass lets ms pass in steps of 50 ms and returns all effects.
func (e *entry) pass(ms int) []gossiper.Cmd {
	var cmds []gossiper.Cmd
	for range ms / 50 {
		e.now = e.now.Add(50 * time.Millisecond)
		cmds = append(cmds, e.do(gossiper.Tick{})...)
	}
	return cmds
}

// hear takes a heartbeat of the member from with the given rows.
func (e *entry) hear(from messenger.MemberState, others ...messenger.MemberState) []gossiper.Cmd {
	return e.do(gossiper.Heard{Heartbeat: messenger.Heartbeat{
		From: from.Member, FailureDomain: domain, Members: append([]messenger.MemberState{from}, others...),
	}})
}

func at(i int, incarnation, counter uint64) messenger.MemberState {
	return messenger.MemberState{Member: member(i, incarnation), Counter: counter}
}

func only[T gossiper.Cmd](cmds []gossiper.Cmd) []T {
	var list []T
	for _, c := range cmds {
		if x, ok := c.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

// wantChanged fails unless the last Changed in cmds lists exactly the members.
func wantChanged(t *testing.T, cmds []gossiper.Cmd, members ...messenger.Member) {
	t.Helper()
	changes := only[gossiper.Changed](cmds)
	if len(changes) == 0 || !slices.Equal(changes[len(changes)-1].Members, members) {
		t.Fatalf("got %v, want a change to %v", changes, members)
	}
}

func wantUnchanged(t *testing.T, cmds []gossiper.Cmd) {
	t.Helper()
	if changes := only[gossiper.Changed](cmds); len(changes) != 0 {
		t.Fatalf("unexpected change: %v", changes)
	}
}

func TestLiveness(t *testing.T) {
	self := member(0, 1)
	t.Run("an entry alone is live", func(t *testing.T) {
		wantChanged(t, gossiper.New(self, domain, gossiper.Settings{}, 1).Update(start, gossiper.Tick{}), self)
	})
	t.Run("a candidate is contacted but not live until it is heard", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		wantUnchanged(t, e.do(gossiper.Candidates{Local: []string{address(1), self.Address}}))
		cmds := e.pass(250)
		wantUnchanged(t, cmds)
		if beats := only[gossiper.Beat](cmds); len(beats) != 1 || beats[0].Address != address(1) {
			t.Fatalf("got %v, want one heartbeat to the candidate", beats)
		}
		wantChanged(t, e.hear(at(1, 5, 1)), self, member(1, 5))
	})
	t.Run("a candidate is contacted at the smallest fan-out, too", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{FanOut: 1})
		e.do(gossiper.Candidates{Local: []string{address(1), address(2)}})
		told := map[string]int{}
		for counter := range uint64(8) {
			e.hear(at(1, 5, counter))
			for _, b := range only[gossiper.Beat](e.pass(250)) {
				told[b.Address]++
			}
		}
		if told[address(1)] != 6 || told[address(2)] != 2 {
			t.Fatalf("got %v, want 6 heartbeats to the member and 2 to the candidate", told)
		}
	})
	t.Run("an entry that knows no member tries three candidates in a round", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.do(gossiper.Candidates{Local: []string{address(1), address(2), address(3), address(4), address(5)}})
		if beats := only[gossiper.Beat](e.pass(250)); len(beats) != 3 {
			t.Fatalf("%d heartbeats, want 3", len(beats))
		}
	})
	t.Run("a member without a moving counter is suspected after 1 s and returns", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(1, 5, 7))
		wantUnchanged(t, e.pass(900))
		e.hear(at(1, 5, 7))
		wantChanged(t, e.pass(100), self)
		wantUnchanged(t, e.hear(at(1, 5, 6)))
		wantChanged(t, e.hear(at(1, 5, 8)), self, member(1, 5))
	})
	t.Run("a suspected member is forgotten after 10 s", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(1, 5, 7))
		e.pass(9950)
		if n := len(e.state.Members()); n != 2 {
			t.Fatalf("%d rows, want 2", n)
		}
		e.pass(50)
		if n := len(e.state.Members()); n != 1 {
			t.Fatalf("%d rows, want 1", n)
		}
	})
	t.Run("a suspected member is not passed on", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(1, 5, 7))
		e.pass(1000)
		reply := e.state.Reply(e.now, messenger.Heartbeat{From: member(2, 6), FailureDomain: domain})
		if len(reply.Members) != 1 || reply.Members[0].Member != self {
			t.Fatalf("got rows %v", reply.Members)
		}
	})
	t.Run("a stopping member is not live", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(1, 5, 7))
		stopping := at(1, 5, 8)
		stopping.Stopping = true
		wantChanged(t, e.hear(stopping), self)
		wantUnchanged(t, e.hear(at(1, 5, 9)))
	})
	t.Run("an entry that stops tells others at once", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(1, 5, 7))
		cmds := e.do(gossiper.Stop{})
		wantChanged(t, cmds, member(1, 5))
		beats := only[gossiper.Beat](cmds)
		if len(beats) != 1 || !beats[0].Heartbeat.Members[0].Stopping {
			t.Fatalf("got %v", beats)
		}
	})
}

func TestIncarnations(t *testing.T) {
	self := member(0, 1)
	t.Run("a new incarnation replaces the old one, which does not return", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(1, 5, 70))
		wantChanged(t, e.hear(at(1, 9, 1)), self, member(1, 9))
		wantUnchanged(t, e.hear(at(1, 5, 80)))
		e.pass(1500)
		wantChanged(t, e.hear(at(2, 6, 1), at(1, 5, 81)), self, member(2, 6))
	})
	t.Run("a row that was passed on does not replace a live member", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(1, 9, 1))
		e.hear(at(2, 6, 1))
		wantUnchanged(t, e.hear(at(2, 6, 2), at(1, 5, 80)))
	})
	t.Run("a row that was passed on replaces a silent member", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(1, 5, 70))
		e.pass(1000)
		wantChanged(t, e.hear(at(2, 6, 1), at(1, 9, 1)), self, member(1, 9), member(2, 6))
	})
	t.Run("rows of the own address are ignored", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		wantChanged(t, e.hear(at(2, 6, 1), at(0, 77, 900), at(0, 1, 900)), self, member(2, 6))
		if own := e.state.Members()[0]; own.Member != self || own.Counter > 2 {
			t.Fatalf("own row %+v", own)
		}
	})
}

// A process that was stopped for a while would otherwise take every broker
// role for itself when it runs again.
func TestPause(t *testing.T) {
	self := member(0, 1)
	t.Run("nobody is suspected at once, and everybody after a fresh period", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(1, 5, 1), at(2, 6, 1))
		e.now = e.now.Add(30 * time.Second)
		wantUnchanged(t, e.do(gossiper.Tick{}))
		wantUnchanged(t, e.pass(950))
		wantChanged(t, e.pass(50), self)
	})
	t.Run("a member that was suspected before stays so", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(1, 5, 1))
		wantChanged(t, e.pass(1000), self)
		e.now = e.now.Add(30 * time.Second)
		wantUnchanged(t, e.pass(950))
	})
	t.Run("heartbeats go on without a burst", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(1, 5, 1))
		e.now = e.now.Add(30 * time.Second)
		if beats := only[gossiper.Beat](e.pass(250)); len(beats) != 1 {
			t.Fatalf("%d heartbeats, want 1", len(beats))
		}
	})
}

func TestVersions(t *testing.T) {
	remote := func(version int64) gossiper.Heard {
		return gossiper.Heard{Heartbeat: messenger.Heartbeat{From: member(50, 9), FailureDomain: "patan", ConfigVersion: version}}
	}
	t.Run("a newer version is told once a second until the own one is as high", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.do(gossiper.Version{ConfigVersion: 3})
		count := func(version int64) int { return len(only[gossiper.Newer](e.do(remote(version)))) }
		got := []int{count(3), count(4), count(4), count(5)}
		e.pass(1000)
		got = append(got, count(5))
		e.do(gossiper.Version{ConfigVersion: 5})
		e.pass(1000)
		got = append(got, count(5))
		if want := []int{0, 1, 0, 1, 1, 0}; !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
	t.Run("another failure domain gives no members and gets none", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(1, 5, 1))
		h := remote(1).Heartbeat
		h.Members = []messenger.MemberState{at(50, 9, 1)}
		wantUnchanged(t, e.do(gossiper.Heard{Heartbeat: h}))
		if rows := e.state.Reply(e.now, h).Members; len(rows) != 0 {
			t.Fatalf("got rows %v", rows)
		}
	})
	t.Run("one remote entry is told every 2 s", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.do(gossiper.Candidates{Remote: []string{address(50), address(51), address(52)}})
		e.pass(2000)
		beats := only[gossiper.Beat](e.pass(20_000))
		if len(beats) != 10 || len(beats[0].Heartbeat.Members) != 0 {
			t.Fatalf("%d heartbeats, want 10", len(beats))
		}
	})
}

// Control traffic must not grow with the number of entries.
func TestFanOutIsBounded(t *testing.T) {
	e := newEntry(t, gossiper.Settings{FanOut: 3, MaxRows: 5})
	told := map[string]int{}
	for round, counter := 0, uint64(0); round < 40; counter++ {
		for i := range 20 {
			e.hear(at(i+1, 5, counter))
		}
		beats := only[gossiper.Beat](e.pass(50))
		if len(beats) == 0 {
			continue
		}
		round++
		if len(beats) != 3 {
			t.Fatalf("%d heartbeats in a round, want 3", len(beats))
		}
		for _, b := range beats {
			told[b.Address]++
			if n := len(b.Heartbeat.Members); n > 5 {
				t.Fatalf("%d rows, want at most 5", n)
			}
		}
	}
	for i := range 20 {
		if n := told[address(i+1)]; n < 5 || n > 7 {
			t.Errorf("%s got %d of 120 heartbeats, want 6", address(i+1), n)
		}
	}
	if t.Failed() {
		t.Log(fmt.Sprint(told))
	}
}
