package balancer

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// queuedRequests returns requests queued at 1 s, 2 s and so on, with these weights and times that each may wait.
func queuedRequests(weights []float64, waits []time.Duration) []*request {
	list := make([]*request, len(weights))
	for i := range list {
		at := time.Duration(i+1) * time.Second
		list[i] = &request{Request: Request{ID: RequestID(i + 1)}, weight: weights[i], queuedAt: at, sendBy: at + waits[i]}
	}
	return list
}

func ids(list []*request) (ids []RequestID) {
	for _, r := range list {
		ids = append(ids, r.ID)
	}
	return ids
}

func TestQueueOrder(t *testing.T) {
	even := []time.Duration{9 * time.Second, 9 * time.Second, 9 * time.Second, 9 * time.Second}
	for _, c := range []struct {
		name       string
		overloaded bool
		weights    []float64
		waits      []time.Duration
		order      []RequestID
	}{
		{"not overloaded: in order of arrival", false, []float64{1, 9, 1, 9}, even, []RequestID{1, 2, 3, 4}},
		{
			"not overloaded: the earliest due first", false,
			[]float64{1, 1, 1, 1},
			[]time.Duration{9 * time.Second, 9 * time.Second, time.Second, 9 * time.Second},
			[]RequestID{3, 1, 2, 4},
		},
		{"overloaded: the greatest weight first", true, []float64{1, 3, 2, 4}, even, []RequestID{4, 2, 3, 1}},
		{"overloaded: the newest first among equal weights", true, []float64{1, 2, 1, 2}, even, []RequestID{4, 2, 3, 1}},
	} {
		q := admissionQueue{overloaded: c.overloaded}
		for _, r := range queuedRequests(c.weights, c.waits) {
			at, _ := slices.BinarySearchFunc(q.waiting, r, q.compare)
			q.waiting = slices.Insert(q.waiting, at, r)
		}
		if got := ids(q.waiting); !slices.Equal(got, c.order) {
			t.Errorf("%s: %v, want %v", c.name, got, c.order)
		}
	}
}

func TestQueueAdd(t *testing.T) {
	q := admissionQueue{overloaded: true, lastFullAt: time.Hour}
	list := queuedRequests([]float64{1, 1}, []time.Duration{time.Hour, time.Hour})
	q.add(list[0], 2*time.Hour)
	if q.overloaded || q.lastDispatchAt != 2*time.Hour || q.lastFullAt != 2*time.Hour || q.queueingInterval != 0 {
		t.Errorf("after the first request: %+v", q)
	}
	q.add(list[1], 2*time.Hour+5*ms)
	if q.lastDispatchAt != 2*time.Hour || q.lastFullAt != 2*time.Hour+5*ms || q.queueingInterval != float64(5*ms) {
		t.Errorf("after the second request: %+v", q)
	}
	if r := list[1]; !r.queued || r.queuedAt != 2*time.Hour+5*ms || !slices.Equal(ids(q.waiting), []RequestID{1, 2}) {
		t.Errorf("queued %v at %v, in order %v", r.queued, r.queuedAt, ids(q.waiting))
	}
	q.dispatched(2*time.Hour + 8*ms)
	if q.dispatchInterval != float64(8*ms) || q.lastDispatchAt != 2*time.Hour+8*ms {
		t.Errorf("after a dispatch: %+v", q)
	}
}

// The queue becomes overloaded when a request is lost while requests are queued faster than they are dispatched. It
// stays so until all queued requests can be dispatched before the first of them is due.
func TestQueueIsOverloaded(t *testing.T) {
	for _, c := range []struct {
		name               string
		before, lost       bool
		queueing, dispatch time.Duration // intervals
		queued             int
		firstDue           time.Duration
		after              bool
	}{
		{"a loss, dispatches are rarer than requests", false, true, ms, 5 * ms, 10, 100 * ms, true},
		{"a loss, dispatches are as frequent", false, true, 5 * ms, 5 * ms, 10, 100 * ms, false},
		{"no loss", false, false, ms, 5 * ms, 10, 10 * ms, false},
		{"still overloaded: the last is dispatched after the first is due", true, false, ms, 5 * ms, 21, 100 * ms, true},
		{"no longer: all are dispatched in time", true, false, ms, 5 * ms, 20, 100 * ms, false},
		{"no longer: nothing is queued", true, false, ms, 5 * ms, 0, 0, false},
	} {
		q := admissionQueue{
			overloaded: c.before, queueingInterval: float64(c.queueing), dispatchInterval: float64(c.dispatch),
			lastDispatchAt: time.Hour, lastFullAt: time.Hour,
		}
		for i := range c.queued {
			q.waiting = append(q.waiting, &request{sendBy: time.Hour + c.firstDue + time.Duration(i)})
		}
		if q.updateOrder(time.Hour, c.lost); q.overloaded != c.after {
			t.Errorf("%s: overloaded: %v", c.name, q.overloaded)
		}
	}
}

