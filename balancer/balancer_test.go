package balancer

import (
	"bytes"
	"errors"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

// start returns a Balancer with a list, and its recorder.
func start(t *testing.T, s Settings, list []Upstream) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{}
	b, err := New(s, 1, time.Hour, h)
	if err != nil {
		t.Fatal(err)
	}
	b.EndpointsUpdated(time.Hour, ListCached, list)
	return b, h
}

// serve sends a request and answers it at once; it returns the upstream that got it.
func serve(t *testing.T, b *Balancer, now time.Duration, id RequestID) *upstreamState {
	t.Helper()
	b.RequestArrived(now, Request{ID: id, Class: "write", Budget: time.Second})
	r := b.requests[id]
	if r == nil || r.inFlight != 1 {
		t.Fatalf("request %d was not sent", id)
	}
	u := r.attempts[0].upstream
	b.AttemptFinished(now, AttemptResult{ID: id, Upstream: u.ID, Latency: 50 * ms, Status: OK, Closed: true})
	return u
}

func TestBands(t *testing.T) {
	mean, dev := meanAndDeviation([]float64{0.2, 0.4, 0.4, 0.4, 0.5, 0.5, 0.7, 0.9})
	if math.Abs(mean-0.5) > 1e-9 || math.Abs(dev-0.2) > 1e-9 { // worked by hand: squares sum to 0.32
		t.Errorf("mean %v, deviation %v; want 0.5, 0.2", mean, dev)
	}
}

