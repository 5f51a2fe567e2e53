// What the outcome of an attempt tells about its upstream.

package balancer

import (
	"slices"
	"time"
)

// minUnreported is how many answers in a row bring no load report before utilisation is estimated.
const minUnreported = 64

// recordOutcome draws from an outcome what it tells about its upstream.
func (b *Balancer) recordOutcome(ended *attempt, result AttemptResult, now time.Duration) {
	upstream := ended.upstream
	switch result.Status {
	case OK, Error:
		b.recordAnswer(upstream, result.Status == Error, now)
	case Rejected:
		upstream.outlier.responded(now, b.tickInterval)
	}
	switch result.Status {
	case OK:
		b.recordSuccess(ended, float64(result.Latency), now)
	case Rejected, Timeout:
		b.cutLimit(upstream, now, limitCut*limitCut)
	case ConnectFailed, Reset:
		upstream.limit.nextSendAt = upstream.outlier.connectFailed(now, b.settings.Rules.SlowStartDuration)
	}
	upstream.limit.attemptEnded(ended.sentAt, b.sendInterval(upstream), now)
	b.recordReport(ended, result, now)
}

// recordSuccess takes the latency of a successful answer.
func (b *Balancer) recordSuccess(a *attempt, latency float64, now time.Duration) {
	upstream, class := a.upstream, a.request.class
	weight := max(sampleWeight, 1-upstream.limit.allowed) // the rarer its answers, the more each one tells
	perWork := upstream.latency.observe(latency, a.request.work, weight)
	updateMean(&b.latency, latency, sampleWeight)
	updateMean(&class.latency, latency, sampleWeight)
	b.adjustLimit(upstream, &answer{
		latency:   latency,
		objective: float64(class.LatencyObjective),
		perWork:   perWork,
		sparse:    weight > sparseWeight && upstream.band.readings > 0,
	}, now)
}

// recordAnswer counts an answer. An upstream that fails fast always has a turn free, and two of fifteen once drew an
// eighth of all requests: with many more errors than the fleet it gets trials only, as one that is silent, and its
// share is cut by what is lost there.
func (b *Balancer) recordAnswer(upstream *upstreamState, failed bool, now time.Duration) {
	upstream.outlier.recordAnswer(failed)
	if failed && upstream.outlier.errorRate > outlierExcess { // all may have begun to fail in this period
		b.fleet.errorRate = b.usualErrorRate()
	}
	if !failed || upstream.outlier.excessErrors(b.fleet.errorRate) <= outlierExcess {
		upstream.outlier.responded(now, b.tickInterval)
		return
	}
	if !upstream.outlier.unresponsive {
		upstream.outlier.eject(now, bandWindow*b.tickInterval)
		b.log(now, "sick", "upstream %d answers with errors, more than others do: trials only", upstream.ID)
	}
	upstream.outlier.backoff = min(upstream.outlier.backoff, b.settings.Rules.SlowStartDuration)
}

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
	halfUsed := max(utilisation, upstream.band.mean) < fullUtilisation/2
	if halfUsed { // if all who share it sent twice as much, there would be room
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

// responseTimeout is how long an upstream may owe every answer before it counts as unresponsive.
func (b *Balancer) responseTimeout(upstream *upstreamState, work float64) time.Duration {
	own := upstream.latency.mean + timeoutDeviations*upstream.latency.deviation
	fleet := (1 + timeoutDeviations/2) * b.latency // one lucky answer is no measure
	return time.Duration(max(own, fleet)*max(1, work)) + b.tickInterval
}

// checkResponsive looks whether an upstream has attempts in flight and nothing has come back for longer than its
// response timeout. Its turns are skipped, it gets one trial at a time, and what may run twice starts elsewhere.
func (b *Balancer) checkResponsive(upstream *upstreamState, now time.Duration) {
	oldest := upstream.oldestAwaited()
	if upstream.outlier.unresponsive || oldest == nil {
		return
	}
	silence := now - max(oldest.sentAt, upstream.outlier.answeredAt)
	timeout := b.responseTimeout(upstream, oldest.request.work)
	if silence <= timeout {
		return
	}
	upstream.outlier.eject(now, timeout)
	b.log(now, "silent", "upstream %d owes every answer for %v: turns skipped, trials only", upstream.ID, silence)
	for _, a := range slices.Clone(upstream.inFlight) {
		b.restartElsewhere(a, now)
	}
}

// oldestAwaited is the attempt that has owed an answer for longest, or nil.
func (u *upstreamState) oldestAwaited() *attempt {
	var oldest *attempt
	for _, a := range u.inFlight {
		if !a.request.BodyStreaming && (oldest == nil || a.sentAt < oldest.sentAt) {
			oldest = a
		}
	}
	return oldest
}

// restartElsewhere hedges a request whose upstream is unresponsive, or cancels its attempt so that it starts again.
func (b *Balancer) restartElsewhere(a *attempt, now time.Duration) {
	req := a.request
	if req.class.Idempotency == NonIdempotent || req.done || req.inFlight > 1 {
		return
	}
	if other, _ := b.pickUpstream(req, now); other != nil {
		b.send(req, other, now)
		return
	}
	if !b.settings.Limits.Hedging && b.settings.Limits.Cancel {
		b.host.Cancel(req.ID, slices.Index(req.attempts, a))
	}
}
