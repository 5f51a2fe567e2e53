package balancer

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// timerSet is a timer that a Balancer has asked for.
type timerSet struct {
	at    time.Duration
	token uint64
}

type timerHeap []timerSet

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timerSet)) }
func (h *timerHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// twin is one of two Balancers that have the same events, with its timers and what it has done.
type twin struct {
	*Balancer
	recorder
	timers timerHeap
	now    time.Duration
	ticks  int
	acts   []string
	sent   []sentTo
}

type sentTo struct {
	id RequestID
	up UpstreamID
}

func newTwin(t testing.TB, s Settings, seed uint64) *twin {
	t.Helper()
	w := &twin{now: time.Hour}
	w.hook = func(kind string, id RequestID, up UpstreamID, d time.Duration, n uint64) {
		switch kind {
		case "timer":
			heap.Push(&w.timers, timerSet{w.now + d, n})
			if n == tickToken {
				return
			}
		case "send":
			w.sent = append(w.sent, sentTo{id, up})
		}
		w.acts = append(w.acts, fmt.Sprint(w.now, " ", w.lines[len(w.lines)-1]))
		w.lines = w.lines[:0]
	}
	var err error
	if w.Balancer, err = New(s, seed, w.now, w); err != nil {
		t.Fatal(err)
	}
	return w
}

// turn lets the timers go off that are due.
func (w *twin) turn(now time.Duration) {
	for len(w.timers) > 0 && w.timers[0].at <= now {
		x := heap.Pop(&w.timers).(timerSet)
		w.now = x.at
		if x.token == tickToken {
			w.ticks++
		}
		w.TimerFired(w.now, x.token)
	}
	w.now = now
}

// state is all that a Balancer goes by, but for whether it ticks.
func (w *twin) state() string {
	b := w.Balancer
	b.catchUp(w.now) // after what is not for a rest, such as the end of an attempt that is not known
	rng, _ := b.rngSource.MarshalBinary()
	var s strings.Builder
	fmt.Fprintf(&s, "%x %v %v %v\n", rng, b.inFlight, len(b.queue.waiting), len(b.requests))
	queue := b.queue
	queue.waiting = nil
	fmt.Fprintf(&s, "%+v %+v %v %v\n", queue, b.interleaver, b.latency, b.meanCost)
	fmt.Fprintf(&s, "%+v %+v %+v %v\n", b.limits, b.arrivals, b.fleet, b.periodStartedAt)
	fmt.Fprintf(&s, "%v %v\n", b.subset.hasHealthy, b.subset.loadFactor)
	for _, list := range [][]*upstreamState{b.subset.upstreams, b.upstreams} {
		for _, u := range list {
			x := *u
			x.inFlight = nil
			fmt.Fprintf(&s, "%v %+v\n", len(u.inFlight), x)
		}
	}
	for _, c := range b.settings.Classes {
		fmt.Fprintf(&s, "%+v\n", *b.classes[c.Name])
	}
	return s.String()
}

// The oracle of a module that rests: with the same events at the same times it does what one does that ticks, to the
// bit, and comes to the same state, its draws included. Pauses go from a millisecond to minutes.
func TestRestingDecidesAsTicking(t *testing.T) {
	rested, ticked := 0, 0
	for seed := range uint64(16) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := settings()
		s.Balancers = []int{1, 2, 12, 300}[rng.IntN(4)]
		s.Rank = rng.IntN(s.Balancers)
		s.Reports = []ReportVia{ReportAnswers, ReportAnswers, ReportNone, ReportAnswers, ReportHealthChecks}[rng.IntN(5)]
		s.Weights = []WeightKind{WeightNominal, WeightLive, WeightNone}[rng.IntN(3)]
		if rng.IntN(3) == 0 {
			s.Tenants = nil
		}
		s.Granularity = time.Duration(40+rng.IntN(100)) * ms
		now := time.Hour
		plain := newTwin(t, s, seed)
		s.SuspendWhenIdle = true
		rest := newTwin(t, s, seed)
		newComparison(t, rng, s, now, plain, rest).play()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		rested, ticked = rested+rest.ticks, ticked+plain.ticks
	}
	if rested*3 > ticked {
		t.Errorf("%d ticks at rest, %d without: it hardly rests", rested, ticked)
	}
	t.Logf("%d ticks instead of %d", rested, ticked)
}

