package service

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/live"
	"olivearch/internal/standin/fleet"
	"olivearch/internal/standin/scripted"
)

// TestSlowUploadTimesOut: a client that sends a streamed body more slowly than the minimum rate of its listener gets
// the status 408, with either framing, and the node's connection is free again. The listener's limits come from a
// reload, which also changes the memory for request bodies.
func TestSlowUploadTimesOut(t *testing.T) {
	for _, framing := range []string{"Content-Length: 90000000", "Transfer-Encoding: chunked"} {
		t.Run(framing, func(t *testing.T) { testSlowUpload(t, framing) })
	}
}

func testSlowUpload(t *testing.T, framing string) {
	t.Helper()
	n := scripted.Start(t, scripted.Done)
	x := startWithNodes(t, "", "", n)
	text := strings.Replace(streamConfig("", "", n), "classes:", "limits: {bodies: 8MiB}\nclasses:", 1)
	slow, err := config.Parse(
		"c.yaml",
		[]byte("listeners: [{address: '127.0.0.1:0', within: 1s, rate: 1MiB}]\nadmin: {address: '127.0.0.1:0'}\n"+text),
	)
	if err != nil {
		t.Fatal(err)
	}
	if err := x.Apply(slow); err != nil {
		t.Fatal(err)
	}
	if free := x.state.Load().listeners[listener].FreeSpoolBytes(); free != 8<<20 {
		t.Errorf("%d bytes of memory for bodies after the reload, want %d", free, 8<<20)
	}
	c := x.dial("POST /u HTTP/1.1\r\nHost: x\r\n" + framing + "\r\n\r\n")
	if strings.HasPrefix(framing, "Transfer") {
		c.send("4000000\r\n")
	}
	c.send(strings.Repeat("\x00", 2<<20)) // more than the buffer holds, so it is streamed to the node
	done := make(chan struct{})
	go func() {
		defer close(done)
		for { // the client is slow but never idle for long
			if _, err := c.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond) // simulates a slow client
		}
	}()
	if resp := c.readResponse(); resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("got %d", resp.StatusCode)
	}
	c.Close()
	<-done
	x.waitFor("no request is in flight at the node", func(v live.View) bool { return v.Pools[0].Nodes[0].Out == 0 })
}

// TestSlowDownloadsDoNotCountAsLoad: long responses that clients read slowly occupy connections but do not count as
// requests in flight. The node's utilisation is what its load reports say, and other requests are served meanwhile.
func TestSlowDownloadsDoNotCountAsLoad(t *testing.T) {
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
	x := startWithNodes(t, "", "", n)
	var streams []response
	for range downloads {
		c := x.dial("GET /long HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		streams = append(streams, c.readResponse())
		<-n.Arrivals
	}
	for i := range 50 {
		c := x.dial("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		if resp := c.readResponse(); resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d during the downloads: %d", i, resp.StatusCode)
		}
		<-n.Arrivals
	}
	x.waitFor("the utilisation that the node reports",
		func(v live.View) bool { return v.Pools[0].Nodes[0].Mean > 0.8 })
	if v := x.pool("p"); v.Nodes[0].Out != 0 || v.Connections < downloads {
		t.Errorf(
			"%d requests in flight, %d connections; want none in flight and at least %d connections",
			v.Nodes[0].Out,
			v.Connections,
			downloads,
		)
	}
	close(release)
	for _, resp := range streams {
		if got, err := io.ReadAll(resp.Body); err != nil || len(got) != 1<<20 {
			t.Errorf("got %d bytes, %v", len(got), err)
		}
	}
}

