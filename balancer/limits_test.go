package balancer

import (
	"math"
	"testing"
	"time"
)

func TestCrowdedUpstreamRests(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u, now := b.upstreams[0], time.Hour
	answer := func(id RequestID, lat time.Duration) {
		now += time.Second
		b.RequestArrived(now, Request{ID: id, Class: "write", Budget: time.Second})
		if r := b.requests[id]; r != nil && r.inFlight == 1 {
			now += lat
			b.AttemptFinished(now, AttemptResult{ID: id, Upstream: u.ID, Latency: lat, Status: OK, Closed: true})
		}
	}
	for i := range 30 {
		answer(RequestID(i+1), 80*ms)
	}
	healthy := u.limit.allowed
	for i := range 20 {
		answer(RequestID(i+100), 290*ms)
	}
	if u.limit.allowed > healthy/4 {
		t.Errorf("limit %v after late answers, %v before", u.limit.allowed, healthy)
	}
	u.limit.nextSendAt = now
	answer(500, 80*ms)
	if u.limit.allowed < b.limits.initial {
		t.Error("the limit does not come back with a good answer")
	}
}

// With many balancers the trickle of all together once kept a choked server from the rest it needs.
func TestMinimumLimitIsATotalOverAllBalancers(t *testing.T) {
	for _, n := range []int{2, 24} {
		s := settings()
		s.Balancers = n
		b, _ := start(t, s, fleet(1))
		for i := range 60 {
			b.cutLimit(b.upstreams[0], time.Hour+time.Duration(i)*time.Second, limitCutFactor)
		}
		if total := b.upstreams[0].limit.allowed * float64(n); math.Abs(total-minLimitTotal) > 1e-9 {
			t.Errorf("%d balancers: %v attempts over all, want %v", n, total, minLimitTotal)
		}
	}
}

// A balancer that started while a server was choked once took its slow answers for usual.
func TestUpstreamCrowdedFromItsFirstAnswerIsComparedWithTheFleet(t *testing.T) {
	b, _ := start(t, settings(), fleet(8))
	for _, u := range b.upstreams {
		u.band.readings, u.latency.best, u.latency.unloaded = 1, float64(60*ms), float64(60*ms)
	}
	u := b.upstreams[3]
	u.latency.best, u.latency.unloaded = 0, 0
	b.endPeriod(time.Hour + bandPeriod)
	answerAfter(b, u, 200*ms, time.Hour+2*bandPeriod)
	if u.limit.allowed >= b.limits.initial {
		t.Errorf("limit %v after an answer three times as slow as the fleet's least", u.limit.allowed)
	}
}

// Balancers that began in overload once let limits grow at servers that were busy already.
func TestLimitDoesNotGrowAtFullUtilisation(t *testing.T) {
	for _, c := range []struct {
		use   float64
		grows bool
	}{{0.5, true}, {0.97, false}} {
		b, _ := start(t, settings(), fleet(1))
		u := b.upstreams[0]
		u.band.mean, u.band.readings, u.latency.best, b.queue.lastFullAt = c.use, bandWindow, float64(50*ms), time.Hour
		before := u.limit.allowed
		answerAfter(b, u, 50*ms, time.Hour)
		if (u.limit.allowed > before) != c.grows {
			t.Errorf("use %v: limit %v, then %v", c.use, before, u.limit.allowed)
		}
	}
}

// One balancer of four was left for ten seconds, and rejected most of its requests beside idle servers: live
// weights rise with idleness, and a server of weight 3 was judged against a third of the fleet's latency.
func TestIdleUpstreamOfHighWeightIsNotTakenForCrowded(t *testing.T) {
	b, _ := start(t, settings(), fleet(4))
	for _, u := range b.upstreams {
		u.band.mean, u.band.readings = 0.2, bandWindow
		u.latency.best, u.latency.work, u.latency.mean = float64(50*ms), 1, float64(50*ms)
	}
	b.endPeriod(time.Hour)
	u := b.upstreams[0]
	u.share.weight, u.limit.allowed, u.inFlight, b.queue.lastFullAt = 3, 2, make([]*attempt, 2), time.Hour
	answerAfter(b, u, 55*ms, time.Hour)
	if u.limit.allowed <= 2 {
		t.Errorf("limit %v, want more than 2", u.limit.allowed)
	}
}

// Where many balancers see few answers each, a server whose latency merely varies was cut again and again.
func TestVaryingLatencyIsNotCrowding(t *testing.T) {
	set := settings()
	set.Balancers = 8
	b, _ := start(t, set, fleet(4))
	u := b.upstreams[0]
	for i := range 30 {
		lat := []time.Duration{190, 60, 60, 60}[i%4] * ms
		now := 2*time.Hour + time.Duration(i)*time.Second
		answerAfter(b, u, lat, now)
		if i > 8 && u.limit.allowed < b.limits.initial {
			t.Fatalf("answer %d after %v: limit %v, want %v", i, lat, u.limit.allowed, b.limits.initial)
		}
	}
}

