package balancer

import (
	"math"
	"testing"
	"time"
)

func TestRepeatedReportAddsNoReading(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	for i, util := range []float64{0.5, 0.5, 0.6, 0.6, 0.5} {
		b.recordLoad(u, Load{Fields: HasUtilisation, Utilisation: util}, true, 0, time.Hour+time.Duration(i)*ms)
	}
	if u.band.readings != 3 {
		t.Errorf("%d readings, want 3", u.band.readings)
	}
}

// Without a reported utilisation, a reading is estimated from the requests in flight and queued or, on sites without
// load reports, from the latency.
func TestReadingFromLoadReport(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports ReportSource
		load    Load
		ratio   float64 // latency in multiples of the latency objective
		want    float64
	}{
		{"utilisation", ReportAnswers, Load{Fields: HasUtilisation | HasQueue, Utilisation: 0.7, Queue: 9}, 0.2, 0.7},
		{"requests in flight", ReportAnswers, Load{Fields: HasInFlight, InFlight: 3}, 0.2, 0.75},
		{"requests queued", ReportAnswers, Load{Fields: HasQueue, Queue: 1}, 0.2, 0.5},
		{"no load reports: latency in multiples of the objective", ReportNone, Load{}, 0.2, 0.2},
	} {
		s := settings()
		s.Reports = c.reports
		b, _ := start(t, s, fleet(1))
		if b.recordLoad(b.upstreams[0], c.load, true, c.ratio, time.Hour); math.Abs(b.upstreams[0].band.mean-c.want) > 1e-9 {
			t.Errorf("%s: reading %v, want %v", c.name, b.upstreams[0].band.mean, c.want)
		}
	}
}

// The utilisation of upstreams without load reports is estimated from their latency: the share of a slow one is cut,
// and the others keep theirs. Once an upstream reports, its reports are used.
func TestUpstreamWithoutReportsIsCutByItsLatency(t *testing.T) {
	s := settings()
	s.Reports = ReportAnswers
	b, h := start(t, s, fleet(4))
	now, id := time.Hour, RequestID(0)
	var sent UpstreamID
	h.hook = func(kind string, _ RequestID, up UpstreamID, _ time.Duration, _ uint64) {
		if kind == "send" {
			sent = up
		}
	}
	run := func(length time.Duration, load Load) {
		for end := now + length; now < end; now += 5 * ms {
			id++
			b.RequestArrived(now, Request{ID: id, Class: "write", Budget: time.Second})
			latency := 10 * ms
			if sent == 1 && id > 400 {
				latency = 45 * ms
			}
			b.AttemptFinished(now+latency, AttemptResult{ID: id, Upstream: sent, Latency: latency, Status: OK, Load: load})
			now += latency
			b.TimerFired(now, tickToken)
		}
	}
	run(16*time.Second, Load{})
	views, _ := b.View(now)
	for i, v := range views {
		if !v.Estimated || (v.ShareFactor < 0.5) != (i == 0) || (v.Mean > 0.6) != (i == 0) {
			t.Errorf("upstream %d: %+v", v.ID, v)
		}
	}
	run(time.Second, Load{Fields: HasUtilisation, Utilisation: 0.3})
	if views, _ = b.View(now); views[1].Estimated {
		t.Error("the utilisation of an upstream that reports it is estimated")
	}
}

func TestLoadUtilisation(t *testing.T) {
	for _, c := range []struct {
		name string
		load Load
		want float64
	}{
		{
			"utilisation takes precedence",
			Load{Fields: HasUtilisation | HasInFlight | HasQueue, Utilisation: 0.7, InFlight: 9},
			0.7,
		},
		{"three in flight", Load{Fields: HasInFlight, InFlight: 3}, 0.75},
		{"one in flight and two queued", Load{Fields: HasInFlight | HasQueue, InFlight: 1, Queue: 2}, 0.75},
		{"nothing in flight", Load{Fields: HasInFlight}, 0},
		{"other values only", Load{Fields: HasRate | HasErrors, Rate: 100, Errors: 3}, 0},
		{"no values", Load{}, 0},
	} {
		if got := c.load.utilisation(); !near(got, c.want) {
			t.Errorf("%s: utilisation %v, want %v", c.name, got, c.want)
		}
	}
}

// Utilisation is estimated only where answers carry load reports, and after 64 answers in a row without one.
func TestIsEstimated(t *testing.T) {
	for _, c := range []struct {
		reports    ReportSource
		unreported int
		estimated  bool
	}{
		{ReportAnswers, 63, false},
		{ReportAnswers, 64, true},
		{ReportNone, 1000, false},
		{ReportHealthChecks, 1000, false},
	} {
		b := &Balancer{settings: Settings{Reports: c.reports}}
		if b.isEstimated(&upstreamState{unreportedAnswers: c.unreported}) != c.estimated {
			t.Errorf("%+v: estimated %v", c, !c.estimated)
		}
	}
}

// At a utilisation under 0.4 the upstream has room for twice the load, so the limit may double within the period.
func TestLowReadingsLetTheLimitDouble(t *testing.T) {
	for _, c := range []struct {
		name      string
		readings  []float64
		periodMax float64
	}{
		{"a low reading", []float64{0.39}, 10},
		{"a high reading", []float64{0.41}, 4},
		{"a low reading after high ones", []float64{0.9, 0.9, 0.1}, 4},
		{"a high reading after low ones", []float64{0.1, 0.1, 0.5}, 4},
	} {
		b, _ := start(t, settings(), fleet(1))
		upstream := b.upstreams[0]
		last := len(c.readings) - 1
		for _, reading := range c.readings[:last] {
			b.addReading(upstream, reading, time.Hour)
		}
		upstream.limit = concurrencyLimit{allowed: 5, periodMax: 4}
		b.addReading(upstream, c.readings[last], time.Hour)
		if upstream.limit.periodMax != c.periodMax {
			t.Errorf("%s: bound %v, want %v", c.name, upstream.limit.periodMax, c.periodMax)
		}
	}
}