// outcomeDue is the end of an attempt that a test has decided on.
type outcomeDue struct {
	at time.Duration
	o  AttemptResult
}

// comparison lets two twins have the same events by chance, and compares what they do.
type comparison struct {
	t           *testing.T
	rng         *rand.Rand
	s           Settings
	now         time.Duration
	plain, rest *twin
	list        []Upstream
	ends        []outcomeDue
	open        []RequestID
	attempts    map[RequestID]int
	id          RequestID
	busy        int // events left of a busy spell
}

func newComparison(t *testing.T, rng *rand.Rand, s Settings, now time.Duration, plain, rest *twin) *comparison {
	t.Helper()
	c := &comparison{t: t, rng: rng, s: s, now: now, plain: plain, rest: rest, attempts: map[RequestID]int{}}
	c.list = fleet(1 + rng.IntN(40))
	for i := range c.list {
		c.list[i].Weight = 1 + float64(rng.IntN(3))
	}
	c.both(func(w *twin) { w.EndpointsUpdated(now, ListFull, c.list) })
	return c
}

func (c *comparison) both(do func(w *twin)) {
	for _, w := range []*twin{c.plain, c.rest} {
		w.turn(c.now)
		do(w)
	}
}

func (c *comparison) play() {
	c.t.Helper()
	for range 200 {
		c.finishUntil(c.now + c.pause())
		c.event(c.rng.IntN(20))
		c.compareActions()
		if c.t.Failed() {
			return
		}
	}
}

// pause is the time to the next event.
func (c *comparison) pause() time.Duration {
	wait := time.Duration(c.rng.IntN(20)) * ms
	c.busy--
	if c.busy < 0 {
		waits := []time.Duration{
			ms, 40 * ms, time.Second, 3 * time.Second, 3 * time.Second, 20 * time.Second, 20 * time.Second, time.Minute,
		}
		wait = waits[c.rng.IntN(8)]
		wait += time.Duration(c.rng.IntN(1000)) * time.Millisecond / 3
		if c.rng.IntN(2) == 0 {
			c.busy = c.rng.IntN(60)
		}
	}
	return wait
}

// finishUntil lets attempts end that are due, in order.
func (c *comparison) finishUntil(until time.Duration) {
	c.t.Helper()
	slices.SortStableFunc(c.ends, func(x, y outcomeDue) int { return int(x.at - y.at) })
	for len(c.ends) > 0 && c.ends[0].at <= until {
		c.now = c.ends[0].at
		o := c.ends[0].o
		c.ends = c.ends[1:]
		c.both(func(w *twin) { w.AttemptFinished(c.now, o) })
		c.compareActions()
	}
	c.now = until
}

// event lets something happen that is not the end of an attempt.
func (c *comparison) event(n int) {
	c.t.Helper()
	switch {
	case n < 12:
		c.request()
	case n < 13 && len(c.open) > 0:
		x := c.open[c.rng.IntN(len(c.open))]
		c.both(func(w *twin) { w.ClientLeft(c.now, x) })
	case n < 14:
		c.changeEndpoint()
	case n < 15: // the whole list, without one
		i := c.rng.IntN(len(c.list))
		list := slices.Delete(slices.Clone(c.list), i, i+1)
		c.both(func(w *twin) { w.EndpointsUpdated(c.now, ListFull, slices.Clone(list)) })
	case n < 16:
		x, most := c.list[c.rng.IntN(len(c.list))].ID, c.rng.IntN(4)
		c.both(func(w *twin) { w.MaxInFlightChanged(c.now, x, most) })
	case n < 17:
		c.configure()
	case n < 18:
		m := c.plain.Snapshot()
		c.both(func(w *twin) { w.Restore(c.now, m) })
	case n < 19:
		load := Load{Fields: HasUtil, Util: float64(c.id%10) / 10}
		result := HealthCheckResult{Upstream: c.list[c.rng.IntN(len(c.list))].ID, Status: OK, Load: load}
		c.both(func(w *twin) { w.HealthCheckFinished(c.now, result) })
	default:
		c.compareViews()
	}
}

