package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/frontend"
	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

func TestMalformedRequestsAreRejected(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	b := startBalancer(t, upMember("s-00000001", s))
	get := b.newRequest("checkin", "")
	get.Method = http.MethodGet
	noID := b.newRequest("checkin", "")
	noID.Header.Del("X-Request-Id")
	noKey := b.newRequest("pay", "")
	noKey.Header.Del("Idempotency-Key")
	for _, c := range []struct {
		name    string
		request *http.Request
		status  int
	}{
		{"unknown class", b.newRequest("checkin", "", "X-Class", "nope"), 400},
		{"path of another class", b.newRequest("checkin", "", "X-Class", "read"), 400},
		{"no id", noID, 400},
		{"method of another class", get, 400},
		{"key for a class without keys", b.newRequest("checkin", "", "Idempotency-Key", "1"), 400},
		{"no key for a class that requires one", noKey, 400},
	} {
		status, _ := b.do(t, c.request)
		want(t, c.name, status, c.status)
	}
	tooLong := fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", body.DefaultLimits.Request+1)
	large := b.sendRaw(t, checkinHead(tooLong)+"x")
	want(t, "body too large", strings.HasPrefix(large, "HTTP/1.1 413"), true)
	want(t, "requests at the upstream", len(s.Arrivals), 0)
}

// A request that cannot be parsed, or can be parsed in more than one way, never reaches an upstream. It is rejected,
// and its connection is closed.
func TestMalformedHTTPIsRejected(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	b := startBalancer(t, upMember("s-00000001", s))
	const id = "X-Request-Id: 1\r\n"
	empty := checkinHead(id + "Content-Length: 0\r\n")
	for _, c := range []struct{ name, text, status string }{
		{"noise", "\x00\x01\x02\r\n\r\n", "400"},
		{"both framings", checkinHead(id + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), "400"},
		{"an unknown transfer coding", checkinHead(id + "Transfer-Encoding: gzip, chunked\r\n"), "501"},
		{"a chunk without a size", checkinHead(id+"Transfer-Encoding: chunked\r\n") + "x\r\n", "400"},
		{"a chunk size over 2^63", checkinHead(id+"Transfer-Encoding: chunked\r\n") + "ffffffffffffffffff\r\n", "400"},
		{"chunks without end", checkinHead(id+"Transfer-Encoding: chunked\r\n") + strings.Repeat("1\r\nx\r\n", 20<<10), "40"},
		{"chunks in HTTP/1.0", strings.Replace(checkinHead(id+"Transfer-Encoding: chunked\r\n"), "1.1", "1.0", 1), "505"},
		{"a space before the colon", checkinHead(id + "Transfer-Encoding : chunked\r\n"), "400"},
		{"a field without a colon", checkinHead(id + "what\r\n"), "400"},
		{"no length", checkinHead(id), "411"},
		{"a negative length", checkinHead(id + "Content-Length: -5\r\n"), "400"},
		{"a signed length", checkinHead(id+"Content-Length: +2\r\n") + "ab", "400"},
		{"a huge length", checkinHead(id + "Content-Length: 99999999999999999999\r\n"), "413"},
		{"two lengths", checkinHead(id + "Content-Length: 2\r\nContent-Length: 2\r\n"), "400"},
		{"a body longer than its length", checkinHead(id+"Content-Length: 2\r\n") + "abc", "400"},
		{"two requests at once", strings.Repeat(empty, 2), "400"},
		{"a class that does not exist", strings.Replace(empty, "X-Class: checkin", "X-Class: x", 1), "400"},
		{"two classes", checkinHead(id + "X-Class: checkin\r\nContent-Length: 0\r\n"), "400"},
		{"no id", checkinHead("Content-Length: 0\r\n"), "400"},
		{"two ids", checkinHead(id + id + "Content-Length: 0\r\n"), "400"},
		{"a deadline that is no number", checkinHead(id + "X-Deadline-Ms: soon\r\nContent-Length: 0\r\n"), "400"},
		{"a deadline that is empty", checkinHead(id + "X-Deadline-Ms:\r\nContent-Length: 0\r\n"), "400"},
		{"a deadline of zero", checkinHead(id + "X-Deadline-Ms: 0\r\nContent-Length: 0\r\n"), "400"},
		{"a negative deadline", checkinHead(id + "X-Deadline-Ms: -5\r\nContent-Length: 0\r\n"), "400"},
		{"two deadlines", checkinHead(id + "X-Deadline-Ms: 50\r\nX-Deadline-Ms: 60\r\nContent-Length: 0\r\n"), "400"},
		{"a head without end", checkinHead(id + strings.Repeat("X-Pad: pppp\r\n", http1.MaxHead)), "431"},
		{"half a head", "POST /checkin HT", "408"},
		{"half a body", checkinHead(id+"Content-Length: 5\r\n") + "ab", "408"},
		{"nothing", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			got := b.sendRaw(t, c.text)
			prefix := "" // a close without a response
			if c.status != "" {
				prefix = "HTTP/1.1 " + c.status
			}
			if (prefix == "") != (got == "") || !strings.HasPrefix(got, prefix) {
				t.Errorf("got %q, want %q", got, prefix)
			}
			if d := time.Since(start); d > 3*time.Second {
				t.Errorf("answered after %v", d)
			}
		})
	}
	t.Cleanup(func() { want(t, "requests at the upstream", len(s.Arrivals), 0) })
}

