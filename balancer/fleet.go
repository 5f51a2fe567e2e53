// What a good part of the upstreams have in common: each is compared with it.

package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	areaFloor  = 0.4  // areas below it are noise: a deviation of a tenth of full use
	areaRatio  = 1.25 // saturated: an area over this multiple of the fleet's median
	areaSpread = 4.0  // and so many times as far over it as the lowest quarter is under it

	medianParts   = 2 // parts of which a quantile is the first
	quartileParts = 4
)

// fleetStats is what a good part of the upstreams in use have in common, as of the end of the last period.
type fleetStats struct {
	utilisation     float64 // median; what all have is no one's excess
	workPerWeight   float64 // work a period that warm upstreams carry for their weight and utilisation
	errorRate       float64 // usual share of errors among answers
	bestLatency     float64 // per unit of work, ns
	unloadedLatency float64 // per unit of work, ns
}

// updateWorkPerWeight takes the work that warm upstreams carry. With nobody to judge by, it stays.
func (f *fleetStats) updateWorkPerWeight(work, weight float64) {
	f.workPerWeight = cmp.Or(work/max(weight, math.SmallestNonzeroFloat32), f.workPerWeight)
}

// saturationThreshold is the area over which an upstream is saturated. It follows the fleet's median, so a rise on all
// servers cuts nobody.
func saturationThreshold(median, lowerQuartile float64) float64 {
	spread := median - lowerQuartile
	return max(areaFloor, areaRatio*median, median+areaSpread*spread)
}

// firstOf returns the value over one in so many of the values, which it sorts: the median for parts = 2. It has one
// more value of 0 at the end, so the quantile of none is 0.
func firstOf(parts int, values []float64) float64 {
	slices.Sort(values)
	return append(values, 0)[len(values)/parts]
}

// quantile is that of the upstreams that have readings.
func (b *Balancer) quantile(parts int, of func(*upstreamState) float64) float64 {
	values := make([]float64, 0, len(b.subset.upstreams)+1)
	for _, upstream := range b.subset.upstreams {
		if upstream.inSubset && upstream.band.readings > 0 {
			values = append(values, of(upstream))
		}
	}
	return firstOf(parts, values)
}

// usualErrorRate is the share of errors among the answers of a good part of the fleet.
func (b *Balancer) usualErrorRate() float64 {
	rates := make([]float64, 0, len(b.subset.upstreams)+1)
	for _, upstream := range b.subset.upstreams {
		if upstream.inSubset && upstream.outlier.answers > 0 {
			rates = append(rates, upstream.outlier.errorRate)
		}
	}
	return firstOf(quartileParts, rates)
}

// areaThreshold is the threshold of this period.
func (b *Balancer) areaThreshold() float64 {
	area := func(u *upstreamState) float64 { return u.band.area }
	return saturationThreshold(b.quantile(medianParts, area), b.quantile(quartileParts, area))
}
