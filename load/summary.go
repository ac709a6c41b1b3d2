package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/godwitrelay/godwitrelay/load/driver"
)

// printSummary writes a table for people: a row for each run and priority.
func printSummary(out io.Writer, reports driver.Reports) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "mode\tround\tpriority\tjobs\tcomplete\tfailed\trefused\tp50 over ideal\tp99 over ideal\tp99 ms\tviolations")
	for _, run := range reports.Runs {
		for _, p := range slices.Sorted(maps.Keys(run.Figures.Priorities)) {
			c := run.Figures.Priorities[p]
			fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.1f\t%d\n", run.Mode, run.Round, p,
				c.Jobs, c.Complete, total(c.Failed), total(c.Refused), c.OverIdeal.P50, c.OverIdeal.P99,
				c.ResponseMs.P99, run.Figures.Violations)
		}
	}
	_ = w.Flush()
	for _, run := range reports.Runs {
		if m := run.Messages; m != nil {
			fmt.Fprintf(out, "%s round %d: %.3f messages and %.4f wasted messages a finished task\n",
				run.Mode, run.Round, m.MessagesPerTask, m.WastedPerTask)
		}
	}
}

func total[K comparable](counts map[K]int64) int64 {
	var n int64
	for _, c := range counts {
		n += c
	}
	return n
}
