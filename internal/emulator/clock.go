package emulator

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment of simulated time.
type event struct {
	at     time.Duration
	serial uint64 // events of one moment happen in the order in which they were set
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].serial < e[j].serial)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// clock is simulated time with what is still to happen.
type clock struct {
	now    time.Duration
	serial uint64
	queue  events
}

// after lets something happen later; a time below zero is now.
func (c *clock) after(d time.Duration, do func()) {
	c.serial++
	heap.Push(&c.queue, event{c.now + max(0, d), c.serial, do})
}

// run lets things happen until a moment.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}
