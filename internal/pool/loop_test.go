package pool

import (
	"fmt"
	"net"
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

// manualLoop is a loop that a test turns by hand.
type manualLoop struct {
	*loop
	t *testing.T
}

// testSpec is a pool that follows discovery where nothing listens.
func testSpec() Spec {
	class := func(name string, repeat balancer.Idempotency) balancer.Class {
		return balancer.Class{Name: name, LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, Idempotency: repeat, PriorityWeight: 1}
	}
	return Spec{
		Name: "n0", Seed: 1, Discovery: "127.0.0.1:9", Connections: 400, InitialEndpoints: &discovery.Listing{},
		Links: wire.Links{KeepAlive: time.Minute, ConnectTimeout: 500 * time.Millisecond},
		Settings: balancer.Settings{
			Zone: "z1", Balancers: 1, PollDiscovery: true, Reports: balancer.ReportAnswers,
			Classes: []balancer.Class{class("read", balancer.Idempotent), class("checkin", balancer.NonIdempotent)},
			Limits:  balancer.Limits{MaxAttempts: 3, Cancel: true},
			Rules:   balancer.Rules{PollInterval: 320 * time.Millisecond, SlowStartFloor: 0.3, SlowStartDuration: 9 * time.Second, OverloadMultiple: 3, OverloadWindow: 1500 * time.Millisecond},
		},
	}
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

func upMember(id string, s *scripted.Node) discovery.Member {
	return discovery.Member{ID: id, HostPort: s.Addr, Locality: "z1", Phase: "up", Size: 1}
}

func drainingMember(m discovery.Member) discovery.Member { m.Phase = "draining"; return m }

func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func (h *manualLoop) updateEndpoints(revision uint64, members ...discovery.Member) {
	endpointsUpdated{From: h.source.client, Listing: discovery.Listing{Revision: revision, Complete: true, Members: members}}.apply(h.loop)
}

// request sends a request and turns the loop until it is answered and its attempts are over.
func (h *manualLoop) request(name string, budget time.Duration) Response {
	h.t.Helper()
	r := &Request{loop: h.loop, Name: name, At: h.now(), Reply: make(chan Response, 1)}
	r.Class, r.Budget = "checkin", budget
	r.Message = upstream.Message{Line: "POST /checkin", Host: "x", Header: http1.Fields{{Name: "X-Request-Id", Value: name}}}
	requestArrived{r}.apply(h.loop)
	h.reportPendingOutcomes()
	for len(h.requests) > 0 || h.hasOpenAttempts() {
		h.handleEvents()
	}
	return <-r.Reply
}

// handleEvents waits for events and handles them.
func (h *manualLoop) handleEvents() {
	h.t.Helper()
	select {
	case <-h.mailbox.ready:
	case <-time.After(10 * time.Second):
		h.t.Fatal("nothing happens")
	}
	for _, e := range h.mailbox.takeNormal(nil) {
		e.apply(h.loop)
		h.reportPendingOutcomes()
	}
}

func (h *manualLoop) hasOpenAttempts() bool {
	for _, p := range h.endpoints {
		if len(p.openAttempts) > 0 {
			return true
		}
	}
	return false
}

// Thousands of upstreams come and go under new ids, each at the address of the one before, with ever new requests: what
// the loop keeps returns to its size, and no connection crosses over from an old id to a new one.
func TestStateReturnsToItsSize(t *testing.T) {
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool { return scripted.OK(c, r.Header.Get("X-Request-Id")) })
	go func() {
		for range s.Arrivals {
		}
	}()
	h := newManualLoop(t, testSpec())
	const ids = 2000
	for i := range ids {
		h.updateEndpoints(uint64(i+100), upMember(fmt.Sprintf("s-%08x", i), s))
		name := fmt.Sprintf("%016x", i)
		a := h.request(name, 50*time.Millisecond)
		if a.Status != 200 || string(a.Body) != name {
			t.Fatalf("request %d: got %d, %q", i, a.Status, a.Body)
		}
	}
	want(t, "connections opened", s.Opened(), ids)
	want(t, "upstreams", len(h.endpoints), 1)
	want(t, "numbers", h.names.Len(), 1)
	want(t, "requests", len(h.requests), 0)
	want(t, "their ids", len(h.clientRequestIDs), 0)
	want(t, "connections", h.connections.open, 1)
	for deadline := h.now() + 50*time.Millisecond; h.now() < deadline; {
		time.Sleep(time.Millisecond)
	}
	h.fireTimers()
	if n := len(h.timers.heap); n > 5 { // the module's own timers
		t.Errorf("alarms: %d are left", n)
	}
	h.updateEndpoints(90000, drainingMember(upMember("s-0fffffff", s)))
	endpointsUpdated{From: h.source.client, Listing: discovery.Listing{Revision: 90001, Members: []discovery.Member{{ID: "s-0ffffffe", Phase: "removed"}}}}.apply(h.loop)
	want(t, "numbers after the removal of what was never listed", h.names.Len(), 1)
}

// At the bound of connections the one that idles longest makes room, at whatever upstream: the one that is asked is not
// to blame.
func TestIdleConnectionMakesRoom(t *testing.T) {
	one, two := scripted.Start(t, scripted.Done), scripted.Start(t, scripted.Done)
	h := newManualLoop(t, testSpec())
	h.connections.max = 1
	h.updateEndpoints(20, upMember("s-00000001", one))
	want(t, "first", h.request("1", time.Second).Status, 200)
	h.updateEndpoints(21, upMember("s-00000001", one), upMember("s-00000002", two))
	for i := 0; len(two.Arrivals) == 0; i++ {
		if i > 20 {
			t.Fatal("the second upstream is never asked")
		}
		want(t, "next", h.request(fmt.Sprint("a", i), time.Second).Status, 200)
		want(t, "connections", h.connections.open, 1)
	}
}

// A second copy that comes behind an answer, in a segment of its own, is not taken for the next request's answer.
func TestLateSecondResponseIsNotForNextRequest(t *testing.T) {
	copied := make(chan struct{}, 2)
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		scripted.OK(c, r.Header.Get("X-Request-Id"))
		if r.Header.Get("X-Request-Id") == "1" {
			time.Sleep(unsolicitedWatchTime / 2) // later than the answer, sooner than the connection has rested
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

// Where connections rest only after strays, one does not rest at first; once a second copy was seen, they rest, and the
// next late copy is no answer.
func TestReuseDelayAfterUnsolicitedBytes(t *testing.T) {
	copied := make(chan struct{}, 2)
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		scripted.OK(c, id)
		if id == "2" {
			scripted.OK(c, id)
			copied <- struct{}{}
		}
		if id == "3" {
			time.Sleep(unsolicitedWatchTime / 2)
			scripted.OK(c, id)
			copied <- struct{}{}
		}
		return true
	})
	h := newManualLoop(t, testSpec())
	h.connections.delayOnlyAfterUnsolicited = true
	h.updateEndpoints(20, upMember("s-00000001", s))
	var p *endpoint
	for _, p = range h.endpoints {
	}
	want(t, "rest at first", h.connections.reuseDelay(p), time.Duration(0))
	for i := 1; i <= 4; i++ {
		want(t, "answer", string(h.request(fmt.Sprint(i), time.Second).Body), fmt.Sprint(i))
		if i == 2 || i == 3 {
			<-copied
		}
	}
	if h.connections.reuseDelay(p) != unsolicitedWatchTime || p.notes.unsolicited == 0 {
		t.Errorf("after %d strays connections rest for %v", p.notes.unsolicited, h.connections.reuseDelay(p))
	}
}

// An upstream that is gone with an attempt out is forgotten once that ends, and its connection is not kept.
func TestRemovedEndpointEndsWithItsAttempt(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool { <-release; return scripted.Done(c, r) })
	h := newManualLoop(t, testSpec())
	h.updateEndpoints(20, upMember("s-00000001", s))
	r := &Request{loop: h.loop, Name: "1", At: h.now(), Reply: make(chan Response, 1)}
	r.Class, r.Budget = "checkin", 4*time.Second
	r.Message = upstream.Message{Line: "POST /checkin", Host: "x", Header: nil}
	requestArrived{r}.apply(h.loop)
	h.reportPendingOutcomes()
	<-s.Arrivals
	h.updateEndpoints(21, upMember("s-00000002", s))
	want(t, "upstreams while it is out", len(h.endpoints), 2)
	close(release)
	h.handleEvents()
	want(t, "answer", (<-r.Reply).Status, 200)
	want(t, "upstreams", len(h.endpoints), 1)
	want(t, "connections", h.connections.open, 0)
}

