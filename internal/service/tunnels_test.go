package service

import (
	"fmt"
	"io"
	"net"
	"net/http"
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
	fmt.Fprint(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\nX-Node: 1\r\n\r\n")
	_, _ = io.Copy(c, c)
	return false
}

func TestTunnel(t *testing.T) {
	n := scripted.Start(t, echo)
	x := startWithNodes(t, ", tunnels: {most: 2, per_node: 2, idle: 300ms, grace: 100ms}", ", upgrades: [ECHO]", n)
	c := x.dial(wantsEcho + "early") // what is said with the request is the new protocol's... and not taken: it is ahead
	if resp := c.readResponse(); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("bytes ahead of the answer: %d", resp.StatusCode)
	}
	c.Close()

	c = x.dial(wantsEcho)
	resp := c.readResponse()
	if resp.StatusCode != http.StatusSwitchingProtocols || resp.Header.Get("Upgrade") != "echo" ||
		resp.Header.Get("X-Node") != "1" {
		t.Fatalf("got %d, %v", resp.StatusCode, resp.Header)
	}
	c.wantEcho("one")
	big := strings.Repeat("0123456789abcdef", 8<<10)
	go c.send(big)
	got := make([]byte, len(big))
	if _, err := io.ReadFull(c.reader, got); err != nil || string(got) != big {
		t.Fatalf("%d bytes came back another, %v", len(big), err)
	}
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	// Half of it has ended, and the rest is still heard.
	c.wantEnd()

	c = x.dial(wantsEcho) // kept alive beyond its idle limit, then left alone
	c.readResponse()
	for range 5 {
		time.Sleep(100 * time.Millisecond) // the idle limit is what is tried
		c.wantEcho("still here")
	}
	last := time.Now()
	c.wantEnd()
	if idle := time.Since(last); idle < 200*time.Millisecond {
		t.Errorf("ended %v after the last word", idle)
	}
	x.waitFor("no tunnel is left", func(v live.View) bool {
		return v.Pools[0].Tunnels == 0 && v.Pools[0].Nodes[0].Out == 0
	})
}

// TestTunnelCaps: at either cap another is refused at once, and ordinary requests go on.
func TestTunnelCaps(t *testing.T) {
	for _, caps := range []string{"{most: 2, per_node: 20}", "{most: 20, per_node: 2}"} {
		n := scripted.Start(t, echo)
		x := startWithNodes(t, ", tunnels: "+caps, ", upgrades: [echo]", n)
		for range 2 {
			c := x.dial(wantsEcho)
			c.readResponse()
			c.wantEcho("x")
		}
		c := x.dial(wantsEcho)
		if resp := c.readResponse(); resp.StatusCode != http.StatusServiceUnavailable ||
			resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: a third tunnel: %d, Retry-After %q", caps, resp.StatusCode, resp.Header.Get("Retry-After"))
		}
		c = x.dial("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
		if resp := c.readResponse(); resp.StatusCode != http.StatusOK {
			t.Errorf("%s: an ordinary request beside them: %d", caps, resp.StatusCode)
		}
	}
}

// TestTunnelGoesToAnotherNode: a node at its cap is passed over for another.
func TestTunnelGoesToAnotherNode(t *testing.T) {
	first, second := scripted.Start(t, echo), scripted.Start(t, echo)
	x := startWithNodes(t, ", tunnels: {per_node: 1}", ", upgrades: [echo]", first, second)
	for i := range 2 {
		c := x.dial(wantsEcho)
		if resp := c.readResponse(); resp.StatusCode != http.StatusSwitchingProtocols {
			t.Fatalf("tunnel %d: %d", i, resp.StatusCode)
		}
		c.wantEcho("x")
	}
}

// TestTunnelEndsInGrace: a tunnel ends within its grace when its node drains, when its route has gone, and when the
// process stops; not before.
func TestTunnelEndsInGrace(t *testing.T) {
	for name, end := range map[string]func(x *testService, n *scripted.Node){
		"the node drains": func(x *testService, n *scripted.Node) {
			text := streamConfig(", tunnels: {grace: 300ms}", ", upgrades: [echo]", n)
			x.apply(strings.Replace(text, "{id: n0,", "{id: n0, phase: draining,", 1))
		},
		"the route lets it through no more": func(x *testService, n *scripted.Node) {
			x.apply(streamConfig(", tunnels: {grace: 300ms}", "", n))
		},
		"the process stops": func(x *testService, _ *scripted.Node) { go x.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			n := scripted.Start(t, echo)
			x := startWithNodes(t, ", tunnels: {grace: 300ms}", ", upgrades: [echo]", n)
			c := x.dial(wantsEcho)
			c.readResponse()
			c.wantEcho("before")
			began := time.Now()
			end(x, n)
			c.wantEcho("in its grace")
			c.wantEnd()
			if took := time.Since(began); took > 5*time.Second { // less than the longest deadline, after which a stop gives up
				t.Errorf("it ended after %v", took)
			}
		})
	}
}

// TestNoTunnel: where no route lets it through, and where the node does not agree, the request is an ordinary one. A
// node that changes the protocol unasked has failed.
func TestNoTunnel(t *testing.T) {
	n := scripted.Start(t, echo)
	x := startWithNodes(t, "", "", n)
	c := x.dial(wantsEcho)
	if resp := c.readResponse(); resp.StatusCode != http.StatusOK {
		t.Errorf("no route lets it through: %d", resp.StatusCode)
	}
	unasked := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		fmt.Fprint(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n")
		return false
	})
	x = startWithNodes(t, "", ", upgrades: [echo]", unasked)
	for _, text := range []string{wantsEcho, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"} {
		c = x.dial(text)
		if resp := c.readResponse(); resp.StatusCode < 500 {
			t.Errorf("another protocol than was asked for: %d", resp.StatusCode)
		}
	}
}
