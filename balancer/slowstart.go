// Slow start: the capacity of upstreams that have just started, and the budget of requests that they may get.

package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	warmUpBudgetPart    = 0.6 // part of a warming upstream's budget that is used; the rest is a safety margin
	minContinuousBudget = 2.0 // a balancer whose budget is under this many requests uses slots
)

// slowStart is the warm-up state of an upstream. sentWork is a leaky bucket that holds half of the budget and leaks the
// other half per Rules.OverloadWindow, so the work sent within any such window stays within the budget.
type slowStart struct {
	warming    bool
	startedAt  time.Duration // start of the upstream's process
	sentWork   float64       // in units of the mean request; a request counts as at least 1
	sentWorkAt time.Duration // when sentWork was last updated
	lastSentAt time.Duration // last attempt, warming or warm
}

// begin starts the warm-up of a process that started at a time.
func (s *slowStart) begin(at time.Duration) {
	s.warming = true
	s.startedAt = at
	s.sentWorkAt = max(s.sentWorkAt, at) // the bucket leaks from the start of the new process on
}

// capacity returns the part of its full capacity that the upstream has at least. It ends the warm-up after
// Rules.SlowStartDuration.
func (s *slowStart) capacity(rules *Rules, now time.Duration) float64 {
	if s.warming && now-s.startedAt < rules.SlowStartDuration {
		elapsed := float64(now-s.startedAt) / float64(rules.SlowStartDuration)
		return rules.SlowStartFloor + (1-rules.SlowStartFloor)*max(0, elapsed)
	}
	s.warming = false
	return 1
}

// recordSent adds the work of an attempt.
func (s *slowStart) recordSent(work float64, now time.Duration) {
	s.lastSentAt = now
	s.sentWork += max(1, work)
}

// fits reports whether a request fits a budget of requests per window, half of which may be sent at once. A request
// counts as at least the mean, since many small ones overloaded a server.
func (s *slowStart) fits(work, budget float64, window, now time.Duration) bool {
	rate, burst := budget/window.Seconds(), budget/2
	leaked := rate / 2 * (now - s.sentWorkAt).Seconds()
	s.sentWork = max(0, min(s.sentWork, burst)-leaked)
	s.sentWorkAt = now
	return s.sentWork <= max(0, burst-max(1, work))
}

// warmUpSlots are the slots in which one balancer may send to a warming upstream if its budget there is small. Rounding
// a small budget up to whole requests would add up, over many balancers, to many times the upstream's budget. Instead a
// balancer may send one request per slot, in the open part at the slot's start. A slot is as long as the budget takes
// to add up to one request. Each balancer's slots have their own phase, which spreads the requests of all balancers
// evenly. Slots depend only on the time since the upstream's start, so a restarted balancer has the same slots; it does
// not send in the slot in which it restarted.
type warmUpSlots struct {
	budget       float64 // requests per Rules.OverloadWindow once the upstream is warm
	phase        float64 // offset of this balancer's slots, as a part of a slot
	openFraction float64 // part of a slot in which it may send
}

// elapsedSlots returns the number of slots that have begun since the upstream's start, with the elapsed part of the
// present one as the fraction.
func (t *warmUpSlots) elapsedSlots(age time.Duration, rules *Rules) float64 {
	seconds := max(0, age.Seconds())
	duration, floor := rules.SlowStartDuration.Seconds(), rules.SlowStartFloor
	capacitySeconds := t.budget * seconds * (floor + (1-floor)*seconds/duration/2)
	return capacitySeconds/rules.OverloadWindow.Seconds() + t.phase
}

// hasSlot reports whether the present slot is open and nothing was sent in it. If the balancer started within the slot,
// it may have sent something before its start, so the slot counts as used.
func (s *slowStart) hasSlot(slots *warmUpSlots, rules *Rules, balancerStartedAt, now time.Duration) bool {
	slot, elapsed := math.Modf(slots.elapsedSlots(now-s.startedAt, rules))
	if elapsed >= slots.openFraction {
		return false
	}
	last := max(s.lastSentAt, balancerStartedAt)
	return last <= s.startedAt || math.Floor(slots.elapsedSlots(last-s.startedAt, rules)) < slot
}

// beginWarmUp begins the slow start of an upstream and discards the statistics of its previous process.
func (b *Balancer) beginWarmUp(upstream *upstreamState, at time.Duration) {
	upstream.slowStart.begin(at)
	upstream.band.restart()
	upstream.outlier.restart()
	upstream.latency = latencyStats{}
	upstream.limit.allowed = b.limits.initial
	upstream.unreportedAnswers = 0
}

// hasWarmUpBudget reports whether a request fits this balancer's part of a warming upstream's budget, which follows
// from the work that warm upstreams carry. While that is unknown although the subset has healthy upstreams, no request
// fits.
func (b *Balancer) hasWarmUpBudget(upstream *upstreamState, req *request, now time.Duration) bool {
	rules := &b.settings.Rules
	whenWarm := b.warmUpBudget(upstream)
	budget := whenWarm * upstream.slowStart.capacity(rules, now)
	if b.fleet.workPerWeight == 0 && b.subset.hasHealthy {
		return false
	}
	if budget < minContinuousBudget {
		slots := warmUpSlots{budget: whenWarm, phase: b.slotPhase(upstream), openFraction: budget / 2}
		return upstream.slowStart.hasSlot(&slots, rules, b.startedAt, now)
	}
	return upstream.slowStart.fits(req.work, budget, rules.OverloadWindow, now)
}

// warmUpBudget returns how many requests per Rules.OverloadWindow this balancer could send to a warming upstream if it
// had its full capacity.
func (b *Balancer) warmUpBudget(upstream *upstreamState) float64 {
	perWeight := b.fleet.workPerWeight
	// Without warm upstreams, assume a server that handles its requests one after the other, with the safety margin
	// applied twice.
	if perWeight == 0 {
		concurrent := warmUpBudgetPart * float64(bandPeriod) / b.latency * b.limits.initial / initialLimitTotal
		perWeight = concurrent / upstream.share.weight
	}
	budget := warmUpBudgetPart * b.settings.Rules.OverloadMultiple * perWeight
	budget = budget * upstream.share.weight * upstream.share.subsetPart * cmp.Or(upstream.WarmUpShare, 1)
	return budget * (b.settings.Rules.OverloadWindow.Seconds() / bandPeriod.Seconds())
}

// slotPhase returns the offset of this balancer's slots at an upstream, as a part of a slot. Balancers that share an
// upstream have neighbouring positions on the ring. Their phases differ by steps of the golden ratio, which spreads
// them evenly.
func (b *Balancer) slotPhase(upstream *upstreamState) float64 {
	balancers := b.settings.Balancers
	place := math.Round(latticePoint(b.settings.Rank, balancers) * float64(balancers))
	_, phase := math.Modf(place*(math.Phi-1) + float64(upstream.ringPosition)/(1<<64))
	return phase
}
