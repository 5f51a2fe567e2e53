package balancer

import (
	"testing"
	"time"
)

func TestShareEndPeriod(t *testing.T) {
	for _, c := range []struct {
		name                    string
		factor, area, threshold float64
		want                    float64
	}{
		{"restored by 4 % under the threshold", 0.5, 0.1, 0.4, 0.52},
		{"restored at the threshold", 0.5, 0.4, 0.4, 0.52},
		{"restored to the whole share at most", 0.99, 0, 0.4, 1},
		{"a whole share stays whole", 1, 0, 0.4, 1},
		{"cut by the ratio of the threshold to the area", 1, 0.5, 0.45, 0.9},
		{"cut by a fifth at most", 1, 4, 0.4, 0.8},
		{"cut again from the previous factor", 0.5, 4, 0.4, 0.4},
		{"cut to a tenth at least", 0.11, 4, 0.4, 0.1},
	} {
		s := share{weight: 1, factor: c.factor, subsetPart: 1}
		s.endPeriod(&bollingerBand{readings: bandWindow, area: c.area}, c.threshold)
		if !near(s.factor, c.want) {
			t.Errorf("%s: factor %v, want %v", c.name, s.factor, c.want)
		}
	}
}

func TestShareValue(t *testing.T) {
	for _, c := range []struct {
		share        share
		value, uncut float64
	}{
		{share{1, 1, 1}, 1, 1},
		{share{4, 0.5, 0.25}, 0.5, 1},
		{share{3, 1, 2}, 6, 6}, // warming up: few balancers have it in their subsets
	} {
		if c.share.value() != c.value || c.share.uncut() != c.uncut {
			t.Errorf("%+v: value %v, uncut %v; want %v, %v", c.share, c.share.value(), c.share.uncut(), c.value, c.uncut)
		}
	}
}

// Saturation, errors and warming up each reduce the traffic share by a factor of their own.
func TestTrafficShareIsTheProductOfAllFactors(t *testing.T) {
	b, _ := start(t, settings(), fleet(2))
	upstream := b.upstreams[0]
	upstream.share = share{weight: 2, factor: 0.5, subsetPart: 1}
	upstream.outlier.errorRate = 0.625 // halfway from the tolerance to 1: factor 0.5 to the fourth power, 1/16
	upstream.slowStart = slowStart{warming: true, startedAt: time.Hour}
	rules := b.settings.Rules
	now := time.Hour + rules.SlowStartDuration/2
	if got, want := b.trafficShare(upstream, now), 2*0.5*0.0625*0.65; !near(got, want) { // 0.65: from 0.3 to 1, halfway
		t.Errorf("share %v, want %v", got, want)
	}
}

func TestSaturatedUpstreamLosesShareInStepsAndRegainsIt(t *testing.T) {
	b, _ := start(t, settings(), fleet(3))
	step := func(n int) {
		for range n {
			for _, u := range b.upstreams {
				u.band.readings, u.band.mean = bandWindow, 0.3
			}
			b.upstreams[0].band.mean = 1 // at full load readings do not vary: the deviation is 0
			b.endPeriod(b.periodStartedAt + bandPeriod)
		}
	}
	step(2)
	first := b.upstreams[0].share.factor
	step(40)
	if first >= 1 || first < minCutFactor*minCutFactor ||
		b.upstreams[0].share.factor != minShareFactor || b.upstreams[1].share.factor != 1 {
		t.Errorf("share factor %v after two periods, then %v, and %v of an upstream that is not saturated",
			first, b.upstreams[0].share.factor, b.upstreams[1].share.factor)
	}
	for range 80 {
		b.upstreams[0].band.mean = 0.3
		b.endPeriod(b.periodStartedAt + bandPeriod)
	}
	if b.upstreams[0].share.factor != 1 {
		t.Errorf("share factor %v after the saturation, want 1", b.upstreams[0].share.factor)
	}
}

// The saturation threshold rises with the band areas of the whole fleet.
func TestFleetWideSaturationCutsNoShare(t *testing.T) {
	b, _ := start(t, settings(), fleet(4))
	for range 10 {
		for _, u := range b.upstreams {
			u.band.readings, u.band.mean, u.band.deviation = bandWindow, 0.95, 0.2
		}
		b.endPeriod(b.periodStartedAt + bandPeriod)
	}
	for _, u := range b.upstreams {
		if u.share.factor != 1 {
			t.Errorf("upstream %d: share factor %v, want 1", u.ID, u.share.factor)
		}
	}
}

// Where readings vary on all upstreams, so do the areas. Without regard to their spread, a quarter of the fleet lost
// share in turn although no upstream was saturated.
func TestOnlyOutlyingAreasCutShares(t *testing.T) {
	for _, c := range []struct {
		name  string
		areas []float64
		cut   int
	}{
		{"all areas vary by about a third", []float64{0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4, 1.5}, 0},
		{"all areas vary, and one is far larger", []float64{0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4, 2.6}, 1},
		{"all areas are equal but one", []float64{1, 1, 1, 1, 1, 1, 1, 1.6}, 1},
	} {
		b, _ := start(t, settings(), fleet(len(c.areas)))
		for i, u := range b.upstreams {
			u.band.readings, u.band.area, u.band.integratedAt = bandWindow, c.areas[i], 2*time.Hour
		}
		b.endPeriod(2 * time.Hour)
		cut := 0
		for _, u := range b.upstreams {
			if u.share.factor < 1 {
				cut++
			}
		}
		if cut != c.cut {
			t.Errorf("%s: %d shares cut, want %d", c.name, cut, c.cut)
		}
	}
}