func TestAreaIsIntegratedOverTimeNotSamples(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	u.band.deviation, u.band.mean, u.band.integratedAt = 0.1, 0.3, time.Hour
	u.band.integrate(b.fleet.utilisation, time.Hour+250*ms)
	u.band.integrate(b.fleet.utilisation, time.Hour+500*ms)
	if want := 2 * bandAlpha * 0.1 * 0.5; math.Abs(u.band.area-want) > 1e-9 {
		t.Errorf("area %v, want %v", u.band.area, want)
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
	if first >= 1 || first < deepestCut*deepestCut || b.upstreams[0].share.factor != minShareFactor || b.upstreams[1].share.factor != 1 {
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

func TestRepeatedReportIsNoReading(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	for i, util := range []float64{0.5, 0.5, 0.6, 0.6, 0.5} {
		b.recordLoad(u, Load{Fields: HasUtil, Util: util}, true, 0, time.Hour+time.Duration(i)*ms)
	}
	if u.band.readings != 3 {
		t.Errorf("%d readings, want 3", u.band.readings)
	}
}

func TestStandInReadings(t *testing.T) {
	for _, c := range []struct {
		name string
		via  ReportVia
		load Load
		late float64
		want float64
	}{
		{"utilisation", ReportAnswers, Load{Fields: HasUtil | HasQueue, Util: 0.7, Queue: 9}, 0.2, 0.7},
		{"held", ReportAnswers, Load{Fields: HasInflight, Inflight: 3}, 0.2, 0.75},
		{"waiting", ReportAnswers, Load{Fields: HasQueue, Queue: 1}, 0.2, 0.5},
		{"no reports: latency against the aim", ReportNone, Load{}, 0.2, 0.2},
	} {
		s := settings()
		s.Reports = c.via
		b, _ := start(t, s, fleet(1))
		if b.recordLoad(b.upstreams[0], c.load, true, c.late, time.Hour); math.Abs(b.upstreams[0].band.mean-c.want) > 1e-9 {
			t.Errorf("%s: reading %v, want %v", c.name, b.upstreams[0].band.mean, c.want)
		}
	}
}

// The paper's example: an even split turns 1, 3, 5 into 9, 13, 17 when one server keeps a third as
// much as the other.
func TestHalvedQuotaTakesEveryFourthTurn(t *testing.T) {
	b, _ := start(t, settings(), fleet(2))
	one := b.upstreams[0]
	turns := func(from, n int) (taken []int) {
		for i := from; i < from+n; i++ {
			if serve(t, b, time.Hour, RequestID(i)) == one {
				taken = append(taken, i)
			}
		}
		return taken
	}
	even := turns(1, 20)
	one.share.weight = 1.0 / 3
	quarter := turns(101, 40)
	for i := 1; i < len(even); i++ {
		if even[i]-even[i-1] != 2 {
			t.Errorf("even split took turns %v", even)
		}
	}
	for i := 2; i < len(quarter); i++ {
		if quarter[i]-quarter[i-1] != 4 {
			t.Errorf("a quarter took turns %v", quarter)
		}
	}
	if len(even) != 10 || len(quarter) < 9 {
		t.Errorf("took %d of 20 and %d of 40 turns", len(even), len(quarter))
	}
}

// A restarted proxy once counted healthy upstreams as silent at their second answer, because usual
// latency began without a deviation; the rest of the fleet then choked.
func TestFirstAnswersDoNotMakePatienceShort(t *testing.T) {
	b, _ := start(t, settings(), fleet(2))
	serve(t, b, time.Hour, 1)
	serve(t, b, time.Hour, 2)
	if p := b.responseTimeout(b.upstreams[0], 1); p < 150*ms {
		t.Errorf("patience %v after an answer in 50ms", p)
	}
}

// A request with a short budget was once held past its deadline, since holds are looked at once a tick.
func TestShortBudgetIsAnsweredInTime(t *testing.T) {
	b, h := start(t, settings(), fleet(1))
	b.upstreams[0].limit.nextSendAt = 2 * time.Hour
	b.RequestArrived(time.Hour, Request{ID: 1, Class: "write", Budget: 10 * ms})
	if h.count("refuse id=1") != 1 {
		t.Errorf("not refused at once: %v", h.lines)
	}
}

// Many requests of small hinted cost once pushed a cold upstream over.
func TestColdUpstreamGetsFewRequestsHoweverSmall(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	now := time.Hour
	for i := range 4000 { // warm ones carry work for a while
		now += 5 * ms
		serve(t, b, now, RequestID(i+1))
		if i%4 == 0 {
			b.TimerFired(now, tickToken)
		}
	}
	cold := Upstream{ID: 9, Zone: "near", Weight: 1, StartedAt: now}
	b.EndpointsUpdated(now, ListDelta, []Upstream{cold})
	before := h.count("send")
	for i := range 300 { // one window
		now += 5 * ms
		id := RequestID(10000 + i)
		b.RequestArrived(now, Request{ID: id, Class: "write", Budget: time.Second, Cost: ms})
		if r := b.requests[id]; r != nil && r.inFlight == 1 {
			b.AttemptFinished(now, AttemptResult{ID: id, Upstream: r.attempts[0].upstream.ID, Latency: 20 * ms, Status: OK, Closed: true})
		}
	}
	toCold := 0
	for _, l := range h.lines {
		if strings.Contains(l, " up=9 ") {
			toCold++
		}
	}
	// A warm one carries 75 in the window at most; a cold one may get the margin of its rule's multiple.
	most := 40 // 75 x tipMargin x 3 x the share of capacity reached, 0.45
	if toCold == 0 || toCold > most || h.count("send")-before < 250 {
		t.Errorf("a cold upstream got %d of %d sends, at most %d fit", toCold, h.count("send")-before, most)
	}
}

func TestSilentUpstreamIsSkippedAndItsWorkRescued(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	for i := range 40 {
		serve(t, b, time.Hour, RequestID(i+1))
	}
	b.RequestArrived(time.Hour, Request{ID: 100, Class: "read", Budget: time.Second})
	u := b.requests[100].attempts[0].upstream
	now := time.Hour + b.responseTimeout(u, 1) + 20*ms
	b.TimerFired(now, tickToken)
	if !u.outlier.unresponsive || h.count("cancel id=100") != 1 {
		t.Fatalf("silent %v; %v", u.outlier.unresponsive, h.lines[len(h.lines)-4:])
	}
	b.AttemptFinished(now, AttemptResult{ID: 100, Upstream: u.ID, Latency: 400 * ms, Status: Cancelled})
	if r := b.requests[100]; r == nil || r.inFlight != 1 || r.attempts[1].upstream == u {
		t.Error("the request did not start again elsewhere")
	}
}

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
		t.Errorf("bound %v after late answers, %v before", u.limit.allowed, healthy)
	}
	u.limit.nextSendAt = now
	answer(500, 80*ms)
	if u.limit.allowed < b.limits.initial {
		t.Error("the bound does not come back with a good answer")
	}
}

func TestHeldRequestsWaitForTheListAndMostWorthGoesFirst(t *testing.T) {
	b, h := start(t, settings(), nil)
	for i, class := range []string{"read", "write", "keyed"} {
		b.RequestArrived(time.Hour, Request{ID: RequestID(i + 1), Class: class, Budget: time.Second})
	}
	b.EndpointsUpdated(time.Hour+50*ms, ListFull, fleet(8))
	var order []string
	for _, l := range h.lines {
		if strings.HasPrefix(l, "send") {
			order = append(order, strings.Fields(l)[1])
		}
	}
	if strings.Join(order, " ") != "id=3 id=2 id=1" {
		t.Errorf("sent in order %v", order)
	}
}

func TestFailedDiscoveryIsAskedAgainLaterEachTime(t *testing.T) {
	s := settings()
	s.PollDiscovery = true
	b, h := start(t, s, fleet(1))
	if h.count("watch") != 1 {
		t.Fatal("did not subscribe at the start")
	}
	var last time.Duration
	for range 3 {
		b.EndpointsUpdated(time.Hour, ListFailed, nil)
		if b.watchBackoff <= last {
			t.Errorf("wait %v after %v", b.watchBackoff, last)
		}
		last = b.watchBackoff
	}
	b.TimerFired(time.Hour, watchToken)
	if h.count("watch") != 2 || len(b.upstreams) != 1 {
		t.Error("did not ask again, or lost the list")
	}
}

func TestBadSettings(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"Classes":                               func(s *Settings) { s.Classes = nil },
		"Balancers":                             func(s *Settings) { s.Balancers = 0 },
		"Limits.MaxAttempts":                    func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"Rules.TipAfter":                        func(s *Settings) { s.Rules.OverloadWindow = 0 },
		"Rules.RampTime":                        func(s *Settings) { s.Rules.SlowStartDuration = 0 },
		"Rules.TipMultiple":                     func(s *Settings) { s.Rules.OverloadMultiple = 0 },
		"Rules.ColdFrom":                        func(s *Settings) { s.Rules.SlowStartFloor = 0 },
		"Rules.AskWithin":                       func(s *Settings) { s.PollDiscovery, s.Rules.PollInterval = true, 0 },
		"Aim":                                   func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"Deadline":                              func(s *Settings) { s.Classes[0].Deadline = ms },
		"Memory":                                func(s *Settings) { s.Classes[1].DeduplicationWindow = 0 },
		"\"read\" is set twice":                 func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) },
		"Worth":                                 func(s *Settings) { s.Classes[2].PriorityWeight = -1 },
		"Quota":                                 func(s *Settings) { s.Tenants = s.Tenants.With([]Tenant{{"small", -1}}, nil) },
		"Rank":                                  func(s *Settings) { s.Rank = s.Balancers },
		"OverShareWorth":                        func(s *Settings) { s.OverQuotaWeightFactor = math.NaN() },
		"Granularity":                           func(s *Settings) { s.Granularity = -1 },
		"Weights":                               func(s *Settings) { s.Weights = 9 },
		"Reports":                               func(s *Settings) { s.Reports = 9 },
		"Repeat":                                func(s *Settings) { s.Classes[0].Idempotency = 9 },
		"Group":                                 func(s *Settings) { s.Classes[1].KeyScope = 9 },
		"LateWorth":                             func(s *Settings) { s.Classes[0].LateWeightFactor = math.Inf(1) },
		"\"small\" is set twice or has a Quota": func(s *Settings) { s.Tenants = NewTenants([]Tenant{{"big", 200}, {"small", math.NaN()}}) },
		"\"big\" is set twice":                  func(s *Settings) { s.Tenants = NewTenants([]Tenant{{"big", 200}, {"small", 20}, {"big", 200}}) },
	} {
		s := settings()
		spoil(&s)
		_, err := New(s, 1, 0, &recorder{})
		if !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
	for _, f := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		s := settings()
		if s.Rules.OverloadMultiple = f; s.Validate() == nil {
			t.Errorf("TipMultiple %v is taken", f)
		}
		s = settings()
		if s.Rules.SlowStartFloor = f; s.Validate() == nil {
			t.Errorf("ColdFrom %v is taken", f)
		}
	}
	if _, err := New(settings(), 1, 0, nil); !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), "Host") {
		t.Errorf("no host: error %v", err)
	}
}

