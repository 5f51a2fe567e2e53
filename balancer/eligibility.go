// Which upstreams may take a request: unresponsive ones, concurrency limits.

package balancer

import (
	"math"
	"slices"
	"time"
)

// patience is how long u may owe every answer before it counts as silent.
func (b *Balancer) patience(u *upstream, units float64) time.Duration {
	usual := max(u.lat+patienceDevs*u.latDev, (1+patienceDevs/2)*b.lat) // one lucky answer is no measure
	return time.Duration(usual*max(1, units)) + b.tick
}

// quiet looks whether u has fallen silent: attempts are out and nothing has come back for longer than its
// patience. Its turns are skipped, it gets one trial at a time, and what may run twice starts elsewhere.
func (b *Balancer) quiet(u *upstream, now time.Duration) {
	var first *attempt // that owes an answer
	for _, a := range u.outs {
		if !a.r.BodyStreaming && (first == nil || a.sentAt < first.sentAt) {
			first = a
		}
	}
	if u.silent || first == nil {
		return
	}
	since, p := now-max(first.sentAt, u.answeredAt), b.patience(u, first.r.units)
	if since <= p {
		return
	}
	u.silent, u.wait, u.trialAt = true, p, now+p
	b.log(now, "silent", "upstream %d owes every answer for %v: turns skipped, trials only", u.ID, since)
	for _, a := range slices.Clone(u.outs) {
		if r := a.r; r.class.Idempotency == NonIdempotent || r.done || r.out > 1 {
			continue
		} else if v, _ := b.pick(r, now); v != nil {
			b.send(r, v, now) // a second copy
		} else if !b.s.Limits.Hedging && b.s.Limits.Cancel {
			b.host.Cancel(r.ID, slices.Index(r.attempts, a))
		}
	}
}

// answered notes a sign of life.
func (b *Balancer) answered(u *upstream, now time.Duration) {
	u.silent, u.answeredAt, u.wait = false, now, b.tick
}

// eligible reports whether u may take r at this turn. The bound is a guard: shares decide below it.
func (b *Balancer) eligible(u *upstream, r *request, now time.Duration) bool {
	ok := now >= u.freeAt && float64(len(u.outs)) < max(1, math.Round(u.bound))
	if u.silent { // the safest class goes first as a trial
		ok = now >= u.trialAt && (r.class.Idempotency == b.safest || now >= u.trialAt+u.wait)
	}
	ok = ok && (u.MaxInFlight == 0 || len(u.outs) < u.MaxInFlight)
	return ok && (b.ramp(u, now) == 1 || b.coldRoom(u, r, now))
}