// An attempt for which there is no connection was never sent, through no fault of the upstream's.
func TestNoConnectionIsNotSent(t *testing.T) {
	h := newManualLoop(t, testSpec())
	h.connections.max = 0
	s := scripted.Start(t, scripted.Done)
	h.updateEndpoints(20, upMember("s-00000001", s))
	want(t, "status", h.request("1", time.Second).Status, http.StatusServiceUnavailable)
	want(t, "connections", h.connections.open, 0)
	want(t, "upstreams asked", s.Opened(), 0)
}

// One that is called back counts as started at that moment: its cold start is not known from discovery yet.
func TestReturnedEndpointWarmsUp(t *testing.T) {
	h := newManualLoop(t, testSpec())
	h.updateEndpoints(1, discovery.Member{ID: "s-00000001", HostPort: "127.0.0.1:1", Phase: "up", Size: 1})
	cold := func() bool {
		views, _ := h.balancer.View(h.now())
		return views[0].WarmingUp
	}
	want(t, "before", cold(), false)
	done := make(chan error, 2)
	outOfServiceRequested{"s-00000001", true, done}.apply(h.loop)
	h.updateEndpoints(2) // gone from the list, and the call holds
	h.updateEndpoints(3, discovery.Member{ID: "s-00000001", HostPort: "127.0.0.1:1", Phase: "up", Size: 1})
	want(t, "state while out", h.endpoints[1].state, balancer.Draining)
	outOfServiceRequested{"s-00000001", false, done}.apply(h.loop)
	want(t, "state", h.endpoints[1].state, balancer.Active)
	want(t, "after", cold(), true)
}

