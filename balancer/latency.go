// The usual latency of an upstream, with and without load.

package balancer

import (
	"cmp"
	"math"
)

const (
	sampleWeight  = 0.1   // weight of a new sample in running means
	minimumDrift  = 0.005 // how fast a least latency is unlearnt
	minAnswerWork = 0.5   // small requests have a fixed part of work too
)

// latencyStats is the usual latency of an upstream, in ns, and its work in mean requests. The last three are latency
// for one unit of work: best ≤ the last one seen, unloaded ≤ smoothed. All are 0 before the first answer.
type latencyStats struct {
	mean, deviation float64 // deviation: the mean of absolute ones
	work            float64 // usual work of its answers
	best            float64 // the least that was seen, slowly unlearnt
	smoothed        float64 // slow mean
	unloaded        float64 // the least of the slow mean, slowly unlearnt
}

// observe takes a successful answer and returns the usual latency for one unit of work.
func (l *latencyStats) observe(latency, work, weight float64) (perWork float64) {
	updateMean(&l.deviation, math.Abs(latency-l.mean), weight) // at first as large as the mean
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

// bestHereOrInFleet is the least latency for a unit of work, here or in a good part of the fleet: an upstream that was
// crowded from the first answer on knows no better of itself.
func (l *latencyStats) bestHereOrInFleet(fleet *fleetStats) float64 {
	return min(l.best, cmp.Or(fleet.bestLatency, l.best))
}

// unloadedHereOrInFleet is the same of the slow mean.
func (l *latencyStats) unloadedHereOrInFleet(fleet *fleetStats) float64 {
	return min(l.unloaded, cmp.Or(fleet.unloadedLatency, l.unloaded))
}

// estimateUtilisation is the utilisation of an upstream that reports none: where half of its latency is spent in a
// queue, half of it is used (so the mean has it in M/M/1).
func (l *latencyStats) estimateUtilisation(fleet *fleetStats) float64 {
	return max(0, 1-l.unloadedHereOrInFleet(fleet)/l.smoothed)
}

// updateMean moves a running mean; the first sample sets it.
func updateMean(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += weight * (sample - *mean)
}
