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
func (b *Balancer) adjustLimit(u *upstream, a *answer, now time.Duration) {
	spare := u.band.mean < fullUtilisation
	crowded := a.perWork > max(crowdedRatio*u.latency.unloadedOf(&b.fleet), crowdedObjectivePart*a.objective)
	if crowded && !(a.sparse && spare) {
		b.cutLimit(u, now, limitCut)
		return
	}
	if u.limit.allowed < b.limits.initial { // it has had its rest
		u.limit.allowed = b.limits.initial
		return
	}
	uncrowded := a.sparse || a.idle() || a.perWork < uncrowdedRatio*u.latency.bestOf(&b.fleet)
	if uncrowded && spare && u.limit.halfUsed(len(u.inFlight)) && b.lacksTurns(now) {
		u.limit.grow(a.objective/a.latency-1, b.limits.growth, growthBound(u, a))
	}
}

// growthBound is what a limit must not grow over.
func growthBound(u *upstream, a *answer) float64 {
	most := u.limit.periodMax
	if a.idle() { // many short ones pass before a reading tells of full use: their latency tells first
		most = math.Inf(1)
	}
	if u.MaxInFlight > 0 {
		most = min(most, float64(u.MaxInFlight))
	}
	return most
}

// lacksTurns reports whether a request had to wait within the last round trip or tick.
func (b *Balancer) lacksTurns(now time.Duration) bool {
	return now-b.queue.lastFullAt < max(time.Duration(b.latency), b.tickInterval)
}

// cutLimit lowers the limit of a crowded upstream.
func (b *Balancer) cutLimit(u *upstream, now time.Duration, factor float64) {
	u.limit.cut(factor, len(u.inFlight), b.limits.minimum(), u.latency.mean, now)
}

// sendInterval is the wait between attempts at an upstream whose limit is under one.
func (b *Balancer) sendInterval(u *upstream) time.Duration {
	return u.limit.interval(cmp.Or(u.latency.mean, b.latency))
}
