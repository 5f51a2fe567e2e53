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

// checker follows a Balancer's actions and holds them against the text of the rules. It shares
// nothing with the module.
type checker struct {
	t        *testing.T
	s        Settings
	tenants  []string // most quota first
	now      time.Duration
	requests map[RequestID]*seen
	open     []*sentAttempt // attempts out, in order of sending
	timers   []timerDue
	list     map[UpstreamID]Upstream
	goneAt   map[UpstreamID]time.Duration
	broken   []string
	most     int                            // sends that a warm upstream has had in a slow-start window
	sent     map[UpstreamID][]time.Duration // sends of the last slow-start window
}

type seen struct {
	id       RequestID
	class    Class
	deadline time.Duration
	attempts []*sentAttempt
	finals   int
	ended    time.Duration // when the end was known, 0: open
}

type sentAttempt struct {
	r       *seen
	n       int
	up      Upstream
	at, end time.Duration
	status  Status
	over    bool
}

type timerDue struct {
	at    time.Duration
	token uint64
}

func (c *checker) bad(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

// ran tells whether an attempt may have run or may still run.
func (x *sentAttempt) ran() bool {
	return !x.over || !slices.Contains([]Status{Rejected, ConnectFailed, NotSent}, x.status)
}

func (c *checker) action(kind string, id RequestID, up UpstreamID, d time.Duration, n uint64) {
	switch kind {
	case "timer":
		c.timers = append(c.timers, timerDue{c.now + max(d, ms), n})
	case "send":
		c.send(c.requests[id], up, d)
	case "refuse", "fail":
		c.final(c.requests[id], kind == "refuse")
	case "cancel":
		for _, x := range c.open {
			if x.r.id == id && x.n == int(n) {
				x.end, x.status = c.now+5*ms, Cancelled
			}
		}
	}
}

func (c *checker) send(r *seen, up UpstreamID, d time.Duration) {
	if r.finals > 0 || (r.ended > 0 && r.ended < c.now) {
		c.bad("rule 1: request %d sent after its end", r.id)
	}
	if c.now > r.deadline {
		c.bad("rule 1: request %d sent after its deadline", r.id)
	}
	u, ok := c.list[up]
	if !ok {
		c.bad("upstream %d was never listed", up)
	}
	if at, gone := c.goneAt[up]; gone && c.now > at+c.s.Rules.DrainGrace {
		c.bad("rule 3: request %d sent to %d, leaving since %v", r.id, up, at)
	}
	c.slowStartRule(u)
	out := 0
	for _, x := range r.attempts {
		if !x.over {
			out++
		}
		if x.ran() {
			c.repeatRule(r, x, u)
		}
	}
	if out > 0 && !c.s.Limits.Hedging {
		c.bad("rule 2: request %d has two attempts out", r.id)
	}
	if len(r.attempts) >= c.s.Limits.MaxAttempts {
		c.bad("request %d has too many attempts", r.id)
	}
	x := &sentAttempt{r: r, n: len(r.attempts), up: u, at: c.now, end: r.deadline, status: Timeout}
	if d > 0 {
		x.end = min(r.deadline, c.now+d)
	}
	r.attempts = append(r.attempts, x)
	c.open = append(c.open, x)
}

// repeatRule holds a send against rule 2: an earlier try may have run.
func (c *checker) repeatRule(r *seen, earlier *sentAttempt, u Upstream) {
	keyed := r.class.Idempotency == IdempotentWithKey
	otherZone := r.class.KeyScope == KeyScopeZone && earlier.up.Zone != u.Zone
	otherCell := r.class.KeyScope == KeyScopeCell && earlier.up.Cell != u.Cell
	switch {
	case r.class.Idempotency == NonIdempotent:
		c.bad("rule 2: unsafe request %d sent again", r.id)
	case keyed && c.now > earlier.at+r.class.DeduplicationWindow:
		c.bad("rule 2: keyed request %d sent again after its memory", r.id)
	case keyed && (otherZone || otherCell):
		c.bad("rule 2: keyed request %d sent outside its group", r.id)
	}
}

// slowStartRule holds a send against rule 4: within any window a fresh upstream gets no more than the multiple of what
// it can do. What a warm one can do is the most that any has been sent in such a window, and at least this balancer's
// even share of drive's traffic: 133 requests a second, over two balancers and five upstreams.
func (c *checker) slowStartRule(u Upstream) {
	age, after := c.now-u.StartedAt, c.s.Rules.OverloadWindow
	c.sent[u.ID] = append(slices.DeleteFunc(c.sent[u.ID], func(at time.Duration) bool {
		return at <= c.now-after || at < u.StartedAt
	}), c.now)
	n := len(c.sent[u.ID])
	if u.StartedAt == 0 || age >= c.s.Rules.SlowStartDuration {
		c.most = max(c.most, n)
		return
	}
	can := c.s.Rules.SlowStartFloor + (1-c.s.Rules.SlowStartFloor)*float64(age)/float64(c.s.Rules.SlowStartDuration)
	if most := c.s.Rules.OverloadMultiple * can * max(float64(c.most), 133.0/5/2*after.Seconds()); float64(n) > most+3 {
		c.bad("rule 4: upstream %d, started %v ago, was sent %d, %.1f fit", u.ID, age, n, most)
	}
}

func (c *checker) final(r *seen, refused bool) {
	r.finals++
	if r.finals > 1 || (r.ended > 0 && r.ended < c.now) {
		c.bad("rule 1: request %d answered twice", r.id)
	}
	if c.now > r.deadline+c.s.Rules.AnswerSlack {
		c.bad("rule 1: request %d answered %v late", r.id, c.now-r.deadline)
	}
	for _, x := range r.attempts {
		keyedEverywhere := r.class.Idempotency == IdempotentWithKey && r.class.KeyScope == KeyScopeAll
		harmless := r.class.Idempotency == Idempotent || keyedEverywhere
		if refused && x.ran() && !harmless {
			c.bad("rule 2: request %d refused though it may have run", r.id)
		}
	}
}

// drive feeds random legal events for a while and returns the rules broken.
func drive(t *testing.T, s Settings, seed uint64, origin time.Duration) (*checker, *recorder) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	c := &checker{
		t: t, s: s, now: origin, requests: map[RequestID]*seen{}, list: map[UpstreamID]Upstream{},
		goneAt: map[UpstreamID]time.Duration{}, sent: map[UpstreamID][]time.Duration{},
	}
	for _, x := range slices.SortedFunc(s.Tenants.All(), func(x, y Tenant) int { return cmp.Compare(y.Quota, x.Quota) }) {
		c.tenants = append(c.tenants, x.Name)
	}
	h := &recorder{hook: c.action}
	b, err := New(s, seed, c.now, h)
	if err != nil {
		t.Fatal(err)
	}
	c.members(b, ListCached, fleet(5))
	next := RequestID(1)
	for step := range 4000 {
		c.now += 5 * ms
		if step < 3600 && rng.IntN(3) > 0 {
			c.request(b, rng, next)
			next++
		}
		c.finishSome(b, rng)
		if rng.IntN(60) == 0 {
			c.change(b, rng)
		}
		c.fire(b)
		c.overdue()
	}
	return c, h
}

