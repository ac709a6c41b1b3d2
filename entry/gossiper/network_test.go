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
// receives; a paused one keeps its state. Refuses is set if the VM of a node
// that is down answers. Nodes of different sides do not reach each other.
type node struct {
	state   *gossiper.State
	down    bool
	refuses bool
	side    int
	begin   time.Time
	live    []messenger.Member
	changed int
	newer   int64
}

// network delivers heartbeats and replies at once, or loses them.
type network struct {
	now    time.Time
	random *rand.Rand
	loss   float64
	nodes  []*node
	// metered is set while traffic is counted, because encoding takes most of
	// the time of a simulation.
	metered bool
	traffic
}

// traffic counts what was sent. Bytes has the heads of HTTP, plainBytes those
// that net/http writes on its own; emptyBytes counts replies without news as
// 204 without a body.
type traffic struct {
	messages, bodies, bytes, plainBytes, emptyBytes int
}

func newNetwork(n int, loss float64, seed uint64) *network {
	return newNetworkOf(n, loss, seed, gossiper.Settings{})
}

// newNetworkOf returns a network whose nodes begin within the first 250 ms, so
// that their rounds are not at the same time.
func newNetworkOf(n int, loss float64, seed uint64, settings gossiper.Settings) *network {
	w := &network{now: start, random: rand.New(rand.NewPCG(seed, 1)), loss: loss}
	all := make([]string, n)
	for i := range n {
		all[i] = address(i)
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{state: gossiper.New(member(i, 1<<63+uint64(i)), domain, settings, seed), begin: start.Add(time.Duration(w.random.IntN(250)) * time.Millisecond)})
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
			n.changed++
		case gossiper.Newer:
			n.newer = c.Version
		}
	}
}

func (w *network) deliver(from int, beat gossiper.Beat) {
	to := slices.IndexFunc(w.nodes, func(n *node) bool { return n.state.Self.Address == beat.Address })
	if to >= 0 && w.nodes[to].down && w.nodes[to].refuses {
		w.update(from, gossiper.Failed{Address: beat.Address, Refused: true})
		return
	}
	w.count(request, beat.Heartbeat)
	if to < 0 || w.nodes[to].down || w.nodes[to].side != w.nodes[from].side || w.random.Float64() < w.loss {
		w.update(from, gossiper.Failed{Address: beat.Address})
		return
	}
	w.update(to, gossiper.Heard{Heartbeat: beat.Heartbeat})
	reply := w.nodes[to].state.Reply(w.now, beat.Heartbeat)
	w.count(response, reply)
	if w.random.Float64() >= w.loss {
		w.update(from, gossiper.Heard{Heartbeat: reply})
	}
}

// uptime is added to counters when bytes are counted: that of a week.
const uptime = 7 * 24 * 3600 * 4

func (w *network) count(k kind, h messenger.Heartbeat) {
	if !w.metered {
		return
	}
	news := len(h.Counters) > 0 || len(h.Members) != 1
	h.Members, h.Counters = slices.Clone(h.Members), slices.Clone(h.Counters)
	for i := range h.Members {
		h.Members[i].Counter += uptime
	}
	for i := range h.Counters {
		if h.Counters[i] > 0 {
			h.Counters[i] += uptime
		}
	}
	data, err := json.Marshal(h)
	if err != nil {
		panic(err)
	}
	w.messages++
	w.bodies += len(data)
	w.bytes += k.head + len(data)
	w.plainBytes += k.usualHead + len(data)
	if k == response && !news {
		w.emptyBytes += len(noContent)
	} else {
		w.emptyBytes += k.head + len(data)
	}
}

// step is the time between two ticks of a node.
const step = 25 * time.Millisecond

// pass lets d pass; nodes take their ticks in a random order.
func (w *network) pass(d time.Duration) {
	for range int(d / step) {
		w.now = w.now.Add(step)
		for _, i := range w.random.Perm(len(w.nodes)) {
			if !w.nodes[i].down && !w.now.Before(w.nodes[i].begin) {
				w.update(i, gossiper.Tick{})
			}
		}
	}
}

// meter counts the traffic of d and returns it.
func (w *network) meter(d time.Duration) traffic {
	w.metered, w.traffic = true, traffic{}
	w.pass(d)
	w.metered = false
	return w.traffic
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

// changes returns how often nodes have changed their lists of live members.
func (w *network) changes() int {
	sum := 0
	for _, n := range w.nodes {
		sum += n.changed
	}
	return sum
}

// changed returns for each node how often it has changed its list.
func (w *network) changed() []int {
	var list []int
	for _, n := range w.nodes {
		list = append(list, n.changed)
	}
	return list
}

// noticed lets time pass until no other node holds node dead for live, and
// returns the milliseconds after which each noticed.
func (w *network) noticed(dead int) []float64 {
	died := w.now
	var times []float64
	seen := make([]bool, len(w.nodes))
	for len(times) < len(w.nodes)-1 {
		w.pass(step)
		for i, n := range w.nodes {
			if i != dead && !seen[i] && !slices.Contains(n.live, w.nodes[dead].state.Self) {
				seen[i] = true
				times = append(times, float64(w.now.Sub(died).Milliseconds()))
			}
		}
	}
	return times
}
