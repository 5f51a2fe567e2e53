package balancer

import (
	"strings"
	"testing"
	"time"
)

// warmUpRules let an upstream start at 0.3 of its capacity and be warm after 10 s. The overload window is 2 s.
var warmUpRules = Rules{
	SlowStartFloor: 0.3, SlowStartDuration: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
}

func TestSlowStartCapacity(t *testing.T) {
	for _, c := range []struct {
		name     string
		warming  bool
		age      time.Duration
		capacity float64
		after    bool // it is still warming up
	}{
		{"at its start", true, 0, 0.3, true},
		{"listed before its start", true, -time.Second, 0.3, true},
		{"halfway", true, 5 * time.Second, 0.65, true},
		{"warm", true, 10 * time.Second, 1, false},
		{"not warming up", false, 0, 1, false},
	} {
		s := slowStart{warming: c.warming, startedAt: time.Hour}
		if got := s.capacity(&warmUpRules, time.Hour+c.age); !near(got, c.capacity) || s.warming != c.after {
			t.Errorf("%s: capacity %v, warming up: %v", c.name, got, s.warming)
		}
	}
}

func TestSlowStartBegin(t *testing.T) {
	for _, c := range []struct{ countedAt, startedAt, want time.Duration }{
		{time.Hour, 2 * time.Hour, 2 * time.Hour}, // work sent to the previous process does not count
		{2 * time.Hour, time.Hour, 2 * time.Hour},
	} {
		s := slowStart{sentWorkAt: c.countedAt}
		s.begin(c.startedAt)
		if !s.warming || s.startedAt != c.startedAt || s.sentWorkAt != c.want {
			t.Errorf("%+v: %+v", c, s)
		}
	}
}

// A budget of eight requests per window of 2 s: four at once, and two a second after them.
func TestSlowStartFits(t *testing.T) {
	for _, c := range []struct {
		name  string
		sent  float64
		since time.Duration
		work  float64
		fits  bool
		after float64 // work counted afterwards
	}{
		{"nothing sent", 0, 0, 1, true, 0},
		{"three sent", 3, 0, 1, true, 3},
		{"four sent", 4, 0, 1, false, 4},
		{"half a second later", 4, 500 * ms, 1, true, 3},
		{"a small request counts as one", 3.5, 0, 0.01, false, 3.5},
		{"a large one counts as its work", 1, 0, 3, true, 1},
		{"a larger one does not fit", 1, 0, 3.1, false, 1},
		{"at most half of the budget stays counted", 100, 0, 1, false, 4},
	} {
		s := slowStart{sentWork: c.sent, sentWorkAt: time.Hour}
		fits := s.fits(c.work, 8, 2*time.Second, time.Hour+c.since)
		if fits != c.fits || !near(s.sentWork, c.after) {
			t.Errorf("%s: fits %v, %v counted; want %v, %v", c.name, fits, s.sentWork, c.fits, c.after)
		}
	}
}

func TestSlowStartRecordSent(t *testing.T) {
	var s slowStart
	s.recordSent(0.2, time.Second)
	s.recordSent(3, 2*time.Second)
	if s.sentWork != 4 || s.lastSentAt != 2*time.Second {
		t.Errorf("%+v", s)
	}
}

// A budget of one request per window of 2 s gives half a slot a second once the upstream is warm, and 0.3 of that at
// its start.
func TestWarmUpSlotsFollowCapacity(t *testing.T) {
	for _, c := range []struct {
		budget, phase float64
		age           time.Duration
		slots         float64
	}{
		{1, 0, 0, 0},
		{1, 0.25, 0, 0.25},
		{1, 0, -time.Second, 0},
		{1, 0, 10 * time.Second, 3.25}, // 0.65 of 5
		{0.1, 0.5, 10 * time.Second, 0.825},
		{1, 0, time.Second, 0.1675}, // half of 0.335
	} {
		slots := warmUpSlots{budget: c.budget, phase: c.phase}
		if got := slots.elapsedSlots(c.age, &warmUpRules); !near(got, c.slots) {
			t.Errorf("%+v: %v slots", c, got)
		}
	}
}