func (c *comparison) request() {
	c.id++
	q := Request{
		ID: c.id, Class: []string{"read", "keyed", "write"}[c.rng.IntN(3)],
		Budget: time.Duration(100+c.rng.IntN(900)) * ms,
		Tenant: []string{"", "big", "small"}[c.rng.IntN(3)], Cost: time.Duration(c.rng.IntN(3)) * 10 * ms,
	}
	c.open = append(c.open, c.id)
	c.both(func(w *twin) { w.RequestArrived(c.now, q) })
}

func (c *comparison) changeEndpoint() {
	i := c.rng.IntN(len(c.list))
	switch c.rng.IntN(4) {
	case 0:
		c.list[i].State = Draining
	case 1:
		c.list[i].State = Active
	case 2:
		c.list[i].StartedAt = c.now - time.Duration(c.rng.IntN(10))*time.Second
		c.list[i].State = Active
	default:
		c.list[i].Weight = 1 + float64(c.rng.IntN(4))
	}
	c.both(func(w *twin) { w.EndpointsUpdated(c.now, ListDelta, c.list[i:i+1]) })
}

func (c *comparison) configure() {
	c.t.Helper()
	c.s.Balancers = 1 + c.rng.IntN(20)
	c.s.Rank = 0
	c.s.Classes = slices.Clone(c.s.Classes)
	c.s.Classes[0].LatencyObjective = time.Duration(100+c.rng.IntN(300)) * ms
	c.both(func(w *twin) {
		c.s.SuspendWhenIdle = w == c.rest
		if err := w.Configure(c.now, c.s); err != nil {
			c.t.Fatal(err)
		}
	})
}

func (c *comparison) compareViews() {
	c.t.Helper()
	var views [2]string
	for i, w := range []*twin{c.plain, c.rest} {
		w.turn(c.now)
		v, held := w.View(c.now)
		views[i] = fmt.Sprintf("%+v %d", v, held)
	}
	if views[0] != views[1] {
		c.t.Fatalf("at %v: view\n%s\nticking\n%s", c.now, views[1], views[0])
	}
}

// compareActions compares what the two have done, and decides how what they have sent ends.
func (c *comparison) compareActions() {
	c.t.Helper()
	if x, y := c.plain.acts, c.rest.acts; !slices.Equal(x, y) {
		c.t.Fatalf("at %v: did\n%s\nticking\n%s", c.now, strings.Join(y, "\n"), strings.Join(x, "\n"))
	}
	if c.rng.IntN(8) == 0 { // to write it down takes long
		c.compareStates()
	}
	for _, x := range c.plain.sent {
		n := c.attempts[x.id]
		c.attempts[x.id]++
		o := AttemptResult{ID: x.id, Upstream: x.up, Attempt: n, Latency: time.Duration(1+c.rng.IntN(200)) * ms}
		o.Status = []Status{OK, OK, OK, OK, OK, OK, Error, Rejected, Timeout, ConnectFailed, Reset}[c.rng.IntN(11)]
		if c.rng.IntN(2) == 0 {
			o.Load = Load{Fields: HasUtil, Util: c.rng.Float64()}
		}
		c.ends = append(c.ends, outcomeDue{c.now + o.Latency, o})
	}
	c.plain.sent, c.rest.sent = nil, nil
	c.plain.acts, c.rest.acts = nil, nil
}

func (c *comparison) compareStates() {
	c.t.Helper()
	x, y := c.plain.state(), c.rest.state()
	if x == y {
		return
	}
	a, b := strings.Split(x, "\n"), strings.Split(y, "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			c.t.Fatalf("at %v: state, line %d of %d:\n%s\nticking, of %d\n%s", c.now, i, len(b), b[i], len(a), a[i])
		}
	}
	c.t.Fatalf("at %v: state of %d lines, ticking of %d", c.now, len(b), len(a))
}

