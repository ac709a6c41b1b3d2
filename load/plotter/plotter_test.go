package plotter

import (
	"bytes"
	"image/png"
	"testing"

	"github.com/godwitrelay/godwitrelay/load/comparer"
)

// TestDraw guards against images that cannot be decoded, lack the bars of a
// variant, or are too large for documentation.
func TestDraw(t *testing.T) {
	row := func(condition, variant string, x float64) comparer.Row {
		return comparer.Row{Condition: condition, Variant: variant, Figures: map[string]comparer.FigureSummary{
			"urgent.overIdeal.p50": {Median: x, Min: x / 2, Max: 2 * x, Rounds: 3},
		}}
	}
	s := comparer.Summary{Rows: []comparer.Row{row("load80", "broker", 1), row("load80", "random", 3), row("load95", "broker", 2)}}
	var out bytes.Buffer
	if err := Draw(&out, s, DefaultFigures); err != nil {
		t.Fatal(err)
	}
	if out.Len() > 200_000 {
		t.Errorf("the image has %d bytes", out.Len())
	}
	image, err := png.Decode(&out)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[[3]uint32]int{}
	for y := range image.Bounds().Dy() {
		for x := range image.Bounds().Dx() {
			r, g, b, _ := image.At(x, y).RGBA()
			seen[[3]uint32{r >> 8, g >> 8, b >> 8}]++
		}
	}
	for i, variant := range []string{"broker", "random"} {
		r, g, b, _ := colors[i].RGBA()
		if n := seen[[3]uint32{r >> 8, g >> 8, b >> 8}]; n < 500 {
			t.Errorf("%d pixels of variant %s", n, variant)
		}
	}
	if err := Draw(&out, s, nil); err == nil {
		t.Error("plotting without figures did not fail")
	}
}
