// What the outcome of an attempt tells about its upstream.

package balancer

import (
	"slices"
	"time"
)

// minUnreported is how many answers in a row bring no load report before utilisation is estimated.
const minUnreported = 64

// recordOutcome draws from an outcome what it tells about its upstream.
func (b *Balancer) recordOutcome(a *attempt, o AttemptResult, now time.Duration) {
	u := a.upstream
	switch o.Status {
	case OK, Error:
		b.recordAnswer(u, o.Status == Error, now)
	case Rejected:
		u.outlier.responded(now, b.tickInterval)
	}
	switch o.Status {
	case OK:
		b.recordSuccess(a, float64(o.Latency), now)
	case Rejected, Timeout:
		b.cutLimit(u, now, limitCut*limitCut)
	case ConnectFailed, Reset:
		u.limit.nextSendAt = u.outlier.connectFailed(now, b.settings.Rules.SlowStartDuration)
	}
	u.limit.attemptEnded(a.sentAt, b.sendInterval(u), now)
	b.recordReport(a, o, now)
}

// recordSuccess takes the latency of a successful answer.
func (b *Balancer) recordSuccess(a *attempt, latency float64, now time.Duration) {
	u, class := a.upstream, a.request.class
	weight := max(sampleWeight, 1-u.limit.allowed) // the rarer its answers, the more each one tells
	perWork := u.latency.observe(latency, a.request.work, weight)
	updateMean(&b.latency, latency, sampleWeight)
	updateMean(&class.latency, latency, sampleWeight)
	b.adjustLimit(u, &answer{
		latency:   latency,
		objective: float64(class.LatencyObjective),
		perWork:   perWork,
		sparse:    weight > sparseWeight && u.band.readings > 0,
	}, now)
}

// recordAnswer counts an answer. An upstream that fails fast always has a turn free, and two of fifteen once drew an
// eighth of all requests: with many more errors than the fleet it gets trials only, as one that is silent, and its
// share is cut by what is lost there.
func (b *Balancer) recordAnswer(u *upstream, failed bool, now time.Duration) {
	u.outlier.recordAnswer(failed)
	if failed && u.outlier.errorRate > outlierExcess { // all may have begun to fail in this period
		b.fleet.errorRate = b.usualErrorRate()
	}
	if !failed || u.outlier.excessErrors(b.fleet.errorRate) <= outlierExcess {
		u.outlier.responded(now, b.tickInterval)
		return
	}
	if !u.outlier.unresponsive {
		u.outlier.eject(now, bandWindow*b.tickInterval)
		b.log(now, "sick", "upstream %d answers with errors, more than others do: trials only", u.ID)
	}
	u.outlier.backoff = min(u.outlier.backoff, b.settings.Rules.SlowStartDuration)
}

// recordReport takes the load report of an outcome, or an estimate where there are none.
func (b *Balancer) recordReport(a *attempt, o AttemptResult, now time.Duration) {
	u := a.upstream
	if b.settings.Reports != ReportHealthChecks {
		objectives := float64(o.Latency) / float64(a.request.class.LatencyObjective)
		b.recordLoad(u, o.Load, o.Status == OK, objectives, now)
	}
	if o.Load.Fields != 0 {
		u.unreportedAnswers = 0
	} else if o.Status == OK {
		u.unreportedAnswers++
	}
	if b.isEstimated(u) && now-u.band.integratedAt >= bandPeriod/bandWindow {
		b.addReading(u, u.latency.estimateUtilisation(&b.fleet), now)
	}
}

// isEstimated tells whether u answers and reports nothing. Reports may also be rare, or not read for a while.
func (b *Balancer) isEstimated(u *upstream) bool {
	return b.settings.Reports == ReportAnswers && u.unreportedAnswers >= minUnreported
}

// recordLoad takes a load report as a reading of utilisation. objectives is the latency as a part of the objective,
// the stand-in where sites have no reports.
func (b *Balancer) recordLoad(u *upstream, load Load, succeeded bool, objectives float64, now time.Duration) {
	utilisation := load.utilisation()
	if load.Fields&(HasUtil|HasInflight|HasQueue) == 0 && b.settings.Reports == ReportNone && succeeded {
		utilisation = min(1, objectives)
	}
	repeated := load.Fields != 0 && load == u.lastLoad
	empty := load.Fields == 0 && utilisation == 0
	if repeated || empty {
		return
	}
	u.lastLoad = load
	b.addReading(u, utilisation, now)
}

// utilisation is what a report says of it, by what is in flight or waits where it says no more.
func (l *Load) utilisation() float64 {
	if l.Fields&HasUtil == 0 && l.Fields&(HasInflight|HasQueue) != 0 {
		return 1 - 1/(1+l.Inflight+l.Queue)
	}
	return l.Util
}

// addReading takes a reading of utilisation into the band.
func (b *Balancer) addReading(u *upstream, utilisation float64, now time.Duration) {
	u.band.integrate(b.fleet.utilisation, now)
	u.band.add(utilisation)
	if max(utilisation, u.band.mean) < fullUtilisation/2 { // if all who share it sent twice as much, there would be room
		u.limit.raisePeriodMax()
	}
}

// HealthCheckFinished takes a health check's result: a reading only, since a shallow one proves no more than a
// process.
func (b *Balancer) HealthCheckFinished(now time.Duration, p HealthCheckResult) {
	b.catchUp(now)
	if u := b.byID[p.Upstream]; u != nil && p.Status == OK {
		b.recordLoad(u, p.Load.clean(), false, 0, now)
	}
}

// responseTimeout is how long u may owe every answer before it counts as unresponsive.
func (b *Balancer) responseTimeout(u *upstream, work float64) time.Duration {
	own := u.latency.mean + timeoutDeviations*u.latency.deviation
	fleet := (1 + timeoutDeviations/2) * b.latency // one lucky answer is no measure
	return time.Duration(max(own, fleet)*max(1, work)) + b.tickInterval
}

// checkResponsive looks whether attempts are in flight at u and nothing has come back for longer than its response
// timeout. Its turns are skipped, it gets one trial at a time, and what may run twice starts elsewhere.
func (b *Balancer) checkResponsive(u *upstream, now time.Duration) {
	oldest := u.oldestAwaited()
	if u.outlier.unresponsive || oldest == nil {
		return
	}
	silence := now - max(oldest.sentAt, u.outlier.answeredAt)
	timeout := b.responseTimeout(u, oldest.request.work)
	if silence <= timeout {
		return
	}
	u.outlier.eject(now, timeout)
	b.log(now, "silent", "upstream %d owes every answer for %v: turns skipped, trials only", u.ID, silence)
	for _, a := range slices.Clone(u.inFlight) {
		b.restartElsewhere(a, now)
	}
}

// oldestAwaited is the attempt at u that has owed an answer for longest, or nil.
func (u *upstream) oldestAwaited() *attempt {
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
	r := a.request
	if r.class.Idempotency == NonIdempotent || r.done || r.inFlight > 1 {
		return
	}
	if other, _ := b.pickUpstream(r, now); other != nil {
		b.send(r, other, now)
		return
	}
	if !b.settings.Limits.Hedging && b.settings.Limits.Cancel {
		b.host.Cancel(r.ID, slices.Index(r.attempts, a))
	}
}
