package pool

import "time"

// idleDecision is what a loop does that has no event to handle.
type idleDecision uint8

const (
	// stayAwake keeps the goroutine, which waits for the next event or timer.
	stayAwake idleDecision = iota
	// parkLoop ends the goroutine until the next event or timer.
	parkLoop
	// releaseAndPark lets go of the balancer and its endpoints, and then ends the goroutine until the next event.
	releaseAndPark
)

// idleFacts are what an idleDecision goes by. Times are on the loop's clock; 0: there is none.
type idleFacts struct {
	// suspendable: the settings let the loop be parked, and neither the loop nor the balancer has work to do.
	suspendable bool
	// hasConnections: connections are open.
	hasConnections bool
	// unused: no request, connection or timer needs the balancer, and its endpoints are few enough to create it for a
	// request.
	unused bool

	nextTimerAt     time.Duration
	nextIdleCloseAt time.Duration // when the first idle connection is to be closed
	releaseAt       time.Duration // when an unused balancer has been so for long enough
}

// decide returns what the loop does at a time, and when it has to go on with no event. nextDue is called for a balancer
// that has been unused for long enough: when it has to be called next; a time that has come means that it may be
// released.
func (f idleFacts) decide(now time.Duration, nextDue func() time.Duration) (decision idleDecision, at time.Duration) {
	if !f.suspendable {
		return stayAwake, 0
	}
	at = f.nextTimerAt
	switch {
	case f.hasConnections:
		at = earlier(at, f.nextIdleCloseAt)
	case f.unused:
		releaseAt := f.releaseAt
		if now >= releaseAt {
			releaseAt = nextDue()
		}
		if now >= releaseAt {
			return releaseAndPark, 0
		}
		at = earlier(at, releaseAt)
	}
	if at > 0 && at-now < minParkTime {
		return stayAwake, at
	}
	return parkLoop, at
}

// earlier is the earlier of two times; 0: there is none.
func earlier(x, y time.Duration) time.Duration {
	if x == 0 || y == 0 {
		return max(x, y)
	}
	return min(x, y)
}
