// Detection of upstreams that answer with errors, or not at all.

package balancer

import "time"

const (
	timeoutDeviations = 5.0      // deviations over the mean latency after which an upstream is unresponsive
	errorSampleWeight = 0.125    // weight of an answer in the error rate
	outlierExcess     = 0.5      // error rate in excess of the fleet's over which an upstream is ejected
	errorTolerance    = 0.25     // error rate in excess of the fleet's that is chance and cuts no share
	minErrorFactor    = 0.015625 // least part of its share that an upstream keeps despite errors
	backoffGrowth     = 2        // growth of the wait between trials, connection attempts or discovery calls
)

// outlierDetector tracks an upstream's errors and the time since its last answer. An ejected upstream gets trial
// requests only, each after a longer wait than the one before.
type outlierDetector struct {
	unresponsive   bool          // ejected, for silence or for errors
	trialAt        time.Duration // earliest time of the next trial request
	backoff        time.Duration // wait after a trial or a failed connection; grows with each
	lastResponseAt time.Duration
	answers        int     // with and without errors
	errorRate      float64 // weighted share of errors among the answers, 0 to 1
}

// recordAnswer counts an answer, failed if it is an error.
func (o *outlierDetector) recordAnswer(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	o.errorRate += errorSampleWeight * (sample - o.errorRate)
	o.answers++
}

// excessErrorRate returns the error rate in excess of the fleet's. Errors that the whole fleet makes are caused by the
// requests, not by a server.
func (o *outlierDetector) excessErrorRate(fleetErrorRate float64) float64 {
	return max(0, o.errorRate-fleetErrorRate)
}

// shareFactor returns the part of its share that the upstream keeps at its error rate.
func (o *outlierDetector) shareFactor(fleetErrorRate float64) float64 {
	good := 1 - max(0, o.excessErrorRate(fleetErrorRate)-errorTolerance)/(1-errorTolerance)
	return max(minErrorFactor, good*good*good*good)
}

// responded ends the ejection after an answer.
func (o *outlierDetector) responded(now, initialBackoff time.Duration) {
	o.unresponsive = false
	o.lastResponseAt = now
	o.backoff = initialBackoff
}

// eject restricts the upstream to trial requests, the first after a wait.
func (o *outlierDetector) eject(now, wait time.Duration) {
	o.unresponsive = true
	o.backoff = wait
	o.trialAt = now + wait
}

// trialDue reports whether a request may be sent as a trial. A request of the safest idempotency may be sent first;
// others only after a further wait.
func (o *outlierDetector) trialDue(safest bool, now time.Duration) bool {
	return now >= o.trialAt && (safest || now >= o.trialAt+o.backoff)
}

// trialSent schedules the next trial.
func (o *outlierDetector) trialSent(now time.Duration) {
	o.trialAt = now + o.backoff
	o.backoff *= backoffGrowth
}

// connectFailed returns the time of the next attempt after a failed or broken connection: the upstream is down, or its
// connection table is full.
func (o *outlierDetector) connectFailed(now, maxBackoff time.Duration) (retryAt time.Duration) {
	retryAt = now + o.backoff
	o.backoff = min(o.backoff*backoffGrowth, maxBackoff)
	return retryAt
}

// restart discards the errors of the upstream's previous process.
func (o *outlierDetector) restart() {
	o.answers = 0
	o.errorRate = 0
}
