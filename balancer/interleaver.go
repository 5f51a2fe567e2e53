// The order in which upstreams are picked: interleaved evenly in proportion to their shares.

package balancer

import "time"

// maxDebtRounds is how many rounds of missed turns an upstream may make up for.
const maxDebtRounds = 1.0

// interleaver schedules the upstreams by weighted fair queueing in virtual time: the upstream with the earliest next
// turn gets the request. Virtual time is counted in picks: an upstream with a tenth of the traffic has a turn every ten
// units. virtualTime never decreases.
type interleaver struct {
	virtualTime float64
}

// take gives an upstream the turn that was due at a virtual time, and returns the virtual time of its next turn. round
// is the time between two turns at its share.
func (i *interleaver) take(due, round float64) (next float64) {
	i.virtualTime = max(i.virtualTime, due)
	return max(due, i.virtualTime-maxDebtRounds*round) + round
}

// pickUpstream gives the turn to the upstream with the earliest next turn among those that may take the request now;
// nil if there is none. permitted reports whether the retry policy allows an attempt at some upstream, now or later.
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
		first := best == nil || upstream.nextTurn < best.nextTurn
		if hasRoom && first && b.isEligible(upstream, req, now) {
			best = upstream
		}
	}
	if best != nil {
		round := total / b.trafficShare(best, now)
		best.nextTurn = b.interleaver.take(best.nextTurn, round)
	}
	return best, permitted
}

// isEligible reports whether the limits and the state of an upstream allow it an attempt of a request now.
func (b *Balancer) isEligible(upstream *upstreamState, req *request, now time.Duration) bool {
	if upstream.MaxInFlight != 0 && len(upstream.inFlight) >= upstream.MaxInFlight {
		return false
	}
	if upstream.outlier.unresponsive {
		if !upstream.outlier.trialDue(req.class.Idempotency == b.safestIdempotency, now) {
			return false
		}
	} else if !upstream.limit.permits(upstream.working(), now) {
		return false
	}
	isWarm := upstream.slowStart.capacity(&b.settings.Rules, now) == 1
	return isWarm || b.hasWarmUpBudget(upstream, req, now)
}