// With no connection left to open, an attempt could not connect: the module is told so, once, and nothing is owed.
func TestNoConnectionLeft(t *testing.T) {
	spec := testSpec()
	spec.Connections = 0
	spec.InitialEndpoints.Members = []discovery.Member{{ID: "s-00000001", HostPort: "127.0.0.1:9", Phase: "up", Size: 1}}
	l := newManualLoop(t, spec).loop
	r := &Request{loop: l, At: l.now(), Reply: make(chan Response, 1)}
	r.Class, r.Budget = "checkin", time.Second
	requestArrived{r}.apply(l)
	l.reportPendingOutcomes()
	if len(r.attempts) == 0 {
		t.Fatal("no attempt was made")
	}
	want(t, "attempts owed", r.unreported, 0)
	want(t, "written", r.attempts[0].GiveUp(time.Now()), false)
	want(t, "connections", l.connections.open, 0)
}

// An answer that was on its way from the old discovery when the configuration changed is dropped.
func TestAnswerOfTheOldDiscoveryIsDropped(t *testing.T) {
	spec := testSpec()
	spec.InitialEndpoints.Members = []discovery.Member{{ID: "s-00000001", HostPort: "127.0.0.1:9", Phase: "up", Size: 1}}
	l := newManualLoop(t, spec).loop
	old := l.source.client
	next := spec
	next.Discovery = "127.0.0.1:10"
	configurationReloaded{next, func() { t.Error("the settings are the same") }}.apply(l)
	endpointsUpdated{From: old, Listing: discovery.Listing{Revision: 90, Complete: true}}.apply(l)
	want(t, "upstreams after a late answer", len(l.endpoints), 1)
	want(t, "revision after it", l.source.revision, uint64(0))
	endpointsUpdated{From: l.source.client, Listing: discovery.Listing{Revision: 2, Complete: true}}.apply(l)
	want(t, "upstreams after the new list", len(l.endpoints), 0)
	want(t, "revision after it", l.source.revision, uint64(2))
}
