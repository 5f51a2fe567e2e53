package pool

import (
	"time"

	"olivearch/balancer"
)

// A pool without requests costs almost nothing. Its loop is parked: it has no goroutine, only a timer if something is
// due, and the mailbox starts the goroutine when an event arrives. A pool that has had no request, or none for
// balancerIdleTimeout, is dormant: it also has no balancer, only its endpoint list and the state that must not be lost
// (dormantState). A pool with so many endpoints that its first request would wait too long for the balancer gets its
// balancer together with the list, and keeps it.

const (
	// defaultBalancerIdleTimeout is how long a pool without requests and connections keeps its balancer. Creating
	// one takes about 1 µs per endpoint, which would show in the response times of a pool that is used more often
	// than this.
	defaultBalancerIdleTimeout = time.Minute
	// defaultMaxLazyEndpoints is the maximum number of endpoints of a pool whose balancer is created for its first
	// request. Creating it then takes about half of the 1.1 ms that this request may wait.
	defaultMaxLazyEndpoints = 512
	// minParkTime is the shortest time to the next timer for which the goroutine is ended: for less, ending and
	// starting it again costs more than it saves.
	minParkTime = 10 * time.Millisecond
)

// suspension is the state of parking the loop and releasing its balancer. The loop owns it.
type suspension struct {
	balancerIdleTimeout time.Duration
	maxLazyEndpoints    int
	unusedSince         time.Duration // since when there is no request and no connection; 0: in use, or unknown
	nextCheckAt         time.Duration // the goroutine stays until a check that is due soon; 0: none
	wakeTimer           *time.Timer   // starts the goroutine of a parked loop; nil: not needed so far
	beforePark          func()        // test hook, called between the last check for events and the goroutine's end

	dormant   dormantState // valid while there is no balancer
	seed      uint64       // for the first balancer; each later one adds 1
	creations uint64       // number of balancers created so far
}

func newSuspension(seed uint64) suspension {
	return suspension{
		balancerIdleTimeout: defaultBalancerIdleTimeout,
		maxLazyEndpoints:    defaultMaxLazyEndpoints,
		seed:                seed,
	}
}

// canSuspend reports whether the loop may be parked and its balancer released. A balancer that polls discovery or sends
// health checks has to keep running.
func (l *loop) canSuspend() bool {
	polls := l.settings.PollDiscovery || l.settings.Reports == balancer.ReportHealthChecks
	return l.settings.SuspendWhenIdle && !polls
}

// decideIdle returns what the loop does while it has no events, and when it has to continue without one; 0: no such
// time.
func (l *loop) decideIdle(now time.Duration) (decision idleDecision, at time.Duration) {
	hasWork := len(l.pendingOutcomes) > 0 || (l.hasBalancer() && !l.balancer.Suspended())
	conditions := idleConditions{suspendable: l.canSuspend() && !hasWork}
	if !conditions.suspendable {
		return conditions.decide(now, nil)
	}
	conditions.nextTimerAt, _ = l.timers.nextAt()
	conditions.hasConnections = l.connections.open > 0
	if conditions.hasConnections {
		conditions.nextIdleCloseAt = l.nextIdleCloseAt()
	} else {
		conditions.unused = l.balancerUnused()
	}
	if conditions.unused {
		if l.suspension.unusedSince == 0 {
			l.suspension.unusedSince = now
		}
		conditions.releaseAt = l.suspension.unusedSince + l.suspension.balancerIdleTimeout
	}
	return conditions.decide(now, func() time.Duration { return l.balancer.KeepUntil(now) })
}

// balancerUnused reports whether no request or timer needs the balancer, and a request can wait for a new one.
func (l *loop) balancerUnused() bool {
	isNeeded := len(l.requests) > 0 || !l.timers.isEmpty()
	return l.hasBalancer() && !isNeeded && len(l.endpoints) <= l.suspension.maxLazyEndpoints
}

// park ends the goroutine until an event arrives or a timer is due. It returns false if the goroutine has to continue.
func (l *loop) park() bool {
	now := l.now()
	decision, at := l.decideIdle(now)
	l.suspension.nextCheckAt = 0
	switch decision {
	case keepRunning:
		l.suspension.nextCheckAt = at
		return false
	case releaseAndPark:
		l.releaseBalancer(now)
	}
	l.publishGauges()
	if at > 0 {
		l.startWakeTimer(at - now)
	}
	if l.suspension.beforePark != nil {
		l.suspension.beforePark()
	}
	return l.mailbox.stopConsuming()
}

// startWakeTimer makes the mailbox start the goroutine after a delay.
func (l *loop) startWakeTimer(after time.Duration) {
	if l.suspension.wakeTimer == nil {
		l.suspension.wakeTimer = time.AfterFunc(after, l.mailbox.wake)
		return
	}
	l.suspension.wakeTimer.Reset(after)
}

// stopWakeTimer stops the timer that wakes a parked loop.
func (l *loop) stopWakeTimer() {
	if l.suspension.wakeTimer != nil {
		l.suspension.wakeTimer.Stop()
	}
}
