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

// node speaks HTTP/1.1.
type node struct {
	*scripted.Node
	do       atomic.Int64
	arrived  chan string
	released chan struct{}
	release  func()
}

func (n *node) Address() string             { return n.Addr }
func (n *node) Do(b upstreamtest.Behaviour) { n.do.Store(int64(b)) }
func (n *node) Arrived() <-chan string      { return n.arrived }
func (n *node) Release()                    { n.release() }

func (n *node) answer(c net.Conn, r *http.Request) bool {
	<-n.Arrivals
	if r.URL.Path == "/x" {
		n.arrived <- r.Header.Get("X-Request-Id")
	}
	long := func(part int) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(upstreamtest.Long))
		c.Write(upstreamtest.Long[:len(upstreamtest.Long)/part])
	}
	switch upstreamtest.Behaviour(n.do.Load()) {
	case upstreamtest.ServeLong:
		long(1)
	case upstreamtest.Turn:
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case upstreamtest.Fail:
		io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
	case upstreamtest.Vanish:
		return false
	case upstreamtest.Cut:
		long(2)
		return false
	case upstreamtest.Hang:
		long(2)
		<-n.released
		return false
	case upstreamtest.Hold:
		<-n.released
		return scripted.OK(c, string(upstreamtest.Answer))
	case upstreamtest.Extra:
		return scripted.OK(c, string(upstreamtest.Answer)) && scripted.OK(c, "a second copy")
	default:
		return scripted.OK(c, string(upstreamtest.Answer))
	}
	return true
}

// HTTP/1.1 keeps to the contract.
func TestContract(t *testing.T) {
	upstreamtest.Test(t, upstreamtest.Suite{
		Transport: func() upstream.Transport { return upstream.HTTP1{Timeout: 5 * time.Second, Whole: true} },
		Node: func(t *testing.T) upstreamtest.Node {
			n := &node{arrived: make(chan string, 100), released: make(chan struct{})}
			n.release = sync.OnceFunc(func() { close(n.released) })
			t.Cleanup(n.release)
			n.Node = scripted.Start(t, n.answer)
			return n
		},
	})
}
