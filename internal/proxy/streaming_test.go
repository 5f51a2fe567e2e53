package proxy

import (
	"bufio"
	"bytes"
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
	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

// Request and response bodies of any size and framing are forwarded unchanged. After that their memory is free, and
// their connections serve further requests.
func TestBodiesOfAnySizeAreForwarded(t *testing.T) {
	readAhead := body.MaxBuffered + body.DefaultLimits.ReadAheadBytes
	for _, size := range []int{0, 1, body.MaxBuffered, body.MaxBuffered + 1, readAhead, readAhead + 1, 6 << 20} {
		body := randomBytes(size)
		s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
			switch r.Header.Get("X-Framing") {
			case "chunked":
				writeIfOpen(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				writeChunked(c, body)
			case "close":
				writeIfOpen(c, "HTTP/1.1 200 OK\r\n\r\n"+string(body))
				return false
			default:
				return scripted.OK(c, string(body))
			}
			return true
		})
		b := startBalancer(t, upMember("s-00000001", s))
		for _, framing := range []string{"length", "chunked", "close"} {
			request := b.newRequest("checkin", string(body), "X-Framing", framing)
			if framing != "length" {
				request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), -1
			}
			status, got := b.do(t, request)
			want(t, "status", status, 200)
			if got != string(body) {
				t.Errorf("%d bytes, %s: got a different response of %d bytes", size, framing, len(got))
			}
			sent, _ := io.ReadAll((<-s.Arrivals).Body)
			if !bytes.Equal(sent, body) {
				t.Errorf("%d bytes, %s: the upstream got a different body of %d bytes", size, framing, len(sent))
			}
		}
		free := b.server.FreeSpoolBytes()
		want(t, "memory in use for bodies", int64(b.config.MemoryMB)<<20/8-free, int64(0))
		memory, places := b.server.Budgets()
		want(t, "memory reserved for bodies", memory.Used, int64(0))
		want(t, "places for uploads", places.Used, int64(0))
	}
}

