// Requests, their attempts and their final answers.

package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	sendMargin         = 2.33 // sendBy is sendMargin - LateWeightFactor mean latencies before the objective
	retryBudgetDivisor = 16   // a budget shorter than the class's longest by over 1/retryBudgetDivisor is a retry's
)

// noAttempt is an attempt index that stands for no attempt.
const noAttempt = -1

// class is one kind of request, with its statistics.
type class struct {
	Class
	latency   float64       // mean, ns
	maxBudget time.Duration // longest budget of a request so far
	lastRanAt time.Duration // for IdempotentWithKey: end of the last attempt that may have run
}

// attempt is one send of a request.
type attempt struct {
	request         *request
	upstream        *upstreamState
	sentAt          time.Duration
	ended, neverRan bool
}

// request is a client's request. It is kept until it has its final answer and its last attempt has ended.
type request struct {
	Request
	class    *class
	weight   float64       // priority weight per unit of work
	work     float64       // in units of the mean request
	sendBy   time.Duration // when sent later, it would probably miss its latency objective
	deadline time.Duration
	queuedAt time.Duration // when it was last queued
	attempts []*attempt
	inFlight int  // attempts in flight
	done     bool // it has its final answer, or its client has left
	queued   bool
}

// RequestArrived sends, queues or ends a client's request. A request of an unknown class is rejected.
func (b *Balancer) RequestArrived(now time.Duration, arrived Request) {
	b.catchUp(now)
	requestClass := b.classes[arrived.Class]
	if requestClass == nil { // not sent, so a retry is harmless
		b.host.Reject(arrived.ID, 0) // no Retry-After, as a later retry is rejected too
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

// newRequest returns the state of a request, and counts it against its tenant's quota.
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
	// Queued requests are checked once per tick. Without the extra tick, a short budget ran out between two checks.
	req.sendBy = now + min(requestClass.LatencyObjective, arrived.Budget) - max(margin, b.tickInterval) - b.tickInterval
	return req
}

// isLateRetry reports whether a request is a client's retry that can't be answered within the latency objective, which
// counts from the client's first try. A short budget shows its age. At full weight, such retries took the slots of
// requests that could still meet their objective.
func (c *class) isLateRetry(budget, margin time.Duration) bool {
	isRetry := budget < c.maxBudget-c.maxBudget/retryBudgetDivisor
	age := c.Deadline - budget
	return isRetry && c.LatencyObjective-age < margin
}

// sendOrQueue sends a request if it finds a slot, queues it if a slot may come free in time, and otherwise rejects or
// fails it.
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
	timeout := time.Duration(0) // as long as the client waits: an attempt in progress is worth more than a new one
	if upstream.outlier.unresponsive {
		upstream.outlier.trialSent(now)
		if req.class.Idempotency != NonIdempotent { // leave time for an attempt after the trial
			timeout = b.responseTimeout(upstream, req.work)
		}
	}
	a := &attempt{request: req, upstream: upstream, sentAt: now}
	req.attempts = append(req.attempts, a)
	req.inFlight++
	req.queued = false
	b.inFlight++
	upstream.inFlight = append(upstream.inFlight, a)
	if req.BodyStreaming {
		upstream.uploads++
	}
	upstream.workload.sent += req.work
	upstream.slowStart.recordSent(req.work, now)
	b.host.Send(req.ID, upstream.ID, timeout)
}

// rejectOrFail ends a request that is not served: it is rejected if a retry is harmless, and failed otherwise.
func (b *Balancer) rejectOrFail(req *request, now time.Duration) {
	b.closeRequest(req, noAttempt)
	if req.mayReject() {
		b.host.Reject(req.ID, b.retryAfter(now))
	} else {
		b.host.Fail(req.ID)
	}
}

// closeRequest marks a request as done, and cancels its attempts except the one that answered it.
func (b *Balancer) closeRequest(req *request, answeredBy int) {
	if b.settings.Limits.Cancel && !req.done {
		b.cancelOthers(req, answeredBy)
	}
	req.done = true
	if req.inFlight == 0 {
		delete(b.requests, req.ID)
	}
}

// cancelOthers cancels all attempts of a request that are in flight, except the one that answered it.
func (b *Balancer) cancelOthers(req *request, answeredBy int) {
	for i, a := range req.attempts {
		if i != answeredBy && !a.ended {
			b.host.Cancel(req.ID, i)
		}
	}
}

// ClientLeft closes a request whose client has left.
func (b *Balancer) ClientLeft(now time.Duration, id RequestID) {
	if req := b.requests[id]; req != nil && !req.done {
		b.closeRequest(req, noAttempt)
	}
}

// attempt returns the nth attempt, from 0, or nil if there is none.
func (req *request) attempt(n int) *attempt {
	if req == nil || n < 0 || n >= len(req.attempts) {
		return nil
	}
	return req.attempts[n]
}

// ResponseStarted closes a request whose streamed answer has begun in attempt n.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID, n int) {
	req := b.requests[id]
	if a := req.attempt(n); a != nil && !req.done {
		a.upstream.outlier.responded(now, b.tickInterval)
		b.closeRequest(req, n)
	}
}

// BodySent records that the last byte of a body was sent in attempt n: its answer is expected from now on.
func (b *Balancer) BodySent(now time.Duration, id RequestID, n int) {
	req := b.requests[id]
	if a := req.attempt(n); a != nil && req.BodyStreaming {
		req.BodyStreaming = false
		a.sentAt = now
		for _, sent := range req.attempts {
			sent.upstream.countUploads()
		}
	}
}

// AttemptFinished records the end of an attempt. If the request is still open, it is retried, queued or ended.
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
	case req.inFlight == 0 && !req.queued: // otherwise wait for another attempt or for a slot
		b.sendOrQueue(req, now)
	}
	b.dispatchQueued(now)
}

// endAttempt removes an attempt from those in flight.
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
	if upstream.uploads > 0 {
		upstream.countUploads()
	}
}

// neverRan reports whether a status proves that the request never ran.
func (s Status) neverRan() bool { return s == Rejected || s == ConnectFailed || s == NotSent }
