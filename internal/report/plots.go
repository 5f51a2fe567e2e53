package report

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"olivearch/internal/scenario"
	"olivearch/internal/stats"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	width  = 9 * vg.Inch
	height = 3.6 * vg.Inch
)

// drawing is one plot.
type drawing struct {
	name, title string
	plot        *plot.Plot
}

// drawings makes the plots of a result.
func drawings(r *stats.Result) ([]drawing, error) {
	var all []drawing
	add := func(name, title string, make func(*stats.Result, *plot.Plot) error) error {
		p := plot.New()
		p.Title.Text = title
		p.Legend.Top, p.Legend.Left = true, true
		p.Legend.TextStyle.Font.Size = font.Length(9)
		if err := make(r, p); err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
		all = append(all, drawing{name, title, p})
		return nil
	}
	for _, x := range []struct {
		name, title string
		make        func(*stats.Result, *plot.Plot) error
	}{
		{"latency", "Latency by quantile", latency},
		{"goodput", "Answers in time, a second", overTime(func(b *stats.Block) int { return b.InAim })},
		{"refused", "Refused and failed, a second", overTime(func(b *stats.Block) int { return b.Refused + b.Failed })},
		{"share", "olivearch: share of each node", ofNodes(func(s *stats.NodeSample) float64 { return s.Share })},
		{"band", "olivearch: utilisation of each node (moving average)", ofNodes(func(s *stats.NodeSample) float64 { return s.Mean })},
		{"bound", "olivearch: bound on attempts out at each node", ofNodes(func(s *stats.NodeSample) float64 { return s.Bound })},
	} {
		if len(r.Of(scenario.Olivearch)) == 0 && slices.Contains([]string{"share", "band", "bound"}, x.name) {
			continue
		}
		if err := add(x.name, x.title, x.make); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// line adds a line with a colour and dashes of its own.
func line(p *plot.Plot, i int, name string, xy plotter.XYs) error {
	if len(xy) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color, l.Dashes, l.Width = plotutil.Color(i), plotutil.Dashes(i/7), vg.Points(1.2)
	if i == 0 {
		l.Width = vg.Points(2.4)
	}
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// nines are the ticks of the quantiles' axis: 1 / (1 - quantile) on a logarithmic scale.
type nines struct{}

func (nines) Ticks(min, max float64) (ticks []plot.Tick) {
	for _, q := range []float64{0, 0.5, 0.9, 0.99, 0.999, 0.9999} {
		if x := 1 / (1 - q); x >= min-1e-9 && x <= max+1e-9 {
			ticks = append(ticks, plot.Tick{Value: x, Label: fmt.Sprintf("%g", q)})
		}
	}
	return ticks
}

// latency draws quantiles on a logarithmic axis, nines at equal distances.
func latency(r *stats.Result, p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "quantile", "ms"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = nines{}, plot.LogTicks{Prec: -1}
	for i, c := range r.Contenders {
		sum := stats.Total(r.Of(c))
		if sum.Served == 0 {
			continue
		}
		var xy plotter.XYs
		for x := 1.0; x <= min(10000, float64(sum.Served)); x *= 1.15 {
			xy = append(xy, plotter.XY{X: x, Y: max(sum.Quantile(1-1/x), 0.01)})
		}
		if err := line(p, i, c, xy); err != nil {
			return err
		}
	}
	return nil
}

// overTime draws a count a second, the mean over turns.
func overTime(of func(*stats.Block) int) func(*stats.Result, *plot.Plot) error {
	return func(r *stats.Result, p *plot.Plot) error {
		p.X.Label.Text, p.Y.Label.Text, p.Y.Min = "s", "a second", 0
		for i, c := range r.Contenders {
			var xy plotter.XYs
			turns := r.Of(c)
			if len(turns) == 0 {
				continue
			}
			for k := range turns[0].Blocks {
				n, sum := 0, 0
				for _, t := range turns {
					if k < len(t.Blocks) {
						n, sum = n+1, sum+of(&t.Blocks[k])
					}
				}
				xy = append(xy, plotter.XY{X: (float64(k) + 0.5) * stats.BlockLength.Seconds(), Y: float64(sum) / float64(n) / stats.BlockLength.Seconds()})
			}
			if err := line(p, i, c, xy); err != nil {
				return err
			}
		}
		return marks(r, p)
	}
}

// ofNodes draws a figure of each node in olivearch's first turn.
func ofNodes(of func(*stats.NodeSample) float64) func(*stats.Result, *plot.Plot) error {
	return func(r *stats.Result, p *plot.Plot) error {
		p.X.Label.Text, p.Y.Min = "s", 0
		by, names := map[string]plotter.XYs{}, []string{}
		t := r.Of(scenario.Olivearch)[0]
		for i := range t.Nodes {
			s := &t.Nodes[i]
			if s.AtMS < 0 {
				continue
			}
			if by[s.Node] == nil {
				names = append(names, s.Node)
			}
			by[s.Node] = append(by[s.Node], plotter.XY{X: (time.Duration(s.AtMS) * time.Millisecond).Seconds(), Y: of(s)})
		}
		for i, name := range names {
			if err := line(p, i, name, by[name]); err != nil {
				return err
			}
		}
		return marks(r, p)
	}
}

// marks draws a line for each trouble.
func marks(r *stats.Result, p *plot.Plot) error {
	top := p.Y.Max
	if !(top > 0) || math.IsInf(top, 0) {
		top = 1
	}
	for _, m := range r.Marks {
		x := float64(m.AtMS) / 1000
		l, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return err
		}
		l.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		text, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: top}}, Labels: []string{m.Text}})
		if err != nil {
			return err
		}
		p.Add(l, text)
	}
	p.Y.Max = top * 1.1
	return nil
}