// Bounds once doubled each round trip: many balancers choked a fleet before the first reading told of full use.
func TestLimitAtMostDoublesBetweenPeriods(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	u.latency.best, u.inFlight = float64(20*ms), make([]*attempt, 100)
	answers := func(now time.Duration) {
		for range 50 {
			b.queue.lastFullAt = now
			answerAfter(b, u, 20*ms, now)
		}
	}
	answers(time.Hour)
	if u.limit.allowed != initialLimitTotal {
		t.Errorf("limit %v before the first period has passed, want %v", u.limit.allowed, initialLimitTotal)
	}
	b.endPeriod(time.Hour + bandPeriod)
	answers(time.Hour + bandPeriod)
	if u.limit.allowed != 2*initialLimitTotal {
		t.Errorf("limit %v in the next period, want %v", u.limit.allowed, 2*initialLimitTotal)
	}
}

// Answers in a small part of the objective leave no doubt, and many such pass in a period: their nodes' limits go up
// with them, or what they could serve was rejected for want of turns. They stop as soon as answers take longer.
func TestIdleUpstreamsLimitGrowsWithinThePeriod(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	u.inFlight = make([]*attempt, 100)
	answers := func(lat time.Duration) {
		for range 50 {
			b.queue.lastFullAt = time.Hour
			answerAfter(b, u, lat, time.Hour)
		}
	}
	answers(ms)
	grown := u.limit.allowed
	if grown < 10*initialLimitTotal {
		t.Errorf("limit %v after 50 answers within 1 ms", grown)
	}
	answers(20 * ms)
	if u.limit.allowed > grown {
		t.Errorf("limit %v went on to %v although answers take longer", grown, u.limit.allowed)
	}
}

// Single late answers are chance where latency varies; each once cut the limit, and turns were rejected.
func TestOnlyCrowdingCutsTheLimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		lat   time.Duration
		calm  time.Duration
		short bool
	}{
		{"usual latency near the aim", 280 * ms, 200 * ms, false},
		{"twice the calm latency, a third of the aim", 100 * ms, 50 * ms, false},
		{"twice the calm latency, most of the aim", 240 * ms, 120 * ms, true},
	} {
		b, _ := start(t, settings(), fleet(1))
		u := b.upstreams[0]
		u.latency.mean, u.latency.work = float64(c.lat), 1
		u.latency.smoothed, u.latency.unloaded = float64(c.calm), float64(c.calm)
		answerAfter(b, u, c.lat, 2*time.Hour)
		if (u.limit.allowed < b.limits.initial) != c.short {
			t.Errorf("%s: limit %v, at first %v", c.name, u.limit.allowed, b.limits.initial)
		}
	}
}

// Where flows are thin an answer near the least latency is rare, and limits stayed where they began while the
// servers idled: a third of the requests was rejected. Readings decide there.
func TestThinFlowGrowsByReadings(t *testing.T) {
	for _, c := range []struct {
		balancers int
		use       float64
		grows     bool
	}{{8, 0.4, true}, {8, 0.9, false}, {2, 0.4, false}} {
		s := settings()
		s.Balancers = c.balancers
		b, _ := start(t, s, fleet(1))
		u := b.upstreams[0]
		u.band.readings, u.band.mean = bandWindow, c.use
		u.latency.best, u.latency.smoothed, u.latency.unloaded = float64(30*ms), float64(60*ms), float64(60*ms)
		b.queue.lastFullAt = time.Hour
		answerAfter(b, u, 60*ms, time.Hour) // twice the least
		if (u.limit.allowed > b.limits.initial) != c.grows {
			t.Errorf("%+v: limit %v, at first %v", c, u.limit.allowed, b.limits.initial)
		}
	}
}

// Single long answers of heavy-tailed work cut the limits of thin flows at half use, and a fifth was rejected.
func TestThinFlowIsNotCutAtSpareUse(t *testing.T) {
	for _, c := range []struct {
		balancers int
		use       float64
		cut       bool
	}{{8, 0.5, false}, {8, 0.95, true}, {2, 0.5, true}} {
		s := settings()
		s.Balancers = c.balancers
		b, _ := start(t, s, fleet(1))
		u := b.upstreams[0]
		u.band.readings, u.band.mean = 1, c.use
		u.latency.mean, u.latency.work = float64(250*ms), 1
		u.latency.smoothed, u.latency.unloaded = float64(60*ms), float64(60*ms)
		answerAfter(b, u, 250*ms, 2*time.Hour)
		if (u.limit.allowed < b.limits.initial) != c.cut {
			t.Errorf("%+v: limit %v, at first %v", c, u.limit.allowed, b.limits.initial)
		}
	}
}

