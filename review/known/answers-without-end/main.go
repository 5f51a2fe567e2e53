//go:build review

// Command answers-without-end: an answer whose server stands still in the middle of it never ends for the client, neither on a
// platform's balancer nor under the limit answer.idle of olivearch serve.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"olivearch/review/stand"
)

const (
	servers  = 5                     // one of them stands still: 20%, as BRIEF says at most
	work     = 20 * time.Millisecond // between the two parts of an answer
	still    = 15 * time.Second      // how long the server stands still: BRIEF has 7.7 to 20 s
	asking   = 5 * time.Second       // how long clients send requests meanwhile
	deadline = 750 * time.Millisecond
	late     = 500 * time.Millisecond // an answer up to so much later earns nothing; one that comes later is lost (STANDING)
	slack    = 250 * time.Millisecond // 50 ms of PROTOCOL, the rest for this machine

	idle      = 2 * time.Second // answer.idle of the route of olivearch serve
	idleSlack = 3 * time.Second
)

const services = `listeners:
  - {address: %s, connections: 400}
limits: {memory: 192MiB, descriptors: 1024, node_connections: 32}
classes:
  page: {repeat: unsafe, aim: 250ms, deadline: 750ms}
pools:
  web:
    nodes: {static: [{address: '%s'}]}
    connections: 200
    queue: 100
routes:
  - {name: all, class: page, pool: web, answer: {idle: 2s, total: 4s}}
`

func main() { stand.Main(run) }

func run(w *stand.World) (int, error) {
	lost, err := onPlatform(w)
	if err != nil {
		return 0, err
	}
	ended, err := underServe(w)
	if err != nil {
		return 0, err
	}
	if lost > 0 || !ended {
		w.Say("BROKEN: %d requests to the platform's balancer had no end of their answer %v after their last byte; "+
			"an answer under answer.idle %v ended within %v: %v", lost, deadline+late+slack, idle, idle+idleSlack, ended)
		return stand.RuleBroken, nil
	}
	w.Say("held: every answer ended in time, or was visibly cut")
	return stand.RuleHeld, nil
}

// onPlatform sends requests to a platform's balancer while one of its servers stands still. It returns how many had no
// final answer in time: neither a whole one nor one that is visibly cut.
func onPlatform(w *stand.World) (lost int, err error) {
	if err := w.StartFleet(servers, work); err != nil {
		return 0, err
	}
	gate := newGate()
	for i, upstream := range w.Upstreams {
		upstream.InParts = true
		if i == 0 {
			upstream.Pause = gate.wait
		}
	}
	config, err := w.Config("n1", w.Listen, w.Discovery.Address, w.Discovery.List())
	if err != nil {
		return 0, err
	}
	if _, _, err := w.StartBalancer("platform", config); err != nil {
		return 0, err
	}
	ask := func(length time.Duration) (lost int) {
		var mu sync.Mutex
		var clients sync.WaitGroup
		for i := range 6 {
			clients.Go(func() {
				client := stand.NewClient(w.Record, fmt.Sprint(i+1), w.Listen)
				defer client.Close()
				for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					answer := client.Send(0, deadline+late+slack)
					var netErr net.Error
					if answer.Status == 0 && errors.As(answer.Err, &netErr) && netErr.Timeout() {
						mu.Lock()
						lost++
						mu.Unlock()
					}
				}
			})
		}
		clients.Wait()
		return lost
	}
	if before := ask(2 * time.Second); before > 0 {
		return 0, fmt.Errorf("%d requests without an answer before the disruption", before)
	}
	if w.Trouble {
		w.Line("%s stands still for %v", w.Upstreams[0].ID, still)
		gate.close(still)
	}
	return ask(asking), nil
}

// underServe sends one request to olivearch serve, whose server stands still in the middle of its answer. It reports
// whether the answer ended in time: whole, or visibly cut.
func underServe(w *stand.World) (ended bool, err error) {
	server, err := stand.StartUpstream(w.Record, "node", work)
	if err != nil {
		return false, err
	}
	gate := newGate()
	server.InParts, server.Pause = true, gate.wait
	listen := stand.FreeAddress()
	path := filepath.Join(w.Folder, "services.yaml")
	if err := os.WriteFile(path, fmt.Appendf(nil, services, listen, server.Address), 0o600); err != nil {
		return false, err
	}
	if _, err := w.Start("serve", "exec bin/olivearch serve --config "+path); err != nil {
		return false, err
	}
	if err := stand.AwaitHealthy(listen, 10*time.Second); err != nil {
		return false, err
	}
	if w.Trouble {
		gate.close(still)
	}
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	began := time.Now()
	fmt.Fprintf(conn, "POST /checkin HTTP/1.1\r\nHost: api.internal\r\nContent-Length: 2\r\n\r\nab")
	conn.SetDeadline(began.Add(idle + idleSlack))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false, fmt.Errorf("serve: no head of an answer: %w", err)
	}
	body, err := io.ReadAll(response.Body)
	w.Line("client of serve: status %d, %d bytes of the body after %v, err %v",
		response.StatusCode, len(body), time.Since(began).Round(time.Millisecond), err)
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout(), nil
}

// gate holds those who wait at it while it is closed.
type gate struct {
	mu    sync.Mutex
	until time.Time
}

func newGate() *gate { return &gate{} }

func (g *gate) close(length time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.until = time.Now().Add(length)
}

func (g *gate) wait() {
	g.mu.Lock()
	until := g.until
	g.mu.Unlock()
	time.Sleep(time.Until(until))
}
