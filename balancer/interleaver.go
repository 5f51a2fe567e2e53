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

// pickUpstream gives the turn to the upstream due first among those that may take r now. legal: some upstream may ever
// take it.
func (b *Balancer) pickUpstream(r *request, now time.Duration) (best *upstream, legal bool) {
	var total float64
	hasRoom := b.settings.Limits.MaxInFlight == 0 || b.inFlight < b.settings.Limits.MaxInFlight
	for _, u := range b.subset.upstreams {
		if !u.inSubset {
			continue
		}
		total += b.trafficShare(u, now)
		if !b.retry.maySend(r, u, now) {
			continue
		}
		legal = true
		first := best == nil || u.dueTurn < best.dueTurn
		if hasRoom && first && b.isEligible(u, r, now) {
			best = u
		}
	}
	if best != nil {
		round := total / b.trafficShare(best, now)
		best.dueTurn = b.interleaver.take(best.dueTurn, round)
	}
	return best, legal
}

// isEligible reports whether u may take r at this turn.
func (b *Balancer) isEligible(u *upstream, r *request, now time.Duration) bool {
	if u.MaxInFlight != 0 && len(u.inFlight) >= u.MaxInFlight {
		return false
	}
	if u.outlier.unresponsive {
		if !u.outlier.trialDue(r.class.Idempotency == b.safestIdempotency, now) {
			return false
		}
	} else if !u.limit.permits(len(u.inFlight), now) {
		return false
	}
	isWarm := u.slowStart.capacity(&b.settings.Rules, now) == 1
	return isWarm || b.hasWarmUpBudget(u, r, now)
}
