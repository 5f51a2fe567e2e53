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

// saturationThreshold is the area over which an upstream is saturated, by the median and the lower quartile of the
// fleet's areas. It follows the median, so a rise on all servers cuts nobody.
func saturationThreshold(middle, low float64) float64 {
	return max(areaFloor, areaRatio*middle, middle+areaSpread*(middle-low))
}

// median and lowerQuartile sort the values; those of none are 0.
func median(values []float64) float64        { return lowerQuantile(values, 2) }
func lowerQuartile(values []float64) float64 { return lowerQuantile(values, 4) }

// lowerQuantile is the value over one in so many of the values. A value of 0 is added at the end.
func lowerQuantile(values []float64, parts int) float64 {
	slices.Sort(values)
	return append(values, 0)[len(values)/parts]
}

// measured returns a figure of each upstream in use that has readings.
func (b *Balancer) measured(figure func(*upstreamState) float64) []float64 {
	values := make([]float64, 0, len(b.subset.upstreams)+1)
	for _, upstream := range b.subset.upstreams {
		if upstream.inSubset && upstream.band.readings > 0 {
			values = append(values, figure(upstream))
		}
	}
	return values
}

// usualErrorRate is the share of errors among the answers of a good part of the fleet.
func (b *Balancer) usualErrorRate() float64 {
	rates := make([]float64, 0, len(b.subset.upstreams)+1)
	for _, upstream := range b.subset.upstreams {
		if upstream.inSubset && upstream.outlier.answers > 0 {
			rates = append(rates, upstream.outlier.errorRate)
		}
	}
	return lowerQuartile(rates)
}

// areaThreshold is the threshold of this period.
func (b *Balancer) areaThreshold() float64 {
	areas := b.measured(func(u *upstreamState) float64 { return u.band.area })
	return saturationThreshold(median(areas), lowerQuartile(areas))
}
