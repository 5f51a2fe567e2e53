package upstream

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

// distinctiveBody returns the body of the response to a request, which no other response has.
func distinctiveBody(r *http.Request) string { return "the response to request " + r.URL.Path }

func newNumberedAttempt(address string, number int, idle Conn) *Attempt {
	return &Attempt{
		Message: &Message{RequestLine: fmt.Sprintf("POST /%d", number), Host: "x"},
		Address: address,
		Timeout: time.Minute,
		Conn:    idle,
	}
}

// serveDistinct makes attempts on one connection until bodies are known to differ, and returns the connection.
func serveDistinct(t *testing.T, transport HTTP1, server *scripted.Node) Conn {
	t.Helper()
	var connection Conn
	for number := range firstDistinctResponses {
		result := transport.Do(newNumberedAttempt(server.Addr, number, connection))
		want(t, "distinctive", result.Distinctive, true)
		connection = result.Conn
	}
	want(t, "bodies differ", transport.Recognition.Distinguishes(), true)
	return connection
}

// TestSecondResponseIsSkippedForTheRequestsOwn: copies of earlier responses arrive after the next request.
func TestSecondResponseIsSkippedForTheRequestsOwn(t *testing.T) {
	server := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if r.URL.Path == "/100" { // the copies arrive once the request has been written
			scripted.OK(c, "the response to request /3")
			scripted.OK(c, fmt.Sprintf("the response to request /%d", firstDistinctResponses-1))
		}
		return scripted.OK(c, distinctiveBody(r))
	})
	transport := HTTP1{ConnectTimeout: time.Second, Recognition: NewRecognition()}
	connection := serveDistinct(t, transport, server)
	attempt := newNumberedAttempt(server.Addr, 100, connection)
	attempt.SkipRepeated = true
	result := transport.Do(attempt)
	want(t, "status", result.Status, balancer.OK)
	want(t, "body", string(result.Body), "the response to request /100")
	want(t, "unsolicited bytes noticed", result.Unsolicited, true)
	want(t, "connection closed", result.Conn, nil)
}

// TestRecognitionHoldsForRequestUnderWay guards against a second response that is passed on as another request's,
// because bodies of other connections turned out to be alike while that request was under way.
func TestRecognitionHoldsForRequestUnderWay(t *testing.T) {
	recognition := NewRecognition()
	server := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if r.URL.Path == "/100" {
			for range 2 {
				recognition.observe(fingerprintOf([]byte("the response to two requests")))
			}
			scripted.OK(c, "the response to request /3")
		}
		return scripted.OK(c, distinctiveBody(r))
	})
	transport := HTTP1{ConnectTimeout: time.Second, Recognition: recognition}
	attempt := newNumberedAttempt(server.Addr, 100, serveDistinct(t, transport, server))
	attempt.SkipRepeated = true
	result := transport.Do(attempt)
	want(t, "body", string(result.Body), "the response to request /100")
	want(t, "bodies differ", recognition.Distinguishes(), false)
}

// TestConnectionIsNotDistinctiveForEver guards against a second response that is not recognised because the connection
// had more responses than it remembers, or one without a body that tells it apart.
func TestConnectionIsNotDistinctiveForEver(t *testing.T) {
	numbered := func(number int) string { return fmt.Sprint("a distinctive body ", number) }
	for _, c := range []struct {
		name    string
		framing http1.Framing
		bodies  int
		body    func(number int) string
	}{
		{"too many", http1.Framing{}, connectionHistory, numbered},
		{"too many in chunks", http1.Framing{Chunked: true}, maxOpenings, numbered},
		{"a short one", http1.Framing{}, 1, func(n int) string { return []string{"a distinctive body", "short"}[n] }},
	} {
		connection := new(conn)
		remember := func(number int) bool {
			content := []byte(c.body(number))
			return connection.remember(fingerprintOf(content), content, c.framing)
		}
		for number := range c.bodies {
			want(t, fmt.Sprint(c.name, ": response ", number), remember(number), true)
		}
		want(t, c.name+": the last", remember(c.bodies), false)
		want(t, c.name+": after it", connection.remember(1, []byte("another distinctive body"), c.framing), false)
	}
}

