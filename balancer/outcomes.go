// The effect of an attempt's outcome on the state of its upstream.

package balancer

import "time"

// recordOutcome updates the state of an upstream after an attempt.
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
		b.cutLimit(upstream, now, limitCutFactor*limitCutFactor)
	case ConnectFailed, Reset:
		upstream.limit.nextSendAt = upstream.outlier.connectFailed(now, b.settings.Rules.SlowStartDuration)
	}
	upstream.limit.attemptEnded(ended.sentAt, b.sendInterval(upstream), now)
	b.recordReport(ended, result, now)
}

// recordSuccess updates latencies and the concurrency limit after a successful answer. latency is in ns.
func (b *Balancer) recordSuccess(a *attempt, latency float64, now time.Duration) {
	upstream, requestClass := a.upstream, a.request.class
	weight := max(sampleWeight, 1-upstream.limit.allowed) // under a limit of 1 answers are rare: each weighs more
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

// recordAnswer counts an answer, with or without an error. An upstream whose error rate is far over the fleet's is
// ejected: it gets trial requests only, like one that does not respond. Its share is cut as well. Otherwise an upstream
// that fails fast would always have a free slot: two failing upstreams of fifteen drew an eighth of all requests.
func (b *Balancer) recordAnswer(upstream *upstreamState, failed bool, now time.Duration) {
	upstream.outlier.recordAnswer(failed)
	if failed && upstream.outlier.errorRate > outlierExcess { // the whole fleet may have begun to fail
		b.fleet.errorRate = b.fleetErrorRate()
	}
	if !failed || upstream.outlier.excessErrorRate(b.fleet.errorRate) <= outlierExcess {
		upstream.outlier.responded(now, b.tickInterval)
		return
	}
	if !upstream.outlier.unresponsive {
		upstream.outlier.eject(now, bandWindow*b.tickInterval)
		b.log(now, "outlier", "upstream %d answers with errors, more than others do: trials only", upstream.ID)
	}
	upstream.outlier.backoff = min(upstream.outlier.backoff, b.settings.Rules.SlowStartDuration)
}

// String returns the name of a status in logs.
func (s Status) String() string {
	names := [...]string{
		OK: "ok", Error: "error", Rejected: "rejected", Timeout: "timeout", ConnectFailed: "connect failed",
		Reset: "reset", Cancelled: "cancelled", NotSent: "not sent",
	}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}
