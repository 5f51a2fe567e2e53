package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["second-answers"] = playSecondAnswers }

// Settings of the case.
const (
	gateServers  = 6    // upstreams
	gates        = 2000 // that check-ins are about, all as often
	secondShare  = 0.2  // of the answers come a second time
	secondDelay  = 2 * time.Millisecond
	secondJitter = 23 * time.Millisecond
	askers       = 40 // clients, each with a connection of its own and one request at a time
	askPause     = 40 * time.Millisecond
	askFor       = 25 * time.Second
	workLeast    = 20 * time.Millisecond
	workJitter   = 40 * time.Millisecond
	mostExamples = 10
)

// bodyOf is the answer to a check-in at a gate. Two check-ins at one gate get the same.
func bodyOf(gate string) string { return "checked in at gate " + gate + ", please wait" }

// gateServer is a stand-in for an upstream that sends some of its answers twice, the second time some milliseconds
// later on the same connection.
type gateServer struct {
	stage   *stage
	id      string
	address string
	seconds *atomic.Int64
}

func (s *stage) gateServer(id string, seconds *atomic.Int64) (*gateServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &gateServer{stage: s, id: id, address: listener.Addr().String(), seconds: seconds}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

func (b *gateServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(conn, text)
	}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		cookie, err := request.Cookie("obj")
		if _, incomplete := io.Copy(io.Discard, request.Body); incomplete != nil {
			return
		}
		if err != nil {
			write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		time.Sleep(workLeast + rand.N(workJitter))
		body := bodyOf(cookie.Value)
		b.stage.log("upstream %s: request %s runs, for %s", b.id, request.Header.Get("X-Request-Id"), cookie.Value)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		write(text)
		if b.stage.trouble && rand.Float64() < secondShare {
			b.seconds.Add(1)
			delay := secondDelay + rand.N(secondJitter)
			b.stage.log("upstream %s: the answer for %s comes again %v later", b.id, cookie.Value, delay)
			time.AfterFunc(delay, func() { write(text) })
		}
	}
}

// asked counts what clients got.
type asked struct {
	stage                 *stage
	served, others, wrong atomic.Int64
	mu                    sync.Mutex
	examples              []string
}

// playSecondAnswers: upstreams send some answers twice. Clients must get the answer to their own request.
func playSecondAnswers(set *stage) ([]string, error) {
	var seconds atomic.Int64
	var upstreams []*upstream
	for i := range gateServers {
		b, err := set.gateServer(fmt.Sprintf("s-%08d", i+1), &seconds)
		if err != nil {
			return nil, err
		}
		upstreams = append(upstreams, &upstream{id: b.id, address: b.address})
	}
	site, err := set.discovery("A", 41, upstreams...)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config, err := set.writeConfig(checkin, listen, site.address, site.list())
	if err != nil {
		return nil, err
	}
	if _, err := set.balancer("balancer", config); err != nil {
		return nil, err
	}
	got := &asked{stage: set}
	var all sync.WaitGroup
	end := time.Now().Add(askFor)
	for lane := range askers {
		all.Go(func() { got.lane(listen, lane, end) })
	}
	all.Wait()
	set.note("served %d, other answers or none %d; second answers sent: %d; wrong bodies: %d",
		got.served.Load(), got.others.Load(), seconds.Load(), got.wrong.Load())
	return got.examples, nil
}

// lane is one client.
func (a *asked) lane(address string, lane int, end time.Time) {
	var c *client
	for number := 0; time.Now().Before(end); number++ {
		time.Sleep(rand.N(2 * askPause))
		if c == nil {
			var err error
			if c, err = dial(address); err != nil {
				a.others.Add(1)
				continue
			}
		}
		if !a.ask(c, fmt.Sprintf("b%02d%06d", lane, number), fmt.Sprint(rand.IntN(gates))) {
			c.close()
			c = nil
		}
	}
}

// ask sends a request and checks the answer. It reports whether the connection may be used again.
func (a *asked) ask(caller *client, name, gate string) bool {
	text := strings.Replace(head(name, checkinTime, 2), "\r\n\r\n", "\r\nCookie: obj="+gate+"\r\n\r\nok", 1)
	if _, err := io.WriteString(caller.conn, text); err != nil {
		a.others.Add(1)
		return false
	}
	_ = caller.conn.SetReadDeadline(time.Now().Add(checkinTime + time.Second))
	response, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		a.others.Add(1)
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.stage.log("client: request %s for %s answered %d %q, %v", name, gate, response.StatusCode, body, err)
	switch {
	case err != nil || response.StatusCode != http.StatusOK:
		a.others.Add(1)
	case string(body) == bodyOf(gate):
		a.served.Add(1)
	default:
		a.wrong.Add(1)
		a.mu.Lock()
		if len(a.examples) < mostExamples {
			a.examples = append(a.examples, fmt.Sprintf("request %s for %s got %q", name, gate, body))
		}
		a.mu.Unlock()
	}
	return err == nil && !response.Close
}
