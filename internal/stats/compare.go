package stats

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"olivearch/internal/scenario"
)

// How many times turns and blocks are drawn again for an interval, and its confidence.
const (
	draws      = 300
	confidence = 0.95
)

// Ratio is one contender's figure as a multiple of another's, with the interval that 95 in 100 draws fall into (bootstrap,
// B. Efron, Annals of Statistics 7(1), 1979: turns are drawn with return, and within each its blocks).
type Ratio struct {
	Figure    string  `json:"figure"`
	A         float64 `json:"a"`
	B         float64 `json:"b"`
	Ratio     float64 `json:"ratio"`
	Low, High float64
	Verdict   string `json:"verdict"` // better, worse, or within the noise
}

// Noise is the verdict on a difference that the interval does not tell from none.
const Noise = "within the noise"

func (r Ratio) String() string {
	return fmt.Sprintf("%-11s %10.4g %10.4g   x%.3f (%.3f to %.3f)  %s", r.Figure, r.A, r.B, r.Ratio, r.Low, r.High, r.Verdict)
}

// bar is a latency, by its place among those that were seen, and how often it was.
type bar struct {
	place int
	n     int64
}

// deck is turns made ready for being drawn from many times: adding up histograms each time would take seconds.
type deck struct {
	turns  []*Turn
	bars   [][][]bar // by turn and block
	values []int64   // latencies that were seen, in order
	counts []int64   // of the draw at hand
}

func newDeck(turns []*Turn) *deck {
	d := &deck{turns: turns}
	places := map[int64]int{}
	for _, t := range turns {
		for i := range t.Blocks {
			for _, x := range t.Blocks[i].histogram.Distribution() {
				if x.Count > 0 {
					places[x.To] = 0
				}
			}
		}
	}
	d.values = slices.Sorted(maps.Keys(places))
	for i, v := range d.values {
		places[v] = i
	}
	for _, t := range turns {
		of := make([][]bar, len(t.Blocks))
		for i := range t.Blocks {
			for _, x := range t.Blocks[i].histogram.Distribution() {
				if x.Count > 0 {
					of[i] = append(of[i], bar{places[x.To], x.Count})
				}
			}
		}
		d.bars = append(d.bars, of)
	}
	d.counts = make([]int64, len(d.values))
	return d
}

// draw draws turns with return, and blocks within each, and returns a figure of them.
func (d *deck) draw(rng *rand.Rand, name string) float64 {
	part, ofLatency := quantiles[name]
	clear(d.counts)
	drawn, sum := make([]*Turn, len(d.turns)), Sum{}
	for i := range drawn {
		k := rng.IntN(len(d.turns))
		t := d.turns[k]
		drawn[i] = t
		for range t.Blocks {
			j := rng.IntN(len(t.Blocks))
			sum.count(&t.Blocks[j])
			if ofLatency {
				for _, x := range d.bars[k][j] {
					d.counts[x.place] += x.n
				}
			}
		}
	}
	if !ofLatency {
		if x, ok := sum.figure(name); ok {
			return x
		}
		return ofTurns(name, drawn)
	}
	left := int64(math.Ceil(part * float64(sum.Served)))
	for i, n := range d.counts {
		if left -= n; left <= 0 && n > 0 {
			return float64(d.values[i]) / 1000
		}
	}
	return 0
}

// fraction divides, where both may be nothing.
func fraction(a, b float64) float64 {
	if a == b {
		return 1
	}
	return a / b
}

