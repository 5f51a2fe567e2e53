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

// timerEntry is a timer that a Balancer has set.
type timerEntry struct {
	at    time.Duration
	token uint64
}

type timerHeap []timerEntry

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timerEntry)) }
func (h *timerHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// twin is one of two Balancers that get the same events. It fires the timers and records the actions.
type twin struct {
	*Balancer
	recorder
	timers  timerHeap
	now     time.Duration
	ticks   int
	actions []string
	sent    []sentAttempt
}

type sentAttempt struct {
	id RequestID
	up UpstreamID
}

func newTwin(t testing.TB, s Settings, seed uint64) *twin {
	t.Helper()
	w := &twin{now: time.Hour}
	w.hook = func(kind string, id RequestID, up UpstreamID, d time.Duration, n uint64) {
		switch kind {
		case "timer":
			heap.Push(&w.timers, timerEntry{w.now + d, n})
			if n == tickToken {
				return
			}
		case "send":
			w.sent = append(w.sent, sentAttempt{id, up})
		}
		w.actions = append(w.actions, fmt.Sprint(w.now, " ", w.lines[len(w.lines)-1]))
		w.lines = w.lines[:0]
	}
	var err error
	if w.Balancer, err = New(s, seed, w.now, w); err != nil {
		t.Fatal(err)
	}
	return w
}

// advance advances the clock to now, and fires the timers that are due.
func (w *twin) advance(now time.Duration) {
	for len(w.timers) > 0 && w.timers[0].at <= now {
		x := heap.Pop(&w.timers).(timerEntry)
		w.now = x.at
		if x.token == tickToken {
			w.ticks++
		}
		w.TimerFired(w.now, x.token)
	}
	w.now = now
}

// state returns the state of the Balancer as text, except whether its ticks are suspended.
func (w *twin) state() string {
	b := w.Balancer
	b.catchUp(w.now) // an ignored event, such as the end of an unknown attempt, does not catch up
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

// With the same events, a Balancer that suspends its ticks takes the same actions as one that ticks, and reaches the
// same state bit for bit, including the random source. Pauses between events last from 1 ms to over 1 min.
func TestSuspendedTicksChangeNothing(t *testing.T) {
	suspended, ticked := 0, 0
	for seed := range uint64(16) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := settings()
		s.Balancers = []int{1, 2, 12, 300}[rng.IntN(4)]
		s.Rank = rng.IntN(s.Balancers)
		s.Reports = []ReportSource{ReportAnswers, ReportAnswers, ReportNone, ReportAnswers, ReportHealthChecks}[rng.IntN(5)]
		s.Weights = []WeightKind{WeightNominal, WeightLive, WeightNone}[rng.IntN(3)]
		if rng.IntN(3) == 0 {
			s.Tenants = nil
		}
		s.Granularity = time.Duration(40+rng.IntN(100)) * ms
		now := time.Hour
		ticking := newTwin(t, s, seed)
		s.SuspendWhenIdle = true
		suspending := newTwin(t, s, seed)
		newComparison(t, rng, s, now, ticking, suspending).run()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		suspended, ticked = suspended+suspending.ticks, ticked+ticking.ticks
	}
	if suspended*3 > ticked {
		t.Errorf("%d ticks with suspension, %d without, want at most a third", suspended, ticked)
	}
	t.Logf("%d ticks instead of %d", suspended, ticked)
}

// scheduledResult is the result of an attempt that a test reports at a later time.
type scheduledResult struct {
	at time.Duration
	o  AttemptResult
}

// comparison feeds two twins with the same random events, and compares their actions and states.
type comparison struct {
	t                   *testing.T
	rng                 *rand.Rand
	s                   Settings
	now                 time.Duration
	ticking, suspending *twin
	list                []Upstream
	results             []scheduledResult
	requests            []RequestID
	attempts            map[RequestID]int
	lastID              RequestID
	burst               int // remaining events of a burst
}

func newComparison(t *testing.T, rng *rand.Rand, s Settings, now time.Duration, ticking, suspending *twin) *comparison {
	t.Helper()
	c := &comparison{
		t: t, rng: rng, s: s, now: now, ticking: ticking, suspending: suspending, attempts: map[RequestID]int{},
	}
	c.list = fleet(1 + rng.IntN(40))
	for i := range c.list {
		c.list[i].Weight = 1 + float64(rng.IntN(3))
	}
	c.both(func(w *twin) { w.EndpointsUpdated(now, ListFull, c.list) })
	return c
}

func (c *comparison) both(do func(w *twin)) {
	for _, w := range []*twin{c.ticking, c.suspending} {
		w.advance(c.now)
		do(w)
	}
}

func (c *comparison) run() {
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

// pause returns a random time to the next event.
func (c *comparison) pause() time.Duration {
	wait := time.Duration(c.rng.IntN(20)) * ms
	c.burst--
	if c.burst < 0 {
		waits := []time.Duration{
			ms, 40 * ms, time.Second, 3 * time.Second, 3 * time.Second, 20 * time.Second, 20 * time.Second, time.Minute,
		}
		wait = waits[c.rng.IntN(8)]
		wait += time.Duration(c.rng.IntN(1000)) * time.Millisecond / 3
		if c.rng.IntN(2) == 0 {
			c.burst = c.rng.IntN(60)
		}
	}
	return wait
}

// finishUntil reports the results of attempts until a time, in order.
func (c *comparison) finishUntil(until time.Duration) {
	c.t.Helper()
	slices.SortStableFunc(c.results, func(x, y scheduledResult) int { return int(x.at - y.at) })
	for len(c.results) > 0 && c.results[0].at <= until {
		c.now = c.results[0].at
		o := c.results[0].o
		c.results = c.results[1:]
		c.both(func(w *twin) { w.AttemptFinished(c.now, o) })
		c.compareActions()
	}
	c.now = until
}

// event feeds a random event other than the result of an attempt.
func (c *comparison) event(n int) {
	c.t.Helper()
	switch {
	case n < 12:
		c.request()
	case n < 13 && len(c.requests) > 0:
		x := c.requests[c.rng.IntN(len(c.requests))]
		c.both(func(w *twin) { w.ClientLeft(c.now, x) })
	case n < 14:
		c.updateEndpoint()
	case n < 15: // the full list, except for one endpoint
		i := c.rng.IntN(len(c.list))
		list := slices.Delete(slices.Clone(c.list), i, i+1)
		c.both(func(w *twin) { w.EndpointsUpdated(c.now, ListFull, slices.Clone(list)) })
	case n < 16:
		x, most := c.list[c.rng.IntN(len(c.list))].ID, c.rng.IntN(4)
		c.both(func(w *twin) { w.MaxInFlightChanged(c.now, x, most) })
	case n < 17:
		c.configure()
	case n < 18:
		snapshot := c.ticking.Snapshot()
		c.both(func(w *twin) { w.Restore(c.now, snapshot) })
	case n < 19:
		load := Load{Fields: HasUtilisation, Utilisation: float64(c.lastID%10) / 10}
		result := HealthCheckResult{Upstream: c.list[c.rng.IntN(len(c.list))].ID, Status: OK, Load: load}
		c.both(func(w *twin) { w.HealthCheckFinished(c.now, result) })
	default:
		c.compareViews()
	}
}

func (c *comparison) request() {
	c.lastID++
	q := Request{
		ID: c.lastID, Class: []string{"read", "keyed", "write"}[c.rng.IntN(3)],
		Budget: time.Duration(100+c.rng.IntN(900)) * ms,
		Tenant: []string{"", "big", "small"}[c.rng.IntN(3)], Cost: time.Duration(c.rng.IntN(3)) * 10 * ms,
	}
	c.requests = append(c.requests, c.lastID)
	c.both(func(w *twin) { w.RequestArrived(c.now, q) })
}

func (c *comparison) updateEndpoint() {
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
		c.s.SuspendWhenIdle = w == c.suspending
		if err := w.Configure(c.now, c.s); err != nil {
			c.t.Fatal(err)
		}
	})
}

