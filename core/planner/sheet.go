package planner

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// Upper limits of numbers and name lengths in a sheet.
const (
	maxSlots     = 1_000_000
	maxRunMs     = 3_600_000
	maxAllowance = 1_000_000_000_000
	maxName      = 64
)

// columnsByKind lists the columns that each kind of row uses. A value in any other
// column is a problem, because it was probably entered in the wrong row.
var columnsByKind = map[string][]string{
	"budget":  {"slots"},
	"domain":  {"name"},
	"service": {"service", "slots", "allowance"},
	"request": {"service", "name", "priority", "idempotent", "maxRunMs"},
	"team":    {"name", "slots"},
}

// ParseSheet parses and validates a sheet. If the sheet has problems, it returns an
// empty configuration and a *[SheetError] that lists all of them. Failure domains
// are sorted by name, so that the order of rows has no effect.
func ParseSheet(data []byte) (Configuration, error) {
	p := &parser{
		cfg:             Configuration{Services: make(map[string]Service), Teams: make(map[string]Team)},
		definedAt:       make(map[string]int),
		nameByFoldedKey: make(map[string]string),
	}
	p.rows = readRows(data, p.report)
	if p.hasRowColumn() {
		for _, row := range p.rows {
			p.parseRow(row)
		}
		p.validateAcrossRows()
	}
	if len(p.problems) > 0 {
		sort.SliceStable(p.problems, func(i, j int) bool { return p.problems[i].Row < p.problems[j].Row })
		return Configuration{}, &SheetError{Problems: p.problems}
	}
	sort.Strings(p.cfg.FailureDomains)
	return p.cfg, nil
}

// parser collects the configuration and the problems of a sheet. definedAt holds
// the row number of each definition; its keys have the form kind/name.
// nameByFoldedKey is keyed by kind and lower-case name and holds the name as it
// was defined.
type parser struct {
	rows            []sheetRow
	cfg             Configuration
	definedAt       map[string]int
	nameByFoldedKey map[string]string
	problems        []Problem
}

func (p *parser) report(row int, column, format string, args ...any) {
	p.problems = append(p.problems, Problem{Row: row, Column: column, Message: fmt.Sprintf(format, args...)})
}

// hasRowColumn reports whether the rows can be parsed: the first row has a cell
// in the column "row", or there are neither rows nor problems. Without that
// column, every row would only add a problem to those of the header.
func (p *parser) hasRowColumn() bool {
	if len(p.rows) == 0 {
		return len(p.problems) == 0
	}
	_, ok := p.rows[0].cells["row"]
	return ok
}

// parseRow adds the item that a row defines to the configuration.
func (p *parser) parseRow(row sheetRow) {
	kind := strings.ToLower(row.cells["row"])
	allowed, ok := columnsByKind[kind]
	if !ok {
		p.report(row.number, "row", "%s is not a kind of row; allowed: budget, domain, service, request, team", quoteCell(row.cells["row"]))
		return
	}
	p.checkUnusedColumns(row, kind, allowed)
	switch kind {
	case "budget":
		p.cfg.BudgetSlots = int(p.parseNumber(row, "slots", maxSlots))
		p.define(row, "slots", "budget", "")
	case "domain":
		name := p.parseName(row, "name")
		if p.define(row, "name", "domain", name) {
			p.cfg.FailureDomains = append(p.cfg.FailureDomains, name)
		}
	case "service":
		p.parseService(row)
	case "request":
		p.parseRequest(row)
	case "team":
		name := p.parseName(row, "name")
		team := Team{Slots: int(p.parseNumber(row, "slots", maxSlots))}
		if p.define(row, "name", "team", name) {
			p.cfg.Teams[name] = team
		}
	}
}

func (p *parser) parseService(row sheetRow) {
	name := p.parseName(row, "service")
	s := Service{Slots: int(p.parseNumber(row, "slots", maxSlots)), RequestTypes: make(map[string]RequestType)}
	if row.cells["allowance"] != "" {
		s.AllowanceSlotSeconds = p.parseNumber(row, "allowance", maxAllowance)
	}
	if !p.define(row, "service", "service", name) {
		return
	}
	// Keep the request types of request rows that precede the service row.
	s.RequestTypes = p.ensureService(name).RequestTypes
	p.cfg.Services[name] = s
}

