package service

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

	"olivearch/internal/live"
	"olivearch/internal/standin/fleet"
	"olivearch/internal/standin/scripted"
)

// startWithNodes starts a service with the configuration of streamConfig, and waits until its pool has all nodes.
func startWithNodes(t *testing.T, poolKeys, routeKeys string, nodes ...*scripted.Node) *testService {
	t.Helper()
	x := startService(t, fleet.NewJudge(time.Second), t.TempDir(), streamConfig(poolKeys, routeKeys, nodes...))
	x.waitFor("all nodes", func(v live.View) bool { return len(v.Pools) == 1 && len(v.Pools[0].Nodes) == len(nodes) })
	return x
}

// streamConfig returns a configuration with a pool p of the nodes and two classes: u (unsafe) for paths below /u and c
// (safe) for all others. The texts poolKeys and routeKeys add keys to the pool and to the route for class c.
func streamConfig(poolKeys, routeKeys string, nodes ...*scripted.Node) string {
	var list []string
	for i, n := range nodes {
		list = append(list, fmt.Sprintf("{id: n%d, address: '%s'}", i, n.Addr))
	}
	return fmt.Sprintf(`classes: {c: {aim: 2s, deadline: 8s, repeat: safe}, u: {aim: 2s, deadline: 8s}}
pools: {p: {nodes: {static: [%s]} %s}}
routes:
  - {name: unsafe, path: {prefix: /u}, class: u, pool: p}
  - {name: all, class: c, pool: p %s}
`, strings.Join(list, ", "), poolKeys, routeKeys)
}

// clientConn is a client's connection to the service. All its operations together must end within 20 s.
type clientConn struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

// response is a response whose body is closed at the end of the test, after its connection.
type response struct{ *http.Response }

// dial opens a connection to the client listener and sends a text. The connection is closed at the end of the test.
func (x *testService) dial(text string) *clientConn {
	x.t.Helper()
	opened, err := net.Dial("tcp", strings.TrimPrefix(x.url, "http://"))
	if err != nil {
		x.t.Fatal(err)
	}
	c := &clientConn{TCPConn: opened.(*net.TCPConn), t: x.t, reader: bufio.NewReader(opened)}
	x.t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		x.t.Fatal(err)
	}
	if _, err := io.WriteString(c.TCPConn, text); err != nil {
		x.t.Fatal(err)
	}
	return c
}

// send writes the whole text, and fails the test on an error.
func (c *clientConn) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.TCPConn, text); err != nil {
		c.t.Errorf("sending %d bytes: %v", len(text), err)
	}
}

// readResponse reads the head of a response, and fails the test on an error.
func (c *clientConn) readResponse() response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		c.Close() // first, since closing a body reads its rest from the connection
		resp.Body.Close()
	})
	return response{resp}
}

// wantEcho sends a text, and fails the test unless it reads the same text back.
func (c *clientConn) wantEcho(text string) {
	c.t.Helper()
	c.send(text)
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c.reader, got); err != nil || string(got) != text {
		c.t.Fatalf("got %q, %v, want %q", got, err, text)
	}
}

// wantEnd waits for the end of the connection, and fails the test if any byte arrives before it.
func (c *clientConn) wantEnd() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.reader); len(rest) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Errorf("got %q, %v; want the end of the connection", rest, err)
	}
}
