package planner

import "fmt"

// Diff returns the differences between two configurations in a deterministic
// order, one element per difference. It returns none if the configurations are
// equal.
func Diff(from, to Configuration) []string {
	var diff differ
	diff.compare("budget", "slots", from.BudgetSlots, to.BudgetSlots)
	diff.compareDomains(from.FailureDomains, to.FailureDomains)
	for _, name := range unionKeys(from.Services, to.Services) {
		a, inFrom := from.Services[name]
		b, inTo := to.Services[name]
		diff.compareService("service "+name, a, b, inFrom, inTo)
	}
	for _, name := range unionKeys(from.Teams, to.Teams) {
		a, inFrom := from.Teams[name]
		b, inTo := to.Teams[name]
		subject := "team " + name
		if diff.inBoth(subject, inFrom, inTo, fmt.Sprintf("slots %d", b.Slots)) {
			diff.compare(subject, "slots", a.Slots, b.Slots)
		}
	}
	return diff.lines
}

// differ collects the lines of a diff.
type differ struct {
	lines []string
}

func (d *differ) addLine(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func (d *differ) compare(subject, field string, from, to any) {
	if from != to {
		d.addLine("%s: %s %v -> %v", subject, field, from, to)
	}
}

// inBoth reports whether subject exists in both configurations. If it exists in
// only one of them, inBoth adds a line.
func (d *differ) inBoth(subject string, inFrom, inTo bool, content string) bool {
	switch {
	case inFrom && inTo:
		return true
	case inTo:
		d.addLine("%s: added (%s)", subject, content)
	default:
		d.addLine("%s: removed", subject)
	}
	return false
}

// compareDomains adds a line for each failure domain that only one list contains.
func (d *differ) compareDomains(from, to []string) {
	inFrom, inTo := make(map[string]bool), make(map[string]bool)
	for _, name := range from {
		inFrom[name] = true
	}
	for _, name := range to {
		inTo[name] = true
	}
	for _, name := range unionKeys(inFrom, inTo) {
		switch {
		case !inFrom[name]:
			d.addLine("domain %s: added", name)
		case !inTo[name]:
			d.addLine("domain %s: removed", name)
		}
	}
}

func (d *differ) compareService(subject string, from, to Service, inFrom, inTo bool) {
	if d.inBoth(subject, inFrom, inTo, fmt.Sprintf("slots %d, allowance %s", to.Slots, allowance(to))) {
		d.compare(subject, "slots", from.Slots, to.Slots)
		d.compare(subject, "allowance", allowance(from), allowance(to))
	}
	for _, name := range unionKeys(from.RequestTypes, to.RequestTypes) {
		a, inFrom := from.RequestTypes[name]
		b, inTo := to.RequestTypes[name]
		request := subject + ", request " + name
		content := fmt.Sprintf("priority %s, idempotent %s, maxRunMs %d", b.Priority, yesNo(b.Idempotent), b.MaxRunMs)
		if d.inBoth(request, inFrom, inTo, content) {
			d.compare(request, "priority", a.Priority, b.Priority)
			d.compare(request, "idempotent", yesNo(a.Idempotent), yesNo(b.Idempotent))
			d.compare(request, "maxRunMs", a.MaxRunMs, b.MaxRunMs)
		}
	}
}

func allowance(s Service) string {
	if s.AllowanceSlotSeconds == 0 {
		return "none"
	}
	return fmt.Sprint(s.AllowanceSlotSeconds)
}

// unionKeys returns the keys that occur in a or b, sorted.
func unionKeys[V any](a, b map[string]V) []string {
	both := make(map[string]V, len(a)+len(b))
	for k, v := range a {
		both[k] = v
	}
	for k, v := range b {
		both[k] = v
	}
	return sortedKeys(both)
}
