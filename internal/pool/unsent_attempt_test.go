package pool

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
	"olivearch/internal/upstream"
)

// delayedTransport is a transport whose connections come up when the test says so: each Do is told, and waits for a
// word; its end is told too.
type delayedTransport struct {
	upstream.Transport
	began   chan *upstream.Attempt
	connect chan struct{}
	ended   chan struct{}
}

func (s delayedTransport) Do(a *upstream.Attempt) upstream.Result {
	s.began <- a
	<-s.connect
	defer func() { s.ended <- struct{}{} }()
	return s.Transport.Do(a)
}

// delayConnections lets the hand's connections come up by a test's word.
func (h *manualLoop) delayConnections() delayedTransport {
	s := delayedTransport{h.connections.transport, make(chan *upstream.Attempt, 10), make(chan struct{}), make(chan struct{}, 10)}
	h.connections.transport = s
	return s
}

// submit hands a request of a class to the loop.
func (h *manualLoop) submit(name, class string, client Client) *Request {
	r := &Request{loop: h.loop, Name: name, At: h.now(), Reply: make(chan Response, 1), Client: client}
	r.Class, r.Budget = class, 4*time.Second
	r.Message = upstream.Message{Line: "POST /" + class, Host: "x", Bodied: true, Header: http1.Fields{{Name: "X-Request-Id", Value: name}}}
	requestArrived{r}.apply(h.loop)
	h.reportPendingOutcomes()
	return r
}

// finishAttempts turns the loop until nothing is out.
func (h *manualLoop) finishAttempts() {
	h.t.Helper()
	for h.hasOpenAttempts() {
		h.handleEvents()
	}
}

// fixedPresence is a client that has left, or not.
type fixedPresence bool

func (p fixedPresence) Connected() bool { return bool(p) }

// Between the choice of a node and the first byte lies a connection that may come up late. What has changed by then
// holds: each change here is made while the connection comes up, and nothing may be written.
func TestNothingIsWrittenAfterAChange(t *testing.T) {
	cases := []struct {
		name   string
		spec   func(*Spec)
		client Client
		change func(h *manualLoop, r *Request, s *scripted.Node)
	}{
		{name: "the node drains", change: func(h *manualLoop, _ *Request, s *scripted.Node) {
			h.updateEndpoints(21, drainingMember(upMember("s-00000001", s)))
		}},
		{name: "the node is gone", change: func(h *manualLoop, _ *Request, _ *scripted.Node) { h.updateEndpoints(21) }},
		{name: "the client leaves", change: func(h *manualLoop, r *Request, _ *scripted.Node) {
			clientLeft{r}.apply(h.loop)
			h.reportPendingOutcomes()
		}},
		{
			name: "the client leaves, and attempts can't be cancelled", spec: func(s *Spec) { s.Settings.Limits.Cancel = false },
			change: func(h *manualLoop, r *Request, _ *scripted.Node) {
				clientLeft{r}.apply(h.loop)
				h.reportPendingOutcomes()
			},
		},
		{name: "the client leaves while the loop is busy", change: func(_ *manualLoop, r *Request, _ *scripted.Node) { r.ClientLeft() }},
		{
			name: "the client leaves, and its reader has had no turn", client: fixedPresence(false),
			change: func(h *manualLoop, r *Request, _ *scripted.Node) { r.At -= 2 * clientCheckDelay },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := scripted.Start(t, scripted.Done)
			spec := testSpec()
			if c.spec != nil {
				c.spec(&spec)
			}
			h := newManualLoop(t, spec)
			h.updateEndpoints(20, upMember("s-00000001", s))
			slow := h.delayConnections()
			r := h.submit("1", "checkin", c.client)
			<-slow.began
			c.change(h, r, s)
			close(slow.connect)
			<-slow.ended // all that is written is written before the loop has its next turn
			h.finishAttempts()
			want(t, "requests at the node", len(s.Arrivals), 0)
			want(t, "requests that are still out", r.unreported, 0)
		})
	}
}

// A request whose client leaves before its pool has had a turn costs no node anything.
func TestClientLeftBeforeArrival(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	h := newManualLoop(t, testSpec())
	h.updateEndpoints(20, upMember("s-00000001", s))
	r := &Request{loop: h.loop, Name: "1", At: h.now(), Reply: make(chan Response, 1)}
	r.Class, r.Budget = "checkin", time.Second
	h.enqueue(requestArrived{r})
	r.ClientLeft()
	h.handleEvents()
	want(t, "connections to the node", s.Opened(), 0)
	want(t, "requests", len(h.requests), 0)
	want(t, "their ids", len(h.clientRequestIDs), 0)
}

// A keyed request that may have run is not written again once its nodes may have forgotten it, though it was chosen for
// another attempt while they still knew it.
func TestWindowEndsWhileConnecting(t *testing.T) {
	const window = 200 * time.Millisecond
	breaks := scripted.Start(t, func(net.Conn, *http.Request) bool { return false }) // reads it, and closes
	spec := testSpec()
	spec.Settings.Classes = append(spec.Settings.Classes, balancer.Class{
		Name: "pay", LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second,
		Idempotency: balancer.IdempotentWithKey, KeyScope: balancer.KeyScopeAll, DeduplicationWindow: window, PriorityWeight: 1,
	})
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late: ", late), func(t *testing.T) {
			h := newManualLoop(t, spec)
			h.updateEndpoints(20, upMember("s-00000001", breaks), upMember("s-00000002", breaks))
			slow := h.delayConnections()
			r := h.submit("1", "pay", nil)
			<-slow.began
			slow.connect <- struct{}{}
			<-breaks.Arrivals
			h.handleEvents() // it may have run, and there is time for another attempt
			<-slow.began
			if late {
				time.Sleep(window)
			}
			close(slow.connect)
			h.finishAttempts()
			want(t, "attempts written after the first", len(breaks.Arrivals) > 0, !late)
			for len(breaks.Arrivals) > 0 {
				<-breaks.Arrivals
			}
			if late {
				want(t, "status", (<-r.Reply).Status, http.StatusServiceUnavailable) // its group is all nodes: a repeat by the client is dropped there
			}
		})
	}
}
