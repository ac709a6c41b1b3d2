package planner

import "fmt"

// Diff returns what changes from one configuration to another, one change a
// line, in a fixed order. It is empty if nothing changes.
func Diff(from, to Configuration) []string {
	var d differ
	d.value("budget", "slots", from.BudgetSlots, to.BudgetSlots)
	d.domains(from.FailureDomains, to.FailureDomains)
	for _, name := range bothKeys(from.Services, to.Services) {
		a, inFrom := from.Services[name]
		b, inTo := to.Services[name]
		d.service("service "+name, a, b, inFrom, inTo)
	}
	for _, name := range bothKeys(from.Teams, to.Teams) {
		a, inFrom := from.Teams[name]
		b, inTo := to.Teams[name]
		what := "team " + name
		if d.present(what, inFrom, inTo, fmt.Sprintf("slots %d", b.Slots)) {
			d.value(what, "slots", a.Slots, b.Slots)
		}
	}
	return d.lines
}

type differ struct {
	lines []string
}

func (d *differ) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func (d *differ) value(what, field string, from, to any) {
	if from != to {
		d.add("%s: %s %v -> %v", what, field, from, to)
	}
}

// present reports whether both sides have the thing, and adds a line if only
// one of them has it.
func (d *differ) present(what string, inFrom, inTo bool, content string) bool {
	switch {
	case inFrom && inTo:
		return true
	case inTo:
		d.add("%s: added (%s)", what, content)
	default:
		d.add("%s: removed", what)
	}
	return false
}

func (d *differ) domains(from, to []string) {
	had, has := make(map[string]bool), make(map[string]bool)
	for _, name := range from {
		had[name] = true
	}
	for _, name := range to {
		has[name] = true
	}
	for _, name := range bothKeys(had, has) {
		switch {
		case !had[name]:
			d.add("domain %s: added", name)
		case !has[name]:
			d.add("domain %s: removed", name)
		}
	}
}

func (d *differ) service(what string, from, to Service, inFrom, inTo bool) {
	if d.present(what, inFrom, inTo, fmt.Sprintf("slots %d, allowance %s", to.Slots, allowance(to))) {
		d.value(what, "slots", from.Slots, to.Slots)
		d.value(what, "allowance", allowance(from), allowance(to))
	}
	for _, name := range bothKeys(from.RequestTypes, to.RequestTypes) {
		a, inFrom := from.RequestTypes[name]
		b, inTo := to.RequestTypes[name]
		request := what + ", request " + name
		content := fmt.Sprintf("priority %s, idempotent %s, maxRunMs %d", b.Priority, yesNo(b.Idempotent), b.MaxRunMs)
		if d.present(request, inFrom, inTo, content) {
			d.value(request, "priority", a.Priority, b.Priority)
			d.value(request, "idempotent", yesNo(a.Idempotent), yesNo(b.Idempotent))
			d.value(request, "maxRunMs", a.MaxRunMs, b.MaxRunMs)
		}
	}
}

func allowance(s Service) string {
	if s.AllowanceSlotSeconds == 0 {
		return "none"
	}
	return fmt.Sprint(s.AllowanceSlotSeconds)
}

func bothKeys[V any](a, b map[string]V) []string {
	both := make(map[string]V, len(a)+len(b))
	for k, v := range a {
		both[k] = v
	}
	for k, v := range b {
		both[k] = v
	}
	return sortedKeys(both)
}
