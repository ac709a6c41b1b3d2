package planner

import (
	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// maxValue limits slots and run times, so that their sums cannot overflow.
const maxValue = 1_000_000_000

// Validate returns an error if c has no failure domain, an empty name, a duplicate
// failure domain, a number out of range or an unknown priority.
//
// Readers of the configuration log skip records with an invalid configuration.
// The rules are part of the protocol and must not change between releases:
// readers with different rules would assign different version numbers. The rules
// of [ParseSheet], which apply to operators, are stricter.
func (c Configuration) Validate() error {
	if len(c.FailureDomains) == 0 {
		return errors.New("configuration has no failure domain")
	}
	seen := make(map[string]bool, len(c.FailureDomains))
	for _, d := range c.FailureDomains {
		if d == "" || seen[d] {
			return errors.Newf("failure domain %q is empty or duplicated", d)
		}
		seen[d] = true
	}
	if !inRange(int64(c.BudgetSlots)) {
		return errors.Newf("budgetSlots %d is out of range", c.BudgetSlots)
	}
	for name, s := range c.Services {
		if err := s.validate(); err != nil || name == "" {
			if err == nil {
				return errors.New("a service has an empty name")
			}
			return errors.Newf("service %q: %v", name, err)
		}
	}
	for name, t := range c.Teams {
		if name == "" || !inRange(int64(t.Slots)) {
			return errors.Newf("team %q: the name is empty or slots %d is out of range", name, t.Slots)
		}
	}
	return nil
}

func (s Service) validate() error {
	if !inRange(int64(s.Slots)) {
		return errors.Newf("slots %d is out of range", s.Slots)
	}
	if s.AllowanceSlotSeconds < 0 || s.AllowanceSlotSeconds > maxAllowance {
		return errors.Newf("allowanceSlotSeconds %d is out of range, want 0 to %d", s.AllowanceSlotSeconds, maxAllowance)
	}
	for name, r := range s.RequestTypes {
		if r.Priority != messenger.Urgent && r.Priority != messenger.Bulk {
			return errors.Newf("request type %q: unknown priority %q", name, r.Priority)
		}
		if name == "" || !inRange(r.MaxRunMs) {
			return errors.Newf("request type %q: the name is empty or maxRunMs %d is out of range", name, r.MaxRunMs)
		}
	}
	return nil
}

func inRange(n int64) bool { return n >= 0 && n <= maxValue }
