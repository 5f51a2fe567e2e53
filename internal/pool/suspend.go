package pool

import (
	"time"

	"olivearch/balancer"
)

// A pool without requests costs next to nothing. It is parked: it has no goroutine and no timer that has nothing to do,
// and its mailbox starts the goroutine when an event comes. A pool that has had no request, or none for a while, is
// dormant: it has no balancer either, only its list as it came and what must not be forgotten. A pool of so many
// endpoints that its first request would wait for the balancer gets one with its list, and keeps it.

const (
	// defaultBalancerIdleTimeout is how long a pool without requests and connections keeps its balancer. To create one
	// takes about a microsecond an endpoint: in a pool that is used more often than this the response times would show it.
	defaultBalancerIdleTimeout = time.Minute
	// defaultMaxLazyEndpoints is how many endpoints a pool may have whose balancer is created for its first request, which
	// may wait 1.1 ms in all: half of it.
	defaultMaxLazyEndpoints = 512
	// minParkTime is the time to the next timer from which on it pays to end the goroutine until then.
	minParkTime = 10 * time.Millisecond
)

// suspension is the state of parking the loop and releasing its balancer. The loop owns it.
type suspension struct {
	balancerIdleTimeout time.Duration
	maxLazyEndpoints    int
	unusedSince         time.Duration // since when there is no request and no connection; 0: there is, or not known
	nextCheckAt         time.Duration // the goroutine stays for what is due then, soon; 0: for nothing
	wakeTimer           *time.Timer   // starts the goroutine of a parked loop; nil: none yet
	beforePark          func()        // a test's, called between the last look for events and the goroutine's end

	dormant   dormantState // counts while there is no balancer
	seed      uint64       // of the first balancer
	creations uint64       // balancers so far
}

func newSuspension(seed uint64) suspension {
	return suspension{
		balancerIdleTimeout: defaultBalancerIdleTimeout,
		maxLazyEndpoints:    defaultMaxLazyEndpoints,
		seed:                seed,
	}
}

// canSuspend reports whether the loop may be parked and its balancer released. A balancer that polls discovery or
// checks the health of its endpoints has to go on.
func (l *loop) canSuspend() bool {
	polls := l.settings.PollDiscovery || l.settings.Reports == balancer.ReportHealthChecks
	return l.settings.SuspendWhenIdle && !polls
}

// decideIdle returns what the loop does while no event comes, and when it has to go on by itself; 0: it has not to.
func (l *loop) decideIdle(now time.Duration) (decision idleDecision, at time.Duration) {
	hasWork := len(l.pendingOutcomes) > 0 || (l.hasBalancer() && !l.balancer.Suspended())
	facts := idleFacts{suspendable: l.canSuspend() && !hasWork}
	if !facts.suspendable {
		return facts.decide(now, nil)
	}
	facts.nextTimerAt, _ = l.timers.nextAt()
	facts.hasConnections = l.connections.open > 0
	if facts.hasConnections {
		facts.nextIdleCloseAt = l.nextIdleCloseAt()
	} else {
		facts.unused = l.balancerUnused()
	}
	if facts.unused {
		if l.suspension.unusedSince == 0 {
			l.suspension.unusedSince = now
		}
		facts.releaseAt = l.suspension.unusedSince + l.suspension.balancerIdleTimeout
	}
	return facts.decide(now, func() time.Duration { return l.balancer.NextDue(now) })
}

// balancerUnused reports whether no request or timer needs the balancer, and a request's arrival may create it anew.
func (l *loop) balancerUnused() bool {
	isNeeded := len(l.requests) > 0 || !l.timers.isEmpty()
	return l.hasBalancer() && !isNeeded && len(l.endpoints) <= l.suspension.maxLazyEndpoints
}

// park ends the goroutine's turn until an event comes or a timer is due, if nothing is to be done before; false: the
// goroutine goes on.
func (l *loop) park() bool {
	now := l.now()
	decision, at := l.decideIdle(now)
	l.suspension.nextCheckAt = 0
	switch decision {
	case stayAwake:
		l.suspension.nextCheckAt = at
		return false
	case releaseAndPark:
		l.releaseBalancer(now)
	}
	l.publishLevels()
	if at > 0 {
		l.startWakeTimer(at - now)
	}
	if l.suspension.beforePark != nil {
		l.suspension.beforePark()
	}
	return l.mailbox.stopConsuming()
}

// startWakeTimer makes the mailbox start the goroutine after a time.
func (l *loop) startWakeTimer(after time.Duration) {
	if l.suspension.wakeTimer == nil {
		l.suspension.wakeTimer = time.AfterFunc(after, l.mailbox.wake)
		return
	}
	l.suspension.wakeTimer.Reset(after)
}

// stopWakeTimer stops the timer of a loop that was parked.
func (l *loop) stopWakeTimer() {
	if l.suspension.wakeTimer != nil {
		l.suspension.wakeTimer.Stop()
	}
}
