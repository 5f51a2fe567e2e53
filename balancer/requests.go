// Requests: their attempts, when one may be sent again, and their final answers.

package balancer

import (
	"cmp"
	"slices"
	"time"
)

// maySend alone decides whether r may be sent (again), and whether u may take it.
func (b *Balancer) maySend(r *request, u *upstream, now time.Duration) bool {
	if r.done || now >= r.deadline || u.State != Active ||
		len(r.attempts) >= b.s.Limits.MaxAttempts || (r.out > 0 && !b.s.Limits.Hedging) {
		return false
	}
	for _, a := range r.attempts {
		if !a.neverRan && (r.class.Idempotency == NonIdempotent || (r.class.Idempotency == IdempotentWithKey &&
			(now-a.sentAt >= r.class.DeduplicationWindow-b.tick ||
				(r.class.KeyScope == KeyScopeZone && a.up.Zone != u.Zone) ||
				(r.class.KeyScope == KeyScopeCell && a.up.Cell != u.Cell)))) {
			return false
		}
	}
	return true
}

// SendDeadline tells when upstreams that may have run a keyed request forget it: its newest attempt must be
// written before then, however long its connection takes. 0: there is no such time.
func (b *Balancer) SendDeadline(id RequestID) (until time.Duration) {
	r := b.requests[id]
	if r == nil || r.class.Idempotency != IdempotentWithKey {
		return 0
	}
	for _, a := range r.attempts[:max(0, len(r.attempts)-1)] {
		if end := a.sentAt + r.class.DeduplicationWindow - b.tick; !a.neverRan && (until == 0 || end < until) {
			until = end
		}
	}
	return until
}

// mayRefuse alone decides whether the client may be told that a retry is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	keyedEverywhere := r.class.Idempotency == IdempotentWithKey && r.class.KeyScope == KeyScopeAll
	return r.class.Idempotency == Idempotent || keyedEverywhere || b.never(r)
}

