// The end of a period: shares, limits and fleet statistics are updated.

package balancer

import (
	"slices"
	"time"
)

// endPeriod ends the period: it cuts the shares of saturated upstreams, restores those of the others, and updates
// limits, statistics and the subset.
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
	b.deleteRemoved()
	b.chooseSubset(now)
}

// endWorkloads integrates the band areas up to now, ends the upstreams' workload period, and updates workPerWeight.
func (b *Balancer) endWorkloads(now time.Duration) {
	var work, weight float64
	for _, upstream := range b.subset.upstreams {
		upstream.band.integrate(b.fleet.utilisation, now)
		upstream.workload.endPeriod()
		if upstream.countsAsWarm() {
			work += upstream.workload.mean / upstream.usedCapacity()
			weight += upstream.share.uncut()
		}
	}
	b.fleet.updateWorkPerWeight(work, weight)
}

// updateFleet updates the statistics of the fleet, with which upstreams are compared.
func (b *Balancer) updateFleet() {
	utilisation := func(u *upstreamState) float64 { return u.band.mean }
	best := func(u *upstreamState) float64 { return u.latency.best }
	unloaded := func(u *upstreamState) float64 { return u.latency.unloaded }
	b.fleet.utilisation = median(b.measuredValues(utilisation))
	b.fleet.errorRate = b.fleetErrorRate()
	b.fleet.bestLatency = lowerQuartile(b.measuredValues(best))
	b.fleet.unloadedLatency = lowerQuartile(b.measuredValues(unloaded))
}

// deleteRemoved deletes removed upstreams that have no attempt in flight.
func (b *Balancer) deleteRemoved() {
	b.upstreams = slices.DeleteFunc(b.upstreams, func(upstream *upstreamState) bool {
		obsolete := upstream.State == Removed && len(upstream.inFlight) == 0
		if obsolete {
			delete(b.byID, upstream.ID)
		}
		return obsolete
	})
}