// Requests come by chance. Spaced evenly by its pause, a thin flow left turns unused and rejected at others.
func TestIdleUpstreamHasOneAttemptInHand(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	u.limit.allowed, u.latency.mean = 0.2, float64(100*ms)
	answer := func(sent time.Duration) {
		u.limit.allowed = 0.2
		a := &attempt{request: &request{class: b.classes["write"], work: 1}, upstream: u, sentAt: sent}
		b.recordOutcome(a, AttemptResult{Latency: 100 * ms, Status: Error}, sent+100*ms)
	}
	now := 2 * time.Hour // idle for long
	if answer(now); u.limit.nextSendAt > now+100*ms {
		t.Errorf("after one attempt: free after %v", u.limit.nextSendAt-now)
	}
	if answer(now + 100*ms); u.limit.nextSendAt < now+500*ms {
		t.Errorf("after two in a row: free after %v", u.limit.nextSendAt-now)
	}
}

// A limit of one and a half attempts counts as two: cut to one, upstreams stood at half their use while requests were
// rejected, since the way there and back leaves them without work.
func TestLimitIsRounded(t *testing.T) {
	b, h := start(t, settings(), fleet(2)) // of two balancers each has half of boundStart
	for i := range RequestID(10) {
		b.RequestArrived(time.Hour, Request{ID: i + 1, Class: "write", Budget: time.Second})
	}
	if n := h.count("send"); b.limits.initial != 1.5 || n != 4 {
		t.Errorf("%d sent at a limit of %v for each of two, want 4", n, b.limits.initial)
	}
}

// Where a cap lies under the limit, the limit stays where it was tried: it once went to ten thousand with 16 in use.
func TestLimitStaysAtWhatTheCapAllows(t *testing.T) {
	list := fleet(1)
	list[0].MaxInFlight = 16
	b, _ := start(t, settings(), list)
	u := b.upstreams[0]
	u.inFlight = make([]*attempt, 15)
	for range 10000 {
		b.queue.lastFullAt = time.Hour
		answerAfter(b, u, ms, time.Hour)
	}
	if u.limit.allowed != 16 {
		t.Errorf("limit %v, the cap is 16", u.limit.allowed)
	}
	u.MaxInFlight, u.inFlight = 0, u.inFlight[:3]
	for range 10000 {
		b.queue.lastFullAt = time.Hour
		answerAfter(b, u, ms, time.Hour)
	}
	if u.limit.allowed != 16 {
		t.Errorf("limit %v with four in use", u.limit.allowed)
	}
}

// An objective of 320 ms: an answer within 20 ms leaves no doubt that nothing waited.
func TestGrowthBound(t *testing.T) {
	for _, c := range []struct {
		name        string
		latency     time.Duration
		maxInFlight int
		want        float64
	}{
		{"up to twice the limit in a period", 100 * ms, 0, 6},
		{"no further than the cap", 100 * ms, 4, 4},
		{"the cap lies higher", 100 * ms, 9, 6},
		{"an idle upstream", 19 * ms, 0, math.Inf(1)},
		{"an idle upstream with a cap", 19 * ms, 9, 9},
	} {
		upstream := &upstreamState{Upstream: Upstream{MaxInFlight: c.maxInFlight}, limit: concurrencyLimit{periodMax: 6}}
		got := growthBound(upstream, &answer{latency: float64(c.latency), objective: float64(320 * ms)})
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The least latency for a unit of work is 50 ms, the objective 300 ms; the limit is 4 of at first 3.
func TestAdjustLimit(t *testing.T) {
	const cut, kept, grown = 3.2, 4.0, 4.5
	for _, c := range []struct {
		name   string
		answer answer
		use    float64
		limit  float64
		full   bool // a request had to wait
		want   float64
	}{
		{"as usual", answer{50, 300, 50, false}, 0.5, 4, true, grown},
		{"no request had to wait", answer{50, 300, 50, false}, 0.5, 4, false, kept},
		{"at full use", answer{50, 300, 50, false}, 0.9, 4, true, kept},
		{"a queue begins", answer{80, 300, 79, false}, 0.5, 4, true, kept},
		{"a sparse answer says little of latency", answer{50, 300, 79, true}, 0.5, 4, true, grown},
		{"crowded", answer{160, 300, 160, false}, 0.5, 4, true, cut},
		{"crowded, far under the objective", answer{160, 900, 160, false}, 0.5, 4, true, kept},
		{"a sparse late answer at spare use", answer{160, 300, 160, true}, 0.5, 4, false, kept},
		{"a sparse late answer at full use", answer{160, 300, 160, true}, 0.9, 4, false, cut},
		{"it had been cut: its rest is over", answer{50, 300, 50, false}, 0.5, 0.3, false, 3},
	} {
		b, _ := start(t, settings(), fleet(1))
		b.limits = limitSettings{initial: 3, growth: 1}
		b.queue.lastFullAt = time.Hour
		if !c.full {
			b.queue.lastFullAt = 0
		}
		upstream := b.upstreams[0]
		upstream.limit = concurrencyLimit{allowed: c.limit, periodMax: 100}
		upstream.latency = latencyStats{best: 50, unloaded: 50}
		upstream.band.mean = c.use
		upstream.inFlight = make([]*attempt, 5)
		if b.adjustLimit(upstream, &c.answer, time.Hour); !near(upstream.limit.allowed, c.want) {
			t.Errorf("%s: %v, want %v", c.name, upstream.limit.allowed, c.want)
		}
	}
}
