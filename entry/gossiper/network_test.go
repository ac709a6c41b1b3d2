package gossiper_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

const domain = "kalimati"

var start = time.Unix(1_700_000_000, 0)

func address(i int) string { return fmt.Sprintf("10.20.1.%d:7100", 10+i) }

func member(i int, incarnation uint64) messenger.Member {
	return messenger.Member{Address: address(i), Incarnation: incarnation}
}

// node is one entry of a network. A node that is down neither sends nor
// receives; a paused one keeps its state.
type node struct {
	state   *gossiper.State
	down    bool
	live    []messenger.Member
	changes int
	newer   int64
}

// network delivers heartbeats and replies at once, or loses them.
type network struct {
	now    time.Time
	random *rand.Rand
	loss   float64
	nodes  []*node
	// messages and bytes count what was sent, with the heads of HTTP.
	messages, bytes, bodies int
}

func newNetwork(n int, loss float64, seed uint64) *network {
	w := &network{now: start, random: rand.New(rand.NewPCG(seed, 1)), loss: loss}
	all := make([]string, n)
	for i := range n {
		all[i] = address(i)
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{state: gossiper.New(member(i, 1<<63+uint64(i)), domain, gossiper.Settings{}, seed)})
		w.update(i, gossiper.Candidates{Local: all})
	}
	return w
}

func (w *network) update(i int, msg gossiper.Msg) {
	n := w.nodes[i]
	for _, cmd := range n.state.Update(w.now, msg) {
		switch c := cmd.(type) {
		case gossiper.Beat:
			w.deliver(i, c)
		case gossiper.Changed:
			n.live = c.Members
			n.changes++
		case gossiper.Newer:
			n.newer = c.Version
		}
	}
}

func (w *network) deliver(from int, beat gossiper.Beat) {
	w.count(requestHead, beat.Heartbeat)
	to := slices.IndexFunc(w.nodes, func(n *node) bool { return n.state.Self.Address == beat.Address })
	if to < 0 || w.nodes[to].down || w.random.Float64() < w.loss {
		return
	}
	w.update(to, gossiper.Heard{Heartbeat: beat.Heartbeat})
	reply := w.nodes[to].state.Reply(w.now, beat.Heartbeat)
	w.count(replyHead, reply)
	if w.random.Float64() >= w.loss {
		w.update(from, gossiper.Heard{Heartbeat: reply})
	}
}

func (w *network) count(head int, h messenger.Heartbeat) {
	data, err := json.Marshal(h)
	if err != nil {
		panic(err)
	}
	w.messages++
	w.bytes += head + len(data)
	w.bodies += len(data)
}

// pass lets d pass in steps of 25 ms; nodes take their ticks in a random order.
func (w *network) pass(d time.Duration) {
	const step = 25 * time.Millisecond
	for range int(d / step) {
		w.now = w.now.Add(step)
		for _, i := range w.random.Perm(len(w.nodes)) {
			if !w.nodes[i].down {
				w.update(i, gossiper.Tick{})
			}
		}
	}
}

// wantLive fails unless every node that is up sees exactly the given ones as
// live.
func (w *network) wantLive(t *testing.T, want ...int) {
	t.Helper()
	if problem := w.liveProblem(want...); problem != "" {
		t.Fatal(problem)
	}
}

func (w *network) liveProblem(want ...int) string {
	var list []messenger.Member
	for _, i := range want {
		list = append(list, w.nodes[i].state.Self)
	}
	slices.SortFunc(list, func(a, b messenger.Member) int { return slices.Compare([]byte(a.Address), []byte(b.Address)) })
	for i, n := range w.nodes {
		if !n.down && !slices.Equal(n.live, list) {
			return fmt.Sprintf("node %d sees %v, want %v", i, n.live, list)
		}
	}
	return ""
}

func upTo(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}
