// The pick: an even interleave by shares.

package balancer

import "time"

// pick gives the turn to the upstream due first, an even interleave by shares; legal: any may ever take r.
func (b *Balancer) pick(r *request, now time.Duration) (best *upstream, legal bool) {
	var total float64
	room := b.s.Limits.MaxInFlight == 0 || b.out < b.s.Limits.MaxInFlight
	for _, u := range b.near {
		if !u.member {
			continue
		}
		total += b.share(u, now)
		may := b.maySend(r, u, now)
		legal = legal || may
		if may && room && (best == nil || u.due < best.due) && b.eligible(u, r, now) {
			best = u
		}
	}
	if best != nil {
		b.turn = max(b.turn, best.due)
		length := total / b.share(best, now)
		best.due = max(best.due, b.turn-debtRounds*length) + length
	}
	return best, legal
}
