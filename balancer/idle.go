// Idle ticks. With Settings.SuspendWhenIdle a Balancer with nothing open sets no timer: what the ticks left out would
// have done it makes up for at its next event, to the bit.

package balancer

import (
	"cmp"
	"time"
)

const (
	maxIdlePeriods = 512    // so many periods are closed at once: work over minIdleWork is far from the least float then
	minIdleWork    = 1e-200 // in mean requests
)

// idleState says whether ticks are left out. While suspended, nothing is open and no tick is set.
type idleState struct {
	suspended  bool
	nextTickAt time.Duration // the next tick that is left out
}

// firstTickFrom is the first of the ticks left out that would come at a time or later.
func (s *idleState) firstTickFrom(at, interval time.Duration) time.Duration {
	ticks := (max(0, at-s.nextTickAt) + interval - 1) / interval
	return s.nextTickAt + ticks*interval
}

// lastTickUntil is the last of them that would have come by now.
func (s *idleState) lastTickUntil(now, interval time.Duration) time.Duration {
	return s.nextTickAt + (now-s.nextTickAt)/interval*interval
}

// isIdle reports whether a tick can do no more than close a period.
func (b *Balancer) isIdle() bool {
	checksHealth := b.settings.Reports == ReportHealthChecks && b.settings.Limits.HealthChecks
	isOpen := len(b.requests) > 0 || len(b.queue.waiting) > 0 || b.inFlight != 0
	return b.settings.SuspendWhenIdle && !isOpen && !checksHealth
}

// scheduleTick sets the timer for the next tick, or leaves that out and suspends the ticks.
func (b *Balancer) scheduleTick(now time.Duration) {
	if b.isIdle() {
		b.idle = idleState{suspended: true, nextTickAt: now + b.tickInterval}
		return
	}
	b.host.SetTimer(b.tickInterval, tickToken)
}

// resumeTicks sets a timer again if there is something for a tick to do: the next one comes when it would have come.
func (b *Balancer) resumeTicks(now time.Duration) {
	if b.idle.suspended && !b.isIdle() {
		b.idle.suspended = false
		b.host.SetTimer(b.idle.nextTickAt-now, tickToken)
	}
}

// catchUp makes up for the ticks that were left out until now. With nothing open they only closed periods.
func (b *Balancer) catchUp(now time.Duration) {
	if !b.idle.suspended || now < b.idle.nextTickAt {
		return
	}
	last := b.idle.lastTickUntil(now, b.tickInterval)
	period := (bandPeriod + b.tickInterval - 1) / b.tickInterval * b.tickInterval // in whole ticks
	endAt := b.idle.firstTickFrom(b.periodStartedAt+bandPeriod, b.tickInterval)
	for endAt <= last {
		b.endPeriod(endAt)
		if b.subset.unchanged {
			b.endIdlePeriodsUntil(last, period)
		}
		endAt = b.periodStartedAt + period
	}
	b.idle.nextTickAt = last + b.tickInterval
}

// endIdlePeriodsUntil closes the periods that end by a time, up to the first that changes the subset.
func (b *Balancer) endIdlePeriodsUntil(last, period time.Duration) {
	for b.periodStartedAt+period <= last {
		count := int((last - b.periodStartedAt) / period)
		if !b.endIdlePeriods(count, period) {
			return
		}
	}
}

// endIdlePeriods closes up to so many periods at once, each as endPeriod does after one that moved no share and no
// upstream: work and the rate of requests fade, cuts go on by the same areas, all else stays. It ends before a period
// in which the width of the subset changes; false: that is the first.
func (b *Balancer) endIdlePeriods(count int, period time.Duration) bool {
	count = b.fadeArrivals(min(count, maxIdlePeriods))
	if count == 0 {
		return false
	}
	work := b.integrateIdle(b.periodStartedAt + period)
	end := b.periodStartedAt + time.Duration(count)*period
	b.endIdleShares(count, end)
	work.fade(count, &b.fleet)
	b.periodStartedAt = end
	b.skipDraws(count * b.subset.size)
	return true
}

// fadeArrivals lets the rate of requests fade for up to so many periods without any, and returns for how many the width
// of the subset stays.
func (b *Balancer) fadeArrivals(periods int) (faded int) {
	for faded < periods {
		before := b.arrivals.perSecond
		updateMean(&b.arrivals.perSecond, 0, arrivalRateWeight)
		if !b.keepsWidth(before) {
			b.arrivals.perSecond = before
			return faded
		}
		faded++
	}
	return faded
}

