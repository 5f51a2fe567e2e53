package pool

import (
	"container/heap"
	"time"
)

// alarm is a timer of the module's, a request's deadline, or an attempt's time-out.
type alarm struct {
	at      time.Duration
	serial  uint64 // alarms of one moment go off in the order they were set
	token   uint64
	request *Request
	attempt *attempt
	place   int // in the heap; -1: it is not there
}

// alarms are those that are set. Those of requests are taken out as soon as they are closed: left until they go off, they would
// keep the memory of all that came within the longest deadline.
type alarms struct {
	heap   alarmHeap
	serial uint64
}

// set adds an alarm.
func (a *alarms) set(x *alarm) {
	a.serial++
	x.serial = a.serial
	heap.Push(&a.heap, x)
}

// unset takes an alarm out, if it is set.
func (a *alarms) unset(x *alarm) {
	if x.at > 0 && x.place >= 0 {
		heap.Remove(&a.heap, x.place)
	}
}

// due takes out the next alarm that has gone off by now; nil if none has.
func (a *alarms) due(now time.Duration) *alarm {
	if len(a.heap) == 0 || a.heap[0].at > now {
		return nil
	}
	return heap.Pop(&a.heap).(*alarm)
}

// next is when the next alarm goes off, if any is set.
func (a *alarms) next() (at time.Duration, some bool) {
	if len(a.heap) == 0 {
		return 0, false
	}
	return a.heap[0].at, true
}

type alarmHeap []*alarm

func (a alarmHeap) Len() int { return len(a) }
func (a alarmHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].serial < a[j].serial)
}

func (a alarmHeap) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].place, a[j].place = i, j
}

func (a *alarmHeap) Push(x any) {
	x.(*alarm).place = len(*a)
	*a = append(*a, x.(*alarm))
}

func (a *alarmHeap) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1], x.place = nil, -1
	*a = old[:len(old)-1]
	return x
}
