package service

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"olivearch/internal/standin/fleet"
	"olivearch/internal/standin/scripted"
)

// arrival is the host and the target of a request as a node received it.
type arrival struct{ host, target string }

// startRecordingNode starts a node that sends each arrival to a channel. It responds with 201 and several header
// fields, of which the client must get only X-Kept.
func startRecordingNode(t *testing.T, arrived chan<- arrival) net.Addr {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- arrival{r.Host, r.RequestURI}
		w.Header().Set("X-Kept", "yes")
		w.Header().Set("X-Load", "util=0.5") // for the balancer only, as are the fields that Connection names
		w.Header().Set("X-Hop", "1")
		w.Header().Set("Connection", "X-Hop")
		w.WriteHeader(http.StatusCreated)
	})}
	go func() { _ = node.Serve(l) }() // returns when the node is closed
	t.Cleanup(func() { node.Close() })
	return l.Addr()
}

// TestCanonicalTarget: whatever the spelling of host and path, a request is routed by their canonical form or rejected,
// and the node receives the canonical form. Otherwise another spelling could bypass the rules of a route.
func TestCanonicalTarget(t *testing.T) {
	arrived := make(chan arrival, 1)
	address := startRecordingNode(t, arrived)
	x := startService(t, fleet.NewJudge(0), t.TempDir(), fmt.Sprintf(`
classes:
  c: {aim: 250ms, deadline: 5s}
  k: {repeat: keyed, memory: 1m, aim: 250ms, deadline: 5s}
  d: {aim: 250ms, deadline: 5s}
pools: {p: {nodes: {static: [{address: '%s'}]}}}
routes:
  - {name: open, hosts: [a.example.org], path: {prefix: /open}, class: c, pool: p}
  - {name: key, hosts: [a.example.org], path: {prefix: /key}, class: k, pool: p}
  - {name: field, hosts: [a.example.org], path: {exact: /field}, headers: {X-Gate: '7'}, class: d, pool: p}
`, address))
	for _, c := range []struct {
		line, fields string
		status       int
		host, target string
	}{
		{"POST /open/x?q=/../y", "Host: A.example.org:80", 201, "a.example.org", "/open/x?q=/../y"},
		{"POST http://a.example.org/open", "Host: b.example.org", 201, "a.example.org", "/open"}, // RFC 9112, section 3.2.2
		{"POST http://b.example.org/open", "Host: a.example.org", 404, "", ""},
		{"POST /open/%2e%2e/key", "Host: a.example.org", 400, "", ""}, // the keyed route, without a key
		{"POST /open/%2e%2e/key", "Host: a.example.org\r\nIdempotency-Key: 1", 201, "a.example.org", "/key"},
		{"POST //open//x", "Host: a.example.org", 201, "a.example.org", "/open/x"},
		{"POST /%6fpen", "Host: a.example.org", 201, "a.example.org", "/open"},
		{"POST /open%2fx", "Host: a.example.org", 400, "", ""},
		{"POST /open/..%5ckey", "Host: a.example.org", 400, "", ""},
		{"POST /open/..;/key", "Host: a.example.org", 400, "", ""},
		{"POST /../open", "Host: a.example.org", 400, "", ""},
		{"POST /open", "Host: a.example.org\r\nHost: a.example.org", 400, "", ""},
		{"POST /open", "X-Nothing: 1", 400, "", ""},
		{"POST http://a.example.org/open", "X-Nothing: 1", 400, "", ""},
		{"POST /open", "Host: a.example.org\r\nX-Class: d", 400, "", ""}, // host and path lead to class c
		{"POST /open", "Host: a.example.org\r\nX-Class: c", 201, "a.example.org", "/open"},
		{"POST /field", "Host: a.example.org\r\nX-Gate: 7", 201, "a.example.org", "/field"},
		{"POST /field", "Host: a.example.org\r\nX-Gate: 7\r\nX-Gate: 8", 404, "", ""},
		{"POST /opened", "Host: a.example.org", 404, "", ""},
		{"CONNECT a.example.org:80", "Host: a.example.org", 501, "", ""},
	} {
		resp := x.roundTrip(c.line + " HTTP/1.1\r\n" + c.fields + "\r\nContent-Length: 0\r\n\r\n")
		if resp.StatusCode != c.status {
			t.Errorf("%s, %q: %d, want %d", c.line, c.fields, resp.StatusCode, c.status)
		}
		if c.status == 201 {
			if g := <-arrived; g != (arrival{c.host, c.target}) || resp.Header.Get("X-Kept") != "yes" ||
				resp.Header.Get("X-Load") != "" ||
				resp.Header.Get("X-Hop") != "" {
				t.Errorf("%s: the node got %+v; response fields %v", c.line, g, resp.Header)
			}
		}
	}
	if len(arrived) > 0 {
		t.Errorf("a rejected request reached the node: %+v", <-arrived)
	}
}

