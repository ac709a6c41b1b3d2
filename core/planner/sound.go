package planner

import (
	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// maxFigure bounds every number of a configuration, so that sums of them can't
// overflow.
const maxFigure = 1_000_000_000

// Sound returns the first structural fault of c, or nil: a missing failure
// domain, an empty name, a figure out of range or an unknown priority.
//
// Readers of the configuration log skip records that are not sound. The rule
// is part of the protocol: readers with different rules would count versions
// differently, so it must not change between releases. What operators may
// publish is checked more strictly by [ParseSheet].
func (c Configuration) Sound() error {
	if len(c.FailureDomains) == 0 {
		return errors.New("the configuration has no failure domain")
	}
	seen := make(map[string]bool, len(c.FailureDomains))
	for _, d := range c.FailureDomains {
		if d == "" || seen[d] {
			return errors.Newf("the failure domain %q is empty or listed twice", d)
		}
		seen[d] = true
	}
	if !inRange(int64(c.BudgetSlots)) {
		return errors.Newf("budgetSlots is %d", c.BudgetSlots)
	}
	for name, s := range c.Services {
		if err := s.sound(); err != nil || name == "" {
			return errors.Newf("service %q: %v", name, err)
		}
	}
	for name, t := range c.Teams {
		if name == "" || !inRange(int64(t.Slots)) {
			return errors.Newf("team %q: slots is %d", name, t.Slots)
		}
	}
	return nil
}

func (s Service) sound() error {
	if !inRange(int64(s.Slots)) {
		return errors.Newf("slots is %d", s.Slots)
	}
	if s.AllowanceSlotSeconds < 0 {
		return errors.Newf("allowanceSlotSeconds is %d", s.AllowanceSlotSeconds)
	}
	for name, r := range s.RequestTypes {
		if r.Priority != messenger.Urgent && r.Priority != messenger.Bulk {
			return errors.Newf("request type %q: priority is %q", name, r.Priority)
		}
		if name == "" || !inRange(r.MaxRunMs) {
			return errors.Newf("request type %q: maxRunMs is %d", name, r.MaxRunMs)
		}
	}
	return nil
}

func inRange(n int64) bool { return n >= 0 && n <= maxFigure }
