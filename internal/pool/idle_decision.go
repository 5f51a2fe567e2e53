package pool

import "time"

// idleDecision is what a loop does while it has no events.
type idleDecision uint8

const (
	// keepRunning keeps the goroutine, which waits for the next event or timer.
	keepRunning idleDecision = iota
	// parkLoop ends the goroutine until the next event or timer.
	parkLoop
	// releaseAndPark releases the balancer and the endpoints, and ends the goroutine until the next event.
	releaseAndPark
)

// idleConditions determine an idleDecision. Times are on the loop's clock; 0: none.
type idleConditions struct {
	// suspendable: the settings allow parking the loop, and neither the loop nor the balancer has work to do.
	suspendable bool
	// hasConnections: connections are open.
	hasConnections bool
	// unused: no request or timer needs the balancer, and its endpoints are few enough that a request can wait
	// until it is created again.
	unused bool

	nextTimerAt     time.Duration
	nextIdleCloseAt time.Duration // when the next idle connection is to be closed
	releaseAt       time.Duration // when the balancer has been unused for balancerIdleTimeout
}

// decide returns what the loop does now, and when it has to continue even without an event; 0: no such time. From
// releaseAt on, decide calls nextDue for the time until which the balancer has state that must not be lost. The
// balancer is released if that time has passed.
func (c idleConditions) decide(
	now time.Duration, nextDue func() time.Duration,
) (decision idleDecision, at time.Duration) {
	if !c.suspendable {
		return keepRunning, 0
	}
	at = c.nextTimerAt
	switch {
	case c.hasConnections:
		at = earlier(at, c.nextIdleCloseAt)
	case c.unused:
		releaseAt := c.releaseAt
		if now >= releaseAt {
			releaseAt = nextDue()
		}
		if now >= releaseAt {
			return releaseAndPark, 0
		}
		at = earlier(at, releaseAt)
	}
	if at > 0 && at-now < minParkTime {
		return keepRunning, at
	}
	return parkLoop, at
}

// earlier returns the earlier of two times, where 0 stands for no time.
func earlier(x, y time.Duration) time.Duration {
	if x == 0 || y == 0 {
		return max(x, y)
	}
	return min(x, y)
}
