// The queue of requests that wait for a slot: their order, when they are rejected, and when clients should come back.

package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// intervalWeight is the weight of a new sample in the mean intervals of the queue.
const intervalWeight = 0.0625

// admissionQueue holds the requests that wait for a slot, in the order of compare. While slots suffice the one due
// first goes first: any other order makes somebody wait for nothing, up to his objective. Once they are short, some
// are lost whatever the order: most weight first, then the newest, whose answers come soonest.
type admissionQueue struct {
	waiting          []*request
	overloaded       bool          // slots are too few for all of them
	queueingInterval float64       // mean time between requests that come to be queued, ns
	dispatchInterval float64       // mean time between slots of queued requests, ns
	lastDispatchAt   time.Duration // or since when something is queued
	lastFullAt       time.Duration // last time that no upstream could take a request
}

// compare orders two requests.
func (q *admissionQueue) compare(x, y *request) int {
	if !q.overloaded {
		return cmp.Compare(x.sendBy, y.sendBy)
	}
	return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(y.queuedAt, x.queuedAt))
}

// add queues a request that found no slot.
func (q *admissionQueue) add(req *request, now time.Duration) {
	if len(q.waiting) == 0 {
		q.lastDispatchAt = now
		q.overloaded = false
	} else {
		updateMean(&q.queueingInterval, float64(now-q.lastFullAt), intervalWeight)
	}
	q.lastFullAt = now
	req.queued = true
	req.queuedAt = now
	at, _ := slices.BinarySearchFunc(q.waiting, req, q.compare)
	q.waiting = slices.Insert(q.waiting, at, req)
}

// dispatched notes that a queued request is sent.
func (q *admissionQueue) dispatched(now time.Duration) {
	updateMean(&q.dispatchInterval, float64(now-q.lastDispatchAt), intervalWeight)
	q.lastDispatchAt = now
}

// updateOrder puts the queue into order again: slots are short from the first request that is lost by waiting, and
// suffice again once all that is queued starts before the first is due. To foresee the loss by the time between slots
// was worse in bursts; so was to wait until much is lost.
func (q *admissionQueue) updateOrder(now time.Duration, lost bool) {
	turnInterval := max(q.dispatchInterval, float64(now-q.lastDispatchAt))
	queueingInterval := max(q.queueingInterval, float64(now-q.lastFullAt))
	lost = lost && queueingInterval < turnInterval
	overloaded := lost
	if q.overloaded && !lost {
		overloaded = turnInterval*float64(len(q.waiting)) > q.timeToFirstDue(now)
	}
	if overloaded != q.overloaded {
		q.overloaded = overloaded
		slices.SortStableFunc(q.waiting, q.compare)
	}
}

// timeToFirstDue is how long until some queued request must be sent, in ns.
func (q *admissionQueue) timeToFirstDue(now time.Duration) float64 {
	soonest := math.Inf(1)
	for _, req := range q.waiting {
		soonest = min(soonest, float64(req.sendBy-now))
	}
	return soonest
}

// dispatchQueued sends queued requests while slots come free, and ends those that could not be answered in time. A
// request without an attempt that fits nowhere shows that no later one fits.
func (b *Balancer) dispatchQueued(now time.Duration) {
	kept := b.queue.waiting[:0]
	blocked, lost := false, false
	for _, req := range b.queue.waiting {
		if req.done {
			continue
		}
		if now >= req.sendBy {
			lost = true
			b.log(now, "shed", "%d held, no turn free within the aim: refusing", len(b.queue.waiting))
			b.rejectOrFail(req, now)
			continue
		}
		if !blocked {
			if b.dispatch(req, now) {
				continue
			}
			blocked = len(req.attempts) == 0
		}
		kept = append(kept, req)
	}
	clear(b.queue.waiting[len(kept):])
	b.queue.waiting = kept
	b.queue.updateOrder(now, lost)
}

// dispatch sends a queued request if a slot is free.
func (b *Balancer) dispatch(req *request, now time.Duration) (sent bool) {
	upstream, _ := b.pickUpstream(req, now)
	if upstream == nil {
		return false
	}
	b.queue.dispatched(now)
	b.send(req, upstream, now)
	return true
}

// retryAfter is when a client that is rejected should come back: by then what is queued has had its slots and some
// upstream may be tried.
func (b *Balancer) retryAfter(now time.Duration) time.Duration {
	if !b.settings.Limits.RetryAfter {
		return 0
	}
	soonest, capacity := b.settings.Limits.MaxRetryAfter, 0.0
	for _, upstream := range b.subset.upstreams {
		if upstream.inSubset && upstream.State == Active {
			soonest = min(soonest, max(0, upstream.nextAttemptAt()-now))
			capacity += max(1, upstream.limit.allowed)
		}
	}
	queued := float64(len(b.queue.waiting) + 1)
	queueWait := time.Duration(b.latency * queued / max(1, capacity))
	return min(max(soonest, queueWait), b.settings.Limits.MaxRetryAfter)
}

// QueueLength is how many requests wait for a slot.
func (b *Balancer) QueueLength() int { return len(b.queue.waiting) }
