package balancer

import (
	"math"
	"testing"
	"time"
)

func TestLateAnswersCutTheLimit(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u, now := b.upstreams[0], time.Hour
	answer := func(id RequestID, latency time.Duration) {
		now += time.Second
		b.RequestArrived(now, Request{ID: id, Class: "write", Budget: time.Second})
		if r := b.requests[id]; r != nil && r.inFlight == 1 {
			now += latency
			b.AttemptFinished(now, AttemptResult{ID: id, Upstream: u.ID, Latency: latency, Status: OK, Closed: true})
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
		t.Error("the limit does not recover after an answer in time")
	}
}

// The minimum holds for all balancers together. With a minimum for each, many balancers together sent a congested
// server too much for it to recover.
func TestMinimumLimitIsATotalOverAllBalancers(t *testing.T) {
	for _, n := range []int{2, 24} {
		s := settings()
		s.Balancers = n
		b, _ := start(t, s, fleet(1))
		for i := range 60 {
			b.cutLimit(b.upstreams[0], time.Hour+time.Duration(i)*time.Second, limitCutFactor)
		}
		if total := b.upstreams[0].limit.allowed * float64(n); math.Abs(total-minLimitTotal) > 1e-9 {
			t.Errorf("%d balancers: total limit %v, want %v", n, total, minLimitTotal)
		}
	}
}

// A balancer that started while a server was congested once took its slow answers for its unloaded latency.
func TestUpstreamWithoutLatencyIsComparedWithFleet(t *testing.T) {
	b, _ := start(t, settings(), fleet(8))
	for _, u := range b.upstreams {
		u.band.readings, u.latency.best, u.latency.unloaded = 1, float64(60*ms), float64(60*ms)
	}
	u := b.upstreams[3]
	u.latency.best, u.latency.unloaded = 0, 0
	b.endPeriod(time.Hour + bandPeriod)
	answerAfter(b, u, 200*ms, time.Hour+2*bandPeriod)
	if u.limit.allowed >= b.limits.initial {
		t.Errorf("limit %v after an answer three times as slow as the fleet's least latency", u.limit.allowed)
	}
}

// Balancers that started under overload once raised the limits of servers that were already at full utilisation.
func TestLimitDoesNotGrowAtFullUtilisation(t *testing.T) {
	for _, c := range []struct {
		load  float64
		grows bool
	}{{0.5, true}, {0.97, false}} {
		b, _ := start(t, settings(), fleet(1))
		u := b.upstreams[0]
		u.band.mean, u.band.readings, u.latency.best, b.queue.lastFullAt = c.load, bandWindow, float64(50*ms), time.Hour
		before := u.limit.allowed
		answerAfter(b, u, 50*ms, time.Hour)
		if (u.limit.allowed > before) != c.grows {
			t.Errorf("utilisation %v: limit %v, then %v", c.load, before, u.limit.allowed)
		}
	}
}

// Live weights rise while a server is idle. A server of weight 3 was once compared with a third of the fleet's latency
// and taken for congested: when one balancer of four was left for 10 s, it rejected most requests beside idle servers.
func TestIdleUpstreamOfHighWeightIsNotTakenForCongested(t *testing.T) {
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

// With many balancers, each sees few answers. The limit of a server with varying latency was once cut again and again.
func TestVaryingLatencyIsNotCongestion(t *testing.T) {
	s := settings()
	s.Balancers = 8
	b, _ := start(t, s, fleet(4))
	u := b.upstreams[0]
	for i := range 30 {
		latency := []time.Duration{190, 60, 60, 60}[i%4] * ms
		now := 2*time.Hour + time.Duration(i)*time.Second
		answerAfter(b, u, latency, now)
		if i > 8 && u.limit.allowed < b.limits.initial {
			t.Fatalf("answer %d after %v: limit %v, want %v", i, latency, u.limit.allowed, b.limits.initial)
		}
	}
}

// Limits once doubled with each round trip: many balancers overloaded a fleet before the first reading showed full
// utilisation.
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

// Answers that take a small part of the objective can't have waited in a queue, so they raise the limit within the
// period. Otherwise requests were rejected for lack of slots. The growth stops once answers take longer.
func TestIdleUpstreamsLimitGrowsWithinThePeriod(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	u.inFlight = make([]*attempt, 100)
	answers := func(latency time.Duration) {
		for range 50 {
			b.queue.lastFullAt = time.Hour
			answerAfter(b, u, latency, time.Hour)
		}
	}
	answers(ms)
	grown := u.limit.allowed
	if grown < 10*initialLimitTotal {
		t.Errorf("limit %v after 50 answers within 1 ms", grown)
	}
	answers(20 * ms)
	if u.limit.allowed > grown {
		t.Errorf("limit %v grew to %v although answers take longer", grown, u.limit.allowed)
	}
}

// Where latency varies, single late answers are chance. Each once cut the limit, and requests were rejected.
func TestOnlyCongestionCutsTheLimit(t *testing.T) {
	for _, c := range []struct {
		name            string
		meanLatency     time.Duration
		unloadedLatency time.Duration
		cut             bool
	}{
		{"usual latency near the objective", 280 * ms, 200 * ms, false},
		{"twice the unloaded latency, a third of the objective", 100 * ms, 50 * ms, false},
		{"twice the unloaded latency, most of the objective", 240 * ms, 120 * ms, true},
	} {
		b, _ := start(t, settings(), fleet(1))
		u := b.upstreams[0]
		u.latency.mean, u.latency.work = float64(c.meanLatency), 1
		u.latency.smoothed, u.latency.unloaded = float64(c.unloadedLatency), float64(c.unloadedLatency)
		answerAfter(b, u, c.meanLatency, 2*time.Hour)
		if (u.limit.allowed < b.limits.initial) != c.cut {
			t.Errorf("%s: limit %v, initially %v", c.name, u.limit.allowed, b.limits.initial)
		}
	}
}

// Where answers are sparse, few are near the least latency, so readings decide on growth. Otherwise limits kept their
// initial values while servers were idle, and a third of the requests was rejected.
func TestSparseAnswersGrowLimitByReadings(t *testing.T) {
	for _, c := range []struct {
		balancers   int
		utilisation float64
		grows       bool
	}{{8, 0.4, true}, {8, 0.9, false}, {2, 0.4, false}} {
		s := settings()
		s.Balancers = c.balancers
		b, _ := start(t, s, fleet(1))
		u := b.upstreams[0]
		u.band.readings, u.band.mean = bandWindow, c.utilisation
		u.latency.best, u.latency.smoothed, u.latency.unloaded = float64(30*ms), float64(60*ms), float64(60*ms)
		b.queue.lastFullAt = time.Hour
		answerAfter(b, u, 60*ms, time.Hour) // twice the least latency
		if (u.limit.allowed > b.limits.initial) != c.grows {
			t.Errorf("%+v: limit %v, initially %v", c, u.limit.allowed, b.limits.initial)
		}
	}
}

// Where answers are sparse, single slow ones do not cut the limit below full utilisation. With heavy-tailed work they
// did at a utilisation of one half, and a fifth of the requests was rejected.
func TestSparseAnswersDoNotCutLimitBelowFullUtilisation(t *testing.T) {
	for _, c := range []struct {
		balancers   int
		utilisation float64
		cut         bool
	}{{8, 0.5, false}, {8, 0.95, true}, {2, 0.5, true}} {
		s := settings()
		s.Balancers = c.balancers
		b, _ := start(t, s, fleet(1))
		u := b.upstreams[0]
		u.band.readings, u.band.mean = 1, c.utilisation
		u.latency.mean, u.latency.work = float64(250*ms), 1
		u.latency.smoothed, u.latency.unloaded = float64(60*ms), float64(60*ms)
		answerAfter(b, u, 250*ms, 2*time.Hour)
		if (u.limit.allowed < b.limits.initial) != c.cut {
			t.Errorf("%+v: limit %v, initially %v", c, u.limit.allowed, b.limits.initial)
		}
	}
}

// Requests arrive irregularly. With a pause after every attempt, some slots stayed unused while at other times requests
// were rejected. So an upstream that was idle may get one attempt without the pause.
func TestIdleUpstreamGetsOneAttemptWithoutPause(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	u.limit.allowed, u.latency.mean = 0.2, float64(100*ms)
	answer := func(sendTime time.Duration) {
		u.limit.allowed = 0.2
		a := &attempt{request: &request{class: b.classes["write"], work: 1}, upstream: u, sentAt: sendTime}
		b.recordOutcome(a, AttemptResult{Latency: 100 * ms, Status: Error}, sendTime+100*ms)
	}
	now := 2 * time.Hour // long idle
	if answer(now); u.limit.nextSendAt > now+100*ms {
		t.Errorf("after one attempt: the next after %v", u.limit.nextSendAt-now)
	}
	if answer(now + 100*ms); u.limit.nextSendAt < now+500*ms {
		t.Errorf("after two in a row: the next after %v", u.limit.nextSendAt-now)
	}
}

// A limit of 1.5 attempts counts as two. Rounded down to one, upstreams were at half utilisation while requests were
// rejected, since they have no work during the network round trip.
func TestLimitIsRounded(t *testing.T) {
	b, h := start(t, settings(), fleet(2)) // two balancers, each with half of initialLimitTotal
	for i := range RequestID(10) {
		b.RequestArrived(time.Hour, Request{ID: i + 1, Class: "write", Budget: time.Second})
	}
	if n := h.count("send"); b.limits.initial != 1.5 || n != 4 {
		t.Errorf("%d sent to two upstreams with a limit of %v each, want 4", n, b.limits.initial)
	}
}

// A limit grows neither beyond the cap nor while less than half of it is in use. It once grew to ten thousand with 16
// attempts in flight.
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
		t.Errorf("limit %v with four in flight, want 16", u.limit.allowed)
	}
}

