// The decisions about upstreams that have just started: how much of one is there, and who may send when.

package balancer

import (
	"cmp"
	"math"
	"time"
)

// ramp is the share of its capacity that u is sure to have.
func (b *Balancer) ramp(u *upstream, now time.Duration) float64 {
	if u.cold && now-u.coldAt < b.s.Rules.SlowStartDuration {
		from := b.s.Rules.SlowStartFloor
		return from + (1-from)*max(0, float64(now-u.coldAt)/float64(b.s.Rules.SlowStartDuration))
	}
	u.cold = false
	return 1
}

// chill treats u as freshly started: nothing learnt before holds.
func (b *Balancer) chill(u *upstream, at time.Duration) {
	u.cold, u.coldAt, u.lat, u.latDev, u.units, u.slow = true, at, 0, 0, 0, 0
	u.readings, u.mean, u.dev, u.area, u.bound, u.least, u.calm, u.mute = 0, 0, 0, 0, b.start, 0, 0, 0
	u.failing, u.answers = 0, 0
	u.spentAt = max(u.spentAt, at) // what it was sent while warm is no debt of the new process
}

// coldRoom reports whether r fits this balancer's part of what a cold u may get over TipAfter, judged by what
// warm ones carry. No request counts less than the mean: many small ones once pushed a server over.
func (b *Balancer) coldRoom(u *upstream, r *request, now time.Duration) bool {
	carry := b.carry
	if carry == 0 { // no warm one to judge by: a server does one after the other; the margin counts twice
		carry = tipMargin * float64(bandPeriod) / b.lat * b.start / boundStart / u.weight
	}
	calls := tipMargin * b.s.Rules.OverloadMultiple * carry * u.weight * u.slice * cmp.Or(u.WarmUpShare, 1)
	calls *= b.s.Rules.OverloadWindow.Seconds() / bandPeriod.Seconds()
	part := calls * b.ramp(u, now)
	if b.carry == 0 && b.warm {
		return false
	} else if part < turnsUnder {
		return b.coldTurn(u, now, calls, part/2)
	}
	rate, room := part/b.s.Rules.OverloadWindow.Seconds(), part/2
	u.spent, u.spentAt = max(0, min(u.spent, room)-rate/2*(now-u.spentAt).Seconds()), now
	return u.spent <= max(0, room-max(1, r.units))
}

// coldTurn reports whether it is this balancer's turn at a cold u, to which it may send so many calls in
// TipAfter once u is warm. A part of few calls can't be rounded up: over many balancers that came to many
// times the budget. So each has one call in each of its own turns, which follow each other as its part adds
// up, and only in the open share at the begin of a turn, half of TipAfter. The turns of all who use u are
// spread evenly, and go by the time since its start: a process that was started anew has the same, and leaves
// out its first.
func (b *Balancer) coldTurn(u *upstream, now time.Duration, calls, open float64) bool {
	turns := func(at time.Duration) float64 { // that have gone by, the present one in part
		ramp, from := b.s.Rules.SlowStartDuration.Seconds(), b.s.Rules.SlowStartFloor
		age := max(0, (at - u.coldAt).Seconds())
		return calls*age*(from+(1-from)*age/ramp/2)/b.s.Rules.OverloadWindow.Seconds() + b.phase(u)
	}
	turn, in := math.Modf(turns(now))
	last := max(u.sentAt, b.bornAt)
	return in < open && (last <= u.coldAt || math.Floor(turns(last)) < turn)
}

// phase is when this balancer's turns begin at a cold u, as a part of a turn. Those who use it stand side by
// side on the ring, so steps of the golden ratio spread them.
func (b *Balancer) phase(u *upstream) float64 {
	place := math.Round(lattice(b.s.Rank, b.s.Balancers) * float64(b.s.Balancers))
	_, part := math.Modf(place*(math.Phi-1) + float64(u.place)/(1<<64))
	return part
}