func (c *checker) request(b *Balancer, rng *rand.Rand, id RequestID) {
	cl := c.s.Classes[rng.IntN(len(c.s.Classes))]
	budget := cl.Deadline // a first attempt; the others are later ones, or of impatient clients
	if rng.IntN(2) == 0 {
		budget = time.Duration(1+rng.Int64N(int64(cl.Deadline/ms))) * ms
	}
	if rng.IntN(40) == 0 {
		budget = -time.Duration(rng.IntN(2)) * ms
	}
	r := &seen{id: id, class: cl, deadline: c.now + budget}
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
		r.ended = c.now
		b.ClientLeft(c.now, id)
	}
}

// finishSome ends attempts that are due, and some at random with any status.
func (c *checker) finishSome(b *Balancer, rng *rand.Rand) {
	for _, x := range slices.Clone(c.open) {
		if x.end > c.now && rng.IntN(12) > 0 {
			continue
		}
		if x.end > c.now {
			x.status = []Status{OK, OK, OK, OK, Error, Rejected, ConnectFailed, Reset}[rng.IntN(8)]
		}
		x.over = true
		c.open = slices.DeleteFunc(c.open, func(y *sentAttempt) bool { return y == x })
		r, load := x.r, Load{}
		if rng.IntN(2) == 0 {
			load = Load{Fields: HasUtil, Util: rng.Float64()}
		} else if rng.IntN(20) == 0 {
			load = Load{Fields: HasUtil | HasInflight, Util: math.NaN(), Inflight: math.Inf(-1)}
		}
		closed := r.ended > 0 || r.finals > 0
		if x.status == OK && !closed {
			r.ended, r.finals, closed = c.now, r.finals+1, true
		}
		o := AttemptResult{
			ID: r.id, Upstream: x.up.ID, Attempt: x.n, Latency: c.now - x.at, Status: x.status, Closed: closed, Load: load,
		}
		b.AttemptFinished(c.now, o)
		if rng.IntN(20) == 0 { // told twice, which must be passed over
			b.AttemptFinished(c.now, o)
		}
	}
}