// TestShortestDeadlineApplies: the shortest of the deadlines of client, route and class applies.
func TestShortestDeadlineApplies(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := startNodes(t, j, 1, fleet.Spec{})
	writeEndpoints(t, j, folder, "a.yaml", all[0].Entry("up"))
	all[0].Stall(true)
	x := startService(t, j, folder, `
classes: {c: {aim: 100ms, deadline: 30s}}
pools: {p: {nodes: {file: a.yaml}}}
routes:
  - {name: long, path: {prefix: /long}, class: c, pool: p, deadline: 60s}
  - {name: short, path: {prefix: /short}, class: c, pool: p, deadline: 300ms}
`)
	for path, clientMS := range map[string]int{"/long": 300, "/short": 20000} {
		at := time.Now()
		resp := x.roundTrip(
			fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
				path, clientMS),
		)
		if took := time.Since(at); resp.StatusCode < 500 || took > 10*time.Second {
			t.Errorf("%s with a client deadline of %d ms: %d after %v",
				path, clientMS, resp.StatusCode, took)
		}
	}
}

// TestHTTP10: a client of HTTP/1.0 gets no chunked response. A response of unknown length ends when the connection is
// closed, and a truncated one with a reset of the connection.
func TestHTTP10(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	n := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		switch r.URL.Path {
		case "/chunks", "/cut":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long)
			if r.URL.Path == "/cut" {
				return false
			}
			fmt.Fprint(c, "0\r\nX-T: 1\r\n\r\n")
			return true
		}
		return scripted.Done(c, r)
	})
	x := startWithNodes(t, "", "", n)
	c := x.dial("GET /a HTTP/1.0\r\nHost: x\r\n\r\n")
	if resp := c.readResponse(); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("without keep-alive: %d, close %v", resp.StatusCode, resp.Close)
	}
	c = x.dial("GET /a HTTP/1.0\r\nHost: x\r\nConnection: Keep-Alive\r\n\r\n")
	for range 2 {
		resp := c.readResponse()
		body, err := io.ReadAll(resp.Body)
		if resp.Header.Get("Connection") != "keep-alive" || string(body) != "done" || err != nil {
			t.Errorf("with keep-alive: %v, %q, %v", resp.Header, body, err)
		}
		c.send("GET /a HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n")
	}
	c = x.dial("GET /chunks HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n")
	resp := c.readResponse()
	body, err := io.ReadAll(resp.Body)
	if len(resp.TransferEncoding) > 0 || resp.ContentLength >= 0 || string(body) != long || err != nil {
		t.Errorf("unknown length: %v, %d bytes, %v", resp.Header, len(body), err)
	}
	c = x.dial("GET /cut HTTP/1.0\r\nHost: x\r\n\r\n")
	if body, err = io.ReadAll(c.readResponse().Body); err == nil {
		t.Errorf("a truncated response appears complete, with %d bytes", len(body))
	}
	c = x.dial("POST /a HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	if resp := c.readResponse(); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("a chunked request of HTTP/1.0: %d", resp.StatusCode)
	}
}

// TestTrailersAndEarlyHints: the balancer forwards early hints to the client and trailers in both directions, whether
// it reads a body ahead or streams it.
func TestTrailersAndEarlyHints(t *testing.T) {
	n := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		fmt.Fprint(
			c,
			"HTTP/1.1 100 Continue\r\n\r\n"+
				"HTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\n\r\n"+
				"HTTP/1.1 103 Early Hints\r\nLink: </b.css>\r\n\r\n",
		)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range 1 + len(r.Trailer.Get("X-Long")) { // a response of several chunks is streamed
			fmt.Fprintf(c, "%x\r\n%s\r\n", 40<<10, strings.Repeat("x", 40<<10))
		}
		fmt.Fprintf(c, "0\r\nX-Sum: %s\r\n\r\n", r.Trailer.Get("X-Sum"))
		return true
	})
	x := startWithNodes(t, "", "", n)
	for _, long := range []string{"", "11"} {
		for _, size := range []int{10, 70 << 10, 2 << 20} { // read in full, read ahead, streamed
			c := x.dial("POST /u HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, X-Long\r\n\r\n")
			go fmt.Fprintf(c, "%x\r\n%s\r\n0\r\nX-Sum: 7\r\nX-Long: %s\r\n\r\n",
				size, strings.Repeat("y", size), long)
			hint := c.readResponse()
			if hint.StatusCode != http.StatusEarlyHints || hint.Header.Get("Link") != "</a.css>" {
				t.Fatalf("%d bytes: got %d, %v, want the first hint",
					size, hint.StatusCode, hint.Header)
			}
			resp := c.readResponse()
			got, err := io.ReadAll(resp.Body)
			if err != nil || len(got) != (1+len(long))*40<<10 || resp.Trailer.Get("X-Sum") != "7" {
				t.Errorf("%d bytes, %q: got %d bytes, trailer %v, %v",
					size, long, len(got), resp.Trailer, err)
			}
			c.Close()
		}
	}
}

