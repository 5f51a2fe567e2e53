package pool

import (
	"container/heap"
	"time"
)

// timer is a timer of the balancer's, a request's deadline or an attempt's time-out. Exactly one of token, request and
// attempt says which.
type timer struct {
	at       time.Duration // on the loop's clock
	sequence uint64        // timers of one moment expire in the order in which they were scheduled
	token    uint64        // the balancer's, if request and attempt are nil
	request  *Request
	attempt  *attempt

	heapIndex int // -1: it is not scheduled
}

// timerQueue holds the scheduled timers by time. A request's timers are cancelled as soon as it is closed: left until
// they expire, they would keep the memory of all requests that came within the longest deadline.
type timerQueue struct {
	heap         timerHeap
	lastSequence uint64
}

// schedule adds a timer.
func (q *timerQueue) schedule(t *timer) {
	q.lastSequence++
	t.sequence = q.lastSequence
	heap.Push(&q.heap, t)
}

// cancel removes a timer, if it is scheduled.
func (q *timerQueue) cancel(t *timer) {
	wasScheduled := t.at > 0
	if wasScheduled && t.heapIndex >= 0 {
		heap.Remove(&q.heap, t.heapIndex)
	}
}

// popExpired removes and returns the next timer that has expired by now; nil if none has.
func (q *timerQueue) popExpired(now time.Duration) *timer {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return nil
	}
	return heap.Pop(&q.heap).(*timer)
}

// isEmpty reports whether no timer is scheduled.
func (q *timerQueue) isEmpty() bool { return len(q.heap) == 0 }

// nextAt is when the next timer expires; false: none is scheduled.
func (q *timerQueue) nextAt() (at time.Duration, scheduled bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// timerHeap implements heap.Interface.
type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *timerHeap) Push(x any) {
	added := x.(*timer)
	added.heapIndex = len(*h)
	*h = append(*h, added)
}

func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	removed := old[last]
	removed.heapIndex = -1
	old[last] = nil
	*h = old[:last]
	return removed
}