func (c *checker) members(b *Balancer, mode ListMode, list []Upstream) {
	for _, u := range list {
		c.list[u.ID] = u
		if delete(c.goneAt, u.ID); u.State != Active {
			c.goneAt[u.ID] = c.now
		}
	}
	if mode == ListFull || mode == ListCached {
		for id := range c.list {
			_, told := c.goneAt[id]
			if !told && !slices.ContainsFunc(list, func(u Upstream) bool { return u.ID == id }) {
				c.goneAt[id] = c.now
			}
		}
	}
	b.EndpointsUpdated(c.now, mode, list)
}

func (c *checker) change(b *Balancer, rng *rand.Rand) {
	list := fleet(8)
	switch rng.IntN(6) {
	case 0:
		c.members(b, ListFull, list[rng.IntN(9):])
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
		c.members(b, ListDelta, []Upstream{u, u})
	}
}

func (c *checker) fire(b *Balancer) {
	due := c.timers
	c.timers = nil
	for _, a := range due {
		if a.at <= c.now {
			b.TimerFired(c.now, a.token)
		} else {
			c.timers = append(c.timers, a)
		}
	}
}

// overdue finds requests that have had no final answer in time.
func (c *checker) overdue() {
	for id, r := range c.requests {
		if r.finals == 0 && r.ended == 0 && c.now > r.deadline+c.s.Rules.AnswerSlack {
			c.bad("rule 1: request %d got no final answer", id)
			r.finals = 1
		}
	}
}

// variants are settings that ask the rules differently.
func variants() map[string]Settings {
	all, cell, copies, asked := settings(), settings(), settings(), settings()
	all.Classes[1].KeyScope = KeyScopeAll
	cell.Classes[1].KeyScope, cell.Limits.Hedging = KeyScopeCell, true
	copies.Limits.Hedging, copies.Limits.Cancel, copies.WarmKeys = true, false, false
	asked.PollDiscovery, asked.Reports, asked.WeightByWork = true, ReportHealthChecks, false
	many := settings()
	many.Balancers, many.Rank, many.Limits.Hedging, many.Weights = 5, 4, true, WeightLive
	return map[string]Settings{
		"zone": settings(), "all": all, "cell": cell, "copies": copies, "asked": asked, "many": many,
	}
}

func TestRulesHoldOnRandomEvents(t *testing.T) {
	for name, s := range variants() {
		for seed := range uint64(12) {
			c, h := drive(t, s, seed, time.Duration(seed)*time.Hour)
			if len(c.broken) > 0 {
				t.Errorf("%s, seed %d: %d broken, first: %s", name, seed, len(c.broken), c.broken[0])
			}
			if h.count("send") < 300 || h.count("refuse") == 0 || h.count("fail") == 0 {
				t.Errorf("%s, seed %d: the events asked too little: %d sends", name, seed, h.count("send"))
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
	_, want := drive(t, settings(), 7, 10*time.Hour)
	for _, c := range []struct {
		name   string
		s      Settings
		origin time.Duration
	}{
		{"again", settings(), 10 * time.Hour},
		{"clock shifted", settings(), 500 * time.Hour},
		{"classes, tenants and the zone renamed", renamed, 10 * time.Hour},
	} {
		if _, got := drive(t, c.s, 7, c.origin); !slices.Equal(got.lines, want.lines) {
			t.Errorf("%s: other actions", c.name)
		}
	}
	if _, other := drive(t, settings(), 8, 10*time.Hour); slices.Equal(other.lines, want.lines) {
		t.Error("another seed gave the same actions, so the comparison shows nothing")
	}
}

// Instances share nothing, not even in one process: one fed in between leaves the other as it was.
func TestInstancesApartOrTogether(t *testing.T) {
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
		t.Error("an instance acted otherwise beside another")
	}
}

func TestStateStaysBounded(t *testing.T) {
	c, _ := drive(t, settings(), 3, 0)
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
