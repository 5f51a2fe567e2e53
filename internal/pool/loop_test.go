package pool

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
	"olivearch/internal/standin/scripted"
)

// TestStateDoesNotGrow replaces an endpoint thousands of times by one with a new id and the same address, each time
// with a new request. The loop must not keep state of the removed endpoints, nor use a connection that was opened under
// an earlier id.
func TestStateDoesNotGrow(t *testing.T) {
	server := scripted.Start(t, func(c net.Conn, r *http.Request) bool { return scripted.OK(c, requestID(r)) })
	go discardArrivals(server)
	h := newManualLoop(t, testSpec())
	const ids = 2000
	for i := range ids {
		h.updateEndpoints(uint64(i+100), upMember(fmt.Sprintf("s-%08x", i), server))
		name := fmt.Sprintf("%016x", i)
		response := h.request(name, 50*time.Millisecond)
		if response.Status != 200 || string(response.Body) != name {
			t.Fatalf("request %d: got %d, %q", i, response.Status, response.Body)
		}
	}
	want(t, "connections opened", server.Opened(), ids)
	want(t, "endpoints", len(h.endpoints), 1)
	want(t, "ids in the numbering", h.names.Len(), 1)
	want(t, "requests", len(h.requests), 0)
	want(t, "client request ids", len(h.clientRequestIDs.open), 0)
	want(t, "connections", h.connections.open, 1)
	for deadline := h.now() + 50*time.Millisecond; h.now() < deadline; {
		time.Sleep(time.Millisecond)
	}
	h.fireTimers()
	if left := len(h.timers.heap); left > 5 { // the balancer's own timers
		t.Errorf("%d timers are scheduled, want at most 5", left)
	}
	h.updateEndpoints(90000, drainingMember(upMember("s-0fffffff", server)))
	neverListed := discovery.Member{ID: "s-0ffffffe", Phase: "removed"}
	h.updateFrom(h.source.client, discovery.Listing{Revision: 90001, Members: []discovery.Member{neverListed}})
	want(t, "ids in the numbering after the removal of an endpoint that was never listed", h.names.Len(), 1)
}

// TestLongestIdleConnectionIsEvicted: at the connection limit a new connection replaces the one that has been idle
// longest, to whichever endpoint.
func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	one, two := scripted.Start(t, scripted.Own), scripted.Start(t, scripted.Own)
	h := newManualLoop(t, testSpec())
	h.connections.max = 1
	h.updateEndpoints(20, upMember("s-00000001", one))
	want(t, "first", h.request("1", time.Second).Status, 200)
	h.updateEndpoints(21, upMember("s-00000001", one), upMember("s-00000002", two))
	for i := 0; len(two.Arrivals) == 0; i++ {
		if i > 20 {
			t.Fatal("the second endpoint got no request")
		}
		want(t, "next", h.request(fmt.Sprint("a", i), time.Second).Status, 200)
		want(t, "connections", h.connections.open, 1)
	}
}

// TestLateSecondResponseIsNotForNextRequest: an endpoint sends a second response to the same request, in a separate
// segment. It must not be taken for the response to the next request.
func TestLateSecondResponseIsNotForNextRequest(t *testing.T) {
	copied := make(chan struct{}, 2)
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		scripted.OK(c, requestID(r))
		if requestID(r) == "1" {
			time.Sleep(distinctiveRest / 2) // after the response
			scripted.OK(c, "1")
			copied <- struct{}{}
		}
		return true
	})
	h := newManualLoop(t, testSpec())
	h.updateEndpoints(20, upMember("s-00000001", s))
	want(t, "first", string(h.request("1", time.Second).Body), "1")
	<-copied
	want(t, "second", string(h.request("2", time.Second).Body), "2")
	want(t, "connections opened", s.Opened(), 2)
}

