package balancer

import "time"

// upstreamState is what this balancer knows of one server: the entry of the endpoint list, and a part for each of its
// rules.
type upstreamState struct {
	Upstream
	inSubset          bool
	ringPosition      uint64    // on the ring of all upstreams
	ringEntry         ringEntry // as of the last choice of the subset
	dueTurn           float64   // its next turn in the interleaver's virtual time
	healthCheckedAt   time.Duration
	lastLoad          Load       // the last load report, to tell a repeated one
	unreportedAnswers int        // successful answers in a row without a load report
	inFlight          []*attempt // in order of sending

	share     share
	band      bollingerBand
	latency   latencyStats
	limit     concurrencyLimit
	outlier   outlierDetector
	slowStart slowStart
	workload  workload
}

// nextTurnAt is when the upstream may be tried again.
func (u *upstreamState) nextTurnAt() time.Duration {
	if u.outlier.unresponsive {
		return u.outlier.trialAt
	}
	return u.limit.nextSendAt
}
