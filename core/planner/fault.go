package planner

import (
	"fmt"
	"strings"
)

// maxPrintedFaults limits the faults in an error message, because a file that is
// not a sheet has a fault in every row.
const maxPrintedFaults = 100

// Fault is one validation error of a sheet. Row is the number of the row in the
// file, starting at 1, or 0 if the fault concerns the whole sheet. Column is the
// name of the column, or empty if the fault concerns the whole row.
type Fault struct {
	Row     int
	Column  string
	Message string
}

// String returns the location and the message.
func (f Fault) String() string {
	switch {
	case f.Row == 0:
		return "sheet: " + f.Message
	case f.Column == "":
		return fmt.Sprintf("row %d: %s", f.Row, f.Message)
	}
	return fmt.Sprintf("row %d, column %s: %s", f.Row, f.Column, f.Message)
}

// SheetError lists all faults of a sheet, ordered by row.
type SheetError struct {
	Faults []Fault
}

// Error returns the faults, one per line. It omits those after the first
// maxPrintedFaults.
func (e *SheetError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the sheet has %d faults:", len(e.Faults))
	if len(e.Faults) == 1 {
		b.Reset()
		b.WriteString("the sheet has 1 fault:")
	}
	for i, f := range e.Faults {
		if i == maxPrintedFaults {
			fmt.Fprintf(&b, "\n  and %d more", len(e.Faults)-i)
			break
		}
		b.WriteString("\n  " + f.String())
	}
	return b.String()
}
