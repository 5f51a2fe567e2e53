// Requests: their attempts and their final answers.

package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	sendMargin      = 2.33 // latencies left to the objective of a queued request sent, less its late weight
	budgetTolerance = 16   // a budget shorter by one in this many is a client's retry
)

// class is one kind of request, and what is learnt of it.
type class struct {
	Class
	latency   float64       // usual, ns
	maxBudget time.Duration // the longest budget of a request so far
	lastRanAt time.Duration // with an idempotency key: when one that may have run last ended
}

// attempt is one send of a request.
type attempt struct {
	request         *request
	upstream        *upstream
	sentAt          time.Duration
	ended, neverRan bool
}

// request is a client's request; it stays until its last attempt has ended.
type request struct {
	Request
	class    *class
	weight   float64       // priority weight per unit of work
	work     float64       // in mean requests
	sendBy   time.Duration // sent after it, an answer would come late
	deadline time.Duration
	queuedAt time.Duration // when it began to wait
	attempts []*attempt
	inFlight int  // attempts
	done     bool // it has its final answer
	queued   bool
}

// RequestArrived takes a client's request.
func (b *Balancer) RequestArrived(now time.Duration, q Request) {
	b.catchUp(now)
	c := b.classes[q.Class]
	if c == nil { // a class that the settings lack; never sent, so a retry is harmless
		b.host.Reject(q.ID, 0) // and it helps as little later
		return
	}
	b.arrivals.count++
	r := b.newRequest(q, c, now)
	b.requests[r.ID] = r
	recentlyFull := now-b.queue.lastFullAt < time.Duration(b.latency)
	if r.weight == 0 && recentlyFull {
		b.rejectOrFail(r, now)
	} else {
		b.sendOrQueue(r, now)
	}
	b.resumeTicks(now)
}

// newRequest weighs a request and counts it against its tenant's quota.
func (b *Balancer) newRequest(q Request, c *class, now time.Duration) *request {
	r := &request{Request: q, class: c, weight: c.PriorityWeight, deadline: now + q.Budget}
	r.work = cmp.Or(c.latency/b.latency, 1)
	if q.Cost > 0 {
		updateMean(&b.meanCost, float64(q.Cost), sampleWeight*sampleWeight)
		r.work = max(float64(q.Cost)/b.meanCost, sampleWeight)
	}
	if !b.settings.WeightByWork {
		r.weight /= r.work
	}
	if b.overQuota(q.Tenant, now) {
		r.weight *= b.settings.OverQuotaWeightFactor
	}
	margin := time.Duration((sendMargin - c.LateWeightFactor) * cmp.Or(c.latency, b.latency))
	if c.isLateRetry(q.Budget, margin) {
		r.weight *= c.LateWeightFactor
	}
	// Queued requests are looked at once a tick: without one in hand a short budget ran out unseen.
	r.sendBy = now + min(c.LatencyObjective, q.Budget) - max(margin, b.tickInterval) - b.tickInterval
	return r
}

// isLateRetry reports whether a request is a client's retry that can't be answered within the objective: it shows its
// age by a short budget. Past the objective such once took the turns of those in time.
func (c *class) isLateRetry(budget, margin time.Duration) bool {
	c.maxBudget = max(c.maxBudget, budget)
	age := c.Deadline - budget
	return budget < c.maxBudget-c.maxBudget/budgetTolerance && c.LatencyObjective-age < margin
}

// sendOrQueue sends r if a turn allows it, queues it if one may come free in time, and otherwise ends it.
func (b *Balancer) sendOrQueue(r *request, now time.Duration) {
	u, legal := b.pickUpstream(r, now)
	if u != nil {
		b.send(r, u, now)
		return
	}
	mayWait := legal || (r.neverRan() && len(r.attempts) < b.retry.maxAttempts)
	if mayWait && now < r.sendBy {
		b.queue.add(r, now)
		return
	}
	b.rejectOrFail(r, now)
}

// send starts an attempt.
func (b *Balancer) send(r *request, u *upstream, now time.Duration) {
	timeout := time.Duration(0) // until the client quits: work half done is worth more than work begun anew
	if u.outlier.unresponsive {
		u.outlier.trialSent(now)
		if r.class.Idempotency != NonIdempotent { // a trial leaves time for another attempt
			timeout = b.responseTimeout(u, r.work)
		}
	}
	a := &attempt{request: r, upstream: u, sentAt: now}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	r.queued = false
	b.inFlight++
	u.inFlight = append(u.inFlight, a)
	u.workload.sent += r.work
	u.slowStart.recordSent(r.work, now)
	b.host.Send(r.ID, u.ID, timeout)
}

// rejectOrFail gives the final answer to a request that is not served.
func (b *Balancer) rejectOrFail(r *request, now time.Duration) {
	b.closeRequest(r, -1)
	if r.mayReject() {
		b.host.Reject(r.ID, b.retryAfter(now))
	} else {
		b.host.Fail(r.ID)
	}
}

// closeRequest notes that r has its answer, or its stream from an attempt, and stops the other attempts.
func (b *Balancer) closeRequest(r *request, answeredBy int) {
	for i, a := range r.attempts {
		if i != answeredBy && !a.ended && !r.done && b.settings.Limits.Cancel {
			b.host.Cancel(r.ID, i)
		}
	}
	r.done = true
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// ClientLeft drops a request whose client has left.
func (b *Balancer) ClientLeft(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.done {
		b.closeRequest(r, -1)
	}
}

// attempt returns an attempt by its order, or nil.
func (r *request) attempt(n int) *attempt {
	if r == nil || n < 0 || n >= len(r.attempts) {
		return nil
	}
	return r.attempts[n]
}

// ResponseStarted marks a request as served by a stream that has begun.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID, n int) {
	r := b.requests[id]
	if a := r.attempt(n); a != nil && !r.done {
		a.upstream.outlier.responded(now, b.tickInterval)
		b.closeRequest(r, n)
	}
}

// BodySent tells that the last byte of a body has gone out in attempt n: its upstream owes an answer from now on.
func (b *Balancer) BodySent(now time.Duration, id RequestID, n int) {
	r := b.requests[id]
	if a := r.attempt(n); a != nil && r.BodyStreaming {
		r.BodyStreaming = false
		a.sentAt = now
	}
}

// AttemptFinished takes the end of an attempt.
func (b *Balancer) AttemptFinished(now time.Duration, o AttemptResult) {
	r := b.requests[o.ID]
	a := r.attempt(o.Attempt)
	if a == nil || a.ended {
		return
	}
	b.endAttempt(a, o.Status, now)
	b.recordOutcome(a, o.clean(), now)
	switch {
	case r.done || o.Closed || o.Status == OK:
		b.closeRequest(r, o.Attempt)
	case r.inFlight == 0 && !r.queued: // else another attempt may still answer, or a turn may come free
		b.sendOrQueue(r, now)
	}
	b.dispatchQueued(now)
}

// endAttempt takes an attempt out of what is in flight.
func (b *Balancer) endAttempt(a *attempt, status Status, now time.Duration) {
	r, u := a.request, a.upstream
	a.ended = true
	a.neverRan = status.neverRan()
	if r.class.Idempotency == IdempotentWithKey && !a.neverRan {
		r.class.lastRanAt = now
	}
	r.inFlight--
	b.inFlight--
	u.inFlight = slices.DeleteFunc(u.inFlight, func(x *attempt) bool { return x == a })
}

// neverRan reports whether a status proves that the request never ran.
func (s Status) neverRan() bool { return s == Rejected || s == ConnectFailed || s == NotSent }
