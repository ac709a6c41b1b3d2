package comparer

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/driver"
	"github.com/godwitrelay/godwitrelay/load/meter"
)

// SummaryFile is the name of the summary file in the result directory.
const SummaryFile = "summary.json"

// FigureSummary summarizes one figure over the rounds of a variant under a
// condition.
type FigureSummary struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	Rounds int     `json:"rounds"`
}

// Row summarizes the figures of one variant under one condition.
type Row struct {
	Condition string                   `json:"condition"`
	Variant   string                   `json:"variant"`
	Label     string                   `json:"label,omitempty"`
	Seeds     []uint64                 `json:"seeds"`
	Figures   map[string]FigureSummary `json:"figures"`
}

// Summary holds the rows in the order of the conditions and variants in the
// benchmark file.
type Summary struct {
	Rows []Row `json:"rows"`
}

// Summarize reads the result files of the benchmark and writes the summary to
// the same directory. Runs without a result file are skipped;
// FigureSummary.Rounds is the number of runs included.
func Summarize(b Bench) (Summary, error) {
	var s Summary
	for _, c := range b.Conditions {
		for _, v := range b.Variants {
			row, err := summarizeRow(b, c, v)
			if err != nil {
				return s, err
			}
			if len(row.Seeds) > 0 {
				s.Rows = append(s.Rows, row)
			}
		}
	}
	if len(s.Rows) == 0 {
		return s, errors.Newf("directory %s contains no results of this benchmark", b.Out)
	}
	return s, writeJSON(filepath.Join(b.Out, SummaryFile), s)
}

func summarizeRow(b Bench, c Condition, v Variant) (Row, error) {
	row := Row{Condition: c.Name, Variant: v.Name, Figures: map[string]FigureSummary{}}
	values := map[string][]float64{}
	for round := range int(b.Rounds) {
		data, err := os.ReadFile(filepath.Join(b.Out, resultFileName(c, v, round)))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		var r Result
		if err == nil {
			err = json.Unmarshal(data, &r)
		}
		if err != nil {
			return row, errors.Wrapf(err, "reading %s", resultFileName(c, v, round))
		}
		row.Label = r.Label
		row.Seeds = append(row.Seeds, r.Seed)
		for name, x := range Figures(r.Report) {
			values[name] = append(values[name], x)
		}
	}
	for name, list := range values {
		row.Figures[name] = FigureSummary{
			Median: driver.Median(list), Min: slices.Min(list), Max: slices.Max(list), Rounds: len(list),
		}
	}
	return row, nil
}

// Figures returns the figures of a run that are compared, by name. Names of
// figures of one priority are prefixed with it.
func Figures(r driver.RunReport) map[string]float64 {
	f := r.Figures
	out := map[string]float64{
		"tasksOverCapacity":   f.TasksOverCapacity,
		"workOverCapacity":    f.WorkOverCapacity,
		"offeredOverCapacity": f.OfferedOverCapacity,
		"violations":          float64(f.Violations),
		"pathMs":              f.NetworkRoundTripMs,
		"lateMs.p99":          f.SendDelayMs.P99,
	}
	if messages := r.Messages; messages != nil {
		out["messagesPerTask"], out["wastedPerTask"] = messages.MessagesPerTask, messages.WastedPerTask
	}
	for p, figures := range f.Priorities {
		addPriorityFigures(out, string(p), figures)
	}
	return out
}

func addPriorityFigures(out map[string]float64, name string, figures meter.PriorityFigures) {
	percent := func(n int64) float64 { return 100 * float64(n) / float64(max(1, figures.Jobs)) }
	sumCounts := func(kinds map[messenger.ErrorKind]int64) (n int64) {
		for _, k := range kinds {
			n += k
		}
		return n
	}
	for figure, quantiles := range map[string]meter.Quantiles{"overIdeal": figures.OverIdeal, "addedMs": figures.AddedMs} {
		out[name+"."+figure+".p50"] = quantiles.P50
		out[name+"."+figure+".p99"] = quantiles.P99
		out[name+"."+figure+".p999"] = quantiles.P999
		out[name+"."+figure+".max"] = quantiles.Max
	}
	out[name+".completePercent"] = percent(figures.Complete)
	out[name+".refusedPercent"] = percent(sumCounts(figures.Refused))
	out[name+".failedPercent"] = percent(sumCounts(figures.Failed))
	out[name+".unansweredPercent"] = percent(sumCounts(figures.Unanswered))
}

// ReadSummary reads a summary file.
func ReadSummary(path string) (Summary, error) {
	var s Summary
	data, err := os.ReadFile(path)
	if err != nil {
		return s, errors.Wrap(err, "reading the summary")
	}
	return s, errors.Wrapf(json.Unmarshal(data, &s), "reading %s", path)
}