func (c *comparison) compareViews() {
	c.t.Helper()
	var views [2]string
	for i, w := range []*twin{c.ticking, c.suspending} {
		w.advance(c.now)
		v, queued := w.View(c.now)
		views[i] = fmt.Sprintf("%+v %d", v, queued)
	}
	if views[0] != views[1] {
		c.t.Fatalf("at %v: view with suspension\n%s\nwithout\n%s", c.now, views[1], views[0])
	}
}

// compareActions compares the actions of the twins, and schedules random results of the attempts that they sent.
func (c *comparison) compareActions() {
	c.t.Helper()
	if x, y := c.ticking.actions, c.suspending.actions; !slices.Equal(x, y) {
		c.t.Fatalf("at %v: actions with suspension\n%s\nwithout\n%s", c.now, strings.Join(y, "\n"), strings.Join(x, "\n"))
	}
	if c.rng.IntN(8) == 0 { // comparing states is slow
		c.compareStates()
	}
	for _, x := range c.ticking.sent {
		n := c.attempts[x.id]
		c.attempts[x.id]++
		o := AttemptResult{ID: x.id, Upstream: x.up, Attempt: n, Latency: time.Duration(1+c.rng.IntN(200)) * ms}
		o.Status = []Status{OK, OK, OK, OK, OK, OK, Error, Rejected, Timeout, ConnectFailed, Reset}[c.rng.IntN(11)]
		if c.rng.IntN(2) == 0 {
			o.Load = Load{Fields: HasUtilisation, Utilisation: c.rng.Float64()}
		}
		c.results = append(c.results, scheduledResult{c.now + o.Latency, o})
	}
	c.ticking.sent, c.suspending.sent = nil, nil
	c.ticking.actions, c.suspending.actions = nil, nil
}

func (c *comparison) compareStates() {
	c.t.Helper()
	x, y := c.ticking.state(), c.suspending.state()
	if x == y {
		return
	}
	a, b := strings.Split(x, "\n"), strings.Split(y, "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			c.t.Fatalf("at %v: line %d of %d with suspension:\n%s\nof %d without:\n%s", c.now, i, len(b), b[i], len(a), a[i])
		}
	}
	c.t.Fatalf("at %v: state of %d lines with suspension, of %d without", c.now, len(b), len(a))
}

