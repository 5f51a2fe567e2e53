package service

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"olivearch/internal/live"
	"olivearch/internal/standin/scripted"
)

const wantsEcho = "GET /echo HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, Upgrade\r\nUpgrade: Echo\r\n\r\n"

// echo changes to a protocol in which all that is said is said back.
func echo(c net.Conn, r *http.Request) bool {
	if r.Header.Get("Upgrade") == "" {
		return scripted.Done(c, r)
	}
	io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\nX-Node: 1\r\n\r\n")
	io.Copy(c, c)
	return false
}

// echoes says something and wants it back.
func echoes(t *testing.T, c net.Conn, in *bufio.Reader, text string) {
	t.Helper()
	io.WriteString(c, text)
	got := make([]byte, len(text))
	if _, err := io.ReadFull(in, got); err != nil || string(got) != text {
		t.Fatalf("got %q, %v, want %q", got, err, text)
	}
}

// ended waits for the end of a connection on which nothing more is said.
func ended(t *testing.T, in *bufio.Reader) {
	t.Helper()
	if rest, err := io.ReadAll(in); len(rest) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%q, %v: want the end", rest, err)
	}
}

func TestTunnel(t *testing.T) {
	n := scripted.Start(t, echo)
	x := sockets(t, ", tunnels: {most: 2, per_node: 2, idle: 300ms, grace: 100ms}", ", upgrades: [ECHO]", n)
	c, in := x.dial(wantsEcho + "early") // what is said with the request is the new protocol's... and not taken: it is ahead
	if resp := answer(t, in); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("bytes ahead of the answer: %d", resp.StatusCode)
	}
	c.Close()

	c, in = x.dial(wantsEcho)
	resp := answer(t, in)
	if resp.StatusCode != http.StatusSwitchingProtocols || resp.Header.Get("Upgrade") != "echo" || resp.Header.Get("X-Node") != "1" {
		t.Fatalf("got %d, %v", resp.StatusCode, resp.Header)
	}
	echoes(t, c, in, "one")
	big := strings.Repeat("0123456789abcdef", 8<<10)
	go io.WriteString(c, big)
	got := make([]byte, len(big))
	if _, err := io.ReadFull(in, got); err != nil || string(got) != big {
		t.Fatalf("%d bytes came back another, %v", len(big), err)
	}
	c.CloseWrite() // half of it ends, and the rest is still heard
	ended(t, in)

	c, in = x.dial(wantsEcho) // kept alive beyond its idle limit, then left alone
	answer(t, in)
	for range 5 {
		time.Sleep(100 * time.Millisecond) // the idle limit is what is tried
		echoes(t, c, in, "still here")
	}
	last := time.Now()
	ended(t, in)
	if idle := time.Since(last); idle < 200*time.Millisecond {
		t.Errorf("ended %v after the last word", idle)
	}
	x.until("no tunnel is left", func(v live.View) bool { return v.Pools[0].Tunnels == 0 && v.Pools[0].Nodes[0].Out == 0 })
}

// At either cap another is refused at once, and ordinary requests go on.
func TestTunnelCaps(t *testing.T) {
	for _, caps := range []string{"{most: 2, per_node: 20}", "{most: 20, per_node: 2}"} {
		n := scripted.Start(t, echo)
		x := sockets(t, ", tunnels: "+caps, ", upgrades: [echo]", n)
		for range 2 {
			c, in := x.dial(wantsEcho)
			answer(t, in)
			echoes(t, c, in, "x")
		}
		_, in := x.dial(wantsEcho)
		if resp := answer(t, in); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: a third tunnel: %d, Retry-After %q", caps, resp.StatusCode, resp.Header.Get("Retry-After"))
		}
		_, in = x.dial("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
		if resp := answer(t, in); resp.StatusCode != http.StatusOK {
			t.Errorf("%s: an ordinary request beside them: %d", caps, resp.StatusCode)
		}
	}
}

// A node at its cap is passed over for another.
func TestTunnelGoesToAnotherNode(t *testing.T) {
	x := sockets(t, ", tunnels: {per_node: 1}", ", upgrades: [echo]", scripted.Start(t, echo), scripted.Start(t, echo))
	for i := range 2 {
		c, in := x.dial(wantsEcho)
		if resp := answer(t, in); resp.StatusCode != http.StatusSwitchingProtocols {
			t.Fatalf("tunnel %d: %d", i, resp.StatusCode)
		}
		echoes(t, c, in, "x")
	}
}

// A tunnel ends within its grace when its node drains, when its route has gone, and when the process stops; not before.
func TestTunnelEndsInGrace(t *testing.T) {
	for name, end := range map[string]func(x *site, n *scripted.Node){
		"the node drains": func(x *site, n *scripted.Node) {
			text := streamed(", tunnels: {grace: 300ms}", ", upgrades: [echo]", n)
			x.apply(strings.Replace(text, "{id: n0,", "{id: n0, phase: draining,", 1))
		},
		"the route lets it through no more": func(x *site, n *scripted.Node) {
			x.apply(streamed(", tunnels: {grace: 300ms}", "", n))
		},
		"the process stops": func(x *site, _ *scripted.Node) { go x.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			n := scripted.Start(t, echo)
			x := sockets(t, ", tunnels: {grace: 300ms}", ", upgrades: [echo]", n)
			c, in := x.dial(wantsEcho)
			answer(t, in)
			echoes(t, c, in, "before")
			began := time.Now()
			end(x, n)
			echoes(t, c, in, "in its grace")
			ended(t, in)
			if took := time.Since(began); took > 5*time.Second { // less than the longest deadline, after which a stop gives up
				t.Errorf("it ended after %v", took)
			}
		})
	}
}

// Where no route lets it through, and where the node does not agree, the request is an ordinary one. A node that changes the
// protocol unasked has failed.
func TestNoTunnel(t *testing.T) {
	n := scripted.Start(t, echo)
	x := sockets(t, "", "", n)
	_, in := x.dial(wantsEcho)
	if resp := answer(t, in); resp.StatusCode != http.StatusOK {
		t.Errorf("no route lets it through: %d", resp.StatusCode)
	}
	unasked := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n")
		return false
	})
	x = sockets(t, "", ", upgrades: [echo]", unasked)
	for _, text := range []string{wantsEcho, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"} {
		_, in = x.dial(text)
		if resp := answer(t, in); resp.StatusCode < 500 {
			t.Errorf("another protocol than was asked for: %d", resp.StatusCode)
		}
	}
}
