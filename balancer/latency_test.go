package balancer

import "testing"

func TestUpdateMean(t *testing.T) {
	for _, c := range []struct{ mean, sample, weight, want float64 }{
		{0, 80, 0.1, 80}, // the first sets it
		{100, 200, 0.1, 110},
		{100, 0, 0.25, 75},
		{100, 50, 1, 50},
	} {
		mean := c.mean
		if updateMean(&mean, c.sample, c.weight); !near(mean, c.want) {
			t.Errorf("%+v: mean %v", c, mean)
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
			"the first answer sets all; its deviation is as large as the mean",
			[]sample{{100, 1, 0.1}},
			latencyStats{mean: 100, deviation: 100, work: 1, best: 100, smoothed: 100, unloaded: 100},
		},
		{
			"a quick one: the least follows at once, the slow mean by a tenth",
			[]sample{{100, 1, 1}, {50, 1, 1}},
			latencyStats{mean: 50, deviation: 50, work: 1, best: 50, smoothed: 95, unloaded: 95},
		},
		{
			"a slow one: the least is hardly unlearnt",
			[]sample{{100, 1, 1}, {300, 1, 1}},
			latencyStats{mean: 300, deviation: 200, work: 1, best: 101, smoothed: 120, unloaded: 100.1},
		},
		{
			"twice the work in twice the time is the same for a unit",
			[]sample{{100, 1, 1}, {200, 2, 1}},
			latencyStats{mean: 200, deviation: 100, work: 2, best: 100, smoothed: 100, unloaded: 100},
		},
		{
			"small requests have a fixed part of work",
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
			t.Errorf("%s: %+v, %v for a unit of work; want %+v", c.name, got, perWork, c.want)
		}
	}
}

// Half of the latency in a queue is half use. An upstream that was slow from its first answer on is judged by others.
func TestLatencyEstimatesUtilisation(t *testing.T) {
	for _, c := range []struct {
		name               string
		smoothed, unloaded float64
		fleet              float64
		want               float64
	}{
		{"as without load", 50, 50, 0, 0},
		{"twice as slow", 100, 50, 0, 0.5},
		{"four times", 200, 50, 0, 0.75},
		{"never quicker, the fleet is", 100, 100, 25, 0.75},
		{"quicker than the fleet", 100, 50, 80, 0.5},
		{"quicker than ever", 40, 50, 0, 0},
	} {
		l := latencyStats{smoothed: c.smoothed, unloaded: c.unloaded}
		if got := l.estimateUtilisation(&fleetStats{unloadedLatency: c.fleet}); !near(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestLatencyIsAtMostTheFleets(t *testing.T) {
	for _, c := range []struct{ own, fleet, want float64 }{{50, 0, 50}, {50, 80, 50}, {50, 20, 20}} {
		l := latencyStats{best: c.own, unloaded: c.own}
		fleet := fleetStats{bestLatency: c.fleet, unloadedLatency: c.fleet}
		if l.bestHereOrInFleet(&fleet) != c.want || l.unloadedHereOrInFleet(&fleet) != c.want {
			t.Errorf("%+v: %v, %v", c, l.bestHereOrInFleet(&fleet), l.unloadedHereOrInFleet(&fleet))
		}
	}
}
