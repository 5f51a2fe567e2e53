package balancer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// checker checks the actions of a Balancer against the rules. It shares no logic with the decision module.
type checker struct {
	t             *testing.T
	s             Settings
	tenants       []string // by falling quota
	now           time.Duration
	requests      map[RequestID]*checkedRequest
	inFlight      []*checkedAttempt // in order of sending
	timers        []pendingTimer
	list          map[UpstreamID]Upstream
	inactiveSince map[UpstreamID]time.Duration
	violations    []string
	peak          int                            // most attempts that any warm upstream got within an overload window
	sentAt        map[UpstreamID][]time.Duration // within the last overload window
}

type checkedRequest struct {
	id       RequestID
	class    Class
	deadline time.Duration
	attempts []*checkedAttempt
	finals   int           // final answers
	endedAt  time.Duration // when it was answered or its client left; 0: open
}

type checkedAttempt struct {
	r        *checkedRequest
	n        int // index among the request's attempts
	up       Upstream
	at, end  time.Duration
	status   Status
	finished bool
}

type pendingTimer struct {
	at    time.Duration
	token uint64
}

func (c *checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

// mayHaveRun reports whether the attempt may have run or may still run.
func (x *checkedAttempt) mayHaveRun() bool {
	return !x.finished || !slices.Contains([]Status{Rejected, ConnectFailed, NotSent}, x.status)
}

func (c *checker) action(kind string, id RequestID, up UpstreamID, d time.Duration, n uint64) {
	switch kind {
	case "timer":
		c.timers = append(c.timers, pendingTimer{c.now + max(d, ms), n})
	case "send":
		c.send(c.requests[id], up, d)
	case "refuse", "fail":
		c.final(c.requests[id], kind == "refuse")
	case "cancel":
		for _, x := range c.inFlight {
			if x.r.id == id && x.n == int(n) {
				x.end, x.status = c.now+5*ms, Cancelled
			}
		}
	}
}

func (c *checker) send(r *checkedRequest, up UpstreamID, d time.Duration) {
	if r.finals > 0 || (r.endedAt > 0 && r.endedAt < c.now) {
		c.violation("rule 1: request %d sent after its end", r.id)
	}
	if c.now > r.deadline {
		c.violation("rule 1: request %d sent after its deadline", r.id)
	}
	u, ok := c.list[up]
	if !ok {
		c.violation("upstream %d was never listed", up)
	}
	if at, inactive := c.inactiveSince[up]; inactive && c.now > at+c.s.Rules.DrainGrace {
		c.violation("rule 3: request %d sent to upstream %d, which is inactive since %v", r.id, up, at)
	}
	c.checkSlowStart(u)
	unfinished := 0
	for _, x := range r.attempts {
		if !x.finished {
			unfinished++
		}
		if x.mayHaveRun() {
			c.checkRepeat(r, x, u)
		}
	}
	if unfinished > 0 && !c.s.Limits.Hedging {
		c.violation("rule 2: request %d has two attempts in flight", r.id)
	}
	if len(r.attempts) >= c.s.Limits.MaxAttempts {
		c.violation("request %d has more than MaxAttempts attempts", r.id)
	}
	x := &checkedAttempt{r: r, n: len(r.attempts), up: u, at: c.now, end: r.deadline, status: Timeout}
	if d > 0 {
		x.end = min(r.deadline, c.now+d)
	}
	r.attempts = append(r.attempts, x)
	c.inFlight = append(c.inFlight, x)
}

// checkRepeat checks rule 2 for an attempt whose request has an earlier attempt that may have run.
func (c *checker) checkRepeat(r *checkedRequest, earlier *checkedAttempt, u Upstream) {
	keyed := r.class.Idempotency == IdempotentWithKey
	otherZone := r.class.KeyScope == KeyScopeZone && earlier.up.Zone != u.Zone
	otherCell := r.class.KeyScope == KeyScopeCell && earlier.up.Cell != u.Cell
	switch {
	case r.class.Idempotency == NonIdempotent:
		c.violation("rule 2: non-idempotent request %d sent again", r.id)
	case keyed && c.now > earlier.at+r.class.DeduplicationWindow:
		c.violation("rule 2: keyed request %d sent again after its deduplication window", r.id)
	case keyed && (otherZone || otherCell):
		c.violation("rule 2: keyed request %d sent outside its key scope", r.id)
	}
}

// checkSlowStart checks rule 4: in any overload window a warming upstream gets at most OverloadMultiple times its
// capacity. The capacity of a warm upstream is taken as the most that any was sent in such a window, and at least this
// balancer's even part of the events' traffic: 133 requests a second, over two balancers and five upstreams.
func (c *checker) checkSlowStart(u Upstream) {
	age, window := c.now-u.StartedAt, c.s.Rules.OverloadWindow
	c.sentAt[u.ID] = append(slices.DeleteFunc(c.sentAt[u.ID], func(at time.Duration) bool {
		return at <= c.now-window || at < u.StartedAt
	}), c.now)
	n := len(c.sentAt[u.ID])
	if u.StartedAt == 0 || age >= c.s.Rules.SlowStartDuration {
		c.peak = max(c.peak, n)
		return
	}
	ramp := c.s.Rules.SlowStartFloor + (1-c.s.Rules.SlowStartFloor)*float64(age)/float64(c.s.Rules.SlowStartDuration)
	if peak := c.s.Rules.OverloadMultiple * ramp * max(float64(c.peak), 133.0/5/2*window.Seconds()); float64(n) > peak+3 {
		c.violation("rule 4: upstream %d, started %v ago, was sent %d, budget %.1f", u.ID, age, n, peak)
	}
}

func (c *checker) final(r *checkedRequest, rejected bool) {
	r.finals++
	if r.finals > 1 || (r.endedAt > 0 && r.endedAt < c.now) {
		c.violation("rule 1: request %d answered twice", r.id)
	}
	if c.now > r.deadline+c.s.Rules.AnswerSlack {
		c.violation("rule 1: request %d answered %v late", r.id, c.now-r.deadline)
	}
	for _, x := range r.attempts {
		keyedEverywhere := r.class.Idempotency == IdempotentWithKey && r.class.KeyScope == KeyScopeAll
		repeatable := r.class.Idempotency == Idempotent || keyedEverywhere
		if rejected && x.mayHaveRun() && !repeatable {
			c.violation("rule 2: request %d rejected although it may have run", r.id)
		}
	}
}

// runRandomEvents feeds a Balancer with random valid events, and returns the checker and the recorded actions.
func runRandomEvents(t *testing.T, s Settings, seed uint64, origin time.Duration) (*checker, *recorder) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	c := &checker{
		t: t, s: s, now: origin, requests: map[RequestID]*checkedRequest{}, list: map[UpstreamID]Upstream{},
		inactiveSince: map[UpstreamID]time.Duration{}, sentAt: map[UpstreamID][]time.Duration{},
	}
	for _, x := range slices.SortedFunc(s.Tenants.All(), func(x, y Tenant) int { return cmp.Compare(y.Quota, x.Quota) }) {
		c.tenants = append(c.tenants, x.Name)
	}
	h := &recorder{hook: c.action}
	b, err := New(s, seed, c.now, h)
	if err != nil {
		t.Fatal(err)
	}
	c.updateEndpoints(b, ListCached, fleet(5))
	next := RequestID(1)
	for step := range 4000 {
		c.now += 5 * ms
		if step < 3600 && rng.IntN(3) > 0 {
			c.request(b, rng, next)
			next++
		}
		c.finishSome(b, rng)
		if rng.IntN(60) == 0 {
			c.randomEndpointUpdate(b, rng)
		}
		c.fireTimers(b)
		c.checkOverdue()
	}
	return c, h
}

