// The order of picks: an even interleave by shares.

package balancer

import "time"

// maxDebtRounds: turns missed beyond this many rounds are forgotten.
const maxDebtRounds = 1.0

// interleaver is weighted fair scheduling by virtual time, in turns of the whole fleet: the upstream whose turn is due
// first gets the request. virtualTime never goes back.
type interleaver struct {
	virtualTime float64
}

// take gives the turn to an upstream whose turn was due, and returns when its next one is: after the length of a round
// at its share.
func (i *interleaver) take(due, round float64) (next float64) {
	i.virtualTime = max(i.virtualTime, due)
	return max(due, i.virtualTime-maxDebtRounds*round) + round
}

// pickUpstream gives the turn to the upstream due first among those that may take a request now. permitted: some
// upstream may ever take it.
func (b *Balancer) pickUpstream(req *request, now time.Duration) (best *upstreamState, permitted bool) {
	var total float64
	hasRoom := b.settings.Limits.MaxInFlight == 0 || b.inFlight < b.settings.Limits.MaxInFlight
	for _, upstream := range b.subset.upstreams {
		if !upstream.inSubset {
			continue
		}
		total += b.trafficShare(upstream, now)
		if !b.retry.maySend(req, upstream, now) {
			continue
		}
		permitted = true
		first := best == nil || upstream.dueAt < best.dueAt
		if hasRoom && first && b.isEligible(upstream, req, now) {
			best = upstream
		}
	}
	if best != nil {
		round := total / b.trafficShare(best, now)
		best.dueAt = b.interleaver.take(best.dueAt, round)
	}
	return best, permitted
}

// isEligible reports whether an upstream may take a request at this turn.
func (b *Balancer) isEligible(upstream *upstreamState, req *request, now time.Duration) bool {
	if upstream.MaxInFlight != 0 && len(upstream.inFlight) >= upstream.MaxInFlight {
		return false
	}
	if upstream.outlier.unresponsive {
		if !upstream.outlier.trialDue(req.class.Idempotency == b.safestIdempotency, now) {
			return false
		}
	} else if !upstream.limit.permits(len(upstream.inFlight), now) {
		return false
	}
	isWarm := upstream.slowStart.capacity(&b.settings.Rules, now) == 1
	return isWarm || b.hasWarmUpBudget(upstream, req, now)
}