// Odd figures from owners are passed over; a mean that took one in would stay poisoned.
func TestOddFiguresPoisonNothing(t *testing.T) {
	odd := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 0, math.MaxFloat64}
	list := fleet(len(odd))
	for i := range list {
		list[i].Weight = odd[i]
	}
	b, h := start(t, settings(), append(list, list[0], Upstream{ID: 99, State: Removed, Weight: 1}))
	now := time.Hour
	for i := range 400 {
		now += 20 * ms
		id := RequestID(i + 1)
		b.RequestArrived(now, Request{ID: id, Class: "read", Budget: time.Second, Cost: time.Duration(odd[i%3+2])})
		if r := b.requests[id]; r != nil && r.inFlight > 0 {
			l := Load{Fields: HasUtil | HasInflight | HasQueue, Util: odd[i%6], Inflight: odd[(i+1)%6], Queue: odd[(i+2)%6]}
			o := AttemptResult{ID: id, Upstream: r.attempts[0].upstream.ID, Latency: time.Duration(i%3-1) * 30 * ms, Status: OK, Closed: true, Load: l}
			b.AttemptFinished(now, o)
			b.AttemptFinished(now, o)
		}
		b.HealthCheckFinished(now, HealthCheckResult{Upstream: 99, Load: Load{Fields: HasUtil, Util: 1}})
		b.HealthCheckFinished(now, HealthCheckResult{Upstream: 2, Load: Load{Fields: HasUtil, Util: odd[i%6]}})
		b.TimerFired(now, tickToken)
		b.TimerFired(now, 12345)
	}
	for _, u := range b.upstreams {
		for name, x := range map[string]float64{
			"mean": u.band.mean, "dev": u.band.deviation, "weight": u.share.weight, "latency": u.latency.mean,
			"bound": u.limit.allowed, "due": u.dueTurn, "area": u.band.area, "factor": u.share.factor,
		} {
			if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
				t.Errorf("upstream %d: %s is %v", u.ID, name, x)
			}
		}
	}
	if h.count("send") < 300 || h.count("timer") > 401 {
		t.Errorf("%d sends of 400, %d timers", h.count("send"), h.count("timer"))
	}
}

// Without a list, with an emptied one, and for a budget that is used up, the answer is true and comes at once or
// within the budget.
func TestNobodyToSendTo(t *testing.T) {
	b, h := start(t, settings(), nil)
	b.RequestArrived(time.Hour, Request{ID: 1, Class: "write", Budget: 0})
	b.RequestArrived(time.Hour, Request{ID: 2, Class: "write", Budget: -time.Second})
	b.RequestArrived(time.Hour, Request{ID: 3, Class: "no such class", Budget: time.Second})
	if h.count("refuse") != 3 {
		t.Errorf("not refused at once: %v", h.lines)
	}
	b.EndpointsUpdated(time.Hour, ListFull, fleet(4))
	b.EndpointsUpdated(time.Hour, ListFull, nil)
	b.RequestArrived(time.Hour, Request{ID: 4, Class: "write", Budget: time.Second})
	for now := time.Hour; now < time.Hour+time.Second; now += 10 * ms {
		b.TimerFired(now, tickToken)
	}
	b.ClientLeft(time.Hour+time.Second, 77)
	b.ResponseStarted(time.Hour+time.Second, 77, 0)
	b.AttemptFinished(time.Hour+time.Second, AttemptResult{ID: 4, Attempt: -1})
	if h.count("refuse id=4") != 1 || h.count("send") != 0 {
		t.Errorf("with an emptied list: %v", h.lines)
	}
}

