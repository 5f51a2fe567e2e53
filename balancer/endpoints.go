// The endpoint list, and the subset of it that this balancer uses.

package balancer

import (
	"cmp"
	"math"
	"time"
)

// EndpointsUpdated takes what discovery says of the upstreams.
func (b *Balancer) EndpointsUpdated(now time.Duration, mode ListMode, list []Upstream) {
	b.catchUp(now)
	if mode == ListFailed { // ask again, later each time and never all instances at once
		interval := b.s.Rules.PollInterval
		b.watchWait = min(max(b.watchWait*waitGrowth, interval/32), interval/2, watchWaitMost)
		wait := b.watchWait/2 + time.Duration(b.rng.Int64N(int64(b.watchWait)+1))
		b.host.SetTimer(wait, watchToken)
		b.log(now, "discovery", "discovery call failed: asking again in %v", wait)
		return
	}
	b.watchWait = 0
	if len(b.ups) == 0 {
		b.makeRoom(len(list))
	} else if mode != ListDelta {
		named := make(map[UpstreamID]bool, len(list))
		for _, e := range list {
			named[e.ID] = true
		}
		for _, u := range b.ups {
			if !named[u.ID] {
				u.State = Removed
			}
		}
	}
	for _, e := range list {
		b.member(e.clean(), now)
	}
	b.gather(now)
	b.dispatch(now)
}

// MaxInFlightChanged sets anew how many attempts may be out at an upstream at once; 0: any number.
func (b *Balancer) MaxInFlightChanged(now time.Duration, id UpstreamID, most int) {
	b.catchUp(now)
	if u := b.byID[id]; u != nil && u.MaxInFlight != most {
		u.MaxInFlight = most
		b.dispatch(now)
	}
}

// member applies one list entry.
func (b *Balancer) member(e Upstream, now time.Duration) {
	u := b.byID[e.ID]
	if u == nil && e.State == Removed {
		return
	} else if u == nil {
		u = b.newUpstream()
		*u = upstream{
			weight: e.Weight, factor: 1, most: boundStart, wait: b.tick, spentAt: now, answeredAt: now,
			cutAt: now, freeAt: now, place: mixed(uint64(e.ID)),
		}
		b.byID[e.ID], b.ups = u, append(b.ups, u)
	}
	if e.StartedAt > u.StartedAt { // new, or restarted under the same id
		u.silent, u.freeAt = false, now
		if now-e.StartedAt < b.s.Rules.SlowStartDuration {
			b.chill(u, e.StartedAt)
		}
	}
	u.Upstream = e
	if b.s.Weights == WeightLive { // late and the same for all: only its slow mean is safe to follow
		e.Weight = u.weight + smoothing*(e.Weight-u.weight)
	}
	u.weight = max(e.Weight, math.SmallestNonzeroFloat32)
}

// width is how many of n upstreams this balancer uses: few, or connections run out and no balancer sees
// enough of any; more where it has the requests. Over k counts vary by chance as rate/k, and by places of
// turns as k/6: the sum is least at √(6 rate), hardly more with fewer connections.
func (b *Balancer) width(n float64) float64 {
	of := func(sharers float64) float64 { return n * sharers / max(sharers, float64(b.s.Balancers)-sharers) }
	few := min(n, max(subsetLeast, of(sharers)))
	want := min(n, max(few, min(of(sharersMost), math.Sqrt(evenTurns*cmp.Or(b.fair, b.rate)))))
	b.pace = few / max(want, 1) // more that share an upstream cut it by less each: they grow by less too
	// One with several times the traffic of the others filled its few while theirs stood idle: it uses as many
	// times more, with as many turns at first over all of them.
	over := max(1, b.rate/cmp.Or(b.fair, math.Inf(1)))
	if over > max(1, b.wide)*rateNoise || over < b.wide/rateNoise {
		b.wide = over
	}
	return max(1, min(n, want*max(1, b.wide)))
}

// gather chooses the upstreams that this balancer uses. All see the same ring of them, and each one uses a
// stretch from a place of its own, its ends in part: what all use adds up to the same everywhere. Cold and
// silent ones stay in the stretch, which goes on until as many are warm as few sharers have.
func (b *Balancer) gather(now time.Duration) {
	if b.gathered = b.unmoved(); b.gathered { // it would come to the same
		b.skip(b.chosen)
		return
	}
	ring := b.active
	n, total := float64(len(ring)), 0.0
	for _, u := range ring {
		total += b.arc(u)
	}
	want := b.width(n)
	b.went = ringed{len(ring), want, b.pace, b.s.Rank, b.s.Balancers}
	b.start = boundStart * max(n, 1) / want / float64(b.s.Balancers)
	first, at := 0, lattice(b.s.Rank, b.s.Balancers)*total
	for ; first < len(ring)-1 && at >= b.arc(ring[first]); first++ {
		at -= b.arc(ring[first])
	}
	left, least := want*total/max(n, 1), sliceLeast*total/max(n, 1)
	few, good := left*(1-b.pace), left*b.pace // the stretch of few sharers ends there; so much is wanted warm
	chosen, end := make(map[*upstream]float64, int(want)+1), -left
	b.warm = false
	for i := 0; i < len(ring) && left > end && (max(left, good) > least/2 || i < subsetLeast); i++ {
		u := ring[(first+i)%len(ring)]
		part := max(0, min(b.arc(u)-at, max(left, good)))
		at, left = 0, left-part
		if u.cold && left+part <= few { // few learn a cold one, with more of their traffic each, or all crowd it
			continue
		} else if !u.cold && !u.silent {
			good -= part
			b.warm = true
		}
		if u.slice = min(1, max(part, least)/b.arc(u)); want == n {
			u.slice = 1
		}
		if u.cold {
			u.slice /= b.pace
		}
		chosen[u] = (float64(i) + b.rng.Float64()) / want
	}
	b.near, b.chosen = b.near[:0], len(chosen)
	for _, u := range b.ups {
		first, chosen := chosen[u]
		if chosen && !u.member { // first turns go round the stretch, so those of all balancers round the ring
			u.bound, u.readAt, u.due = cmp.Or(u.bound, b.start), now, b.turn+first*want
			late := min(1, math.Floor(first*want)/want) // or all crowd it
			u.freeAt = max(u.freeAt, now+time.Duration(late*float64(b.pause(u))))
			u.spent, u.spentAt = first, now
			u.probedAt = now - time.Duration(first*float64(bandPeriod))
		}
		if u.member = chosen; u.member || len(u.outs) > 0 {
			b.near = append(b.near, u)
		}
	}
}

// arc is the length of u's place on the ring: its size, as listed. Sizes that are told anew all the time are
// none, or the places of all others would move with them.
func (b *Balancer) arc(u *upstream) float64 {
	if b.s.Weights == WeightLive {
		return 1
	}
	return u.weight
}

// HealthCheckFinished takes a health check's result: a reading only, since a shallow one proves no more than a
// process.
func (b *Balancer) HealthCheckFinished(now time.Duration, p HealthCheckResult) {
	b.catchUp(now)
	if u := b.byID[p.Upstream]; u != nil && p.Status == OK {
		b.read(u, p.Load.clean(), false, 0, now)
	}
}