// TestSlowUploadsKeepNodeResponsive: a node that has not yet responded to a slow, streamed upload must not count as
// unresponsive, since it waits for the client. Other requests to it are served meanwhile.
func TestSlowUploadsKeepNodeResponsive(t *testing.T) {
	n := scripted.Start(t, scripted.Done)
	x := startService(
		t,
		fleet.NewJudge(time.Second),
		t.TempDir(),
		fmt.Sprintf(`classes: {c: {aim: 200ms, deadline: 5s, repeat: safe}, u: {aim: 200ms, deadline: 5s}}
pools: {p: {nodes: {static: [{id: n0, address: '%s'}]}}}
routes: [{name: unsafe, path: {prefix: /u}, class: u, pool: p}, {name: all, class: c, pool: p}]
`, n.Addr),
	)
	const size = 4 << 20
	up := x.dial(fmt.Sprintf("POST /u HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size))
	up.send(strings.Repeat("\x00", size/2)) // more than the buffer holds, so it is streamed to the node
	x.waitFor("the upload is in flight", func(v live.View) bool {
		return len(v.Pools) == 1 && len(v.Pools[0].Nodes) == 1 && v.Pools[0].Nodes[0].Out == 1
	})
	for i := range 20 {
		time.Sleep(100 * time.Millisecond) // simulates a slow client
		up.send("x")
		if x.pool("p").Nodes[0].Silent {
			t.Fatal("the node counts as unresponsive while the client is slow")
		}
		if i%10 != 9 { // few requests, since each response shows that the node is responsive
			continue
		}
		c := x.dial("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		if resp := c.readResponse(); resp.StatusCode != http.StatusOK {
			t.Errorf("a request during the upload: %d", resp.StatusCode)
		}
	}
	up.send(strings.Repeat("\x00", size-size/2-20))
	if resp := up.readResponse(); resp.StatusCode != http.StatusOK {
		t.Errorf("the upload: %d", resp.StatusCode)
	}
}

// TestStreamsSurviveReloadAndStop: a reload that removes the route and the pool of a long download and a long upload,
// and a graceful stop of the service, must let both finish.
func TestStreamsSurviveReloadAndStop(t *testing.T) {
	for _, how := range []string{"reload", "stop"} {
		t.Run(how, func(t *testing.T) {
			release := make(chan struct{})
			n := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
				if r.Method == http.MethodPost {
					return scripted.Done(c, r)
				}
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
				<-release
				fmt.Fprint(c, "4\r\nlast\r\n0\r\n\r\n")
				return true
			})
			other := scripted.Start(t, scripted.Done)
			x := startWithNodes(t, "", "", n)
			c := x.dial("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			down := c.readResponse()
			const size = 4 << 20
			up := x.dial(fmt.Sprintf("POST /u HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", size))
			up.send(strings.Repeat("\x00", size/2)) // more than the buffer holds, so it is streamed
			x.waitFor("both requests have a connection",
				func(v live.View) bool { return v.Pools[0].Connections >= 2 })
			if how == "stop" {
				go x.stop()
			} else {
				x.apply(strings.NewReplacer("pools: {p:", "pools: {q:", "pool: p", "pool: q").Replace(streamConfig("", "", other)))
			}
			up.send(strings.Repeat("\x00", size-size/2))
			if resp := up.readResponse(); resp.StatusCode != http.StatusOK {
				t.Errorf("the upload: %d", resp.StatusCode)
			}
			close(release)
			if got, err := io.ReadAll(down.Body); string(got) != "firstlast" || err != nil {
				t.Errorf("the download: %q, %v", got, err)
			}
		})
	}
}

// startEarlyResponseNode starts a node that sends its whole response after it has read 200 KiB of a request. It then
// reads the rest of the request only if readsRest is set.
func startEarlyResponseNode(t *testing.T, readsRest bool) (address string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	respondEarly := func(c net.Conn) {
		defer c.Close()
		_, _ = io.CopyN(io.Discard, c, 200<<10)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
		if readsRest {
			_, _ = io.Copy(io.Discard, c)
		}
		<-done
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go respondEarly(c)
		}
	}()
	stop = func() {
		close(done)
		l.Close()
	}
	return l.Addr().String(), stop
}

// TestResponseBeforeEndOfRequest: a node sends its whole response while the client still sends the body. The client
// must get it: at the end of the body if the node reads the rest, and otherwise once the node has read nothing for a
// while.
func TestResponseBeforeEndOfRequest(t *testing.T) {
	for name, readsRest := range map[string]bool{"reads rest": true, "stops reading": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, stop := startEarlyResponseNode(t, readsRest)
			defer stop()
			const size = 40 << 20 // more than the buffers of all sockets on the way hold
			x := startWithNodes(t, "", "", &scripted.Node{Addr: address})
			c := x.dial(fmt.Sprintf("POST /u HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size))
			sent := make(chan error, 1)
			go func() {
				_, err := c.Write(make([]byte, size))
				sent <- err
			}()
			resp := c.readResponse()
			if body, err := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK || string(body) != "early" || err != nil {
				t.Errorf("got %d, %q, %v", resp.StatusCode, body, err)
			}
			if err := <-sent; readsRest && (err != nil || resp.Close) {
				t.Errorf("sending the body: %v; connection closed: %v", err, resp.Close)
			} else if !readsRest && !resp.Close {
				t.Error("the connection stays open in the middle of a body")
			}
		})
	}
}
