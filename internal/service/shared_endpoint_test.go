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

// TestSharedColdNode restarts a node that six pools list, each beside a busy node of its own by which it judges what
// a whole one can do. The fleet's judge sees what comes to it from all of them. The node bears a quarter of what the
// configuration says, so that the module's own margins do not hide the parts: without them it falls over.
func TestSharedColdNode(t *testing.T) {
	x, all := sharedNode(t, 64)
	shared := all[len(all)-1]
	ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
	defer cancel()
	wait := x.drive(ctx)
	shared.Crash()
	if err := shared.Restart(); err != nil {
		t.Fatal(err)
	}
	x.sharedLists(all)
	wait()
	if shared.Fallen() || shared.Runs() == 0 {
		t.Errorf("the cold node: fallen %v, %d runs", shared.Fallen(), shared.Runs())
	}
	t.Logf("the cold node was sent %.2f of what pushes it over", shared.ColdPeak())
	x.wantNoBreaches()
}

// TestSharedNodesConnections: six pools hold no more connections to a node together than it takes, by the node's count.
func TestSharedNodesConnections(t *testing.T) {
	const most = 6
	x, all := sharedNode(t, most)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	x.drive(ctx)()
	shared := all[len(all)-1]
	if n, _ := shared.Connections(); n > most || shared.Runs() < 50 {
		t.Errorf("the shared node had %d connections at once, %d are allowed over all pools; %d runs", n, most, shared.Runs())
	}
	x.wantNoBreaches()
}

const sharingPools = 6

// sharedNode starts a service with pools that list a node of their own each, and the last one all together.
func sharedNode(t *testing.T, connections int) (*testService, []*fleet.Node) {
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
	x.sharedLists(all)
	return startService(t, j, folder, text+routes), all
}

func (x *testService) sharedLists(all []*fleet.Node) {
	x.t.Helper()
	for i := range sharingPools {
		x.writeList(fmt.Sprintf("p%d.yaml", i), all[i].Entry("up"), all[sharingPools].Entry("up"))
	}
}

// drive sends to all pools, and returns once they have learnt how long nodes take. What it returns waits for the end.
func (x *testService) drive(ctx context.Context) (wait func()) {
	x.t.Helper()
	var wg sync.WaitGroup
	for i := range sharingPools {
		wg.Go(func() { x.clients(fmt.Sprint("h", i), fmt.Sprint("p", i), fleet.Unsafe, 90).Run(ctx) })
	}
	x.waitFor("all pools have learnt", func(v live.View) bool {
		for _, p := range v.Pools {
			if p.Served < 100 {
				return false
			}
		}
		return true
	})
	return wg.Wait
}