// never reports whether no attempt of r can have run: it stands as if it had just come.
func (b *Balancer) never(r *request) bool {
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// RequestArrived takes a client's request.
func (b *Balancer) RequestArrived(now time.Duration, q Request) {
	b.catchUp(now)
	c := b.classes[q.Class]
	if c == nil { // a class that the settings lack; never sent, so a retry is harmless
		b.host.Reject(q.ID, 0) // and it helps as little later
		return
	}
	b.asked++
	r := &request{
		Request: q, class: c, units: cmp.Or(c.lat/b.lat, 1), deadline: now + q.Budget,
		worth: c.PriorityWeight,
	}
	if q.Cost > 0 {
		follow(&b.cost, float64(q.Cost), smoothing*smoothing)
		r.units = max(float64(q.Cost)/b.cost, smoothing)
	}
	if !b.s.WeightByWork {
		r.worth /= r.units
	}
	if b.overQuota(q.Tenant, now) {
		r.worth *= b.s.OverQuotaWeightFactor
	}
	// A later try shows its age by a short budget. Past the aim such once took the turns of those in time.
	spare := time.Duration((sendSpare - c.LateWeightFactor) * cmp.Or(c.lat, b.lat))
	c.budget = max(c.budget, q.Budget)
	if q.Budget < c.budget-c.budget/budgetNoise && c.LatencyObjective-(c.Deadline-q.Budget) < spare {
		r.worth *= c.LateWeightFactor
	}
	// Held requests are looked at once a tick: without one in hand a short budget ran out unseen.
	r.sendBy = now + min(c.LatencyObjective, q.Budget) - max(spare, b.tick) - b.tick
	b.requests[r.ID] = r
	if r.worth == 0 && now-b.tightAt < time.Duration(b.lat) { // turns are short
		b.giveUp(r, now)
	} else {
		b.place(r, now)
	}
	b.rouse(now)
}

// place sends r if a turn allows it, holds it if one may come free in time, and otherwise ends it.
func (b *Balancer) place(r *request, now time.Duration) {
	switch u, legal := b.pick(r, now); {
	case u != nil:
		b.send(r, u, now)
	case (legal || (b.never(r) && len(r.attempts) < b.s.Limits.MaxAttempts)) && now < r.sendBy:
		if len(b.held) == 0 {
			b.turnAt, b.short = now, false
		} else {
			follow(&b.spell, float64(now-b.tightAt), turnWeight)
		}
		r.held, r.heldAt, b.tightAt = true, now, now
		at, _ := slices.BinarySearchFunc(b.held, r, b.order)
		b.held = slices.Insert(b.held, at, r)
	default:
		b.giveUp(r, now)
	}
}

func (b *Balancer) send(r *request, u *upstream, now time.Duration) {
	timeout := time.Duration(0) // until the client quits: work half done is worth more than work begun anew
	if u.silent {
		u.trialAt = now + u.wait
		u.wait *= waitGrowth
		if r.class.Idempotency != NonIdempotent { // a trial leaves time for another attempt
			timeout = b.patience(u, r.units)
		}
	}
	a := &attempt{r: r, up: u, sentAt: now}
	r.attempts, r.out, r.held, b.out = append(r.attempts, a), r.out+1, false, b.out+1
	u.sentAt = now
	u.outs, u.carried, u.spent = append(u.outs, a), u.carried+r.units, u.spent+max(1, r.units)
	b.host.Send(r.ID, u.ID, timeout)
}

// giveUp gives the final answer to a request that is not served.
func (b *Balancer) giveUp(r *request, now time.Duration) {
	if b.finish(r, -1); b.mayRefuse(r) {
		b.host.Reject(r.ID, b.advice(now))
	} else {
		b.host.Fail(r.ID)
	}
}

// advice is when a client that is refused should come back: by then what is held has had its turns and some
// upstream may be asked.
func (b *Balancer) advice(now time.Duration) time.Duration {
	if !b.s.Limits.RetryAfter {
		return 0
	}
	soonest, room := b.s.Limits.MaxRetryAfter, 0.0
	for _, u := range b.near {
		if u.member && u.State == Active {
			at := u.freeAt
			if u.silent {
				at = u.trialAt
			}
			soonest, room = min(soonest, max(0, at-now)), room+max(1, u.bound)
		}
	}
	turns := time.Duration(b.lat * float64(len(b.held)+1) / max(1, room))
	return min(max(soonest, turns), b.s.Limits.MaxRetryAfter)
}

// finish notes that r has its answer, or its stream from attempt n, and stops what else is out.
func (b *Balancer) finish(r *request, n int) {
	for i, a := range r.attempts {
		if i != n && !a.ended && !r.done && b.s.Limits.Cancel {
			b.host.Cancel(r.ID, i)
		}
	}
	if r.done = true; r.out == 0 {
		delete(b.requests, r.ID)
	}
}

// ClientLeft drops a request whose client has left.
func (b *Balancer) ClientLeft(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.done {
		b.finish(r, -1)
	}
}

// ResponseStarted marks a request as served by a stream that has begun.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID, n int) {
	if r := b.requests[id]; r != nil && !r.done && n >= 0 && n < len(r.attempts) {
		b.answered(r.attempts[n].up, now)
		b.finish(r, n)
	}
}

// BodySent tells that the last byte of a body has gone out in attempt n: its upstream owes an answer from now
// on.
func (b *Balancer) BodySent(now time.Duration, id RequestID, n int) {
	if r := b.requests[id]; r != nil && r.BodyStreaming && n >= 0 && n < len(r.attempts) {
		r.BodyStreaming, r.attempts[n].sentAt = false, now
	}
}

// AttemptFinished takes the end of an attempt.
func (b *Balancer) AttemptFinished(now time.Duration, o AttemptResult) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := r.attempts[o.Attempt]
	a.ended, a.neverRan = true, o.Status == Rejected || o.Status == ConnectFailed || o.Status == NotSent
	if r.class.Idempotency == IdempotentWithKey && !a.neverRan {
		r.class.ranAt = now
	}
	r.out, b.out = r.out-1, b.out-1
	a.up.outs = slices.DeleteFunc(a.up.outs, func(x *attempt) bool { return x == a })
	b.learn(a, o.clean(), now)
	switch {
	case r.done || o.Closed || o.Status == OK:
		b.finish(r, o.Attempt)
	case r.out == 0 && !r.held: // else another copy may still answer, or a turn may come free
		b.place(r, now)
	}
	b.dispatch(now)
}
