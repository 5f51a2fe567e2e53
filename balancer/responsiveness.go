// Detection of upstreams that stop answering, and the retry of their requests elsewhere.

package balancer

import (
	"slices"
	"time"
)

// responseTimeout returns how long an upstream with an attempt of the given work in flight may send no answer at all
// before it counts as unresponsive.
func (b *Balancer) responseTimeout(upstream *upstreamState, work float64) time.Duration {
	own := upstream.latency.mean + timeoutDeviations*upstream.latency.deviation
	fleet := (1 + timeoutDeviations/2) * b.latency // one fast answer must not make the timeout too short
	return time.Duration(max(own, fleet)*max(1, work)) + b.tickInterval
}

// checkResponsive ejects an upstream that has attempts in flight but has sent no answer for its response timeout: it
// gets trial requests only. Requests in flight there that may run twice are sent elsewhere.
func (b *Balancer) checkResponsive(upstream *upstreamState, now time.Duration) {
	oldest := upstream.oldestAwaited()
	if upstream.outlier.unresponsive || oldest == nil {
		return
	}
	silence := now - max(oldest.sentAt, upstream.outlier.lastResponseAt)
	timeout := b.responseTimeout(upstream, oldest.request.work)
	if silence <= timeout {
		return
	}
	upstream.outlier.eject(now, timeout)
	b.log(now, "unresponsive", "upstream %d owes every answer for %v: turns skipped, trials only", upstream.ID, silence)
	for _, a := range slices.Clone(upstream.inFlight) {
		b.retryElsewhere(a, now)
	}
}

// oldestAwaited returns the oldest attempt from which an answer is expected, or nil.
func (u *upstreamState) oldestAwaited() *attempt {
	var oldest *attempt
	for _, a := range u.inFlight {
		if !a.request.BodyStreaming && (oldest == nil || a.sentAt < oldest.sentAt) {
			oldest = a
		}
	}
	return oldest
}

// retryElsewhere sends a request again at another upstream, as a hedged request. If no upstream takes it and hedging
// is not permitted, it cancels the attempt at the unresponsive upstream, so that the request is retried.
func (b *Balancer) retryElsewhere(a *attempt, now time.Duration) {
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
