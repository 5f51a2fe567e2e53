package pool

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/standin/scripted"
)

// fixedClient is a client that has left, or not.
type fixedClient bool

func (p fixedClient) Connected() bool { return bool(p) }

// TestNothingIsWrittenAfterAChange: between the choice of an endpoint and the first byte lies a connection that may
// come up late. What has changed by then holds: each change here is made while the connection comes up, and nothing may
// be written.
func TestNothingIsWrittenAfterAChange(t *testing.T) {
	cases := []struct {
		name   string
		spec   func(*Spec)
		client Client
		change func(h *manualLoop, r *Request, s *scripted.Node)
	}{
		{name: "the endpoint drains", change: func(h *manualLoop, _ *Request, s *scripted.Node) {
			h.updateEndpoints(21, drainingMember(upMember("s-00000001", s)))
		}},
		{name: "the endpoint is removed", change: func(h *manualLoop, _ *Request, _ *scripted.Node) {
			h.updateEndpoints(21)
		}},
		{name: "the client leaves", change: func(h *manualLoop, r *Request, _ *scripted.Node) {
			clientLeft{r}.apply(h.loop)
			h.reportPendingOutcomes()
		}},
		{
			name: "the client leaves, and attempts can't be cancelled",
			spec: func(s *Spec) { s.Settings.Limits.Cancel = false },
			change: func(h *manualLoop, r *Request, _ *scripted.Node) {
				clientLeft{r}.apply(h.loop)
				h.reportPendingOutcomes()
			},
		},
		{name: "the client leaves while the loop is busy", change: func(_ *manualLoop, r *Request, _ *scripted.Node) {
			r.ClientLeft()
		}},
		{
			name: "the client leaves, and its reader has not run", client: fixedClient(false),
			change: func(h *manualLoop, r *Request, _ *scripted.Node) { r.ReceivedAt -= 2 * clientCheckDelay },
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
			delayed := h.delayConnections()
			r := h.submit("1", "checkin", c.client)
			<-delayed.began
			c.change(h, r, s)
			close(delayed.connect)
			<-delayed.ended // all that is written is written before the loop handles the next event
			h.finishAttempts()
			want(t, "requests at the endpoint", len(s.Arrivals), 0)
			want(t, "attempts without a reported outcome", r.unreported, 0)
		})
	}
}

// TestClientLeftBeforeArrival: a request whose client leaves before its pool has handled it costs no endpoint anything.
func TestClientLeftBeforeArrival(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	h := newManualLoop(t, testSpec())
	h.updateEndpoints(20, upMember("s-00000001", s))
	request := newRequest("1", h.now(), time.Second)
	request.loop = h.loop
	h.enqueue(requestArrived{request})
	request.ClientLeft()
	h.handleEvents()
	want(t, "connections to the endpoint", s.Opened(), 0)
	want(t, "requests", len(h.requests), 0)
	want(t, "their ids", len(h.clientRequestIDs), 0)
}

// TestWindowEndsWhileConnecting: a request with an idempotency key that may have run is not written again once its
// endpoints may have forgotten it, though it was chosen for another attempt while they still knew it.
func TestWindowEndsWhileConnecting(t *testing.T) {
	const window = 200 * time.Millisecond
	breaks := scripted.Start(t, func(net.Conn, *http.Request) bool { return false }) // reads it, and closes
	spec := testSpec()
	spec.Settings.Classes = append(spec.Settings.Classes, balancer.Class{
		Name:                "pay",
		LatencyObjective:    2 * time.Second,
		Deadline:            4 * time.Second,
		Idempotency:         balancer.IdempotentWithKey,
		KeyScope:            balancer.KeyScopeAll,
		DeduplicationWindow: window,
		PriorityWeight:      1,
	})
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late: ", late), func(t *testing.T) {
			h := newManualLoop(t, spec)
			h.updateEndpoints(20, upMember("s-00000001", breaks), upMember("s-00000002", breaks))
			delayed := h.delayConnections()
			r := h.submit("1", "pay", nil)
			<-delayed.began
			delayed.connect <- struct{}{}
			<-breaks.Arrivals
			h.handleEvents() // it may have run, and there is time for another attempt
			<-delayed.began
			if late {
				time.Sleep(window)
			}
			close(delayed.connect)
			h.finishAttempts()
			want(t, "attempts written after the first", len(breaks.Arrivals) > 0, !late)
			for len(breaks.Arrivals) > 0 {
				<-breaks.Arrivals
			}
			if late {
				// The key's scope is all endpoints: a repeat by the client is dropped there.
				want(t, "status", (<-r.Responses).Status, http.StatusServiceUnavailable)
			}
		})
	}
}
