// Package generator generates the workload of a run: the arrival time of each
// job, its number of tasks, their run times, the declared values, and the
// deadline, cancellation and resubmission. The same settings and seed always
// produce the same jobs.
package generator

import (
	"math"
	"math/rand/v2"
)

// LogNormal is a log-normal distribution of run times in milliseconds. Samples
// outside [MinMs, MaxMs] are clamped.
type LogNormal struct {
	MedianMs float64 `json:"medianMs"`
	Sigma    float64 `json:"sigma"`
	MinMs    float64 `json:"minMs"`
	MaxMs    float64 `json:"maxMs"`
}

// Sample draws one run time in milliseconds.
func (d LogNormal) Sample(r *rand.Rand) float64 {
	x := d.MedianMs * math.Exp(d.Sigma*r.NormFloat64())
	return math.Min(math.Max(x, d.MinMs), d.MaxMs)
}

// Mean returns the mean in milliseconds of the clamped distribution.
func (d LogNormal) Mean() float64 {
	mu := math.Log(d.MedianMs)
	low := (math.Log(d.MinMs) - mu) / d.Sigma
	high := (math.Log(d.MaxMs) - mu) / d.Sigma
	inside := d.MedianMs * math.Exp(d.Sigma*d.Sigma/2) * (normalCDF(high-d.Sigma) - normalCDF(low-d.Sigma))
	return d.MinMs*normalCDF(low) + inside + d.MaxMs*(1-normalCDF(high))
}

// CDF returns the probability of a run time of at most ms.
func (d LogNormal) CDF(ms float64) float64 {
	switch {
	case ms < d.MinMs:
		return 0
	case ms >= d.MaxMs:
		return 1
	default:
		return normalCDF((math.Log(ms) - math.Log(d.MedianMs)) / d.Sigma)
	}
}

func normalCDF(z float64) float64 { return 0.5 * math.Erfc(-z/math.Sqrt2) }

// SizeRange is one component of a distribution of job sizes: a uniform
// distribution of the number of tasks from Min to Max with a relative weight.
type SizeRange struct {
	Min    int     `json:"min"`
	Max    int     `json:"max"`
	Weight float64 `json:"weight"`
}

// Sizes is a distribution of the number of tasks per job. The weights need not
// add up to 1.
type Sizes []SizeRange

// Sample draws the number of tasks of one job.
func (s Sizes) Sample(r *rand.Rand) int {
	u := r.Float64() * s.totalWeight()
	for _, part := range s {
		if u -= part.Weight; u < 0 {
			return part.Min + r.IntN(part.Max-part.Min+1)
		}
	}
	return s[len(s)-1].Max
}

// Mean returns the mean number of tasks per job.
func (s Sizes) Mean() float64 {
	sum := 0.0
	for _, part := range s {
		sum += part.Weight * float64(part.Min+part.Max) / 2
	}
	return sum / s.totalWeight()
}

func (s Sizes) totalWeight() float64 {
	sum := 0.0
	for _, part := range s {
		sum += part.Weight
	}
	return sum
}
