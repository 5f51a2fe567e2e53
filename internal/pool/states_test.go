package pool

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/sharedlimit"
	"olivearch/internal/upstream"
)

// TestRequestStates checks the state after each change in each state.
func TestRequestStates(t *testing.T) {
	cases := []struct {
		state  requestState
		change requestChange
		want   requestState
	}{
		{requestOpen, finalResponseSent, requestClosed},
		{requestOpen, clientDeparted, requestClosed},
		{requestOpen, outcomesReported, requestOpen},
		{requestClosed, finalResponseSent, requestClosed},
		{requestClosed, clientDeparted, requestClosed},
		{requestClosed, outcomesReported, requestReleased},
		{requestReleased, finalResponseSent, requestReleased},
		{requestReleased, clientDeparted, requestReleased},
		{requestReleased, outcomesReported, requestReleased},
	}
	for _, c := range cases {
		want(t, fmt.Sprintf("state %d after change %d", c.state, c.change), c.state.after(c.change), c.want)
	}
}

// TestAttemptStates checks the state after each change in each state, and in which states an outcome has been reported.
func TestAttemptStates(t *testing.T) {
	cases := []struct {
		state  attemptState
		change attemptChange
		want   attemptState
	}{
		{attemptPending, responseHeadReceived, attemptStreaming},
		{attemptPending, waitStopped, attemptAbandoned},
		{attemptPending, connectionDenied, attemptEnded},
		{attemptPending, connectionReturned, attemptEnded},
		{attemptStreaming, responseHeadReceived, attemptStreaming},
		{attemptStreaming, waitStopped, attemptStreaming},
		{attemptStreaming, connectionDenied, attemptStreaming},
		{attemptStreaming, connectionReturned, attemptEnded},
		{attemptAbandoned, responseHeadReceived, attemptAbandoned},
		{attemptAbandoned, waitStopped, attemptAbandoned},
		{attemptAbandoned, connectionDenied, attemptAbandoned},
		{attemptAbandoned, connectionReturned, attemptEnded},
		{attemptEnded, responseHeadReceived, attemptEnded},
		{attemptEnded, waitStopped, attemptEnded},
		{attemptEnded, connectionDenied, attemptEnded},
		{attemptEnded, connectionReturned, attemptEnded},
	}
	for _, c := range cases {
		got := c.state.after(c.change)
		want(t, fmt.Sprintf("state %d after change %d", c.state, c.change), got, c.want)
		want(t, fmt.Sprintf("state %d after change %d: reported", c.state, c.change), got.reported(), true)
	}
	want(t, "a pending attempt: reported", attemptPending.reported(), false)
}

// TestEndpointStates: an active endpoint is draining for each condition that excludes it from requests; any other
// listed state is kept.
func TestEndpointStates(t *testing.T) {
	cases := []struct {
		conditions endpointConditions
		want       balancer.State
	}{
		{endpointConditions{listed: balancer.Active}, balancer.Active},
		{endpointConditions{listed: balancer.Active, allotmentUnknown: true}, balancer.Draining},
		{endpointConditions{listed: balancer.Active, drainsElsewhere: true}, balancer.Draining},
		{endpointConditions{listed: balancer.Active, outOfService: true}, balancer.Draining},
		{endpointConditions{listed: balancer.Draining}, balancer.Draining},
		{endpointConditions{listed: balancer.Draining, outOfService: true}, balancer.Draining},
		{endpointConditions{listed: balancer.Removed}, balancer.Removed},
		{endpointConditions{listed: balancer.Removed, outOfService: true}, balancer.Removed},
		{
			endpointConditions{listed: balancer.Removed, allotmentUnknown: true, drainsElsewhere: true},
			balancer.Removed,
		},
	}
	for _, c := range cases {
		want(t, fmt.Sprintf("%+v", c.conditions), c.conditions.state(), c.want)
	}
}

// fakeConn is an idle connection to an address.
type fakeConn struct {
	upstream.Conn
	address  string
	reuseErr error
}

func (c *fakeConn) Address() string { return c.address }
func (c *fakeConn) Reuse() error    { return c.reuseErr }

// TestConnectionDispositions checks what is done with a connection after use.
func TestConnectionDispositions(t *testing.T) {
	const address = "127.0.0.1:1"
	reusable := &fakeConn{address: address}
	broken := &fakeConn{address: address, reuseErr: errors.New("reset")}
	allotted := sharedlimit.Allotment{Connections: 2}
	cases := []struct {
		name     string
		endpoint endpoint
		conn     upstream.Conn
		want     connectionDisposition
	}{
		{"reusable", endpoint{address: address, connections: 9}, reusable, connectionIdle},
		{"closed", endpoint{address: address}, nil, connectionLost},
		{
			"within the allotment",
			endpoint{address: address, connections: 2, allotment: allotted},
			reusable, connectionIdle,
		},
		{
			"beyond the allotment",
			endpoint{address: address, connections: 3, allotment: allotted},
			reusable, connectionSurplus,
		},
		{
			"closed, beyond the allotment",
			endpoint{address: address, connections: 3, allotment: allotted},
			nil, connectionLost,
		},
		{
			"to a draining endpoint",
			endpoint{address: address, state: balancer.Draining},
			reusable, connectionOutdated,
		},
		{
			"to a removed endpoint",
			endpoint{address: address, state: balancer.Removed},
			reusable, connectionOutdated,
		},
		{"to an earlier address", endpoint{address: "127.0.0.1:2"}, reusable, connectionOutdated},
		{"not reusable", endpoint{address: address}, broken, connectionBroken},
	}
	for _, c := range cases {
		want(t, c.name, c.endpoint.afterUse(c.conn), c.want)
	}
}

