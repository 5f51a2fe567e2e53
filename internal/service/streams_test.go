package service

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"olivearch/internal/config"
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

// A client that is slower than its listener's rate in a body that goes on as it comes is given up, in both framings, and its node
// is free again; a reload gives bodies other memory.
func TestSlowBodyIsGivenUp(t *testing.T) {
	for _, framing := range []string{"Content-Length: 90000000", "Transfer-Encoding: chunked"} {
		t.Run(framing, func(t *testing.T) {
			n := scripted.Start(t, scripted.Done)
			x := sockets(t, "", "", n)
			text := strings.Replace(streamed("", "", n), "classes:", "limits: {bodies: 8MiB}\nclasses:", 1)
			slow, err := config.Parse("c.yaml", []byte("listeners: [{address: '127.0.0.1:0', within: 1s, rate: 1MiB}]\nadmin: {address: '127.0.0.1:0'}\n"+text))
			if err != nil {
				t.Fatal(err)
			}
			if err := x.Apply(slow); err != nil {
				t.Fatal(err)
			}
			if free := x.state.Load().listeners[listener].SpoolFree(); free != 8<<20 {
				t.Errorf("%d bytes for bodies after a reload that gives them %d", free, 8<<20)
			}
			c, in := x.dial("POST /u HTTP/1.1\r\nHost: x\r\n" + framing + "\r\n\r\n")
			if strings.HasPrefix(framing, "Transfer") {
				io.WriteString(c, "4000000\r\n")
			}
			c.Write(make([]byte, 2<<20)) // over the buffer: it is on its way
			done := make(chan struct{})
			go func() {
				defer close(done)
				for { // never silent for long
					if _, err := c.Write([]byte("x")); err != nil {
						return
					}
					time.Sleep(10 * time.Millisecond) // a slow line is what is tried
				}
			}()
			if resp := answer(t, in); resp.StatusCode != http.StatusRequestTimeout {
				t.Errorf("got %d", resp.StatusCode)
			}
			c.Close()
			<-done
			x.until("its connection is free", func(v live.View) bool { return v.Pools[0].Nodes[0].Out == 0 })
		})
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

// Clients of HTTP/1.0 get no chunks: an answer of no known length ends with the connection, and one that was cut with a reset.
func TestHTTP10(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	n := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		switch r.URL.Path {
		case "/chunks", "/cut":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long)
			if r.URL.Path == "/cut" {
				return false
			}
			io.WriteString(c, "0\r\nX-T: 1\r\n\r\n")
			return true
		}
		return scripted.Done(c, r)
	})
	x := sockets(t, "", "", n)
	_, in := x.dial("GET /a HTTP/1.0\r\nHost: x\r\n\r\n")
	if resp := answer(t, in); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("without keep-alive: %d, closes: %v", resp.StatusCode, resp.Close)
	}
	c, in := x.dial("GET /a HTTP/1.0\r\nHost: x\r\nConnection: Keep-Alive\r\n\r\n")
	for range 2 {
		resp := answer(t, in)
		body, err := io.ReadAll(resp.Body)
		if resp.Header.Get("Connection") != "keep-alive" || string(body) != "done" || err != nil {
			t.Errorf("with keep-alive: %v, %q, %v", resp.Header, body, err)
		}
		io.WriteString(c, "GET /a HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n")
	}
	_, in = x.dial("GET /chunks HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n")
	resp := answer(t, in)
	body, err := io.ReadAll(resp.Body)
	if len(resp.TransferEncoding) > 0 || resp.ContentLength >= 0 || string(body) != long || err != nil {
		t.Errorf("no known length: %v, %d bytes, %v", resp.Header, len(body), err)
	}
	_, in = x.dial("GET /cut HTTP/1.0\r\nHost: x\r\n\r\n")
	if body, err = io.ReadAll(answer(t, in).Body); err == nil {
		t.Errorf("a cut answer passes for whole, with %d bytes", len(body))
	}
	_, in = x.dial("POST /a HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	if resp := answer(t, in); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("chunks in HTTP/1.0: %d", resp.StatusCode)
	}
}