// A change between overloaded and not overloaded sorts the queue into the other order.
func TestQueueIsSortedAgain(t *testing.T) {
	waits := []time.Duration{time.Minute, time.Minute, time.Minute}
	waiting := queuedRequests([]float64{1, 3, 2}, waits)
	q := admissionQueue{waiting: waiting, dispatchInterval: float64(time.Second), queueingInterval: 1}
	q.lastFullAt = 4 * time.Second
	q.lastDispatchAt = 4 * time.Second
	q.updateOrder(4*time.Second, true)
	if got := ids(q.waiting); !slices.Equal(got, []RequestID{2, 3, 1}) {
		t.Errorf("overloaded: %v", got)
	}
	q.updateOrder(4*time.Second, false)
	if got := ids(q.waiting); !slices.Equal(got, []RequestID{1, 2, 3}) {
		t.Errorf("no longer overloaded: %v", got)
	}
}

// An answer takes 100 ms. The wait lasts until the queued requests are dispatched and an upstream may get an attempt,
// and at most 2 s.
func TestQueueRetryAfter(t *testing.T) {
	for _, c := range []struct {
		name    string
		waits   []time.Duration // of the upstreams, each with a limit of two
		ejected time.Duration   // time to the next trial of the first upstream; 0: not ejected
		queued  int
		want    time.Duration
	}{
		{"no upstream", nil, 0, 0, 2 * time.Second},
		{"one upstream free, nothing queued", []time.Duration{0}, 0, 0, 50 * ms},
		{"one upstream free, nine queued", []time.Duration{0}, 0, 9, 500 * ms},
		{"two upstreams free, nine queued", []time.Duration{0, 0}, 0, 9, 250 * ms},
		{"the earliest is free in 1 s", []time.Duration{3 * time.Second, time.Second}, 0, 0, time.Second},
		{"a trial is due sooner", []time.Duration{time.Second}, 300 * ms, 0, 300 * ms},
		{"many queued", []time.Duration{0}, 0, 1000, 2 * time.Second},
	} {
		s := settings()
		s.Limits.RetryAfter, s.Limits.MaxRetryAfter = true, 2*time.Second
		b, _ := start(t, s, nil)
		b.latency = float64(100 * ms)
		for _, wait := range c.waits {
			b.subset.upstreams = append(b.subset.upstreams, &upstreamState{
				inSubset: true, limit: concurrencyLimit{allowed: 2, nextSendAt: time.Hour + wait},
			})
		}
		if c.ejected > 0 {
			b.subset.upstreams[0].outlier.eject(time.Hour, c.ejected)
		}
		b.queue.waiting = make([]*request, c.queued)
		if got := b.retryAfter(time.Hour); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		b.settings.Limits.RetryAfter = false
		if got := b.retryAfter(time.Hour); got != 0 {
			t.Errorf("%s: %v without Limits.RetryAfter, want 0", c.name, got)
		}
	}
}

// Queued requests are checked once per tick. A request with a short budget was once queued past its deadline.
func TestShortBudgetIsRejectedInTime(t *testing.T) {
	b, h := start(t, settings(), fleet(1))
	b.upstreams[0].limit.nextSendAt = 2 * time.Hour
	b.RequestArrived(time.Hour, Request{ID: 1, Class: "write", Budget: 10 * ms})
	if h.count("refuse id=1") != 1 {
		t.Errorf("not rejected at once: %v", h.lines)
	}
}

func TestQueuedRequestsWaitForEndpointsThenGreatestWeightGoesFirst(t *testing.T) {
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

// Where the settings allow it, a rejection has a Retry-After that grows with the queue, up to a limit.
func TestRejectionsSetRetryAfter(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		s := settings()
		s.Limits.RetryAfter, s.Limits.MaxRetryAfter = allowed, 400*ms
		b, h := start(t, s, nil)
		var retryAfters []time.Duration
		h.hook = func(kind string, _ RequestID, _ UpstreamID, d time.Duration, _ uint64) {
			if kind == "refuse" {
				retryAfters = append(retryAfters, d)
			}
		}
		b.RequestArrived(time.Hour, Request{ID: 1, Class: "write", Budget: 10 * ms}) // no upstream is known
		b.EndpointsUpdated(time.Hour, ListFull, fleet(2))
		for i := range RequestID(200) {
			b.RequestArrived(time.Hour, Request{ID: 2 + i, Class: "write", Budget: time.Second})
		}
		b.RequestArrived(time.Hour, Request{ID: 900, Class: "write", Budget: 10 * ms}) // all slots are taken
		if len(retryAfters) != 2 {
			t.Fatalf("%d rejections, want 2: %v", len(retryAfters), h.lines)
		}
		for i, d := range retryAfters {
			if (d > 0) != allowed || d > s.Limits.MaxRetryAfter {
				t.Errorf("allowed %v, rejection %d: retry after %v", allowed, i, d)
			}
		}
	}
}

