package service

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/live"
	"olivearch/internal/standin/fleet"
)

// TestReloadsUnderLoad reloads ten times a second under traffic. Each reload moves the route of pool b to the new pool
// "extra" or back. Pool a does not change and must keep its readings. No request may be lost or run twice.
func TestReloadsUnderLoad(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := startNodes(t, j, 3, fleet.Spec{Work: 5 * time.Millisecond})
	for _, name := range []string{"a.yaml", "b.yaml"} {
		writeEndpoints(t, j, folder, name, all[0].Entry("up"), all[1].Entry("up"), all[2].Entry("up"))
	}
	moved := strings.NewReplacer(
		"class: r, pool: b", "class: r, pool: extra",
		"routes:", "  extra: {nodes: {file: b.yaml}, queue: 50}\nroutes:",
	).
		Replace(twoPools)
	x := startService(t, j, folder, twoPools)
	a, b := x.clients("a.example.org", "a", fleet.Unsafe, 100), x.clients("b.example.org", "b", fleet.Safe, 100)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { a.Run(ctx) })
	wg.Go(func() { b.Run(ctx) })
	readings, reloads := 0, 0
	for tick := time.NewTicker(100 * time.Millisecond); ctx.Err() == nil; <-tick.C {
		reloads++
		if reloads%2 == 1 {
			x.apply(moved)
		} else {
			x.apply(twoPools)
		}
		n := 0
		for _, node := range x.pool("a").Nodes {
			n += node.Readings
		}
		if n < readings {
			t.Errorf("pool a had %d readings before a reload and %d after it", readings, n)
		}
		readings = n
	}
	wg.Wait()
	s := x.wantNoBreaches()
	if s.Failed > 0 || s.Served < s.Asked*9/10 || reloads < 15 || readings < 10 {
		t.Errorf(
			"%d of %d served, %d failed, %d refused, in %d reloads; %d readings",
			s.Served,
			s.Asked,
			s.Failed,
			s.Refused,
			reloads,
			readings,
		)
	}
	if got := x.View().Reloads; got != reloads {
		t.Errorf("the live view shows %d reloads, want %d", got, reloads)
	}
}

// TestRemovedPoolAnswersItsRequests: a reload removes a pool while one of its requests is in flight. That request must
// still be answered, and the next one must go to the pool that the route now leads to.
func TestRemovedPoolAnswersItsRequests(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := startNodes(t, j, 2, fleet.Spec{})
	writeEndpoints(t, j, folder, "a.yaml", all[0].Entry("up"))
	writeEndpoints(t, j, folder, "b.yaml", all[1].Entry("up"))
	x := startService(t, j, folder, twoPools)
	all[0].Stall(true)
	answered := make(chan int)
	go func() { answered <- x.clients("a.example.org", "x", fleet.Unsafe, 1).Ask("held") }()
	x.waitFor("the request is in flight", func(live.View) bool {
		for _, n := range x.pool("a").Nodes {
			if n.Out == 1 {
				return true
			}
		}
		return false
	})
	x.apply(`
classes: {c: {aim: 250ms, deadline: 1s}}
pools: {b: {nodes: {file: b.yaml}, queue: 100}}
routes: [{name: a, hosts: [a.example.org], class: c, pool: b}]
`)
	if status := x.clients("a.example.org", "x", fleet.Unsafe, 1).Ask("next"); status != 200 || all[1].Runs() != 1 {
		t.Errorf("after the reload: status %d, %d runs at the new pool's node", status, all[1].Runs())
	}
	all[0].Stall(false)
	if status := <-answered; status != 200 {
		t.Errorf("the request in flight got %d", status)
	}
	x.retiring.Wait() // the removed pool ends
	x.wantNoBreaches()
}