// TestIdleDecisions checks what a loop without events does at the time 1 s on its clock.
func TestIdleDecisions(t *testing.T) {
	const now = time.Second
	soon, late := now+minParkTime/2, now+time.Minute
	cases := []struct {
		name       string
		conditions idleConditions
		nextDue    time.Duration // result of Balancer.KeepUntil
		decision   idleDecision
		at         time.Duration
	}{
		{"work to do", idleConditions{nextTimerAt: late}, 0, keepRunning, 0},
		{"nothing scheduled", idleConditions{suspendable: true}, 0, parkLoop, 0},
		{"a timer soon", idleConditions{suspendable: true, nextTimerAt: soon}, 0, keepRunning, soon},
		{"a timer late", idleConditions{suspendable: true, nextTimerAt: late}, 0, parkLoop, late},
		{
			"an idle connection is closed before the timer",
			idleConditions{
				suspendable: true, hasConnections: true, nextTimerAt: late, nextIdleCloseAt: soon,
			},
			0, keepRunning, soon,
		},
		{
			"a connection in use, and a timer",
			idleConditions{suspendable: true, hasConnections: true, nextTimerAt: late},
			0, parkLoop, late,
		},
		{
			"a connection in use, and the balancer to be released now",
			idleConditions{suspendable: true, hasConnections: true, unused: true, releaseAt: now},
			0, parkLoop, 0,
		},
		{
			"unused, to be released late",
			idleConditions{suspendable: true, unused: true, releaseAt: late},
			0, parkLoop, late,
		},
		{
			"unused, to be released soon",
			idleConditions{suspendable: true, unused: true, releaseAt: soon},
			0, keepRunning, soon,
		},
		{
			"unused, to be released now",
			idleConditions{suspendable: true, unused: true, releaseAt: now},
			now, releaseAndPark, 0,
		},
		{
			"unused, to be released now, but the balancer must keep its state",
			idleConditions{suspendable: true, unused: true, releaseAt: now},
			late, parkLoop, late,
		},
	}
	for _, c := range cases {
		decision, at := c.conditions.decide(now, func() time.Duration { return c.nextDue })
		want(t, c.name+": decision", decision, c.decision)
		want(t, c.name+": at", at, c.at)
	}
}

// TestIdleConnections checks which connections are taken, and which are left.
func TestIdleConnections(t *testing.T) {
	const timeout = 10 * time.Millisecond
	delay := restTimes{anonymous: 2 * time.Millisecond}
	connectionsSince := func(times ...time.Duration) (idle idleConnections, added []*connection) {
		for _, since := range times {
			c := newConnection(0, 0)
			c.last = anonymous
			idle.add(c, since)
			added = append(added, c)
		}
		return idle, added
	}
	idle, added := connectionsSince(1*time.Millisecond, 3*time.Millisecond, 5*time.Millisecond)
	want(t, "ready at 6 ms: the last used before 4 ms", idle.takeReady(6*time.Millisecond, delay), added[1])
	want(t, "ready at 2 ms: none", idle.takeReady(2*time.Millisecond, delay), (*connection)(nil))
	want(t, "ready with no delay: the last used", idle.takeReady(5*time.Millisecond, restTimes{}), added[2])
	want(t, "oldest", idle.oldest(), added[0])
	want(t, "oldest taken", idle.takeOldest(), added[0])
	want(t, "oldest of an empty list", idle.oldest(), (*connection)(nil))
	want(t, "oldest taken from an empty list", idle.takeOldest(), (*connection)(nil))

	idle, added = connectionsSince(1*time.Millisecond, 3*time.Millisecond, 5*time.Millisecond)
	want(t, "expired at 5 ms", len(idle.takeExpired(5*time.Millisecond, timeout)), 0)
	expired := idle.takeExpired(13*time.Millisecond, timeout)
	want(t, "expired at 13 ms", len(expired), 2)
	want(t, "first expired", expired[0], added[0])
	want(t, "oldest left", idle.oldest(), added[2])
	want(t, "all taken", len(idle.takeAll()), 1)
	want(t, "all taken from an empty list", len(idle.takeAll()), 0)
}

// TestTimerOrder: timers expire in the order of their times, those with the same time in the order in which they were
// scheduled, and cancelled timers never.
func TestTimerOrder(t *testing.T) {
	var queue timerQueue
	late, first, second, cancelled := &timer{at: 3}, &timer{at: 2}, &timer{at: 2}, &timer{at: 1}
	for _, scheduled := range []*timer{late, first, second, cancelled} {
		queue.schedule(scheduled)
	}
	queue.cancel(cancelled)
	queue.cancel(cancelled)
	queue.cancel(&timer{})
	at, scheduled := queue.nextAt()
	want(t, "next at", at, time.Duration(2))
	want(t, "scheduled", scheduled, true)
	want(t, "expired at 1", queue.popExpired(1), (*timer)(nil))
	want(t, "first", queue.popExpired(3), first)
	want(t, "second", queue.popExpired(3), second)
	want(t, "third", queue.popExpired(3), late)
	_, scheduled = queue.nextAt()
	want(t, "scheduled at the end", scheduled, false)
}
