package balancer

import "time"

// upstreamState is what this balancer knows of one server: the entry of the endpoint list, and a part for each of its
// rules.
type upstreamState struct {
	Upstream

	// What each pick and each choice of the subset reads stands together for the sake of the cache: from here to the
	// begin of slowStart.
	ringEntry ringEntry // as of the last choice of the subset
	outlier   outlierDetector
	share     share
	dueAt     float64 // its next turn in the virtual time of the interleaver
	inSubset  bool
	slowStart slowStart
	limit     concurrencyLimit
	inFlight  []*attempt // in order of sending

	band              bollingerBand
	lastLoad          Load // the last load report, to tell a repeated one
	unreportedAnswers int  // successful answers in a row without a load report
	latency           latencyStats
	workload          workload
	ringPosition      uint64 // on the ring of all upstreams
	healthCheckedAt   time.Duration
}

// isHealthy reports whether the upstream neither warms up nor is unresponsive.
func (u *upstreamState) isHealthy() bool { return !u.slowStart.warming && !u.outlier.unresponsive }

// nextAttemptAt is when the upstream may be tried again.
func (u *upstreamState) nextAttemptAt() time.Duration {
	if u.outlier.unresponsive {
		return u.outlier.trialAt
	}
	return u.limit.nextSendAt
}