// The source goes on by any number of draws as if each had been made.
func TestSkipDraws(t *testing.T) {
	b, _ := start(t, settings(), fleet(3))
	c, _ := start(t, settings(), fleet(3))
	for _, n := range []int{0, 1, 15, 16, 17, 1000, 77777} {
		b.skipDraws(n)
		for range n {
			c.rng.Float64()
		}
		x, _ := b.rngSource.MarshalBinary()
		y, _ := c.rngSource.MarshalBinary()
		if !bytes.Equal(x, y) {
			t.Fatalf("after %d draws: %x, want %x", n, x, y)
		}
	}
}

// A gather that is left out because nothing has moved would have come to the same: what was chosen, and the draws.
func TestSubsetChoiceLeftOut(t *testing.T) {
	s := settings()
	s.Balancers, s.Rank = 12, 5
	list := fleet(60)
	b, _ := start(t, s, list)
	c, _ := start(t, s, list)
	rng := rand.New(rand.NewPCG(1, 1))
	left := 0
	for i := range 2000 {
		now := time.Hour + time.Duration(i)*100*ms
		for _, w := range []*Balancer{b, c} {
			u := w.upstreams[i%len(w.upstreams)]
			switch i % 37 {
			case 5:
				u.State = Draining
			case 9:
				u.outlier.unresponsive = !u.outlier.unresponsive
			case 14:
				w.beginWarmUp(u, now)
			case 21:
				u.State = Active
			case 30:
				w.arrivals.perSecond = float64(i % 400)
			case 33:
				u.share.weight = float64(1 + i%3)
			}
		}
		if rng.IntN(2) == 0 {
			continue
		}
		b.chooseSubset(now)
		c.subset.inputs = subsetInputs{} // it always looks
		c.chooseSubset(now)
		if b.subset.unchanged {
			left++
		}
		x, _ := b.rngSource.MarshalBinary()
		y, _ := c.rngSource.MarshalBinary()
		if !bytes.Equal(x, y) || b.limits.initial != c.limits.initial || b.subset.hasHealthy != c.subset.hasHealthy ||
			len(b.subset.upstreams) != len(c.subset.upstreams) {
			t.Fatalf("turn %d: not the same", i)
		}
		for j, u := range b.subset.upstreams {
			v := c.subset.upstreams[j]
			if u.ID != v.ID || u.inSubset != v.inSubset || u.share.subsetPart != v.share.subsetPart ||
				u.nextTurn != v.nextTurn || u.limit.nextSendAt != v.limit.nextSendAt {
				t.Fatalf("turn %d: upstream %d is not the same", i, u.ID)
			}
		}
	}
	if left < 100 {
		t.Errorf("left out %d times", left)
	}
}

// Two hours and a half go by at once: longer than the work of before fades in, down to the least figure there is.
func TestLongIdleTime(t *testing.T) {
	s := settings()
	s.Granularity, s.Tenants = 250*ms, nil
	now := time.Hour
	plain := newTwin(t, s, 3)
	s.SuspendWhenIdle = true
	rest := newTwin(t, s, 3)
	list := fleet(30)
	for i := range list {
		list[i].Weight = 1000 // what is carried for it comes to 0 sooner than the work
	}
	for _, w := range []*twin{plain, rest} {
		w.EndpointsUpdated(now, ListFull, list)
		for i := range 40 {
			id := RequestID(i + 1)
			w.RequestArrived(now, Request{ID: id, Class: "read", Budget: time.Second})
			for _, x := range w.sent {
				w.AttemptFinished(now, AttemptResult{
					ID: x.id, Upstream: x.up, Latency: 20 * ms, Status: OK,
					Load: Load{Fields: HasUtil, Util: float64(i%7) / 7},
				})
			}
			w.sent = nil
		}
	}
	for _, pause := range []time.Duration{time.Second, time.Minute, time.Hour, 90 * time.Minute, time.Minute} {
		now += pause
		for _, w := range []*twin{plain, rest} {
			w.turn(now)
		}
		if x, y := plain.state(), rest.state(); x != y {
			t.Fatalf("after %v: state\n%s\nticking\n%s", pause, y, x)
		}
	}
	if rest.ticks > 10 {
		t.Errorf("%d ticks", rest.ticks)
	}
}

