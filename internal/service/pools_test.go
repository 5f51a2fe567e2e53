package service

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"olivearch/internal/endpointlist"
	"olivearch/internal/live"
	"olivearch/internal/standin/fleet"
)

// TestStalledPoolDoesNotAffectOthers: every node of pool a accepts requests and answers none, and the latency objective
// is so long that the balancer keeps queueing requests. Without the limit on queued requests pool a would occupy all of
// the listener's connections. Pool b must stay fast, and each request to a must get exactly one final response.
func TestStalledPoolDoesNotAffectOthers(t *testing.T) {
	const connections = 150
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := startNodes(t, j, 4, fleet.Spec{Work: 5 * time.Millisecond})
	writeEndpoints(t, j, folder, "a.yaml", all[0].Entry("up"), all[1].Entry("up"))
	writeEndpoints(t, j, folder, "b.yaml", all[2].Entry("up"), all[3].Entry("up"))
	x := startService(
		t,
		j,
		folder,
		"limits: {descriptors: 300}\n"+strings.NewReplacer("c: {aim: 250ms, deadline: 1s}", "c: {aim: 3s, deadline: 3s}",
			"a.yaml}, queue: 100", "a.yaml}, queue: 80", "b.yaml}, queue: 100", "b.yaml}, queue: 60").Replace(twoPools),
	)
	all[0].Stall(true)
	all[1].Stall(true)
	a := fleet.NewClients(fleet.Traffic{
		URL: x.url, Host: "a.example.org", Method: "POST", Effect: fleet.Unsafe, Deadline: 3 * time.Second, Rate: 300,
		Seed: 5, Prefix: "a",
	}, j)
	b := x.clients("b.example.org", "b", fleet.Safe, 100)
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { a.Run(ctx) })
	x.waitFor("pool a has as many requests as it may", func(live.View) bool { return x.pool("a").Open == 80 })
	wg.Go(func() { b.Run(ctx) })
	wg.Wait()
	s := x.wantNoBreaches()
	if limit := x.View().Listeners[0].Limit; limit != connections {
		t.Errorf("the listener takes %d connections, the test needs %d", limit, connections)
	}
	if b.Served() < 100 || b.Quantile(0.99) > 250*time.Millisecond {
		t.Errorf("pool b: %d served, p99 %v", b.Served(), b.Quantile(0.99))
	}
	if a.Served() > 0 || s.Refused+s.Failed < 400 {
		t.Errorf("pool a: %d served by stalled nodes; %d refused, %d failed", a.Served(), s.Refused, s.Failed)
	}
}

// firstNodePhase returns the phase of node n0 in a pool, or "none" if it is not listed.
func (x *testService) firstNodePhase(pool string) string {
	for _, n := range x.pool(pool).Nodes {
		if n.ID == "n0" {
			return n.Phase
		}
	}
	return "none"
}

// TestDrainsAcrossPools: a node is draining on the list of pool a and up on that of pool b. By default neither pool
// sends requests to it. With "drains: own" pool b does.
func TestDrainsAcrossPools(t *testing.T) {
	for _, own := range []bool{false, true} {
		j, folder := fleet.NewJudge(time.Second), t.TempDir()
		all := startNodes(t, j, 2, fleet.Spec{})
		writeEndpoints(t, j, folder, "a.yaml", all[0].Entry("up"), all[1].Entry("up"))
		writeEndpoints(t, j, folder, "b.yaml", all[0].Entry("up"), all[1].Entry("up"))
		text := twoPools
		if own {
			text = strings.Replace(text, "b: {nodes: {file: b.yaml}", "b: {drains: own, nodes: {file: b.yaml}", 1)
		}
		x := startService(t, j, folder, text)
		x.waitFor(
			"both nodes are up",
			func(live.View) bool { return x.firstNodePhase("a") == "up" && x.firstNodePhase("b") == "up" },
		)
		writeEndpoints(t, fleet.NewJudge(0), folder, "a.yaml", all[0].Entry(endpointlist.PhaseDraining), all[1].Entry("up"))
		x.waitFor("the node drains in pool a",
			func(live.View) bool { return x.firstNodePhase("a") == "draining" })
		if own {
			x.waitFor("the node stays up in pool b",
				func(live.View) bool { return x.firstNodePhase("b") == "up" })
		} else {
			x.waitFor("the node drains in pool b",
				func(live.View) bool { return x.firstNodePhase("b") == "draining" })
		}
		before := all[0].Runs()
		for i := range 20 {
			x.clients("a.example.org", "a", fleet.Unsafe, 1).Ask(fmt.Sprint("a", i))
		}
		if got := all[0].Runs(); got != before {
			t.Errorf("own %v: pool a sent %d requests to a draining node", own, got-before)
		}
		for i := range 20 {
			x.clients("b.example.org", "b", fleet.Safe, 1).Ask(fmt.Sprint("b", i))
		}
		if got := all[0].Runs() - before; (got > 0) != own {
			t.Errorf("own %v: pool b sent %d requests to a node that drains on pool a's list", own, got)
		}
		x.wantNoBreaches()
	}
}

