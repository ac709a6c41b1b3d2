package planner

import (
	"fmt"
	"strings"
)

// maxPrintedProblems limits the problems in an error message, because a file that
// is not a sheet has a problem in every row.
const maxPrintedProblems = 100

// Problem is one validation error of a sheet. Row is the number of the line in
// the file, starting at 1, or 0 if the problem concerns the whole sheet. Column
// is the name of the column, its number starting at 1 if the header of the column
// is missing or duplicated, or empty if the problem is not assigned to a column.
type Problem struct {
	Row     int
	Column  string
	Message string
}

// String returns the location and the message.
func (p Problem) String() string {
	switch {
	case p.Row == 0:
		return "sheet: " + p.Message
	case p.Column == "":
		return fmt.Sprintf("row %d: %s", p.Row, p.Message)
	}
	return fmt.Sprintf("row %d, column %s: %s", p.Row, p.Column, p.Message)
}

// SheetError lists all problems of a sheet, ordered by row.
type SheetError struct {
	Problems []Problem
}

// Error returns the problems, one per line. It omits those after the first
// maxPrintedProblems. The text calls them faults, like that of package loader.
func (e *SheetError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the sheet has %d faults:", len(e.Problems))
	if len(e.Problems) == 1 {
		b.Reset()
		b.WriteString("the sheet has 1 fault:")
	}
	for i, p := range e.Problems {
		if i == maxPrintedProblems {
			fmt.Fprintf(&b, "\n  and %d more", len(e.Problems)-i)
			break
		}
		b.WriteString("\n  " + p.String())
	}
	return b.String()
}
