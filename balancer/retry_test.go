package balancer

import (
	"testing"
	"time"
)

func TestRetryMaySend(t *testing.T) {
	read := &class{Class: Class{Idempotency: Idempotent}}
	write := &class{Class: Class{Idempotency: NonIdempotent}}
	keyed := func(scope KeyScope) *class {
		return &class{Class: Class{Idempotency: IdempotentWithKey, KeyScope: scope, DeduplicationWindow: 400 * ms}}
	}
	here := &upstreamState{Upstream: Upstream{ID: 1, Zone: "near", Cell: 1}}
	sameZone := &upstreamState{Upstream: Upstream{ID: 2, Zone: "near", Cell: 2}}
	sameCell := &upstreamState{Upstream: Upstream{ID: 3, Zone: "far", Cell: 1}}
	draining := &upstreamState{Upstream: Upstream{ID: 4, Zone: "near", Cell: 1, State: Draining}}
	ended := func(age time.Duration, neverRan bool) *attempt {
		return &attempt{upstream: here, sentAt: time.Hour - age, ended: true, neverRan: neverRan}
	}
	three := []*attempt{ended(0, false), ended(0, false), ended(0, false)}
	for _, c := range []struct {
		name     string
		class    *class
		attempts []*attempt
		inFlight int
		to       *upstreamState
		may      bool
	}{
		{"first attempt", write, nil, 0, here, true},
		{"draining upstream", read, nil, 0, draining, false},
		{"idempotent: retry", read, []*attempt{ended(ms, false)}, 0, here, true},
		{"idempotent: another attempt in flight, without hedging", read, []*attempt{ended(ms, false)}, 1, here, false},
		{"idempotent: no attempts left", read, three, 0, here, false},
		{"non-idempotent: it may have run", write, []*attempt{ended(ms, false)}, 0, here, false},
		{"non-idempotent: it never ran", write, []*attempt{ended(ms, true)}, 0, here, true},
		{"non-idempotent: one of two may have run", write, []*attempt{ended(ms, true), ended(ms, false)}, 0, here, false},
		{"key scope zone: same zone", keyed(KeyScopeZone), []*attempt{ended(ms, false)}, 0, sameZone, true},
		{"key scope zone: other zone", keyed(KeyScopeZone), []*attempt{ended(ms, false)}, 0, sameCell, false},
		{"key scope zone: other zone, never ran", keyed(KeyScopeZone), []*attempt{ended(ms, true)}, 0, sameCell, true},
		{"key scope cell: same cell", keyed(KeyScopeCell), []*attempt{ended(ms, false)}, 0, sameCell, true},
		{"key scope cell: other cell", keyed(KeyScopeCell), []*attempt{ended(ms, false)}, 0, sameZone, false},
		{"key scope all", keyed(KeyScopeAll), []*attempt{ended(ms, false)}, 0, sameCell, true},
		{"key: in the window, before the margin", keyed(KeyScopeAll), []*attempt{ended(379*ms, false)}, 0, here, true},
		{"key: in the margin at the window's end", keyed(KeyScopeAll), []*attempt{ended(380*ms, false)}, 0, here, false},
	} {
		r := &request{class: c.class, attempts: c.attempts, inFlight: c.inFlight, deadline: time.Hour + 1}
		policy := retryPolicy{maxAttempts: 3, margin: 20 * ms}
		if policy.maySend(r, c.to, time.Hour) != c.may {
			t.Errorf("%s: may be sent: %v", c.name, !c.may)
		}
		if policy.maySend(r, c.to, time.Hour+1) {
			t.Errorf("%s: may be sent at the deadline", c.name)
		}
		r.done = true
		if policy.maySend(r, c.to, time.Hour) {
			t.Errorf("%s: may be sent after the final answer", c.name)
		}
	}
}

func TestRetryHedging(t *testing.T) {
	upstream := &upstreamState{}
	r := &request{class: &class{}, attempts: []*attempt{{upstream: upstream}}, inFlight: 1, deadline: time.Second}
	for _, hedging := range []bool{false, true} {
		policy := retryPolicy{maxAttempts: 3, hedging: hedging}
		if policy.maySend(r, upstream, 0) != hedging {
			t.Errorf("hedging %v: second attempt permitted: %v", hedging, !hedging)
		}
	}
}

func TestRetryMayReject(t *testing.T) {
	ran, never := &attempt{}, &attempt{neverRan: true}
	keyed := func(scope KeyScope) Class { return Class{Idempotency: IdempotentWithKey, KeyScope: scope} }
	for _, c := range []struct {
		name     string
		class    Class
		attempts []*attempt
		may      bool
	}{
		{"idempotent", Class{Idempotency: Idempotent}, []*attempt{ran}, true},
		{"non-idempotent, not sent", Class{Idempotency: NonIdempotent}, nil, true},
		{"non-idempotent, never ran", Class{Idempotency: NonIdempotent}, []*attempt{never, never}, true},
		{"non-idempotent, may have run", Class{Idempotency: NonIdempotent}, []*attempt{never, ran}, false},
		{"key scope all", keyed(KeyScopeAll), []*attempt{ran}, true},
		{"key scope zone: the client's retry may reach another zone", keyed(KeyScopeZone), []*attempt{ran}, false},
		{"key scope cell, never ran", keyed(KeyScopeCell), []*attempt{never}, true},
	} {
		r := &request{class: &class{Class: c.class}, attempts: c.attempts}
		if r.mayReject() != c.may {
			t.Errorf("%s: may be rejected: %v", c.name, !c.may)
		}
	}
}

func TestRetrySendDeadline(t *testing.T) {
	at := func(seconds time.Duration) *attempt { return &attempt{sentAt: seconds * time.Second} }
	neverRan := &attempt{sentAt: time.Second, neverRan: true}
	for _, c := range []struct {
		name        string
		idempotency Idempotency
		attempts    []*attempt
		deadline    time.Duration
	}{
		{"no attempt", IdempotentWithKey, nil, 0},
		{"first attempt: no earlier one may have run", IdempotentWithKey, []*attempt{at(1)}, 0},
		{"second attempt", IdempotentWithKey, []*attempt{at(1), at(2)}, 1380 * ms},
		{"the earliest window end counts", IdempotentWithKey, []*attempt{at(2), at(1), at(0)}, 1380 * ms},
		{"an attempt that never ran does not count", IdempotentWithKey, []*attempt{neverRan, at(2), at(0)}, 2380 * ms},
		{"without a key", Idempotent, []*attempt{at(1), at(2)}, 0},
	} {
		policy := retryPolicy{margin: 20 * ms}
		requestClass := &class{Class: Class{Idempotency: c.idempotency, DeduplicationWindow: 400 * ms}}
		r := &request{class: requestClass, attempts: c.attempts}
		if got := policy.sendDeadline(r); got != c.deadline {
			t.Errorf("%s: send deadline %v, want %v", c.name, got, c.deadline)
		}
	}
}
