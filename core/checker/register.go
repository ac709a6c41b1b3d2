package checker

import (
	"math"
	"sort"

	"github.com/anishathalye/porcupine"

	"github.com/godwitrelay/godwitrelay/core/recorder"
)

// changeOutcome is the outcome of a proposed change.
type changeOutcome int

const (
	// outcomeUnknown: the operator got no reply and no process reported the
	// change in force. It may take effect at any time, or never.
	outcomeUnknown changeOutcome = iota
	outcomeAccepted
	outcomeRejected
)

// operation is one compare-and-set on the configuration: it puts the change id
// in force if base is in force. begin and end are indexes of records in log; end
// is math.MaxInt if the operator got no reply. predecessors lists the operations
// that ended before this one began in the same log; operations of different logs
// are not ordered by time.
type operation struct {
	id, base              string
	outcome               changeOutcome
	version               int64
	log                   string
	begin, end            int
	index                 int
	predecessors          []int
	proposedAt, decidedAt Position
}

// registerState is the state of the configuration register. done is the set of
// operations applied so far; byte i is 1 if operation i was. It is a string so
// that states are comparable.
type registerState struct {
	id      string
	version int64
	done    string
}

// registerModel accepts an order of operations if the base of each accepted
// change was in force when it was applied and that of each rejected one was
// not.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, _ any) []any { return stepRegister(state.(registerState), input.(operation)) },
}

// stepRegister returns the states that can follow s if op is applied next, or none
// if op cannot be next.
func stepRegister(s registerState, op operation) []any {
	for _, i := range op.predecessors {
		if i >= len(s.done) || s.done[i] == 0 {
			return nil
		}
	}
	unchanged := registerState{s.id, s.version, withDone(s.done, op.index)}
	updated := registerState{op.id, s.version + 1, unchanged.done}
	baseInForce := s.id == op.base
	switch op.outcome {
	case outcomeAccepted:
		if baseInForce && (op.version == 0 || op.version == updated.version) {
			return []any{updated}
		}
		return nil
	case outcomeRejected:
		if baseInForce {
			return nil
		}
		return []any{unchanged}
	default:
		if baseInForce {
			return []any{unchanged, updated}
		}
		return []any{unchanged}
	}
}

// withDone returns done with operation i added.
func withDone(done string, i int) string {
	updated := make([]byte, max(len(done), i+1))
	copy(updated, done)
	updated[i] = 1
	return string(updated)
}

// checkRegister verifies that the operators' changes are linearizable as
// compare-and-set operations on a single register.
func checkRegister(h History, v *versions) []Violation {
	ops := operations(h, v)
	if linearizable(ops) {
		return nil
	}
	ops = shortestViolatingPrefix(ops)
	var evidence []Position
	for _, op := range ops {
		evidence = append(evidence, op.proposedAt)
		if op.outcome != outcomeUnknown {
			evidence = append(evidence, op.decidedAt)
		}
	}
	return []Violation{newViolation(ConsistentConfiguration, evidence,
		"the replies to the operators are not linearizable: no order of the changes explains them")}
}

// operations returns the changes of all operators. Repeated proposals under the
// same id count as one operation.
func operations(h History, v *versions) []operation {
	var ops []operation
	indexByID := map[string]int{}
	for _, log := range h {
		for i, r := range log.Records {
			n, found := indexByID[r.ChangeID]
			switch {
			case r.Event == recorder.ChangeProposed && !found:
				indexByID[r.ChangeID] = len(ops)
				ops = append(ops, operation{
					id: r.ChangeID, base: r.Base, log: log.Name, begin: i, end: math.MaxInt, proposedAt: positionOf(log, i),
				})
			case !found || ops[n].log != log.Name || ops[n].outcome != outcomeUnknown:
			case r.Event == recorder.ChangeAccepted:
				ops[n].outcome, ops[n].version, ops[n].end, ops[n].decidedAt = outcomeAccepted, r.Version, i, positionOf(log, i)
			case r.Event == recorder.ChangeLost:
				ops[n].outcome, ops[n].end, ops[n].decidedAt = outcomeRejected, i, positionOf(log, i)
			}
		}
	}
	for i := range ops {
		if p, ok := v.positionOfChange[ops[i].id]; ok && ops[i].outcome == outcomeUnknown {
			ops[i].outcome, ops[i].version, ops[i].decidedAt = outcomeAccepted, p.Record.Version, p
		}
	}
	return setPredecessors(ops)
}

// setPredecessors sets the index and the predecessors of each operation in
// place and returns ops.
func setPredecessors(ops []operation) []operation {
	for i := range ops {
		ops[i].index, ops[i].predecessors = i, nil
		for j := range ops {
			if ops[j].log == ops[i].log && ops[j].end < ops[i].begin {
				ops[i].predecessors = append(ops[i].predecessors, j)
			}
		}
	}
	return ops
}

// linearizable reports whether some order of the operations explains their
// outcomes. Only their predecessors restrict the order.
func linearizable(ops []operation) bool {
	list := make([]porcupine.Operation, len(ops))
	for i, op := range ops {
		list[i] = porcupine.Operation{ClientId: i, Input: op, Call: 0, Return: 1}
	}
	return porcupine.CheckOperations(registerModel.ToModel(), list)
}

// shortestViolatingPrefix returns the shortest prefix of the operations, ordered
// by the index of the proposal in its log, that is not linearizable.
func shortestViolatingPrefix(ops []operation) []operation {
	sorted := append([]operation(nil), ops...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].begin < sorted[j].begin })
	for n := 1; n < len(sorted); n++ {
		prefix := setPredecessors(append([]operation(nil), sorted[:n]...))
		if !linearizable(prefix) {
			return prefix
		}
	}
	return setPredecessors(sorted)
}