// With an objective of 320 ms, a request answered within 20 ms has not waited in a queue.
func TestGrowthBound(t *testing.T) {
	for _, c := range []struct {
		name        string
		latency     time.Duration
		maxInFlight int
		want        float64
	}{
		{"up to twice the limit in a period", 100 * ms, 0, 6},
		{"at most the cap", 100 * ms, 4, 4},
		{"a higher cap", 100 * ms, 9, 6},
		{"an unqueued answer", 19 * ms, 0, math.Inf(1)},
		{"an unqueued answer and a cap", 19 * ms, 9, 9},
	} {
		upstream := &upstreamState{Upstream: Upstream{MaxInFlight: c.maxInFlight}, limit: concurrencyLimit{periodMax: 6}}
		got := growthBound(upstream, &answer{latency: float64(c.latency), objective: float64(320 * ms)})
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The least latency per unit of work is 50, the initial limit 3. Each answer has a latency, an objective, a latency per
// unit of work, and whether answers are sparse.
func TestAdjustLimit(t *testing.T) {
	const cut, kept, grown = 3.2, 4.0, 4.5
	for _, c := range []struct {
		name        string
		answer      answer
		utilisation float64
		limit       float64
		lacking     bool // a request found no slot
		want        float64
	}{
		{"uncongested", answer{50, 300, 50, false}, 0.5, 4, true, grown},
		{"no request lacked a slot", answer{50, 300, 50, false}, 0.5, 4, false, kept},
		{"at full utilisation", answer{50, 300, 50, false}, 0.9, 4, true, kept},
		{"a queue forms", answer{80, 300, 79, false}, 0.5, 4, true, kept},
		{"sparse: latency does not count", answer{50, 300, 79, true}, 0.5, 4, true, grown},
		{"congested", answer{160, 300, 160, false}, 0.5, 4, true, cut},
		{"congested, far below the objective", answer{160, 900, 160, false}, 0.5, 4, true, kept},
		{"sparse and late, below full utilisation", answer{160, 300, 160, true}, 0.5, 4, false, kept},
		{"sparse and late, at full utilisation", answer{160, 300, 160, true}, 0.9, 4, false, cut},
		{"cut before: back to the initial limit", answer{50, 300, 50, false}, 0.5, 0.3, false, 3},
	} {
		b, _ := start(t, settings(), fleet(1))
		b.limits = limitSettings{initial: 3, growth: 1}
		b.queue.lastFullAt = time.Hour
		if !c.lacking {
			b.queue.lastFullAt = 0
		}
		upstream := b.upstreams[0]
		upstream.limit = concurrencyLimit{allowed: c.limit, periodMax: 100}
		upstream.latency = latencyStats{best: 50, unloaded: 50}
		upstream.band.mean = c.utilisation
		upstream.inFlight = make([]*attempt, 5)
		if b.adjustLimit(upstream, &c.answer, time.Hour); !near(upstream.limit.allowed, c.want) {
			t.Errorf("%s: %v, want %v", c.name, upstream.limit.allowed, c.want)
		}
	}
}
