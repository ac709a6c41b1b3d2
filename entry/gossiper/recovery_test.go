package gossiper_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// A process that was stopped with SIGSTOP and goes on holds an old view. It must
// take no broker roles, and must not bring dead members back.
func TestFrozenProcess(t *testing.T) {
	for _, n := range []int{3, 8, 16} {
		t.Run(fmt.Sprintf("%d members", n), func(t *testing.T) {
			t.Parallel()
			w := newNetwork(n, 0, 7)
			w.pass(5 * time.Second)
			w.nodes[0].down = true
			w.pass(10 * time.Second)
			w.nodes[1].down = true
			w.pass(30 * time.Second)
			w.wantLive(t, upTo(n)[2:]...)
			before := w.changed()
			w.nodes[0].down = false
			w.pass(5 * time.Second)
			w.wantLive(t, slices.Delete(upTo(n), 1, 2)...)
			for i, after := range w.changed() {
				// The process itself drops the dead member; the others take the process back.
				if i != 1 && after != before[i]+1 {
					t.Errorf("node %d changed its list %d times, want 1", i, after-before[i])
				}
			}
		})
	}
}

// Groups that have forgotten each other must meet again, without a candidate in
// common, and at no more than the usual traffic.
func TestPartition(t *testing.T) {
	for _, n := range []int{2, 8, 16} {
		for _, listed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d members, listed %t", n, listed), func(t *testing.T) {
				t.Parallel()
				w := newNetwork(n, 0, 9)
				w.pass(5 * time.Second)
				var sides [2][]int
				for i, x := range w.nodes {
					x.side = i % 2
					sides[i%2] = append(sides[i%2], i)
					if !listed {
						w.update(i, gossiper.Candidates{})
					}
				}
				w.pass(15 * time.Second)
				wantTraffic(t, w, 10*time.Second)
				for i, x := range w.nodes {
					if len(x.live) != len(sides[i%2]) {
						t.Fatalf("node %d sees %d members of its side, want %d", i, len(x.live), len(sides[i%2]))
					}
				}
				for _, x := range w.nodes {
					x.side = 0
				}
				wantTraffic(t, w, 3*time.Second)
				w.wantLive(t, upTo(n)...)
			})
		}
	}
}

// wantTraffic lets d pass and fails if an entry on average sends more than the
// design allows for all control traffic.
func wantTraffic(t *testing.T, w *network, d time.Duration) {
	t.Helper()
	if rate := float64(w.meter(d).bytes) / d.Seconds() / float64(len(w.nodes)); rate > 4096 {
		t.Errorf("%.0f bytes/s an entry, want at most 4096", rate)
	}
}

// Control traffic must neither grow with the number of entries, nor with loss.
func TestTrafficIsBounded(t *testing.T) {
	t.Parallel()
	for _, n := range []int{2, 4, 8, 16, 32} {
		w := newNetwork(n, 0.05, 2)
		w.pass(10 * time.Second)
		sent := w.meter(2 * time.Second)
		limit := 3072
		if n > 16 {
			limit = 3584
		}
		if rate := sent.bytes / 2 / n; rate > limit {
			t.Errorf("%d members: %d bytes/s an entry, want at most %d", n, rate, limit)
		}
	}
}

// Ages keep news of a dead member that is still going round from making it live
// for longer.
func TestAges(t *testing.T) {
	self := member(0, 1)
	aged := func(counter uint64, ms int64) messenger.MemberState {
		m := at(1, 5, counter)
		m.AgeMs = ms
		return m
	}
	t.Run("count as time without a moving counter", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		wantChanged(t, e.hear(at(2, 6, 1), aged(7, 900)), self, member(1, 5), member(2, 6))
		wantChanged(t, e.pass(100), self, member(2, 6))
	})
	t.Run("of a higher counter do not shorten the life of a member", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(1, 5, 7))
		wantChanged(t, e.hear(at(2, 6, 1), aged(8, 1500)), self, member(1, 5), member(2, 6))
		wantUnchanged(t, e.pass(900))
	})
	t.Run("are shown", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(2, 6, 1), aged(7, 300))
		e.pass(200)
		if m := e.state.Members()[1]; m != aged(7, 500) {
			t.Fatalf("got %v", m)
		}
	})
	t.Run("are passed on", func(t *testing.T) {
		e := newEntry(t, gossiper.Settings{})
		e.hear(at(2, 6, 1), aged(7, 300))
		e.pass(200)
		rows := e.state.Reply(e.now, messenger.Heartbeat{From: member(3, 6), FailureDomain: domain}).Members
		if len(rows) != 3 || rows[2] != aged(7, 500) {
			t.Fatalf("got rows %v", rows)
		}
	})
}

// Counters without names must not be taken for those of other members.
func TestCompactHeartbeats(t *testing.T) {
	pair := func() (a, b *entry) {
		a = newEntry(t, gossiper.Settings{})
		b = &entry{t: t, now: start, state: gossiper.New(member(1, 5), domain, gossiper.Settings{}, 2)}
		a.hear(at(1, 5, 1), at(2, 6, 10), at(3, 7, 20))
		b.hear(at(0, 1, 1), at(2, 6, 11), at(3, 7, 19))
		return a, b
	}
	exchange := func(from, to *entry) messenger.Heartbeat {
		h := from.state.Reply(from.now, messenger.Heartbeat{From: to.state.Self, FailureDomain: domain})
		to.do(gossiper.Heard{Heartbeat: h})
		reply := to.state.Reply(to.now, h)
		from.do(gossiper.Heard{Heartbeat: reply})
		return reply
	}
	t.Run("tell only higher counters in a reply", func(t *testing.T) {
		a, b := pair()
		exchange(a, b)
		h := a.state.Reply(a.now, messenger.Heartbeat{From: b.state.Self, FailureDomain: domain, Digest: exchange(b, a).Digest})
		if len(h.Members) != 1 || !slices.Equal(h.Counters, []uint64{11, 20}) {
			t.Fatalf("got rows %v, counters %v", h.Members, h.Counters)
		}
		b.hear(at(3, 7, 25))
		b.do(gossiper.Heard{Heartbeat: h})
		if reply := b.state.Reply(b.now, h); !slices.Equal(reply.Counters, []uint64{0, 25}) || len(reply.AgesMs) != 1 {
			t.Fatalf("got counters %v", reply.Counters)
		}
	})
	t.Run("are ignored by an entry with other members", func(t *testing.T) {
		a, b := pair()
		exchange(a, b)
		h := a.state.Reply(a.now, messenger.Heartbeat{From: b.state.Self, FailureDomain: domain, Digest: exchange(b, a).Digest})
		h.Counters = []uint64{500, 600}
		b.hear(at(4, 8, 1))
		b.do(gossiper.Heard{Heartbeat: h})
		for _, m := range b.state.Members() {
			if m.Counter >= 500 {
				t.Fatalf("took over %v", m)
			}
		}
		if reply := b.state.Reply(b.now, h); len(reply.Counters) != 0 || len(reply.Members) < 2 {
			t.Fatalf("got rows %v, want names for another set of members", reply.Members)
		}
	})
}
