package balancer

import (
	"slices"
	"testing"
)

func TestLowerQuantiles(t *testing.T) {
	for _, c := range []struct {
		values                []float64
		median, lowerQuartile float64
	}{
		{nil, 0, 0},
		{[]float64{7}, 7, 7},
		{[]float64{9, 1, 5}, 5, 1},
		{[]float64{9, 1, 5, 7}, 7, 5},
		{[]float64{8, 7, 6, 5, 4, 3, 2, 1}, 5, 3},
	} {
		if got := median(slices.Clone(c.values)); got != c.median {
			t.Errorf("%v: median %v, want %v", c.values, got, c.median)
		}
		if got := lowerQuartile(slices.Clone(c.values)); got != c.lowerQuartile {
			t.Errorf("%v: lower quartile %v, want %v", c.values, got, c.lowerQuartile)
		}
	}
}

func TestSaturationThreshold(t *testing.T) {
	for _, c := range []struct {
		name                        string
		median, lowerQuartile, want float64
	}{
		{"small areas are noise", 0.1, 0.1, 0.4},
		{"large areas, all equal: a multiple of the median", 2, 2, 2.5},
		{"areas that differ widely: the median and a multiple of the spread", 2, 1, 6},
	} {
		if got := saturationThreshold(c.median, c.lowerQuartile); got != c.want {
			t.Errorf("%s: threshold %v, want %v", c.name, got, c.want)
		}
	}
}

// While warm upstreams carry no work, or there are none, the previous value is kept.
func TestFleetWorkPerWeight(t *testing.T) {
	for _, c := range []struct{ before, work, weight, want float64 }{
		{0, 30, 3, 10}, {5, 30, 3, 10}, {5, 0, 0, 5}, {5, 0, 3, 5},
	} {
		f := fleetStats{workPerWeight: c.before}
		if f.updateWorkPerWeight(c.work, c.weight); f.workPerWeight != c.want {
			t.Errorf("%+v: work per weight %v", c, f.workPerWeight)
		}
	}
}