// TestQueueLimit: a pool that has as many requests as it may rejects the next one at once with a Retry-After in whole
// seconds, and keeps the client's connection open.
func TestQueueLimit(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := startNodes(t, j, 1, fleet.Spec{})
	writeEndpoints(t, j, folder, "a.yaml", all[0].Entry("up"))
	writeEndpoints(t, j, folder, "b.yaml", all[0].Entry("up"))
	x := startService(
		t,
		j,
		folder,
		strings.Replace(twoPools, "a: {nodes: {file: a.yaml}, queue: 100}", "a: {nodes: {file: a.yaml}, queue: 2}", 1),
	)
	all[0].Stall(true)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() { x.clients("a.example.org", "x", fleet.Unsafe, 1).Ask(fmt.Sprint(i)) })
	}
	x.waitFor("the pool is full", func(live.View) bool { return x.pool("a").Open == 2 })
	resp := x.roundTrip("POST / HTTP/1.1\r\nHost: a.example.org\r\nContent-Length: 0\r\n\r\n")
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "1" || resp.Close {
		t.Errorf("%d, %v, close %v", resp.StatusCode, resp.Header, resp.Close)
	}
	all[0].Stall(false)
	wg.Wait()
	if got := x.pool("a").TurnedAway; got != 1 {
		t.Errorf("%d requests counted as turned away, want 1", got)
	}
	x.wantNoBreaches()
}

// TestAllNodeConnectionsAreUsed: a pool uses all connections that limits.node_connections permits to a node, including
// those that it may need later to receive late responses. Late responses must not prevent it from serving on all of
// them.
func TestAllNodeConnectionsAreUsed(t *testing.T) {
	const connections = 8
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := startNodes(t, j, 2, fleet.Spec{Cores: 2 * connections, Queue: 50})
	writeEndpoints(t, j, folder, "a.yaml", all[0].Entry("up"))
	writeEndpoints(t, j, folder, "b.yaml", all[1].Entry("up"))
	x := startService(
		t,
		j,
		folder,
		fmt.Sprintf(
			"limits: {node_connections: %d}\n",
			connections,
		)+strings.Replace(
			twoPools,
			"c: {aim: 250ms",
			"c: {aim: 1s",
			1,
		),
	)
	ask := func(n int, prefix string) (served int) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				if x.clients("a.example.org", "x", fleet.Unsafe, 1).Ask(fmt.Sprint(prefix, i)) == 200 {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		return served
	}
	for i := range 40 { // the concurrency limit rises while requests are queued
		ask(2*connections, fmt.Sprint("warm", i, "-"))
	}
	if peak, _ := all[0].Connections(); peak != connections {
		t.Errorf("%d of %d connections were used", peak, connections)
	}
	all[0].Stall(true)
	ask(connections, "late")
	all[0].Stall(false)
	if served := ask(connections, "after"); served != connections {
		t.Errorf("%d of %d requests served after late responses", served, connections)
	}
	if peak, _ := all[0].Connections(); peak > connections {
		t.Errorf("%d connections at once, want at most %d", peak, connections)
	}
	x.wantNoBreaches()
}
