package fleet

import (
	"sync"
	"time"
)

const (
	// tickInterval is the time between two ticks of a processClock.
	tickInterval = 5 * time.Millisecond
	// tickSlack is how much later a tick may come without the process counting as held up.
	tickSlack = 20 * time.Millisecond
)

// processClock is a clock that stands still while its process is held up: stopped, or without a processor. What clients
// and nodes of this process see then is late by that time, which says nothing of the balancer.
type processClock struct {
	mu       sync.Mutex
	tickedAt time.Time     // when the last tick came
	elapsed  time.Duration // on this clock at the last tick
	stop     chan struct{}
	stopOnce sync.Once
}

// newProcessClock starts a clock at zero. It runs until stopTicking is called.
func newProcessClock() *processClock {
	clock := &processClock{tickedAt: time.Now(), stop: make(chan struct{})}
	go clock.run()
	return clock
}

func (c *processClock) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.tick(time.Now())
		case <-c.stop:
			return
		}
	}
}

// stopTicking ends the goroutine of the clock, whose time then stands still.
func (c *processClock) stopTicking() { c.stopOnce.Do(func() { close(c.stop) }) }

// tick records that the process runs.
func (c *processClock) tick(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.elapsed = c.at(at)
	c.tickedAt = at
}

// now returns the time since the start for which the process has run.
func (c *processClock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at(time.Now())
}

// at returns the time on this clock. The caller holds the lock.
func (c *processClock) at(now time.Time) time.Duration {
	return c.elapsed + min(now.Sub(c.tickedAt), tickInterval+tickSlack)
}
