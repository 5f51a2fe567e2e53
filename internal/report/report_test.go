package report

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gonum.org/v1/plot/plotter"

	"olivearch/internal/emulator"
	"olivearch/internal/scenario"
	"olivearch/internal/stats"
)

func result(t *testing.T) (*stats.Result, []stats.Finding) {
	t.Helper()
	f, err := scenario.Parse("f", []byte(`
name: t
about: Two <nodes> & a stall.
length: 1s
fleet: [{name: n, count: 2, cores: 2, service: 5ms, reports: 50ms}]
load: [{name: maps, rate: 300, repeat: safe}]
bounds: [{figure: refused, most: 0}, {figure: p99, against: best, most: 0.01}]
`))
	if err != nil {
		t.Fatal(err)
	}
	r := &stats.Result{
		Scenario: f.Name, About: f.About, Mode: "simulated", Seed: 1, Contenders: []string{"olivearch", "least"},
		Marks: []stats.Mark{{AtMS: 500, Text: `stall <script>"n-0"`}},
	}
	for _, c := range r.Contenders {
		x, err := emulator.Play(f, c, 0)
		if err != nil {
			t.Fatal(err)
		}
		r.Turns = append(r.Turns, x)
	}
	if err := r.Load(); err != nil {
		t.Fatal(err)
	}
	return r, r.Judge(f.Bounds)
}

func TestTable(t *testing.T) {
	r, findings := result(t)
	var b bytes.Buffer
	if err := Table(&b, r, findings); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"t (simulated): Two <nodes>", "olivearch", "least", "p99 ms", "holds:  refused", "BROKEN: p99 of olivearch"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is not in\n%s", want, &b)
		}
	}
}

// The page stands alone, and what a result names does not become part of its markup.
func TestPage(t *testing.T) {
	r, findings := result(t)
	r.Contenders[1], r.Turns[1].Contender = `<script>alert(1)</script>`, `<script>alert(1)</script>`
	var b bytes.Buffer
	if err := Page(&b, r, findings); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	for _, want := range []string{"Two &lt;nodes&gt; &amp; a stall.", "broken: p99", "<svg", "olivearch: share of each node"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in the page", want)
		}
	}
	for _, bad := range []string{"<script", "src=", `href="http`} {
		if strings.Contains(text, bad) {
			t.Errorf("%q is in the page", bad)
		}
	}
}

func TestPlotsAreWholeSVG(t *testing.T) {
	r, _ := result(t)
	folder := t.TempDir()
	if err := Plots(folder, r); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(folder, "t-simulated-*.svg"))
	if err != nil || len(files) != 6 {
		t.Fatalf("%d plots: %v", len(files), err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		d := xml.NewDecoder(bytes.NewReader(text))
		for err == nil {
			_, err = d.Token()
		}
		if !errors.Is(err, io.EOF) || len(text) < 2000 {
			t.Errorf("%s: %d bytes, %v", file, len(text), err)
		}
	}
	r.Contenders, r.Turns = r.Contenders[1:], r.Turns[1:] // without olivearch there is no view of its own
	if all, err := drawings(r); err != nil || len(all) != 3 {
		t.Errorf("%d plots without olivearch: %v", len(all), err)
	}
}

// TestCurvesShowTheBound draws lines under their bound, and far over it on a logarithmic axis, which has no place for 0 and less.
func TestCurvesShowTheBound(t *testing.T) {
	for _, high := range []float64{4, 400} {
		for _, low := range []float64{1, 0, -1} {
			bounded(t, low, high)
		}
	}
}

func bounded(t *testing.T, low, high float64) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.svg")
	if err := Curves(path, "title", "x", "y", []Curve{{"one", plotter.XYs{{X: 0, Y: low}, {X: 1, Y: high}}}, {"two", plotter.XYs{{X: 0, Y: 2}}}}, 5); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"bound: 5", "one", "two", "</svg>"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("%q is not in the plot up to %g", want, high)
		}
	}
}
