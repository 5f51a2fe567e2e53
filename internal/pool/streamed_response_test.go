package pool

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/standin/scripted"
)

// TestStreamedResponseEndsWithItsRequest guards against a response whose endpoint stands still in the middle of it, and
// which has neither an end nor a cut in its request's time.
func TestStreamedResponseEndsWithItsRequest(t *testing.T) {
	scripted.AtRest(t)
	release := make(chan struct{})
	defer close(release)
	server := scripted.Start(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		<-release
		return false
	})
	spec := testSpec()
	spec.WholeResponseInTime = true
	h := newManualLoop(t, spec)
	h.updateEndpoints(20, upMember("s-00000001", server))
	request := newRequest("1", h.now(), 200*time.Millisecond)
	request.Message.Header = requestIDHeader("1")
	h.accept(request)
	for len(request.Responses) == 0 {
		h.handleEvents()
	}
	response := <-request.Responses
	want(t, "status", response.Status, http.StatusOK)
	client, readSide := net.Pipe()
	defer readSide.Close()
	go func() { _, _ = io.Copy(io.Discard, readSide) }()
	copied := make(chan error, 1)
	go func() { copied <- response.Stream.Copy(client, true) }()
	select {
	case err := <-copied:
		want(t, "the response is cut", err != nil, true)
	case <-time.After(eventTimeout):
		t.Errorf("the response goes on %v after its request began", eventTimeout)
	}
	h.finishAttempts()
	want(t, "connections", h.connections.open, 0)
}

// TestStreamsLeaveConnectionsToOthers guards against long responses that hold all connections to the endpoints.
func TestStreamsLeaveConnectionsToOthers(t *testing.T) {
	scripted.AtRest(t)
	release := make(chan struct{})
	server := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Request-Id") == "short" {
			return scripted.Own(c, r)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		<-release
		return false
	})
	spec := testSpec()
	spec.MaxConnections = 2
	spec.MaxStreams = 1
	h := newManualLoop(t, spec)
	h.updateEndpoints(20, upMember("s-00000001", server))
	send := func(id string) Response {
		request := newRequest(id, h.now(), eventTimeout)
		request.Message.Header = requestIDHeader(id)
		h.accept(request)
		<-server.Arrivals
		for len(request.Responses) == 0 {
			h.handleEvents()
		}
		return <-request.Responses
	}
	first := send("long")
	want(t, "status of a long response", first.Status, http.StatusOK)
	want(t, "status of another long response", send("long too").Status, http.StatusBadGateway)
	for h.connections.open > 1 { // until the refused one has been closed
		h.handleEvents()
	}
	want(t, "status of a short response", send("short").Status, http.StatusOK)
	close(release)
	first.Stream.Abandon()
	h.finishAttempts()
	want(t, "streams", h.streams, 0)
}

// TestTunnelOpenedDuringDrainEnds guards against a tunnel that a drain does not end, because it was being opened when
// its endpoint began to drain.
func TestTunnelOpenedDuringDrainEnds(t *testing.T) {
	scripted.AtRest(t)
	open := make(chan struct{})
	server := scripted.Start(t, func(c net.Conn, _ *http.Request) bool {
		<-open
		_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n")
		_, _ = io.Copy(io.Discard, c) // until the tunnel ends
		return false
	})
	spec := testSpec()
	spec.Tunnels = TunnelLimits{Total: 10, PerEndpoint: 10}
	h := newManualLoop(t, spec)
	h.updateEndpoints(20, upMember("s-00000001", server))
	request := newRequest("1", h.now(), eventTimeout)
	request.Message.Header = requestIDHeader("1")
	request.Message.Upgrade = "x"
	request.Message.Tunnel = &body.TunnelLimits{Idle: time.Minute, Grace: time.Millisecond}
	h.accept(request)
	<-server.Arrivals
	h.updateEndpoints(21, drainingMember(upMember("s-00000001", server)))
	close(open)
	for len(request.Responses) == 0 {
		h.handleEvents()
	}
	tunnel := (<-request.Responses).Tunnel
	select {
	case <-tunnel.Done():
	case <-time.After(eventTimeout):
		t.Error("the tunnel is open after the drain and its grace")
		tunnel.Close()
	}
	h.finishAttempts()
}
