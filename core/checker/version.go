package checker

import (
	"sort"

	"github.com/godwitrelay/godwitrelay/core/recorder"
)

// versions is what a history says of the configuration.
type versions struct {
	// inForce and accepted hold the first record of each version.
	inForce, accepted map[int64]Place
	// versionOf is the first record that gives a change a version.
	versionOf map[string]Place
	proposed  map[string]Place
	lost      map[string]Place
	highest   int64
}

// checkVersions decides the point about the configuration.
func checkVersions(x *index) []Violation {
	v := &versions{
		inForce: map[int64]Place{}, accepted: map[int64]Place{}, versionOf: map[string]Place{},
		proposed: map[string]Place{}, lost: map[string]Place{},
	}
	var list []Violation
	for _, log := range x.history {
		list = append(list, v.read(log)...)
	}
	list = append(list, v.checkFates()...)
	list = append(list, v.checkChain()...)
	if len(list) > 0 {
		return list
	}
	return checkRegister(x.history, v)
}

// read takes the records of one log, in which versions must not fall.
func (v *versions) read(log Log) []Violation {
	var list []Violation
	var last *Place
	for i, r := range log.Records {
		p := placeOf(log, i)
		switch r.Event {
		case recorder.ChangeProposed:
			if _, ok := v.proposed[r.ChangeID]; !ok {
				v.proposed[r.ChangeID] = p
			}
		case recorder.ChangeLost:
			v.lost[r.ChangeID] = p
		case recorder.ChangeAccepted:
			list = append(list, v.agree(p)...)
			keep(v.accepted, p)
		case recorder.VersionInForce:
			if last != nil && r.Version < last.Record.Version {
				list = append(list, violation(ConfigurationIn, []Place{*last, p},
					"%s went back from version %d to version %d", log.Name, last.Record.Version, r.Version))
			}
			last = &p
			list = append(list, v.agree(p)...)
			keep(v.inForce, p)
			v.highest = max(v.highest, r.Version)
		default:
		}
	}
	return list
}

func keep(m map[int64]Place, p Place) {
	if _, ok := m[p.Record.Version]; !ok {
		m[p.Record.Version] = p
	}
}

// agree checks that a version is one change, and a change one version.
func (v *versions) agree(p Place) []Violation {
	var list []Violation
	r := p.Record
	for _, m := range []map[int64]Place{v.inForce, v.accepted} {
		if before, ok := m[r.Version]; ok && before.Record.ChangeID != r.ChangeID {
			list = append(list, violation(ConfigurationIn, []Place{before, p},
				"version %d is change %s and change %s", r.Version, before.Record.ChangeID, r.ChangeID))
		}
	}
	before, ok := v.versionOf[r.ChangeID]
	if ok && before.Record.Version != r.Version {
		list = append(list, violation(ConfigurationIn, []Place{before, p},
			"change %s is version %d and version %d", r.ChangeID, before.Record.Version, r.Version))
	}
	if !ok {
		v.versionOf[r.ChangeID] = p
	}
	return list
}

// checkFates compares what operators were told with what came into force.
func (v *versions) checkFates() []Violation {
	var list []Violation
	for _, id := range sortedKeys(v.lost) {
		if p, ok := v.versionOf[id]; ok {
			list = append(list, violation(ConfigurationIn, []Place{v.lost[id], p},
				"change %s was told lost and is version %d", id, p.Record.Version))
		}
	}
	for _, n := range sortedKeys(v.accepted) {
		if p := v.accepted[n]; n > v.highest {
			list = append(list, violation(ConfigurationIn, []Place{p},
				"change %s was told accepted as version %d and no entry put it in force", p.Record.ChangeID, n))
		}
	}
	return list
}

// checkChain checks that each version's change was made on the version before
// it, so that each base has one winner.
func (v *versions) checkChain() []Violation {
	var list []Violation
	winner := map[string]string{}
	for _, id := range sortedKeys(v.versionOf) {
		p, ok := v.proposed[id]
		if !ok {
			continue
		}
		base, at := p.Record.Base, v.versionOf[id]
		if other, taken := winner[base]; taken {
			list = append(list, violation(ConfigurationIn, []Place{v.proposed[other], p, v.versionOf[other], at},
				"changes %s and %s were both accepted on base %q", other, id, base))
		}
		winner[base] = id
		if before, known := v.change(at.Record.Version - 1); known && before.Record.ChangeID != base {
			list = append(list, violation(ConfigurationIn, []Place{p, before, at},
				"version %d was made on base %q, and version %d is %s",
				at.Record.Version, base, before.Record.Version, before.Record.ChangeID))
		}
		if at.Record.Version == 1 && base != "" {
			list = append(list, violation(ConfigurationIn, []Place{p, at}, "version 1 was made on base %q", base))
		}
	}
	return list
}

func (v *versions) change(n int64) (Place, bool) {
	if p, ok := v.inForce[n]; ok {
		return p, true
	}
	p, ok := v.accepted[n]
	return p, ok
}

func sortedKeys[K interface{ ~string | ~int64 }](m map[K]Place) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
