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

// generatedHistories is the number of lists of events in a run.
const generatedHistories = 300

// playFault handles the event that a number stands for, after a pause of up to
// 2 s: an entry that ends, stands still, stops, is cut off, or comes back.
func (n *network) playFault(number int) string {
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
		return fmt.Sprintf("%s%d ends", at, i)
	case kind == 1 && !e.down:
		e.frozen = true
		return fmt.Sprintf("%s%d stands still", at, i)
	case kind == 2:
		n.separate(i)
		return fmt.Sprintf("%s%d is cut off", at, i)
	case kind == 3:
		n.separate(i, (i+1)%len(n.entries))
		return fmt.Sprintf("%s%d and the next one are cut off", at, i)
	case kind == 4:
		n.heal()
		return at + "all cuts heal"
	case kind == 5 && e.owning:
		n.tell(i, elector.Deposed{})
		return fmt.Sprintf("%s%d loses a worker", at, i)
	case e.down:
		n.start(i)
		return fmt.Sprintf("%s%d starts", at, i)
	case e.frozen:
		n.resume(i)
		return fmt.Sprintf("%s%d goes on", at, i)
	default:
		n.tell(i, elector.Drain{})
		n.after(time.Second, func() { e.down = true })
		return fmt.Sprintf("%s%d stops", at, i)
	}
}

// playFaults plays a list of events and returns what is wrong 6 s after all
// entries are back, with the events.
func playFaults(numbers []int) string {
	n := newNetwork(1, 5)
	var events []string
	for _, number := range numbers {
		events = append(events, n.playFault(number))
	}
	n.run(time.Second)
	n.restore()
	n.run(6 * time.Second)
	problem := ""
	owners := n.owners()
	if len(owners) != 1 {
		problem = fmt.Sprintf("owners are %v", owners)
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

// Guards against entries that do not agree on one owner after faults, with
// lists of events that are made as short as they can be before they are shown.
func TestShortestDisagreements(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(13)
	params.MinSuccessfulTests, params.MaxSize = generatedHistories, 40
	properties := gopter.NewProperties(params)
	properties.Property("one owner that all follow", prop.ForAll(playFaults, gen.SliceOf(gen.IntRange(0, 1<<50))))
	properties.TestingRun(t)
}
