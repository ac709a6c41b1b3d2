package prober

import (
	"maps"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: X is the value of the varied quantity, and Y holds
// the measured figures by name. Saturated points, at which the entry did not
// keep up with the load, are excluded from fits.
type Point struct {
	X         float64            `json:"x"`
	Y         map[string]float64 `json:"y"`
	Saturated bool               `json:"saturated,omitempty"`
}

// LinearFit is a least-squares line fitted to one figure of a series.
type LinearFit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	RSquared  float64 `json:"rSquared"`
	Points    int     `json:"points"`
}

// Series holds the points of one measurement. Variable names the quantity X.
type Series struct {
	Name     string               `json:"name"`
	Variable string               `json:"of"`
	Points   []Point              `json:"points"`
	Fits     map[string]LinearFit `json:"fits,omitempty"`
	// StartsPerCoreS is the number of starts per second of CPU time, which is the
	// inverse of the fitted CPU time per start. It is set only for series over
	// starts per second.
	StartsPerCoreS float64 `json:"startsPerCoreS,omitempty"`
}

// fit fits a line to each figure over the points that are not saturated. It sets
// no fits if these points have fewer than minFitSizes distinct values of X.
func (s *Series) fit() {
	s.Fits, s.StartsPerCoreS = nil, 0
	values := map[string][2][]float64{}
	sizes := map[float64]bool{}
	for _, p := range s.Points {
		if p.Saturated {
			continue
		}
		sizes[p.X] = true
		for name, y := range p.Y {
			v := values[name]
			values[name] = [2][]float64{append(v[0], p.X), append(v[1], y)}
		}
	}
	if len(sizes) < minFitSizes {
		return
	}
	s.Fits = map[string]LinearFit{}
	for name, v := range values {
		intercept, slope := stat.LinearRegression(v[0], v[1], nil, false)
		line := LinearFit{Slope: slope, Intercept: intercept, RSquared: 1, Points: len(v[0])}
		// A constant figure is fitted exactly, but its R squared would be 0/0.
		if stat.Variance(v[1], nil) > 0 {
			line.RSquared = stat.RSquared(v[0], v[1], nil, intercept, slope)
		}
		s.Fits[name] = line
	}
	if slope := s.Fits[cpuPerS].Slope; s.Variable == startsPerS && slope > 0 {
		s.StartsPerCoreS = 1 / slope
	}
}

// Report is the result of all measurements.
type Report struct {
	Label  string   `json:"label,omitempty"`
	Series []Series `json:"series"`
}

// Merge combines series of the same name and refits them, for measurements that
// need a separate process for each size.
func Merge(reports []Report) Report {
	var out Report
	byName := map[string]*Series{}
	for _, r := range reports {
		out.Label = r.Label
		for _, s := range r.Series {
			if existing := byName[s.Name]; existing != nil {
				existing.Points = append(existing.Points, s.Points...)
				continue
			}
			s.Points = slices.Clone(s.Points)
			byName[s.Name] = &s
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		byName[name].fit()
		out.Series = append(out.Series, *byName[name])
	}
	return out
}
