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

const upgradeRequest = "GET /echo HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, Upgrade\r\nUpgrade: Echo\r\n\r\n"

// echo is a node that upgrades the connection to a protocol in which it sends back all that it receives. It serves a
// request without an Upgrade field as usual.
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
	c := x.dial(upgradeRequest + "early") // bytes of the new protocol before the node's 101 are rejected
	if resp := c.readResponse(); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("bytes of the new protocol before the response: %d", resp.StatusCode)
	}
	c.Close()

	c = x.dial(upgradeRequest)
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
		t.Fatalf("the echo of %d bytes differs, %v", len(big), err)
	}
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	// The client has closed only its own direction, so the end of the other one still arrives.
	c.wantEnd()

	c = x.dial(upgradeRequest) // used for longer than its idle limit, then left idle
	c.readResponse()
	for range 5 {
		time.Sleep(100 * time.Millisecond) // shorter than the idle limit
		c.wantEcho("still here")
	}
	last := time.Now()
	c.wantEnd()
	if idle := time.Since(last); idle < 200*time.Millisecond {
		t.Errorf("ended only %v after the last byte", idle)
	}
	x.waitFor("no tunnel is left", func(v live.View) bool {
		return v.Pools[0].Tunnels == 0 && v.Pools[0].Nodes[0].Out == 0
	})
}

// TestTunnelLimits: when the pool or the node has as many tunnels as the configuration permits, a further one is
// rejected at once, and ordinary requests are still served.
func TestTunnelLimits(t *testing.T) {
	for _, limits := range []string{"{most: 2, per_node: 20}", "{most: 20, per_node: 2}"} {
		n := scripted.Start(t, echo)
		x := startWithNodes(t, ", tunnels: "+limits, ", upgrades: [echo]", n)
		for range 2 {
			c := x.dial(upgradeRequest)
			c.readResponse()
			c.wantEcho("x")
		}
		c := x.dial(upgradeRequest)
		if resp := c.readResponse(); resp.StatusCode != http.StatusServiceUnavailable ||
			resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: a third tunnel: %d, Retry-After %q",
				limits, resp.StatusCode, resp.Header.Get("Retry-After"))
		}
		c = x.dial("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
		if resp := c.readResponse(); resp.StatusCode != http.StatusOK {
			t.Errorf("%s: an ordinary request beside the tunnels: %d", limits, resp.StatusCode)
		}
	}
}

// TestTunnelUsesAnotherNode: a tunnel goes to another node if the first one has as many tunnels as it may.
func TestTunnelUsesAnotherNode(t *testing.T) {
	first, second := scripted.Start(t, echo), scripted.Start(t, echo)
	x := startWithNodes(t, ", tunnels: {per_node: 1}", ", upgrades: [echo]", first, second)
	for i := range 2 {
		c := x.dial(upgradeRequest)
		if resp := c.readResponse(); resp.StatusCode != http.StatusSwitchingProtocols {
			t.Fatalf("tunnel %d: %d", i, resp.StatusCode)
		}
		c.wantEcho("x")
	}
}

// TestTunnelEndsWithinGracePeriod: when the node drains, the route no longer permits the upgrade or the service stops,
// a tunnel still works for a moment and ends within its grace period.
func TestTunnelEndsWithinGracePeriod(t *testing.T) {
	for name, end := range map[string]func(x *testService, n *scripted.Node){
		"the node drains": func(x *testService, n *scripted.Node) {
			text := streamConfig(", tunnels: {grace: 300ms}", ", upgrades: [echo]", n)
			x.apply(strings.Replace(text, "{id: n0,", "{id: n0, phase: draining,", 1))
		},
		"the route permits no upgrade": func(x *testService, n *scripted.Node) {
			x.apply(streamConfig(", tunnels: {grace: 300ms}", "", n))
		},
		"the service stops": func(x *testService, _ *scripted.Node) { go x.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			n := scripted.Start(t, echo)
			x := startWithNodes(t, ", tunnels: {grace: 300ms}", ", upgrades: [echo]", n)
			c := x.dial(upgradeRequest)
			c.readResponse()
			c.wantEcho("before")
			began := time.Now()
			end(x, n)
			c.wantEcho("in the grace period")
			c.wantEnd()
			if took := time.Since(began); took > 5*time.Second { // less than the longest deadline, after which a stop gives up
				t.Errorf("the tunnel ended after %v", took)
			}
		})
	}
}

// TestNoUpgrade: on a route without upgrades a request for one is served as an ordinary request. A node that switches
// to a protocol that the client did not ask for has failed, and the client gets an error.
func TestNoUpgrade(t *testing.T) {
	n := scripted.Start(t, echo)
	x := startWithNodes(t, "", "", n)
	c := x.dial(upgradeRequest)
	if resp := c.readResponse(); resp.StatusCode != http.StatusOK {
		t.Errorf("on a route without upgrades: %d", resp.StatusCode)
	}
	wrongProtocol := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		fmt.Fprint(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n")
		return false
	})
	x = startWithNodes(t, "", ", upgrades: [echo]", wrongProtocol)
	for _, text := range []string{upgradeRequest, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"} {
		c = x.dial(text)
		if resp := c.readResponse(); resp.StatusCode < 500 {
			t.Errorf("a protocol that was not asked for: %d", resp.StatusCode)
		}
	}
}
