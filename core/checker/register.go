package checker

import (
	"math"
	"sort"

	"github.com/anishathalye/porcupine"

	"github.com/godwitrelay/godwitrelay/core/recorder"
)

// fate is what became of a proposed change.
type fate int

const (
	// unknown: the operator was told nothing and no process saw it in force.
	// It may have been accepted, now or later, or never.
	unknown fate = iota
	accepted
	refused
)

// operation is one compare-and-set on the configuration: put id in force if
// base is. after lists the operations that had ended in the same log before
// this one began; operations of different logs are not ordered by time.
type operation struct {
	id, base    string
	fate        fate
	version     int64
	log         string
	begin, end  int
	index       int
	after       []int
	begun, told Place
}

// registerState is the state of the configuration register. done is the set of
// operations that took place before.
type registerState struct {
	id      string
	version int64
	done    string
}

// registerModel accepts the orders of operations in which each accepted change
// found its base in force and each refused one did not.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, _ any) []any { return stepRegister(state.(registerState), input.(operation)) },
}

func stepRegister(s registerState, op operation) []any {
	for _, i := range op.after {
		if i >= len(s.done) || s.done[i] == 0 {
			return nil
		}
	}
	same := registerState{s.id, s.version, mark(s.done, op.index)}
	next := registerState{op.id, s.version + 1, same.done}
	matches := s.id == op.base
	switch op.fate {
	case accepted:
		if matches && (op.version == 0 || op.version == next.version) {
			return []any{next}
		}
		return nil
	case refused:
		if matches {
			return nil
		}
		return []any{same}
	default:
		if matches {
			return []any{same, next}
		}
		return []any{same}
	}
}

func mark(done string, i int) string {
	set := make([]byte, max(len(done), i+1))
	copy(set, done)
	set[i] = 1
	return string(set)
}

// checkRegister decides whether the operators' changes can have taken place
// one after the other on one register.
func checkRegister(h History, v *versions) []Violation {
	ops := operations(h, v)
	if linearizable(ops) {
		return nil
	}
	ops = shortest(ops)
	var places []Place
	for _, op := range ops {
		places = append(places, op.begun)
		if op.fate != unknown {
			places = append(places, op.told)
		}
	}
	return []Violation{violation(ConfigurationIn, places,
		"no order of the changes explains what the operators were told")}
}

// operations returns the changes of all operators. A change that is proposed
// again under the same id is one operation.
func operations(h History, v *versions) []operation {
	var ops []operation
	at := map[string]int{}
	for _, log := range h {
		for i, r := range log.Records {
			n, known := at[r.ChangeID]
			switch {
			case r.Event == recorder.ChangeProposed && !known:
				at[r.ChangeID] = len(ops)
				ops = append(ops, operation{
					id: r.ChangeID, base: r.Base, log: log.Name, begin: i, end: math.MaxInt, begun: placeOf(log, i),
				})
			case !known || ops[n].log != log.Name || ops[n].fate != unknown:
			case r.Event == recorder.ChangeAccepted:
				ops[n].fate, ops[n].version, ops[n].end, ops[n].told = accepted, r.Version, i, placeOf(log, i)
			case r.Event == recorder.ChangeLost:
				ops[n].fate, ops[n].end, ops[n].told = refused, i, placeOf(log, i)
			}
		}
	}
	for i := range ops {
		if p, ok := v.versionOf[ops[i].id]; ok && ops[i].fate == unknown {
			ops[i].fate, ops[i].version, ops[i].told = accepted, p.Record.Version, p
		}
	}
	return ordered(ops)
}

// ordered fills in which operations precede which.
func ordered(ops []operation) []operation {
	for i := range ops {
		ops[i].index, ops[i].after = i, nil
		for j := range ops {
			if ops[j].log == ops[i].log && ops[j].end < ops[i].begin {
				ops[i].after = append(ops[i].after, j)
			}
		}
	}
	return ops
}

func linearizable(ops []operation) bool {
	list := make([]porcupine.Operation, len(ops))
	for i, op := range ops {
		list[i] = porcupine.Operation{ClientId: i, Input: op, Call: 0, Return: 1}
	}
	return porcupine.CheckOperations(registerModel.ToModel(), list)
}

// shortest returns the fewest operations, by the order in which they began,
// that can't be explained.
func shortest(ops []operation) []operation {
	sorted := append([]operation(nil), ops...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].begin < sorted[j].begin })
	for n := 1; n < len(sorted); n++ {
		prefix := ordered(append([]operation(nil), sorted[:n]...))
		if !linearizable(prefix) {
			return prefix
		}
	}
	return ordered(sorted)
}