// TestRestAfterUnsolicitedBytes: with onlyAfterUnsolicited a served connection is reused at once until an endpoint has
// sent unsolicited bytes. After that, a late second response is not taken for the response to the next request.
func TestRestAfterUnsolicitedBytes(t *testing.T) {
	copied := make(chan struct{}, 2)
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		id := requestID(r)
		scripted.OK(c, id)
		if id == "2" {
			scripted.OK(c, id)
			copied <- struct{}{}
		}
		if id == "3" {
			time.Sleep(distinctiveRest / 2)
			scripted.OK(c, id)
			copied <- struct{}{}
		}
		return true
	})
	h := newManualLoop(t, testSpec())
	h.connections.reuse.onlyAfterUnsolicited = true
	h.updateEndpoints(20, upMember("s-00000001", s))
	target := h.endpointByName("s-00000001")
	want(t, "rest before unsolicited bytes", h.connections.reuse.rules(h.now()).rest[anonymous], time.Duration(0))
	for i := 1; i <= 4; i++ {
		id := fmt.Sprint(i)
		want(t, "response", string(h.request(id, time.Second).Body), id)
		if i == 2 || i == 3 {
			<-copied
		}
	}
	want(t, "rest after unsolicited bytes", h.connections.reuse.rules(h.now()).rest[anonymous], neverReused)
	want(t, "unsolicited bytes were counted", target.faults.unsolicited > 0, true)
}

// TestRemovedEndpointEndsWithItsAttempt: an endpoint that is removed while an attempt is in flight is deleted when the
// attempt ends, and its connection is closed.
func TestRemovedEndpointEndsWithItsAttempt(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool { <-release; return scripted.Done(c, r) })
	h := newManualLoop(t, testSpec())
	h.updateEndpoints(20, upMember("s-00000001", s))
	request := newRequest("1", h.now(), 4*time.Second)
	h.accept(request)
	<-s.Arrivals
	h.updateEndpoints(21, upMember("s-00000002", s))
	want(t, "endpoints while the attempt is in flight", len(h.endpoints), 2)
	close(release)
	h.handleEvents()
	want(t, "status", (<-request.Responses).Status, 200)
	want(t, "endpoints", len(h.endpoints), 1)
	want(t, "connections", h.connections.open, 0)
}

// TestNoConnectionIsNotSent: without a connection for its attempt a request is rejected as not sent, and nothing
// reaches the endpoint.
func TestNoConnectionIsNotSent(t *testing.T) {
	h := newManualLoop(t, testSpec())
	h.connections.max = 0
	s := scripted.Start(t, scripted.Done)
	h.updateEndpoints(20, upMember("s-00000001", s))
	want(t, "status", h.request("1", time.Second).Status, http.StatusServiceUnavailable)
	want(t, "connections", h.connections.open, 0)
	want(t, "connections to the endpoint", s.Opened(), 0)
}

// TestReturnedEndpointWarmsUp: an endpoint that is returned to service warms up as if it had just been started, because
// discovery may report a restart late.
func TestReturnedEndpointWarmsUp(t *testing.T) {
	h := newManualLoop(t, testSpec())
	member := unreachableMember("s-00000001", "127.0.0.1:1")
	h.updateEndpoints(1, member)
	warmingUp := func() bool {
		views, _ := h.balancer.View(h.now())
		return views[0].WarmingUp
	}
	want(t, "warming up at first", warmingUp(), false)
	done := make(chan error, 2)
	outOfServiceRequested{"s-00000001", true, done}.apply(h.loop)
	h.updateEndpoints(2) // the override outlasts the removal from the list
	h.updateEndpoints(3, member)
	want(t, "state while out of service", h.endpoints[1].state, balancer.Draining)
	outOfServiceRequested{"s-00000001", false, done}.apply(h.loop)
	want(t, "state after the return to service", h.endpoints[1].state, balancer.Active)
	want(t, "warming up after the return to service", warmingUp(), true)
}

