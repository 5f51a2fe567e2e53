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

// TestRequestStates: which state follows from each state by each change.
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

// TestAttemptStates: which state follows from each state by each change, and in which of them the balancer has had an
// outcome.
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

// TestEndpointStates: an active endpoint drains for each reason that keeps it from requests; other states stay as they
// are listed.
func TestEndpointStates(t *testing.T) {
	cases := []struct {
		facts endpointFacts
		want  balancer.State
	}{
		{endpointFacts{listed: balancer.Active}, balancer.Active},
		{endpointFacts{listed: balancer.Active, allotmentUnknown: true}, balancer.Draining},
		{endpointFacts{listed: balancer.Active, drainsElsewhere: true}, balancer.Draining},
		{endpointFacts{listed: balancer.Active, outOfService: true}, balancer.Draining},
		{endpointFacts{listed: balancer.Draining}, balancer.Draining},
		{endpointFacts{listed: balancer.Draining, outOfService: true}, balancer.Draining},
		{endpointFacts{listed: balancer.Removed}, balancer.Removed},
		{endpointFacts{listed: balancer.Removed, outOfService: true}, balancer.Removed},
		{
			endpointFacts{listed: balancer.Removed, allotmentUnknown: true, drainsElsewhere: true},
			balancer.Removed,
		},
	}
	for _, c := range cases {
		want(t, fmt.Sprintf("%+v", c.facts), c.facts.state(), c.want)
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

// TestConnectionFates: what becomes of a connection after use.
func TestConnectionFates(t *testing.T) {
	const address = "127.0.0.1:1"
	reusable := &fakeConn{address: address}
	broken := &fakeConn{address: address, reuseErr: errors.New("reset")}
	allotted := sharedlimit.Allotment{Connections: 2}
	cases := []struct {
		name     string
		endpoint endpoint
		conn     upstream.Conn
		want     connectionFate
	}{
		{"reusable", endpoint{address: address, connections: 9}, reusable, connectionIdle},
		{"closed", endpoint{address: address}, nil, connectionLost},
		{"in the allotment", endpoint{address: address, connections: 2, allotment: allotted}, reusable, connectionIdle},
		{"beyond it", endpoint{address: address, connections: 3, allotment: allotted}, reusable, connectionSurplus},
		{"closed, beyond it", endpoint{address: address, connections: 3, allotment: allotted}, nil, connectionLost},
		{"to an endpoint that drains", endpoint{address: address, state: balancer.Draining}, reusable, connectionOutdated},
		{"to a removed endpoint", endpoint{address: address, state: balancer.Removed}, reusable, connectionOutdated},
		{"to an earlier address", endpoint{address: "127.0.0.1:2"}, reusable, connectionOutdated},
		{"not reusable", endpoint{address: address}, broken, connectionBroken},
	}
	for _, c := range cases {
		want(t, c.name, c.endpoint.afterUse(c.conn), c.want)
	}
}

// TestIdleDecisions: what a loop does that has no event to handle, at a second on its clock.
func TestIdleDecisions(t *testing.T) {
	const now = time.Second
	soon, late := now+minParkTime/2, now+time.Minute
	cases := []struct {
		name     string
		facts    idleFacts
		nextDue  time.Duration // the balancer's
		decision idleDecision
		at       time.Duration
	}{
		{"work to do", idleFacts{nextTimerAt: late}, 0, stayAwake, 0},
		{"nothing ever", idleFacts{suspendable: true}, 0, parkLoop, 0},
		{"a timer soon", idleFacts{suspendable: true, nextTimerAt: soon}, 0, stayAwake, soon},
		{"a timer late", idleFacts{suspendable: true, nextTimerAt: late}, 0, parkLoop, late},
		{
			"an idle connection ends before the timer",
			idleFacts{suspendable: true, hasConnections: true, nextTimerAt: late, nextIdleCloseAt: soon},
			0, stayAwake, soon,
		},
		{
			"a connection in use, and a timer",
			idleFacts{suspendable: true, hasConnections: true, nextTimerAt: late},
			0, parkLoop, late,
		},
		{
			"a connection in use, though unused for long enough",
			idleFacts{suspendable: true, hasConnections: true, unused: true, releaseAt: now},
			0, parkLoop, 0,
		},
		{"unused for a moment", idleFacts{suspendable: true, unused: true, releaseAt: late}, 0, parkLoop, late},
		{"unused, to be released soon", idleFacts{suspendable: true, unused: true, releaseAt: soon}, 0, stayAwake, soon},
		{"unused for long enough", idleFacts{suspendable: true, unused: true, releaseAt: now}, now, releaseAndPark, 0},
		{
			"unused for long enough, but the balancer has to go on",
			idleFacts{suspendable: true, unused: true, releaseAt: now},
			late, parkLoop, late,
		},
	}
	for _, c := range cases {
		decision, at := c.facts.decide(now, func() time.Duration { return c.nextDue })
		want(t, c.name+": decision", decision, c.decision)
		want(t, c.name+": at", at, c.at)
	}
}

// TestIdleConnections: which connection is taken, and which are left.
func TestIdleConnections(t *testing.T) {
	const delay, timeout = 2 * time.Millisecond, 10 * time.Millisecond
	connectionsSince := func(times ...time.Duration) (idle idleConnections, added []*connection) {
		for _, since := range times {
			c := newConnection()
			idle.add(c, since)
			added = append(added, c)
		}
		return idle, added
	}
	idle, added := connectionsSince(1*time.Millisecond, 3*time.Millisecond, 5*time.Millisecond)
	want(t, "ready at 6 ms: the last that waited out the delay", idle.takeReady(6*time.Millisecond, delay), added[1])
	want(t, "ready at 2 ms: none", idle.takeReady(2*time.Millisecond, delay), (*connection)(nil))
	want(t, "ready with no delay: the last used", idle.takeReady(5*time.Millisecond, 0), added[2])
	want(t, "oldest", idle.oldest(), added[0])
	want(t, "oldest taken", idle.takeOldest(), added[0])
	want(t, "oldest of none", idle.oldest(), (*connection)(nil))
	want(t, "oldest taken of none", idle.takeOldest(), (*connection)(nil))

	idle, added = connectionsSince(1*time.Millisecond, 3*time.Millisecond, 5*time.Millisecond)
	want(t, "expired at 5 ms", len(idle.takeExpired(5*time.Millisecond, timeout)), 0)
	expired := idle.takeExpired(13*time.Millisecond, timeout)
	want(t, "expired at 13 ms", len(expired), 2)
	want(t, "the first of them", expired[0], added[0])
	want(t, "left", idle.oldest(), added[2])
	want(t, "all that are left", len(idle.takeAll()), 1)
	want(t, "all of none", len(idle.takeAll()), 0)
}

// TestTimerOrder: timers expire by time, those of one moment in the order in which they were scheduled, and cancelled
// ones never.
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
