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
// receives, but keeps its state. refuses is set if the VM of a node that is
// down refuses connections. Nodes in different partitions do not reach each
// other.
type node struct {
	state        *gossiper.State
	down         bool
	refuses      bool
	partition    int
	startAt      time.Time
	live         []messenger.Member
	changes      int
	newerVersion int64
}

// network delivers heartbeats and replies immediately, or loses them.
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

// traffic counts the messages sent and their bytes. bodies counts only the
// bodies. bytes adds the HTTP start lines and headers that entries write. The
// other two are alternatives for comparison: bytesDefaultHead adds the headers
// that net/http writes by default, and bytesNoContent is bytes if a reply that
// contains nothing but the sender's own row were a 204 without a body.
type traffic struct {
	messages, bodies, bytes, bytesDefaultHead, bytesNoContent int
}

func newNetwork(n int, loss float64, seed uint64) *network {
	return newNetworkWith(n, loss, seed, gossiper.Settings{})
}

// newNetworkWith returns a network whose nodes start within the first 250 ms,
// so that their rounds do not coincide.
func newNetworkWith(n int, loss float64, seed uint64, settings gossiper.Settings) *network {
	w := &network{now: start, random: rand.New(rand.NewPCG(seed, 1)), loss: loss}
	all := make([]string, n)
	for i := range n {
		all[i] = address(i)
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{state: gossiper.New(member(i, 1<<63+uint64(i)), domain, settings, seed), startAt: start.Add(time.Duration(w.random.IntN(250)) * time.Millisecond)})
		w.update(i, gossiper.Candidates{Local: all})
	}
	return w
}

func (w *network) update(i int, msg gossiper.Msg) {
	n := w.nodes[i]
	for _, cmd := range n.state.Update(w.now, msg) {
		switch c := cmd.(type) {
		case gossiper.SendHeartbeat:
			w.deliver(i, c)
		case gossiper.MembersChanged:
			n.live = c.Members
			n.changes++
		case gossiper.NewerConfiguration:
			n.newerVersion = c.Version
		}
	}
}

// deliver delivers a heartbeat and its reply, or reports its failure to the
// sender.
func (w *network) deliver(from int, beat gossiper.SendHeartbeat) {
	to := slices.IndexFunc(w.nodes, func(n *node) bool { return n.state.Self.Address == beat.Address })
	if to >= 0 && w.nodes[to].down && w.nodes[to].refuses {
		w.update(from, gossiper.HeartbeatFailed{Address: beat.Address, Refused: true})
		return
	}
	w.count(request, beat.Heartbeat)
	if to < 0 || w.nodes[to].down || w.nodes[to].partition != w.nodes[from].partition || w.random.Float64() < w.loss {
		w.update(from, gossiper.HeartbeatFailed{Address: beat.Address})
		return
	}
	w.update(to, gossiper.HeartbeatReceived{Heartbeat: beat.Heartbeat})
	reply := w.nodes[to].state.Reply(w.now, beat.Heartbeat)
	w.count(response, reply)
	if w.random.Float64() >= w.loss {
		w.update(from, gossiper.HeartbeatReceived{Heartbeat: reply})
	}
}

// roundsPerWeek is the number of rounds in a week at 4 per second. It is added
// to the counters when bytes are counted, because simulated counters start at 0
// and would be encoded in fewer bytes than those of entries that have run for a
// long time.
const roundsPerWeek = 7 * 24 * 3600 * 4

// count adds a message to the traffic if the network is metered.
func (w *network) count(k messageKind, h messenger.Heartbeat) {
	if !w.metered {
		return
	}
	hasUpdates := len(h.Counters) > 0 || len(h.Members) != 1
	h.Members, h.Counters = slices.Clone(h.Members), slices.Clone(h.Counters)
	for i := range h.Members {
		h.Members[i].Counter += roundsPerWeek
	}
	for i := range h.Counters {
		if h.Counters[i] > 0 {
			h.Counters[i] += roundsPerWeek
		}
	}
	data, err := json.Marshal(h)
	if err != nil {
		panic(err)
	}
	w.messages++
	w.bodies += len(data)
	w.bytes += k.headBytes + len(data)
	w.bytesDefaultHead += k.defaultHeadBytes + len(data)
	if k == response && !hasUpdates {
		w.bytesNoContent += len(noContent)
	} else {
		w.bytesNoContent += k.headBytes + len(data)
	}
}

// step is the interval between two ticks of a node.
const step = 25 * time.Millisecond

// advance runs the network for d. Nodes tick in a random order.
func (w *network) advance(d time.Duration) {
	for range int(d / step) {
		w.now = w.now.Add(step)
		for _, i := range w.random.Perm(len(w.nodes)) {
			if !w.nodes[i].down && !w.now.Before(w.nodes[i].startAt) {
				w.update(i, gossiper.Tick{})
			}
		}
	}
}

// measureTraffic advances the network by d and returns the traffic sent.
func (w *network) measureTraffic(d time.Duration) traffic {
	w.metered, w.traffic = true, traffic{}
	w.advance(d)
	w.metered = false
	return w.traffic
}

// wantLive fails unless every node that is up sees exactly the given nodes as
// live.
func (w *network) wantLive(t *testing.T, want ...int) {
	t.Helper()
	if problem := w.liveProblem(want...); problem != "" {
		t.Fatal(problem)
	}
}

// liveProblem describes the first node that is up and sees other live members
// than the given nodes, or returns an empty string if there is none.
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

func indexesBelow(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// totalChanges returns how often all nodes together have changed their lists of
// live members.
func (w *network) totalChanges() int {
	sum := 0
	for _, n := range w.nodes {
		sum += n.changes
	}
	return sum
}

// changesByNode returns for each node how often it has changed its list.
func (w *network) changesByNode() []int {
	var list []int
	for _, n := range w.nodes {
		list = append(list, n.changes)
	}
	return list
}

// detectionTimes advances the network until no other node lists node dead as live.
// It returns the milliseconds after which each node removed it.
func (w *network) detectionTimes(dead int) []float64 {
	failedAt := w.now
	var times []float64
	detected := make([]bool, len(w.nodes))
	for len(times) < len(w.nodes)-1 {
		w.advance(step)
		for i, n := range w.nodes {
			if i != dead && !detected[i] && !slices.Contains(n.live, w.nodes[dead].state.Self) {
				detected[i] = true
				times = append(times, float64(w.now.Sub(failedAt).Milliseconds()))
			}
		}
	}
	return times
}
