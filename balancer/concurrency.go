// How many attempts may be in flight at an upstream.

package balancer

import (
	"math"
	"time"
)

const (
	initialLimitTotal    = 3      // attempts in flight at one upstream, over all balancers, at first
	minLimitTotal        = 0.25   // over all balancers: with pauses, so that a crowded server can rest
	limitCut             = 0.8    // on a crowded answer; twice on a full queue or a timeout
	limitGrowth          = 0.02   // on an answer while slots are short, times the square of its spare objectives
	uncrowdedRatio       = 1.5    // latency for the work, in multiples of its least: no queue
	crowdedRatio         = 1.6    // over this multiple: the upstream is crowded or faulty
	crowdedObjectivePart = 0.5    // and it takes this part of the objective: far under it crowding hurts nobody
	idleObjectivePart    = 0.0625 // under it a limit may grow without waiting for readings
	sparseWeight         = 0.5    // over it one answer outweighs the mean: readings tell more than latency does
	fullUtilisation      = 0.8    // mean utilisation over which more attempts bring no more
)

// concurrencyLimit is how many attempts may be in flight at an upstream. Under one it becomes an interval between
// attempts. It is cut once for what was in flight together.
type concurrencyLimit struct {
	allowed    float64
	nextSendAt time.Duration // nothing is sent to the upstream until then
	periodMax  float64       // it grows no further in this period
	cutAt      time.Duration
}

// limitSettings is what the width of the subset makes of all concurrency limits.
type limitSettings struct {
	initial float64 // before anything is learnt
	growth  float64 // as a multiple of the growth that the usual number of sharers has
}

// minimum is what no cut goes below.
func (s *limitSettings) minimum() float64 { return s.initial * minLimitTotal / initialLimitTotal }

// permits reports whether another attempt may be sent. The limit is a guard: shares decide below it.
func (l *concurrencyLimit) permits(inFlight int, now time.Duration) bool {
	return now >= l.nextSendAt && float64(inFlight) < max(1, math.Round(l.allowed))
}

// halfUsed reports whether another attempt would take more than half of the limit. One that is not used must not grow,
// or it grew without end where a cap lay under it.
func (l *concurrencyLimit) halfUsed(inFlight int) bool { return 2*float64(inFlight+1) > l.allowed }

// interval is the wait between attempts while the limit is under one.
func (l *concurrencyLimit) interval(latency float64) time.Duration {
	return time.Duration(max(0, 1/l.allowed-1) * latency)
}

// cut lowers the limit, once for what was in flight together.
func (l *concurrencyLimit) cut(factor float64, inFlight int, minimum, latency float64, now time.Duration) {
	if now-l.cutAt < time.Duration(latency) {
		return
	}
	used := min(l.allowed, float64(inFlight+1))
	l.allowed = max(minimum, used*factor)
	l.cutAt = now
}

// grow raises the limit by the square of what an answer left of its objective, and never over most.
func (l *concurrencyLimit) grow(spareObjectives, growth, most float64) {
	step := growth * min(1, limitGrowth*spareObjectives*spareObjectives)
	l.allowed = max(l.allowed, min(l.allowed+step, most))
}

// raisePeriodMax lets the limit double within this period.
func (l *concurrencyLimit) raisePeriodMax() { l.periodMax = max(l.periodMax, 2*l.allowed) }

// endPeriod lets the limit double within the next period, or it grew tenfold before a reading told of full use.
func (l *concurrencyLimit) endPeriod() { l.periodMax = max(2*l.allowed, initialLimitTotal) }

// attemptEnded spaces the attempts. An upstream left idle has an attempt in hand: requests come by chance.
func (l *concurrencyLimit) attemptEnded(sentAt, interval, now time.Duration) {
	earliest := max(l.nextSendAt, sentAt-interval)
	spacedFrom := min(now, earliest+now-sentAt)
	l.nextSendAt = max(l.nextSendAt, spacedFrom+interval)
}