// maxFileLines and maxColumns keep each file of the decisions to one job that can be read at a sitting.
const maxFileLines, maxColumns = 300, 120

// TestModuleSize holds each file of the decisions to a length and a width, and the deploy file to naming all of them.
func TestModuleSize(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, policy, _ := strings.Cut(string(deploy), "\npolicy = [")
	policy, _, _ = strings.Cut(policy, "]")
	named := map[string]bool{}
	for name := range strings.SplitSeq(policy, ",") {
		named[strings.Trim(name, " \"")] = true
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		if !named["balancer/"+name] {
			t.Errorf("%s is not among the policy files of deploy/balancer.toml", name)
		}
		delete(named, "balancer/"+name)
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := bytes.Split(text, []byte("\n"))
		if len(lines)-1 > maxFileLines {
			t.Errorf("%s: %d lines, at most %d", name, len(lines)-1, maxFileLines)
		}
		for i, line := range lines {
			if utf8.RuneCount(line) > maxColumns {
				t.Errorf("%s: line %d has %d characters, at most %d", name, i+1, utf8.RuneCount(line), maxColumns)
			}
		}
	}
	for name := range named {
		t.Errorf("deploy/balancer.toml names %s, and there is no such file", name)
	}
}

func BenchmarkRequest(b *testing.B) {
	bal, err := New(settings(), 1, 0, &silentHost{})
	if err != nil {
		b.Fatal(err)
	}
	bal.EndpointsUpdated(0, ListCached, fleet(20))
	now := time.Duration(0)
	for i := range b.N {
		now += ms
		id := RequestID(i + 1)
		bal.RequestArrived(now, Request{ID: id, Class: "write", Budget: time.Second})
		if r := bal.requests[id]; r != nil && r.inFlight > 0 {
			bal.AttemptFinished(now, AttemptResult{ID: id, Upstream: r.attempts[0].upstream.ID, Latency: 50 * ms, Status: OK, Closed: true})
		}
	}
}

// silentHost carries out nothing, for the benchmark.
type silentHost struct{ Host }

func (silentHost) Send(RequestID, UpstreamID, time.Duration) {}
func (silentHost) Reject(RequestID, time.Duration)           {}
func (silentHost) SetTimer(time.Duration, uint64)            {}

// With many balancers the trickle of all together once kept a choked server from the rest it needs.
func TestLeastBoundIsATotalOverAllBalancers(t *testing.T) {
	for _, n := range []int{2, 24} {
		s := settings()
		s.Balancers = n
		b, _ := start(t, s, fleet(1))
		for i := range 60 {
			b.cutLimit(b.upstreams[0], time.Hour+time.Duration(i)*time.Second, limitCut)
		}
		if total := b.upstreams[0].limit.allowed * float64(n); math.Abs(total-minLimitTotal) > 1e-9 {
			t.Errorf("%d balancers: %v attempts over all, want %v", n, total, minLimitTotal)
		}
	}
}

// A balancer that started while a server was choked once took its slow answers for usual.
func TestUpstreamMetCrowdedIsJudgedByTheFleet(t *testing.T) {
	b, _ := start(t, settings(), fleet(8))
	for _, u := range b.upstreams {
		u.band.readings, u.latency.best, u.latency.unloaded = 1, float64(60*ms), float64(60*ms)
	}
	u := b.upstreams[3]
	u.latency.best, u.latency.unloaded = 0, 0
	b.endPeriod(time.Hour + bandPeriod)
	a := &attempt{request: &request{class: b.classes["write"], work: 1}, upstream: u}
	b.recordOutcome(a, AttemptResult{Latency: 200 * ms, Status: OK}, time.Hour+2*bandPeriod)
	if u.limit.allowed >= b.limits.initial {
		t.Errorf("bound %v after an answer three times as slow as the fleet's least", u.limit.allowed)
	}
}

// Many balancers that started together once sent to every server at once and choked the fleet.
func TestFirstSendsAreSpread(t *testing.T) {
	s := settings()
	s.Balancers = 8 // all of them use all upstreams
	b, _ := start(t, s, fleet(20))
	later := 0
	for _, u := range b.upstreams {
		if u.limit.nextSendAt > time.Hour+b.sendInterval(u)/10 { // 50 ms were a tenth of the pause before there were subsets
			later++
		}
	}
	if later < 10 {
		t.Errorf("%d of 20 upstreams wait for their first attempt", later)
	}
	s.Balancers = 24 // each uses some
	got := map[UpstreamID]int{}
	for s.Rank = range s.Balancers {
		h := &recorder{}
		b, err := New(s, uint64(s.Rank), time.Hour, h)
		if err != nil {
			t.Fatal(err)
		}
		b.EndpointsUpdated(time.Hour, ListCached, fleet(20))
		for i := range 10 { // more than it may have out at once
			b.RequestArrived(time.Hour, Request{ID: RequestID(i + 1), Class: "write", Budget: time.Second})
		}
		for _, u := range b.upstreams {
			got[u.ID] += len(u.inFlight)
		}
	}
	for id, n := range got {
		if n > 2*usualSharers {
			t.Errorf("upstream %d was sent %d at once by 24 balancers", id, n)
		}
	}
}

