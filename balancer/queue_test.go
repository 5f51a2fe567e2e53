package balancer

import (
	"slices"
	"testing"
	"time"
)

// queuedRequests returns requests that came at seconds 1, 2, …, with these weights and with so many seconds to wait.
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
		{"turns suffice: as they came", false, []float64{1, 9, 1, 9}, even, []RequestID{1, 2, 3, 4}},
		{"the one due first goes first", false, []float64{1, 1, 1, 1}, []time.Duration{9e9, 9e9, 1e9, 9e9}, []RequestID{3, 1, 2, 4}},
		{"turns are short: most weight first", true, []float64{1, 3, 2, 4}, even, []RequestID{4, 2, 3, 1}},
		{"the newest first among equals", true, []float64{1, 2, 1, 2}, even, []RequestID{4, 2, 3, 1}},
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
	if q.overloaded || q.lastTurnAt != 2*time.Hour || q.lastFullAt != 2*time.Hour || q.queueingInterval != 0 {
		t.Errorf("the first of a queue: %+v", q)
	}
	q.add(list[1], 2*time.Hour+5*ms)
	if q.lastTurnAt != 2*time.Hour || q.lastFullAt != 2*time.Hour+5*ms || q.queueingInterval != float64(5*ms) {
		t.Errorf("the second: %+v", q)
	}
	if r := list[1]; !r.queued || r.queuedAt != 2*time.Hour+5*ms || !slices.Equal(ids(q.waiting), []RequestID{1, 2}) {
		t.Errorf("queued %v at %v, in order %v", r.queued, r.queuedAt, ids(q.waiting))
	}
	q.turnTaken(2*time.Hour + 8*ms)
	if q.turnInterval != float64(8*ms) || q.lastTurnAt != 2*time.Hour+8*ms {
		t.Errorf("after a turn: %+v", q)
	}
}

// Turns are short from the first loss on while requests come faster than turns, and until all that is queued starts before
// the first is due.
func TestQueueIsOverloaded(t *testing.T) {
	for _, c := range []struct {
		name            string
		before, lost    bool
		queueing, turns time.Duration // intervals
		queued          int
		firstDue        time.Duration
		after           bool
	}{
		{"a loss, turns are rarer than requests", false, true, ms, 5 * ms, 10, 100 * ms, true},
		{"a loss, turns are as frequent", false, true, 5 * ms, 5 * ms, 10, 100 * ms, false},
		{"no loss", false, false, ms, 5 * ms, 10, 10 * ms, false},
		{"still: the last starts after the first is due", true, false, ms, 5 * ms, 21, 100 * ms, true},
		{"over: all start in time", true, false, ms, 5 * ms, 20, 100 * ms, false},
		{"over: nothing is queued", true, false, ms, 5 * ms, 0, 0, false},
	} {
		q := admissionQueue{
			overloaded: c.before, queueingInterval: float64(c.queueing), turnInterval: float64(c.turns),
			lastTurnAt: time.Hour, lastFullAt: time.Hour,
		}
		for i := range c.queued {
			q.waiting = append(q.waiting, &request{sendBy: time.Hour + c.firstDue + time.Duration(i)})
		}
		if q.updateOrder(time.Hour, c.lost); q.overloaded != c.after {
			t.Errorf("%s: %v", c.name, q.overloaded)
		}
	}
}

// A change puts what is queued into the other order.
func TestQueueIsSortedAgain(t *testing.T) {
	waits := []time.Duration{time.Minute, time.Minute, time.Minute}
	q := admissionQueue{waiting: queuedRequests([]float64{1, 3, 2}, waits), turnInterval: float64(time.Second), queueingInterval: 1}
	q.lastFullAt = 4 * time.Second
	q.lastTurnAt = 4 * time.Second
	q.updateOrder(4*time.Second, true)
	if got := ids(q.waiting); !slices.Equal(got, []RequestID{2, 3, 1}) {
		t.Errorf("overloaded: %v", got)
	}
	q.updateOrder(4*time.Second, false)
	if got := ids(q.waiting); !slices.Equal(got, []RequestID{1, 2, 3}) {
		t.Errorf("no longer: %v", got)
	}
}

// An answer takes 100 ms. The wait is for the turns of what is queued and for an upstream that may be tried, at most 2 s.
func TestQueueRetryAfter(t *testing.T) {
	for _, c := range []struct {
		name    string
		waits   []time.Duration // of the upstreams, each with a limit of two
		ejected time.Duration   // the first one gets its next trial then; 0: it is not ejected
		queued  int
		want    time.Duration
	}{
		{"no upstream", nil, 0, 0, 2 * time.Second},
		{"one free, nothing queued", []time.Duration{0}, 0, 0, 50 * ms},
		{"one free, nine queued", []time.Duration{0}, 0, 9, 500 * ms},
		{"two free, nine queued", []time.Duration{0, 0}, 0, 9, 250 * ms},
		{"the next is free in a second", []time.Duration{3 * time.Second, time.Second}, 0, 0, time.Second},
		{"the next gets a trial before", []time.Duration{time.Second}, 300 * ms, 0, 300 * ms},
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
			t.Errorf("%s: %v where clients are not told", c.name, got)
		}
	}
}
