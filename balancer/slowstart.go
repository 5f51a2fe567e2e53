// Upstreams that have just started: how much of one is there, and who may send when.

package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	overloadMargin      = 0.6 // part of a warming upstream's budget that is used
	minContinuousBudget = 2.0 // a part of the budget under so many requests is used in slots
)

// slowStart is the warming up of an upstream that started lately. sentWork leaks at the rate of the budget, so it is
// what the upstream was sent within the last Rules.OverloadWindow.
type slowStart struct {
	warming    bool
	since      time.Duration // the upstream's start
	sentWork   float64       // in mean requests; none counts less than one
	sentWorkAt time.Duration
	lastSentAt time.Duration // also while it is warm
}

// begin starts the warming up of a process that started at a time.
func (s *slowStart) begin(at time.Duration) {
	s.warming = true
	s.since = at
	s.sentWorkAt = max(s.sentWorkAt, at) // what it was sent while warm is no debt of the new process
}

// capacity is the share of its capacity that the upstream is sure to have. It ends the warming up once that is over.
func (s *slowStart) capacity(rules *Rules, now time.Duration) float64 {
	if s.warming && now-s.since < rules.SlowStartDuration {
		elapsed := float64(now-s.since) / float64(rules.SlowStartDuration)
		return rules.SlowStartFloor + (1-rules.SlowStartFloor)*max(0, elapsed)
	}
	s.warming = false
	return 1
}

// recordSent counts an attempt.
func (s *slowStart) recordSent(work float64, now time.Duration) {
	s.lastSentAt = now
	s.sentWork += max(1, work)
}

// fits reports whether work fits a budget of so many requests over a window, half of which may come at once. No
// request counts less than the mean: many small ones once pushed a server over.
func (s *slowStart) fits(work, budget float64, window, now time.Duration) bool {
	rate, burst := budget/window.Seconds(), budget/2
	leaked := rate / 2 * (now - s.sentWorkAt).Seconds()
	s.sentWork = max(0, min(s.sentWork, burst)-leaked)
	s.sentWorkAt = now
	return s.sentWork <= max(0, burst-max(1, work))
}

// warmUpSlots are one balancer's slots at a warming upstream of which it may have few requests. A part of few requests
// can't be rounded up: over many balancers that came to many times the budget. So each has one request in each of its
// own slots, which follow each other as its part adds up, and only in the open share at the begin of a slot. The
// slots of all who use the upstream are spread evenly by their phase, and go by the time since its start: a process
// that was started anew has the same, and leaves out its first.
type warmUpSlots struct {
	budget float64 // requests over Rules.OverloadWindow, once the upstream is warm
	phase  float64 // when this balancer's slots begin, as a part of a slot
	open   float64 // part of a slot in which it may send
}

// at is how many slots have gone by at an age of the upstream, the present one in part.
func (t *warmUpSlots) at(age time.Duration, rules *Rules) float64 {
	seconds := max(0, age.Seconds())
	duration, floor := rules.SlowStartDuration.Seconds(), rules.SlowStartFloor
	capacitySeconds := t.budget * seconds * (floor + (1-floor)*seconds/duration/2)
	return capacitySeconds/rules.OverloadWindow.Seconds() + t.phase
}

// hasSlot reports whether the present slot is open and nothing was sent in it. A balancer that started since knows
// nothing of what it sent before.
func (s *slowStart) hasSlot(slots *warmUpSlots, rules *Rules, balancerStartedAt, now time.Duration) bool {
	slot, elapsed := math.Modf(slots.at(now-s.since, rules))
	if elapsed >= slots.open {
		return false
	}
	last := max(s.lastSentAt, balancerStartedAt)
	return last <= s.since || math.Floor(slots.at(last-s.since, rules)) < slot
}

// beginWarmUp treats an upstream as freshly started: nothing learnt before holds.
func (b *Balancer) beginWarmUp(upstream *upstreamState, at time.Duration) {
	upstream.slowStart.begin(at)
	upstream.band.restart()
	upstream.outlier.restart()
	upstream.latency = latencyStats{}
	upstream.limit.allowed = b.limits.initial
	upstream.unreportedAnswers = 0
}

// hasWarmUpBudget reports whether a request fits this balancer's part of what an upstream that warms up may get over
// Rules.OverloadWindow, judged by what warm upstreams carry.
func (b *Balancer) hasWarmUpBudget(upstream *upstreamState, req *request, now time.Duration) bool {
	rules := &b.settings.Rules
	whenWarm := b.warmUpBudget(upstream)
	budget := whenWarm * upstream.slowStart.capacity(rules, now)
	if b.fleet.workPerWeight == 0 && b.subset.hasWarm {
		return false
	}
	if budget < minContinuousBudget {
		slots := warmUpSlots{budget: whenWarm, phase: b.slotPhase(upstream), open: budget / 2}
		return upstream.slowStart.hasSlot(&slots, rules, b.startedAt, now)
	}
	return upstream.slowStart.fits(req.work, budget, rules.OverloadWindow, now)
}

// warmUpBudget is how many requests over Rules.OverloadWindow this balancer may send to an upstream once that is warm.
func (b *Balancer) warmUpBudget(upstream *upstreamState) float64 {
	perWeight := b.fleet.workPerWeight
	if perWeight == 0 { // no warm one to judge by: a server does one after the other; the margin counts twice
		concurrent := overloadMargin * float64(bandPeriod) / b.latency * b.limits.initial / initialLimitTotal
		perWeight = concurrent / upstream.share.weight
	}
	budget := overloadMargin * b.settings.Rules.OverloadMultiple * perWeight
	budget = budget * upstream.share.weight * upstream.share.subsetPart * cmp.Or(upstream.WarmUpShare, 1)
	return budget * (b.settings.Rules.OverloadWindow.Seconds() / bandPeriod.Seconds())
}

// slotPhase is when this balancer's slots begin at an upstream that warms up, as a part of a slot. Those who use it
// stand side by side on the ring, so steps of the golden ratio spread them.
func (b *Balancer) slotPhase(upstream *upstreamState) float64 {
	balancers := b.settings.Balancers
	place := math.Round(latticePoint(b.settings.Rank, balancers) * float64(balancers))
	_, phase := math.Modf(place*(math.Phi-1) + float64(upstream.ringPosition)/(1<<64))
	return phase
}
