// Latency statistics of an upstream, with and without load.

package balancer

import (
	"cmp"
	"math"
)

const (
	sampleWeight  = 0.1   // weight of a new sample in running means
	minimumDrift  = 0.005 // weight by which a minimum moves towards each new sample
	minAnswerWork = 0.5   // small requests have a fixed cost too
)

// latencyStats holds running means and minima of an upstream's latency, in ns. Work is in units of the mean request.
// best, smoothed and unloaded are per unit of work. All are 0 before the first answer.
type latencyStats struct {
	mean, deviation float64 // deviation: mean absolute deviation
	work            float64 // mean work of the requests answered
	best            float64 // minimum of mean/work, drifting back up
	smoothed        float64 // running mean of mean/work
	unloaded        float64 // minimum of smoothed, drifting back up
}

// observe adds a successful answer, with a weight in the running means, and returns the mean latency per unit of work.
func (l *latencyStats) observe(latency, work, weight float64) (perWork float64) {
	updateMean(&l.deviation, math.Abs(latency-l.mean), weight) // the first sample is the latency itself
	updateMean(&l.mean, latency, weight)
	updateMean(&l.work, max(work, minAnswerWork), weight)
	perWork = l.mean / l.work
	updateMean(&l.smoothed, perWork, sampleWeight)
	updateMean(&l.best, perWork, minimumDrift)
	updateMean(&l.unloaded, l.smoothed, minimumDrift)
	l.best = min(l.best, perWork)
	l.unloaded = min(l.unloaded, l.smoothed)
	return perWork
}

// bestHereOrInFleet returns the smaller of the upstream's own best latency and the fleet's. An upstream that was
// congested from its first answer on has no low latency of its own to compare with.
func (l *latencyStats) bestHereOrInFleet(fleet *fleetStats) float64 {
	return min(l.best, cmp.Or(fleet.bestLatency, l.best))
}

// unloadedHereOrInFleet returns the smaller of the upstream's own unloaded latency and the fleet's.
func (l *latencyStats) unloadedHereOrInFleet(fleet *fleetStats) float64 {
	return min(l.unloaded, cmp.Or(fleet.unloadedLatency, l.unloaded))
}

// estimateUtilisation estimates the utilisation of an upstream that sends no load reports, as the part of its latency
// spent in a queue. In an M/M/1 queue that part is the utilisation.
func (l *latencyStats) estimateUtilisation(fleet *fleetStats) float64 {
	return max(0, 1-l.unloadedHereOrInFleet(fleet)/l.smoothed)
}

// updateMean adds a sample to an exponentially weighted mean. The first sample sets it.
func updateMean(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += weight * (sample - *mean)
}