// TestNoConnectionLeft: if the connection limit allows no connection, the attempt is reported to the balancer once, and
// is never written.
func TestNoConnectionLeft(t *testing.T) {
	spec := testSpec()
	spec.MaxConnections = 0
	spec.InitialEndpoints.Members = []discovery.Member{unreachableMember("s-00000001", "127.0.0.1:9")}
	h := newManualLoop(t, spec)
	request := newRequest("", h.now(), time.Second)
	h.accept(request)
	if len(request.attempts) == 0 {
		t.Fatal("no attempt was made")
	}
	want(t, "attempts without a reported outcome", request.unreportedOutcomes, 0)
	want(t, "written", request.attempts[0].GiveUp(time.Now()), false)
	want(t, "connections", h.connections.open, 0)
}

// TestLateResponseOfPreviousDiscoveryIgnored: a response of the previous discovery service that arrives after the
// configuration has changed is ignored.
func TestLateResponseOfPreviousDiscoveryIgnored(t *testing.T) {
	spec := testSpec()
	spec.InitialEndpoints.Members = []discovery.Member{unreachableMember("s-00000001", "127.0.0.1:9")}
	h := newManualLoop(t, spec)
	old := h.source.client
	next := spec
	next.Discovery = "127.0.0.1:10"
	configurationReloaded{next, func() { t.Error("adopted called with equal settings") }}.apply(h.loop)
	h.updateFrom(old, discovery.Listing{Revision: 90, Complete: true})
	want(t, "endpoints after a late response", len(h.endpoints), 1)
	want(t, "revision after a late response", h.source.revision, uint64(0))
	h.updateEndpoints(2)
	want(t, "endpoints after the new list", len(h.endpoints), 0)
	want(t, "revision after the new list", h.source.revision, uint64(2))
}

// TestListOfAnotherServiceIsTaken guards against a pool that ignores all lists after a restart, because its stored list
// came from a service with higher revisions.
func TestListOfAnotherServiceIsTaken(t *testing.T) {
	spec := testSpec()
	member := discovery.Member{ID: "s-00000001", HostPort: "127.0.0.1:9", Phase: "up", Size: 1}
	spec.InitialEndpoints = &discovery.Listing{Revision: 41, Complete: true, Members: []discovery.Member{member}}
	h := newManualLoop(t, spec)
	h.updateEndpoints(7, drainingMember(member))
	want(t, "state after the first list", h.endpointByName("s-00000001").state, balancer.Draining)
	want(t, "revision", h.source.revision, uint64(7))
	h.updateEndpoints(6, member)
	want(t, "state after an older list", h.endpointByName("s-00000001").state, balancer.Draining)
}

// TestNewProcessInheritsNoConnection guards against a request that is written on a connection to the process that had
// an endpoint's address before, and which may count as run although nobody has seen it.
func TestNewProcessInheritsNoConnection(t *testing.T) {
	for name, entry := range map[string]struct {
		id    string
		kept  int
		start func(h *manualLoop) time.Duration
	}{
		"the same id and start": {"s-00000001", 1, func(*manualLoop) time.Duration { return 0 }},
		"the same id, a start before the connection": {"s-00000001", 1, func(h *manualLoop) time.Duration {
			return h.now() - time.Hour
		}},
		"the same id, a later start": {"s-00000001", 0, func(h *manualLoop) time.Duration { return h.now() + time.Second }},
		"another id":                 {"s-00000002", 0, func(*manualLoop) time.Duration { return 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t)
			h := newManualLoop(t, testSpec())
			h.connections.reuse.onlyAfterUnsolicited = true
			h.updateEndpoints(20, upMember("s-00000001", server))
			want(t, "status", h.request("1", time.Second).Status, http.StatusOK)
			member := upMember(entry.id, server)
			member.UpSinceMS = entry.start(h).Milliseconds()
			h.updateEndpoints(21, member)
			want(t, "connections that are kept", h.connections.open, entry.kept)
		})
	}
}
