package planner

import (
	"fmt"
	"strings"
)

// maxFaults bounds the faults that are printed: a file that is no sheet has one
// in every row.
const maxFaults = 100

// Fault is one thing that is wrong with a sheet. Row is the row's number in the
// file, from 1, or 0 for the sheet as a whole. Column is the column's name, or
// empty for the row as a whole.
type Fault struct {
	Row     int
	Column  string
	Message string
}

// String returns the place and the message.
func (f Fault) String() string {
	switch {
	case f.Row == 0:
		return "sheet: " + f.Message
	case f.Column == "":
		return fmt.Sprintf("row %d: %s", f.Row, f.Message)
	}
	return fmt.Sprintf("row %d, column %s: %s", f.Row, f.Column, f.Message)
}

// SheetError lists every fault of a sheet, by row.
type SheetError struct {
	Faults []Fault
}

// Error returns the faults, one a line.
func (e *SheetError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the sheet has %d faults:", len(e.Faults))
	if len(e.Faults) == 1 {
		b.Reset()
		b.WriteString("the sheet has 1 fault:")
	}
	for i, f := range e.Faults {
		if i == maxFaults {
			fmt.Fprintf(&b, "\n  and %d more", len(e.Faults)-i)
			break
		}
		b.WriteString("\n  " + f.String())
	}
	return b.String()
}
