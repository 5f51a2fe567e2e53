// What answers do to the concurrency limit of their upstream.

package balancer

import (
	"cmp"
	"math"
	"time"
)

// answer is what a successful answer tells of its upstream, latencies in ns.
type answer struct {
	latency   float64
	objective float64 // of its class
	perWork   float64 // the upstream's usual latency for one unit of work, after this answer
	sparse    bool    // the upstream answers so rarely that readings tell more
}

// idle reports whether the answer came in so small a part of its objective that nothing can have waited.
func (a *answer) idle() bool { return a.latency < idleObjectivePart*a.objective }

// adjustLimit moves the limit by a successful answer. Cuts go by the least of a slow mean, since single answers once
// counted as crowding. Growth goes by the least, or by readings where one answer outweighs the mean.
func (b *Balancer) adjustLimit(upstream *upstreamState, got *answer, now time.Duration) {
	spare := upstream.band.mean < fullUtilisation
	unloaded := upstream.latency.unloadedHereOrInFleet(&b.fleet)
	crowded := got.perWork > max(crowdedRatio*unloaded, crowdedObjectivePart*got.objective)
	if crowded && (!got.sparse || !spare) {
		b.cutLimit(upstream, now, limitCut)
		return
	}
	if upstream.limit.allowed < b.limits.initial { // it has had its rest
		upstream.limit.allowed = b.limits.initial
		return
	}
	best := upstream.latency.bestHereOrInFleet(&b.fleet)
	uncrowded := got.sparse || got.idle() || got.perWork < uncrowdedRatio*best
	wanted := upstream.limit.halfUsed(len(upstream.inFlight)) && b.lacksCapacity(now)
	if uncrowded && spare && wanted {
		upstream.limit.grow(got.objective/got.latency-1, b.limits.growth, growthBound(upstream, got))
	}
}

// growthBound is what a limit must not grow over.
func growthBound(upstream *upstreamState, a *answer) float64 {
	most := upstream.limit.periodMax
	if a.idle() { // many short ones pass before a reading tells of full use: their latency tells first
		most = math.Inf(1)
	}
	if upstream.MaxInFlight > 0 {
		most = min(most, float64(upstream.MaxInFlight))
	}
	return most
}

// lacksCapacity reports whether a request had to wait within the last round trip or tick.
func (b *Balancer) lacksCapacity(now time.Duration) bool {
	return now-b.queue.lastFullAt < max(time.Duration(b.latency), b.tickInterval)
}

// cutLimit lowers the limit of a crowded upstream.
func (b *Balancer) cutLimit(upstream *upstreamState, now time.Duration, factor float64) {
	upstream.limit.cut(factor, len(upstream.inFlight), b.limits.minimum(), upstream.latency.mean, now)
}

// sendInterval is the wait between attempts at an upstream whose limit is under one.
func (b *Balancer) sendInterval(upstream *upstreamState) time.Duration {
	return upstream.limit.interval(cmp.Or(upstream.latency.mean, b.latency))
}
