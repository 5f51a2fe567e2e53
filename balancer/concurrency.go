// Concurrency limits: how many attempts may be in flight at an upstream.

package balancer

import (
	"math"
	"time"
)

const (
	initialLimitTotal       = 3      // initial limit of an upstream, over all balancers
	minLimitTotal           = 0.25   // least limit, over all balancers: under 1, a congested server gets pauses
	limitCutFactor          = 0.8    // cut after an answer that shows congestion; squared after a rejection or timeout
	limitGrowthCoefficient  = 0.02   // growth per answer is this times the square of (objective/latency - 1)
	uncongestedRatio        = 1.5    // under this multiple of the best latency no queue has formed
	congestedRatio          = 1.6    // over this multiple of the unloaded latency it is congested or faulty
	congestedObjectiveRatio = 0.5    // under this part of the objective congestion does no harm
	unqueuedObjectiveRatio  = 0.0625 // under this part of the objective an answer cannot have waited in a queue
	sparseWeight            = 0.5    // over this sample weight, readings are more reliable than the mean latency
	fullUtilisation         = 0.8    // mean utilisation from which more attempts yield no more throughput
)

// concurrencyLimit is how many attempts may be in flight at an upstream. A limit under 1 spaces single attempts by an
// interval. Attempts that were in flight at the same time cut the limit only once.
type concurrencyLimit struct {
	allowed    float64
	nextSendAt time.Duration // earliest time of the next attempt
	periodMax  float64       // bound on growth in this period
	cutAt      time.Duration // last cut
}

// limitSettings are the parameters of all concurrency limits that depend on the width of the subset.
type limitSettings struct {
	initial float64 // limit of an upstream without history
	growth  float64 // factor on growth: 1 at targetSharers, less with more sharers
}

// minimum returns the value below which no cut lowers a limit.
func (s *limitSettings) minimum() float64 { return s.initial * minLimitTotal / initialLimitTotal }

// permits reports whether another attempt may be sent. Below their limits, upstreams get attempts by their shares.
func (l *concurrencyLimit) permits(inFlight int, now time.Duration) bool {
	return now >= l.nextSendAt && float64(inFlight) < max(1, math.Round(l.allowed))
}

// halfUsed reports whether another attempt would take more than half of the limit. A limit that is less used must not
// grow, or it would grow without bound wherever a lower cap restricts the attempts.
func (l *concurrencyLimit) halfUsed(inFlight int) bool { return 2*float64(inFlight+1) > l.allowed }

// interval returns the pause between attempts while the limit is under 1, and otherwise 0.
func (l *concurrencyLimit) interval(latency float64) time.Duration {
	return time.Duration(max(0, 1/l.allowed-1) * latency)
}

// cut lowers the limit to factor times the slots in use, but not below minimum, and at most once per latency (ns).
func (l *concurrencyLimit) cut(factor float64, inFlight int, minimum, latency float64, now time.Duration) {
	if now-l.cutAt < time.Duration(latency) {
		return
	}
	used := min(l.allowed, float64(inFlight+1))
	l.allowed = max(minimum, used*factor)
	l.cutAt = now
}

// grow raises the limit in proportion to the square of spareObjectives, which is objective/latency - 1 of an answer,
// but not over most.
func (l *concurrencyLimit) grow(spareObjectives, growth, most float64) {
	step := growth * min(1, limitGrowthCoefficient*spareObjectives*spareObjectives)
	l.allowed = max(l.allowed, min(l.allowed+step, most))
}

// raisePeriodMax allows the limit to double from its present value within this period.
func (l *concurrencyLimit) raisePeriodMax() { l.periodMax = max(l.periodMax, 2*l.allowed) }

// endPeriod allows the limit to double within the next period. Without this bound a limit grew tenfold before a reading
// showed full utilisation.
func (l *concurrencyLimit) endPeriod() { l.periodMax = max(2*l.allowed, initialLimitTotal) }

// attemptEnded sets the earliest time of the next attempt, an interval after the end of this one. An upstream that was
// idle for an interval may get one attempt without that wait, since requests arrive irregularly.
func (l *concurrencyLimit) attemptEnded(sentAt, interval, now time.Duration) {
	earliest := max(l.nextSendAt, sentAt-interval)
	spacedFrom := min(now, earliest+now-sentAt)
	l.nextSendAt = max(l.nextSendAt, spacedFrom+interval)
}
