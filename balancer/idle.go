// Suspension of ticks. With Settings.SuspendWhenIdle a Balancer with nothing open sets no timer. At its next event it
// computes the state that the omitted ticks would have left, bit for bit.

package balancer

import (
	"cmp"
	"time"
)

const (
	maxIdlePeriods    = 512    // periods closed at once; work over nearUnderflowWork does not underflow within them
	nearUnderflowWork = 1e-200 // work of an upstream below which it may underflow within maxIdlePeriods
)

// idleState says whether ticks are suspended. While they are, nothing is open and no tick timer is set.
type idleState struct {
	suspended  bool
	nextTickAt time.Duration // the first omitted tick that is not made up for yet
}

// firstTickFrom returns the time of the first omitted tick at or after a time.
func (s *idleState) firstTickFrom(at, interval time.Duration) time.Duration {
	ticks := (max(0, at-s.nextTickAt) + interval - 1) / interval
	return s.nextTickAt + ticks*interval
}

// lastTickUntil returns the time of the last omitted tick at or before now.
func (s *idleState) lastTickUntil(now, interval time.Duration) time.Duration {
	return s.nextTickAt + (now-s.nextTickAt)/interval*interval
}

// isIdle reports whether ticks may be suspended: all that a tick could do is to end a period.
func (b *Balancer) isIdle() bool {
	checksHealth := b.settings.Reports == ReportHealthChecks && b.settings.Limits.HealthChecks
	isOpen := len(b.requests) > 0 || len(b.queue.waiting) > 0 || b.inFlight != 0
	return b.settings.SuspendWhenIdle && !isOpen && !checksHealth
}

// scheduleTick sets the timer for the next tick, or suspends the ticks if the Balancer is idle.
func (b *Balancer) scheduleTick(now time.Duration) {
	if b.isIdle() {
		b.idle = idleState{suspended: true, nextTickAt: now + b.tickInterval}
		return
	}
	b.host.SetTimer(b.tickInterval, tickToken)
}

// resumeTicks ends the suspension if the Balancer is no longer idle. The next tick comes at the time at which it would
// have come without suspension.
func (b *Balancer) resumeTicks(now time.Duration) {
	if b.idle.suspended && !b.isIdle() {
		b.idle.suspended = false
		b.host.SetTimer(b.idle.nextTickAt-now, tickToken)
	}
}

