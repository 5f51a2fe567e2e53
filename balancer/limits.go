// Adjustment of concurrency limits by answers.

package balancer

import (
	"cmp"
	"math"
	"time"
)

// answer describes a successful answer. Latencies are in ns.
type answer struct {
	latency   float64
	objective float64 // latency objective of its class
	perWork   float64 // the upstream's mean latency per unit of work, with this answer
	sparse    bool    // answers are so rare that readings say more about load than latency does
}

// unqueued reports whether the latency is so far below the objective that the request can't have waited in a queue.
func (a *answer) unqueued() bool { return a.latency < unqueuedObjectiveRatio*a.objective }

// adjustLimit cuts or grows the concurrency limit after a successful answer. For a cut, it compares the latency with
// the minimum of the smoothed latency, since otherwise single answers counted as congestion; for growth, with the best
// latency. Where answers are sparse, readings of utilisation decide.
func (b *Balancer) adjustLimit(upstream *upstreamState, got *answer, now time.Duration) {
	spare := upstream.band.mean < fullUtilisation
	unloaded := upstream.latency.unloadedHereOrInFleet(&b.fleet)
	congested := got.perWork > max(congestedRatio*unloaded, congestedObjectiveRatio*got.objective)
	if congested && (!got.sparse || !spare) {
		b.cutLimit(upstream, now, limitCutFactor)
		return
	}
	if upstream.limit.allowed < b.limits.initial { // the congestion is over
		upstream.limit.allowed = b.limits.initial
		return
	}
	best := upstream.latency.bestHereOrInFleet(&b.fleet)
	uncongested := got.sparse || got.unqueued() || got.perWork < uncongestedRatio*best
	wanted := upstream.limit.halfUsed(upstream.working()) && b.lacksCapacity(now)
	if uncongested && spare && wanted {
		upstream.limit.grow(got.objective/got.latency-1, b.limits.growth, growthBound(upstream, got))
	}
}

// growthBound returns the value over which the limit must not grow.
func growthBound(upstream *upstreamState, a *answer) float64 {
	most := upstream.limit.periodMax
	if a.unqueued() { // with many short answers, latency shows full utilisation before the next reading does
		most = math.Inf(1)
	}
	if upstream.MaxInFlight > 0 {
		most = min(most, float64(upstream.MaxInFlight))
	}
	return most
}

// lacksCapacity reports whether some request found no slot within the last mean latency or tick, whichever is longer.
func (b *Balancer) lacksCapacity(now time.Duration) bool {
	return now-b.queue.lastFullAt < max(time.Duration(b.latency), b.tickInterval)
}

// cutLimit lowers the concurrency limit of a congested upstream.
func (b *Balancer) cutLimit(upstream *upstreamState, now time.Duration, factor float64) {
	upstream.limit.cut(factor, upstream.working(), b.limits.minimum(), upstream.latency.mean, now)
}

// sendInterval returns the pause between attempts at an upstream whose limit is under 1.
func (b *Balancer) sendInterval(upstream *upstreamState) time.Duration {
	return upstream.limit.interval(cmp.Or(upstream.latency.mean, b.latency))
}
