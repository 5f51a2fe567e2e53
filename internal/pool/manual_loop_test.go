package pool

import (
	"net/http"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
	"olivearch/internal/upstream"
	"olivearch/internal/wire"
)

// eventTimeout is how long a test waits for an expected event.
const eventTimeout = 10 * time.Second

func want(t testing.TB, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// testSpec returns the Spec of a pool that polls discovery at an address where nothing listens.
func testSpec() Spec {
	return Spec{
		Name:             "n0",
		Seed:             1,
		Discovery:        "127.0.0.1:9",
		MaxConnections:   400,
		InitialEndpoints: &discovery.Listing{},
		ConnectionSettings: wire.ConnectionSettings{
			KeepAlive:      time.Minute,
			ConnectTimeout: 500 * time.Millisecond,
		},
		Settings: balancer.Settings{
			Zone:          "z1",
			Balancers:     1,
			PollDiscovery: true,
			Reports:       balancer.ReportAnswers,
			Classes: []balancer.Class{
				testClass("read", balancer.Idempotent),
				testClass("checkin", balancer.NonIdempotent),
			},
			Limits: balancer.Limits{MaxAttempts: 3, Cancel: true},
			Rules: balancer.Rules{
				PollInterval:      320 * time.Millisecond,
				SlowStartFloor:    0.3,
				SlowStartDuration: 9 * time.Second,
				OverloadMultiple:  3,
				OverloadWindow:    1500 * time.Millisecond,
			},
		},
	}
}

func testClass(name string, idempotency balancer.Idempotency) balancer.Class {
	return balancer.Class{
		Name:             name,
		LatencyObjective: 2 * time.Second,
		Deadline:         4 * time.Second,
		Idempotency:      idempotency,
		PriorityWeight:   1,
	}
}

// upMember returns the entry of an active server in a list of discovery.
func upMember(id string, server *scripted.Node) discovery.Member {
	return discovery.Member{ID: id, HostPort: server.Addr, Locality: "z1", Phase: "up", Size: 1}
}

func drainingMember(m discovery.Member) discovery.Member {
	m.Phase = "draining"
	return m
}

// unreachableMember returns the entry of an endpoint at an address where nothing listens.
func unreachableMember(id, address string) discovery.Member {
	return discovery.Member{ID: id, HostPort: address, Phase: "up", Size: 1}
}

// newRequest returns a request of the class "checkin" whose last byte arrives at a time on its pool's clock.
func newRequest(name string, at, budget time.Duration) *Request {
	request := &Request{ClientRequestID: name, ReceivedAt: at, Responses: make(chan Response, 1)}
	request.Class = "checkin"
	request.Budget = budget
	request.Message = upstream.Message{RequestLine: "POST /checkin", Host: "x"}
	return request
}

// requestIDHeader returns the header fields of a request with an id; requestID returns the id.
func requestIDHeader(id string) http1.Fields { return http1.Fields{{Name: "X-Request-Id", Value: id}} }
func requestID(r *http.Request) string       { return r.Header.Get("X-Request-Id") }

// manualLoop is a loop without a goroutine, whose events a test applies.
type manualLoop struct {
	*loop
	t *testing.T
}

func newManualLoop(t *testing.T, spec Spec) *manualLoop {
	t.Helper()
	l := newLoop(t.Context(), spec)
	if err := l.start(spec.InitialEndpoints); err != nil {
		t.Fatal(err)
	}
	l.WatchEndpoints(false) // nothing listens there
	return &manualLoop{l, t}
}

// updateEndpoints applies a complete list from discovery.
func (h *manualLoop) updateEndpoints(revision uint64, members ...discovery.Member) {
	h.updateFrom(h.source.client, discovery.Listing{Revision: revision, Complete: true, Members: members})
}

// updateFrom applies a list that a client of discovery has received.
func (h *manualLoop) updateFrom(client *discovery.Client, list discovery.Listing) {
	endpointsUpdated{From: client, Listing: list}.apply(h.loop)
}

// accept applies a request's arrival.
func (h *manualLoop) accept(request *Request) {
	request.loop = h.loop
	requestArrived{request}.apply(h.loop)
	h.reportPendingOutcomes()
}

// submit applies the arrival of a request of a class, which has a body and name as its id.
func (h *manualLoop) submit(name, class string, client Client) *Request {
	request := newRequest(name, h.now(), 4*time.Second)
	request.Client = client
	request.Class = class
	request.Message.RequestLine = "POST /" + class
	request.Message.HasBodyFraming = true
	request.Message.Header = requestIDHeader(name)
	h.accept(request)
	return request
}

// request sends a request with name as its id, and handles events until its response has arrived and its attempts have
// ended.
func (h *manualLoop) request(name string, budget time.Duration) Response {
	h.t.Helper()
	request := newRequest(name, h.now(), budget)
	request.Message.Header = requestIDHeader(name)
	h.accept(request)
	for len(h.requests) > 0 || h.hasOpenAttempts() {
		h.handleEvents()
	}
	return <-request.Responses
}

// handleEvents waits for events and handles them.
func (h *manualLoop) handleEvents() {
	h.t.Helper()
	select {
	case <-h.mailbox.ready:
	case <-time.After(eventTimeout):
		h.t.Fatal("no event within eventTimeout")
	}
	for _, e := range h.mailbox.takeNormal(nil) {
		e.apply(h.loop)
		h.reportPendingOutcomes()
	}
}

// finishAttempts handles events until no attempt is open.
func (h *manualLoop) finishAttempts() {
	h.t.Helper()
	for h.hasOpenAttempts() {
		h.handleEvents()
	}
}

func (h *manualLoop) hasOpenAttempts() bool {
	for _, endpoint := range h.endpoints {
		if len(endpoint.openAttempts) > 0 {
			return true
		}
	}
	return false
}

// delayedTransport is a transport whose attempts wait until the test lets them connect.
type delayedTransport struct {
	upstream.Transport
	began   chan *upstream.Attempt // receives each attempt when it starts
	connect chan struct{}          // each value lets one attempt connect
	ended   chan struct{}          // receives a value when an attempt has ended
}

func (d delayedTransport) Do(a *upstream.Attempt) upstream.Result {
	d.began <- a
	<-d.connect
	defer func() { d.ended <- struct{}{} }()
	return d.Transport.Do(a)
}

// delayConnections makes the loop's attempts wait until the test lets them connect.
func (h *manualLoop) delayConnections() delayedTransport {
	delayed := delayedTransport{
		Transport: h.connections.transport,
		began:     make(chan *upstream.Attempt, 10),
		connect:   make(chan struct{}),
		ended:     make(chan struct{}, 10),
	}
	h.connections.transport = delayed
	return delayed
}
