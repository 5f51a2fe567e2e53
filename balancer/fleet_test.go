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
		{"a calm fleet: noise", 0.1, 0.1, 0.4},
		{"a fleet under load, all alike", 2, 2, 2.5},
		{"a fleet with a wide spread", 2, 1, 6},
	} {
		if got := saturationThreshold(c.median, c.lowerQuartile); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Without a warm upstream to judge by, the figure of before holds.
func TestFleetWorkPerWeight(t *testing.T) {
	for _, c := range []struct{ before, work, weight, want float64 }{
		{0, 30, 3, 10}, {5, 30, 3, 10}, {5, 0, 0, 5}, {5, 0, 3, 5},
	} {
		f := fleetStats{workPerWeight: c.before}
		if f.updateWorkPerWeight(c.work, c.weight); f.workPerWeight != c.want {
			t.Errorf("%+v: %v", c, f.workPerWeight)
		}
	}
}
