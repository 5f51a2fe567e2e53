// What the outcome of an attempt tells about its upstream.

package balancer

import "time"

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
	upstream, requestClass := a.upstream, a.request.class
	weight := max(sampleWeight, 1-upstream.limit.allowed) // the rarer its answers, the more each one tells
	perWork := upstream.latency.observe(latency, a.request.work, weight)
	updateMean(&b.latency, latency, sampleWeight)
	updateMean(&requestClass.latency, latency, sampleWeight)
	b.adjustLimit(upstream, &answer{
		latency:   latency,
		objective: float64(requestClass.LatencyObjective),
		perWork:   perWork,
		sparse:    weight > sparseWeight && upstream.band.readings > 0,
	}, now)
}

// recordAnswer counts an answer. An upstream that fails fast always has a slot free, and two of fifteen once drew an
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
		b.log(now, "outlier", "upstream %d answers with errors, more than others do: trials only", upstream.ID)
	}
	upstream.outlier.backoff = min(upstream.outlier.backoff, b.settings.Rules.SlowStartDuration)
}
