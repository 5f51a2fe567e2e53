package balancer

import (
	"testing"
	"time"
)

func TestShareAfterPeriod(t *testing.T) {
	for _, c := range []struct {
		name                    string
		factor, area, threshold float64
		want                    float64
	}{
		{"restored by 4 % where the area is under the threshold", 0.5, 0.1, 0.4, 0.52},
		{"restored at the threshold", 0.5, 0.4, 0.4, 0.52},
		{"never over the whole", 0.99, 0, 0.4, 1},
		{"whole", 1, 0, 0.4, 1},
		{"cut by the area's excess", 1, 0.5, 0.45, 0.9},
		{"by a fifth at most", 1, 4, 0.4, 0.8},
		{"from what is left", 0.5, 4, 0.4, 0.4},
		{"never below a tenth", 0.11, 4, 0.4, 0.1},
	} {
		s := share{weight: 1, factor: c.factor, subsetPart: 1}
		s.endPeriod(&bollingerBand{readings: bandWindow, area: c.area}, c.threshold)
		if !near(s.factor, c.want) {
			t.Errorf("%s: %v left, want %v", c.name, s.factor, c.want)
		}
	}
}

func TestShareValue(t *testing.T) {
	for _, c := range []struct {
		share           share
		value, inSubset float64
	}{
		{share{1, 1, 1}, 1, 1},
		{share{4, 0.5, 0.25}, 0.5, 1},
		{share{3, 1, 2}, 6, 6}, // few balancers learn an upstream that warms up
	} {
		if c.share.value() != c.value || c.share.uncut() != c.inSubset {
			t.Errorf("%+v: %v, uncut %v; want %v, %v", c.share, c.share.value(), c.share.uncut(), c.value, c.inSubset)
		}
	}
}

// What an upstream gets is less for saturation, for errors and while it warms up, each by its factor.
func TestTrafficShareIsTheProductOfAllFactors(t *testing.T) {
	b, _ := start(t, settings(), fleet(2))
	upstream := b.upstreams[0]
	upstream.share = share{weight: 2, factor: 0.5, subsetPart: 1}
	upstream.outlier.errorRate = 0.625 // half of what is over the tolerance: a sixteenth of the share is left
	upstream.slowStart = slowStart{warming: true, startedAt: time.Hour}
	rules := b.settings.Rules
	now := time.Hour + rules.SlowStartDuration/2
	if got, want := b.trafficShare(upstream, now), 2*0.5*0.0625*0.65; !near(got, want) { // 0.3 of capacity at first
		t.Errorf("share %v, want %v", got, want)
	}
}

func TestPinnedServerLosesShareByDegreesAndRegainsIt(t *testing.T) {
	b, _ := start(t, settings(), fleet(3))
	step := func(n int) {
		for range n {
			for _, u := range b.upstreams {
				u.band.readings, u.band.mean = bandWindow, 0.3
			}
			b.upstreams[0].band.mean = 1 // flat readings at full load: no deviation at all
			b.endPeriod(b.periodStartedAt + bandPeriod)
		}
	}
	step(2)
	first := b.upstreams[0].share.factor
	step(40)
	if first >= 1 || first < minCutFactor*minCutFactor ||
		b.upstreams[0].share.factor != minShareFactor || b.upstreams[1].share.factor != 1 {
		t.Errorf("shares left: %v at first, then %v and %v", first, b.upstreams[0].share.factor, b.upstreams[1].share.factor)
	}
	for range 80 {
		b.upstreams[0].band.mean = 0.3
		b.endPeriod(b.periodStartedAt + bandPeriod)
	}
	if b.upstreams[0].share.factor != 1 {
		t.Errorf("share left after rest: %v, want 1", b.upstreams[0].share.factor)
	}
}

func TestFleetWideRiseCutsNobody(t *testing.T) {
	b, _ := start(t, settings(), fleet(4))
	for range 10 {
		for _, u := range b.upstreams {
			u.band.readings, u.band.mean, u.band.deviation = bandWindow, 0.95, 0.2
		}
		b.endPeriod(b.periodStartedAt + bandPeriod)
	}
	for _, u := range b.upstreams {
		if u.share.factor != 1 {
			t.Errorf("upstream %d is left %v of its share", u.ID, u.share.factor)
		}
	}
}

// Where readings vary much by themselves the areas of all do, and a quarter of the fleet was cut in turn for nothing.
func TestAreasThatVaryByThemselvesCutNobody(t *testing.T) {
	for _, c := range []struct {
		name  string
		areas []float64
		cut   int
	}{
		{"they vary by a third", []float64{0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4, 1.5}, 0},
		{"they do and one is far out", []float64{0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4, 2.6}, 1},
		{"all are alike but one", []float64{1, 1, 1, 1, 1, 1, 1, 1.6}, 1},
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
			t.Errorf("%s: %d cut, want %d", c.name, cut, c.cut)
		}
	}
}