// The second slot begins 4.40 s after the upstream's start, the third 7.23 s after it. A fifth of each slot is open.
func TestSlowStartHasSlot(t *testing.T) {
	slots := &warmUpSlots{budget: 1, openFraction: 0.2}
	for _, c := range []struct {
		name             string
		age, sent, start time.Duration // time, last send and start of the balancer, all since the upstream's start
		has              bool
	}{
		{"the first slot", 500 * ms, -time.Hour, -time.Hour, true},
		{"the first slot, a balancer that started after the upstream", 500 * ms, -time.Hour, 100 * ms, false},
		{"after the open part of a slot", 2 * time.Second, -time.Hour, -time.Hour, false},
		{"after the open part of the second slot", 5100 * ms, 500 * ms, -time.Hour, false},
		{"before the second slot", 4 * time.Second, 0, -time.Hour, false},
		{"the second slot", 4500 * ms, 500 * ms, -time.Hour, true},
		{"the second slot, a balancer that started in the first", 4500 * ms, -time.Hour, 500 * ms, true},
		{"the second slot, sent in it", 4600 * ms, 4500 * ms, -time.Hour, false},
		{"the third slot, sent in the second", 7300 * ms, 4500 * ms, -time.Hour, true},
	} {
		s := slowStart{warming: true, startedAt: time.Hour, lastSentAt: time.Hour + c.sent}
		if s.hasSlot(slots, &warmUpRules, time.Hour+c.start, time.Hour+c.age) != c.has {
			t.Errorf("%s: has a slot: %v", c.name, !c.has)
		}
	}
}

// A warm upstream of weight 1 carries 10 requests a second. The budget is 0.6 of three times that rate, over 2 s.
func TestWarmUpBudget(t *testing.T) {
	for _, c := range []struct {
		name                      string
		warmWork                  float64
		weight, part, warmUpShare float64
		latency                   time.Duration
		initialLimit, budget      float64
	}{
		{"a whole upstream", 10, 1, 1, 0, 50 * ms, 1.5, 36},
		{"twice the weight, half of it in the subset", 10, 2, 0.5, 0, 50 * ms, 1.5, 36},
		{"a warm-up share of a quarter", 10, 1, 1, 0.25, 50 * ms, 1.5, 9},
		{"none is warm: one request at a time, with the margin applied twice", 0, 1, 1, 0, 50 * ms, 3, 43.2},
		{"none is warm, half of it for this balancer", 0, 1, 1, 0, 50 * ms, 1.5, 21.6},
		{"none is warm: the weight does not count", 0, 4, 1, 0, 50 * ms, 3, 43.2},
	} {
		b, _ := start(t, settings(), fleet(1))
		b.settings.Rules = warmUpRules
		b.fleet.workPerWeight = c.warmWork
		b.latency = float64(c.latency)
		b.limits.initial = c.initialLimit
		upstream := b.upstreams[0]
		upstream.share = share{weight: c.weight, factor: 1, subsetPart: c.part}
		upstream.WarmUpShare = c.warmUpShare
		if got := b.warmUpBudget(upstream); !near(got, c.budget) {
			t.Errorf("%s: %v, want %v", c.name, got, c.budget)
		}
	}
}

// While the subset has healthy upstreams but the work that they carry is unknown, a warming upstream gets no requests.
func TestNoWarmUpBudgetWhileWarmWorkIsUnknown(t *testing.T) {
	for _, c := range []struct {
		warmWork   float64
		hasHealthy bool
		fits       bool
	}{{0, true, false}, {0, false, true}, {10, true, true}} {
		b, _ := start(t, settings(), fleet(1))
		upstream := b.upstreams[0]
		b.beginWarmUp(upstream, time.Hour)
		b.fleet.workPerWeight, b.subset.hasHealthy = c.warmWork, c.hasHealthy
		if b.hasWarmUpBudget(upstream, &request{work: 1}, time.Hour+time.Second) != c.fits {
			t.Errorf("%+v: a request fits: %v", c, !c.fits)
		}
	}
}

