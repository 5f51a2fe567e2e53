package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"olivearch/internal/standin/scripted"
	"olivearch/internal/upstream"
	"olivearch/internal/upstream/upstreamtest"
)

// server is an upstreamtest.Server for HTTP/1.1.
type server struct {
	*scripted.Node
	behaviour atomic.Int64
	arrived   chan string
	released  chan struct{}
	release   func()
}

func startServer(t *testing.T) *server {
	t.Helper()
	s := &server{arrived: make(chan string, 100), released: make(chan struct{})}
	s.release = sync.OnceFunc(func() { close(s.released) })
	t.Cleanup(s.release)
	s.Node = scripted.Start(t, s.respond)
	return s
}

func (s *server) Address() string                       { return s.Addr }
func (s *server) SetBehaviour(b upstreamtest.Behaviour) { s.behaviour.Store(int64(b)) }
func (s *server) Arrived() <-chan string                { return s.arrived }
func (s *server) Release()                              { s.release() }

// respond is a scripted.Answer. It reports whether the connection stays open.
func (s *server) respond(c net.Conn, r *http.Request) bool {
	<-s.Arrivals
	if r.URL.Path == "/x" {
		s.arrived <- r.Header.Get("X-Request-Id")
	}
	answer := string(upstreamtest.ShortBody)
	switch upstreamtest.Behaviour(s.behaviour.Load()) {
	case upstreamtest.ServeLong:
		return sendLong(c, len(upstreamtest.LongBody))
	case upstreamtest.Reject:
		return send(c, "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case upstreamtest.Fail:
		return send(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
	case upstreamtest.Disconnect:
		return false
	case upstreamtest.Truncate:
		sendLong(c, len(upstreamtest.LongBody)/2)
		return false
	case upstreamtest.Stall:
		sendLong(c, len(upstreamtest.LongBody)/2)
		<-s.released
		return false
	case upstreamtest.Hold:
		<-s.released
		return scripted.OK(c, answer)
	case upstreamtest.Unsolicited:
		return scripted.OK(c, answer) && scripted.OK(c, "a second copy")
	default:
		return scripted.OK(c, answer)
	}
}

// send reports whether a response could be sent.
func send(c net.Conn, response string) bool {
	_, err := io.WriteString(c, response)
	return err == nil
}

// sendLong sends the head of a response with the body upstreamtest.LongBody, and the first bodyBytes bytes of the body.
func sendLong(c net.Conn, bodyBytes int) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(upstreamtest.LongBody))
	return send(c, head) && send(c, string(upstreamtest.LongBody[:bodyBytes]))
}

// TestContract tests the HTTP/1.1 transport against the contract of upstream.Transport.
func TestContract(t *testing.T) {
	upstreamtest.Test(t, upstreamtest.Suite{
		Transport: func() upstream.Transport { return upstream.HTTP1{ConnectTimeout: 5 * time.Second, FullResponses: true} },
		Server:    func(t *testing.T) upstreamtest.Server { return startServer(t) },
	})
}
