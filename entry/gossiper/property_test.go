package gossiper_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// eventFromInt decodes a number into an event: a heartbeat from one of 4
// addresses in one of 3 incarnations with arbitrary rows, a time step, a time
// jump, a list of candidates or a stop.
func eventFromInt(n int, now *time.Time) gossiper.Msg {
	pick := func(m int) int {
		x := n % m
		n /= m
		return x
	}
	row := func() messenger.MemberState {
		m := memberState(pick(4), uint64(1+pick(3)), uint64(pick(6)))
		m.Stopping = pick(5) == 0
		return m
	}
	switch kind := pick(20); {
	case kind < 11:
		first := row()
		return gossiper.HeartbeatReceived{Heartbeat: messenger.Heartbeat{
			From: first.Member, FailureDomain: domain, Members: []messenger.MemberState{first, row(), row()},
		}}
	case kind < 18:
		*now = now.Add(time.Duration(pick(700)) * time.Millisecond)
		return gossiper.Tick{}
	case kind < 19:
		*now = now.Add(time.Duration(pick(20)-5) * time.Second)
		return gossiper.Tick{}
	case pick(10) == 0:
		return gossiper.Stop{}
	default:
		return gossiper.Candidates{Local: []string{address(pick(6)), address(pick(6))}}
	}
}

// Two rows for one address would let two incarnations be considered for the same
// broker role. A counter that decreases could advance again without a heartbeat
// from its member, so that a dead member would count as live.
func TestInvariants(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(11)
	params.MinSuccessfulTests = 300
	properties := gopter.NewProperties(params)
	properties.Property("invariants hold for any events", prop.ForAllNoShrink(func(numbers []int) string {
		now := start
		s := gossiper.New(member(0, 1), domain, gossiper.Settings{}, 1)
		var live []messenger.Member
		stopped := false
		counters := map[messenger.Member]uint64{}
		for _, n := range numbers {
			msg := eventFromInt(n, &now)
			_, stops := msg.(gossiper.Stop)
			stopped = stopped || stops
			cmds := s.Update(now, msg)
			for _, c := range cmdsOf[gossiper.MembersChanged](cmds) {
				if live != nil && slices.Equal(live, c.Members) {
					return "Changed without a change"
				}
				live = c.Members
			}
			if problem := checkState(s, cmds, live, stopped, counters); problem != "" {
				return problem
			}
		}
		return ""
	}, gen.SliceOf(gen.IntRange(0, 1<<40))))
	properties.TestingRun(t)
}

func checkState(s *gossiper.State, cmds []gossiper.Cmd, live []messenger.Member, stopped bool, counters map[messenger.Member]uint64) string {
	byAddress := func(a, b messenger.Member) int { return slices.Compare([]byte(a.Address), []byte(b.Address)) }
	if !slices.IsSortedFunc(live, byAddress) || len(slices.CompactFunc(slices.Clone(live), func(a, b messenger.Member) bool { return a.Address == b.Address })) != len(live) {
		return fmt.Sprintf("live members are not sorted or share an address: %v", live)
	}
	if slices.Contains(live, s.Self) == stopped {
		return fmt.Sprintf("stopped %v, but live members are %v", stopped, live)
	}
	rows := map[messenger.Member]uint64{}
	addresses := map[string]bool{}
	for _, m := range s.Members() {
		if addresses[m.Member.Address] {
			return "two rows for " + m.Member.Address
		}
		addresses[m.Member.Address] = true
		// A member that was forgotten in between may start again with a lower
		// counter.
		if before, known := counters[m.Member]; known && m.Counter < before {
			return fmt.Sprintf("the counter of %v decreased from %d to %d", m.Member, before, m.Counter)
		}
		rows[m.Member] = m.Counter
	}
	clear(counters)
	for m, c := range rows {
		counters[m] = c
	}
	for _, b := range cmdsOf[gossiper.SendHeartbeat](cmds) {
		if b.Address == s.Self.Address {
			return "a heartbeat to itself"
		}
	}
	return ""
}

// TestConvergence guards against entries of a failure domain that never find
// each other, and against dead or stopped members that stay listed as live.
func TestConvergence(t *testing.T) {
	t.Parallel()
	params := gopter.DefaultTestParametersWithSeed(13)
	params.MinSuccessfulTests = 25
	properties := gopter.NewProperties(params)
	properties.Property("all entries agree", prop.ForAllNoShrink(func(n, lossPercent int, seed uint64) string {
		w := newNetwork(n, float64(lossPercent)/100, seed)
		w.advance(5 * time.Second)
		w.loss = 0
		w.advance(3 * time.Second)
		if problem := w.liveProblem(indexesBelow(n)...); problem != "" {
			return "joining: " + problem
		}
		w.nodes[0].down = true
		w.advance(3 * time.Second)
		if problem := w.liveProblem(indexesBelow(n)[1:]...); problem != "" {
			return "after a crash: " + problem
		}
		w.nodes[0] = &node{state: gossiper.New(member(0, 99), domain, gossiper.Settings{}, seed)}
		w.update(0, gossiper.Candidates{Local: []string{address(1)}})
		w.advance(3 * time.Second)
		if problem := w.liveProblem(indexesBelow(n)...); problem != "" {
			return "after a restart: " + problem
		}
		w.update(n-1, gossiper.Stop{})
		w.advance(3 * time.Second)
		if problem := w.liveProblem(indexesBelow(n - 1)...); problem != "" {
			return "after a stop: " + problem
		}
		return ""
	}, gen.IntRange(2, 16), gen.IntRange(0, 30), gen.UInt64()))
	properties.TestingRun(t)
}

// At the domain sizes in use, message loss must not lead to suspicions, because
// each of them would make brokers change.
func TestNoWrongSuspicion(t *testing.T) {
	for _, n := range []int{2, 3, 4, 8, 12, 16, 32} {
		t.Run(fmt.Sprintf("%d members", n), func(t *testing.T) {
			t.Parallel()
			w := newNetwork(n, 0.05, 5)
			w.advance(5 * time.Second)
			before := make([]int, n)
			for i, x := range w.nodes {
				before[i] = x.changes
			}
			duration := 60 * time.Second
			if n > 16 {
				duration = 20 * time.Second
			}
			w.advance(duration)
			w.wantLive(t, indexesBelow(n)...)
			for i, x := range w.nodes {
				if x.changes != before[i] {
					t.Errorf("node %d changed its list %d times", i, x.changes-before[i])
				}
			}
		})
	}
}