// keepsWidth reports whether the subset keeps its width now that the rate has fallen from what it was before.
func (b *Balancer) keepsWidth(before float64) bool {
	const leastRate = minSubsetSize * minSubsetSize / evennessFactor
	if before <= cmp.Or(b.quota.evenRate, leastRate) { // less of it changes no width
		return true
	}
	inputs := &b.subset.inputs
	width := b.updateWidth(float64(inputs.active)) // it sets the growth of limits
	return width == inputs.width && b.limits.growth == inputs.limitGrowth
}

// integrateIdle closes the band areas of the first idle period, and returns the work that fades from then on.
func (b *Balancer) integrateIdle(now time.Duration) (work idleWork) {
	for _, upstream := range b.subset.upstreams {
		upstream.band.integrate(b.fleet.utilisation, now)
		warm := upstream.countsAsWarm()
		if upstream.workload.mean > 0 {
			work.add(upstream, warm)
		}
		if warm {
			work.weight += upstream.share.inSubset()
		}
	}
	return work
}

// endIdleShares cuts or restores shares for so many periods with the same areas.
func (b *Balancer) endIdleShares(count int, end time.Duration) {
	threshold := b.areaThreshold()
	for _, upstream := range b.subset.upstreams {
		for range count {
			before := upstream.share.factor
			upstream.share.endPeriod(&upstream.band, threshold)
			if upstream.share.factor == before {
				break
			}
		}
		upstream.band.area = 0
		upstream.band.integratedAt = end
	}
}

// idleWork is the work of the upstreams that fades while nothing is sent.
type idleWork struct {
	entries []idleWorkload
	weight  float64 // of the upstreams that count as warm
	tiny    bool    // some of it nears the least float
}

// idleWorkload is that of one upstream.
type idleWorkload struct {
	upstream     *upstreamState
	mean         float64
	usedCapacity float64
	warm         bool // it counts for what warm upstreams carry
}

func (w *idleWork) add(upstream *upstreamState, warm bool) {
	mean := upstream.workload.mean
	w.entries = append(w.entries, idleWorkload{upstream, mean, upstream.usedCapacity(), warm})
	w.tiny = w.tiny || mean < minIdleWork
}

// fade lets the work fade for so many periods. What warm upstreams carry is only summed up in the last period, or in
// each while it may come to 0: otherwise nobody asks for it.
func (w *idleWork) fade(periods int, fleet *fleetStats) {
	for i := range periods {
		moved := w.fadeOnce()
		if i == periods-1 || !moved || w.tiny {
			fleet.updateWorkPerWeight(w.carriedByWarm(), w.weight)
		}
		if !moved {
			break
		}
	}
	for _, entry := range w.entries {
		entry.upstream.workload.mean = entry.mean
	}
}

// fadeOnce lets the work fade for a period, and reports whether any of it still moves.
func (w *idleWork) fadeOnce() (moved bool) {
	for i := range w.entries {
		entry := &w.entries[i]
		next := meanWork(entry.mean, 0)
		moved = moved || next != entry.mean
		entry.mean = next
	}
	return moved
}

// carriedByWarm is the work that warm upstreams carry, at full use.
func (w *idleWork) carriedByWarm() (work float64) {
	for _, entry := range w.entries {
		if entry.warm {
			work += entry.mean / entry.usedCapacity
		}
	}
	return work
}

// Suspended reports whether no timer is set: nothing is open.
func (b *Balancer) Suspended() bool { return b.idle.suspended }

// NextDue tells until when b has something that no one made in its place would know: what is open, the wait of a
// warming or failing upstream, the time in which a keyed request must not be repeated elsewhere, a tenant's use
// of its quota. Not after now: nothing.
func (b *Balancer) NextDue(now time.Duration) (until time.Duration) {
	b.catchUp(now)
	if !b.idle.suspended {
		return now + b.tickInterval
	}
	for _, c := range b.classes {
		if c.lastRanAt > 0 {
			until = max(until, c.lastRanAt+c.DeduplicationWindow)
		}
	}
	for _, upstream := range b.upstreams {
		if upstream.State == Active {
			until = max(until, upstream.limit.nextSendAt, upstream.StartedAt+b.settings.Rules.SlowStartDuration)
		}
	}
	if b.quota.hasLevels(now) {
		until = b.quota.dryAt(max(until, now+b.tickInterval))
	}
	return until
}
