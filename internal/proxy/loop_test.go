package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// hand is a loop that a test turns by hand.
type hand struct {
	*loop
	t *testing.T
}

func newHand(t *testing.T) *hand {
	t.Helper()
	c, err := load(t, configText, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Known = listing{}
	l := newLoop(t.Context(), c.spec())
	if err := l.start(c.Seed, &c.Known); err != nil {
		t.Fatal(err)
	}
	l.Watch(false) // nothing listens there
	return &hand{l, t}
}

func (h *hand) list(revision uint64, members ...member) {
	listed{from: h.discovery, listing: listing{Revision: revision, Complete: true, Members: members}}.apply(h.loop)
}

// ask sends a request and turns the loop until it is answered and its attempts are over.
func (h *hand) ask(name string, budget time.Duration) answer {
	h.t.Helper()
	r := &request{name: name, at: h.now(), reply: make(chan answer, 1)}
	r.Class, r.Budget = "checkin", budget
	r.message = message{line: "POST /checkin", host: "x", header: http.Header{"X-Request-Id": {name}}}
	arrived{r}.apply(h.loop)
	h.settle()
	for len(h.requests) > 0 || h.busy() {
		select {
		case e := <-h.events:
			e.apply(h.loop)
			h.settle()
		case <-time.After(10 * time.Second):
			h.t.Fatal("nothing happens")
		}
	}
	return <-r.reply
}

func (h *hand) busy() bool {
	for _, p := range h.peers {
		if len(p.out) > 0 {
			return true
		}
	}
	return false
}

// Thousands of upstreams come and go under new ids, each at the address of the one before, with ever new requests: what
// the loop keeps returns to its size, and no connection crosses over from an old id to a new one.
func TestStateReturnsToItsSize(t *testing.T) {
	s := newServer(t, func(c net.Conn, r *http.Request) bool { return ok(c, r.Header.Get("X-Request-Id")) })
	go func() {
		for range s.arrivals {
		}
	}()
	h := newHand(t)
	const ids = 2000
	for i := range ids {
		h.list(uint64(i+100), up(fmt.Sprintf("s-%08x", i), s))
		name := fmt.Sprintf("%016x", i)
		a := h.ask(name, 50*time.Millisecond)
		if a.status != 200 || string(a.body) != name {
			t.Fatalf("request %d: got %d, %q", i, a.status, a.body)
		}
	}
	want(t, "connections opened", s.opened(), ids)
	want(t, "upstreams", len(h.peers), 1)
	want(t, "numbers", len(h.names.ids), 1)
	want(t, "numbers taken", len(h.names.taken), 1)
	want(t, "requests", len(h.requests), 0)
	want(t, "their ids", len(h.open), 0)
	want(t, "connections", h.conns, 1)
	for deadline := h.now() + 50*time.Millisecond; h.now() < deadline; {
		time.Sleep(time.Millisecond)
	}
	h.ring()
	if n := len(h.alarms); n > 5 { // the module's own timers
		t.Errorf("alarms: %d are left", n)
	}
	h.list(90000, draining(up("s-0fffffff", s)))
	listed{from: h.discovery, listing: listing{Revision: 90001, Members: []member{{ID: "s-0ffffffe", Phase: "removed"}}}}.apply(h.loop)
	want(t, "numbers after the removal of what was never listed", len(h.names.ids), 1)
}

// At the bound of connections the one that idles longest makes room, at whatever upstream: the one that is asked is not
// to blame.
func TestIdleConnectionMakesRoom(t *testing.T) {
	one, two := newServer(t, okAll), newServer(t, okAll)
	h := newHand(t)
	h.maxConns = 1
	h.list(20, up("s-00000001", one))
	want(t, "first", h.ask("1", time.Second).status, 200)
	h.list(21, up("s-00000001", one), up("s-00000002", two))
	for i := 0; len(two.arrivals) == 0; i++ {
		if i > 20 {
			t.Fatal("the second upstream is never asked")
		}
		want(t, "next", h.ask(fmt.Sprint("a", i), time.Second).status, 200)
		want(t, "connections", h.conns, 1)
	}
}

// A second copy that comes behind an answer, in a segment of its own, is not taken for the next request's answer.
func TestLateSecondCopyIsNotAnAnswer(t *testing.T) {
	copied := make(chan struct{}, 2)
	s := newServer(t, func(c net.Conn, r *http.Request) bool {
		ok(c, r.Header.Get("X-Request-Id"))
		if r.Header.Get("X-Request-Id") == "1" {
			time.Sleep(restFor / 2) // later than the answer, sooner than the connection has rested
			ok(c, "1")
			copied <- struct{}{}
		}
		return true
	})
	h := newHand(t)
	h.list(20, up("s-00000001", s))
	want(t, "first", string(h.ask("1", time.Second).body), "1")
	<-copied
	want(t, "second", string(h.ask("2", time.Second).body), "2")
	want(t, "connections opened", s.opened(), 2)
}

// Where connections rest only after strays, one does not rest at first; once a second copy was seen, they rest, and the next
// late copy is no answer.
func TestRestsAfterAStray(t *testing.T) {
	copied := make(chan struct{}, 2)
	s := newServer(t, func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		ok(c, id)
		if id == "2" {
			ok(c, id)
			copied <- struct{}{}
		}
		if id == "3" {
			time.Sleep(restFor / 2)
			ok(c, id)
			copied <- struct{}{}
		}
		return true
	})
	h := newHand(t)
	h.trust = true
	h.list(20, up("s-00000001", s))
	var p *peer
	for _, p = range h.peers {
	}
	want(t, "rest at first", h.rest(p), time.Duration(0))
	for i := 1; i <= 4; i++ {
		want(t, "answer", string(h.ask(fmt.Sprint(i), time.Second).body), fmt.Sprint(i))
		if i == 2 || i == 3 {
			<-copied
		}
	}
	if h.rest(p) != restFor || p.strays == 0 {
		t.Errorf("after %d strays connections rest for %v", p.strays, h.rest(p))
	}
}

// An upstream that is gone with an attempt out is forgotten once that ends, and its connection is not kept.
func TestGoneUpstreamEndsWithItsAttempt(t *testing.T) {
	release := make(chan struct{})
	s := newServer(t, func(c net.Conn, r *http.Request) bool { <-release; return okAll(c, r) })
	h := newHand(t)
	h.list(20, up("s-00000001", s))
	r := &request{name: "1", at: h.now(), reply: make(chan answer, 1)}
	r.Class, r.Budget = "checkin", 4*time.Second
	r.message = message{line: "POST /checkin", host: "x", header: http.Header{}}
	arrived{r}.apply(h.loop)
	h.settle()
	<-s.arrivals
	h.list(21, up("s-00000002", s))
	want(t, "upstreams while it is out", len(h.peers), 2)
	close(release)
	(<-h.events).apply(h.loop)
	want(t, "answer", (<-r.reply).status, 200)
	want(t, "upstreams", len(h.peers), 1)
	want(t, "connections", h.conns, 0)
}

// An attempt for which there is no connection was never sent, through no fault of the upstream's.
func TestNoRoomIsMoot(t *testing.T) {
	h := newHand(t)
	h.maxConns = 0
	s := newServer(t, okAll)
	h.list(20, up("s-00000001", s))
	want(t, "status", h.ask("1", time.Second).status, http.StatusServiceUnavailable)
	want(t, "connections", h.conns, 0)
	want(t, "upstreams asked", s.opened(), 0)
}