func (c *checker) request(b *Balancer, rng *rand.Rand, id RequestID) {
	cl := c.s.Classes[rng.IntN(len(c.s.Classes))]
	budget := cl.Deadline // of a first request; retries and impatient clients have shorter ones
	if rng.IntN(2) == 0 {
		budget = time.Duration(1+rng.Int64N(int64(cl.Deadline/ms))) * ms
	}
	if rng.IntN(40) == 0 {
		budget = -time.Duration(rng.IntN(2)) * ms
	}
	r := &checkedRequest{id: id, class: cl, deadline: c.now + budget}
	c.requests[id] = r
	q := Request{
		ID: id, Class: cl.Name, Budget: budget, Cost: time.Duration(rng.IntN(90)) * ms,
		Tenant: c.tenants[rng.IntN(len(c.tenants))],
	}
	if rng.IntN(2) == 0 {
		q.Key, q.HasKey = uint64(rng.IntN(20)), true
	}
	b.RequestArrived(c.now, q)
	if r.finals == 0 && rng.IntN(50) == 0 { // an impatient client
		r.endedAt = c.now
		b.ClientLeft(c.now, id)
	}
}

// finishSome finishes the attempts that are due, and others at random with random statuses.
func (c *checker) finishSome(b *Balancer, rng *rand.Rand) {
	for _, x := range slices.Clone(c.inFlight) {
		if x.end > c.now && rng.IntN(12) > 0 {
			continue
		}
		if x.end > c.now {
			x.status = []Status{OK, OK, OK, OK, Error, Rejected, ConnectFailed, Reset}[rng.IntN(8)]
		}
		x.finished = true
		c.inFlight = slices.DeleteFunc(c.inFlight, func(y *checkedAttempt) bool { return y == x })
		r, load := x.r, Load{}
		if rng.IntN(2) == 0 {
			load = Load{Fields: HasUtilisation, Utilisation: rng.Float64()}
		} else if rng.IntN(20) == 0 {
			load = Load{Fields: HasUtilisation | HasInFlight, Utilisation: math.NaN(), InFlight: math.Inf(-1)}
		}
		closed := r.endedAt > 0 || r.finals > 0
		if x.status == OK && !closed {
			r.endedAt, r.finals, closed = c.now, r.finals+1, true
		}
		o := AttemptResult{
			ID: r.id, Upstream: x.up.ID, Attempt: x.n, Latency: c.now - x.at, Status: x.status, Closed: closed, Load: load,
		}
		b.AttemptFinished(c.now, o)
		if rng.IntN(20) == 0 { // a duplicate, which must be ignored
			b.AttemptFinished(c.now, o)
		}
	}
}

