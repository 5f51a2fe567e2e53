package balancer

import (
	"testing"
	"time"
)

// TestConfigureKeepsState checks that a change of classes and limits keeps readings, shares, concurrency limits and
// open requests, and that invalid settings change nothing.
func TestConfigureKeepsState(t *testing.T) {
	s := settings()
	b, h := start(t, s, fleet(3))
	for _, u := range b.upstreams {
		u.band.readings, u.band.mean, u.band.deviation, u.share.factor, u.limit.allowed = 5, 0.6, 0.1, 0.5, 7
	}
	b.RequestArrived(time.Hour, Request{ID: 1, Class: s.Classes[0].Name, Budget: s.Classes[0].Deadline})
	if h.count("send id=1") != 1 {
		t.Fatal(h.lines)
	}
	invalid := s
	invalid.Rules.SlowStartFloor = 0
	if err := b.Configure(time.Hour, invalid); err == nil {
		t.Error("invalid settings were accepted")
	}
	next := s
	added := Class{Name: "new", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1}
	next.Classes = append([]Class{added}, s.Classes[1:]...)
	next.Limits.MaxAttempts = 1
	if err := b.Configure(time.Hour, next); err != nil {
		t.Fatal(err)
	}
	for _, u := range b.upstreams {
		if u.band.readings != 5 || u.share.factor != 0.5 || u.limit.allowed != 7 || !u.inSubset {
			t.Errorf("upstream %d lost state: %+v", u.ID, u)
		}
	}
	b.RequestArrived(time.Hour, Request{ID: 2, Class: "new", Budget: time.Second})
	b.RequestArrived(time.Hour, Request{ID: 3, Class: s.Classes[0].Name, Budget: time.Second})
	if h.count("send id=2") != 1 || h.count("refuse id=3") != 1 {
		t.Errorf("want the new class served and the removed one rejected: %v", h.lines)
	}
	up := b.requests[1].attempts[0].upstream
	b.AttemptFinished(time.Hour+ms, AttemptResult{ID: 1, Upstream: up.ID, Status: OK, Latency: ms})
	if b.requests[1] != nil {
		t.Error("a request from before Configure was not closed by its answer")
	}
}

// TestUpstreamMaxInFlight checks that Upstream.MaxInFlight holds even if the concurrency limit is higher: it is this
// Balancer's part of the upstream's connections.
func TestUpstreamMaxInFlight(t *testing.T) {
	list := fleet(1)
	list[0].MaxInFlight = 2
	b, h := start(t, settings(), list)
	b.upstreams[0].limit.allowed = 50
	for i := range RequestID(10) {
		b.RequestArrived(time.Hour, Request{ID: i + 1, Class: b.settings.Classes[0].Name, Budget: time.Second})
	}
	if n := h.count("send"); n != 2 {
		t.Errorf("%d attempts in flight, want 2", n)
	}
}

// TestWarmUpShare checks that two Balancers of one owner with a WarmUpShare of a half each send a warming upstream no
// more in total than one Balancer with the whole budget would, and that each sends it some.
func TestWarmUpShare(t *testing.T) {
	sent := func(warmUpShare float64) int {
		list := fleet(2)
		list[1].WarmUpShare = warmUpShare
		b, h := start(t, settings(), list)
		b.beginWarmUp(b.upstreams[1], time.Hour)
		b.fleet.workPerWeight = 100
		for i := range RequestID(500) {
			for _, u := range b.upstreams {
				u.limit.allowed, u.limit.nextSendAt = 1e6, 0
			}
			at, name := time.Hour+time.Duration(i)*ms, b.settings.Classes[0].Name
			b.RequestArrived(at, Request{ID: i + 1, Class: name, Budget: time.Second})
		}
		n := 0
		for _, r := range b.requests {
			if len(r.attempts) > 0 && r.attempts[0].upstream == b.upstreams[1] {
				n++
			}
		}
		if len(h.lines) < 500 {
			t.Fatal("under 500 actions")
		}
		return n
	}
	whole, half := sent(0), sent(0.5)
	if half == 0 || 2*half > whole+2 {
		t.Errorf("%d sent with half of the budget, %d with the whole: want over 0, and at most half of the whole plus 1",
			half, whole)
	}
}

// TestViewShowsBands checks that a view has the bands and shares on which decisions depend.
func TestViewShowsBands(t *testing.T) {
	b, _ := start(t, settings(), fleet(2))
	b.upstreams[0].band = bollingerBand{readings: 8, mean: 0.5, deviation: 0.1}
	b.upstreams[0].share.factor = 0.5
	views, queued := b.View(time.Hour)
	if len(views) != 2 || queued != 0 {
		t.Fatalf("%+v", views)
	}
	v := views[0]
	if v.Upper != 0.5+bandAlpha*0.1 || v.Lower != 0.5-bandAlpha*0.1 ||
		v.Share < 0.33 || v.Share > 0.34 || v.ShareFactor != 0.5 {
		t.Errorf("%+v", v)
	}
}
