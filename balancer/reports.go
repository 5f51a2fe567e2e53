// Readings of utilisation, from load reports or estimated where upstreams send none.

package balancer

import "time"

// minUnreportedAnswers is how many successful answers in a row without a load report cause utilisation to be estimated.
const minUnreportedAnswers = 64

// recordReport adds a reading from the load report of an attempt's result, or an estimate if the upstream sends none.
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

// isEstimated reports whether the utilisation of an upstream is estimated. One answer without a report is not enough,
// since reports may be rare or missing for a while.
func (b *Balancer) isEstimated(upstream *upstreamState) bool {
	return b.settings.Reports == ReportAnswers && upstream.unreportedAnswers >= minUnreportedAnswers
}

// recordLoad adds a reading from a load report. objectives is the latency in multiples of the latency objective; on
// sites without load reports it takes the place of utilisation.
func (b *Balancer) recordLoad(
	upstream *upstreamState, load Load, succeeded bool, objectives float64, now time.Duration,
) {
	utilisation := load.utilisation()
	if load.Fields&(HasUtilisation|HasInFlight|HasQueue) == 0 && b.settings.Reports == ReportNone && succeeded {
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

// utilisation returns the reported utilisation, or an estimate from the requests in flight and queued if only these are
// reported.
func (l *Load) utilisation() float64 {
	if l.Fields&HasUtilisation == 0 && l.Fields&(HasInFlight|HasQueue) != 0 {
		return 1 - 1/(1+l.InFlight+l.Queue)
	}
	return l.Utilisation
}

// addReading adds a reading of utilisation to the band.
func (b *Balancer) addReading(upstream *upstreamState, utilisation float64, now time.Duration) {
	upstream.band.integrate(b.fleet.utilisation, now)
	upstream.band.add(utilisation)
	underHalf := max(utilisation, upstream.band.mean) < fullUtilisation/2
	if underHalf { // there is room even if all balancers that share the upstream send twice as much
		upstream.limit.raisePeriodMax()
	}
}

// HealthCheckFinished records the load report of a health check. Its success alone changes nothing, since a shallow
// health check proves only that the process is running.
func (b *Balancer) HealthCheckFinished(now time.Duration, p HealthCheckResult) {
	b.catchUp(now)
	if upstream := b.byID[p.Upstream]; upstream != nil && p.Status == OK {
		b.recordLoad(upstream, p.Load.clean(), false, 0, now)
	}
}
