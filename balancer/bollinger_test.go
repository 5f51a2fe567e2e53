package balancer

import (
	"math"
	"slices"
	"testing"
	"time"
)

// near reports whether two values are equal except for rounding.
func near(x, y float64) bool { return math.Abs(x-y) < 1e-9 }

func TestBollingerBandWindowMoves(t *testing.T) {
	for _, c := range []struct {
		name            string
		readings        []float64
		window          []float64
		mean, deviation float64
		upper, lower    float64
	}{
		{"no readings", nil, nil, 0, 0, 0, 0},
		{"one reading", []float64{0.4}, []float64{0.4}, 0.4, 0, 0.4, 0.4},
		{"two readings", []float64{0.2, 0.6}, []float64{0.2, 0.6}, 0.4, 0.2, 0.8, 0},
		{"eight readings", []float64{0, 1, 0, 1, 0, 1, 0, 1}, []float64{0, 1, 0, 1, 0, 1, 0, 1}, 0.5, 0.5, 1.5, -0.5},
		{
			"ten: the first two are dropped",
			[]float64{9, 9, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5},
			[]float64{0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5},
			0.5, 0, 0.5, 0.5,
		},
	} {
		var band bollingerBand
		for _, reading := range c.readings {
			band.add(reading)
		}
		if band.readings != len(c.readings) || !slices.Equal(band.filled(), c.window) {
			t.Errorf("%s: %d readings, window %v, want %v", c.name, band.readings, band.filled(), c.window)
		}
		if !near(band.mean, c.mean) || !near(band.deviation, c.deviation) {
			t.Errorf("%s: mean %v, deviation %v; want %v, %v", c.name, band.mean, band.deviation, c.mean, c.deviation)
		}
		if !near(band.upper(), c.upper) || !near(band.lower(), c.lower) {
			t.Errorf("%s: band from %v to %v, want %v to %v", c.name, band.lower(), band.upper(), c.lower, c.upper)
		}
	}
}

// The band gap is four deviations wide. Mean utilisation in excess of both 0.5 and the fleet's counts like a deviation.
func TestBollingerBandArea(t *testing.T) {
	for _, c := range []struct {
		name                   string
		mean, deviation, fleet float64
		elapsed                time.Duration
		area                   float64
	}{
		{"constant low load", 0.3, 0, 0.3, time.Second, 0},
		{"a deviation of 0.1 for a second", 0.3, 0.1, 0.3, time.Second, 0.4},
		{"a deviation of 0.1 for a quarter of a second", 0.3, 0.1, 0.3, 250 * ms, 0.1},
		{"constant full load, the fleet at 0.6", 1, 0, 0.6, time.Second, 1.6},
		{"constant full load, the whole fleet too", 1, 0, 1, time.Second, 0},
		{"half of full load in an idle fleet", 0.5, 0, 0, time.Second, 0},
		{"excess and deviation for two seconds", 0.9, 0.05, 0.6, 2 * time.Second, 2.8},
	} {
		band := bollingerBand{mean: c.mean, deviation: c.deviation, integratedAt: time.Hour}
		band.integrate(c.fleet, time.Hour+c.elapsed)
		if !near(band.area, c.area) || band.integratedAt != time.Hour+c.elapsed {
			t.Errorf("%s: area %v, want %v", c.name, band.area, c.area)
		}
	}
}

func TestBollingerBandSaturated(t *testing.T) {
	for _, c := range []struct {
		readings        int
		area, threshold float64
		saturated       bool
	}{
		{0, 9, 0.4, false},
		{3, 9, 0.4, false}, // under half a window of readings
		{4, 9, 0.4, true},
		{4, 0.4, 0.4, false},
		{100, 0.41, 0.4, true},
	} {
		band := bollingerBand{readings: c.readings, area: c.area}
		if band.saturated(c.threshold) != c.saturated {
			t.Errorf("%+v: saturated %v", c, !c.saturated)
		}
	}
}

func TestBollingerBandRestart(t *testing.T) {
	var band bollingerBand
	band.add(0.9)
	band.add(0.1)
	band.integrate(0, time.Second)
	band.restart()
	if band.readings != 0 || band.mean != 0 || band.deviation != 0 || band.area != 0 || len(band.filled()) != 0 {
		t.Errorf("state left after a restart: %+v", band)
	}
	band.add(0.6)
	if band.mean != 0.6 {
		t.Errorf("mean %v after one reading, want 0.6 without the old process's readings", band.mean)
	}
}

func TestBollingerBandRestoreIgnoresInvalidReadings(t *testing.T) {
	var band bollingerBand
	band.restore(12, []float64{0.5, math.NaN(), -1, math.Inf(1), 1e16, 0.7})
	if want := []float64{0.5, 0, 0, 0, 0, 0.7, 0, 0}; band.readings != 12 || !slices.Equal(band.filled(), want) {
		t.Errorf("%d readings, window %v, want %v", band.readings, band.filled(), want)
	}
}

func TestMeanAndDeviation(t *testing.T) {
	mean, deviation := meanAndDeviation([]float64{0.2, 0.4, 0.4, 0.4, 0.5, 0.5, 0.7, 0.9})
	if math.Abs(mean-0.5) > 1e-9 || math.Abs(deviation-0.2) > 1e-9 { // the squared differences sum to 0.32
		t.Errorf("mean %v, deviation %v; want 0.5, 0.2", mean, deviation)
	}
}

func TestAreaIsIntegratedOverTimeNotSamples(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	u.band.deviation, u.band.mean, u.band.integratedAt = 0.1, 0.3, time.Hour
	u.band.integrate(b.fleet.utilisation, time.Hour+250*ms)
	u.band.integrate(b.fleet.utilisation, time.Hour+500*ms)
	if want := 2 * bandAlpha * 0.1 * 0.5; math.Abs(u.band.area-want) > 1e-9 {
		t.Errorf("area %v, want %v", u.band.area, want)
	}
}
