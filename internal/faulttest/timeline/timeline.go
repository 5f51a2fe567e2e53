// Package timeline draws what a ground saw over time: the faults above, what was served, refused, failed and lost below, and breaches as
// dots at their time.
package timeline

import (
	"bytes"
	"fmt"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"olivearch/internal/faulttest"
)

const (
	width    = 9 * vg.Inch
	height   = 6 * vg.Inch
	margin   = 4 * vg.Millimeter
	rowsMost = 12
)

// Write draws a result into an SVG file.
func Write(path string, r *faulttest.Result) error {
	text, err := Draw(r)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// Draw returns the drawing as SVG.
func Draw(r *faulttest.Result) ([]byte, error) {
	end := 0.1
	for _, b := range r.Blocks {
		end = max(end, b.At)
	}
	above, err := faults(r, end)
	if err != nil {
		return nil, fmt.Errorf("drawing the faults of %s: %w", r.Script, err)
	}
	below, err := load(r, end)
	if err != nil {
		return nil, fmt.Errorf("drawing the load of %s: %w", r.Script, err)
	}
	c := vgsvg.New(width, height)
	parts := plot.Align([][]*plot.Plot{{above}, {below}}, draw.Tiles{Rows: 2, Cols: 1, PadLeft: margin, PadRight: margin, PadTop: margin, PadBottom: margin}, draw.New(c))
	above.Draw(parts[0][0])
	below.Draw(parts[1][0])
	var b bytes.Buffer
	_, err = c.WriteTo(&b)
	return b.Bytes(), err
}

// faults draws a row for each kind of fault, in the order in which they begin.
func faults(r *faulttest.Result, end float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d", r.Script, r.Seed)
	row := map[string]int{}
	var names []string
	for _, s := range r.Spans {
		if _, ok := row[s.Kind]; !ok && len(row) < rowsMost {
			row[s.Kind] = len(row)
			names = append(names, s.Kind)
		}
		y := float64(row[s.Kind])
		l, err := plotter.NewLine(plotter.XYs{{X: s.From, Y: y}, {X: max(s.To, s.From+end/200), Y: y}})
		if err != nil {
			return nil, err
		}
		l.Width, l.Color = vg.Points(6), plotutil.SoftColors[row[s.Kind]%len(plotutil.SoftColors)]
		p.Add(l)
	}
	if len(names) == 0 {
		names = []string{"no fault"}
	}
	p.NominalY(names...)
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, end, -0.7, float64(len(names))-0.3
	return p, nil
}

func load(r *faulttest.Result, end float64) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "s, from the start of the load", "requests a second"
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.TextStyle.Font.Size = font.Length(9)
	for i, line := range []struct {
		name string
		of   func(faulttest.Block) float64
	}{
		{"served", func(b faulttest.Block) float64 { return b.Served }},
		{"refused", func(b faulttest.Block) float64 { return b.Refused }},
		{"failed", func(b faulttest.Block) float64 { return b.Failed }},
		{"no answer", func(b faulttest.Block) float64 { return b.Lost }},
	} {
		var xy plotter.XYs
		for _, b := range r.Blocks {
			xy = append(xy, plotter.XY{X: b.At, Y: line.of(b)})
		}
		if len(xy) == 0 {
			continue
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return nil, err
		}
		l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(l)
		p.Legend.Add(line.name, l)
	}
	if len(r.Dots) > 0 {
		var xy plotter.XYs
		for _, d := range r.Dots {
			xy = append(xy, plotter.XY{X: d.At, Y: 0})
		}
		s, err := plotter.NewScatter(xy)
		if err != nil {
			return nil, err
		}
		s.Shape, s.Color, s.Radius = draw.CrossGlyph{}, color.RGBA{R: 200, A: 255}, vg.Points(4)
		p.Add(s)
		p.Legend.Add("breach", s)
	}
	p.X.Min, p.X.Max, p.Y.Min = 0, end, 0
	p.Y.Max = max(p.Y.Max, 1) * 1.25
	return p, nil
}
