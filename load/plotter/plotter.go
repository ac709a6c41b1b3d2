// Package plotter plots the summary of a comparison as a PNG image.
package plotter

import (
	"image/color"
	"io"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/godwitrelay/godwitrelay/load/comparer"
)

// DefaultFigures are the figures used by the objectives in docs/design.md.
var DefaultFigures = []string{"urgent.overIdeal.p50", "urgent.overIdeal.p99", "workOverCapacity", "wastedPerTask"}

const (
	width      = 8.4 * vg.Inch
	tileHeight = 2.4 * vg.Inch
	// singleColumnConditions is the number of conditions from which a chart takes
	// the full width of the image instead of half of it.
	singleColumnConditions = 5
	// maxGroupWidth limits the width of a group, which consists of the bars of all
	// variants under one condition.
	maxGroupWidth = vg.Length(40)
	// axisWidth is the part of a chart's width that is not available for bars,
	// such as the Y axis and its labels.
	axisWidth = vg.Length(60)
	margin    = 3 * vg.Millimeter
	// legendShare is the space reserved above the bars for the legend, as a
	// fraction of the largest value.
	legendShare = 0.3
)

var colors = []color.Color{
	color.RGBA{0x4e, 0x79, 0xa7, 0xff}, color.RGBA{0xf2, 0x8e, 0x2b, 0xff}, color.RGBA{0x59, 0xa1, 0x4f, 0xff},
	color.RGBA{0xe1, 0x57, 0x59, 0xff}, color.RGBA{0xb0, 0x7a, 0xa1, 0xff}, color.RGBA{0x76, 0x76, 0x76, 0xff},
}

// Draw writes a PNG with one chart per figure. Bars show medians, with one group
// per condition and one colour per variant; lines show the range over the
// rounds.
func Draw(w io.Writer, s comparer.Summary, figures []string) error {
	if len(figures) == 0 {
		return errors.New("no figures to plot")
	}
	conditions, _ := axisNames(s)
	columns := 2
	if len(conditions) >= singleColumnConditions {
		columns = 1
	}
	rows := (len(figures) + columns - 1) / columns
	image := vgimg.New(width, vg.Length(rows)*tileHeight)
	canvas := draw.New(image)
	tiles := draw.Tiles{
		Rows: rows, Cols: columns, PadX: margin, PadY: margin,
		PadTop: margin, PadBottom: margin, PadLeft: margin, PadRight: margin,
	}
	for i, figure := range figures {
		p, err := newChart(s, figure, width/vg.Length(columns)-axisWidth)
		if err != nil {
			return err
		}
		p.Draw(tiles.At(canvas, i%columns, i/columns))
	}
	_, err := vgimg.PngCanvas{Canvas: image}.WriteTo(w)
	return errors.Wrap(err, "writing the image")
}

// newChart returns the chart of one figure, with barSpace as the total width for
// bars. A variant without the figure under a condition has no bar there.
func newChart(s comparer.Summary, figure string, barSpace vg.Length) (*plot.Plot, error) {
	conditions, variants := axisNames(s)
	p := plot.New()
	p.Title.Text = figure
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = vg.Points(7)
	p.X.Tick.Label.Font.Size = vg.Points(7)
	p.NominalX(conditions...)
	p.X.Min, p.X.Max = -0.5, float64(len(conditions))-0.5
	groupWidth := min(maxGroupWidth, 0.8*barSpace/vg.Length(len(conditions)))
	barWidth := groupWidth / vg.Length(len(variants))
	for i, variant := range variants {
		offset := barWidth * vg.Length(float64(i)-float64(len(variants)-1)/2)
		values := make(plotter.Values, len(conditions))
		for k, condition := range conditions {
			if spread, ok := findFigure(s, condition, variant, figure); ok {
				values[k] = spread.Median
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, errors.Wrapf(err, "plotting %s", figure)
		}
		bars.Color, bars.Offset, bars.LineStyle.Width = colors[i%len(colors)], offset, 0
		p.Add(bars, rangeLines{s, figure, variant, conditions, offset})
		p.Legend.Add(variant, bars)
	}
	return p, nil
}

// rangeLines draws the range over the rounds on the bars of one variant. The
// error bars of gonum's plotter package do not support an offset, which the bars
// within a group need.
type rangeLines struct {
	summary         comparer.Summary
	figure, variant string
	conditions      []string
	offset          vg.Length
}

// Plot implements plot.Plotter.
func (l rangeLines) Plot(c draw.Canvas, p *plot.Plot) {
	toX, toY := p.Transforms(&c)
	style := draw.LineStyle{Color: color.Black, Width: vg.Points(0.8)}
	for i, condition := range l.conditions {
		if spread, ok := findFigure(l.summary, condition, l.variant, l.figure); ok {
			x := toX(float64(i)) + l.offset
			c.StrokeLine2(style, x, toY(spread.Min), x, toY(spread.Max))
		}
	}
}

// DataRange implements plot.DataRanger. It extends the Y axis to include the
// lines and the space for the legend.
func (l rangeLines) DataRange() (xmin, xmax, ymin, ymax float64) {
	top := 0.0
	for _, condition := range l.conditions {
		if spread, ok := findFigure(l.summary, condition, l.variant, l.figure); ok {
			top = math.Max(top, spread.Max)
		}
	}
	return 0, float64(len(l.conditions) - 1), 0, top * (1 + legendShare)
}

func findFigure(s comparer.Summary, condition, variant, figure string) (comparer.FigureSummary, bool) {
	for _, row := range s.Rows {
		if row.Condition == condition && row.Variant == variant {
			spread, ok := row.Figures[figure]
			return spread, ok
		}
	}
	return comparer.FigureSummary{}, false
}

func axisNames(s comparer.Summary) (conditions, variants []string) {
	for _, row := range s.Rows {
		if !slices.Contains(conditions, row.Condition) {
			conditions = append(conditions, row.Condition)
		}
		if !slices.Contains(variants, row.Variant) {
			variants = append(variants, row.Variant)
		}
	}
	return conditions, variants
}