func TestBeginWarmUpDiscardsOldStatistics(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	upstream := b.upstreams[0]
	upstream.latency = latencyStats{1, 2, 3, 4, 5, 6}
	upstream.band = bollingerBand{readings: 9, mean: 0.5, deviation: 0.1, area: 3}
	upstream.outlier = outlierDetector{answers: 3, errorRate: 0.5}
	upstream.limit.allowed, upstream.unreportedAnswers = 99, 70
	b.beginWarmUp(upstream, time.Hour)
	switch {
	case !upstream.slowStart.warming || upstream.slowStart.startedAt != time.Hour:
		t.Errorf("not warming up: %+v", upstream.slowStart)
	case upstream.latency != latencyStats{}:
		t.Errorf("latency kept: %+v", upstream.latency)
	case upstream.band.readings != 0 || upstream.band.area != 0 || upstream.unreportedAnswers != 0:
		t.Errorf("readings kept: %+v", upstream.band)
	case upstream.outlier.answers != 0 || upstream.outlier.errorRate != 0:
		t.Errorf("errors kept: %+v", upstream.outlier)
	case upstream.limit.allowed != b.limits.initial:
		t.Errorf("limit %v, want %v", upstream.limit.allowed, b.limits.initial)
	}
}

// Many requests with small cost hints once overloaded a warming upstream.
func TestWarmUpBudgetLimitsSmallRequests(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	now := time.Hour
	for i := range 4000 { // until the work of warm upstreams is known
		now += 5 * ms
		serve(t, b, now, RequestID(i+1))
		if i%4 == 0 {
			b.TimerFired(now, tickToken)
		}
	}
	warming := Upstream{ID: 9, Zone: "near", Weight: 1, StartedAt: now}
	b.EndpointsUpdated(now, ListDelta, []Upstream{warming})
	before := h.count("send")
	for i := range 300 { // one overload window
		now += 5 * ms
		id := RequestID(10000 + i)
		b.RequestArrived(now, Request{ID: id, Class: "write", Budget: time.Second, Cost: ms})
		if r := b.requests[id]; r != nil && r.inFlight == 1 {
			answerIfSent(b, now, id, 20*ms)
		}
	}
	toWarming := 0
	for _, l := range h.lines {
		if strings.Contains(l, " up=9 ") {
			toWarming++
		}
	}
	// A warm upstream carries at most 75 in the window.
	most := 40 // 75 × warmUpBudgetPart × OverloadMultiple (3) × part of the capacity reached (0.45)
	if toWarming == 0 || toWarming > most || h.count("send")-before < 250 {
		t.Errorf("a warming upstream got %d of %d sends, want 1 to %d", toWarming, h.count("send")-before, most)
	}
}

// With hundreds of balancers, one balancer's part of a warming upstream's budget is under one request. Without slots,
// none sent anything until the upstream was warm, and then all sent their full share at once.
func TestManyBalancersSendWithinWarmUpBudget(t *testing.T) {
	const balancers, window = 200, 1500 * ms
	s, sent := settings(), 0
	s.Balancers, s.Rules.OverloadWindow = balancers, window
	for s.Rank = range balancers {
		h := &recorder{}
		b, err := New(s, uint64(s.Rank), time.Hour, h)
		if err != nil {
			t.Fatal(err)
		}
		list := fleet(3)
		list[2].StartedAt = time.Hour
		b.EndpointsUpdated(time.Hour, ListCached, list)
		b.fleet.workPerWeight = 0.2 // requests a second that a warm upstream takes from this balancer
		for i := range 150 {
			for _, u := range b.upstreams[:2] {
				u.limit.nextSendAt = 2 * time.Hour // only the warming upstream may take requests
			}
			now := time.Hour + time.Duration(i)*10*ms
			b.RequestArrived(now, Request{ID: RequestID(i + 1), Class: "read", Budget: time.Second})
			if r := b.requests[RequestID(i+1)]; r != nil && r.inFlight > 0 {
				b.AttemptFinished(now, AttemptResult{ID: r.ID, Upstream: 3, Latency: 5 * ms, Status: OK, Closed: true})
			}
		}
		sent += h.count("send")
	}
	// The budget is 0.2 × balancers × OverloadMultiple (3) × part of the capacity reached (0.4) × window.
	if most := 0.2 * balancers * 3 * 0.4 * window.Seconds(); sent == 0 || float64(sent) > most {
		t.Errorf("%d sent to a warming upstream, want 1 to %v", sent, most)
	}
}
