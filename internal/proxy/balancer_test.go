package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/standin/scripted"
)

// responsesToLearn is how many responses with different bodies a balancer must have seen before it reuses connections.
const responsesToLearn = 4

// connectionRest is longer than a connection stays unused after a response that would be recognised if it came again.
const connectionRest = 2 * time.Millisecond

// learnResponses makes a balancer see that the bodies of its upstreams' responses differ.
func (b *testBalancer) learnResponses(t *testing.T, s *scripted.Node) {
	t.Helper()
	for range responsesToLearn {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		want(t, "status", status, 200)
		<-s.Arrivals
	}
}

func TestRequestsAreForwardedUnchanged(t *testing.T) {
	s := scripted.Start(t, scripted.Own)
	b := startBalancer(t, upMember("s-00000001", s))
	b.learnResponses(t, s)
	opened := s.Opened()
	for _, class := range []string{"pay", "checkin"} {
		time.Sleep(connectionRest) // otherwise the request might not reuse a connection
		sent := b.newRequest(class, "body", "Connection", "X-Hop", "X-Hop", "1", "X-Extras", "a=1")
		status, body := b.do(t, sent)
		want(t, "status", status, 200)
		received := <-s.Arrivals
		want(t, "answer", body, scripted.OwnBody(received))
		text, _ := io.ReadAll(received.Body)
		want(t, "body", string(text), "body")
		want(t, "method", received.Method, sent.Method)
		want(t, "target", received.RequestURI, "/"+class+"/x?q=%2F1")
		for _, h := range []string{"X-Request-Id", "Idempotency-Key", "X-Extras"} {
			want(t, h, received.Header.Get(h), sent.Header.Get(h))
		}
		want(t, "X-Hop", received.Header.Get("X-Hop"), "")
		if ms, err := strconv.Atoi(received.Header.Get("X-Deadline-Ms")); err != nil || ms <= 0 || ms >= 4000 {
			t.Errorf("X-Deadline-Ms: got %q, want less than the client's", received.Header.Get("X-Deadline-Ms"))
		}
	}
	want(t, "connections opened for them", s.Opened()-opened, 0)
}

// A refused connection proves that the request was not executed, so it is retried at another upstream.
func TestRefusedConnectionIsRetried(t *testing.T) {
	dead, alive := scripted.Start(t, scripted.Done), scripted.Start(t, scripted.Done)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Addr = l.Addr().String()
	l.Close()
	b := startBalancer(t, upMember("s-00000001", dead), upMember("s-00000002", alive))
	for range 4 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		want(t, "status", status, 200)
	}
}

// If an upstream hangs, the client gets a single response, by its deadline, and the request is not retried.
func TestHungUpstreamTimesOut(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool { <-release; return scripted.Done(c, r) })
	b := startBalancer(t, upMember("s-00000001", s), upMember("s-00000002", s))
	defer close(release)
	start := time.Now()
	status, _ := b.do(t, b.newRequest("checkin", "", "X-Deadline-Ms", "200"))
	want(t, "status", status, http.StatusGatewayTimeout)
	if d := time.Since(start); d < 150*time.Millisecond || d > 2*time.Second {
		t.Errorf("answered after %v, want about the deadline", d)
	}
	want(t, "requests at the upstream", len(s.Arrivals), 1)
}

// A client that leaves does not cancel its attempt. The upstream connection waits for the late response and is reused,
// since closing it would cost the upstream a handshake. The test's upstream closes all other connections after their
// responses.
func TestAbandonedAttemptKeepsItsConnection(t *testing.T) {
	release := make(chan struct{})
	from := make(chan net.Conn, 1)
	var learning atomic.Bool
	learning.Store(true)
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if learning.Load() {
			scripted.Own(c, r)
			return false
		}
		from <- c
		if r.Header.Get("X-Late") != "" {
			<-release
			return scripted.Own(c, r)
		}
		writeIfOpen(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	b := startBalancer(t, upMember("s-00000001", s))
	b.learnResponses(t, s)
	learning.Store(false)
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan error, 1)
	go func() {
		resp, err := b.client.Do(b.newRequest("checkin", "", "X-Late", "1").WithContext(ctx))
		if err == nil {
			resp.Body.Close()
		}
		gone <- err
	}()
	late := <-from
	<-s.Arrivals
	leave()
	if err := <-gone; err == nil {
		t.Fatal("the request was answered before its client left")
	}
	status, _ := b.do(t, b.newRequest("checkin", "")) // on another upstream connection
	want(t, "status", status, 200)
	<-from
	<-s.Arrivals
	close(release)
	for limit := time.Now().Add(3 * time.Second); ; {
		if status, _ := b.do(t, b.newRequest("checkin", "")); status == 200 {
			<-s.Arrivals
			if <-from == late {
				break
			}
		}
		if time.Now().After(limit) {
			t.Fatal("the connection was not reused")
		}
	}
}

