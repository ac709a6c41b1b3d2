// Package planner converts sheets into validated configurations, compares
// configurations, and divides capacity among failure domains.
package planner

import "github.com/godwitrelay/godwitrelay/core/messenger"

// Configuration is the content of a sheet. Maps are keyed by name. BudgetSlots is
// the total number of slots for all services.
type Configuration struct {
	BudgetSlots    int                `json:"budgetSlots"`
	FailureDomains []string           `json:"failureDomains"`
	Services       map[string]Service `json:"services"`
	Teams          map[string]Team    `json:"teams"`
}

// Service is a group of request types that share capacity. Slots is the number of
// slots it may use concurrently across all failure domains. AllowanceSlotSeconds
// is its daily allowance; 0 means no limit.
type Service struct {
	Slots                int                    `json:"slots"`
	AllowanceSlotSeconds int64                  `json:"allowanceSlotSeconds,omitempty"`
	RequestTypes         map[string]RequestType `json:"requestTypes"`
}

// RequestType defines how requests of one type are scheduled and retried.
// MaxRunMs is the maximum run time of a task.
type RequestType struct {
	Priority   messenger.Priority `json:"priority"`
	Idempotent bool               `json:"idempotent"`
	MaxRunMs   int64              `json:"maxRunMs"`
}

// Team holds the quota of a team. Slots is the number of slots that its tasks may
// use concurrently across all failure domains.
type Team struct {
	Slots int `json:"slots"`
}

// Share returns the part of total that is assigned to a failure domain. total is
// divided evenly; the remainder is distributed to the first failure domains of
// the list, one each. The share of an unlisted failure domain is 0.
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
