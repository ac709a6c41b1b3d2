package planner

import (
	"sort"
	"strings"
)

// checkWhole checks what concerns several rows.
func (p *parser) checkWhole() {
	budgetRow, hasBudget := p.rows["budget/"]
	if !hasBudget {
		p.fault(0, "", "there is no budget row")
	}
	for kind, missing := range map[string]bool{
		"domain":  len(p.cfg.FailureDomains) == 0,
		"service": !p.defines("service"),
		"team":    len(p.cfg.Teams) == 0,
	} {
		if missing {
			p.fault(0, "", "there is no %s row", kind)
		}
	}
	sum := 0
	for _, name := range sortedKeys(p.cfg.Services) {
		p.checkService(name)
		sum += p.cfg.Services[name].Slots
	}
	if hasBudget && p.cfg.BudgetSlots > 0 && sum > p.cfg.BudgetSlots {
		p.fault(budgetRow, "slots", "the services have %d slots together, the budget %d", sum, p.cfg.BudgetSlots)
	}
	for _, name := range sortedKeys(p.cfg.Teams) {
		p.checkTeam(name)
	}
}

func (p *parser) defines(kind string) bool {
	for key := range p.rows {
		if strings.HasPrefix(key, kind+"/") {
			return true
		}
	}
	return false
}

func (p *parser) checkService(name string) {
	s := p.cfg.Services[name]
	row, ok := p.rows["service/"+name]
	if !ok {
		for request := range s.RequestTypes {
			p.fault(p.rows["request of "+name+"/"+request], "service", "there is no service row for %q", name)
		}
		return
	}
	if len(s.RequestTypes) == 0 {
		p.fault(row, "service", "the service %q has no request row", name)
	}
	p.checkShares(row, s.Slots)
}

func (p *parser) checkTeam(name string) {
	t := p.cfg.Teams[name]
	row := p.rows["team/"+name]
	if p.cfg.BudgetSlots > 0 && t.Slots > p.cfg.BudgetSlots {
		p.fault(row, "slots", "the team %q has %d slots, the budget %d", name, t.Slots, p.cfg.BudgetSlots)
	}
	p.checkShares(row, t.Slots)
}

// checkShares refuses a figure that leaves a failure domain with a share of 0:
// every request there would be refused.
func (p *parser) checkShares(row, slots int) {
	if n := len(p.cfg.FailureDomains); slots > 0 && slots < n {
		p.fault(row, "slots", "%d slots over %d failure domains leave one with none", slots, n)
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