// BenchmarkCatchUp is the cost of the first event after a rest.
func BenchmarkCatchUp(b *testing.B) {
	for _, n := range []int{10, 100, 2000} {
		for _, pause := range []time.Duration{time.Minute, time.Hour} {
			b.Run(fmt.Sprintf("%d/%v", n, pause), func(b *testing.B) {
				s := settings()
				s.SuspendWhenIdle, s.Balancers = true, 1
				now := time.Hour
				w := newTwin(b, s, 1)
				w.EndpointsUpdated(now, ListFull, fleet(n))
				id := RequestID(0)
				for b.Loop() {
					b.StopTimer()
					for range 2 * n { // all have work that fades
						id++
						w.RequestArrived(now, Request{ID: id, Class: "read", Budget: time.Second})
						for _, x := range w.sent {
							w.AttemptFinished(now, AttemptResult{ID: x.id, Upstream: x.up, Latency: 20 * ms, Status: OK})
						}
						w.sent, w.acts = nil, nil
						now += ms
						w.turn(now)
					}
					now += 200 * ms
					w.turn(now)
					now += pause
					b.StartTimer()
					w.catchUp(now)
				}
			})
		}
	}
}

// Ticks of 20 ms, of which the first that is left out was due at 1 s.
func TestIdleTicks(t *testing.T) {
	s := idleState{suspended: true, nextTickAt: time.Second}
	for _, c := range []struct{ at, from, until time.Duration }{
		{time.Second, time.Second, time.Second},
		{1001 * ms, 1020 * ms, time.Second},
		{1020 * ms, 1020 * ms, 1020 * ms},
		{1039 * ms, 1040 * ms, 1020 * ms},
		{2 * time.Second, 2 * time.Second, 2 * time.Second},
	} {
		if got := s.firstTickFrom(c.at, 20*ms); got != c.from {
			t.Errorf("first tick from %v on: %v, want %v", c.at, got, c.from)
		}
		if got := s.lastTickUntil(c.at, 20*ms); got != c.until {
			t.Errorf("last tick until %v: %v, want %v", c.at, got, c.until)
		}
	}
	if got := s.firstTickFrom(0, 20*ms); got != time.Second {
		t.Errorf("first tick from 0 on: %v, want the next one", got)
	}
}

func TestIsIdle(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(b *Balancer)
		idle   bool
	}{
		{"nothing open", func(*Balancer) {}, true},
		{"an open request", func(b *Balancer) { b.requests[1] = &request{} }, false},
		{"a queued request", func(b *Balancer) { b.queue.waiting = []*request{{}} }, false},
		{"an attempt in flight", func(b *Balancer) { b.inFlight = 1 }, false},
		{"health checks tell of load", func(b *Balancer) { b.settings.Reports = ReportHealthChecks }, false},
		{"it must not suspend", func(b *Balancer) { b.settings.SuspendWhenIdle = false }, false},
	} {
		s := settings()
		s.SuspendWhenIdle = true
		b, _ := start(t, s, fleet(2))
		if c.change(b); b.isIdle() != c.idle {
			t.Errorf("%s: idle %v", c.name, !c.idle)
		}
	}
}

// Work of 10 and 20 fades by a tenth each period; only the first counts as warm, at half use.
func TestIdleWorkFades(t *testing.T) {
	for _, c := range []struct {
		periods       int
		means         [2]float64
		workPerWeight float64
	}{{1, [2]float64{9, 18}, 6}, {2, [2]float64{8.1, 16.2}, 5.4}, {3, [2]float64{7.29, 14.58}, 4.86}} {
		upstreams := []*upstreamState{
			{workload: workload{mean: 10}, band: bollingerBand{mean: 0.5}}, {workload: workload{mean: 20}},
		}
		work := idleWork{weight: 3}
		work.add(upstreams[0], true)
		work.add(upstreams[1], false)
		fleet := fleetStats{workPerWeight: 99}
		work.decay(c.periods, &fleet)
		if !near(upstreams[0].workload.mean, c.means[0]) || !near(upstreams[1].workload.mean, c.means[1]) {
			t.Errorf("%d periods: %v, %v", c.periods, upstreams[0].workload.mean, upstreams[1].workload.mean)
		}
		if !near(fleet.workPerWeight, c.workPerWeight) {
			t.Errorf("%d periods: %v carried, want %v", c.periods, fleet.workPerWeight, c.workPerWeight)
		}
	}
}
