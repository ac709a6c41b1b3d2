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

// SummaryFile is the name of the summary in the folder of the results.
const SummaryFile = "summary.json"

// Spread is one figure over the rounds of a variant under a condition.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
	Rounds int     `json:"rounds"`
}

// Row is the summary of one variant under one condition, by figure.
type Row struct {
	Condition string            `json:"condition"`
	Variant   string            `json:"variant"`
	Label     string            `json:"label,omitempty"`
	Seeds     []uint64          `json:"seeds"`
	Figures   map[string]Spread `json:"figures"`
}

// Summary holds the rows in the order of the bench file.
type Summary struct {
	Rows []Row `json:"rows"`
}

// Summarize reads the result files of the bench and writes the summary next to
// them. Runs without a file are left out, as Spread.Rounds shows.
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
		return s, errors.Newf("folder %s has no results of this bench", b.Out)
	}
	return s, write(filepath.Join(b.Out, SummaryFile), s)
}

func summarizeRow(b Bench, c Condition, v Variant) (Row, error) {
	row := Row{Condition: c.Name, Variant: v.Name, Figures: map[string]Spread{}}
	values := map[string][]float64{}
	for round := range int(b.Rounds) {
		data, err := os.ReadFile(filepath.Join(b.Out, fileName(c, v, round)))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		var r Result
		if err == nil {
			err = json.Unmarshal(data, &r)
		}
		if err != nil {
			return row, errors.Wrapf(err, "reading %s", fileName(c, v, round))
		}
		row.Label = r.Label
		row.Seeds = append(row.Seeds, r.Seed)
		for name, x := range Figures(r.Report) {
			values[name] = append(values[name], x)
		}
	}
	for name, list := range values {
		row.Figures[name] = Spread{
			Median: driver.Median(list), Min: slices.Min(list), Max: slices.Max(list), Rounds: len(list),
		}
	}
	return row, nil
}

// Figures returns the figures of a run that are compared, by name. Figures of
// a priority start with its name.
func Figures(r driver.Report) map[string]float64 {
	f := r.Figures
	out := map[string]float64{
		"tasksOverCapacity":   f.TasksOverCapacity,
		"workOverCapacity":    f.WorkOverCapacity,
		"offeredOverCapacity": f.OfferedOverCap,
		"violations":          float64(f.Violations),
		"pathMs":              f.PathMs,
		"lateMs.p99":          f.LateMs.P99,
	}
	if m := r.Messages; m != nil {
		out["messagesPerTask"], out["wastedPerTask"] = m.MessagesPerTask, m.WastedPerTask
	}
	for p, c := range f.Priorities {
		addClass(out, string(p), c)
	}
	return out
}

func addClass(out map[string]float64, name string, c meter.Class) {
	percent := func(n int64) float64 { return 100 * float64(n) / float64(max(1, c.Jobs)) }
	sum := func(kinds map[messenger.Kind]int64) (n int64) {
		for _, k := range kinds {
			n += k
		}
		return n
	}
	for part, q := range map[string]meter.Quantiles{"overIdeal": c.OverIdeal, "addedMs": c.AddedMs} {
		out[name+"."+part+".p50"] = q.P50
		out[name+"."+part+".p99"] = q.P99
		out[name+"."+part+".p999"] = q.P999
		out[name+"."+part+".max"] = q.Max
	}
	out[name+".completePercent"] = percent(c.Complete)
	out[name+".refusedPercent"] = percent(sum(c.Refused))
	out[name+".failedPercent"] = percent(sum(c.Failed))
	out[name+".unansweredPercent"] = percent(sum(c.Unanswered))
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
