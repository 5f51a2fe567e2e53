package upstream

import (
	"net"
	"net/http"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// newAttempt returns an attempt with a request without a body, which a server reads completely before it responds.
func newAttempt(address string, connection Conn, header ...http1.Field) *Attempt {
	message := &Message{RequestLine: "POST /x", Host: "x", Header: header}
	return &Attempt{Message: message, Address: address, Conn: connection, Timeout: time.Second}
}

// A request that was written on an idle connection that breaks is not written again by the transport: only the decision
// module may retry it. http.Transport would write a GET, or a request with an idempotency key, again by itself.
func TestOneAttemptIsOneWrite(t *testing.T) {
	for _, c := range []struct {
		class  string
		header http1.Fields
	}{
		{"checkin", http1.Fields{{Name: "X-Request-Id", Value: "1"}}},
		{"pay", http1.Fields{{Name: "X-Request-Id", Value: "1"}, {Name: "Idempotency-Key", Value: "1"}}},
	} {
		t.Run(c.class, func(t *testing.T) {
			requests := 0
			server := scripted.Start(t, func(connection net.Conn, r *http.Request) bool {
				requests++ // one connection at a time
				return requests == 1 && scripted.Done(connection, r)
			})
			transport := HTTP1{ConnectTimeout: time.Second}
			first := transport.Do(newAttempt(server.Addr, nil, c.header...))
			want(t, "first", first.Status, balancer.OK)
			second := transport.Do(newAttempt(server.Addr, first.Conn, c.header...))
			want(t, "second", second.Status, balancer.Reset)
			want(t, "requests written", len(server.Arrivals), 2)
			want(t, "connections", server.Opened(), 1)
		})
	}
}

// An idle connection that the upstream has closed is detected before a request is written on it.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 2)
	server := scripted.Start(t, func(accepted net.Conn, r *http.Request) bool {
		scripted.Done(accepted, r)
		accepted.Close()
		closed <- struct{}{}
		return false
	})
	transport := HTTP1{ConnectTimeout: time.Second}
	connection, _, err := transport.connect(nil, server.Addr, false)
	if err != nil {
		t.Fatal(err)
	}
	first := transport.Do(newAttempt(server.Addr, connection))
	want(t, "first", first.Status, balancer.OK)
	<-closed
	if err := first.Conn.(*conn).Wait(); err == nil { // waits for the end of the connection
		t.Fatal("bytes on an idle connection")
	}
	want(t, "second", transport.Do(newAttempt(server.Addr, first.Conn)).Status, balancer.OK)
	want(t, "connections", server.Opened(), 2)
}

func TestConnectFailedAndNotSentWriteNothing(t *testing.T) {
	transport := HTTP1{ConnectTimeout: time.Second}
	refused := transport.Do(&Attempt{Message: &Message{}, Address: scripted.FreeAddress(t)})
	want(t, "refused", refused.Status, balancer.ConnectFailed)

	// An attempt that is dropped before the connection is open is not written, and the connection is reusable.
	server := scripted.Start(t, scripted.Done)
	attempt := &Attempt{Message: &Message{RequestLine: "POST /x"}, Address: server.Addr, Timeout: time.Second}
	want(t, "dropped", attempt.Drop(), true)
	result := transport.Do(attempt)
	want(t, "status", result.Status, balancer.NotSent)
	reusable := result.Conn != nil && result.Conn.(*conn).checkIdle() == nil
	want(t, "reusable", reusable, true)
	want(t, "requests written", len(server.Arrivals), 0)
}
