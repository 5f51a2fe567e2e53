package balancer

import "testing"

func TestFirstOf(t *testing.T) {
	for _, c := range []struct {
		parts  int
		values []float64
		want   float64
	}{
		{medianParts, nil, 0},
		{medianParts, []float64{7}, 7},
		{medianParts, []float64{9, 1, 5}, 5},
		{medianParts, []float64{9, 1, 5, 7}, 7},
		{quartileParts, []float64{8, 7, 6, 5, 4, 3, 2, 1}, 3},
	} {
		if got := firstOf(c.parts, c.values); got != c.want {
			t.Errorf("one in %d of %v: %v, want %v", c.parts, c.values, got, c.want)
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