// Trailers and early hints go on, in both framings and directions.
func TestTrailersAndHints(t *testing.T) {
	n := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </b.css>\r\n\r\n")
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range 1 + len(r.Trailer.Get("X-Long")) { // long ones go on as they come
			fmt.Fprintf(c, "%x\r\n%s\r\n", 40<<10, strings.Repeat("x", 40<<10))
		}
		fmt.Fprintf(c, "0\r\nX-Sum: %s\r\n\r\n", r.Trailer.Get("X-Sum"))
		return true
	})
	x := sockets(t, "", "", n)
	for _, long := range []string{"", "11"} {
		for _, part := range []int{10, 70 << 10, 2 << 20} { // whole, read ahead, goes on as it comes
			c, in := x.dial("POST /u HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, X-Long\r\n\r\n")
			go fmt.Fprintf(c, "%x\r\n%s\r\n0\r\nX-Sum: 7\r\nX-Long: %s\r\n\r\n", part, strings.Repeat("y", part), long)
			hint := answer(t, in)
			if hint.StatusCode != http.StatusEarlyHints || hint.Header.Get("Link") != "</a.css>" {
				t.Fatalf("%d bytes: got %d, %v, want the first hint", part, hint.StatusCode, hint.Header)
			}
			resp := answer(t, in)
			got, err := io.ReadAll(resp.Body)
			if err != nil || len(got) != (1+len(long))*40<<10 || resp.Trailer.Get("X-Sum") != "7" {
				t.Errorf("%d bytes, %q: got %d bytes, trailer %v, %v", part, long, len(got), resp.Trailer, err)
			}
			c.Close()
		}
	}
}

