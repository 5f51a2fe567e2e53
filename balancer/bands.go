// Utilisation readings, their bands, and the shares that follow from them.

package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// learn draws from an outcome what it tells about its upstream.
func (b *Balancer) learn(a *attempt, o AttemptResult, now time.Duration) {
	u, r := a.up, a.r
	if o.Status == OK || o.Status == Error {
		b.judge(u, o.Status == Error, now)
	} else if o.Status == Rejected {
		b.answered(u, now)
	}
	switch o.Status {
	case OK:
		w := max(smoothing, 1-u.bound)                           // the rarer its answers, the more each one tells
		follow(&u.latDev, math.Abs(float64(o.Latency)-u.lat), w) // at first as large as the mean
		follow(&u.lat, float64(o.Latency), w)
		follow(&u.units, max(r.units, 0.5), w) // small ones have a fixed part too
		follow(&b.lat, float64(o.Latency), smoothing)
		follow(&r.class.lat, float64(o.Latency), smoothing)
		per, aim := u.lat/u.units, float64(r.class.LatencyObjective)
		follow(&u.slow, per, smoothing)
		follow(&u.least, per, leastDrift)
		follow(&u.calm, u.slow, leastDrift)
		u.least, u.calm = min(u.least, per), min(u.calm, u.slow)
		// One met crowded knows no better of itself. Cuts go by the least of a slow mean, since single answers
		// once counted as crowding. Growth goes by the least, or by readings where one answer outweighs the mean.
		least, calm := min(u.least, cmp.Or(b.least, u.least)), min(u.calm, cmp.Or(b.calm, u.calm))
		thin := w > 0.5 && u.readings > 0
		if per > max(crowded*calm, crowdedShare*aim) && !(thin && u.mean < fullUse) {
			b.shrink(u, now, boundCut)
		} else if u.bound < b.start { // it has had its rest
			u.bound = b.start
		} else if idle := float64(o.Latency) < idleShare*aim; (thin || idle || per < easy*least) &&
			2*float64(len(u.outs)+1) > u.bound && // or it grew without end where a cap lay under it
			u.mean < fullUse && now-b.tightAt < max(time.Duration(b.lat), b.tick) {
			spare, most := aim/float64(o.Latency)-1, u.most
			if idle { // many short ones pass before a reading tells of full use: their latency tells first
				most = math.Inf(1)
			}
			if u.MaxInFlight > 0 {
				most = min(most, float64(u.MaxInFlight))
			}
			u.bound = max(u.bound, min(u.bound+b.pace*min(1, boundGrowth*spare*spare), most))
		}
	case Rejected, Timeout:
		b.shrink(u, now, boundCut*boundCut)
	case ConnectFailed, Reset: // down, or its connection table is full: ask less often
		u.freeAt = now + u.wait
		u.wait = min(u.wait*waitGrowth, b.s.Rules.SlowStartDuration)
	}
	p := b.pause(u) // one left idle has an attempt in hand: requests come by chance
	u.freeAt = max(u.freeAt, min(now, max(u.freeAt, a.sentAt-p)+now-a.sentAt)+p)
	if b.s.Reports != ReportHealthChecks {
		b.read(u, o.Load, o.Status == OK, float64(o.Latency)/float64(r.class.LatencyObjective), now)
	}
	if o.Load.Fields != 0 {
		u.mute = 0
	} else if o.Status == OK {
		u.mute++
	}
	if b.estimated(u) && now-u.readAt >= bandPeriod/bandWindow {
		b.note(u, b.estimate(u), now)
	}
}

// judge counts an answer. An upstream that fails fast always has a turn free, and two of fifteen once drew
// an eighth of all requests: with many more errors than the fleet it gets trials only, as one that is
// silent, and its share is cut by what is lost there.
func (b *Balancer) judge(u *upstream, failed bool, now time.Duration) {
	x := 0.0
	if failed {
		x = 1
	}
	u.failing, u.answers = u.failing+errorWeight*(x-u.failing), u.answers+1
	if failed && u.failing > sickOver { // all may have begun to fail since the last step
		b.failing = b.usual()
	}
	if !failed || b.excess(u) <= sickOver {
		b.answered(u, now)
		return
	}
	if !u.silent {
		u.silent, u.wait, u.trialAt = true, bandWindow*b.tick, now+bandWindow*b.tick
		b.log(now, "sick", "upstream %d answers with errors, more than others do: trials only", u.ID)
	}
	u.wait = min(u.wait, b.s.Rules.SlowStartDuration)
}

// excess is the share of errors among u's answers over what a good part of the fleet has: errors that all
// make are of the requests, not of a server.
func (b *Balancer) excess(u *upstream) float64 { return max(0, u.failing-b.failing) }

// health is the part of its share that u keeps for its errors.
func (b *Balancer) health(u *upstream) float64 {
	good := 1 - max(0, b.excess(u)-errorNoise)/(1-errorNoise)
	return max(sickFloor, good*good*good*good)
}

// usual is the share of errors among the answers of a good part of the fleet.
func (b *Balancer) usual() float64 {
	xs := make([]float64, 0, len(b.near)+1)
	for _, u := range b.near {
		if u.member && u.answers > 0 {
			xs = append(xs, u.failing)
		}
	}
	slices.Sort(xs)
	return append(xs, 0)[len(xs)/4]
}

