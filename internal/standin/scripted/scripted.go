// Package scripted is a stand-in for nodes whose answers are written byte by byte: by tests, so that each thing that a node may
// do wrong is done on purpose.
package scripted

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Answer writes what it likes to a request, whose body has been read. False closes the connection.
type Answer func(c net.Conn, r *http.Request) bool

// Node is a node that is running.
type Node struct {
	Addr     string
	Arrivals chan *http.Request // each request whose last byte has come, with its body; at most 100 wait here
	opened   atomic.Int64
}

// TB is the part of testing.TB that a Node needs.
type TB interface {
	Helper()
	Fatal(args ...any)
	Cleanup(func())
}

// Start starts a node on a loopback port. It takes no more connections once the test ends.
func Start(t TB, answer Answer) *Node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	n := &Node{Addr: l.Addr().String(), Arrivals: make(chan *http.Request, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.opened.Add(1)
			go n.converse(c, answer)
		}
	}()
	return n
}

func (n *Node) converse(c net.Conn, answer Answer) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		n.Arrivals <- r
		if !answer(c, r) {
			return
		}
	}
}

// Opened counts the connections that have come.
func (n *Node) Opened() int { return int(n.opened.Load()) }

// OK answers with 200 and a body. It fails if the connection has.
func OK(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// Done answers every request with 200 and the same body.
func Done(c net.Conn, _ *http.Request) bool { return OK(c, "done") }

// Own answers every request with 200 and a body that names the request, so that the answers can be told apart.
func Own(c net.Conn, r *http.Request) bool { return OK(c, OwnBody(r)) }

// OwnBody is the body with which Own answers a request.
func OwnBody(r *http.Request) string {
	return fmt.Sprintf("the answer to request %q at %s", r.Header.Get("X-Request-Id"), r.URL.Path)
}
