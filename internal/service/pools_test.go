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

// TestStalledPoolHarmsNoOther: every node of pool a takes requests and answers none, and its aim is so long that the
// module goes on holding what comes: without the queue bound pool a would hold all of the listener's connections.
// Pool b goes on in time, and each request of a gets one final answer.
func TestStalledPoolHarmsNoOther(t *testing.T) {
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
	x.waitFor("pool a holds all that it may", func(live.View) bool { return x.pool("a").Open == 80 })
	wg.Go(func() { b.Run(ctx) })
	wg.Wait()
	s := x.wantNoBreaches()
	if most := x.View().Listeners[0].Limit; most != connections {
		t.Errorf("the listener takes %d connections, the test is made for %d", most, connections)
	}
	if b.Served() < 100 || b.Quantile(0.99) > 250*time.Millisecond {
		t.Errorf("pool b: %d served, p99 %v", b.Served(), b.Quantile(0.99))
	}
	if a.Served() > 0 || s.Refused+s.Failed < 400 {
		t.Errorf("pool a: %d served by nodes that answer none; %d refused, %d failed", a.Served(), s.Refused, s.Failed)
	}
}

// firstNodePhase is the phase of node n0 in a pool; "none" if it is not listed.
func (x *testService) firstNodePhase(pool string) string {
	for _, n := range x.pool(pool).Nodes {
		if n.ID == "n0" {
			return n.Phase
		}
	}
	return "none"
}

// TestDrains: a node drains in the list of a and not in that of b. By default no pool sends there; where b goes by
// its own list, b does.
func TestDrains(t *testing.T) {
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
		x.waitFor("the drain in a", func(live.View) bool { return x.firstNodePhase("a") == "draining" })
		if own {
			x.waitFor("b keeps the node", func(live.View) bool { return x.firstNodePhase("b") == "up" })
		} else {
			x.waitFor("b has heard", func(live.View) bool { return x.firstNodePhase("b") == "draining" })
		}
		before := all[0].Runs()
		for i := range 20 {
			x.clients("a.example.org", "a", fleet.Unsafe, 1).Ask(fmt.Sprint("a", i))
		}
		if got := all[0].Runs(); got != before {
			t.Errorf("own %v: pool a sent %d to a node that drains", own, got-before)
		}
		for i := range 20 {
			x.clients("b.example.org", "b", fleet.Safe, 1).Ask(fmt.Sprint("b", i))
		}
		if got := all[0].Runs() - before; (got > 0) != own {
			t.Errorf("own %v: pool b sent %d to a node that drains by a's list", own, got)
		}
		x.wantNoBreaches()
	}
}

// TestQueueBound: a pool that holds as many requests as it may turns the next one away at once, with when to come
// back in whole seconds, and does not close the connection.
func TestQueueBound(t *testing.T) {
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
		t.Errorf("%d turned away", got)
	}
	x.wantNoBreaches()
}

// TestAllConnectionsOfANodeServe: a pool uses all connections that a node gives it, also those that it may once need
// for late answers; when some are needed for these, the others go on.
func TestAllConnectionsOfANodeServe(t *testing.T) {
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
	for i := range 40 { // the bound goes up while requests wait
		ask(2*connections, fmt.Sprint("warm", i, "-"))
	}
	if most, _ := all[0].Connections(); most != connections {
		t.Errorf("%d connections were used of %d", most, connections)
	}
	all[0].Stall(true)
	ask(connections, "late")
	all[0].Stall(false)
	if served := ask(connections, "after"); served != connections {
		t.Errorf("%d of %d served after late answers", served, connections)
	}
	if most, _ := all[0].Connections(); most > connections {
		t.Errorf("%d connections at once, %d are allowed", most, connections)
	}
	x.wantNoBreaches()
}
