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

// TestStateReturnsToItsSize: thousands of endpoints come and go under new ids, each at the address of the one before,
// with ever new requests. What the loop holds returns to its size, and no connection crosses over from an old id to a
// new one.
func TestStateReturnsToItsSize(t *testing.T) {
	server := scripted.Start(t, func(c net.Conn, r *http.Request) bool { return scripted.OK(c, requestID(r)) })
	go drainArrivals(server)
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
	want(t, "numbered names", h.names.Len(), 1)
	want(t, "requests", len(h.requests), 0)
	want(t, "their ids", len(h.clientRequestIDs), 0)
	want(t, "connections", h.connections.open, 1)
	for deadline := h.now() + 50*time.Millisecond; h.now() < deadline; {
		time.Sleep(time.Millisecond)
	}
	h.fireTimers()
	if left := len(h.timers.heap); left > 5 { // the balancer's own timers
		t.Errorf("timers: %d are left", left)
	}
	h.updateEndpoints(90000, drainingMember(upMember("s-0fffffff", server)))
	neverListed := discovery.Member{ID: "s-0ffffffe", Phase: "removed"}
	h.updateFrom(h.source.client, discovery.Listing{Revision: 90001, Members: []discovery.Member{neverListed}})
	want(t, "numbered names after the removal of what was never listed", h.names.Len(), 1)
}

// TestIdleConnectionMakesRoom: at the limit of connections the one that has been idle longest makes room, at whatever
// endpoint.
func TestIdleConnectionMakesRoom(t *testing.T) {
	one, two := scripted.Start(t, scripted.Done), scripted.Start(t, scripted.Done)
	h := newManualLoop(t, testSpec())
	h.connections.max = 1
	h.updateEndpoints(20, upMember("s-00000001", one))
	want(t, "first", h.request("1", time.Second).Status, 200)
	h.updateEndpoints(21, upMember("s-00000001", one), upMember("s-00000002", two))
	for i := 0; len(two.Arrivals) == 0; i++ {
		if i > 20 {
			t.Fatal("the second endpoint never gets a request")
		}
		want(t, "next", h.request(fmt.Sprint("a", i), time.Second).Status, 200)
		want(t, "connections", h.connections.open, 1)
	}
}

// TestLateSecondResponseIsNotForNextRequest: a second response that comes behind the first, in a segment of its own, is
// not taken for the next request's.
func TestLateSecondResponseIsNotForNextRequest(t *testing.T) {
	copied := make(chan struct{}, 2)
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		scripted.OK(c, requestID(r))
		if requestID(r) == "1" {
			time.Sleep(connectionReuseDelay / 2) // later than the response, sooner than the connection is used again
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

// TestReuseDelayAfterUnsolicitedBytes: where the reuse delay begins with the first unsolicited bytes, there is none at
// first; once a second response was seen there is, and the next late one is no response to a request.
func TestReuseDelayAfterUnsolicitedBytes(t *testing.T) {
	copied := make(chan struct{}, 2)
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		id := requestID(r)
		scripted.OK(c, id)
		if id == "2" {
			scripted.OK(c, id)
			copied <- struct{}{}
		}
		if id == "3" {
			time.Sleep(connectionReuseDelay / 2)
			scripted.OK(c, id)
			copied <- struct{}{}
		}
		return true
	})
	h := newManualLoop(t, testSpec())
	h.connections.delayOnlyAfterUnsolicited = true
	h.updateEndpoints(20, upMember("s-00000001", s))
	target := h.endpointByName("s-00000001")
	want(t, "reuse delay at first", h.connections.reuseDelay(target), time.Duration(0))
	for i := 1; i <= 4; i++ {
		id := fmt.Sprint(i)
		want(t, "response", string(h.request(id, time.Second).Body), id)
		if i == 2 || i == 3 {
			<-copied
		}
	}
	want(t, "reuse delay at the end", h.connections.reuseDelay(target), connectionReuseDelay)
	want(t, "unsolicited bytes were noted", target.faults.unsolicited > 0, true)
}

