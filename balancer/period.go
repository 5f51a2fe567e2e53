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
	for _, u := range b.subset.upstreams {
		u.share.endPeriod(&u.band, threshold)
		u.band.area = 0
		u.limit.endPeriod()
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
	for _, u := range b.subset.upstreams {
		u.band.integrate(b.fleet.utilisation, now)
		u.workload.endPeriod()
		if u.countsAsWarm() {
			work += u.workload.mean / u.usedCapacity()
			weight += u.share.inSubset()
		}
	}
	b.fleet.updateWorkPerWeight(work, weight)
}

// updateFleet takes the figures that upstreams are compared with.
func (b *Balancer) updateFleet() {
	b.fleet.utilisation = b.quantile(medianParts, func(u *upstream) float64 { return u.band.mean })
	b.fleet.errorRate = b.usualErrorRate()
	b.fleet.bestLatency = b.quantile(quartileParts, func(u *upstream) float64 { return u.latency.best })
	b.fleet.unloadedLatency = b.quantile(quartileParts, func(u *upstream) float64 { return u.latency.unloaded })
}

// forgetRemoved forgets the upstreams that are gone and owe nothing.
func (b *Balancer) forgetRemoved() {
	b.upstreams = slices.DeleteFunc(b.upstreams, func(u *upstream) bool {
		gone := u.State == Removed && len(u.inFlight) == 0
		if gone {
			delete(b.byID, u.ID)
		}
		return gone
	})
}
