package service

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"olivearch/internal/live"
	"olivearch/internal/standin/fleet"
)

// TestSharedNodeWarmsUp restarts a node that six pools share. Each pool also has a busy node of its own, from which it
// estimates how much a warm node can serve. While the shared node warms up, all pools together must not overload it. It
// tolerates a quarter of the load that the configuration assumes, so that the margins of the balancer's slow start do
// not hide missing allotments: without allotments the node is overloaded and fails.
func TestSharedNodeWarmsUp(t *testing.T) {
	x, all := startSharedNode(t, 64)
	shared := all[len(all)-1]
	ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
	defer cancel()
	wait := x.startTraffic(ctx)
	shared.Crash()
	if err := shared.Restart(); err != nil {
		t.Fatal(err)
	}
	x.writeSharedLists(all)
	wait()
	if shared.Fallen() || shared.Runs() == 0 {
		t.Errorf("the node while it warmed up: overloaded %v, %d runs", shared.Fallen(), shared.Runs())
	}
	t.Logf("the node got at most %.2f of the load that overloads it while it warms up", shared.ColdPeak())
	x.wantNoBreaches()
}

// TestSharedNodeConnectionLimit: six pools together open no more connections to a node than limits.node_connections
// permits, as counted by the node.
func TestSharedNodeConnectionLimit(t *testing.T) {
	const limit = 6
	x, all := startSharedNode(t, limit)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	x.startTraffic(ctx)()
	shared := all[len(all)-1]
	if n, _ := shared.Connections(); n > limit || shared.Runs() < 50 {
		t.Errorf("the shared node had %d connections at once, want at most %d; %d runs",
			n, limit, shared.Runs())
	}
	x.wantNoBreaches()
}

const sharingPools = 6

// startSharedNode starts nodes and a service with sharingPools pools. Each pool lists a node of its own and the last
// node, which all pools share.
func startSharedNode(t *testing.T, connections int) (*testService, []*fleet.Node) {
	t.Helper()
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := startNodes(t, j, sharingPools+1, fleet.Spec{
		Cores:    2,
		Queue:    200,
		Work:     20 * time.Millisecond,
		Reports:  100 * time.Millisecond,
		ColdFrom: 0.33,
		Ramp:     20 * time.Second,
		Multiple: 0.75,
		Window:   1500 * time.Millisecond,
	})
	text := fmt.Sprintf(
		"classes: {c: {aim: 250ms, deadline: 1s}}\nrules: {ramp_time: 20s}\nlimits: {node_connections: %d}\npools:\n",
		connections,
	)
	routes := "routes:\n"
	for i := range sharingPools {
		text += fmt.Sprintf("  p%d: {nodes: {file: p%d.yaml}}\n", i, i)
		routes += fmt.Sprintf("  - {name: r%d, hosts: [h%d], class: c, pool: p%d}\n", i, i, i)
	}
	x := &testService{t: t, judge: j, folder: folder}
	x.writeSharedLists(all)
	return startService(t, j, folder, text+routes), all
}

func (x *testService) writeSharedLists(all []*fleet.Node) {
	x.t.Helper()
	for i := range sharingPools {
		x.writeList(fmt.Sprintf("p%d.yaml", i), all[i].Entry("up"), all[sharingPools].Entry("up"))
	}
}

// startTraffic sends requests to all pools until the context ends. It returns once each pool has served enough of them
// to know the latency of its nodes. The returned function waits for the end of all clients.
func (x *testService) startTraffic(ctx context.Context) (wait func()) {
	x.t.Helper()
	var wg sync.WaitGroup
	for i := range sharingPools {
		wg.Go(func() { x.clients(fmt.Sprint("h", i), fmt.Sprint("p", i), fleet.Unsafe, 90).Run(ctx) })
	}
	x.waitFor("each pool has served 100 requests", func(v live.View) bool {
		for _, p := range v.Pools {
			if p.Served < 100 {
				return false
			}
		}
		return true
	})
	return wg.Wait
}
