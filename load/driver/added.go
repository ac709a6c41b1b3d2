package driver

import (
	"slices"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/meter"
)

// Added is the time that entries add over direct calls, per priority: the
// difference of each quantile of the added time, as the median over rounds.
type Added struct {
	Rounds int                                       `json:"rounds"`
	Ms     map[messenger.Priority]meter.Quantiles    `json:"ms"`
	Each   map[messenger.Priority][]meter.Quantiles  `json:"each"`
	Ratio  map[messenger.Priority]map[string]float64 `json:"overIdealRatio"`
}

// added compares the runs of both modes round by round. It returns nil if a
// mode is missing.
func added(runs []Report) *Added {
	direct := map[int]meter.Figures{}
	for _, r := range runs {
		if r.Mode == Direct {
			direct[r.Round] = r.Figures
		}
	}
	a := &Added{
		Ms:    map[messenger.Priority]meter.Quantiles{},
		Each:  map[messenger.Priority][]meter.Quantiles{},
		Ratio: map[messenger.Priority]map[string]float64{},
	}
	ratios := map[messenger.Priority][]meter.Quantiles{}
	for _, r := range runs {
		reference, ok := direct[r.Round]
		if r.Mode != Entries || !ok {
			continue
		}
		a.Rounds++
		for p, c := range r.Figures.Priorities {
			base := reference.Priorities[p]
			a.Each[p] = append(a.Each[p], combine(c.AddedMs, base.AddedMs, func(x, y float64) float64 { return x - y }))
			ratios[p] = append(ratios[p], combine(c.OverIdeal, base.OverIdeal, func(x, y float64) float64 {
				if y == 0 {
					return 0
				}
				return x / y
			}))
		}
	}
	if a.Rounds == 0 {
		return nil
	}
	for p, each := range a.Each {
		a.Ms[p] = medians(each)
		m := medians(ratios[p])
		a.Ratio[p] = map[string]float64{"p50": m.P50, "p99": m.P99}
	}
	return a
}

func combine(x, y meter.Quantiles, f func(x, y float64) float64) meter.Quantiles {
	return meter.Quantiles{P50: f(x.P50, y.P50), P99: f(x.P99, y.P99), P999: f(x.P999, y.P999), Max: f(x.Max, y.Max)}
}

func medians(list []meter.Quantiles) meter.Quantiles {
	pick := func(get func(meter.Quantiles) float64) float64 {
		values := make([]float64, len(list))
		for i, q := range list {
			values[i] = get(q)
		}
		return Median(values)
	}
	return meter.Quantiles{
		P50:  pick(func(q meter.Quantiles) float64 { return q.P50 }),
		P99:  pick(func(q meter.Quantiles) float64 { return q.P99 }),
		P999: pick(func(q meter.Quantiles) float64 { return q.P999 }),
		Max:  pick(func(q meter.Quantiles) float64 { return q.Max }),
	}
}

// Median returns the median of a list, or 0 for an empty one.
func Median(values []float64) float64 {
	n := len(values)
	if n == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	if n%2 == 1 {
		return sorted[n/2]
	}
	return (sorted[n/2-1] + sorted[n/2]) / 2
}