// Balancers that began in overload once let bounds grow at servers that were busy already.
func TestBoundDoesNotGrowAtFullUse(t *testing.T) {
	for _, c := range []struct {
		use   float64
		grows bool
	}{{0.5, true}, {0.97, false}} {
		b, _ := start(t, settings(), fleet(1))
		u := b.upstreams[0]
		u.band.mean, u.band.readings, u.latency.best, b.queue.lastFullAt = c.use, bandWindow, float64(50*ms), time.Hour
		before := u.limit.allowed
		b.recordOutcome(&attempt{request: &request{class: b.classes["write"], work: 1}, upstream: u}, AttemptResult{Latency: 50 * ms, Status: OK}, time.Hour)
		if (u.limit.allowed > before) != c.grows {
			t.Errorf("use %v: bound %v, then %v", c.use, before, u.limit.allowed)
		}
	}
}

// One balancer of four was left for ten seconds, and refused most of its requests beside idle servers: live
// weights rise with idleness, and a server of weight 3 was judged against a third of the fleet's latency.
func TestIdleUpstreamOfHighWeightIsNotTakenForCrowded(t *testing.T) {
	b, _ := start(t, settings(), fleet(4))
	for _, u := range b.upstreams {
		u.band.mean, u.band.readings, u.latency.best, u.latency.work, u.latency.mean = 0.2, bandWindow, float64(50*ms), 1, float64(50*ms)
	}
	b.endPeriod(time.Hour)
	u := b.upstreams[0]
	u.share.weight, u.limit.allowed, u.inFlight, b.queue.lastFullAt = 3, 2, make([]*attempt, 2), time.Hour
	b.recordOutcome(&attempt{request: &request{class: b.classes["write"], work: 1}, upstream: u}, AttemptResult{Latency: 55 * ms, Status: OK}, time.Hour)
	if u.limit.allowed <= 2 {
		t.Errorf("bound %v, want more than 2", u.limit.allowed)
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
		b.recordOutcome(&attempt{request: &request{class: b.classes["write"], work: 1}, upstream: u}, AttemptResult{Latency: lat, Status: OK}, now)
		if i > 8 && u.limit.allowed < b.limits.initial {
			t.Fatalf("answer %d after %v: bound %v, want %v", i, lat, u.limit.allowed, b.limits.initial)
		}
	}
}

// Bounds once doubled each round trip: many balancers choked a fleet before the first reading told of full use.
func TestBoundAtMostDoublesBetweenPeriods(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	u.latency.best, u.inFlight = float64(20*ms), make([]*attempt, 100)
	answers := func(now time.Duration) {
		for range 50 {
			b.queue.lastFullAt = now
			b.recordOutcome(&attempt{request: &request{class: b.classes["write"], work: 1}, upstream: u}, AttemptResult{Latency: 20 * ms, Status: OK}, now)
		}
	}
	answers(time.Hour)
	if u.limit.allowed != initialLimitTotal {
		t.Errorf("bound %v before the first period has passed, want %v", u.limit.allowed, initialLimitTotal)
	}
	b.endPeriod(time.Hour + bandPeriod)
	answers(time.Hour + bandPeriod)
	if u.limit.allowed != 2*initialLimitTotal {
		t.Errorf("bound %v in the next period, want %v", u.limit.allowed, 2*initialLimitTotal)
	}
}

// Answers in a small part of the aim leave no doubt, and many such pass in a period: their nodes' bounds go up with them, or
// what they could serve was refused for want of turns. They stop as soon as answers take longer.
func TestIdleUpstreamsBoundGrowsWithinThePeriod(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	u.inFlight = make([]*attempt, 100)
	answers := func(lat time.Duration) {
		for range 50 {
			b.queue.lastFullAt = time.Hour
			b.recordOutcome(&attempt{request: &request{class: b.classes["write"], work: 1}, upstream: u}, AttemptResult{Latency: lat, Status: OK}, time.Hour)
		}
	}
	answers(ms)
	grown := u.limit.allowed
	if grown < 10*initialLimitTotal {
		t.Errorf("bound %v after 50 answers within 1 ms", grown)
	}
	answers(20 * ms)
	if u.limit.allowed > grown {
		t.Errorf("bound %v went on to %v although answers take longer", grown, u.limit.allowed)
	}
}

// Single late answers are chance where latency varies; each once cut the bound, and turns were refused.
func TestOnlyCrowdingCutsTheBound(t *testing.T) {
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
		u.latency.mean, u.latency.work, u.latency.smoothed, u.latency.unloaded = float64(c.lat), 1, float64(c.calm), float64(c.calm)
		b.recordOutcome(&attempt{request: &request{class: b.classes["write"], work: 1}, upstream: u}, AttemptResult{Latency: c.lat, Status: OK}, 2*time.Hour)
		if (u.limit.allowed < b.limits.initial) != c.short {
			t.Errorf("%s: bound %v, at first %v", c.name, u.limit.allowed, b.limits.initial)
		}
	}
}