func (p *parser) parseRequest(row sheetRow) {
	service, name := p.parseName(row, "service"), p.parseName(row, "name")
	r := RequestType{
		Priority:   messenger.Priority(p.parseOneOf(row, "priority", string(messenger.Urgent), string(messenger.Bulk))),
		Idempotent: p.parseOneOf(row, "idempotent", "yes", "no") == "yes",
		MaxRunMs:   p.parseNumber(row, "maxRunMs", maxRunMs),
	}
	if service != "" && p.define(row, "name", "request of "+service, name) {
		p.ensureService(service).RequestTypes[name] = r
	}
}

// ensureService returns the service and creates it if it does not exist.
func (p *parser) ensureService(name string) Service {
	s, ok := p.cfg.Services[name]
	if !ok {
		s = Service{RequestTypes: make(map[string]RequestType)}
		p.cfg.Services[name] = s
	}
	return s
}

// define registers the definition of an item and reports whether it is the first
// one. It ignores invalid names, which parseName returns as empty.
func (p *parser) define(row sheetRow, column, kind, name string) bool {
	if name == "" && kind != "budget" {
		return false
	}
	key := kind + "/" + name
	if first, ok := p.definedAt[key]; ok {
		item := strings.TrimSpace(kind + " " + name)
		if service, ok := strings.CutPrefix(kind, "request of "); ok {
			item = fmt.Sprintf("request %q of service %q", name, service)
		}
		p.report(row.number, column, "the %s is already defined in row %d", item, first)
		return false
	}
	foldedKey := kind + "/" + strings.ToLower(name)
	if other, ok := p.nameByFoldedKey[foldedKey]; ok {
		p.report(row.number, column, "%q differs from %q in row %d only in case", name, other, p.definedAt[kind+"/"+other])
	}
	p.definedAt[key] = row.number
	p.nameByFoldedKey[foldedKey] = name
	return true
}

// checkUnusedColumns rejects values in columns that this kind of row does not use.
// It skips the first column, "row", which every row uses for its kind.
func (p *parser) checkUnusedColumns(row sheetRow, kind string, allowed []string) {
	for _, c := range columns[1:] {
		if row.cells[c] != "" && !contains(allowed, c) {
			p.report(row.number, c, "the column must be empty in a %s row, but holds %q", kind, row.cells[c])
		}
	}
}

// parseName returns the name in a column, or an empty string if it is not valid.
func (p *parser) parseName(row sheetRow, column string) string {
	name := row.cells[column]
	bad := strings.ContainsFunc(name, func(r rune) bool {
		return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_", r)
	})
	if name == "" || len(name) > maxName || bad {
		p.report(row.number, column, "%s is not a valid name; allowed: 1 to %d characters from A-Z, a-z, 0-9, dot, dash and underscore", quoteCell(name), maxName)
		return ""
	}
	return name
}

// parseNumber returns the number in a column, or 0 if it is not valid.
func (p *parser) parseNumber(row sheetRow, column string, maximum int64) int64 {
	cell := row.cells[column]
	n, err := strconv.ParseInt(cell, 10, 64)
	digits := !strings.ContainsFunc(cell, func(r rune) bool { return r < '0' || r > '9' })
	if err != nil || !digits || n < 1 || n > maximum {
		p.report(row.number, column, "%s is not allowed; allowed: a whole number from 1 to %d, digits only", quoteCell(cell), maximum)
		return 0
	}
	return n
}

// parseOneOf returns the value in a column in lower case, or an empty string if it
// is not one of the allowed values.
func (p *parser) parseOneOf(row sheetRow, column string, allowed ...string) string {
	cell := strings.ToLower(row.cells[column])
	if contains(allowed, cell) {
		return cell
	}
	p.report(row.number, column, "%s is not allowed; allowed: %s", quoteCell(row.cells[column]), strings.Join(allowed, ", "))
	return ""
}

// quoteCell formats a cell for a message and truncates long ones.
func quoteCell(cell string) string {
	if cell == "" {
		return "an empty cell"
	}
	const maxBytes = 80
	if len(cell) > maxBytes {
		return strconv.Quote(cell[:maxBytes]) + "..."
	}
	return strconv.Quote(cell)
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}
