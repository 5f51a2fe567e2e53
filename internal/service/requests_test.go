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

// arrival is a request as a node got it.
type arrival struct{ host, target string }

// startRecordingNode starts a node that sends what arrives, and answers 201 with fields of which the client gets
// X-Kept only.
func startRecordingNode(t *testing.T, arrived chan<- arrival) net.Addr {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- arrival{r.Host, r.RequestURI}
		w.Header().Set("X-Kept", "yes")
		w.Header().Set("X-Load", "util=0.5") // for the balancer, as is what Connection names
		w.Header().Set("X-Hop", "1")
		w.Header().Set("Connection", "X-Hop")
		w.WriteHeader(http.StatusCreated)
	})}
	go func() { _ = node.Serve(l) }() // until it is closed
	t.Cleanup(func() { node.Close() })
	return l.Addr()
}

// TestOneReading: however host and path are spelt, a request comes to the route of its canonical reading or is turned
// away, and the node gets that reading.
func TestOneReading(t *testing.T) {
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
		{"POST /open/%2e%2e/key", "Host: a.example.org", 400, "", ""}, // it is the keyed route's, and has no key
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
		{"POST /open", "Host: a.example.org\r\nX-Class: d", 400, "", ""}, // host and path say c
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
				t.Errorf("%s: the node got %+v; fields %v", c.line, g, resp.Header)
			}
		}
	}
	if len(arrived) > 0 {
		t.Errorf("a request that was turned away reached a node: %+v", <-arrived)
	}
}

// TestClientsDeadlineWins: of client, route and class the shortest wait counts.
func TestClientsDeadlineWins(t *testing.T) {
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
	for path, client := range map[string]int{"/long": 300, "/short": 20000} {
		at := time.Now()
		resp := x.roundTrip(
			fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", path, client),
		)
		if took := time.Since(at); resp.StatusCode < 500 || took > 10*time.Second {
			t.Errorf("%s with a client that waits %d ms: %d after %v", path, client, resp.StatusCode, took)
		}
	}
}

// TestHTTP10: clients of HTTP/1.0 get no chunks: an answer of no known length ends with the connection, and one that
// was cut with a reset.
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
		t.Errorf("without keep-alive: %d, closes: %v", resp.StatusCode, resp.Close)
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
		t.Errorf("no known length: %v, %d bytes, %v", resp.Header, len(body), err)
	}
	c = x.dial("GET /cut HTTP/1.0\r\nHost: x\r\n\r\n")
	if body, err = io.ReadAll(c.readResponse().Body); err == nil {
		t.Errorf("a cut answer passes for whole, with %d bytes", len(body))
	}
	c = x.dial("POST /a HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	if resp := c.readResponse(); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("chunks in HTTP/1.0: %d", resp.StatusCode)
	}
}

// TestTrailersAndHints: trailers and early hints go on, in both framings and directions.
func TestTrailersAndHints(t *testing.T) {
	n := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		fmt.Fprint(
			c,
			"HTTP/1.1 100 Continue\r\n\r\n"+
				"HTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\n\r\n"+
				"HTTP/1.1 103 Early Hints\r\nLink: </b.css>\r\n\r\n",
		)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range 1 + len(r.Trailer.Get("X-Long")) { // long ones go on as they come
			fmt.Fprintf(c, "%x\r\n%s\r\n", 40<<10, strings.Repeat("x", 40<<10))
		}
		fmt.Fprintf(c, "0\r\nX-Sum: %s\r\n\r\n", r.Trailer.Get("X-Sum"))
		return true
	})
	x := startWithNodes(t, "", "", n)
	for _, long := range []string{"", "11"} {
		for _, part := range []int{10, 70 << 10, 2 << 20} { // whole, read ahead, goes on as it comes
			c := x.dial("POST /u HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum, X-Long\r\n\r\n")
			go fmt.Fprintf(c, "%x\r\n%s\r\n0\r\nX-Sum: 7\r\nX-Long: %s\r\n\r\n", part, strings.Repeat("y", part), long)
			hint := c.readResponse()
			if hint.StatusCode != http.StatusEarlyHints || hint.Header.Get("Link") != "</a.css>" {
				t.Fatalf("%d bytes: got %d, %v, want the first hint", part, hint.StatusCode, hint.Header)
			}
			resp := c.readResponse()
			got, err := io.ReadAll(resp.Body)
			if err != nil || len(got) != (1+len(long))*40<<10 || resp.Trailer.Get("X-Sum") != "7" {
				t.Errorf("%d bytes, %q: got %d bytes, trailer %v, %v", part, long, len(got), resp.Trailer, err)
			}
			c.Close()
		}
	}
}

// TestLimitsHaveTheirStatus: each limit has its status, and a client that is turned away can read it.
func TestLimitsHaveTheirStatus(t *testing.T) {
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
		t.Errorf("%d of them came to the node", len(n.Arrivals))
	}
}

// unsafeRequest is a whole request of an unsafe class, the last of its connection.
const unsafeRequest = "POST /u HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" +
	"4\r\nbody\r\n0\r\n\r\n"

// TestCutsAtEveryByte: a cut at each byte of a response ends in exactly one answer that is whole or looks cut, or in
// a close; never in a hang, and an unsafe request never runs twice.
func TestCutsAtEveryByte(t *testing.T) {
	const says = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n" +
		"5\r\nhello\r\n3;x=y\r\nyou\r\n0\r\nX-T: 1\r\n\r\n"
	const sites = 30 // a node that fails often is tried now and then only, so each has few cuts
	for k := range sites {
		t.Run(fmt.Sprint("part ", k), func(t *testing.T) {
			t.Parallel()
			for cut := k; cut <= len(says); cut += sites {
				n := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
					fmt.Fprint(c, says[:cut])
					return cut == len(says)
				})
				c := startWithNodes(t, "", "", n).dial(unsafeRequest)
				resp := c.readResponse()
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
}

// TestRequestCutsAtEveryByte: a request that its client cuts at any byte is never written to a node.
func TestRequestCutsAtEveryByte(t *testing.T) {
	n := scripted.Start(t, scripted.Done)
	x := startWithNodes(t, "", "", n)
	for at := range unsafeRequest {
		c := x.dial(unsafeRequest[:at])
		_ = c.CloseWrite() // fails if the service has closed already
		resp, err := http.ReadResponse(c.reader, nil)
		c.Close()
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode < 400 {
			t.Errorf("a request that ends at %d: %d", at, resp.StatusCode)
		}
	}
	if runs := len(n.Arrivals); runs != 0 {
		t.Errorf("%d requests that never ended were written", runs)
	}
}

// TestSlowClientsHoldNobodyUp: many clients that send a byte now and then do not keep ordinary ones out, and none of
// them takes a node.
func TestSlowClientsHoldNobodyUp(t *testing.T) {
	n := scripted.Start(t, scripted.Done)
	x := startWithNodes(t, "", "", n)
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