// Each part of a response is forwarded at once, not only when the response is complete.
func TestResponseIsStreamed(t *testing.T) {
	next := make(chan string)
	s := scripted.Start(t, func(c net.Conn, _ *http.Request) bool {
		writeIfOpen(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for text := range next {
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		}
		writeIfOpen(c, http1.LastChunk)
		return true
	})
	b := startBalancer(t, upMember("s-00000001", s))
	_, in := b.sendHead(t, "Content-Length: 0\r\n")
	next <- "one"
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	for _, text := range []string{"one", "two", "three"} {
		if text != "one" {
			next <- text
		}
		got := make([]byte, len(text))
		if _, err := io.ReadFull(resp.Body, got); string(got) != text || err != nil {
			t.Fatalf("got %q, %v, want %q", got, err, text)
		}
	}
	close(next)
	if rest, err := io.ReadAll(resp.Body); len(rest) > 0 || err != nil {
		t.Errorf("%q after the last part, %v", rest, err)
	}
}

// If an upstream fails in the middle of a response, the client can tell that the response is truncated, and the request
// is not retried.
func TestTruncatedResponseIsDetectable(t *testing.T) {
	body := randomBytes(3 * body.MaxBuffered)
	withLength := fmt.Sprintf("Content-Length: %d", len(body))
	for _, head := range []string{withLength, "Transfer-Encoding: chunked", "X-To: close"} {
		for _, share := range []int{0, 1, 2} {
			s := scripted.Start(t, func(c net.Conn, _ *http.Request) bool {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", head)
				part := body[:len(body)*share/3]
				if strings.HasPrefix(head, "Transfer") {
					fmt.Fprintf(c, "%x\r\n", len(body)) // the chunk's end never comes
				}
				writeIfOpen(c, string(part))
				_ = c.(*net.TCPConn).SetLinger(0) // so that the close is a reset; fails if the balancer has closed it
				return false
			})
			b := startBalancer(t, upMember("s-00000001", s))
			_, in := b.sendHead(t, "Content-Length: 0\r\n")
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil && resp.StatusCode == 200 {
				t.Errorf("%s, truncated after %d of 3 parts: %d bytes look complete", head, share, len(got))
			}
			want(t, "executions", len(s.Arrivals), 1)
		}
	}
}

// A response that comes promptly is read to its end before it is forwarded. An idempotent request whose response is
// truncated can therefore be retried at another upstream.
func TestTruncatedPromptResponseIsRetried(t *testing.T) {
	bad := scripted.Start(t, func(c net.Conn, _ *http.Request) bool {
		writeIfOpen(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")
		return false
	})
	good := scripted.Start(t, scripted.Done)
	b := startBalancer(t, upMember("s-00000001", bad), upMember("s-00000002", good))
	for range 6 {
		status, body := b.do(t, b.newRequest("read", ""))
		want(t, "status", status, 200)
		want(t, "body", body, "done")
	}
	if len(bad.Arrivals) == 0 {
		t.Error("the bad upstream got no request: nothing was tested")
	}
}

// A request body that arrives slowly takes up no attempt until it has been read, up to the read-ahead limit.
func TestSlowBodyTakesNoUpstream(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	b := startBalancer(t, upMember("s-00000001", s))
	body := randomBytes(body.MaxBuffered + body.DefaultLimits.ReadAheadBytes/2)
	c, in := b.sendHead(t, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
	mustWrite(t, c, string(body[:len(body)-1]))
	status, _ := b.do(t, b.newRequest("checkin", "")) // sent later, but served first
	want(t, "status", status, 200)
	want(t, "connections to the upstream", s.Opened(), 1)
	want(t, "requests at the upstream", len(s.Arrivals), 1)
	mustWrite(t, c, string(body[len(body)-1:]))
	want(t, "status", readStatus(t, in), 200)
}

// A body above the read-ahead limit is forwarded while it arrives, and the deadline counts from its last byte.
func TestDeadlineCountsFromLastBodyByte(t *testing.T) {
	begun := make(chan struct{})
	s := scripted.Start(t, scripted.Done)
	b := startBalancer(t, upMember("s-00000001", s))
	body := randomBytes(body.MaxBuffered + body.DefaultLimits.ReadAheadBytes + 3*body.BlockSize)
	c, in := b.sendHead(t, fmt.Sprintf("X-Deadline-Ms: 400\r\nContent-Length: %d\r\n", len(body)))
	mustWrite(t, c, string(body[:len(body)-4]))
	go func() { // the attempt begins before the last byte has come
		defer close(begun)
		for deadline := time.Now().Add(10 * time.Second); s.Opened() == 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
	}()
	<-begun
	for i := len(body) - 4; i < len(body); i++ {
		time.Sleep(150 * time.Millisecond) // simulates a slow line
		mustWrite(t, c, string(body[i:i+1]))
	}
	want(t, "status", readStatus(t, in), 200)
	sent, _ := io.ReadAll((<-s.Arrivals).Body)
	if !bytes.Equal(sent, body) {
		t.Error("the upstream got a different body")
	}
}

// If a client closes its side in the middle of a body that is being forwarded, the upstream gets no complete request,
// and the next request is served.
func TestClientClosesMidBody(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	b := startBalancer(t, upMember("s-00000001", s))
	for _, framing := range []string{"Content-Length: 4000000\r\n", "Transfer-Encoding: chunked\r\n"} {
		c, _ := b.sendHead(t, framing)
		if strings.HasPrefix(framing, "Transfer") {
			mustWrite(t, c, "3d0900\r\n")
		}
		mustWrite(t, c, string(randomBytes(2*body.DefaultLimits.ReadAheadBytes)))
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(c); len(text) > 0 || err != nil {
			t.Errorf("%q, %v: want a close", text, err)
		}
	}
	status, _ := b.do(t, b.newRequest("checkin", ""))
	want(t, "status of the next", status, 200)
	want(t, "complete requests at the upstream", len(s.Arrivals), 1)
}

// An upstream that closes its connection before the last byte of a body has not executed the request. The client's
// response says that a retry is safe, although the balancer cannot retry itself. An early response is forwarded.
func TestUpstreamClosesMidBody(t *testing.T) {
	for _, test := range []struct {
		name, response string
		status         int
	}{
		{"dies", "", 503},
		{"rejects it", "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", 503},
		{"fails at it", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", 502},
		{"answers early", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", 200},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, c, body.MaxBuffered) // fewer bytes arrive if the balancer gives up
				writeIfOpen(c, test.response)
				c.Close()
			}
		}()
		b := startBalancer(t, upMember("s-00000001", &scripted.Node{Addr: l.Addr().String()}))
		c, in := b.sendHead(t, "Content-Length: 30000000\r\n")
		go writeIfOpen(c, string(randomBytes(30000000)))
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(test.name, err)
		}
		resp.Body.Close()
		want(t, test.name, resp.StatusCode, test.status)
		want(t, "its connection is closed", resp.Close, true)
	}
}

// Without an upstream, a long request is rejected at once, and its client can read the response while it still sends.
func TestLongRequestIsRejectedAtOnce(t *testing.T) {
	b := startBalancer(t)
	<-b.discoveryServer.polls
	c, in := b.sendHead(t, "Content-Length: 8000000\r\n")
	writeIfOpen(c, string(randomBytes(body.MaxBuffered+body.DefaultLimits.ReadAheadBytes+body.BlockSize)))
	want(t, "status", readStatus(t, in), 503)
	writeIfOpen(c, string(randomBytes(1<<20)))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after the response: %v", err)
	}
}

// Unusual forms of requests, which HTTP/1.1 allows and common clients may send.
func TestUnusualRequestForms(t *testing.T) {
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		writeIfOpen(c, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 \r\ncontent-length:4\r\n\r\ndone")
		return true
	})
	b := startBalancer(t, upMember("s-00000001", s))
	const id = "X-Request-Id: f%d\r\n"
	for i, text := range []string{
		"\r\n" + checkinHead(id+"content-length:   2  \r\n") + "ab",
		strings.Replace(checkinHead(id+"Content-Length: 2\r\n"), " /checkin", " http://x/checkin", 1) + "ab",
		checkinHead(id+"Transfer-Encoding: Chunked\r\nTrailer: X-T\r\n") +
			"1;a=b\r\na\r\n01\r\nb\r\n000\r\nX-T: 1\r\n\r\n",
	} {
		c := b.dial(t)
		text = fmt.Sprintf(text, i)
		for j := range text { // one byte at a time
			mustWrite(t, c, text[j:j+1])
		}
		want(t, "status", readStatus(t, bufio.NewReader(c)), 200)
		r := <-s.Arrivals
		body, _ := io.ReadAll(r.Body)
		want(t, "body", string(body), "ab")
		want(t, "target", r.RequestURI, "/checkin")
		c.Close()
	}
}
