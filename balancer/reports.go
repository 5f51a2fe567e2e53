// Load reports, and estimates where there are none: the readings of utilisation.

package balancer

import "time"

// minUnreported is how many answers in a row bring no load report before utilisation is estimated.
const minUnreported = 64

// recordReport takes the load report of an outcome, or an estimate where there are none.
func (b *Balancer) recordReport(ended *attempt, result AttemptResult, now time.Duration) {
	upstream := ended.upstream
	if b.settings.Reports != ReportHealthChecks {
		objectives := float64(result.Latency) / float64(ended.request.class.LatencyObjective)
		b.recordLoad(upstream, result.Load, result.Status == OK, objectives, now)
	}
	if result.Load.Fields != 0 {
		upstream.unreportedAnswers = 0
	} else if result.Status == OK {
		upstream.unreportedAnswers++
	}
	if b.isEstimated(upstream) && now-upstream.band.integratedAt >= bandPeriod/bandWindow {
		b.addReading(upstream, upstream.latency.estimateUtilisation(&b.fleet), now)
	}
}

// isEstimated tells whether an upstream answers and reports nothing. Reports may also be rare, or not read for a while.
func (b *Balancer) isEstimated(upstream *upstreamState) bool {
	return b.settings.Reports == ReportAnswers && upstream.unreportedAnswers >= minUnreported
}

// recordLoad takes a load report as a reading of utilisation. objectives is the latency as a part of the objective,
// the stand-in where sites have no reports.
func (b *Balancer) recordLoad(
	upstream *upstreamState, load Load, succeeded bool, objectives float64, now time.Duration,
) {
	utilisation := load.utilisation()
	if load.Fields&(HasUtil|HasInflight|HasQueue) == 0 && b.settings.Reports == ReportNone && succeeded {
		utilisation = min(1, objectives)
	}
	repeated := load.Fields != 0 && load == upstream.lastLoad
	empty := load.Fields == 0 && utilisation == 0
	if repeated || empty {
		return
	}
	upstream.lastLoad = load
	b.addReading(upstream, utilisation, now)
}

// utilisation is what a report says of it, by what is in flight or waits where it says no more.
func (l *Load) utilisation() float64 {
	if l.Fields&HasUtil == 0 && l.Fields&(HasInflight|HasQueue) != 0 {
		return 1 - 1/(1+l.Inflight+l.Queue)
	}
	return l.Util
}

// addReading takes a reading of utilisation into the band.
func (b *Balancer) addReading(upstream *upstreamState, utilisation float64, now time.Duration) {
	upstream.band.integrate(b.fleet.utilisation, now)
	upstream.band.add(utilisation)
	underHalf := max(utilisation, upstream.band.mean) < fullUtilisation/2
	if underHalf { // if all who share it sent twice as much, there would be room
		upstream.limit.raisePeriodMax()
	}
}

// HealthCheckFinished takes a health check's result: a reading only, since a shallow one proves no more than a
// process.
func (b *Balancer) HealthCheckFinished(now time.Duration, p HealthCheckResult) {
	b.catchUp(now)
	if upstream := b.byID[p.Upstream]; upstream != nil && p.Status == OK {
		b.recordLoad(upstream, p.Load.clean(), false, 0, now)
	}
}