// A client that sends slowly but steadily, over a bad line, is served. Its request takes longer than FirstByteTimeout,
// after which a connection that sends nothing is closed.
func TestSlowClientIsServed(t *testing.T) {
	t.Parallel()
	s := scripted.Start(t, scripted.Done)
	b := startBalancer(t, upMember("s-00000001", s))
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	text := checkinHead("X-Request-Id: slow\r\nContent-Length: 4\r\n") + "body"
	piece := len(text)/6 + 1
	start := time.Now()
	for ; len(text) > 0; text = text[min(piece, len(text)):] {
		if _, err := io.WriteString(c, text[:min(piece, len(text))]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(frontend.ReadStallTimeout / 2) // simulates a slow line
	}
	if time.Since(start) < frontend.FirstByteTimeout {
		t.Fatal("the request was sent too fast for this test")
	}
	want(t, "status", readStatus(t, bufio.NewReader(c)), 200)
}

// A client's deadline above that of its class is lowered to the class's.
func TestLongDeadlineIsServed(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	b := startBalancer(t, upMember("s-00000001", s))
	status, _ := b.do(t, b.newRequest("checkin", "", "X-Deadline-Ms", "99999999999"))
	want(t, "status", status, 200)
}

// Of two requests with the same id, the second is rejected while the first is in flight, and the first is served.
func TestRequestIDInUse(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool { <-release; return scripted.Done(c, r) })
	b := startBalancer(t, upMember("s-00000001", s))
	request := b.newRequest("checkin", "")
	second := request.Clone(t.Context())
	first := b.doInBackground(request)
	<-s.Arrivals
	status, _ := b.do(t, second)
	want(t, "second", status, 409)
	close(release)
	want(t, "first", <-first, outcome{status: 200})
	status, _ = b.do(t, second.Clone(t.Context()))
	want(t, "once the first has ended", status, 200)
}

// If clients open more connections without a request than they may have, the oldest are closed, a request in flight is
// answered, and new clients are served.
func TestIdleConnectionsAreEvicted(t *testing.T) {
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
	var connections []net.Conn
	for range b.config.maxClientConns() + 50 {
		c, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		connections = append(connections, c)
	}
	if _, err := connections[0].Read(make([]byte, 1)); err == nil {
		t.Error("received bytes on the connection that has been idle longest")
	}
	status, _ := b.do(t, b.newRequest("checkin", ""))
	want(t, "a new client", status, 200)
	close(release)
	want(t, "the request in flight", <-late, outcome{status: 200})
}

// Clients that send one request and keep their connection could take up all client connections. Above keepAliveLimit,
// each response closes the connection that has been idle longest, and never one with a request in flight.
func TestKeepAliveLimitIsEnforced(t *testing.T) {
	const surplus = 20 // connections above the limit
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Request-Id") == "held" {
			<-release
		}
		return scripted.OK(c, "done")
	})
	b := startBalancer(t, upMember("s-1", s))
	held := b.sendRead(t, "held")
	<-s.Arrivals
	limit := b.config.keepAliveLimit()
	var kept []*bufio.Reader
	for i := range limit + surplus {
		in := b.sendRead(t, fmt.Sprint("once", i))
		if status := readStatus(t, in); status != http.StatusOK {
			t.Fatalf("request %d: status %d", i, status)
		}
		<-s.Arrivals
		kept = append(kept, in)
	}
	closed := notifyClosed(kept) // the limit counts the connection with the request in flight too
	for range surplus {
		select {
		case i := <-closed:
			if i > len(kept)/2 { // they are closed approximately in the order of their arrival
				t.Errorf("connection %d of %d was closed", i, len(kept))
			}
		case <-time.After(15 * time.Second):
			t.Fatalf("fewer than %d of %d connections were closed, %d may stay", surplus, len(kept), limit)
		}
	}
	close(release)
	want(t, "status of the request in flight", readStatus(t, held), http.StatusOK)
}

// sendRead sends a request of class read on a new connection, and returns a reader of the connection.
func (b *testBalancer) sendRead(t *testing.T, id string) *bufio.Reader {
	t.Helper()
	conn := b.dial(t)
	mustWrite(t, conn, "GET /read HTTP/1.1\r\nHost: x\r\nX-Class: read\r\nX-Request-Id: "+id+"\r\n\r\n")
	return bufio.NewReader(conn)
}

// notifyClosed returns a channel that receives the index of each connection that the balancer closes.
func notifyClosed(connections []*bufio.Reader) <-chan int {
	closed := make(chan int, len(connections))
	for i, in := range connections {
		go func() {
			_, err := in.ReadByte()
			endOfTest := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
			if err != nil && !endOfTest {
				closed <- i
			}
		}()
	}
	return closed
}