// TestCopiesWithoutEndFailTheAttempt: an upstream that sends nothing but copies can't hold an attempt.
func TestCopiesWithoutEndFailTheAttempt(t *testing.T) {
	server := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if r.URL.Path != "/100" {
			return scripted.OK(c, distinctiveBody(r))
		}
		for range 2 * maxSkippedResponses {
			scripted.OK(c, "the response to request /3")
		}
		return true
	})
	transport := HTTP1{ConnectTimeout: time.Second, Recognition: NewRecognition()}
	connection := serveDistinct(t, transport, server)
	attempt := newNumberedAttempt(server.Addr, 100, connection)
	attempt.SkipRepeated = true
	result := transport.Do(attempt)
	want(t, "status", result.Status, balancer.Reset)
	want(t, "connection closed", result.Conn, nil)
}

// TestEqualResponsesAreServed: where responses to different requests are alike none of them is skipped.
func TestEqualResponsesAreServed(t *testing.T) {
	server := scripted.Start(t, func(c net.Conn, _ *http.Request) bool {
		return scripted.OK(c, strings.Repeat("same", 8))
	})
	transport := HTTP1{ConnectTimeout: time.Second, Recognition: NewRecognition()}
	var connection Conn
	for number := range 3 * minDistinctResponses {
		result := transport.Do(newNumberedAttempt(server.Addr, number, connection))
		want(t, "status", result.Status, balancer.OK)
		connection = result.Conn
	}
	want(t, "bodies differ", transport.Recognition.Distinguishes(), false)
	want(t, "connections", server.Opened(), 1)
}

// TestResponseWronglySkippedIsLearnt: after a request's own response was skipped, equal bodies are served.
func TestResponseWronglySkippedIsLearnt(t *testing.T) {
	server := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if r.URL.Path == "/100" {
			scripted.OK(c, "the response to request /3")
			return false // nothing else comes
		}
		return scripted.OK(c, distinctiveBody(r))
	})
	transport := HTTP1{ConnectTimeout: time.Second, Recognition: NewRecognition()}
	connection := serveDistinct(t, transport, server)
	attempt := newNumberedAttempt(server.Addr, 100, connection)
	attempt.SkipRepeated = true
	result := transport.Do(attempt)
	want(t, "may have run", result.Status, balancer.Reset)
	want(t, "bodies differ", transport.Recognition.Distinguishes(), false)
	want(t, "required", transport.Recognition.required, minDistinctResponses*mistakeFactor)
}

// TestHistoryForgetsTheOldest: a connection's memory is bounded.
func TestHistoryForgetsTheOldest(t *testing.T) {
	var h history
	for i := range connectionHistory + 1 {
		h.add(fingerprint(i+1), connectionHistory)
	}
	want(t, "oldest", h.contains(1), false)
	want(t, "second", h.contains(2), true)
	want(t, "newest", h.contains(connectionHistory+1), true)
	want(t, "entries", len(h.ring), connectionHistory)
	want(t, "short bodies", h.contains(fingerprintOf([]byte("short"))), false)
}

// TestRejectionAfterRejectionProvesNothing: the second one on a connection may be a copy of the first.
func TestRejectionAfterRejectionProvesNothing(t *testing.T) {
	const rejection = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	server := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if r.URL.Path == "/2" {
			return scripted.OK(c, distinctiveBody(r))
		}
		_, err := c.Write([]byte(rejection))
		return err == nil
	})
	transport := HTTP1{ConnectTimeout: time.Second, Recognition: NewRecognition()}
	first := transport.Do(newNumberedAttempt(server.Addr, 1, nil))
	want(t, "on a new connection", first.Status, balancer.Rejected)
	second := transport.Do(newNumberedAttempt(server.Addr, 2, first.Conn))
	want(t, "served in between", second.Status, balancer.OK)
	third := transport.Do(newNumberedAttempt(server.Addr, 3, second.Conn))
	want(t, "may have run", third.Status, balancer.Reset)
	want(t, "connection closed", third.Conn, nil)
}

// TestRejectionLongAfterRejectionIsBelieved: copies don't come that late.
func TestRejectionLongAfterRejectionIsBelieved(t *testing.T) {
	c := &conn{}
	want(t, "first", c.noteRefusal(), false)
	want(t, "at once", c.noteRefusal(), true)
	c.refusedAt = c.refusedAt.Add(-copyWindow)
	want(t, "later", c.noteRefusal(), false)
}
