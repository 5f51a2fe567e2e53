package balancer

import "time"

// upstreamState is a balancer's state of one upstream: its entry in the endpoint list, and a field for each rule.
type upstreamState struct {
	Upstream

	// The fields from here to the start of slowStart are read for each pick and each choice of the subset. They are
	// next to each other for cache locality.
	ringEntry ringEntry // as of the last choice of the subset
	outlier   outlierDetector
	share     share
	nextTurn  float64 // virtual time of its next turn, see interleaver
	inSubset  bool
	slowStart slowStart
	limit     concurrencyLimit
	inFlight  []*attempt // in order of sending
	uploads   int        // of these, the ones whose body has not been sent to its end

	band              bollingerBand
	lastLoad          Load // the last load report, to recognise a repeated one
	unreportedAnswers int  // successful answers in a row without a load report
	latency           latencyStats
	workload          workload
	ringPosition      uint64 // position on the ring
	healthCheckedAt   time.Duration
}

// working returns how many attempts in flight the upstream may work on. It begins an attempt when the last byte has
// come, so one whose body its client is still sending takes no place of the concurrency limit.
func (u *upstreamState) working() int { return len(u.inFlight) - u.uploads }

// countUploads counts the attempts in flight whose body has not been sent to its end.
func (u *upstreamState) countUploads() {
	u.uploads = 0
	for _, a := range u.inFlight {
		if a.request.BodyStreaming {
			u.uploads++
		}
	}
}

// isHealthy reports whether the upstream is neither warming up nor unresponsive.
func (u *upstreamState) isHealthy() bool { return !u.slowStart.warming && !u.outlier.unresponsive }

// nextAttemptAt returns the earliest time of the next attempt at the upstream.
func (u *upstreamState) nextAttemptAt() time.Duration {
	if u.outlier.unresponsive {
		return u.outlier.trialAt
	}
	return u.limit.nextSendAt
}