// Compare returns the ratio of a figure of turns a to that of turns b. The same seed draws the same.
func Compare(name string, a, b []*Turn, seed uint64) Ratio {
	rng := rand.New(rand.NewPCG(seed, 17))
	r := Ratio{Figure: name}
	r.A, r.B = figureOf(name, a), figureOf(name, b)
	r.Ratio = fraction(r.A, r.B)
	ratios, x, y := make([]float64, draws), newDeck(a), newDeck(b)
	for i := range ratios {
		ratios[i] = fraction(x.draw(rng, name), y.draw(rng, name))
	}
	slices.Sort(ratios)
	tail := (1 - confidence) / 2
	r.Low, r.High = ratios[int(tail*draws)], ratios[int(math.Ceil((1-tail)*draws))-1]
	r.Low, r.High = min(r.Low, r.Ratio), max(r.High, r.Ratio)
	switch more := scenario.Figures[name]; {
	case r.Low <= 1 && r.High >= 1:
		r.Verdict = Noise
	case (r.Low > 1) == more:
		r.Verdict = "better"
	default:
		r.Verdict = "worse"
	}
	return r
}

// Best returns the contender with the best figure among all but one.
func (r *Result) Best(name, but string) string {
	best, figure := "", math.NaN()
	for _, c := range r.Contenders {
		if c == but || len(r.Of(c)) == 0 {
			continue
		}
		x := r.Figure(c, name)
		if math.IsNaN(figure) || (scenario.Figures[name] && x > figure) || (!scenario.Figures[name] && x < figure) {
			best, figure = c, x
		}
	}
	return best
}

// Finding is what came of a bound.
type Finding struct {
	Bound scenario.Bound `json:"-"`
	Text  string         `json:"text"`
	Holds bool           `json:"holds"`
}

// Judge looks whether the bounds of a scenario hold. One against another contender is broken only where the whole interval
// is past it.
func (r *Result) Judge(bounds []scenario.Bound) []Finding {
	var all []Finding
	for _, b := range bounds {
		f := Finding{Bound: b}
		limit, word, sign := 0.0, "at most", 1.0
		if b.Most != nil {
			limit = *b.Most
		} else {
			limit, word, sign = *b.Least, "at least", -1
		}
		if len(r.Of(b.Of)) == 0 {
			continue // it does not play in this mode
		}
		if b.Against == "" {
			x := r.Figure(b.Of, b.Figure)
			f.Holds = sign*x <= sign*limit
			f.Text = fmt.Sprintf("%s of %s is %.4g, %s %.4g", b.Figure, b.Of, x, word, limit)
		} else {
			against := b.Against
			if against == "best" {
				against = r.Best(b.Figure, b.Of)
			}
			if len(r.Of(against)) == 0 {
				continue
			}
			x := Compare(b.Figure, r.Of(b.Of), r.Of(against), uint64(r.Seed))
			f.Holds = !(x.Low > limit && x.High > limit && sign > 0 || x.Low < limit && x.High < limit && sign < 0)
			f.Text = fmt.Sprintf("%s of %s is %.4g, of %s %.4g: x%.3f (%.3f to %.3f), %s x%.4g", b.Figure, b.Of, x.A, against, x.B, x.Ratio, x.Low, x.High, word, limit)
		}
		all = append(all, f)
	}
	return all
}

// Change is a figure of a contender in two results.
type Change struct {
	Contender string `json:"contender"`
	Ratio
}

// Changes compares two results of one scenario, a the newer: for each contender in both, each figure as a multiple of
// before.
func Changes(a, b *Result, names []string) ([]Change, error) {
	if a.Scenario != b.Scenario || a.Mode != b.Mode {
		return nil, fmt.Errorf("%s (%s) and %s (%s) are not the same scenario", a.Scenario, a.Mode, b.Scenario, b.Mode)
	}
	var all []Change
	for _, c := range a.Contenders {
		x, y := a.Of(c), b.Of(c)
		if len(x) == 0 || len(y) == 0 {
			continue
		}
		for _, name := range names {
			all = append(all, Change{c, Compare(name, x, y, uint64(a.Seed))})
		}
	}
	return all, nil
}

// Worse tells whether a change is a loss of more than a part, beyond the noise.
func (c Change) Worse(part float64) bool {
	if c.Verdict != "worse" {
		return false
	}
	if scenario.Figures[c.Figure] {
		return c.Ratio.Ratio < 1-part
	}
	return c.Ratio.Ratio > 1+part
}