// TestFailedReloadChangesNothing: a listener whose address is in use, or a new pool whose list cannot be read, makes
// the whole reload fail without any effect.
func TestFailedReloadChangesNothing(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := startNodes(t, j, 1, fleet.Spec{})
	writeEndpoints(t, j, folder, "a.yaml", all[0].Entry("up"))
	writeEndpoints(t, j, folder, "b.yaml", all[0].Entry("up"))
	x := startService(t, j, folder, twoPools)
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	if err := os.WriteFile(filepath.Join(folder, "invalid.yaml"), []byte("nodes: ["), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{
		strings.Replace(twoPools, "routes:", "  c: {nodes: {file: invalid.yaml}}\nroutes:", 1),
		strings.Replace(twoPools, "routes:", "  c: {nodes: {file: missing.yaml}}\nroutes:", 1),
	} {
		if err := x.Apply(x.parse(strings.Replace(text, "pool: b}", "pool: c}", 1))); err == nil {
			t.Error("no error for a list that cannot be read")
		}
	}
	c := x.parse(strings.Replace(twoPools, "pool: b}", "pool: a}", 1))
	c.Listeners = append(c.Listeners,
		config.Listener{Name: "second", Address: occupied.Addr().String(), Connections: 10})
	if err := x.Apply(c); err == nil || !strings.Contains(err.Error(), "second") {
		t.Errorf("a listener whose address is in use: %v", err)
	}
	if v := x.View(); v.Reloads != 0 || len(v.Pools) != 2 || len(v.Listeners) != 1 {
		t.Errorf("%+v", v)
	}
	if status := x.clients("b.example.org", "x", fleet.Safe, 1).Ask("1"); status != 200 || x.pool("b").Served != 1 {
		t.Errorf("%d, %+v", status, x.pool("b"))
	}
	x.wantNoBreaches()
}

// TestUnreadableListFailsReload: a reload adds a pool whose list cannot be read, and also changes another pool's list,
// a route and a quota. It must fail as a whole, with the previous routes, lists, listeners and settings still in force.
func TestUnreadableListFailsReload(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := startNodes(t, j, 2, fleet.Spec{Work: time.Millisecond})
	writeEndpoints(t, j, folder, "a.yaml", all[0].Entry("up"))
	writeEndpoints(t, j, folder, "b.yaml", all[1].Entry("up"))
	x := startService(t, j, folder, twoPools+"tenants: {t: {quota: 5}}\n")
	before, routing, view := x.state.Load(), x.state.Load().config.Table, x.View()
	err := x.Apply(
		x.parse(
			strings.NewReplacer(
				"  b: {nodes: {file: b.yaml}",
				"  c: {nodes: {file: missing.yaml}}\n  b: {nodes: {file: a.yaml}",
				"name: a,", "name: other,",
			).
				Replace(twoPools) +
				"tenants: {t: {quota: 6}}\n",
		),
	)
	if err == nil || !strings.Contains(err.Error(), "missing.yaml") {
		t.Fatalf("got %v", err)
	}
	if x.state.Load() != before || x.state.Load().config.Table != routing || x.View().Reloads != view.Reloads ||
		len(x.View().Pools) != 2 {
		t.Errorf("the failed reload changed something: %+v", x.View())
	}
	for _, host := range []string{"a.example.org", "b.example.org"} {
		r, err := http.NewRequest("POST", x.url+"/x", strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = host
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Body.Close(); resp.StatusCode == http.StatusNotFound {
			t.Errorf("%s: the route is missing", host)
		}
	}
}

// TestReloadUpdatesOnlyChangedPools: a reload that changes one of three pools leaves the others' specification
// unchanged, a changed route leaves that of all three unchanged, and a changed quota affects all of them.
func TestReloadUpdatesOnlyChangedPools(t *testing.T) {
	text := func(queue, quota int, path string) string {
		return fmt.Sprintf(`classes: {c: {aim: 250ms, deadline: 1s}}
tenants: {t: {quota: %d}}
pools:
  a: {nodes: {static: [{address: '127.0.0.1:1'}]}, queue: 10}
  b: {nodes: {static: [{address: '127.0.0.1:2'}]}, queue: %d}
  c: {nodes: {static: [{address: '127.0.0.1:3'}]}, queue: 10}
routes:
  - {name: r, path: {prefix: %s}, class: c, pools: [{pool: a, weight: 1}, {pool: b, weight: 1}, {pool: c, weight: 1}]}
`, quota, queue, path)
	}
	x := startService(t, fleet.NewJudge(time.Second), t.TempDir(), text(10, 5, "/x"))
	applyAndListUnchanged := func(text string) (names []string) {
		t.Helper()
		c := x.parse(text)
		if c.Tenants.Equal(x.state.Load().config.Tenants) { // config.Reload also keeps an equal table
			c.Tenants = x.state.Load().config.Tenants
		}
		p, err := x.newPlan(x.state.Load(), c)
		if err != nil {
			t.Fatal(err)
		}
		p.closeListeners()
		names = slices.Sorted(maps.Keys(p.unchanged))
		if err := x.Apply(c); err != nil {
			t.Fatal(err)
		}
		return names
	}
	for _, step := range []struct {
		text string
		want []string
	}{
		{text(11, 5, "/x"), []string{"a", "c"}},
		{text(11, 5, "/y"), []string{"a", "b", "c"}},
		{text(11, 6, "/y"), nil},
	} {
		if got := applyAndListUnchanged(step.text); !slices.Equal(got, step.want) {
			t.Errorf("unchanged pools: %q, want %q", got, step.want)
		}
	}
}
