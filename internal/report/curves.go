package report

import (
	"fmt"
	"image/color"
	"math"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Curve is a line of a plot of Curves.
type Curve struct {
	Name   string
	Points plotter.XYs
}

// Curves writes a plot of lines as an SVG file. Where bound is over 0 it is drawn in, and the axis is logarithmic if the lines leave it
// far behind.
func Curves(path, title, x, y string, curves []Curve, bound float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left, p.Legend.TextStyle.Font.Size = true, true, font.Length(9)
	first, last, most, least := 0.0, 0.0, bound, math.Inf(1)
	for i, c := range curves {
		if err := line(p, i, c.Name, c.Points); err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		marks, err := plotter.NewScatter(c.Points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		marks.Radius = vg.Points(2)
		p.Add(marks)
		for _, at := range c.Points {
			last, most, least = max(last, at.X), max(most, at.Y), min(least, at.Y)
		}
	}
	if bound > 0 {
		l, err := plotter.NewLine(plotter.XYs{{X: first, Y: bound}, {X: last, Y: bound}})
		if err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		l.Color, l.Dashes = color.RGBA{R: 200, A: 255}, []vg.Length{vg.Points(5), vg.Points(3)}
		p.Add(l)
		p.Legend.Add(fmt.Sprintf("bound: %g", bound), l)
	}
	p.Y.Max = most * 1.1
	if p.Y.Min = 0; bound > 0 && most > 10*bound && least > 0 {
		least = min(least, bound)
		p.Y.Min, p.Y.Scale, p.Y.Tick.Marker = least/2, plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	text, err := drawing{plot: p}.svg()
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}
