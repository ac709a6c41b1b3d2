package placer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/standin/fleet/executor"
)

// history is a simulation that is driven by a list of numbers, so that a list
// that breaks a rule can be made shorter.
type history struct {
	*simulation
	wall   int64
	events []string
}

// eventKinds are what a number can stand for, each with its weight.
var eventKinds = []struct {
	weight int
	do     func(h *history, pick func(int) int) string
}{
	{8, (*history).submitJob},
	{1, (*history).callerLeaves},
	{1, (*history).restartWorker},
	{1, (*history).cutWorker},
	{2, (*history).newOwner},
	{1, (*history).faultyOrders},
}

// play handles the event that a number stands for: a pause of up to 60 ms, then
// one of eventKinds with choices of its own.
func (h *history) play(n int) {
	pick := func(m int) int {
		x := n % m
		n /= m
		return x
	}
	h.run(time.Duration(pick(60)) * time.Millisecond)
	sum := 0
	for _, k := range eventKinds {
		sum += k.weight
	}
	at := pick(sum)
	for _, k := range eventKinds {
		if at -= k.weight; at < 0 {
			h.events = append(h.events, h.now.Format("05.000 ")+k.do(h, pick))
			return
		}
	}
}

func (h *history) submitJob(pick func(int) int) string {
	task := executor.Task{CPU: int64(17000 + 1000*pick(24)), Work: time.Duration(20+20*pick(20)) * time.Millisecond, Fails: pick(30) == 29, Hangs: pick(30) == 29}
	j := job(fmt.Sprintf("j%04d", len(h.jobs)), 1+pick(6), task.CPU, task.Work.Milliseconds())
	h.submit(h.current, j, task)
	return fmt.Sprintf("%s: job %s of %d tasks, %+v", h.current.name, j.ID, j.Tasks, task)
}

func (h *history) callerLeaves(pick func(int) int) string {
	if len(h.jobs) == 0 {
		return "nobody leaves"
	}
	id := fmt.Sprintf("j%04d", pick(len(h.jobs)))
	h.tell(h.current, placer.Cancel{JobID: id})
	return "the caller of " + id + " leaves"
}

func (h *history) restartWorker(pick func(int) int) string {
	m := h.machines[pick(len(h.machines))]
	m.Restart(h.now)
	return m.id + " restarts"
}

func (h *history) cutWorker(pick func(int) int) string {
	m, o := h.machines[pick(len(h.machines))], h.owners[pick(len(h.owners))]
	d := time.Duration(100*pick(30)) * time.Millisecond
	m.cutFrom[o] = true
	h.after(d, func(time.Time) { delete(m.cutFrom, o) })
	return fmt.Sprintf("%s is cut from %s for %v", m.id, o.name, d)
}

func (h *history) newOwner(pick func(int) int) string {
	from, to := h.current, h.owners[0]
	if from == to {
		to = h.owners[1]
	}
	h.wall += 1000
	h.current = to
	how := pick(4)
	h.changeOwner(from, to, h.wall, how)
	return fmt.Sprintf("%s follows %s, in way %d", to.name, from.name, how)
}

func (h *history) faultyOrders(pick func(int) int) string {
	share := func() float64 { return 0.1 * float64(pick(4)) }
	h.fault = fault{lost: share(), late: share(), mute: share(), stops: share(), holds: share()}
	return fmt.Sprintf("orders go wrong: %+v", h.fault)
}

// playNumbers plays a history and returns what broke a rule, with the history.
func playNumbers(numbers []int) string {
	h := &history{simulation: newSimulation(1, 6, 2), wall: 1_700_000_000_000}
	h.current, h.reclaims = h.owners[0], true
	h.tell(h.current, placer.Claim{WallMs: h.wall})
	h.run(50 * time.Millisecond)
	for _, n := range numbers {
		h.play(n)
	}
	h.fault = fault{}
	h.run(20 * time.Second)
	problems := h.problems(h.current)
	if len(problems) == 0 {
		return ""
	}
	return strings.Join(append(problems, h.events...), "\n")
}

// Guards against the same as TestInvariants, with lists of events that are made
// as short as they can be before they are shown.
func TestShortestHistories(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(12)
	params.MinSuccessfulTests, params.MaxSize = histories(), 120
	properties := gopter.NewProperties(params)
	properties.Property("no rule is broken", prop.ForAll(playNumbers, gen.SliceOf(gen.IntRange(0, 1<<50))))
	properties.TestingRun(t)
}
