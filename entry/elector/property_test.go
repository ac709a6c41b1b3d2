package elector_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/godwitrelay/godwitrelay/entry/elector"
)

// generatedCases is the number of generated event sequences per run.
const generatedCases = 300

// applyFault decodes a number into a delay of up to 2 s and an event, and
// applies them: an entry crashes, freezes, drains, is disconnected, has a worker
// taken over by another owner, or comes back; or all partitions heal.
func (n *network) applyFault(number int) string {
	pick := func(m int) int {
		x := number % m
		number /= m
		return x
	}
	n.run(time.Duration(20*pick(100)) * time.Millisecond)
	i := pick(len(n.entries))
	e := n.entries[i]
	at := n.now.Format("05.000 ")
	switch kind := pick(8); {
	case kind == 0:
		e.down = true
		return fmt.Sprintf("%s%d crashes", at, i)
	case kind == 1 && !e.down:
		e.frozen = true
		return fmt.Sprintf("%s%d freezes", at, i)
	case kind == 2:
		n.partition(i)
		return fmt.Sprintf("%s%d is disconnected", at, i)
	case kind == 3:
		n.partition(i, (i+1)%len(n.entries))
		return fmt.Sprintf("%s%d and the next entry are disconnected", at, i)
	case kind == 4:
		n.heal()
		return at + "all partitions heal"
	case kind == 5 && e.owning:
		n.deliver(i, elector.WorkerTakenOver{})
		return fmt.Sprintf("%s%d loses a worker", at, i)
	case e.down:
		n.start(i)
		return fmt.Sprintf("%s%d starts", at, i)
	case e.frozen:
		n.resume(i)
		return fmt.Sprintf("%s%d resumes", at, i)
	default:
		n.deliver(i, elector.Drain{})
		n.schedule(time.Second, func() { e.down = true })
		return fmt.Sprintf("%s%d drains", at, i)
	}
}

// runFaults applies a sequence of events, restores all entries, and checks 6 s
// later that they agree. It returns the problem and the events, or an empty
// string.
func runFaults(numbers []int) string {
	n := newNetwork(1, 5)
	var events []string
	for _, number := range numbers {
		events = append(events, n.applyFault(number))
	}
	n.run(time.Second)
	n.restore()
	n.run(6 * time.Second)
	problem := ""
	owners := n.owners()
	if len(owners) != 1 {
		problem = fmt.Sprintf("owners are %v, want one", owners)
	}
	for i, e := range n.entries {
		if len(owners) == 1 && e.state.Owner() != address(owners[0]) {
			problem = fmt.Sprintf("entry %d follows %q, the owner is %d", i, e.state.Owner(), owners[0])
		}
	}
	if problem == "" {
		return ""
	}
	return strings.Join(append([]string{problem}, events...), "\n")
}

// TestShrunkFaultSequences guards against entries that do not agree on one
// owner after faults. Failing event sequences are shrunk before they are
// reported.
func TestShrunkFaultSequences(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(13)
	params.MinSuccessfulTests, params.MaxSize = generatedCases, 40
	properties := gopter.NewProperties(params)
	properties.Property("all entries follow one owner", prop.ForAll(runFaults, gen.SliceOf(gen.IntRange(0, 1<<50))))
	properties.TestingRun(t)
}