// Each limit has its status, and a client that is turned away can read it.
func TestLimitsHaveTheirStatus(t *testing.T) {
	n := scripted.Start(t, scripted.Done)
	x := sockets(t, "", ", body: {max: 100KiB}", n)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"a long target":         {"GET /" + strings.Repeat("a", 20<<10) + " HTTP/1.1\r\nHost: x\r\n\r\n", 414},
		"a long head":           {"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-A: "+strings.Repeat("b", 1000)+"\r\n", 20) + "\r\n", 431},
		"many fields":           {"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-A: b\r\n", 200) + "\r\n", 431},
		"a long body":           {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n", 413},
		"a long body in chunks": {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n30D40\r\n" + strings.Repeat("x", 200000) + "\r\n0\r\n\r\n", 413},
		"a chunk of 2^64":       {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000000\r\nx", 400},
		"no length":             {"POST / HTTP/1.1\r\nHost: x\r\n\r\n", 411},
		"an expectation":        {"POST / HTTP/1.1\r\nHost: x\r\nExpect: miracles\r\nContent-Length: 1\r\n\r\nx", 417},
		"another coding":        {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
		"a bare LF":             {"GET / HTTP/1.1\nHost: x\r\n\r\n", 400},
		"a folded line":         {"GET / HTTP/1.1\r\nHost: x\r\nX-A: b\r\n c\r\n\r\n", 400},
		"a length in a trailer": {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 5\r\n\r\n", 400},
		"two framings":          {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 400},
		"HTTP/2":                {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505},
	} {
		_, in := x.dial(c.text)
		if resp := answer(t, in); resp.StatusCode != c.status {
			t.Errorf("%s: got %d, want %d", name, resp.StatusCode, c.status)
		}
	}
	if len(n.Arrivals) > 0 {
		t.Errorf("%d of them came to the node", len(n.Arrivals))
	}
}

// A cut at each byte of an exchange, on either side of the balancer, ends in exactly one answer that is whole or looks cut, or in a
// close; never in a hang, and an unsafe request never runs twice.
func TestCutsAtEveryByte(t *testing.T) {
	const says = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n5\r\nhello\r\n3;x=y\r\nyou\r\n0\r\nX-T: 1\r\n\r\n"
	const asks = "POST /u HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	const sites = 30 // a node that fails often is tried now and then only, so each has few cuts
	for k := range sites {
		t.Run(fmt.Sprint("part ", k), func(t *testing.T) {
			t.Parallel()
			for cut := k; cut <= len(says); cut += sites {
				n := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
					io.WriteString(c, says[:cut])
					return cut == len(says)
				})
				_, in := sockets(t, "", "", n).dial(asks)
				resp := answer(t, in)
				body, err := io.ReadAll(resp.Body)
				whole := resp.StatusCode == http.StatusOK && err == nil
				if whole != (cut == len(says)) || (whole && string(body) != "helloyou") {
					t.Errorf("cut at %d of %d: %d, %q, %v", cut, len(says), resp.StatusCode, body, err)
				}
				if runs := len(n.Arrivals); runs != 1 {
					t.Errorf("cut at %d: the request was written %d times", cut, runs)
				}
			}
		})
	}
	n := scripted.Start(t, scripted.Done)
	x := sockets(t, "", "", n)
	for at := range asks {
		c, in := x.dial(asks[:at])
		c.CloseWrite()
		if resp, err := http.ReadResponse(in, nil); err == nil && resp.StatusCode < 400 {
			t.Errorf("a request that ends at %d: %d", at, resp.StatusCode)
		}
		c.Close()
	}
	if runs := len(n.Arrivals); runs != 0 {
		t.Errorf("%d requests that never ended were written", runs)
	}
}

// Many clients that send a byte now and then do not keep ordinary ones out, and none of them takes a node.
func TestSlowClientsHoldNobodyUp(t *testing.T) {
	n := scripted.Start(t, scripted.Done)
	x := sockets(t, "", "", n)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	const slow = 300 // more than the listener takes at once with the ordinary ones
	for range slow {
		c, err := net.Dial("tcp", strings.TrimPrefix(x.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			defer c.Close()
			for _, b := range []byte("POST /u HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n") {
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
				select {
				case <-ctx.Done():
					return
				case <-time.After(50 * time.Millisecond): // a slow line is what is tried
				}
			}
		}()
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 10}}
	defer client.CloseIdleConnections()
	for i := range 200 {
		resp, err := client.Post(x.url+"/a", "text/plain", bytes.NewReader([]byte("b")))
		if err != nil {
			t.Fatal(i, err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %d", i, resp.StatusCode)
		}
		<-n.Arrivals
	}
	if len(n.Arrivals) > 0 {
		t.Errorf("%d slow requests came to the node", len(n.Arrivals))
	}
}

// Long answers that clients read slowly hold connections and are no load: the node looks as busy as it says, and queries go on.
func TestSlowDownloadsAreNoLoad(t *testing.T) {
	const downloads = 40
	release := make(chan struct{})
	n := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if r.URL.Path != "/long" {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Load: util=0.9\r\nContent-Length: 2\r\n\r\nok")
			return err == nil
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Load: util=0.9\r\nContent-Length: %d\r\n\r\nfirst", 1<<20)
		<-release
		_, err := c.Write(make([]byte, 1<<20-len("first")))
		return err == nil
	})
	x := sockets(t, "", "", n)
	var streams []*http.Response
	for range downloads {
		_, in := x.dial("GET /long HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		streams = append(streams, answer(t, in))
		<-n.Arrivals
	}
	for i := range 50 {
		_, in := x.dial("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		if resp := answer(t, in); resp.StatusCode != http.StatusOK {
			t.Fatalf("query %d beside them: %d", i, resp.StatusCode)
		}
		<-n.Arrivals
	}
	x.until("the load that the node tells", func(v live.View) bool { return v.Pools[0].Nodes[0].Mean > 0.8 })
	if v := x.pool("p"); v.Nodes[0].Out != 0 || v.Connections < downloads {
		t.Errorf("%d out, %d connections; want none out and at least %d connections", v.Nodes[0].Out, v.Connections, downloads)
	}
	close(release)
	for _, resp := range streams {
		if got, err := io.ReadAll(resp.Body); err != nil || len(got) != 1<<20 {
			t.Errorf("%d bytes came, %v", len(got), err)
		}
	}
}

// A body that goes on as it comes, however long that takes, is nothing that its node owes: queries beside it are served.
func TestSlowUploadsAreNoSilence(t *testing.T) {
	n := scripted.Start(t, scripted.Done)
	x := begin(t, fleet.NewJudge(time.Second), t.TempDir(), fmt.Sprintf(`classes: {c: {aim: 200ms, deadline: 5s, repeat: safe}, u: {aim: 200ms, deadline: 5s}}
pools: {p: {nodes: {static: [{id: n0, address: '%s'}]}}}
routes: [{name: unsafe, path: {prefix: /u}, class: u, pool: p}, {name: all, class: c, pool: p}]
`, n.Addr))
	const size = 4 << 20
	up, reply := x.dial(fmt.Sprintf("POST /u HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size))
	up.Write(make([]byte, size/2)) // over the buffer: it is on its way
	x.until("it is out", func(v live.View) bool {
		return len(v.Pools) == 1 && len(v.Pools[0].Nodes) == 1 && v.Pools[0].Nodes[0].Out == 1
	})
	for i := range 20 {
		time.Sleep(100 * time.Millisecond) // a slow client is what is tried
		up.Write([]byte("x"))
		if x.pool("p").Nodes[0].Silent {
			t.Fatal("the node counts as silent, and owes nothing")
		}
		if i%10 != 9 { // an answer would show that it lives
			continue
		}
		_, in := x.dial("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		if resp := answer(t, in); resp.StatusCode != http.StatusOK {
			t.Errorf("a query beside it: %d", resp.StatusCode)
		}
	}
	up.Write(make([]byte, size-size/2-20))
	if resp := answer(t, reply); resp.StatusCode != http.StatusOK {
		t.Errorf("the upload: %d", resp.StatusCode)
	}
}

// A reload that takes away route and pool, and a stop, let a long answer and a long body come to their end.
func TestStreamsOutliveTheirRoute(t *testing.T) {
	for _, how := range []string{"reload", "stop"} {
		t.Run(how, func(t *testing.T) {
			release := make(chan struct{})
			n := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
				if r.Method == http.MethodPost {
					return scripted.Done(c, r)
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
				<-release
				io.WriteString(c, "4\r\nlast\r\n0\r\n\r\n")
				return true
			})
			other := scripted.Start(t, scripted.Done)
			x := sockets(t, "", "", n)
			_, in := x.dial("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			down := answer(t, in)
			const size = 4 << 20
			up, reply := x.dial(fmt.Sprintf("POST /u HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", size))
			up.Write(make([]byte, size/2)) // more than is read ahead: it is on its way to the node
			x.until("both are there", func(v live.View) bool { return v.Pools[0].Connections >= 2 })
			if how == "stop" {
				go x.stop()
			} else {
				x.apply(strings.NewReplacer("pools: {p:", "pools: {q:", "pool: p", "pool: q").Replace(streamed("", "", other)))
			}
			up.Write(make([]byte, size-size/2))
			if resp := answer(t, reply); resp.StatusCode != http.StatusOK {
				t.Errorf("the body: %d", resp.StatusCode)
			}
			close(release)
			if got, err := io.ReadAll(down.Body); string(got) != "firstlast" || err != nil {
				t.Errorf("the answer: %q, %v", got, err)
			}
		})
	}
}

// A node that answers in full while the client still sends is heard: at the end of the body if it reads on, and once it has taken
// nothing for a while if it does not.
func TestNodeAnswersWhileTheClientSends(t *testing.T) {
	for name, readsOn := range map[string]bool{"and reads on": true, "and reads no more": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			done := make(chan struct{})
			defer close(done)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						io.CopyN(io.Discard, c, 200<<10)
						io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
						if readsOn {
							io.Copy(io.Discard, c)
						}
						<-done
					}()
				}
			}()
			const size = 40 << 20 // more than all sockets on the way hold
			x := sockets(t, "", "", &scripted.Node{Addr: l.Addr().String()})
			c, in := x.dial(fmt.Sprintf("POST /u HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size))
			sent := make(chan error, 1)
			go func() {
				_, err := c.Write(make([]byte, size))
				sent <- err
			}()
			resp := answer(t, in)
			if body, err := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK || string(body) != "early" || err != nil {
				t.Errorf("got %d, %q, %v", resp.StatusCode, body, err)
			}
			if err := <-sent; readsOn && (err != nil || resp.Close) {
				t.Errorf("the body went through: %v, and the connection ends: %v", err, resp.Close)
			} else if !readsOn && !resp.Close {
				t.Error("the connection goes on in the middle of a body")
			}
		})
	}
}
