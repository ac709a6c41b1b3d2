package gossiper_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// A process that is resumed after SIGSTOP has an outdated membership. It must
// not suspect the other members, which would make it take over as broker from
// them, nor cause other entries to list dead members as live again.
func TestResumedProcess(t *testing.T) {
	for _, n := range []int{3, 8, 16} {
		t.Run(fmt.Sprintf("%d members", n), func(t *testing.T) {
			t.Parallel()
			w := newNetwork(n, 0, 7)
			w.advance(5 * time.Second)
			w.nodes[0].down = true
			w.advance(10 * time.Second)
			w.nodes[1].down = true
			w.advance(30 * time.Second)
			w.wantLive(t, indexesBelow(n)[2:]...)
			before := w.changesByNode()
			w.nodes[0].down = false
			w.advance(5 * time.Second)
			w.wantLive(t, slices.Delete(indexesBelow(n), 1, 2)...)
			for i, after := range w.changesByNode() {
				// The resumed process removes the dead member; the others add
				// the resumed process.
				if i != 1 && after != before[i]+1 {
					t.Errorf("node %d changed its list %d times, want 1", i, after-before[i])
				}
			}
		})
	}
}

// Two groups of entries whose members forgot each other during a network
// partition must merge when it ends, even without candidates, and without
// exceeding the traffic limit. listed tells whether the candidates include the
// members of both groups.
func TestPartition(t *testing.T) {
	for _, n := range []int{2, 8, 16} {
		for _, listed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d members, listed %t", n, listed), func(t *testing.T) {
				t.Parallel()
				w := newNetwork(n, 0, 9)
				w.advance(5 * time.Second)
				var groups [2][]int
				for i, x := range w.nodes {
					x.partition = i % 2
					groups[i%2] = append(groups[i%2], i)
					if !listed {
						w.update(i, gossiper.Candidates{})
					}
				}
				w.advance(15 * time.Second)
				requireTrafficWithin(t, w, 10*time.Second)
				for i, x := range w.nodes {
					if len(x.live) != len(groups[i%2]) {
						t.Fatalf("node %d sees %d members of its partition, want %d", i, len(x.live), len(groups[i%2]))
					}
				}
				for _, x := range w.nodes {
					x.partition = 0
				}
				requireTrafficWithin(t, w, 3*time.Second)
				w.wantLive(t, indexesBelow(n)...)
			})
		}
	}
}

// requireTrafficWithin advances the network by d and fails if entries on
// average send more than the design allows for all control traffic.
func requireTrafficWithin(t *testing.T, w *network, d time.Duration) {
	t.Helper()
	if rate := float64(w.measureTraffic(d).bytes) / d.Seconds() / float64(len(w.nodes)); rate > 4096 {
		t.Errorf("%.0f bytes/s per entry, want at most 4096", rate)
	}
}

// Control traffic must grow neither with the number of entries nor with message
// loss.
func TestTrafficIsBounded(t *testing.T) {
	t.Parallel()
	for _, n := range []int{2, 4, 8, 16, 32} {
		w := newNetwork(n, 0.05, 2)
		w.advance(10 * time.Second)
		sent := w.measureTraffic(2 * time.Second)
		limit := 3072
		if n > 16 {
			limit = 3584
		}
		if rate := sent.bytes / 2 / n; rate > limit {
			t.Errorf("%d members: %d bytes/s per entry, want at most %d", n, rate, limit)
		}
	}
}

// Entries still send each other rows of a dead member until they suspect it.
// These must not extend the time for which it counts as live, so rows contain
// the ages of counters.
func TestAges(t *testing.T) {
	self := member(0, 1)
	aged := func(counter uint64, ms int64) messenger.MemberState {
		m := memberState(1, 5, counter)
		m.AgeMs = ms
		return m
	}
	t.Run("count towards the suspicion timeout", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		wantChanged(t, e.receive(memberState(2, 6, 1), aged(7, 900)), self, member(1, 5), member(2, 6))
		wantChanged(t, e.advance(100), self, member(2, 6))
	})
	t.Run("of a higher counter do not move its time back", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(1, 5, 7))
		wantChanged(t, e.receive(memberState(2, 6, 1), aged(8, 1500)), self, member(1, 5), member(2, 6))
		wantUnchanged(t, e.advance(900))
	})
	t.Run("are returned by Members", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(2, 6, 1), aged(7, 300))
		e.advance(200)
		if m := e.state.Members()[1]; m != aged(7, 500) {
			t.Fatalf("got %v", m)
		}
	})
	t.Run("are sent in heartbeats", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.receive(memberState(2, 6, 1), aged(7, 300))
		e.advance(200)
		rows := e.state.Reply(e.now, messenger.Heartbeat{From: member(3, 6), FailureDomain: domain}).Members
		if len(rows) != 3 || rows[2] != aged(7, 500) {
			t.Fatalf("got rows %v", rows)
		}
	})
}

// Counters without member names must not be applied to other members.
func TestCompactHeartbeats(t *testing.T) {
	newPair := func() (a, b *entry) {
		a = newEntry(t, gossiper.Settings{})
		b = &entry{t: t, now: start, state: gossiper.New(member(1, 5), domain, gossiper.Settings{}, 2)}
		a.receive(memberState(1, 5, 1), memberState(2, 6, 10), memberState(3, 7, 20))
		b.receive(memberState(0, 1, 1), memberState(2, 6, 11), memberState(3, 7, 19))
		return a, b
	}
	exchange := func(from, to *entry) messenger.Heartbeat {
		h := from.state.Reply(from.now, messenger.Heartbeat{From: to.state.Self, FailureDomain: domain})
		to.update(gossiper.HeartbeatReceived{Heartbeat: h})
		reply := to.state.Reply(to.now, h)
		from.update(gossiper.HeartbeatReceived{Heartbeat: reply})
		return reply
	}
	t.Run("hold only higher counters in a reply", func(t *testing.T) {
		a, b := newPair()
		exchange(a, b)
		h := a.state.Reply(a.now, messenger.Heartbeat{From: b.state.Self, FailureDomain: domain, Digest: exchange(b, a).Digest})
		if len(h.Members) != 1 || !slices.Equal(h.Counters, []uint64{11, 20}) {
			t.Fatalf("got rows %v, counters %v", h.Members, h.Counters)
		}
		b.receive(memberState(3, 7, 25))
		b.update(gossiper.HeartbeatReceived{Heartbeat: h})
		if reply := b.state.Reply(b.now, h); !slices.Equal(reply.Counters, []uint64{0, 25}) || len(reply.AgesMs) != 1 {
			t.Fatalf("got counters %v", reply.Counters)
		}
	})
	t.Run("are ignored by an entry with a different set of members", func(t *testing.T) {
		a, b := newPair()
		exchange(a, b)
		h := a.state.Reply(a.now, messenger.Heartbeat{From: b.state.Self, FailureDomain: domain, Digest: exchange(b, a).Digest})
		h.Counters = []uint64{500, 600}
		b.receive(memberState(4, 8, 1))
		b.update(gossiper.HeartbeatReceived{Heartbeat: h})
		for _, m := range b.state.Members() {
			if m.Counter >= 500 {
				t.Fatalf("applied %v", m)
			}
		}
		if reply := b.state.Reply(b.now, h); len(reply.Counters) != 0 || len(reply.Members) < 2 {
			t.Fatalf("got rows %v, want member names for a different set of members", reply.Members)
		}
	})
}
