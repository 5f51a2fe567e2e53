// The rate of arriving requests, and the work that each upstream gets.

package balancer

import (
	"cmp"
	"time"
)

// arrivalRateWeight is the weight of a period in the mean arrival rate.
const arrivalRateWeight = 0.25

// workload is the work that this balancer sends to an upstream, in units of the mean request.
type workload struct {
	sent float64 // in this period
	mean float64 // running mean per period
}

// endPeriod adds the work of this period to the mean.
func (w *workload) endPeriod() {
	w.mean = meanWork(w.mean, w.sent)
	w.sent = 0
}

// meanWork returns the mean work per period after a period with the given work sent.
func meanWork(mean, sent float64) float64 { return mean + sampleWeight*(sent-mean) }

// arrivalRate measures the rate of arriving requests.
type arrivalRate struct {
	count     float64 // requests in this period
	perSecond float64 // running mean
}

// endPeriod adds the requests of this period to the mean rate.
func (a *arrivalRate) endPeriod(elapsed time.Duration) {
	updateMean(&a.perSecond, a.count/max(elapsed, bandPeriod).Seconds(), arrivalRateWeight)
	a.count = 0
}

// countsAsWarm reports whether the upstream's work counts for fleetStats.workPerWeight.
func (u *upstreamState) countsAsWarm() bool {
	return u.inSubset && u.isHealthy() && u.workload.mean > 0
}

// usedCapacity returns the upstream's mean utilisation within [minExcessLevel, 1]; 1 without readings.
func (u *upstreamState) usedCapacity() float64 {
	return min(max(cmp.Or(u.band.mean, 1), minExcessLevel), 1)
}