// Hundreds of balancers with connections to every upstream once filled all connection tables, and no
// balancer saw enough of any upstream to judge it.
func TestSubsetsAreSmallAndCoverEvenly(t *testing.T) {
	for _, c := range []struct{ balancers, upstreams, least, most int }{
		{8, 20, 20, 20},   // few balancers, twice the sharers: all upstreams
		{90, 20, 2, 3},    // never fewer than can be shared between
		{400, 60, 2, 3},   // as many balancers as these need
		{100, 60, 3, 4},   // about sharers an upstream; the ends of a stretch are used in part
		{12, 20, 10, 11},  // in between: the width falls smoothly
		{1200, 250, 2, 3}, // larger than any so far
	} {
		s := settings()
		s.Balancers, s.Tenants = c.balancers, nil
		used := map[UpstreamID]float64{}
		for s.Rank = range c.balancers {
			b, _ := start(t, s, fleet(c.upstreams))
			if n := len(b.subset.upstreams); n < c.least || n > c.most {
				t.Fatalf("%+v: a balancer uses %d upstreams", c, n)
			}
			for id, part := range parts(b) {
				used[id] += part
			}
		}
		mean := float64(c.balancers) / float64(c.upstreams)
		for id := range c.upstreams {
			if n := used[UpstreamID(id+1)]; n < 0.9*mean || n > 1.1*mean {
				t.Errorf("%+v: upstream %d has the traffic of %v balancers, the mean is %v", c, id+1, n, mean)
			}
		}
	}
}

// parts is the part of a balancer's traffic that each upstream is to have.
func parts(b *Balancer) map[UpstreamID]float64 {
	sum, of := 0.0, map[UpstreamID]float64{}
	for _, u := range b.subset.upstreams {
		sum += b.trafficShare(u, time.Hour)
	}
	for _, u := range b.subset.upstreams {
		of[u.ID] = b.trafficShare(u, time.Hour) / sum
	}
	return of
}

// Of sizes from 1 to 100 each gets its part, although each balancer sees a few only.
func TestStretchesCoverBySize(t *testing.T) {
	s := settings()
	s.Balancers, s.Weights = 100, WeightNominal
	list, total := fleet(30), 0.0
	for i := range list {
		list[i].Weight = []float64{1, 5, 10, 40, 100}[i%5]
		total += list[i].Weight
	}
	used := map[UpstreamID]float64{}
	for s.Rank = range s.Balancers {
		b, _ := start(t, s, list)
		for id, part := range parts(b) {
			used[id] += part
		}
	}
	for _, u := range list {
		due := float64(s.Balancers) * u.Weight / total
		if got := used[u.ID]; math.Abs(got-due) > 0.1*due+0.25 {
			t.Errorf("upstream %d of size %v has the traffic of %.2f balancers, %.2f are due", u.ID, u.Weight, got, due)
		}
	}
}

// All begin at once. By chance the busiest of 200 upstreams had three times the mean of 300 balancers' first requests.
func TestFirstTurnsOfAllGoRoundTheRing(t *testing.T) {
	s := settings()
	s.Balancers, s.Tenants = 300, NewTenants([]Tenant{{Name: "all", Quota: 5000}})
	got := map[UpstreamID]int{}
	for s.Rank = range s.Balancers {
		b, h := start(t, s, fleet(200))
		for i := range 4 {
			now := time.Hour + time.Duration(i)*60*ms
			b.RequestArrived(now, Request{ID: RequestID(i + 1), Class: "read", Budget: time.Second})
		}
		if h.count("send") != 4 {
			t.Fatalf("%d of 4 were sent at once", h.count("send"))
		}
		for _, r := range b.requests {
			got[r.attempts[0].upstream.ID]++
		}
	}
	for id := range 200 { // six are due
		if n := got[UpstreamID(id+1)]; n < 4 || n > 8 {
			t.Errorf("upstream %d got %d of the first 1,200 requests", id+1, n)
		}
	}
}

// Ranks collide, or are counted otherwise by some: the parts are as uneven as by chance then, and none is idle.
func TestWrongRanksLeaveNoneIdle(t *testing.T) {
	for name, rank := range map[string]func(i int) (int, int){
		"half have the ranks of the others": func(i int) (int, int) { return i % 150, 300 },
		"a third count fewer":               func(i int) (int, int) { return i % (300 - 90*(i%3/2)), 300 - 90*(i%3/2) },
		"210 of 300 are away":               func(i int) (int, int) { return i * 3 / 10, 300 },
	} {
		s, used := settings(), map[UpstreamID]float64{}
		s.Tenants = NewTenants([]Tenant{{Name: "all", Quota: 5000}})
		for i := range 300 {
			s.Rank, s.Balancers = rank(i)
			b, _ := start(t, s, fleet(200))
			for id, part := range parts(b) {
				used[id] += part
			}
		}
		for id := range 200 {
			if n := used[UpstreamID(id+1)]; n < 0.5 || n > 3 {
				t.Errorf("%s: upstream %d has the traffic of %.2f balancers, 1.5 are due", name, id+1, n)
			}
		}
	}
}

