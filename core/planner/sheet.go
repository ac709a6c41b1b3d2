package planner

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Limits of the sheet's numbers.
const (
	maxSlots     = 1_000_000
	maxRunMs     = 3_600_000
	maxAllowance = 1_000_000_000_000
	maxName      = 64
)

// used names the columns that each kind of row uses. A value in any other
// column is a fault: it is usually in the wrong row.
var used = map[string][]string{
	"budget":  {"slots"},
	"domain":  {"name"},
	"service": {"service", "slots", "allowance"},
	"request": {"service", "name", "priority", "idempotent", "maxRunMs"},
	"team":    {"name", "slots"},
}

// ParseSheet reads a sheet and checks it as a whole. The error is a
// *[SheetError] that lists every fault; the configuration is then empty.
// Failure domains are sorted by name, so that the order of rows has no effect.
func ParseSheet(data []byte) (Configuration, error) {
	p := &parser{
		cfg:  Configuration{Services: make(map[string]Service), Teams: make(map[string]Team)},
		rows: make(map[string]int),
		fold: make(map[string]string),
	}
	p.lines = readLines(data, p.fault)
	if p.hasRowColumn() {
		for _, l := range p.lines {
			p.readRow(l)
		}
		p.checkWhole()
	}
	if len(p.faults) > 0 {
		sort.SliceStable(p.faults, func(i, j int) bool { return p.faults[i].Row < p.faults[j].Row })
		return Configuration{}, &SheetError{Faults: p.faults}
	}
	sort.Strings(p.cfg.FailureDomains)
	return p.cfg, nil
}

// parser collects the configuration and the faults of a sheet. rows has the row
// in which each thing was defined, and fold the name by its lower case.
type parser struct {
	lines  []line
	cfg    Configuration
	rows   map[string]int
	fold   map[string]string
	faults []Fault
}

func (p *parser) fault(row int, column, format string, args ...any) {
	p.faults = append(p.faults, Fault{Row: row, Column: column, Message: fmt.Sprintf(format, args...)})
}

// hasRowColumn reports whether the rows can be told apart. If not, the faults of
// the header say all there is to say.
func (p *parser) hasRowColumn() bool {
	if len(p.lines) == 0 {
		return len(p.faults) == 0
	}
	_, ok := p.lines[0].cells["row"]
	return ok
}

func (p *parser) readRow(l line) {
	kind := strings.ToLower(l.cells["row"])
	uses, ok := used[kind]
	if !ok {
		p.fault(l.row, "row", "%s is no kind of row; allowed: budget, domain, service, request, team", show(l.cells["row"]))
		return
	}
	p.checkUnused(l, kind, uses)
	switch kind {
	case "budget":
		p.cfg.BudgetSlots = int(p.number(l, "slots", maxSlots))
		p.define(l, "slots", "budget", "")
	case "domain":
		name := p.name(l, "name")
		if p.define(l, "name", "domain", name) {
			p.cfg.FailureDomains = append(p.cfg.FailureDomains, name)
		}
	case "service":
		p.readService(l)
	case "request":
		p.readRequest(l)
	case "team":
		name := p.name(l, "name")
		team := Team{Slots: int(p.number(l, "slots", maxSlots))}
		if p.define(l, "name", "team", name) {
			p.cfg.Teams[name] = team
		}
	}
}

func (p *parser) readService(l line) {
	name := p.name(l, "service")
	s := Service{Slots: int(p.number(l, "slots", maxSlots)), RequestTypes: make(map[string]RequestType)}
	if l.cells["allowance"] != "" {
		s.AllowanceSlotSeconds = p.number(l, "allowance", maxAllowance)
	}
	if !p.define(l, "service", "service", name) {
		return
	}
	// A request row may have come before.
	s.RequestTypes = p.service(name).RequestTypes
	p.cfg.Services[name] = s
}

func (p *parser) readRequest(l line) {
	service, name := p.name(l, "service"), p.name(l, "name")
	r := RequestType{
		Priority:   messenger.Priority(p.oneOf(l, "priority", string(messenger.Urgent), string(messenger.Bulk))),
		Idempotent: p.oneOf(l, "idempotent", "yes", "no") == "yes",
		MaxRunMs:   p.number(l, "maxRunMs", maxRunMs),
	}
	if service != "" && p.define(l, "name", "request of "+service, name) {
		p.service(service).RequestTypes[name] = r
	}
}

// service returns the service, which is made if no row has named it before.
func (p *parser) service(name string) Service {
	s, ok := p.cfg.Services[name]
	if !ok {
		s = Service{RequestTypes: make(map[string]RequestType)}
		p.cfg.Services[name] = s
	}
	return s
}

// define notes that the row defines something, and reports whether it is the
// first one to do so. A name that could not be read is not defined.
func (p *parser) define(l line, column, what, name string) bool {
	if name == "" && what != "budget" {
		return false
	}
	key := what + "/" + name
	if first, ok := p.rows[key]; ok {
		p.fault(l.row, column, "the %s is defined already in row %d", strings.TrimSpace(what+" "+name), first)
		return false
	}
	folded := what + "/" + strings.ToLower(name)
	if other, ok := p.fold[folded]; ok {
		p.fault(l.row, column, "%q differs from %q in row %d only by capital letters", name, other, p.rows[what+"/"+other])
	}
	p.rows[key] = l.row
	p.fold[folded] = name
	return true
}

func (p *parser) checkUnused(l line, kind string, uses []string) {
	for _, c := range columns[1:] {
		if l.cells[c] != "" && !contains(uses, c) {
			p.fault(l.row, c, "a %s row must leave this column empty; it holds %q", kind, l.cells[c])
		}
	}
}

func (p *parser) name(l line, column string) string {
	name := l.cells[column]
	bad := strings.ContainsFunc(name, func(r rune) bool {
		return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_", r)
	})
	if name == "" || len(name) > maxName || bad {
		p.fault(l.row, column, "%s is no name; allowed: 1 to %d letters a to z, digits, dots, dashes or underscores", show(name), maxName)
		return ""
	}
	return name
}

func (p *parser) number(l line, column string, high int64) int64 {
	text := l.cells[column]
	n, err := strconv.ParseInt(text, 10, 64)
	digits := !strings.ContainsFunc(text, func(r rune) bool { return r < '0' || r > '9' })
	if err != nil || !digits || n < 1 || n > high {
		p.fault(l.row, column, "%s is not allowed; allowed: a whole number from 1 to %d, digits only", show(text), high)
		return 0
	}
	return n
}

func (p *parser) oneOf(l line, column string, allowed ...string) string {
	text := strings.ToLower(l.cells[column])
	if contains(allowed, text) {
		return text
	}
	p.fault(l.row, column, "%s is not allowed; allowed: %s", show(l.cells[column]), strings.Join(allowed, ", "))
	return ""
}

// show quotes a cell for a message.
func show(cell string) string {
	if cell == "" {
		return "an empty cell"
	}
	const longest = 80
	if len(cell) > longest {
		return strconv.Quote(cell[:longest]) + "..."
	}
	return strconv.Quote(cell)
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}
