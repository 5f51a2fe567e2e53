// The work that arrives, and the part of it that each upstream gets.

package balancer

import (
	"cmp"
	"time"
)

// arrivalRateWeight is the weight of a period's requests in the usual rate.
const arrivalRateWeight = 0.25

// workload is the work that an upstream gets from this balancer, in mean requests.
type workload struct {
	sent float64 // this period
	mean float64 // a period
}

// endPeriod takes what was sent into the mean.
func (w *workload) endPeriod() {
	w.mean = meanWork(w.mean, w.sent)
	w.sent = 0
}

// meanWork is the mean work of a period, after one more.
func meanWork(mean, sent float64) float64 { return mean + sampleWeight*(sent-mean) }

// arrivalRate counts the requests that arrive.
type arrivalRate struct {
	count     float64 // this period
	perSecond float64 // usual
}

// endPeriod takes what has arrived into the rate.
func (a *arrivalRate) endPeriod(elapsed time.Duration) {
	updateMean(&a.perSecond, a.count/max(elapsed, bandPeriod).Seconds(), arrivalRateWeight)
	a.count = 0
}

// countsAsWarm tells whether the upstream counts for what warm upstreams carry.
func (u *upstreamState) countsAsWarm() bool {
	return u.inSubset && u.isHealthy() && u.workload.mean > 0
}

// usedCapacity is the part of its capacity by which it counts there: all of it while no reading tells.
func (u *upstreamState) usedCapacity() float64 {
	return min(max(cmp.Or(u.band.mean, 1), minExcessLevel), 1)
}
