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

// noAttempt stands for the order of an attempt where none is meant.
const noAttempt = -1

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
	upstream        *upstreamState
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
func (b *Balancer) RequestArrived(now time.Duration, arrived Request) {
	b.catchUp(now)
	requestClass := b.classes[arrived.Class]
	if requestClass == nil { // a class that the settings lack; never sent, so a retry is harmless
		b.host.Reject(arrived.ID, 0) // and it helps as little later
		return
	}
	b.arrivals.count++
	req := b.newRequest(arrived, requestClass, now)
	b.requests[req.ID] = req
	recentlyFull := now-b.queue.lastFullAt < time.Duration(b.latency)
	if req.weight == 0 && recentlyFull {
		b.rejectOrFail(req, now)
	} else {
		b.sendOrQueue(req, now)
	}
	b.resumeTicks(now)
}

// newRequest weighs a request and counts it against its tenant's quota.
func (b *Balancer) newRequest(arrived Request, requestClass *class, now time.Duration) *request {
	req := &request{Request: arrived, class: requestClass, deadline: now + arrived.Budget}
	req.weight = requestClass.PriorityWeight
	req.work = cmp.Or(requestClass.latency/b.latency, 1)
	if arrived.Cost > 0 {
		updateMean(&b.meanCost, float64(arrived.Cost), sampleWeight*sampleWeight)
		req.work = max(float64(arrived.Cost)/b.meanCost, sampleWeight)
	}
	if !b.settings.WeightByWork {
		req.weight /= req.work
	}
	if b.overQuota(arrived.Tenant, now) {
		req.weight *= b.settings.OverQuotaWeightFactor
	}
	margin := time.Duration((sendMargin - requestClass.LateWeightFactor) * cmp.Or(requestClass.latency, b.latency))
	requestClass.maxBudget = max(requestClass.maxBudget, arrived.Budget)
	if requestClass.isLateRetry(arrived.Budget, margin) {
		req.weight *= requestClass.LateWeightFactor
	}
	// Queued requests are looked at once a tick: without one in hand a short budget ran out unseen.
	req.sendBy = now + min(requestClass.LatencyObjective, arrived.Budget) - max(margin, b.tickInterval) - b.tickInterval
	return req
}

// isLateRetry reports whether a request is a client's retry that can't be answered within the objective: it shows its
// age by a short budget. Past the objective such once took the slots of those in time.
func (c *class) isLateRetry(budget, margin time.Duration) bool {
	isRetry := budget < c.maxBudget-c.maxBudget/budgetTolerance
	age := c.Deadline - budget
	return isRetry && c.LatencyObjective-age < margin
}

// sendOrQueue sends a request if a slot allows it, queues it if one may come free in time, and otherwise ends it.
func (b *Balancer) sendOrQueue(req *request, now time.Duration) {
	upstream, permitted := b.pickUpstream(req, now)
	if upstream != nil {
		b.send(req, upstream, now)
		return
	}
	mayWait := permitted || (req.neverRan() && len(req.attempts) < b.retry.maxAttempts)
	if mayWait && now < req.sendBy {
		b.queue.add(req, now)
		return
	}
	b.rejectOrFail(req, now)
}

// send starts an attempt.
func (b *Balancer) send(req *request, upstream *upstreamState, now time.Duration) {
	timeout := time.Duration(0) // until the client quits: work half done is worth more than work begun anew
	if upstream.outlier.unresponsive {
		upstream.outlier.trialSent(now)
		if req.class.Idempotency != NonIdempotent { // a trial leaves time for another attempt
			timeout = b.responseTimeout(upstream, req.work)
		}
	}
	a := &attempt{request: req, upstream: upstream, sentAt: now}
	req.attempts = append(req.attempts, a)
	req.inFlight++
	req.queued = false
	b.inFlight++
	upstream.inFlight = append(upstream.inFlight, a)
	upstream.workload.sent += req.work
	upstream.slowStart.recordSent(req.work, now)
	b.host.Send(req.ID, upstream.ID, timeout)
}

// rejectOrFail gives the final answer to a request that is not served.
func (b *Balancer) rejectOrFail(req *request, now time.Duration) {
	b.closeRequest(req, noAttempt)
	if req.mayReject() {
		b.host.Reject(req.ID, b.retryAfter(now))
	} else {
		b.host.Fail(req.ID)
	}
}

// closeRequest notes that a request has its answer, or its stream from an attempt, and stops the other attempts.
func (b *Balancer) closeRequest(req *request, answeredBy int) {
	if b.settings.Limits.Cancel && !req.done {
		b.cancelOthers(req, answeredBy)
	}
	req.done = true
	if req.inFlight == 0 {
		delete(b.requests, req.ID)
	}
}

// cancelOthers stops all attempts of a request but one.
func (b *Balancer) cancelOthers(req *request, answeredBy int) {
	for i, a := range req.attempts {
		if i != answeredBy && !a.ended {
			b.host.Cancel(req.ID, i)
		}
	}
}

// ClientLeft drops a request whose client has left.
func (b *Balancer) ClientLeft(now time.Duration, id RequestID) {
	if req := b.requests[id]; req != nil && !req.done {
		b.closeRequest(req, noAttempt)
	}
}

// attempt returns an attempt by its order, or nil.
func (req *request) attempt(n int) *attempt {
	if req == nil || n < 0 || n >= len(req.attempts) {
		return nil
	}
	return req.attempts[n]
}

// ResponseStarted marks a request as served by a stream that has begun.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID, n int) {
	req := b.requests[id]
	if a := req.attempt(n); a != nil && !req.done {
		a.upstream.outlier.responded(now, b.tickInterval)
		b.closeRequest(req, n)
	}
}

// BodySent tells that the last byte of a body has gone out in attempt n: its upstream owes an answer from now on.
func (b *Balancer) BodySent(now time.Duration, id RequestID, n int) {
	req := b.requests[id]
	if a := req.attempt(n); a != nil && req.BodyStreaming {
		req.BodyStreaming = false
		a.sentAt = now
	}
}

// AttemptFinished takes the end of an attempt.
func (b *Balancer) AttemptFinished(now time.Duration, o AttemptResult) {
	req := b.requests[o.ID]
	a := req.attempt(o.Attempt)
	if a == nil || a.ended {
		return
	}
	b.endAttempt(a, o.Status, now)
	b.recordOutcome(a, o.clean(), now)
	switch {
	case req.done || o.Closed || o.Status == OK:
		b.closeRequest(req, o.Attempt)
	case req.inFlight == 0 && !req.queued: // else another attempt may still answer, or a slot may come free
		b.sendOrQueue(req, now)
	}
	b.dispatchQueued(now)
}

// endAttempt takes an attempt out of what is in flight.
func (b *Balancer) endAttempt(a *attempt, status Status, now time.Duration) {
	req, upstream := a.request, a.upstream
	a.ended = true
	a.neverRan = status.neverRan()
	if req.class.Idempotency == IdempotentWithKey && !a.neverRan {
		req.class.lastRanAt = now
	}
	req.inFlight--
	b.inFlight--
	upstream.inFlight = slices.DeleteFunc(upstream.inFlight, func(x *attempt) bool { return x == a })
}

// neverRan reports whether a status proves that the request never ran.
func (s Status) neverRan() bool { return s == Rejected || s == ConnectFailed || s == NotSent }
