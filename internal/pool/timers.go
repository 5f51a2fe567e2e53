package pool

import (
	"container/heap"
	"time"
)

// timer is a timer of the module's, a request's deadline, or an attempt's time-out.
type timer struct {
	at        time.Duration
	serial    uint64 // alarms of one moment go off in the order they were set
	token     uint64
	request   *Request
	attempt   *attempt
	heapIndex int // in the heap; -1: it is not there
}

// timerQueue are those that are set. Those of requests are taken out as soon as they are closed: left until they go off, they would
// keep the memory of all that came within the longest deadline.
type timerQueue struct {
	heap   timerHeap
	serial uint64
}

// schedule adds an alarm.
func (a *timerQueue) schedule(x *timer) {
	a.serial++
	x.serial = a.serial
	heap.Push(&a.heap, x)
}

// cancel takes an alarm out, if it is set.
func (a *timerQueue) cancel(x *timer) {
	if x.at > 0 && x.heapIndex >= 0 {
		heap.Remove(&a.heap, x.heapIndex)
	}
}

// popExpired takes out the next alarm that has gone off by now; nil if none has.
func (a *timerQueue) popExpired(now time.Duration) *timer {
	if len(a.heap) == 0 || a.heap[0].at > now {
		return nil
	}
	return heap.Pop(&a.heap).(*timer)
}

// nextAt is when the next alarm goes off, if any is set.
func (a *timerQueue) nextAt() (at time.Duration, some bool) {
	if len(a.heap) == 0 {
		return 0, false
	}
	return a.heap[0].at, true
}

type timerHeap []*timer

func (a timerHeap) Len() int { return len(a) }
func (a timerHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].serial < a[j].serial)
}

func (a timerHeap) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].heapIndex, a[j].heapIndex = i, j
}

func (a *timerHeap) Push(x any) {
	x.(*timer).heapIndex = len(*a)
	*a = append(*a, x.(*timer))
}

func (a *timerHeap) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1], x.heapIndex = nil, -1
	*a = old[:len(old)-1]
	return x
}
