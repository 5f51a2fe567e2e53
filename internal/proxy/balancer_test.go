package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/standin/scripted"
)

func TestServesUnchanged(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	b := startBalancer(t, upMember("s-00000001", s))
	for _, class := range []string{"pay", "checkin"} {
		time.Sleep(2 * time.Millisecond) // or the second one would not use the connection again
		q := b.newRequest(class, "body", "Connection", "X-Hop", "X-Hop", "1", "X-Extras", "a=1")
		status, body := b.do(t, q)
		want(t, "status", status, 200)
		want(t, "answer", body, "done")
		r := <-s.Arrivals
		text, _ := io.ReadAll(r.Body)
		want(t, "body", string(text), "body")
		want(t, "method", r.Method, q.Method)
		want(t, "target", r.RequestURI, "/"+class+"/x?q=%2F1")
		for _, h := range []string{"X-Request-Id", "Idempotency-Key", "X-Extras"} {
			want(t, h, r.Header.Get(h), q.Header.Get(h))
		}
		want(t, "X-Hop", r.Header.Get("X-Hop"), "")
		if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err != nil || ms <= 0 || ms >= 4000 {
			t.Errorf("X-Deadline-Ms: got %q, want under the client's", r.Header.Get("X-Deadline-Ms"))
		}
	}
	want(t, "connections", s.Opened(), 1)
}

// A refused connection proves that the request never ran: it is retried at another upstream.
func TestRefusedConnectionGoesElsewhere(t *testing.T) {
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

// An upstream hangs: the client gets its one answer by its deadline, and the request is not retried.
func TestFailsByTheDeadline(t *testing.T) {
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

// A client that leaves stops no work. The upstream connection waits for the late answer and is used again: to close it
// would cost the upstream a handshake. All other connections are closed after their answers here.
func TestConnectionOutlivesItsClient(t *testing.T) {
	release := make(chan struct{})
	from := make(chan net.Conn, 1)
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		from <- c
		if r.Header.Get("X-Late") != "" {
			<-release
			return scripted.Done(c, r)
		}
		writeIfOpen(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	b := startBalancer(t, upMember("s-00000001", s))
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
		t.Fatal("the client has not left")
	}
	status, _ := b.do(t, b.newRequest("checkin", "")) // on a connection of its own
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
			t.Fatal("the connection was not used again")
		}
	}
}

// A connection on which nothing was ever sent must not keep a stopping balancer from ending, nor end the requests in
// flight.
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
		t.Error("bytes on an unused connection")
	}
	close(release)
	want(t, "status of the request in flight", <-status, outcome{status: 200})
}

// Requests that were accepted are answered after SIGTERM, and connections that are still on their way are served.
func TestStopLosesNothing(t *testing.T) {
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

// SIGTERM comes while discovery moves: requests that were accepted are answered all the same.
func TestStopDuringReloadLosesNothing(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool { <-release; return scripted.Done(c, r) })
	b := startBalancer(t, upMember("s-00000001", s))
	status := b.doInBackground(b.newRequest("checkin", ""))
	<-s.Arrivals
	next := startRegistry(t)
	c := b.config
	c.Discovery = next.addr
	b.reloads <- c
	<-next.calls // the poll has moved, and waits for the list
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

// New settings hold from the reload on, and a request in flight keeps its class.
func TestSettingsChange(t *testing.T) {
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
	want(t, "a class that is not known yet", status, 400)
	c := b.config
	c.Settings.Classes = append([]balancer.Class(nil), c.Settings.Classes[1:]...)
	c.Settings.Classes = append(c.Settings.Classes, balancer.Class{
		Name: "fresh", LatencyObjective: time.Second, Deadline: 2 * time.Second,
		Idempotency: balancer.NonIdempotent, PriorityWeight: 1,
	})
	c.Settings.Limits.MaxAttempts = 1
	b.reloads <- c
	b.reloads <- c // the first is with the pool's goroutine by now, ahead of all requests to come
	deadline := time.Now().Add(10 * time.Second)
	for status, _ = b.do(t, b.newRequest("fresh", "")); status != 200; status, _ = b.do(t, b.newRequest("fresh", "")) {
		if time.Now().After(deadline) {
			t.Fatal("the new class is not served")
		}
	}
	status, _ = b.do(t, b.newRequest("read", ""))
	want(t, "a class that was removed", status, 400)
	close(release)
	want(t, "a request in flight in it", <-late, outcome{status: 200})
}
