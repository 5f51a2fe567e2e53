package balancer

import (
	"testing"
	"time"
)

func TestWorkloadEndPeriod(t *testing.T) {
	for _, c := range []struct{ mean, sent, want float64 }{{0, 10, 1}, {10, 0, 9}, {10, 20, 11}, {0, 0, 0}} {
		w := workload{sent: c.sent, mean: c.mean}
		if w.endPeriod(); !near(w.mean, c.want) || w.sent != 0 {
			t.Errorf("%+v: %+v after the period", c, w)
		}
	}
}

func TestArrivalRateEndPeriod(t *testing.T) {
	for _, c := range []struct {
		name            string
		before, arrived float64
		elapsed         time.Duration
		want            float64
	}{
		{"the first period sets the rate", 0, 20, time.Second, 20},
		{"a later period has a weight of a quarter", 20, 40, time.Second, 25},
		{"a period of two seconds", 20, 80, 2 * time.Second, 25},
		{"a period under a second counts as one second", 20, 40, 100 * ms, 25},
		{"no requests", 20, 0, time.Second, 15},
	} {
		a := arrivalRate{count: c.arrived, perSecond: c.before}
		if a.endPeriod(c.elapsed); !near(a.perSecond, c.want) || a.count != 0 {
			t.Errorf("%s: %+v, want %v requests a second", c.name, a, c.want)
		}
	}
}

func TestCountsAsWarm(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(u *upstreamState)
		counts   bool
		capacity float64
	}{
		{"warm and in the subset", func(*upstreamState) {}, true, 0.7},
		{"not in the subset", func(u *upstreamState) { u.inSubset = false }, false, 0.7},
		{"warming up", func(u *upstreamState) { u.slowStart.warming = true }, false, 0.7},
		{"unresponsive", func(u *upstreamState) { u.outlier.unresponsive = true }, false, 0.7},
		{"without work", func(u *upstreamState) { u.workload.mean = 0 }, false, 0.7},
		{"without utilisation readings", func(u *upstreamState) { u.band.mean = 0 }, true, 1},
		{"nearly idle", func(u *upstreamState) { u.band.mean = 0.1 }, true, 0.5},
		{"utilisation over 1", func(u *upstreamState) { u.band.mean = 1.5 }, true, 1},
	} {
		u := &upstreamState{inSubset: true, band: bollingerBand{mean: 0.7}, workload: workload{mean: 5}}
		c.change(u)
		if u.countsAsWarm() != c.counts || u.usedCapacity() != c.capacity {
			t.Errorf("%s: counts %v, used capacity %v", c.name, u.countsAsWarm(), u.usedCapacity())
		}
	}
}
