package driver

import (
	"slices"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/load/meter"
)

// AddedLatency is the latency that entries add compared with direct calls, by
// priority. PerRound holds, for each round, the difference of each quantile of
// AddedMs between the modes entries and direct, and MedianMs the median of these
// differences over the rounds. OverIdealRatio holds the ratio of the OverIdeal
// quantiles of the two modes, also as the median over the rounds.
type AddedLatency struct {
	Rounds         int                                       `json:"rounds"`
	MedianMs       map[messenger.Priority]meter.Quantiles    `json:"ms"`
	PerRound       map[messenger.Priority][]meter.Quantiles  `json:"each"`
	OverIdealRatio map[messenger.Priority]map[string]float64 `json:"overIdealRatio"`
}

// computeAddedLatency compares the runs of both modes round by round. It returns
// nil if no round has both modes.
func computeAddedLatency(runs []RunReport) *AddedLatency {
	direct := map[int]meter.Figures{}
	for _, r := range runs {
		if r.Mode == Direct {
			direct[r.Round] = r.Figures
		}
	}
	latency := &AddedLatency{
		MedianMs:       map[messenger.Priority]meter.Quantiles{},
		PerRound:       map[messenger.Priority][]meter.Quantiles{},
		OverIdealRatio: map[messenger.Priority]map[string]float64{},
	}
	ratios := map[messenger.Priority][]meter.Quantiles{}
	for _, r := range runs {
		reference, ok := direct[r.Round]
		if r.Mode != Entries || !ok {
			continue
		}
		latency.Rounds++
		for p, figures := range r.Figures.Priorities {
			base := reference.Priorities[p]
			latency.PerRound[p] = append(latency.PerRound[p], combineQuantiles(figures.AddedMs, base.AddedMs, func(x, y float64) float64 { return x - y }))
			ratios[p] = append(ratios[p], combineQuantiles(figures.OverIdeal, base.OverIdeal, func(x, y float64) float64 {
				if y == 0 {
					return 0
				}
				return x / y
			}))
		}
	}
	if latency.Rounds == 0 {
		return nil
	}
	for p, each := range latency.PerRound {
		latency.MedianMs[p] = medianQuantiles(each)
		m := medianQuantiles(ratios[p])
		latency.OverIdealRatio[p] = map[string]float64{"p50": m.P50, "p99": m.P99}
	}
	return latency
}

func combineQuantiles(x, y meter.Quantiles, f func(x, y float64) float64) meter.Quantiles {
	return meter.Quantiles{P50: f(x.P50, y.P50), P99: f(x.P99, y.P99), P999: f(x.P999, y.P999), Max: f(x.Max, y.Max)}
}

func medianQuantiles(list []meter.Quantiles) meter.Quantiles {
	medianOf := func(get func(meter.Quantiles) float64) float64 {
		values := make([]float64, len(list))
		for i, q := range list {
			values[i] = get(q)
		}
		return Median(values)
	}
	return meter.Quantiles{
		P50:  medianOf(func(q meter.Quantiles) float64 { return q.P50 }),
		P99:  medianOf(func(q meter.Quantiles) float64 { return q.P99 }),
		P999: medianOf(func(q meter.Quantiles) float64 { return q.P999 }),
		Max:  medianOf(func(q meter.Quantiles) float64 { return q.Max }),
	}
}

// Median returns the median of values, or 0 if there are none.
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
