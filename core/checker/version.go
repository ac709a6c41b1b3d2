package checker

import (
	"sort"

	"github.com/godwitrelay/godwitrelay/core/recorder"
)

// versions collects the configuration records of a history.
type versions struct {
	// inForce and accepted hold the first record of each event by version.
	inForce, accepted map[int64]Position
	// positionOfChange holds the first record that assigns a version to a
	// change.
	positionOfChange map[string]Position
	proposed         map[string]Position
	lost             map[string]Position
	highest          int64
}

// checkVersions finds violations of ConsistentConfiguration. checkRegister runs
// only if the other checks of this property find nothing.
func checkVersions(x *index) []Violation {
	v := &versions{
		inForce: map[int64]Position{}, accepted: map[int64]Position{}, positionOfChange: map[string]Position{},
		proposed: map[string]Position{}, lost: map[string]Position{},
	}
	var list []Violation
	for _, log := range x.history {
		list = append(list, v.addLog(log)...)
	}
	list = append(list, v.checkOutcomes()...)
	list = append(list, v.checkBaseChain()...)
	if len(list) > 0 {
		return list
	}
	return checkRegister(x.history, v)
}

// addLog adds the records of one log and checks that its versions never
// decrease.
func (v *versions) addLog(log Log) []Violation {
	var list []Violation
	var last *Position
	for i, r := range log.Records {
		p := positionOf(log, i)
		switch r.Event {
		case recorder.ChangeProposed:
			if _, ok := v.proposed[r.ChangeID]; !ok {
				v.proposed[r.ChangeID] = p
			}
		case recorder.ChangeLost:
			v.lost[r.ChangeID] = p
		case recorder.ChangeAccepted:
			list = append(list, v.checkAgreement(p)...)
			keepFirst(v.accepted, p)
		case recorder.VersionInForce:
			if last != nil && r.Version < last.Record.Version {
				list = append(list, newViolation(ConsistentConfiguration, []Position{*last, p},
					"%s went back from version %d to version %d", log.Name, last.Record.Version, r.Version))
			}
			last = &p
			list = append(list, v.checkAgreement(p)...)
			keepFirst(v.inForce, p)
			v.highest = max(v.highest, r.Version)
		default:
		}
	}
	return list
}

// keepFirst adds p to m unless m has a record of the same version.
func keepFirst(m map[int64]Position, p Position) {
	if _, ok := m[p.Record.Version]; !ok {
		m[p.Record.Version] = p
	}
}

// checkAgreement checks that each version has one change, and each change one
// version. It records the first position of each change.
func (v *versions) checkAgreement(p Position) []Violation {
	var list []Violation
	r := p.Record
	for _, m := range []map[int64]Position{v.inForce, v.accepted} {
		if previous, ok := m[r.Version]; ok && previous.Record.ChangeID != r.ChangeID {
			list = append(list, newViolation(ConsistentConfiguration, []Position{previous, p},
				"version %d is change %s and change %s", r.Version, previous.Record.ChangeID, r.ChangeID))
		}
	}
	previous, ok := v.positionOfChange[r.ChangeID]
	if ok && previous.Record.Version != r.Version {
		list = append(list, newViolation(ConsistentConfiguration, []Position{previous, p},
			"change %s is version %d and version %d", r.ChangeID, previous.Record.Version, r.Version))
	}
	if !ok {
		v.positionOfChange[r.ChangeID] = p
	}
	return list
}

// checkOutcomes compares the replies to operators with the versions that entries
// recorded as in force.
func (v *versions) checkOutcomes() []Violation {
	var list []Violation
	for _, id := range sortedKeys(v.lost) {
		if p, ok := v.positionOfChange[id]; ok {
			list = append(list, newViolation(ConsistentConfiguration, []Position{v.lost[id], p},
				"change %s was reported as lost but has version %d", id, p.Record.Version))
		}
	}
	for _, n := range sortedKeys(v.accepted) {
		if p := v.accepted[n]; n > v.highest {
			list = append(list, newViolation(ConsistentConfiguration, []Position{p},
				"change %s was reported as accepted as version %d, but no entry put it in force", p.Record.ChangeID, n))
		}
	}
	return list
}

// checkBaseChain checks that each version is based on the version before it,
// and that at most one change was accepted on each base.
func (v *versions) checkBaseChain() []Violation {
	var list []Violation
	acceptedOn := map[string]string{}
	for _, id := range sortedKeys(v.positionOfChange) {
		p, ok := v.proposed[id]
		if !ok {
			continue
		}
		base, at := p.Record.Base, v.positionOfChange[id]
		if other, duplicate := acceptedOn[base]; duplicate {
			list = append(list, newViolation(ConsistentConfiguration, []Position{v.proposed[other], p, v.positionOfChange[other], at},
				"changes %s and %s were both accepted on base %q", other, id, base))
		}
		acceptedOn[base] = id
		if previous, found := v.positionOfVersion(at.Record.Version - 1); found && previous.Record.ChangeID != base {
			list = append(list, newViolation(ConsistentConfiguration, []Position{p, previous, at},
				"version %d is based on %q, but version %d is %s",
				at.Record.Version, base, previous.Record.Version, previous.Record.ChangeID))
		}
		if at.Record.Version == 1 && base != "" {
			list = append(list, newViolation(ConsistentConfiguration, []Position{p, at}, "version 1 is based on %q instead of the empty base", base))
		}
	}
	return list
}

// positionOfVersion returns the first record that assigns version n to a change.
func (v *versions) positionOfVersion(n int64) (Position, bool) {
	if p, ok := v.inForce[n]; ok {
		return p, true
	}
	p, ok := v.accepted[n]
	return p, ok
}

func sortedKeys[K interface{ ~string | ~int64 }](m map[K]Position) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