// With ten balancers an upstream, each of which may have one request out, a cold one was crowded. Few learn it, with
// more of their traffic each, so that all together send it the same.
func TestColdUpstreamIsLearntByFew(t *testing.T) {
	s := settings()
	s.Balancers, s.Tenants = 300, NewTenants([]Tenant{{Name: "all", Quota: 5000}})
	users, sum := [2]float64{}, [2]float64{}
	for i, cold := range []bool{false, true} {
		list := fleet(200)
		if cold {
			list[7].StartedAt = time.Hour
		}
		for s.Rank = range s.Balancers {
			b, _ := start(t, s, list)
			for _, u := range b.subset.upstreams {
				if u.ID == list[7].ID {
					users[i], sum[i] = users[i]+1, sum[i]+u.share.subsetPart
				}
			}
		}
	}
	if users[1] > 0.7*users[0] || users[1] < usualSharers || math.Abs(sum[1]/sum[0]-1) > 0.25 {
		t.Errorf("%v use it, %v while it is cold; their slices add up to %.2f and %.2f", users[0], users[1], sum[0], sum[1])
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

// With most of a small subset gone, a balancer once had nobody to send to while the fleet was well.
func TestSubsetReachesPastTheSickAndTheCold(t *testing.T) {
	s := settings()
	s.Balancers = 40
	b, _ := start(t, s, fleet(40))
	before := slices.Clone(b.subset.upstreams)
	before[0].outlier.unresponsive = true
	before[1].slowStart.warming, before[1].slowStart.since = true, time.Hour
	b.chooseSubset(time.Hour)
	if len(b.subset.upstreams) != len(before)+2 {
		t.Errorf("%d upstreams in use, then %d with one silent and one cold", len(before), len(b.subset.upstreams))
	}
	gone := before[2].Upstream
	gone.State = Draining
	b.EndpointsUpdated(time.Hour, ListDelta, []Upstream{gone})
	if before[2].inSubset || len(b.subset.upstreams) != len(before)+2 {
		t.Errorf("a draining upstream was not replaced: %d in use", len(b.subset.upstreams))
	}
	before[0].outlier.unresponsive, before[1].slowStart.warming = false, false
	b.chooseSubset(time.Hour)
	if len(b.subset.upstreams) != len(before) {
		t.Errorf("%d in use after all came back, %d at first", len(b.subset.upstreams), len(before))
	}
}

// A short class was once refused whenever no turn was free: the mean latency of all classes exceeded its aim, so
// there never seemed to be time to hold it.
func TestShortClassIsHeldByItsOwnLatency(t *testing.T) {
	s := settings()
	s.Classes[2].LatencyObjective = 200 * ms
	b, h := start(t, s, fleet(1))
	for i := range 60 {
		for j, c := range []struct {
			class string
			lat   time.Duration
		}{{"read", 240 * ms}, {"write", 40 * ms}} {
			now := time.Hour + time.Duration(2*i+j+1)*time.Second
			id := RequestID(2*i + j + 1)
			b.RequestArrived(now, Request{ID: id, Class: c.class, Budget: time.Second})
			b.AttemptFinished(now+c.lat, AttemptResult{ID: id, Upstream: 1, Latency: c.lat, Status: OK, Closed: true})
		}
	}
	now := 2 * time.Hour
	b.upstreams[0].limit.nextSendAt = now + time.Minute
	b.RequestArrived(now, Request{ID: 1000, Class: "write", Budget: time.Second})
	if r := b.requests[1000]; r == nil || !r.queued || r.work > 0.5 {
		t.Errorf("a request with five times its usual latency left to its aim was not held: %v", h.lines[len(h.lines)-1])
	}
}

// Where flows are thin an answer near the least latency is rare, and bounds stayed where they began while the
// servers idled: a third of the requests was refused. Readings decide there.
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
		u.band.readings, u.band.mean, u.latency.best, u.latency.smoothed, u.latency.unloaded = bandWindow, c.use, float64(30*ms), float64(60*ms), float64(60*ms)
		b.queue.lastFullAt = time.Hour
		a := &attempt{request: &request{class: b.classes["write"], work: 1}, upstream: u}
		b.recordOutcome(a, AttemptResult{Latency: 60 * ms, Status: OK}, time.Hour) // twice the least
		if (u.limit.allowed > b.limits.initial) != c.grows {
			t.Errorf("%+v: bound %v, at first %v", c, u.limit.allowed, b.limits.initial)
		}
	}
}

// In overload a third of all turns went to clients' later tries whose aim had passed before they were sent.
func TestLaterTryWithoutTimeYieldsWhileTurnsAreShort(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget time.Duration // of 1 s; the aim is 300 ms
		tight  bool
		sent   bool
	}{
		{"first try", time.Second, true, true},
		{"later try with time left", 950 * ms, true, true},
		{"later try past the aim", 500 * ms, true, false},
		{"later try past the aim, turns free", 500 * ms, false, true},
	} {
		b, h := start(t, settings(), fleet(4))
		b.RequestArrived(time.Hour, Request{ID: 1, Class: "write", Budget: time.Second})
		now := time.Hour + time.Second
		if c.tight {
			b.queue.lastFullAt = now
		}
		b.RequestArrived(now, Request{ID: 2, Class: "write", Budget: c.budget})
		if (h.count("send id=2") == 1) != c.sent || h.count("send id=2")+h.count("refuse id=2") != 1 {
			t.Errorf("%s: %v", c.name, h.lines[len(h.lines)-1])
		}
	}
}