// pause is the wait between attempts at u when its bound is under one.
func (b *Balancer) pause(u *upstream) time.Duration {
	return time.Duration(max(0, 1/u.bound-1) * cmp.Or(u.lat, b.lat))
}

// shrink lowers the bound, once for what was out together.
func (b *Balancer) shrink(u *upstream, now time.Duration, by float64) {
	if now-u.cutAt >= time.Duration(u.lat) {
		u.bound, u.cutAt = max(b.start*boundLeast/boundStart, min(u.bound, float64(len(u.outs)+1))*by), now
	}
}

// read takes a load report as a reading of utilisation. Stand-ins: what is held or waits, and at sites
// without reports the latency as a part of the aim.
func (b *Balancer) read(u *upstream, l Load, ok bool, late float64, now time.Duration) {
	x := l.Util
	switch {
	case l.Fields&HasUtil != 0:
	case l.Fields&(HasInflight|HasQueue) != 0:
		x = 1 - 1/(1+l.Inflight+l.Queue)
	case b.s.Reports == ReportNone && ok:
		x = min(1, late)
	}
	if (l.Fields != 0 && l == u.last) || (l.Fields == 0 && x == 0) { // not refreshed: no new reading
		return
	}
	u.last = l
	b.note(u, x, now)
}

// estimated tells whether u answers and reports nothing. Reports may also be rare, or not read for a while.
func (b *Balancer) estimated(u *upstream) bool {
	return b.s.Reports == ReportAnswers && u.mute >= muteLeast
}

// estimate is the utilisation of such an upstream, by its latency: where half of it is spent in a queue, half
// is used (so the mean has it in M/M/1). The floor is its own least, or that of a good part of the fleet.
func (b *Balancer) estimate(u *upstream) float64 {
	return max(0, 1-min(u.calm, cmp.Or(b.calm, u.calm))/u.slow)
}

// note takes a reading of utilisation into the band.
func (b *Balancer) note(u *upstream, x float64, now time.Duration) {
	b.integrate(u, now)
	u.window[u.readings%bandWindow] = x
	u.readings++
	u.mean, u.dev = bands(u.window[:min(u.readings, bandWindow)])
	if max(x, u.mean) < fullUse/2 { // if all who share it doubled what they send, there would be room
		u.most = max(u.most, 2*u.bound)
	}
}

// bands returns the moving average and the population standard deviation.
func bands(xs []float64) (mean, dev float64) {
	for _, x := range xs {
		mean += x / float64(len(xs))
	}
	for _, x := range xs {
		dev += (x - mean) * (x - mean) / float64(len(xs))
	}
	return mean, math.Sqrt(dev)
}

// integrate adds the band gap. A server pinned at full load reads flat, so its level over the fleet's counts.
func (b *Balancer) integrate(u *upstream, now time.Duration) {
	gap := 2 * bandAlpha * (u.dev + max(0, u.mean-max(levelFloor, b.ceiling)))
	u.area, u.readAt = u.area+gap*(now-u.readAt).Seconds()/bandPeriod.Seconds(), now
}

// rank is the value over one in n of the upstreams that have readings: the median for n = 2.
func (b *Balancer) rank(n int, of func(*upstream) float64) float64 {
	xs := make([]float64, 0, len(b.near)+1)
	for _, u := range b.near {
		if u.member && u.readings > 0 {
			xs = append(xs, of(u))
		}
	}
	slices.Sort(xs)
	return append(xs, 0)[len(xs)/n]
}

// step closes the period: saturated upstreams lose share by degrees, the others regain it. The threshold
// follows the fleet's median, so a rise on all servers cuts nobody.
func (b *Balancer) step(now time.Duration) {
	var work, size float64
	for _, u := range b.near {
		b.integrate(u, now)
		u.work, u.carried = carrying(u.work, u.carried), 0
		if u.carries() {
			work, size = work+u.work/u.use(), size+u.weight*u.slice
		}
	}
	b.carry = cmp.Or(work/max(size, math.SmallestNonzeroFloat32), b.carry) // with nobody to judge by, as before
	threshold := b.threshold()
	for _, u := range b.near {
		u.factor = u.cut(u.factor, threshold)
		u.area, u.most = 0, max(2*u.bound, boundStart) // or it grew tenfold before a reading told of full use
	}
	follow(&b.rate, b.asked/max(now-b.stepAt, bandPeriod).Seconds(), rateWeight)
	b.asked = 0
	b.stepAt, b.ceiling = now, b.rank(2, func(u *upstream) float64 { return u.mean })
	b.failing = b.usual()
	b.least = b.rank(4, func(u *upstream) float64 { return u.least })
	b.calm = b.rank(4, func(u *upstream) float64 { return u.calm })
	b.ups = slices.DeleteFunc(b.ups, func(u *upstream) bool { // forget what is gone and owes nothing
		gone := u.State == Removed && len(u.outs) == 0
		if gone {
			delete(b.byID, u.ID)
		}
		return gone
	})
	b.gather(now)
}

// share is u's part of the traffic, not scaled.
func (b *Balancer) share(u *upstream, now time.Duration) float64 {
	return u.weight * u.slice * u.factor * b.health(u) * b.ramp(u, now)
}
