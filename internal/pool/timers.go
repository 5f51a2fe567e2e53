package pool

import (
	"container/heap"
	"time"
)

// timer is a timer of the balancer, the deadline of a request or the time-out of an attempt, depending on which of
// token, request and attempt is set.
type timer struct {
	at       time.Duration // on the loop's clock
	sequence uint64        // orders timers with the same time by when they were scheduled
	token    uint64        // argument of Balancer.TimerFired, if request and attempt are nil
	request  *Request
	attempt  *attempt

	heapIndex int // -1: not scheduled any more
}

// timerQueue holds the scheduled timers, ordered by time. The timers of a request are cancelled as soon as they are not
// needed: if they stayed until they expire, all requests that arrived within the longest deadline would stay in memory.
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

// cancel removes a timer if it is scheduled. A timer that was never scheduled has a zero time.
func (q *timerQueue) cancel(t *timer) {
	wasScheduled := t.at > 0
	if wasScheduled && t.heapIndex >= 0 {
		heap.Remove(&q.heap, t.heapIndex)
	}
}

// popExpired removes and returns the next timer that has expired by now, nil if none has.
func (q *timerQueue) popExpired(now time.Duration) *timer {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return nil
	}
	return heap.Pop(&q.heap).(*timer)
}

// peekExpired returns the next timer that has expired by now, nil if none has.
func (q *timerQueue) peekExpired(now time.Duration) *timer {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return nil
	}
	return q.heap[0]
}

// isEmpty reports whether no timer is scheduled.
func (q *timerQueue) isEmpty() bool { return len(q.heap) == 0 }

// nextAt returns when the next timer expires, and false if none is scheduled.
func (q *timerQueue) nextAt() (at time.Duration, scheduled bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// timerHeap implements heap.Interface, ordered by time.
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
