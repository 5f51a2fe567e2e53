// The rules for retries: by the balancer, and by clients whose request is rejected.

package balancer

import (
	"slices"
	"time"
)

// retryPolicy decides whether a request may have another attempt. A non-idempotent request is retried only if no
// attempt can have run. A request with an idempotency key is retried only at upstreams that drop it as a repeat of
// every attempt that may have run.
type retryPolicy struct {
	maxAttempts int
	hedging     bool          // hedged requests are permitted
	margin      time.Duration // a deduplication window counts as over this long before its end
}

// maySend reports whether a request may be sent to an upstream, for the first time or as a retry. Every attempt is
// checked here.
func (p *retryPolicy) maySend(req *request, upstream *upstreamState, now time.Duration) bool {
	if req.done || now >= req.deadline || upstream.State != Active {
		return false
	}
	if len(req.attempts) >= p.maxAttempts || (req.inFlight > 0 && !p.hedging) {
		return false
	}
	for _, a := range req.attempts {
		if !a.neverRan && !p.mayRepeat(req.class, a, upstream, now) {
			return false
		}
	}
	return true
}

// mayRepeat reports whether a request of a class may be sent to an upstream although attempt a may have run.
func (p *retryPolicy) mayRepeat(c *class, a *attempt, upstream *upstreamState, now time.Duration) bool {
	switch c.Idempotency {
	case NonIdempotent:
		return false
	case IdempotentWithKey:
		withinWindow := now-a.sentAt < c.DeduplicationWindow-p.margin
		return withinWindow && c.deduplicates(a.upstream, upstream)
	}
	return true
}

// deduplicates reports whether each of two upstreams drops repeats of a keyed request that the other has run.
func (c *class) deduplicates(x, y *upstreamState) bool {
	switch c.KeyScope {
	case KeyScopeZone:
		return x.Zone == y.Zone
	case KeyScopeCell:
		return x.Cell == y.Cell
	}
	return true
}

// mayReject reports whether the request may be rejected, which tells the client that a retry is harmless. Every
// rejection of a known class is checked here.
func (req *request) mayReject() bool {
	switch req.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return req.class.KeyScope == KeyScopeAll || req.neverRan()
	}
	return req.neverRan()
}

// neverRan reports whether no attempt of the request can have run. An attempt in flight may have run.
func (req *request) neverRan() bool {
	return !slices.ContainsFunc(req.attempts, func(a *attempt) bool { return !a.neverRan })
}

// sendDeadline returns the earliest end of the deduplication windows of earlier attempts that may have run; 0 if there
// are none.
func (p *retryPolicy) sendDeadline(req *request) (deadline time.Duration) {
	if req.class.Idempotency != IdempotentWithKey {
		return 0
	}
	earlier := req.attempts[:max(0, len(req.attempts)-1)] // all but the newest, to which the deadline applies
	for _, a := range earlier {
		windowEnd := a.sentAt + req.class.DeduplicationWindow - p.margin
		if !a.neverRan && (deadline == 0 || windowEnd < deadline) {
			deadline = windowEnd
		}
	}
	return deadline
}

// SendDeadline returns the time before which the newest attempt of a request must be written to its connection, however
// long connecting takes: after it, an upstream that may have run an earlier attempt no longer drops repeats. It returns
// 0 if there is no such time.
func (b *Balancer) SendDeadline(id RequestID) time.Duration {
	req := b.requests[id]
	if req == nil {
		return 0
	}
	return b.retry.sendDeadline(req)
}