func (c *checker) updateEndpoints(b *Balancer, mode ListMode, list []Upstream) {
	for _, u := range list {
		c.list[u.ID] = u
		if delete(c.inactiveSince, u.ID); u.State != Active {
			c.inactiveSince[u.ID] = c.now
		}
	}
	if mode == ListFull || mode == ListCached {
		for id := range c.list {
			_, inactive := c.inactiveSince[id]
			if !inactive && !slices.ContainsFunc(list, func(u Upstream) bool { return u.ID == id }) {
				c.inactiveSince[id] = c.now
			}
		}
	}
	b.EndpointsUpdated(c.now, mode, list)
}

func (c *checker) randomEndpointUpdate(b *Balancer, rng *rand.Rand) {
	list := fleet(8)
	switch rng.IntN(6) {
	case 0:
		c.updateEndpoints(b, ListFull, list[rng.IntN(9):])
	case 1:
		b.EndpointsUpdated(c.now, ListFailed, nil)
	default:
		u := list[rng.IntN(8)]
		u.State = State(rng.IntN(3))
		if rng.IntN(2) == 0 {
			u.State, u.StartedAt = Active, c.now-time.Duration(rng.IntN(3))*time.Second
		}
		if u.Weight = 1; rng.IntN(10) == 0 {
			u.Weight = []float64{0, -1, math.NaN(), math.Inf(1)}[rng.IntN(4)]
		}
		c.updateEndpoints(b, ListDelta, []Upstream{u, u})
	}
}

func (c *checker) fireTimers(b *Balancer) {
	due := c.timers
	c.timers = nil
	for _, timer := range due {
		if timer.at <= c.now {
			b.TimerFired(c.now, timer.token)
		} else {
			c.timers = append(c.timers, timer)
		}
	}
}

// checkOverdue checks rule 1 for requests without a final answer.
func (c *checker) checkOverdue() {
	for id, r := range c.requests {
		if r.finals == 0 && r.endedAt == 0 && c.now > r.deadline+c.s.Rules.AnswerSlack {
			c.violation("rule 1: request %d got no final answer", id)
			r.finals = 1
		}
	}
}

