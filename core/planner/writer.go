package planner

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"sort"
	"strconv"
)

// Canonical returns a deterministic encoding of c. It does not depend on the row
// order, the separator or the line endings of the sheet.
func (c Configuration) Canonical() []byte {
	c.FailureDomains = append([]string{}, c.FailureDomains...)
	sort.Strings(c.FailureDomains)
	data, err := json.Marshal(c)
	if err != nil {
		// Cannot happen: c holds only strings, numbers and booleans.
		panic(err)
	}
	return data
}

// WriteSheet encodes c as a sheet that [ParseSheet] can read.
func WriteSheet(c Configuration) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	write := func(cells map[string]string) {
		record := make([]string, len(columns))
		for i, column := range columns {
			record[i] = cells[column]
		}
		_ = w.Write(record) // writes to a bytes.Buffer do not fail
	}
	_ = w.Write(columns)
	write(map[string]string{"row": "budget", "slots": strconv.Itoa(c.BudgetSlots)})
	for _, d := range c.FailureDomains {
		write(map[string]string{"row": "domain", "name": d})
	}
	for _, name := range sortedKeys(c.Services) {
		s := c.Services[name]
		cells := map[string]string{"row": "service", "service": name, "slots": strconv.Itoa(s.Slots)}
		if s.AllowanceSlotSeconds > 0 {
			cells["allowance"] = strconv.FormatInt(s.AllowanceSlotSeconds, 10)
		}
		write(cells)
		for _, request := range sortedKeys(s.RequestTypes) {
			r := s.RequestTypes[request]
			write(map[string]string{
				"row": "request", "service": name, "name": request, "priority": string(r.Priority),
				"idempotent": yesNo(r.Idempotent), "maxRunMs": strconv.FormatInt(r.MaxRunMs, 10),
			})
		}
	}
	for _, name := range sortedKeys(c.Teams) {
		write(map[string]string{"row": "team", "name": name, "slots": strconv.Itoa(c.Teams[name].Slots)})
	}
	w.Flush()
	return b.Bytes()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
