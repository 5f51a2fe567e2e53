// Upstreams that answer with errors, or not at all.

package balancer

import "time"

const (
	timeoutDeviations = 5.0      // deviations over its usual latency before an upstream is unresponsive
	errorSampleWeight = 0.125    // weight of an answer in the share of errors among them
	outlierExcess     = 0.5      // more errors than the fleet by this share of answers: trials only
	errorTolerance    = 0.25     // under it an excess of errors is chance and costs no share
	minErrorFactor    = 0.015625 // errors never cut a share below this part of it
	backoffGrowth     = 2        // trials, failed connections and discovery calls are spaced by this growth
)

// outlierDetector follows an upstream's errors and its silence. An unresponsive one gets trial requests only, each
// after a longer wait than the one before. errorRate lies in [0, 1].
type outlierDetector struct {
	unresponsive bool
	trialAt      time.Duration // the next trial request
	backoff      time.Duration // growing wait between trials or failed connections
	answeredAt   time.Duration
	answers      int     // with and without an error
	errorRate    float64 // share of errors among the answers, the newest first
}

// recordAnswer counts an answer.
func (o *outlierDetector) recordAnswer(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	o.errorRate += errorSampleWeight * (sample - o.errorRate)
	o.answers++
}

// excessErrors is the share of errors over what a good part of the fleet has: errors that all make are of the
// requests, not of a server.
func (o *outlierDetector) excessErrors(fleetErrorRate float64) float64 {
	return max(0, o.errorRate-fleetErrorRate)
}

// shareFactor is the part of its share that an upstream keeps for its errors.
func (o *outlierDetector) shareFactor(fleetErrorRate float64) float64 {
	good := 1 - max(0, o.excessErrors(fleetErrorRate)-errorTolerance)/(1-errorTolerance)
	return max(minErrorFactor, good*good*good*good)
}

// responded notes a sign of life.
func (o *outlierDetector) responded(now, initialBackoff time.Duration) {
	o.unresponsive = false
	o.answeredAt = now
	o.backoff = initialBackoff
}

// eject leaves an upstream trial requests only, the first after a wait.
func (o *outlierDetector) eject(now, wait time.Duration) {
	o.unresponsive = true
	o.backoff = wait
	o.trialAt = now + wait
}

// trialDue reports whether a request may be sent as a trial: those of the safest classes go first.
func (o *outlierDetector) trialDue(safest bool, now time.Duration) bool {
	return now >= o.trialAt && (safest || now >= o.trialAt+o.backoff)
}

// trialSent puts the next trial off.
func (o *outlierDetector) trialSent(now time.Duration) {
	o.trialAt = now + o.backoff
	o.backoff *= backoffGrowth
}

// connectFailed returns when the upstream may be tried again: it is down, or its connection table is full.
func (o *outlierDetector) connectFailed(now, maxBackoff time.Duration) (retryAt time.Duration) {
	retryAt = now + o.backoff
	o.backoff = min(o.backoff*backoffGrowth, maxBackoff)
	return retryAt
}

// restart forgets the errors of an earlier process of the upstream.
func (o *outlierDetector) restart() {
	o.answers = 0
	o.errorRate = 0
}