// TestStatusOfLimits: a request that exceeds a limit or is malformed gets the status of its error, and the client can
// read the response although it has sent more than the balancer reads.
func TestStatusOfLimits(t *testing.T) {
	const chunkedPost = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	longField := "X-A: " + strings.Repeat("b", 1000) + "\r\n"
	n := scripted.Start(t, scripted.Done)
	x := startWithNodes(t, "", ", body: {max: 100KiB}", n)
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"a long target":         {"GET /" + strings.Repeat("a", 20<<10) + " HTTP/1.1\r\nHost: x\r\n\r\n", 414},
		"a long head":           {"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat(longField, 20) + "\r\n", 431},
		"many fields":           {"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-A: b\r\n", 200) + "\r\n", 431},
		"a long body":           {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n", 413},
		"a long body in chunks": {chunkedPost + "30D40\r\n" + strings.Repeat("x", 200000) + "\r\n0\r\n\r\n", 413},
		"a chunk of 2^64":       {chunkedPost + "10000000000000000\r\nx", 400},
		"no length":             {"POST / HTTP/1.1\r\nHost: x\r\n\r\n", 411},
		"an expectation":        {"POST / HTTP/1.1\r\nHost: x\r\nExpect: miracles\r\nContent-Length: 1\r\n\r\nx", 417},
		"another coding":        {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
		"a bare LF":             {"GET / HTTP/1.1\nHost: x\r\n\r\n", 400},
		"a folded line":         {"GET / HTTP/1.1\r\nHost: x\r\nX-A: b\r\n c\r\n\r\n", 400},
		"a length in a trailer": {chunkedPost + "0\r\nContent-Length: 5\r\n\r\n", 400},
		"two framings": {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n" +
			"Content-Length: 5\r\n\r\n0\r\n\r\n", 400},
		"HTTP/2": {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505},
	} {
		if resp := x.dial(c.text).readResponse(); resp.StatusCode != c.status {
			t.Errorf("%s: got %d, want %d", name, resp.StatusCode, c.status)
		}
	}
	if len(n.Arrivals) > 0 {
		t.Errorf("%d rejected requests reached the node", len(n.Arrivals))
	}
}

// unsafeRequest is a complete request of the unsafe class, after which the connection is closed.
const unsafeRequest = "POST /u HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" +
	"4\r\nbody\r\n0\r\n\r\n"

// TestResponseTruncatedAtEveryByte truncates a node's response after each byte. The client must get exactly one
// response that is complete or recognisably truncated. The balancer must not hang or send the unsafe request again.
func TestResponseTruncatedAtEveryByte(t *testing.T) {
	const nodeResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n" +
		"5\r\nhello\r\n3;x=y\r\nyou\r\n0\r\nX-T: 1\r\n\r\n"
	const parts = 30 // they run in parallel
	for first := range parts {
		t.Run(fmt.Sprint("part ", first), func(t *testing.T) {
			t.Parallel()
			for cut := first; cut <= len(nodeResponse); cut += parts {
				n := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
					fmt.Fprint(c, nodeResponse[:cut])
					return cut == len(nodeResponse)
				})
				c := startWithNodes(t, "", "", n).dial(unsafeRequest)
				resp := c.readResponse()
				body, err := io.ReadAll(resp.Body)
				complete := resp.StatusCode == http.StatusOK && err == nil
				if complete != (cut == len(nodeResponse)) || (complete && string(body) != "helloyou") {
					t.Errorf("truncated after %d of %d bytes: %d, %q, %v",
						cut, len(nodeResponse), resp.StatusCode, body, err)
				}
				if runs := len(n.Arrivals); runs != 1 {
					t.Errorf("truncated after %d bytes: the request was sent %d times, want once",
						cut, runs)
				}
			}
		})
	}
}

// TestRequestTruncatedAtEveryByte: a request that its client truncates after any byte is never sent to a node.
func TestRequestTruncatedAtEveryByte(t *testing.T) {
	n := scripted.Start(t, scripted.Done)
	x := startWithNodes(t, "", "", n)
	for at := range unsafeRequest {
		c := x.dial(unsafeRequest[:at])
		_ = c.CloseWrite() // fails if the service has closed the connection already
		resp, err := http.ReadResponse(c.reader, nil)
		c.Close()
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode < 400 {
			t.Errorf("a request truncated after %d bytes: %d", at, resp.StatusCode)
		}
	}
	if runs := len(n.Arrivals); runs != 0 {
		t.Errorf("%d truncated requests were sent to the node", runs)
	}
}

// TestSlowClientsDoNotBlockOthers: many clients that send one byte every 50 ms must not prevent ordinary clients from
// being served, and none of their incomplete requests may reach the node.
func TestSlowClientsDoNotBlockOthers(t *testing.T) {
	n := scripted.Start(t, scripted.Done)
	x := startWithNodes(t, "", "", n)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	const slow = 300 // together with the ordinary clients more than the listener accepts at once
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
				case <-time.After(50 * time.Millisecond): // simulates a slow client
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
		t.Errorf("%d incomplete requests reached the node", len(n.Arrivals))
	}
}