// TestRemovedEndpointEndsWithItsAttempt: an endpoint that was removed with an attempt in flight is forgotten once that
// ends, and its connection is closed.
func TestRemovedEndpointEndsWithItsAttempt(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool { <-release; return scripted.Done(c, r) })
	h := newManualLoop(t, testSpec())
	h.updateEndpoints(20, upMember("s-00000001", s))
	request := newRequest("1", h.now(), 4*time.Second)
	h.accept(request)
	<-s.Arrivals
	h.updateEndpoints(21, upMember("s-00000002", s))
	want(t, "endpoints while it is in flight", len(h.endpoints), 2)
	close(release)
	h.handleEvents()
	want(t, "status", (<-request.Responses).Status, 200)
	want(t, "endpoints", len(h.endpoints), 1)
	want(t, "connections", h.connections.open, 0)
}

// TestNoConnectionIsNotSent: an attempt for which there is no connection was never sent, through no fault of the
// endpoint's.
func TestNoConnectionIsNotSent(t *testing.T) {
	h := newManualLoop(t, testSpec())
	h.connections.max = 0
	s := scripted.Start(t, scripted.Done)
	h.updateEndpoints(20, upMember("s-00000001", s))
	want(t, "status", h.request("1", time.Second).Status, http.StatusServiceUnavailable)
	want(t, "connections", h.connections.open, 0)
	want(t, "connections at the endpoint", s.Opened(), 0)
}

// TestReturnedEndpointWarmsUp: an endpoint that is returned to service counts as started at that moment: discovery has
// not told of its start yet.
func TestReturnedEndpointWarmsUp(t *testing.T) {
	h := newManualLoop(t, testSpec())
	member := unreachableMember("s-00000001", "127.0.0.1:1")
	h.updateEndpoints(1, member)
	warmingUp := func() bool {
		views, _ := h.balancer.View(h.now())
		return views[0].WarmingUp
	}
	want(t, "before", warmingUp(), false)
	done := make(chan error, 2)
	outOfServiceRequested{"s-00000001", true, done}.apply(h.loop)
	h.updateEndpoints(2) // removed from the list, and the override holds
	h.updateEndpoints(3, member)
	want(t, "state while out of service", h.endpoints[1].state, balancer.Draining)
	outOfServiceRequested{"s-00000001", false, done}.apply(h.loop)
	want(t, "state", h.endpoints[1].state, balancer.Active)
	want(t, "after", warmingUp(), true)
}

// TestNoConnectionLeft: with no connection left to open, an attempt could not connect. The balancer is told so, once,
// and no outcome is left to report.
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
	want(t, "attempts without a reported outcome", request.unreported, 0)
	want(t, "written", request.attempts[0].GiveUp(time.Now()), false)
	want(t, "connections", h.connections.open, 0)
}

// TestAnswerOfTheOldDiscoveryIsDropped: an answer that was on its way from the old discovery when the configuration
// changed is dropped.
func TestAnswerOfTheOldDiscoveryIsDropped(t *testing.T) {
	spec := testSpec()
	spec.InitialEndpoints.Members = []discovery.Member{unreachableMember("s-00000001", "127.0.0.1:9")}
	h := newManualLoop(t, spec)
	old := h.source.client
	next := spec
	next.Discovery = "127.0.0.1:10"
	configurationReloaded{next, func() { t.Error("the settings are the same") }}.apply(h.loop)
	h.updateFrom(old, discovery.Listing{Revision: 90, Complete: true})
	want(t, "endpoints after a late answer", len(h.endpoints), 1)
	want(t, "revision after it", h.source.revision, uint64(0))
	h.updateEndpoints(2)
	want(t, "endpoints after the new list", len(h.endpoints), 0)
	want(t, "revision after it", h.source.revision, uint64(2))
}