// A client connection on which nothing was sent must not keep a stopping balancer running. Requests in flight are
// answered nevertheless.
func TestStopClosesUnusedConnections(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool { <-release; return scripted.Done(c, r) })
	b := startBalancer(t, upMember("s-00000001", s))
	unused, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	status := b.doInBackground(b.newRequest("checkin", ""))
	<-s.Arrivals
	b.cancel()
	if _, err := unused.Read(make([]byte, 1)); err == nil {
		t.Error("received bytes on an unused connection")
	}
	close(release)
	want(t, "status of the request in flight", <-status, outcome{status: 200})
}

// After SIGTERM, accepted requests are answered, and connections that are not accepted yet are served.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Late") != "" {
			<-release
		}
		return scripted.Done(c, r)
	})
	b := startBalancer(t, upMember("s-00000001", s))
	late := b.doInBackground(b.newRequest("checkin", "", "X-Late", "1"))
	<-s.Arrivals
	b.cancel()
	for { // a new connection, after the stop has begun
		r := b.newRequest("checkin", "")
		resp, err := (&http.Client{Transport: &http.Transport{}}).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		want(t, "status while stopping", resp.StatusCode, 200)
		if resp.Close {
			break
		}
	}
	close(release)
	want(t, "status of the request in flight", <-late, outcome{status: 200})
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
	b.ended <- nil
	if _, err := net.Dial("tcp", b.address); err == nil {
		t.Error("still listening")
	}
}

// SIGTERM comes while a reload changes the discovery service: accepted requests are answered nevertheless.
func TestStopDuringReloadAnswersAcceptedRequests(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool { <-release; return scripted.Done(c, r) })
	b := startBalancer(t, upMember("s-00000001", s))
	status := b.doInBackground(b.newRequest("checkin", ""))
	<-s.Arrivals
	next := startDiscovery(t)
	c := b.config
	c.Discovery = next.addr
	b.reloads <- c
	<-next.polls // the new discovery service is polled, and has not answered
	b.cancel()
	close(release)
	want(t, "status of the request in flight", <-status, outcome{status: 200})
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
	b.ended <- nil
}

func TestHealth(t *testing.T) {
	b := startBalancer(t)
	resp, err := b.client.Get(b.url + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	want(t, "status", resp.StatusCode, 200)
}

// New settings apply from the reload on, and a request in flight keeps its class.
func TestReloadChangesSettings(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Late") != "" {
			<-release
		}
		return scripted.Done(c, r)
	})
	b := startBalancer(t, upMember("s-00000001", s))
	late := b.doInBackground(b.newRequest("read", "", "X-Late", "1"))
	<-s.Arrivals
	status, _ := b.do(t, b.newRequest("fresh", ""))
	want(t, "a class that is not configured yet", status, 400)
	c := b.config
	c.Settings.Classes = append([]balancer.Class(nil), c.Settings.Classes[1:]...)
	c.Settings.Classes = append(c.Settings.Classes, balancer.Class{
		Name: "fresh", LatencyObjective: time.Second, Deadline: 2 * time.Second,
		Idempotency: balancer.NonIdempotent, PriorityWeight: 1,
	})
	c.Settings.Limits.MaxAttempts = 1
	b.reloads <- c
	b.reloads <- c // the first one has been passed to the pool by now, ahead of all further requests
	deadline := time.Now().Add(10 * time.Second)
	for status, _ = b.do(t, b.newRequest("fresh", "")); status != 200; status, _ = b.do(t, b.newRequest("fresh", "")) {
		if time.Now().After(deadline) {
			t.Fatal("the new class is not served")
		}
	}
	status, _ = b.do(t, b.newRequest("read", ""))
	want(t, "a class that was removed", status, 400)
	close(release)
	want(t, "a request in flight of the removed class", <-late, outcome{status: 200})
}
