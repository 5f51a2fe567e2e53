package balancer

import "testing"

func TestUpdateMean(t *testing.T) {
	for _, c := range []struct{ mean, sample, weight, want float64 }{
		{0, 80, 0.1, 80}, // the first sample sets the mean
		{100, 200, 0.1, 110},
		{100, 0, 0.25, 75},
		{100, 50, 1, 50},
	} {
		mean := c.mean
		if updateMean(&mean, c.sample, c.weight); !near(mean, c.want) {
			t.Errorf("%+v: got mean %v", c, mean)
		}
	}
}

func TestLatencyObserve(t *testing.T) {
	type sample struct{ latency, work, weight float64 }
	for _, c := range []struct {
		name    string
		samples []sample
		want    latencyStats
	}{
		{
			"the first answer sets all statistics, the deviation to its latency",
			[]sample{{100, 1, 0.1}},
			latencyStats{mean: 100, deviation: 100, work: 1, best: 100, smoothed: 100, unloaded: 100},
		},
		{
			"a faster answer: best follows at once, smoothed by a tenth",
			[]sample{{100, 1, 1}, {50, 1, 1}},
			latencyStats{mean: 50, deviation: 50, work: 1, best: 50, smoothed: 95, unloaded: 95},
		},
		{
			"a slower answer: best and unloaded drift up by 0.005 of the difference",
			[]sample{{100, 1, 1}, {300, 1, 1}},
			latencyStats{mean: 300, deviation: 200, work: 1, best: 101, smoothed: 120, unloaded: 100.1},
		},
		{
			"twice the work in twice the time is the same per unit of work",
			[]sample{{100, 1, 1}, {200, 2, 1}},
			latencyStats{mean: 200, deviation: 100, work: 2, best: 100, smoothed: 100, unloaded: 100},
		},
		{
			"small requests count as at least half a unit of work",
			[]sample{{10, 0.01, 1}},
			latencyStats{mean: 10, deviation: 10, work: 0.5, best: 20, smoothed: 20, unloaded: 20},
		},
	} {
		var got latencyStats
		var perWork float64
		for _, s := range c.samples {
			perWork = got.observe(s.latency, s.work, s.weight)
		}
		same := near(got.mean, c.want.mean) && near(got.deviation, c.want.deviation) && near(got.work, c.want.work) &&
			near(got.best, c.want.best) && near(got.smoothed, c.want.smoothed) && near(got.unloaded, c.want.unloaded)
		if !same || !near(perWork, c.want.mean/c.want.work) {
			t.Errorf("%s: %+v, %v per unit of work; want %+v", c.name, got, perWork, c.want)
		}
	}
}

// The estimate is the part of the latency that is spent in a queue. An upstream that was slow from its first answer on
// is compared with the fleet.
func TestLatencyEstimatesUtilisation(t *testing.T) {
	for _, c := range []struct {
		name               string
		smoothed, unloaded float64
		fleet              float64
		want               float64
	}{
		{"as fast as without load", 50, 50, 0, 0},
		{"twice as slow", 100, 50, 0, 0.5},
		{"four times as slow", 200, 50, 0, 0.75},
		{"always slow, in a faster fleet", 100, 100, 25, 0.75},
		{"unloaded latency under the fleet's", 100, 50, 80, 0.5},
		{"faster than ever before", 40, 50, 0, 0},
	} {
		l := latencyStats{smoothed: c.smoothed, unloaded: c.unloaded}
		if got := l.estimateUtilisation(&fleetStats{unloadedLatency: c.fleet}); !near(got, c.want) {
			t.Errorf("%s: utilisation %v, want %v", c.name, got, c.want)
		}
	}
}

func TestLatencyHereOrInFleet(t *testing.T) {
	for _, c := range []struct{ own, fleet, want float64 }{{50, 0, 50}, {50, 80, 50}, {50, 20, 20}} {
		l := latencyStats{best: c.own, unloaded: c.own}
		fleet := fleetStats{bestLatency: c.fleet, unloadedLatency: c.fleet}
		if l.bestHereOrInFleet(&fleet) != c.want || l.unloadedHereOrInFleet(&fleet) != c.want {
			t.Errorf("%+v: best %v, unloaded %v", c, l.bestHereOrInFleet(&fleet), l.unloadedHereOrInFleet(&fleet))
		}
	}
}
