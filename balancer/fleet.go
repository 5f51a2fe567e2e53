// Statistics of the fleet, with which each upstream is compared.

package balancer

import (
	"cmp"
	"math"
	"slices"
)

const (
	minAreaThreshold = 0.4  // smaller areas are noise: 0.4 is a deviation of a tenth of full utilisation
	areaRatio        = 1.25 // a saturated upstream's area is over this multiple of the fleet's median
	areaSpread       = 4.0  // and is over the median by more than this multiple of (median - lower quartile)
)

// fleetStats are statistics of the upstreams in the subset, as of the end of the last period. Latencies are in ns per
// unit of work.
type fleetStats struct {
	utilisation     float64 // median
	workPerWeight   float64 // work per period and weight that warm upstreams would carry at full utilisation
	errorRate       float64 // lower quartile of outlierDetector.errorRate
	bestLatency     float64 // lower quartile of latencyStats.best
	unloadedLatency float64 // lower quartile of latencyStats.unloaded
}

// updateWorkPerWeight sets workPerWeight from the work and the weight of the warm upstreams. While they have no work,
// it keeps its value.
func (f *fleetStats) updateWorkPerWeight(work, weight float64) {
	f.workPerWeight = cmp.Or(work/max(weight, math.SmallestNonzeroFloat32), f.workPerWeight)
}

// saturationThreshold returns the area over which an upstream is saturated, from the median and the lower quartile of
// the fleet's areas. It rises with the median, so a rise on all servers cuts no share.
func saturationThreshold(middle, low float64) float64 {
	return max(minAreaThreshold, areaRatio*middle, middle+areaSpread*(middle-low))
}

// median and lowerQuartile sort the values in place. They return 0 if there are none.
func median(values []float64) float64        { return lowerQuantile(values, 2) }
func lowerQuartile(values []float64) float64 { return lowerQuantile(values, 4) }

// lowerQuantile sorts the values in place and returns the one with 1/parts of them below it, or 0 if there are none.
func lowerQuantile(values []float64, parts int) float64 {
	slices.Sort(values)
	return append(values, 0)[len(values)/parts]
}

// measuredValues returns a value of each upstream in the subset that has readings.
func (b *Balancer) measuredValues(valueOf func(*upstreamState) float64) []float64 {
	values := make([]float64, 0, len(b.subset.upstreams)+1)
	for _, upstream := range b.subset.upstreams {
		if upstream.inSubset && upstream.band.readings > 0 {
			values = append(values, valueOf(upstream))
		}
	}
	return values
}

// fleetErrorRate returns the lower quartile of the error rates of the subset's upstreams.
func (b *Balancer) fleetErrorRate() float64 {
	rates := make([]float64, 0, len(b.subset.upstreams)+1)
	for _, upstream := range b.subset.upstreams {
		if upstream.inSubset && upstream.outlier.answers > 0 {
			rates = append(rates, upstream.outlier.errorRate)
		}
	}
	return lowerQuartile(rates)
}

// areaThreshold returns the area over which an upstream is saturated in this period.
func (b *Balancer) areaThreshold() float64 {
	areas := b.measuredValues(func(u *upstreamState) float64 { return u.band.area })
	return saturationThreshold(median(areas), lowerQuartile(areas))
}
