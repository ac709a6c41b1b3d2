package prober

import (
	"maps"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the size that was varied and the figures seen.
// Saturated points, where the entry did not keep up, are left out of fits.
type Point struct {
	X         float64            `json:"x"`
	Y         map[string]float64 `json:"y"`
	Saturated bool               `json:"saturated,omitempty"`
}

// Line is a straight line fitted to one figure of a series by least squares.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	RSquared  float64 `json:"rSquared"`
	Points    int     `json:"points"`
}

// Series holds the points of one measurement. Of names what X counts.
type Series struct {
	Name   string          `json:"name"`
	Of     string          `json:"of"`
	Points []Point         `json:"points"`
	Fits   map[string]Line `json:"fits,omitempty"`
	// StartsPerCoreS is the number of starts per second of CPU time: the
	// inverse of the slope of CPU time, for series of starts.
	StartsPerCoreS float64 `json:"startsPerCoreS,omitempty"`
}

// fit sets the lines of s. A series with fewer than three distinct sizes has
// none.
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
	if len(sizes) < minSizes {
		return
	}
	s.Fits = map[string]Line{}
	for name, v := range values {
		intercept, slope := stat.LinearRegression(v[0], v[1], nil, false)
		line := Line{Slope: slope, Intercept: intercept, RSquared: 1, Points: len(v[0])}
		// A figure that does not vary is met exactly; its R squared is 0 / 0.
		if stat.Variance(v[1], nil) > 0 {
			line.RSquared = stat.RSquared(v[0], v[1], nil, intercept, slope)
		}
		s.Fits[name] = line
	}
	if slope := s.Fits[cpuPerS].Slope; s.Of == startsPerS && slope > 0 {
		s.StartsPerCoreS = 1 / slope
	}
}

// Report is the result of a measurement.
type Report struct {
	Label  string   `json:"label,omitempty"`
	Series []Series `json:"series"`
}

// Merge joins series of the same name and fits them anew, for measurements
// that need another process for each size.
func Merge(reports []Report) Report {
	var out Report
	byName := map[string]*Series{}
	for _, r := range reports {
		out.Label = r.Label
		for _, s := range r.Series {
			if known := byName[s.Name]; known != nil {
				known.Points = append(known.Points, s.Points...)
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