// catchUp makes up for the ticks omitted until now. With nothing open they would only have ended periods.
func (b *Balancer) catchUp(now time.Duration) {
	if !b.idle.suspended || now < b.idle.nextTickAt {
		return
	}
	last := b.idle.lastTickUntil(now, b.tickInterval)
	period := (bandPeriod + b.tickInterval - 1) / b.tickInterval * b.tickInterval // rounded up to whole ticks
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

// endIdlePeriodsUntil ends the periods up to a time, but stops before the first one that changes the subset.
func (b *Balancer) endIdlePeriodsUntil(last, period time.Duration) {
	for b.periodStartedAt+period <= last {
		count := int((last - b.periodStartedAt) / period)
		if !b.endIdlePeriods(count, period) {
			return
		}
	}
}

// endIdlePeriods ends up to count periods at once, with the same result as endPeriod once per period. The previous
// period must have left the subset unchanged. Work and the arrival rate decay, and shares are cut or restored by the
// same areas; all else stays the same. It stops before a period that changes the width of the subset, and returns false
// if that is the first one.
func (b *Balancer) endIdlePeriods(count int, period time.Duration) bool {
	count = b.decayArrivals(min(count, maxIdlePeriods))
	if count == 0 {
		return false
	}
	work := b.integrateIdle(b.periodStartedAt + period)
	end := b.periodStartedAt + time.Duration(count)*period
	b.endIdleShares(count, end)
	work.decay(count, &b.fleet)
	b.periodStartedAt = end
	b.skipDraws(count * b.subset.size)
	return true
}

// decayArrivals decays the arrival rate over up to the given number of periods without requests. It stops before a
// period that would change the width of the subset, and returns the number of periods done.
func (b *Balancer) decayArrivals(periods int) (done int) {
	for done < periods {
		before := b.arrivals.perSecond
		updateMean(&b.arrivals.perSecond, 0, arrivalRateWeight)
		if !b.keepsWidth(before) {
			b.arrivals.perSecond = before
			return done
		}
		done++
	}
	return done
}

// keepsWidth reports whether the subset keeps its width after the arrival rate has fallen from its value before.
func (b *Balancer) keepsWidth(before float64) bool {
	const leastRate = minSubsetSize * minSubsetSize / evennessFactor
	if before <= cmp.Or(b.quota.fairRate, leastRate) { // the width does not depend on rates below this
		return true
	}
	inputs := &b.subset.inputs
	width := b.updateWidth(float64(inputs.active)) // also sets b.limits.growth
	return width == inputs.width && b.limits.growth == inputs.limitGrowth
}

// integrateIdle integrates the band areas over the first idle period, and returns the work that decays from then on.
func (b *Balancer) integrateIdle(now time.Duration) (work idleWork) {
	for _, upstream := range b.subset.upstreams {
		upstream.band.integrate(b.fleet.utilisation, now)
		warm := upstream.countsAsWarm()
		if upstream.workload.mean > 0 {
			work.add(upstream, warm)
		}
		if warm {
			work.weight += upstream.share.uncut()
		}
	}
	return work
}

// endIdleShares cuts or restores shares once for each of count periods, all with the same areas.
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

// idleWork is the mean work of the upstreams, which decays while nothing is sent.
type idleWork struct {
	entries       []idleWorkload
	weight        float64 // sum over the upstreams that count as warm
	nearUnderflow bool    // some entry is below nearUnderflowWork
}

// idleWorkload is the mean work of one upstream.
type idleWorkload struct {
	upstream     *upstreamState
	mean         float64
	usedCapacity float64
	warm         bool // see countsAsWarm
}

func (w *idleWork) add(upstream *upstreamState, warm bool) {
	mean := upstream.workload.mean
	w.entries = append(w.entries, idleWorkload{upstream, mean, upstream.usedCapacity(), warm})
	w.nearUnderflow = w.nearUnderflow || mean < nearUnderflowWork
}

// decay decays the work over a number of periods. The fleet's workPerWeight is only updated in the last one, since
// nothing reads it in between. Near underflow it is updated in each: work of 0 leaves it at its previous value.
func (w *idleWork) decay(periods int, fleet *fleetStats) {
	for i := range periods {
		changed := w.decayOnce()
		if i == periods-1 || !changed || w.nearUnderflow {
			fleet.updateWorkPerWeight(w.carriedByWarm(), w.weight)
		}
		if !changed {
			break
		}
	}
	for _, entry := range w.entries {
		entry.upstream.workload.mean = entry.mean
	}
}

// decayOnce decays the work over one period, and reports whether any of it has changed.
func (w *idleWork) decayOnce() (changed bool) {
	for i := range w.entries {
		entry := &w.entries[i]
		next := meanWork(entry.mean, 0)
		changed = changed || next != entry.mean
		entry.mean = next
	}
	return changed
}

// carriedByWarm returns the work that the warm upstreams would carry at full utilisation.
func (w *idleWork) carriedByWarm() (work float64) {
	for _, entry := range w.entries {
		if entry.warm {
			work += entry.mean / entry.usedCapacity
		}
	}
	return work
}

// Suspended reports whether the ticks are suspended, as nothing is open.
func (b *Balancer) Suspended() bool { return b.idle.suspended }

// KeepUntil returns the time until which b must be kept, because a new Balancer would lack state that it has: what is
// open, the wait of a warming or failing upstream, a deduplication window, or a tenant's use of its quota. If that time
// is not after now, b may be replaced by a new Balancer.
func (b *Balancer) KeepUntil(now time.Duration) (until time.Duration) {
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
	if b.quota.hasNonEmptyLevels(now) {
		until = b.quota.emptyAt(max(until, now+b.tickInterval))
	}
	return until
}
