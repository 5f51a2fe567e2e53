package balancer

import (
	"testing"
	"time"
)

// The class has a latency objective of 300 ms, a deadline of 1 s and a longest budget of 1 s.
func TestIsLateRetry(t *testing.T) {
	for _, c := range []struct {
		name           string
		budget, margin time.Duration
		late           bool
	}{
		{"a first attempt", time.Second, 100 * ms, false},
		{"a budget that is slightly shorter", 940 * ms, 400 * ms, false},
		{"a retry in time", 850 * ms, 100 * ms, false},
		{"a retry with less than the margin left to the objective", 799 * ms, 100 * ms, true},
		{"a retry past the objective", 500 * ms, 100 * ms, true},
	} {
		requestClass := &class{Class: Class{LatencyObjective: 300 * ms, Deadline: time.Second}, maxBudget: time.Second}
		if requestClass.isLateRetry(c.budget, c.margin) != c.late {
			t.Errorf("%s: taken for a late retry: %v", c.name, !c.late)
		}
	}
}

// A request with the longest budget so far is not taken for a retry.
func TestMaxBudgetFollowsLongestRequest(t *testing.T) {
	b, _ := start(t, settings(), nil)
	for _, c := range []struct {
		budget, longest time.Duration
		weight          float64 // a late retry keeps half of it
	}{{500 * ms, 500 * ms, 1}, {time.Second, time.Second, 1}, {500 * ms, time.Second, 0.5}} {
		r := b.newRequest(Request{Class: "read", Budget: c.budget}, b.classes["read"], time.Hour)
		if r.weight != c.weight || b.classes["read"].maxBudget != c.longest {
			t.Errorf("%+v: weight %v, longest budget %v", c, r.weight, b.classes["read"].maxBudget)
		}
	}
}

// The margin before the objective is 1.83 mean latencies for a class whose late answers keep half of their weight, and
// 2.33 where they keep none, plus a tick of 18.75 ms.
func TestNewRequest(t *testing.T) {
	const readMargin, writeMargin = 91500*time.Microsecond + 18750*time.Microsecond, 233*ms + 18750*time.Microsecond
	read := Request{Class: "read", Budget: time.Second}
	write := Request{Class: "write", Budget: time.Second}
	overQuota, short, hinted := read, read, read
	overQuota.Tenant = "small"
	short.Budget = 100 * ms
	hinted.Cost = 5 * ms
	for _, c := range []struct {
		name         string
		arrived      Request
		byWork       bool
		weight, work float64
		sendBy       time.Duration // after its arrival
	}{
		{"the mean request", read, true, 1, 1, 300*ms - readMargin},
		{"its class takes twice the mean latency", write, true, 2, 2, 300*ms - writeMargin},
		{"weights don't follow the work", write, false, 1, 2, 300*ms - writeMargin},
		{"a tenant over its quota", overQuota, true, 0.1, 1, 300*ms - readMargin},
		{"a short budget", short, true, 1, 1, 100*ms - readMargin},
		{"a cost hint of half the mean", hinted, true, 1, 0.5, 300*ms - readMargin},
	} {
		s := settings()
		s.WeightByWork = c.byWork
		b, _ := start(t, s, nil)
		b.latency = float64(50 * ms)
		b.meanCost = float64(10 * ms)
		b.classes["write"].latency = float64(100 * ms)
		b.quota.levels["small"] = &tenantLevel{name: "small", rate: 1, level: 9, updatedAt: time.Hour}
		r := b.newRequest(c.arrived, b.classes[c.arrived.Class], time.Hour)
		if !near(r.weight, c.weight) || r.work < 0.99*c.work || r.work > 1.01*c.work {
			t.Errorf("%s: weight %v, work %v; want %v, %v", c.name, r.weight, r.work, c.weight, c.work)
		}
		if r.sendBy != time.Hour+c.sendBy || r.deadline != time.Hour+c.arrived.Budget {
			t.Errorf("%s: send by %v, deadline %v; want %v", c.name, r.sendBy-time.Hour, r.deadline-time.Hour, c.sendBy)
		}
	}
}

func TestAttemptByOrder(t *testing.T) {
	first, second := &attempt{}, &attempt{}
	r := &request{attempts: []*attempt{first, second}}
	for n, want := range map[int]*attempt{-1: nil, 0: first, 1: second, 2: nil} {
		if r.attempt(n) != want {
			t.Errorf("attempt(%d) returned another attempt", n)
		}
	}
	if (*request)(nil).attempt(0) != nil {
		t.Error("a nil request has an attempt")
	}
}

func TestStatusesThatNeverRan(t *testing.T) {
	for status, never := range map[Status]bool{
		OK: false, Error: false, Rejected: true, Timeout: false,
		ConnectFailed: true, Reset: false, Cancelled: false, NotSent: true,
	} {
		if status.neverRan() != never {
			t.Errorf("status %d: never ran: %v", status, !never)
		}
	}
}

// The time that a request may queue follows from the latency of its own class. With the mean latency of all classes, a
// fast class was rejected whenever no slot was free.
func TestFastClassIsQueuedByItsOwnLatency(t *testing.T) {
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
		t.Errorf("not queued although the objective is five times the mean latency of its class: %v", h.lines[len(h.lines)-1])
	}
}

// Under overload a third of all slots went to clients' retries whose objective had passed before they were sent.
func TestLateRetryIsRejectedWhileSlotsAreShort(t *testing.T) {
	for _, c := range []struct {
		name       string
		budget     time.Duration // the longest is 1 s, the objective 300 ms
		slotsShort bool
		sent       bool
	}{
		{"first attempt", time.Second, true, true},
		{"retry with time left", 950 * ms, true, true},
		{"retry past the objective", 500 * ms, true, false},
		{"retry past the objective, slots free", 500 * ms, false, true},
	} {
		b, h := start(t, settings(), fleet(4))
		b.RequestArrived(time.Hour, Request{ID: 1, Class: "write", Budget: time.Second})
		now := time.Hour + time.Second
		if c.slotsShort {
			b.queue.lastFullAt = now
		}
		b.RequestArrived(now, Request{ID: 2, Class: "write", Budget: c.budget})
		if (h.count("send id=2") == 1) != c.sent || h.count("send id=2")+h.count("refuse id=2") != 1 {
			t.Errorf("%s: %v", c.name, h.lines[len(h.lines)-1])
		}
	}
}

// The only upstream drains while an attempt waits for a connection. The attempt never ran, so the request is queued
// until an upstream is active. It was once rejected although the upstream came back well within the objective.
func TestRequestIsQueuedAfterUnsentAttempt(t *testing.T) {
	list := fleet(1)
	b, h := start(t, settings(), list)
	b.RequestArrived(time.Hour, Request{ID: 1, Class: "write", Budget: time.Second})
	if h.count("send id=1") != 1 {
		t.Fatalf("not sent: %v", h.lines)
	}
	list[0].State = Draining
	b.EndpointsUpdated(time.Hour, ListDelta, list)
	b.AttemptFinished(time.Hour+ms, AttemptResult{ID: 1, Upstream: list[0].ID, Latency: ms, Status: NotSent})
	if n := h.count("refuse id=1") + h.count("fail id=1"); n != 0 {
		t.Fatalf("rejected or failed at once: %v", h.lines)
	}
	list[0].State = Active
	b.EndpointsUpdated(time.Hour+2*ms, ListDelta, list)
	if h.count("send id=1") != 2 {
		t.Errorf("not sent again: %v", h.lines)
	}
}
