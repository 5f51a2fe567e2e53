package pool

import (
	"net"
	"net/http"
	"testing"
	"time"

	"olivearch/internal/standin/scripted"
)

// oneConnection returns a loop that may have one connection, which a request holds until release is closed. The server
// answers all others at once.
func oneConnection(t *testing.T) (h *manualLoop, server *scripted.Node, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	server = scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if requestID(r) == "first" {
			<-release
		}
		return scripted.Own(c, r)
	})
	spec := testSpec()
	spec.MaxConnections = 1
	h = newManualLoop(t, spec)
	h.updateEndpoints(20, upMember("s-00000001", server))
	h.submit("first", "checkin", nil)
	<-server.Arrivals
	return h, server, release
}

// TestRequestWaitsForAConnection guards against requests that are rejected at once although a connection becomes free a
// moment later.
func TestRequestWaitsForAConnection(t *testing.T) {
	scripted.AtRest(t)
	h, server, release := oneConnection(t)
	second := h.submit("second", "checkin", nil)
	third := h.submit("third", "checkin", nil)
	want(t, "responses before a connection is free", len(second.Responses)+len(third.Responses), 0)
	close(release)
	for len(third.Responses) == 0 {
		h.handleEvents()
	}
	want(t, "status", (<-second.Responses).Status, http.StatusOK)
	want(t, "status", (<-third.Responses).Status, http.StatusOK)
	want(t, "id that arrived", requestID(<-server.Arrivals), "second")
	want(t, "id that arrived", requestID(<-server.Arrivals), "third")
	h.finishAttempts()
}

// TestWaitForAConnectionEnds guards against requests that wait for a connection without an end.
func TestWaitForAConnectionEnds(t *testing.T) {
	scripted.AtRest(t)
	h, server, release := oneConnection(t)
	second := h.submit("second", "checkin", nil)
	for len(second.Responses) == 0 && len(h.connections.waiting) > 0 {
		h.origin = h.origin.Add(-connectionPatience)
		h.fireTimers()
		h.startWaiting()
	}
	want(t, "status", (<-second.Responses).Status, http.StatusServiceUnavailable)
	close(release)
	h.finishAttempts()
	want(t, "further requests that arrived", len(server.Arrivals), 0)
}

// TestNothingWaitsForADrainingEndpoint guards against requests that are sent to an endpoint after the pool was told
// that it drains, because they waited for a connection.
func TestNothingWaitsForADrainingEndpoint(t *testing.T) {
	scripted.AtRest(t)
	h, server, release := oneConnection(t)
	second := h.submit("second", "checkin", nil)
	h.updateEndpoints(21, drainingMember(upMember("s-00000001", server)))
	h.reportPendingOutcomes()
	close(release)
	h.finishAttempts()
	h.origin = h.origin.Add(-time.Minute)
	h.fireTimers()
	want(t, "status", (<-second.Responses).Status, http.StatusServiceUnavailable)
	want(t, "further requests that arrived", len(server.Arrivals), 0)
}

// TestLaterRequestTakesNoAwaitedConnection guards against requests that wait for a connection until they are rejected,
// because each later one takes what has become free.
func TestLaterRequestTakesNoAwaitedConnection(t *testing.T) {
	scripted.AtRest(t)
	h, server, release := oneConnection(t)
	h.submit("second", "checkin", nil)
	close(release)
	<-h.mailbox.ready
	for _, e := range h.mailbox.takeNormal(nil) {
		e.apply(h.loop) // the connection is free, and nobody has looked at those that wait
	}
	third := h.submit("third", "checkin", nil)
	want(t, "id that arrived", requestID(<-server.Arrivals), "second")
	for len(third.Responses) == 0 {
		h.handleEvents()
	}
	want(t, "id that arrived", requestID(<-server.Arrivals), "third")
	h.finishAttempts()
}
