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

// history is a simulation driven by a list of numbers, each of which encodes an
// event, so that gopter can shrink a history that violates an invariant.
type history struct {
	*simulation
	wallMs   int64
	eventLog []string
}

// historyEvents are the events a number can encode, with their weights.
var historyEvents = []struct {
	weight int
	apply  func(h *history, pick func(int) int) string
}{
	{8, (*history).submitJob},
	{1, (*history).cancelJob},
	{1, (*history).restartWorker},
	{1, (*history).disconnectWorker},
	{2, (*history).changeToOtherOwner},
	{1, (*history).changeFaults},
}

// playEvent applies the event encoded by a number: a pause of up to 60 ms, then
// one of historyEvents with its parameters.
func (h *history) playEvent(n int) {
	pick := func(m int) int {
		x := n % m
		n /= m
		return x
	}
	h.run(time.Duration(pick(60)) * time.Millisecond)
	sum := 0
	for _, k := range historyEvents {
		sum += k.weight
	}
	at := pick(sum)
	for _, k := range historyEvents {
		if at -= k.weight; at < 0 {
			h.eventLog = append(h.eventLog, h.now.Format("05.000 ")+k.apply(h, pick))
			return
		}
	}
}

func (h *history) submitJob(pick func(int) int) string {
	task := executor.Task{CPU: int64(17000 + 1000*pick(24)), Duration: time.Duration(20+20*pick(20)) * time.Millisecond, Fails: pick(30) == 29, Hangs: pick(30) == 29}
	j := newJob(fmt.Sprintf("j%04d", len(h.jobs)), 1+pick(6), task.CPU, task.Duration.Milliseconds())
	h.submit(h.currentOwner, j, task)
	return fmt.Sprintf("%s: job %s of %d tasks, %+v", h.currentOwner.name, j.ID, j.Tasks, task)
}

func (h *history) cancelJob(pick func(int) int) string {
	if len(h.jobs) == 0 {
		return "no job to cancel"
	}
	id := fmt.Sprintf("j%04d", pick(len(h.jobs)))
	h.deliver(h.currentOwner, placer.Cancel{JobID: id})
	return "the caller of " + id + " cancels"
}

func (h *history) restartWorker(pick func(int) int) string {
	m := h.machines[pick(len(h.machines))]
	m.Restart(h.now)
	return m.id + " restarts"
}

func (h *history) disconnectWorker(pick func(int) int) string {
	m, o := h.machines[pick(len(h.machines))], h.owners[pick(len(h.owners))]
	d := time.Duration(100*pick(30)) * time.Millisecond
	m.unreachableFrom[o] = true
	h.schedule(d, func(time.Time) { delete(m.unreachableFrom, o) })
	return fmt.Sprintf("%s is disconnected from %s for %v", m.id, o.name, d)
}

func (h *history) changeToOtherOwner(pick func(int) int) string {
	from, to := h.currentOwner, h.owners[0]
	if from == to {
		to = h.owners[1]
	}
	h.wallMs += 1000
	h.currentOwner = to
	mode := pick(4)
	h.changeOwner(from, to, h.wallMs, mode)
	return fmt.Sprintf("%s replaces %s as owner, mode %d", to.name, from.name, mode)
}

func (h *history) changeFaults(pick func(int) int) string {
	rate := func() float64 { return 0.1 * float64(pick(4)) }
	h.faults = faultRates{lostStarts: rate(), delayedStarts: rate(), lostStartReplies: rate(), lostStops: rate(), lostHolds: rate()}
	return fmt.Sprintf("fault rates: %+v", h.faults)
}

// runEncodedHistory plays a history and returns the violations followed by the
// events, or an empty string if there are no violations.
func runEncodedHistory(numbers []int) string {
	h := &history{simulation: newSimulation(1, 6, 2), wallMs: 1_700_000_000_000}
	h.currentOwner, h.reclaimWorkers = h.owners[0], true
	h.deliver(h.currentOwner, placer.Claim{WallMs: h.wallMs})
	h.run(50 * time.Millisecond)
	for _, n := range numbers {
		h.playEvent(n)
	}
	h.faults = faultRates{}
	h.run(20 * time.Second)
	violations := h.finalViolations(h.currentOwner)
	if len(violations) == 0 {
		return ""
	}
	return strings.Join(append(violations, h.eventLog...), "\n")
}

// TestShrunkHistories guards against the same failures as TestInvariants,
// with histories that are shrunk before they are reported.
func TestShrunkHistories(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(12)
	params.MinSuccessfulTests, params.MaxSize = historyCount(), 120
	properties := gopter.NewProperties(params)
	properties.Property("no invariant is violated", prop.ForAll(runEncodedHistory, gen.SliceOf(gen.IntRange(0, 1<<50))))
	properties.TestingRun(t)
}
