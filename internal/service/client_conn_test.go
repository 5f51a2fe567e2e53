package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"olivearch/internal/live"
	"olivearch/internal/standin/fleet"
	"olivearch/internal/standin/scripted"
)

// sockets starts a service on scripted nodes, which list "list" has. more goes behind the route's name.
func sockets(t *testing.T, pool, more string, nodes ...*scripted.Node) *site {
	t.Helper()
	x := begin(t, fleet.NewJudge(time.Second), t.TempDir(), streamed(pool, more, nodes...))
	x.until("all nodes", func(v live.View) bool { return len(v.Pools) == 1 && len(v.Pools[0].Nodes) == len(nodes) })
	return x
}

// streamed is a configuration with one pool and a safe class c.
func streamed(pool, more string, nodes ...*scripted.Node) string {
	var list []string
	for i, n := range nodes {
		list = append(list, fmt.Sprintf("{id: n%d, address: '%s'}", i, n.Addr))
	}
	return fmt.Sprintf(`classes: {c: {aim: 2s, deadline: 8s, repeat: safe}, u: {aim: 2s, deadline: 8s}}
pools: {p: {nodes: {static: [%s]} %s}}
routes:
  - {name: unsafe, path: {prefix: /u}, class: u, pool: p}
  - {name: all, class: c, pool: p %s}
`, strings.Join(list, ", "), pool, more)
}

// dial opens a connection and says something.
func (x *site) dial(text string) (*net.TCPConn, *bufio.Reader) {
	x.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(x.url, "http://"))
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		x.t.Fatal(err)
	}
	return c.(*net.TCPConn), bufio.NewReader(c)
}

func answer(t *testing.T, in *bufio.Reader) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}