// At full size a balancer's part of a cold upstream's budget is under one request: none was sent until the ramp
// had ended, and then all balancers sent their full share at once. Over many balancers it must come to the part.
func TestColdUpstreamIsUsedAtFullSizeWithinItsBudget(t *testing.T) {
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
				u.limit.nextSendAt = 2 * time.Hour // all the traffic asks for the cold one
			}
			now := time.Hour + time.Duration(i)*10*ms
			b.RequestArrived(now, Request{ID: RequestID(i + 1), Class: "read", Budget: time.Second})
			if r := b.requests[RequestID(i+1)]; r != nil && r.inFlight > 0 {
				b.AttemptFinished(now, AttemptResult{ID: r.ID, Upstream: 3, Latency: 5 * ms, Status: OK, Closed: true})
			}
		}
		sent += h.count("send")
	}
	// All together may send what a warm one takes times the multiple and the ramp, at most.
	if most := 0.2 * balancers * 3 * 0.4 * window.Seconds(); sent == 0 || float64(sent) > most {
		t.Errorf("%d sent to a cold upstream, 1 to %v fit", sent, most)
	}
}

// Single long answers of heavy-tailed work cut the bounds of thin flows at half use, and a fifth was refused.
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
		u.band.readings, u.band.mean, u.latency.mean, u.latency.work, u.latency.smoothed, u.latency.unloaded = 1, c.use, float64(250*ms), 1, float64(60*ms), float64(60*ms)
		a := &attempt{request: &request{class: b.classes["write"], work: 1}, upstream: u}
		b.recordOutcome(a, AttemptResult{Latency: 250 * ms, Status: OK}, 2*time.Hour)
		if (u.limit.allowed < b.limits.initial) != c.cut {
			t.Errorf("%+v: bound %v, at first %v", c, u.limit.allowed, b.limits.initial)
		}
	}
}

// Requests come by chance. Spaced evenly by its pause, a thin flow left turns unused and refused at others.
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

// Where flows are thin an upstream's mean is about its last answer; one quick answer once made the next, usual one
// look like silence, and the upstream's turns were skipped.
func TestOneQuickAnswerDoesNotMakePatienceShort(t *testing.T) {
	s := settings()
	s.Balancers = 8
	b, _ := start(t, s, fleet(1))
	u := b.upstreams[0]
	for i, lat := range []time.Duration{100, 110, 100, 90, 10, 10} {
		a := &attempt{request: &request{class: b.classes["write"], work: 1}, upstream: u}
		b.recordOutcome(a, AttemptResult{Latency: lat * ms, Status: OK}, time.Hour+time.Duration(i)*time.Second)
	}
	if p := b.responseTimeout(u, 1); p < 200*ms {
		t.Errorf("patience %v where answers take 100ms as a rule", p)
	}
}

// A tenth of the balancers with four times the others' traffic filled their few upstreams while the others' stood idle, and refused
// half of what came. The turns at first stay as many over all of them, or the heavy ones would crowd the others.
func TestHeavyBalancerUsesMoreUpstreams(t *testing.T) {
	ask := func(rate int, quota float64, periods int) (near int, turns float64) {
		s := settings()
		s.Balancers, s.Tenants = 100, NewTenants([]Tenant{{Name: "all", Quota: quota}})
		b, _ := start(t, s, fleet(60))
		now := time.Hour
		for range periods {
			for i := range rate {
				id := RequestID(now) + RequestID(i)
				b.RequestArrived(now, Request{ID: id, Class: "read", Budget: time.Second})
				if r := b.requests[id]; r != nil && r.inFlight > 0 {
					b.AttemptFinished(now, AttemptResult{ID: id, Upstream: r.attempts[0].upstream.ID, Latency: 10 * ms, Status: OK, Closed: true})
				}
				b.ClientLeft(now, id)
			}
			now += bandPeriod
			b.TimerFired(now, tickToken)
		}
		members := 0
		for _, u := range b.subset.upstreams {
			if u.inSubset {
				members++
			}
		}
		return members, b.limits.initial * float64(members) // those at the ends of the stretch are used in part
	}
	even, turns := ask(10, 1000, 20) // its even part is ten a second
	if even != 7 {
		t.Fatalf("%d upstreams at the even part", even)
	}
	for _, c := range []struct {
		name    string
		rate    int
		quota   float64
		periods int
		want    int
	}{
		{"four times the even part", 40, 1000, 20, 26},
		{"a little over it", 12, 1000, 20, 7},
		{"under it", 2, 1000, 20, 7},
		{"a hundred times: no more than there are", 1000, 1000, 20, 60},
		{"nothing was bought, so nothing is even", 40, 0, 20, 7},
	} {
		if n, got := ask(c.rate, c.quota, c.periods); n != c.want || got < 0.85*turns || got > 1.15*turns {
			t.Errorf("%s: %d upstreams with %.2f turns, want %d with %.2f", c.name, n, got, c.want, turns)
		}
	}
}
