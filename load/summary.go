package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/godwitrelay/godwitrelay/load/driver"
)

// printSummary writes a plain-text table with one row per run and priority,
// followed by the message counts.
func printSummary(out io.Writer, reports driver.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "mode\tround\tpriority\tjobs\tcomplete\tfailed\trefused\tp50 over ideal\tp99 over ideal\tp99 ms\tviolations")
	for _, run := range reports.Runs {
		for _, p := range slices.Sorted(maps.Keys(run.Figures.Priorities)) {
			figures := run.Figures.Priorities[p]
			fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.1f\t%d\n", run.Mode, run.Round, p,
				figures.Jobs, figures.Complete, sumCounts(figures.Failed), sumCounts(figures.Refused), figures.OverIdeal.P50, figures.OverIdeal.P99,
				figures.ResponseMs.P99, run.Figures.Violations)
		}
	}
	_ = w.Flush()
	for _, run := range reports.Runs {
		if m := run.Messages; m != nil {
			fmt.Fprintf(out, "%s round %d: %.3f messages and %.4f wasted messages per finished task\n",
				run.Mode, run.Round, m.MessagesPerTask, m.WastedPerTask)
		}
	}
}

func sumCounts[K comparable](counts map[K]int64) int64 {
	var n int64
	for _, c := range counts {
		n += c
	}
	return n
}