// svg draws a plot.
func (d drawing) svg() ([]byte, error) {
	c := vgsvg.New(width, height)
	d.plot.Draw(draw.New(c))
	var b bytes.Buffer
	_, err := c.WriteTo(&b)
	return b.Bytes(), err
}

// Plots writes the plots of a result as SVG files into a folder.
func Plots(folder string, r *stats.Result) error {
	all, err := drawings(r)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, d := range all {
		text, err := d.svg()
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, r.Scenario+"-"+r.Mode+"-"+d.name+".svg"), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.R.Scenario}} ({{.R.Mode}})</title>
<style>
body { font: 15px/1.5 sans-serif; max-width: 70em; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } th, td { padding: .25em .7em; text-align: right; border-bottom: 1px solid #ddd }
th:first-child, td:first-child { text-align: left } .broken { color: #b00; font-weight: bold } figure { margin: 1.5em 0 } svg { max-width: 100%; height: auto }
</style></head><body>
<h1>{{.R.Scenario}}</h1>
<p>{{.R.About}}</p>
<p>Mode {{.R.Mode}}, seed {{.R.Seed}}, {{.Turns}} turns{{if .R.Cores}}, {{.R.Cores}} cores{{end}}. Latencies count from the moment that a request was meant to start.</p>
<table>{{range $i, $row := .Rows}}<tr>{{range $row}}{{if eq $i 0}}<th>{{.}}</th>{{else}}<td>{{.}}</td>{{end}}{{end}}</tr>
{{end}}</table>
{{if .Findings}}<h2>Bounds</h2><ul>{{range .Findings}}<li{{if not .Holds}} class="broken"{{end}}>{{if .Holds}}holds{{else}}broken{{end}}: {{.Text}}</li>{{end}}</ul>{{end}}
{{if .Ratios}}<h2>olivearch against each other</h2>
<table><tr><th>contender</th><th>figure</th><th>olivearch</th><th>contender's</th><th>ratio</th><th>95 in 100 draws</th><th>verdict</th></tr>
{{range .Ratios}}<tr><td>{{.Contender}}</td><td>{{.Figure}}</td><td>{{printf "%.4g" .A}}</td><td>{{printf "%.4g" .B}}</td><td>{{printf "%.3f" .Ratio.Ratio}}</td><td>{{printf "%.3f to %.3f" .Low .High}}</td><td>{{.Verdict}}</td></tr>
{{end}}</table>{{end}}
{{range .Plots}}<figure>{{.}}</figure>
{{end}}</body></html>
`))

// Page writes a page with the table, the bounds and the plots, that needs nothing beside itself.
func Page(out io.Writer, r *stats.Result, findings []stats.Finding) error {
	all, err := drawings(r)
	if err != nil {
		return err
	}
	x := struct {
		R        *stats.Result
		Turns    int
		Rows     [][]string
		Findings []stats.Finding
		Ratios   []stats.Change
		Plots    []template.HTML
	}{R: r, Turns: len(r.Turns), Rows: rows(r), Findings: findings}
	for _, c := range r.Contenders {
		if ours := r.Of(scenario.Olivearch); c != scenario.Olivearch && len(ours) > 0 {
			for _, name := range []string{"p50", "p99", "in_aim", "per_second"} {
				x.Ratios = append(x.Ratios, stats.Change{Contender: c, Ratio: stats.Compare(name, ours, r.Of(c), uint64(r.Seed))})
			}
		}
	}
	for _, d := range all {
		text, err := d.svg()
		if err != nil {
			return err
		}
		if i := bytes.Index(text, []byte("<svg")); i > 0 {
			text = text[i:] // what stands before belongs to a file of its own
		}
		x.Plots = append(x.Plots, template.HTML(text)) // made here: names in it are letters, digits and hyphens
	}
	return pageTemplate.Execute(out, x)
}
