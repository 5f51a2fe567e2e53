// Upstreams that owe every answer: when they count as unresponsive, and what becomes of their requests.

package balancer

import (
	"slices"
	"time"
)

// responseTimeout is how long an upstream may owe every answer before it counts as unresponsive.
func (b *Balancer) responseTimeout(upstream *upstreamState, work float64) time.Duration {
	own := upstream.latency.mean + timeoutDeviations*upstream.latency.deviation
	fleet := (1 + timeoutDeviations/2) * b.latency // one lucky answer is no measure
	return time.Duration(max(own, fleet)*max(1, work)) + b.tickInterval
}

// checkResponsive looks whether an upstream has attempts in flight and nothing has come back for longer than its
// response timeout. Its turns are skipped, it gets one trial at a time, and what may run twice starts elsewhere.
func (b *Balancer) checkResponsive(upstream *upstreamState, now time.Duration) {
	oldest := upstream.oldestAwaited()
	if upstream.outlier.unresponsive || oldest == nil {
		return
	}
	silence := now - max(oldest.sentAt, upstream.outlier.answeredAt)
	timeout := b.responseTimeout(upstream, oldest.request.work)
	if silence <= timeout {
		return
	}
	upstream.outlier.eject(now, timeout)
	b.log(now, "unresponsive", "upstream %d owes every answer for %v: turns skipped, trials only", upstream.ID, silence)
	for _, a := range slices.Clone(upstream.inFlight) {
		b.restartElsewhere(a, now)
	}
}

// oldestAwaited is the attempt that has owed an answer for longest, or nil.
func (u *upstreamState) oldestAwaited() *attempt {
	var oldest *attempt
	for _, a := range u.inFlight {
		if !a.request.BodyStreaming && (oldest == nil || a.sentAt < oldest.sentAt) {
			oldest = a
		}
	}
	return oldest
}

// restartElsewhere hedges a request whose upstream is unresponsive, or cancels its attempt so that it starts again.
func (b *Balancer) restartElsewhere(a *attempt, now time.Duration) {
	req := a.request
	if req.class.Idempotency == NonIdempotent || req.done || req.inFlight > 1 {
		return
	}
	if other, _ := b.pickUpstream(req, now); other != nil {
		b.send(req, other, now)
		return
	}
	if !b.settings.Limits.Hedging && b.settings.Limits.Cancel {
		b.host.Cancel(req.ID, slices.Index(req.attempts, a))
	}
}
