package planner

import (
	"sort"
	"strings"
)

// validateAcrossRows applies the rules that involve more than one row.
func (p *parser) validateAcrossRows() {
	budgetRow, hasBudget := p.definedAt["budget/"]
	if !hasBudget {
		p.report(0, "", "there is no budget row")
	}
	for kind, missing := range map[string]bool{
		"domain":  len(p.cfg.FailureDomains) == 0,
		"service": !p.hasRows("service"),
		"team":    len(p.cfg.Teams) == 0,
	} {
		if missing {
			p.report(0, "", "there is no %s row", kind)
		}
	}
	sum := 0
	for _, name := range sortedKeys(p.cfg.Services) {
		p.checkService(name)
		sum += p.cfg.Services[name].Slots
	}
	if hasBudget && p.cfg.BudgetSlots > 0 && sum > p.cfg.BudgetSlots {
		p.report(budgetRow, "slots", "the services have %d slots in total, but the budget is %d", sum, p.cfg.BudgetSlots)
	}
	for _, name := range sortedKeys(p.cfg.Teams) {
		p.checkTeam(name)
	}
}

// hasRows reports whether the sheet defines an item of the kind.
func (p *parser) hasRows(kind string) bool {
	for key := range p.definedAt {
		if strings.HasPrefix(key, kind+"/") {
			return true
		}
	}
	return false
}

func (p *parser) checkService(name string) {
	s := p.cfg.Services[name]
	row, ok := p.definedAt["service/"+name]
	if !ok {
		for request := range s.RequestTypes {
			p.report(p.definedAt["request of "+name+"/"+request], "service", "there is no service row for %q", name)
		}
		return
	}
	if len(s.RequestTypes) == 0 {
		p.report(row, "service", "the service %q has no request row", name)
	}
	p.checkShares(row, s.Slots)
}

func (p *parser) checkTeam(name string) {
	t := p.cfg.Teams[name]
	row := p.definedAt["team/"+name]
	if p.cfg.BudgetSlots > 0 && t.Slots > p.cfg.BudgetSlots {
		p.report(row, "slots", "the team %q has %d slots, but the budget is %d", name, t.Slots, p.cfg.BudgetSlots)
	}
	p.checkShares(row, t.Slots)
}

// checkShares rejects a number of slots that gives some failure domain a share of
// 0, because that failure domain would refuse every request of the service or
// team.
func (p *parser) checkShares(row, slots int) {
	if n := len(p.cfg.FailureDomains); slots > 0 && slots < n {
		p.report(row, "slots", "%d slots are too few for %d failure domains; each needs at least one", slots, n)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
