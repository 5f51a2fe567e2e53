// The end of a period: shares, limits and the figures of the fleet move.

package balancer

import (
	"slices"
	"time"
)

// endPeriod closes the period: saturated upstreams lose share by degrees, the others regain it.
func (b *Balancer) endPeriod(now time.Duration) {
	b.endWorkloads(now)
	threshold := b.areaThreshold()
	for _, upstream := range b.subset.upstreams {
		upstream.share.endPeriod(&upstream.band, threshold)
		upstream.band.area = 0
		upstream.limit.endPeriod()
	}
	b.arrivals.endPeriod(now - b.periodStartedAt)
	b.periodStartedAt = now
	b.updateFleet()
	b.forgetRemoved()
	b.chooseSubset(now)
}

// endWorkloads closes the band areas and what upstreams were sent, and sums up what warm ones carry.
func (b *Balancer) endWorkloads(now time.Duration) {
	var work, weight float64
	for _, upstream := range b.subset.upstreams {
		upstream.band.integrate(b.fleet.utilisation, now)
		upstream.workload.endPeriod()
		if upstream.countsAsWarm() {
			work += upstream.workload.mean / upstream.usedCapacity()
			weight += upstream.share.inSubset()
		}
	}
	b.fleet.updateWorkPerWeight(work, weight)
}

// updateFleet takes the figures that upstreams are compared with.
func (b *Balancer) updateFleet() {
	utilisation := func(u *upstreamState) float64 { return u.band.mean }
	best := func(u *upstreamState) float64 { return u.latency.best }
	unloaded := func(u *upstreamState) float64 { return u.latency.unloaded }
	b.fleet.utilisation = median(b.measured(utilisation))
	b.fleet.errorRate = b.usualErrorRate()
	b.fleet.bestLatency = lowerQuartile(b.measured(best))
	b.fleet.unloadedLatency = lowerQuartile(b.measured(unloaded))
}

// forgetRemoved forgets the upstreams that are gone and owe nothing.
func (b *Balancer) forgetRemoved() {
	b.upstreams = slices.DeleteFunc(b.upstreams, func(upstream *upstreamState) bool {
		gone := upstream.State == Removed && len(upstream.inFlight) == 0
		if gone {
			delete(b.byID, upstream.ID)
		}
		return gone
	})
}
