// Package planner turns the operators' sheet into a checked configuration,
// compares configurations, and divides capacity among failure domains.
package planner

import "github.com/godwitrelay/godwitrelay/core/messenger"

// Configuration is what an accepted sheet says. Maps are keyed by name.
// BudgetSlots is the number of slots of all services together.
type Configuration struct {
	BudgetSlots    int                `json:"budgetSlots"`
	FailureDomains []string           `json:"failureDomains"`
	Services       map[string]Service `json:"services"`
	Teams          map[string]Team    `json:"teams"`
}

// Service is a named pool of request types. Slots is the capacity it may use
// at once over all failure domains. AllowanceSlotSeconds is what it may use in
// a day, 0 for no limit.
type Service struct {
	Slots                int                    `json:"slots"`
	AllowanceSlotSeconds int64                  `json:"allowanceSlotSeconds,omitempty"`
	RequestTypes         map[string]RequestType `json:"requestTypes"`
}

// RequestType says how requests of one type are treated. MaxRunMs bounds the
// run time of one task.
type RequestType struct {
	Priority   messenger.Priority `json:"priority"`
	Idempotent bool               `json:"idempotent"`
	MaxRunMs   int64              `json:"maxRunMs"`
}

// Team has a quota: the slots that its tasks may use at once over all failure
// domains.
type Team struct {
	Slots int `json:"slots"`
}

// Share returns the part of total that belongs to the failure domain: total
// divided by the number of failure domains, the remainder going to the first
// ones of the list, one each. It is 0 for a domain that is not listed.
func (c Configuration) Share(total int, domain string) int {
	n := len(c.FailureDomains)
	for i, d := range c.FailureDomains {
		if d != domain {
			continue
		}
		share := total / n
		if i < total%n {
			share++
		}
		return share
	}
	return 0
}
