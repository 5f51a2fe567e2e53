package balancer

import (
	"testing"
	"time"
)

// The class has an objective of 300 ms and a deadline of a second; budgets of a second are usual.
func TestIsLateRetry(t *testing.T) {
	for _, c := range []struct {
		name           string
		budget, margin time.Duration
		late           bool
	}{
		{"a first try", time.Second, 100 * ms, false},
		{"a budget that is hardly shorter", 940 * ms, 400 * ms, false},
		{"a retry in time", 850 * ms, 100 * ms, false},
		{"a retry with less than the margin left to the objective", 799 * ms, 100 * ms, true},
		{"a retry past the objective", 500 * ms, 100 * ms, true},
	} {
		cls := &class{Class: Class{LatencyObjective: 300 * ms, Deadline: time.Second}, maxBudget: time.Second}
		if cls.isLateRetry(c.budget, c.margin) != c.late {
			t.Errorf("%s: a late retry: %v", c.name, !c.late)
		}
	}
	cls := &class{Class: Class{LatencyObjective: 300 * ms, Deadline: time.Second}}
	if cls.isLateRetry(500*ms, 100*ms) || cls.maxBudget != 500*ms {
		t.Error("the longest budget so far is no retry's")
	}
}

func TestNewRequest(t *testing.T) {
	for _, c := range []struct {
		name         string
		arrived      Request
		byWork       bool
		weight, work float64
		sendBy       time.Duration // after its arrival
	}{
		{"as usual", Request{Class: "read", Budget: time.Second}, true, 1, 1, 300*ms - 91500*time.Microsecond - 18750*time.Microsecond},
		{"its class takes twice the usual time", Request{Class: "write", Budget: time.Second}, true, 2, 2, 300*ms - 233*ms - 18750*time.Microsecond},
		{"weight for a unit of work", Request{Class: "write", Budget: time.Second}, false, 1, 2, 300*ms - 233*ms - 18750*time.Microsecond},
		{"a tenant over its quota", Request{Class: "read", Budget: time.Second, Tenant: "small"}, true, 0.1, 1, 300*ms - 91500*time.Microsecond - 18750*time.Microsecond},
		{"a short budget", Request{Class: "read", Budget: 100 * ms}, true, 1, 1, 100*ms - 91500*time.Microsecond - 18750*time.Microsecond},
		{"a cost hint of half the mean", Request{Class: "read", Budget: time.Second, Cost: 5 * ms}, true, 1, 0.5, 300*ms - 91500*time.Microsecond - 18750*time.Microsecond},
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
			t.Errorf("attempt %d is not the one", n)
		}
	}
	if (*request)(nil).attempt(0) != nil {
		t.Error("no request has an attempt")
	}
}

func TestStatusesThatNeverRan(t *testing.T) {
	for status, never := range map[Status]bool{
		OK: false, Error: false, Rejected: true, Timeout: false, ConnectFailed: true, Reset: false, Cancelled: false, NotSent: true,
	} {
		if status.neverRan() != never {
			t.Errorf("status %d: never ran: %v", status, !never)
		}
	}
}
