// The queue of requests that wait for a slot: their order, their rejection, and the Retry-After of rejected ones.

package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// intervalWeight is the weight of a new sample in the mean intervals of the queue.
const intervalWeight = 0.0625

// admissionQueue holds the requests that wait for a slot, in the order of compare. While there are enough slots, the
// request with the earliest sendBy goes first; any other order delays some request needlessly, up to its latency
// objective. When overloaded, some requests are lost in any order, so the request with the highest weight goes first,
// and among equals the newest, which is answered with the least delay.
type admissionQueue struct {
	waiting          []*request
	overloaded       bool          // there are too few slots for all waiting requests
	queueingInterval float64       // mean time between two requests that find no slot, ns
	dispatchInterval float64       // mean time between two slots for queued requests, ns
	lastDispatchAt   time.Duration // when a queued request was last sent, or the queue was last empty
	lastFullAt       time.Duration // when a request last found no slot
}

// compare orders two requests: the one to send first is less.
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

// dispatched records that a queued request is sent.
func (q *admissionQueue) dispatched(now time.Duration) {
	updateMean(&q.dispatchInterval, float64(now-q.lastDispatchAt), intervalWeight)
	q.lastDispatchAt = now
}

// updateOrder decides whether the queue is overloaded, and sorts it anew if that has changed. expired reports that a
// request was just dropped at its sendBy. Overload begins with the first such request, if requests are queued faster
// than they are sent. It ends once all waiting requests can be sent before the earliest sendBy. Predicting the loss
// from the time between slots did worse in bursts, and so did waiting for more losses.
func (q *admissionQueue) updateOrder(now time.Duration, expired bool) {
	slotInterval := max(q.dispatchInterval, float64(now-q.lastDispatchAt))
	queueingInterval := max(q.queueingInterval, float64(now-q.lastFullAt))
	expired = expired && queueingInterval < slotInterval
	overloaded := expired
	if q.overloaded && !expired {
		overloaded = slotInterval*float64(len(q.waiting)) > q.timeToFirstDue(now)
	}
	if overloaded != q.overloaded {
		q.overloaded = overloaded
		slices.SortStableFunc(q.waiting, q.compare)
	}
}

// timeToFirstDue returns the time until the earliest sendBy in the queue, in ns; +Inf if the queue is empty.
func (q *admissionQueue) timeToFirstDue(now time.Duration) float64 {
	soonest := math.Inf(1)
	for _, req := range q.waiting {
		soonest = min(soonest, float64(req.sendBy-now))
	}
	return soonest
}

// dispatchQueued sends queued requests while slots are free, and rejects or fails those whose sendBy has passed. When a
// request without attempts finds no slot, there is none for later ones either, so they are not tried.
func (b *Balancer) dispatchQueued(now time.Duration) {
	kept := b.queue.waiting[:0]
	blocked, expired := false, false
	for _, req := range b.queue.waiting {
		if req.done {
			continue
		}
		if now >= req.sendBy {
			expired = true
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
	b.queue.updateOrder(now, expired)
}

// dispatch sends a queued request if it finds a slot.
func (b *Balancer) dispatch(req *request, now time.Duration) (sent bool) {
	upstream, _ := b.pickUpstream(req, now)
	if upstream == nil {
		return false
	}
	b.queue.dispatched(now)
	b.send(req, upstream, now)
	return true
}

// retryAfter returns the Retry-After of a rejected request: the time until the queue has probably been served and some
// upstream may be sent an attempt, at most Limits.MaxRetryAfter.
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

// QueueLength returns how many requests wait for a slot.
func (b *Balancer) QueueLength() int { return len(b.queue.waiting) }
