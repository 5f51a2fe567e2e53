// When a request may be sent again, and when its client may be told to retry.

package balancer

import (
	"slices"
	"time"
)

// retryPolicy decides whether a request may have another attempt. It never lets one run twice that must not: a
// non-idempotent one goes out again only if no attempt can have run; one with an idempotency key only to upstreams
// that still drop its repeats.
type retryPolicy struct {
	maxAttempts int
	hedging     bool          // a second attempt may go out beside the first
	margin      time.Duration // so long before its end a deduplication window counts as over
}

// maySend alone decides whether a request may be sent (again), and whether an upstream may take it.
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

// mayRepeat reports whether a request of a class may run at an upstream although attempt a may have run.
func (p *retryPolicy) mayRepeat(c *class, a *attempt, upstream *upstreamState, now time.Duration) bool {
	switch c.Idempotency {
	case NonIdempotent:
		return false
	case IdempotentWithKey:
		remembered := now-a.sentAt < c.DeduplicationWindow-p.margin
		return remembered && c.deduplicates(a.upstream, upstream)
	}
	return true
}

// deduplicates reports whether one of the two upstreams drops a keyed request that the other has run.
func (c *class) deduplicates(x, y *upstreamState) bool {
	switch c.KeyScope {
	case KeyScopeZone:
		return x.Zone == y.Zone
	case KeyScopeCell:
		return x.Cell == y.Cell
	}
	return true
}

// mayReject alone decides whether the client may be told that a retry is harmless.
func (req *request) mayReject() bool {
	switch req.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return req.class.KeyScope == KeyScopeAll || req.neverRan()
	}
	return req.neverRan()
}

// neverRan reports whether no attempt of the request can have run: it stands as if it had just come.
func (req *request) neverRan() bool {
	return !slices.ContainsFunc(req.attempts, func(a *attempt) bool { return !a.neverRan })
}

// sendDeadline is when the first upstream forgets a keyed request that may have run there; 0: never.
func (p *retryPolicy) sendDeadline(req *request) (deadline time.Duration) {
	if req.class.Idempotency != IdempotentWithKey {
		return 0
	}
	earlier := req.attempts[:max(0, len(req.attempts)-1)] // the newest is the one that asks
	for _, a := range earlier {
		forgottenAt := a.sentAt + req.class.DeduplicationWindow - p.margin
		if !a.neverRan && (deadline == 0 || forgottenAt < deadline) {
			deadline = forgottenAt
		}
	}
	return deadline
}

// SendDeadline tells when upstreams that may have run a keyed request forget it: its newest attempt must be written
// before then, however long its connection takes. 0: there is no such time.
func (b *Balancer) SendDeadline(id RequestID) time.Duration {
	req := b.requests[id]
	if req == nil {
		return 0
	}
	return b.retry.sendDeadline(req)
}
