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

// slow is a transport whose connections come up when the test says so: each Do is told, and waits for a word; its end is told too.
type slow struct {
	upstream.Transport
	begun chan *upstream.Attempt
	up    chan struct{}
	ended chan struct{}
}

func (s slow) Do(a *upstream.Attempt) upstream.Result {
	s.begun <- a
	<-s.up
	defer func() { s.ended <- struct{}{} }()
	return s.Transport.Do(a)
}

// slowly lets the hand's connections come up by a test's word.
func (h *hand) slowly() slow {
	s := slow{h.transport, make(chan *upstream.Attempt, 10), make(chan struct{}), make(chan struct{}, 10)}
	h.transport = s
	return s
}

// begin hands a request of a class to the loop.
func (h *hand) begin(name, class string, client Client) *Request {
	r := &Request{loop: h.loop, Name: name, At: h.now(), Reply: make(chan Response, 1), Client: client}
	r.Class, r.Budget = class, 4*time.Second
	r.Message = upstream.Message{Line: "POST /" + class, Host: "x", Bodied: true, Header: http1.Fields{{Name: "X-Request-Id", Value: name}}}
	arrived{r}.apply(h.loop)
	h.settle()
	return r
}

// finish turns the loop until nothing is out.
func (h *hand) finish() {
	h.t.Helper()
	for h.busy() {
		h.turn()
	}
}

// presence is a client that has left, or not.
type presence bool

func (p presence) Connected() bool { return bool(p) }

// Between the choice of a node and the first byte lies a connection that may come up late. What has changed by then holds: each
// change here is made while the connection comes up, and nothing may be written.
func TestNothingIsWrittenAfterAChange(t *testing.T) {
	cases := []struct {
		name   string
		spec   func(*Spec)
		client Client
		change func(h *hand, r *Request, s *scripted.Node)
	}{
		{name: "the node drains", change: func(h *hand, _ *Request, s *scripted.Node) { h.list(21, draining(up("s-00000001", s))) }},
		{name: "the node is gone", change: func(h *hand, _ *Request, _ *scripted.Node) { h.list(21) }},
		{name: "the client leaves", change: func(h *hand, r *Request, _ *scripted.Node) { left{r}.apply(h.loop); h.settle() }},
		{
			name: "the client leaves, and attempts can't be cancelled", spec: func(s *Spec) { s.Settings.Limits.Cancel = false },
			change: func(h *hand, r *Request, _ *scripted.Node) { left{r}.apply(h.loop); h.settle() },
		},
		{name: "the client leaves while the loop is busy", change: func(_ *hand, r *Request, _ *scripted.Node) { r.ClientLeft() }},
		{
			name: "the client leaves, and its reader has had no turn", client: presence(false),
			change: func(h *hand, r *Request, _ *scripted.Node) { r.At -= 2 * presentFor },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := scripted.Start(t, scripted.Done)
			spec := testSpec()
			if c.spec != nil {
				c.spec(&spec)
			}
			h := newHand(t, spec)
			h.list(20, up("s-00000001", s))
			slow := h.slowly()
			r := h.begin("1", "checkin", c.client)
			<-slow.begun
			c.change(h, r, s)
			close(slow.up)
			<-slow.ended // all that is written is written before the loop has its next turn
			h.finish()
			want(t, "requests at the node", len(s.Arrivals), 0)
			want(t, "requests that are still out", r.out, 0)
		})
	}
}

// A request whose client leaves before its pool has had a turn costs no node anything.
func TestGoneBeforeItArrives(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	h := newHand(t, testSpec())
	h.list(20, up("s-00000001", s))
	r := &Request{loop: h.loop, Name: "1", At: h.now(), Reply: make(chan Response, 1)}
	r.Class, r.Budget = "checkin", time.Second
	h.post(arrived{r})
	r.ClientLeft()
	h.turn()
	want(t, "connections to the node", s.Opened(), 0)
	want(t, "requests", len(h.requests), 0)
	want(t, "their ids", len(h.open), 0)
}

// A keyed request that may have run is not written again once its nodes may have forgotten it, though it was chosen for another
// attempt while they still knew it.
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
			h := newHand(t, spec)
			h.list(20, up("s-00000001", breaks), up("s-00000002", breaks))
			slow := h.slowly()
			r := h.begin("1", "pay", nil)
			<-slow.begun
			slow.up <- struct{}{}
			<-breaks.Arrivals
			h.turn() // it may have run, and there is time for another attempt
			<-slow.begun
			if late {
				time.Sleep(window)
			}
			close(slow.up)
			h.finish()
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