// settingsVariants returns settings that exercise different parts of the rules.
func settingsVariants() map[string]Settings {
	all, cell, hedging, polling := settings(), settings(), settings(), settings()
	all.Classes[1].KeyScope = KeyScopeAll
	cell.Classes[1].KeyScope, cell.Limits.Hedging = KeyScopeCell, true
	hedging.Limits.Hedging, hedging.Limits.Cancel, hedging.WarmKeys = true, false, false
	polling.PollDiscovery, polling.Reports, polling.WeightByWork = true, ReportHealthChecks, false
	many := settings()
	many.Balancers, many.Rank, many.Limits.Hedging, many.Weights = 5, 4, true, WeightLive
	return map[string]Settings{
		"zone": settings(), "all": all, "cell": cell, "hedging": hedging, "polling": polling, "many": many,
	}
}

func TestRulesHoldOnRandomEvents(t *testing.T) {
	for name, s := range settingsVariants() {
		for seed := range uint64(12) {
			c, h := runRandomEvents(t, s, seed, time.Duration(seed)*time.Hour)
			if len(c.violations) > 0 {
				t.Errorf("%s, seed %d: %d violations, first: %s", name, seed, len(c.violations), c.violations[0])
			}
			if h.count("send") < 300 || h.count("refuse") == 0 || h.count("fail") == 0 {
				t.Errorf("%s, seed %d: too few sends (%d), rejections or failures", name, seed, h.count("send"))
			}
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	renamed := settings()
	for i, name := range []string{"x", "y", "z"} {
		renamed.Classes[i].Name = name
	}
	renamed.Tenants, renamed.Zone = NewTenants([]Tenant{{"one", 200}, {"two", 20}}), "elsewhere"
	_, want := runRandomEvents(t, settings(), 7, 10*time.Hour)
	for _, c := range []struct {
		name   string
		s      Settings
		origin time.Duration
	}{
		{"again", settings(), 10 * time.Hour},
		{"clock shifted", settings(), 500 * time.Hour},
		{"classes, tenants and zone renamed", renamed, 10 * time.Hour},
	} {
		if _, got := runRandomEvents(t, c.s, 7, c.origin); !slices.Equal(got.lines, want.lines) {
			t.Errorf("%s: the actions differ", c.name)
		}
	}
	if _, other := runRandomEvents(t, settings(), 8, 10*time.Hour); slices.Equal(other.lines, want.lines) {
		t.Error("another seed gave the same actions")
	}
}

// Instances in one process share no state: events of one do not change the actions of another.
func TestInstancesAreIndependent(t *testing.T) {
	feed := func(b *Balancer, i int) {
		now := time.Hour + time.Duration(i)*20*ms
		b.RequestArrived(now, Request{ID: RequestID(i + 1), Class: "write", Budget: time.Second})
		b.TimerFired(now, tickToken)
	}
	alone, wantLines := start(t, settings(), fleet(5))
	for i := range 200 {
		feed(alone, i)
	}
	one, lines := start(t, settings(), fleet(5))
	two, _ := start(t, settings(), fleet(5))
	for i := range 200 {
		feed(two, i+1000)
		feed(one, i)
	}
	if !slices.Equal(lines.lines, wantLines.lines) {
		t.Error("an instance acted differently beside another")
	}
}

func TestStateStaysBounded(t *testing.T) {
	c, _ := runRandomEvents(t, settings(), 3, 0)
	b, err := New(settings(), 3, c.now, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	now := c.now
	for i := range 20000 {
		now += 5 * ms
		if i%10 == 0 {
			list := fleet(4)
			for j := range list {
				list[j].ID += UpstreamID(i)
			}
			b.EndpointsUpdated(now, ListFull, list)
		}
		id := RequestID(i + 1)
		b.RequestArrived(now, Request{ID: id, Class: "read", Budget: 100 * ms, Key: uint64(i), HasKey: true})
		answerIfSent(b, now, id, 10*ms)
		if i%20 == 0 {
			b.TimerFired(now, tickToken)
		}
	}
	b.TimerFired(now+2*time.Second, tickToken)
	if len(b.requests)+len(b.queue.waiting) > 0 || len(b.upstreams) != 4 || len(b.byID) != 4 {
		t.Errorf("kept %d requests, %d queued, %d upstreams", len(b.requests), len(b.queue.waiting), len(b.upstreams))
	}
}
