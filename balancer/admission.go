// Requests that wait for a turn: their order, and when they are rejected.

package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// order is that of what is held. While turns suffice the one due first goes first: any other order makes
// somebody wait for nothing, up to his aim. Once they are short, some are lost whatever the order: most worth
// first, then the newest, whose answers come soonest.
func (b *Balancer) order(x, y *request) int {
	if !b.short {
		return cmp.Compare(x.sendBy, y.sendBy)
	}
	return cmp.Or(cmp.Compare(y.worth, x.worth), cmp.Compare(y.heldAt, x.heldAt))
}

// arrange puts what is held into order again: turns are short from the first request that is lost by waiting,
// and suffice again once all that is held starts before the first is due. To foresee the loss by the time
// between turns was worse in bursts; so was to wait until much is lost.
func (b *Balancer) arrange(now time.Duration, lost bool) {
	gap, soonest := max(b.gap, float64(now-b.turnAt)), math.Inf(1)
	lost = lost && max(b.spell, float64(now-b.tightAt)) < gap
	short := b.short || lost
	if short && !lost {
		for _, r := range b.held {
			soonest = min(soonest, float64(r.sendBy-now))
		}
		short = gap*float64(len(b.held)) > soonest
	}
	if short != b.short {
		b.short = short
		slices.SortStableFunc(b.held, b.order)
	}
}

// dispatch sends held requests while turns come free, and ends those that could not be answered in time. A
// first try that fits nowhere shows that no later one fits.
func (b *Balancer) dispatch(now time.Duration) {
	kept, blocked, lost := b.held[:0], false, false
	for _, r := range b.held {
		if !r.done && now >= r.sendBy {
			lost = true
			b.log(now, "shed", "%d held, no turn free within the aim: refusing", len(b.held))
			b.giveUp(r, now)
		} else if !r.done && !blocked {
			if u, _ := b.pick(r, now); u != nil {
				follow(&b.gap, float64(now-b.turnAt), turnWeight)
				b.turnAt = now
				b.send(r, u, now)
				continue
			}
			blocked = len(r.attempts) == 0
		}
		if !r.done {
			kept = append(kept, r)
		}
	}
	clear(b.held[len(kept):])
	b.held = kept
	b.arrange(now, lost)
}
