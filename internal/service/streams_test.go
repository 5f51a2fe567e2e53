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

// TestSlowBodyIsGivenUp: a client that is slower than its listener's rate in a body that goes on as it comes is given
// up, in both framings, and its node is free again; a reload gives bodies other memory.
func TestSlowBodyIsGivenUp(t *testing.T) {
	for _, framing := range []string{"Content-Length: 90000000", "Transfer-Encoding: chunked"} {
		t.Run(framing, func(t *testing.T) { testSlowBody(t, framing) })
	}
}

func testSlowBody(t *testing.T, framing string) {
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
		t.Errorf("%d bytes for bodies after a reload that gives them %d", free, 8<<20)
	}
	c := x.dial("POST /u HTTP/1.1\r\nHost: x\r\n" + framing + "\r\n\r\n")
	if strings.HasPrefix(framing, "Transfer") {
		c.send("4000000\r\n")
	}
	c.send(strings.Repeat("\x00", 2<<20)) // over the buffer: it is on its way
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
	if resp := c.readResponse(); resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("got %d", resp.StatusCode)
	}
	c.Close()
	<-done
	x.waitFor("its connection is free", func(v live.View) bool { return v.Pools[0].Nodes[0].Out == 0 })
}

// TestSlowDownloadsAreNoLoad: long answers that clients read slowly hold connections and are no load: the node looks
// as busy as it says, and queries go on.
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
			t.Fatalf("query %d beside them: %d", i, resp.StatusCode)
		}
		<-n.Arrivals
	}
	x.waitFor("the load that the node tells", func(v live.View) bool { return v.Pools[0].Nodes[0].Mean > 0.8 })
	if v := x.pool("p"); v.Nodes[0].Out != 0 || v.Connections < downloads {
		t.Errorf(
			"%d out, %d connections; want none out and at least %d connections",
			v.Nodes[0].Out,
			v.Connections,
			downloads,
		)
	}
	close(release)
	for _, resp := range streams {
		if got, err := io.ReadAll(resp.Body); err != nil || len(got) != 1<<20 {
			t.Errorf("%d bytes came, %v", len(got), err)
		}
	}
}

// TestSlowUploadsAreNoSilence: a body that goes on as it comes, however long that takes, is nothing that its node
// owes: queries beside it are served.
func TestSlowUploadsAreNoSilence(t *testing.T) {
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
	up.send(strings.Repeat("\x00", size/2)) // over the buffer: it is on its way
	x.waitFor("it is out", func(v live.View) bool {
		return len(v.Pools) == 1 && len(v.Pools[0].Nodes) == 1 && v.Pools[0].Nodes[0].Out == 1
	})
	for i := range 20 {
		time.Sleep(100 * time.Millisecond) // a slow client is what is tried
		up.send("x")
		if x.pool("p").Nodes[0].Silent {
			t.Fatal("the node counts as silent, and owes nothing")
		}
		if i%10 != 9 { // an answer would show that it lives
			continue
		}
		c := x.dial("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		if resp := c.readResponse(); resp.StatusCode != http.StatusOK {
			t.Errorf("a query beside it: %d", resp.StatusCode)
		}
	}
	up.send(strings.Repeat("\x00", size-size/2-20))
	if resp := up.readResponse(); resp.StatusCode != http.StatusOK {
		t.Errorf("the upload: %d", resp.StatusCode)
	}
}

// TestStreamsOutliveTheirRoute: a reload that takes away route and pool, and a stop, let a long answer and a long
// body come to their end.
func TestStreamsOutliveTheirRoute(t *testing.T) {
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
			up.send(strings.Repeat("\x00", size/2)) // more than is read ahead: it is on its way to the node
			x.waitFor("both are there", func(v live.View) bool { return v.Pools[0].Connections >= 2 })
			if how == "stop" {
				go x.stop()
			} else {
				x.apply(strings.NewReplacer("pools: {p:", "pools: {q:", "pool: p", "pool: q").Replace(streamConfig("", "", other)))
			}
			up.send(strings.Repeat("\x00", size-size/2))
			if resp := up.readResponse(); resp.StatusCode != http.StatusOK {
				t.Errorf("the body: %d", resp.StatusCode)
			}
			close(release)
			if got, err := io.ReadAll(down.Body); string(got) != "firstlast" || err != nil {
				t.Errorf("the answer: %q, %v", got, err)
			}
		})
	}
}

// startEarlyNode starts a node that answers in full after 200 KiB of what is sent, and reads the rest of it or no more.
func startEarlyNode(t *testing.T, readsOn bool) (address string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	answerEarly := func(c net.Conn) {
		defer c.Close()
		_, _ = io.CopyN(io.Discard, c, 200<<10)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
		if readsOn {
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
			go answerEarly(c)
		}
	}()
	stop = func() {
		close(done)
		l.Close()
	}
	return l.Addr().String(), stop
}

// TestNodeAnswersWhileTheClientSends: a node that answers in full while the client still sends is heard: at the end
// of the body if it reads on, and once it has taken nothing for a while if it does not.
func TestNodeAnswersWhileTheClientSends(t *testing.T) {
	for name, readsOn := range map[string]bool{"and reads on": true, "and reads no more": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, stop := startEarlyNode(t, readsOn)
			defer stop()
			const size = 40 << 20 // more than all sockets on the way hold
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
			if err := <-sent; readsOn && (err != nil || resp.Close) {
				t.Errorf("the body went through: %v, and the connection ends: %v", err, resp.Close)
			} else if !readsOn && !resp.Close {
				t.Error("the connection goes on in the middle of a body")
			}
		})
	}
}