// Skipping draws leaves the random source in the same state as making them.
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

// While its inputs are unchanged, the choice of the subset is skipped. Making it would choose the same subset and leave
// the random source in the same state.
func TestSkippedSubsetChoiceChangesNothing(t *testing.T) {
	s := settings()
	s.Balancers, s.Rank = 12, 5
	list := fleet(60)
	b, _ := start(t, s, list)
	c, _ := start(t, s, list)
	rng := rand.New(rand.NewPCG(1, 1))
	skipped := 0
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
		c.subset.inputs = subsetInputs{} // so that c never skips the choice
		c.chooseSubset(now)
		if b.subset.unchanged {
			skipped++
		}
		x, _ := b.rngSource.MarshalBinary()
		y, _ := c.rngSource.MarshalBinary()
		if !bytes.Equal(x, y) || b.limits.initial != c.limits.initial || b.subset.hasHealthy != c.subset.hasHealthy ||
			len(b.subset.upstreams) != len(c.subset.upstreams) {
			t.Fatalf("step %d: the subsets or random sources differ", i)
		}
		for j, u := range b.subset.upstreams {
			v := c.subset.upstreams[j]
			if u.ID != v.ID || u.inSubset != v.inSubset || u.share.subsetPart != v.share.subsetPart ||
				u.nextTurn != v.nextTurn || u.limit.nextSendAt != v.limit.nextSendAt {
				t.Fatalf("step %d: upstream %d differs", i, u.ID)
			}
		}
	}
	if skipped < 100 {
		t.Errorf("skipped %d times, want at least 100", skipped)
	}
}

// The pauses are long enough for work to decay to 0, by way of the smallest floating-point numbers.
func TestLongIdleTime(t *testing.T) {
	s := settings()
	s.Granularity, s.Tenants = 250*ms, nil
	now := time.Hour
	ticking := newTwin(t, s, 3)
	s.SuspendWhenIdle = true
	suspending := newTwin(t, s, 3)
	list := fleet(30)
	for i := range list {
		list[i].Weight = 1000 // work per weight reaches 0 before the work does
	}
	for _, w := range []*twin{ticking, suspending} {
		w.EndpointsUpdated(now, ListFull, list)
		for i := range 40 {
			id := RequestID(i + 1)
			w.RequestArrived(now, Request{ID: id, Class: "read", Budget: time.Second})
			for _, x := range w.sent {
				w.AttemptFinished(now, AttemptResult{
					ID: x.id, Upstream: x.up, Latency: 20 * ms, Status: OK,
					Load: Load{Fields: HasUtilisation, Utilisation: float64(i%7) / 7},
				})
			}
			w.sent = nil
		}
	}
	for _, pause := range []time.Duration{time.Second, time.Minute, time.Hour, 90 * time.Minute, time.Minute} {
		now += pause
		for _, w := range []*twin{ticking, suspending} {
			w.advance(now)
		}
		if x, y := ticking.state(), suspending.state(); x != y {
			t.Fatalf("after %v: state with suspension\n%s\nwithout\n%s", pause, y, x)
		}
	}
	if suspending.ticks > 10 {
		t.Errorf("%d ticks, want at most 10", suspending.ticks)
	}
}

// BenchmarkCatchUp measures the cost of catching up at the first event after a pause.
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
					for range 2 * n { // until all upstreams have work that decays
						id++
						w.RequestArrived(now, Request{ID: id, Class: "read", Budget: time.Second})
						for _, x := range w.sent {
							w.AttemptFinished(now, AttemptResult{ID: x.id, Upstream: x.up, Latency: 20 * ms, Status: OK})
						}
						w.sent, w.actions = nil, nil
						now += ms
						w.advance(now)
					}
					now += 200 * ms
					w.advance(now)
					now += pause
					b.StartTimer()
					w.catchUp(now)
				}
			})
		}
	}
}

// The tick interval is 20 ms, and the first omitted tick was due at 1 s.
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
		{"health checks report load", func(b *Balancer) { b.settings.Reports = ReportHealthChecks }, false},
		{"suspension is not allowed", func(b *Balancer) { b.settings.SuspendWhenIdle = false }, false},
	} {
		s := settings()
		s.SuspendWhenIdle = true
		b, _ := start(t, s, fleet(2))
		if c.change(b); b.isIdle() != c.idle {
			t.Errorf("%s: idle %v", c.name, !c.idle)
		}
	}
}

// Work of 10 and 20 decays by a tenth per period. Only the first upstream counts as warm, at half utilisation.
func TestIdleWorkDecays(t *testing.T) {
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
			t.Errorf("%d periods: mean work %v, %v", c.periods, upstreams[0].workload.mean, upstreams[1].workload.mean)
		}
		if !near(fleet.workPerWeight, c.workPerWeight) {
			t.Errorf("%d periods: work per weight %v, want %v", c.periods, fleet.workPerWeight, c.workPerWeight)
		}
	}
}
