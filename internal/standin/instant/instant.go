// Package instant is a stand-in for nodes that answer at once: what a request costs in front of them is the proxy's.
package instant

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Node answers every request with the same body.
type Node struct {
	listener net.Listener
	answer   []byte
	runs     atomic.Int64
}

// Start starts a node on a loopback port, with a body of so many bytes.
func Start(body int) (*Node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Node{listener: l, answer: fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\nX-Load: util=0.1\r\n\r\n%s", body, make([]byte, body))}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return n, nil
}

func (n *Node) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		n.runs.Add(1)
		if _, err := c.Write(n.answer); err != nil {
			return
		}
	}
}

// Address is where it listens.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Runs counts the requests that it has answered.
func (n *Node) Runs() int64 { return n.runs.Load() }

// Close takes no more connections.
func (n *Node) Close() error { return n.listener.Close() }