// Under overload, queued requests are sorted by weight, and the newest first among equal weights.
func TestQueueIsSortedByWeightUnderOverload(t *testing.T) {
	s := settings()
	s.WeightByWork = false
	b, _ := start(t, s, nil)
	for i := range RequestID(60) {
		class := []string{"read", "write", "read"}[i%3]
		at, cost := time.Hour+time.Duration(i), time.Duration(10+i%4)*ms
		b.RequestArrived(at, Request{ID: i + 1, Class: class, Budget: time.Second, Cost: cost})
	}
	if first := b.queue.waiting[0]; b.queue.overloaded || first.sendBy > b.queue.waiting[59].sendBy {
		t.Errorf("before a loss: overloaded: %v, request %d is first", b.queue.overloaded, first.ID)
	}
	b.queue.updateOrder(time.Hour+ms, true) // as if a request had been lost in the queue
	if b.dispatchQueued(time.Hour + 2*ms); !b.queue.overloaded {
		t.Error("no longer overloaded although nothing was dispatched")
	}
	want := slices.Clone(b.queue.waiting)
	slices.SortStableFunc(want, func(x, y *request) int {
		if x.weight != y.weight {
			if x.weight > y.weight {
				return -1
			}
			return 1
		}
		return int(y.ID) - int(x.ID)
	})
	if len(want) != 60 || !slices.Equal(want, b.queue.waiting) {
		t.Errorf("%d queued, or in another order", len(b.queue.waiting))
	}
}

// queue simulates an upstream that serves one request at a time. It returns for each request, in order of arrival, the
// time until its answer or 0 if it was rejected, and the number of rejected requests.
func queue(t *testing.T, serviceTime time.Duration, arrivals []time.Duration) (waits []time.Duration, rejected int) {
	list := fleet(1)
	list[0].MaxInFlight = 1
	b, h := start(t, settings(), list)
	b.latency = float64(serviceTime)
	waits = make([]time.Duration, len(arrivals))
	var now, endAt time.Duration
	var inFlight RequestID
	h.hook = func(kind string, id RequestID, _ UpstreamID, d time.Duration, _ uint64) {
		switch kind {
		case "send":
			inFlight, endAt = id, now+serviceTime
			waits[id-1] = endAt - time.Hour - arrivals[id-1]
		case "refuse":
			rejected++
		}
	}
	tickAt := time.Hour
	for i := 0; i < len(arrivals) || inFlight != 0 || len(b.queue.waiting) > 0; {
		next := tickAt
		if inFlight != 0 {
			next = min(next, endAt)
		}
		if i < len(arrivals) {
			next = min(next, time.Hour+arrivals[i])
		}
		switch now = next; {
		case inFlight != 0 && now == endAt:
			id := inFlight
			inFlight = 0
			b.AttemptFinished(now, AttemptResult{ID: id, Upstream: 1, Latency: serviceTime, Status: OK})
		case i < len(arrivals) && now == time.Hour+arrivals[i]:
			i++
			b.RequestArrived(now, Request{ID: RequestID(i), Class: "read", Budget: time.Second})
		default:
			tickAt += b.tickInterval
			b.TimerFired(now, tickToken)
		}
	}
	return waits, rejected
}

// While all queued requests can be served within the objective, the oldest goes first. When newer ones went first, the
// oldest waited until the objective had passed: with 64 clients over 32 connections, the 99th percentile was 220 ms at
// a median of 8 ms, and 3 % were rejected.
func TestOldestFirstWhileNotOverloaded(t *testing.T) {
	var arrivals []time.Duration
	for i := range 400 { // eleven at once, then one for each answer
		arrivals = append(arrivals, max(0, time.Duration(i-10))*5*ms)
	}
	waits, rejected := queue(t, 5*ms, arrivals)
	if longest := slices.Max(waits); rejected > 0 || longest > 70*ms {
		t.Errorf("%d rejected, the longest wait %v", rejected, longest)
	}
}

// In a burst above the capacity, the newest go first: they are answered in time even if older ones are lost.
func TestNewestFirstUnderOverload(t *testing.T) {
	var arrivals []time.Duration
	for i := range 600 { // at twice the rate that is served
		arrivals = append(arrivals, time.Duration(i)*5*ms/2)
	}
	waits, rejected := queue(t, 5*ms, arrivals)
	slices.Sort(waits[200:])
	served := slices.DeleteFunc(waits[200:], func(d time.Duration) bool { return d == 0 })
	median, longest := served[len(served)/2], served[len(served)-1]
	if rejected < 200 || len(served) < 190 || median > 20*ms || longest > 300*ms {
		t.Errorf("%d rejected, of the last 400 %d served, median %v, longest %v", rejected, len(served), median, longest)
	}
	// After the burst, requests are served in order of arrival again, and none is rejected.
	for i := range 200 {
		arrivals = append(arrivals, 3*time.Second+time.Duration(i)*5*ms+time.Duration(i%2)*9*ms)
	}
	waits, _ = queue(t, 5*ms, arrivals)
	if late := waits[600:]; slices.Min(late) == 0 || slices.Max(late) > 40*ms {
		t.Errorf("after the burst: waits from %v to %v", slices.Min(late), slices.Max(late))
	}
}
