package pool

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"olivearch/internal/endpointlist"
	"olivearch/internal/live"
	"olivearch/internal/override"
	"olivearch/internal/standin/scripted"
)

// checkStatsMatchView fails unless what others read of a parked pool is what its goroutine tells.
func (p *runningPool) checkStatsMatchView(what string) {
	p.t.Helper()
	p.awaitParked()
	s, v := p.Stats(), p.View()
	up, draining := 0, 0
	for _, n := range v.Nodes {
		switch n.Phase {
		case "up":
			up++
		case "draining":
			draining++
		}
	}
	got := fmt.Sprint(s.Served, s.Refused, s.Failed, s.QueueFull, s.Open, s.Queue, s.Queued, s.Connections, s.Limit, s.Tunnels, s.Up, s.Draining, s.Expired)
	if want := fmt.Sprint(v.Served, v.Refused, v.Failed, v.TurnedAway, v.Open, v.Queue, v.Held, v.Connections, v.Limit, v.Tunnels, up, draining, v.Expired); got != want {
		p.t.Fatalf("%s: read from outside %s, told by the goroutine %s", what, got, want)
	}
	p.awaitParked()
}

// TestStatsMatchView: over random lists, drains, words of operators and of the ledger, requests and pauses in which
// the pool is given back, what is read without its goroutine is what that tells.
func TestStatsMatchView(t *testing.T) {
	s := startServer(t)
	var made, unmade atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				checkRandomSteps(t, s, rand.New(rand.NewPCG(36, seed)), &made, &unmade)
			})
		}
	})
	if made.Load() < 10 || unmade.Load() < 10 {
		t.Errorf("%d looks at a made pool and %d at one that is not: they show little", made.Load(), unmade.Load())
	}
}

func checkRandomSteps(t *testing.T, s *scripted.Node, rng *rand.Rand, made, unmade *atomic.Int64) {
	spec := suspendableSpec()
	spec.MaxEndpointAge, spec.Links.KeepAlive, spec.Settings.Rules.SlowStartDuration = time.Hour, time.Hour, 50*time.Millisecond
	p := startPool(t, spec, time.Hour, nil)
	list := func() (nodes []endpointlist.Node) {
		for i := range 1 + rng.IntN(6) {
			n := listEntry(fmt.Sprintf("n%d", i), s)
			if i > 0 && rng.IntN(3) == 0 {
				n.Phase = "draining"
			}
			nodes = append(nodes, n)
		}
		return nodes
	}
	p.UpdateEndpoints(list())
	for step := range 40 {
		what := fmt.Sprintf("step %d: ", step)
		switch rng.IntN(6) {
		case 0, 1:
			p.UpdateEndpoints(list())
			what += "a list"
		case 2:
			p.SetOutOfService(fmt.Sprintf("n%d", 1+rng.IntN(5)), rng.IntN(2) == 0)
			what += "by hand"
		case 3:
			p.ApplyOverrides(override.Shared{Out: map[string]bool{fmt.Sprintf("n%d", 1+rng.IntN(5)): true}})
			what += "by the ledger"
		case 4:
			if status := p.request(fmt.Sprint(step)).Status; status != http.StatusOK {
				t.Fatalf("%s: answered %d", what, status)
			}
			what += "a request"
		case 5:
			p.inspect(func(l *loop) { // as if all had rested for their time
				l.connections.nextSweepAt = l.now()
				for _, x := range l.endpoints {
					for _, link := range x.idle.list {
						link.idleSince = l.now() - l.connections.idleTimeout
					}
				}
			})
			p.await("closed", func() bool { return p.Stats().Connections == 0 })
			p.awaitParked()
			p.inspect(func(l *loop) { l.suspension.emptySince = l.now() - l.suspension.balancerIdleTimeout })
			p.await("given back", func() bool { return !p.Stats().Created })
			what += "given back"
		}
		p.checkStatsMatchView(what)
		if p.Stats().Created {
			made.Add(1)
		} else {
			unmade.Add(1)
		}
	}
}

// TestStatsWakeNobody: reading a pool's figures starts no goroutine; its view does.
func TestStatsWakeNobody(t *testing.T) {
	s := startServer(t)
	var turns atomic.Int64
	p := startPool(t, suspendableSpec(), time.Minute, func(l *loop) { l.suspension.beforePark = func() { turns.Add(1) } })
	p.UpdateEndpoints([]endpointlist.Node{listEntry("a", s)})
	p.awaitParked()
	before := turns.Load()
	for range 100 {
		if x := p.Stats(); x.Up != 1 || x.Created || x.Asked() {
			t.Fatalf("%+v", x)
		}
	}
	want(t, "turns of its goroutine", turns.Load(), before)
	if v := p.ViewOf(live.Part{Nodes: live.NoNodes}); len(v.Nodes) != 0 {
		t.Errorf("%d nodes", len(v.Nodes))
	}
	p.awaitParked()
	want(t, "after a view", turns.Load(), before+1)
}

// TestServedTime: what served requests took is summed, and what is refused is not.
func TestServedTime(t *testing.T) {
	s := startServer(t)
	p := startPool(t, suspendableSpec(), time.Minute, nil)
	p.UpdateEndpoints([]endpointlist.Node{listEntry("a", s)})
	began := time.Now()
	want(t, "status", p.request("1").Status, http.StatusOK)
	took := time.Since(began)
	if x := p.Stats(); x.ServedFor <= 0 || x.ServedFor > took || !x.Asked() {
		t.Errorf("%v of at most %v", x.ServedFor, took)
	}
	sum := p.Stats().ServedFor
	p.UpdateEndpoints([]endpointlist.Node{listEntry("b", s)}[:0])
	if a := p.request("2"); a.Status != http.StatusServiceUnavailable {
		t.Fatalf("with no node: %d", a.Status)
	}
	want(t, "time of the served", p.Stats().ServedFor, sum)
	want(t, "refused", p.Stats().Refused, uint64(1))
}

// TestShortWaitEnds: a pool whose next look is so near that its goroutine stays for it has that look, though no event
// comes. The last event comes 5 ms before a connection has rested for its time, and 5 ms before the pool is to be given
// back.
func TestShortWaitEnds(t *testing.T) {
	s := startServer(t)
	spec := suspendableSpec()
	spec.Links.KeepAlive = time.Hour
	p := startPool(t, spec, time.Hour, nil)
	p.UpdateEndpoints([]endpointlist.Node{listEntry("a", s)})
	want(t, "status", p.request("1").Status, http.StatusOK)
	p.awaitParked()
	want(t, "connections", p.Stats().Connections, 1)
	p.inspect(func(l *loop) {
		l.connections.nextSweepAt = l.now()
		for _, x := range l.endpoints {
			x.idle.oldest().idleSince = l.now() + 5*time.Millisecond - l.connections.idleTimeout
		}
	})
	p.await("closed", func() bool { return p.Stats().Connections == 0 }) // it posts no event
	p.awaitParked()
	want(t, "made", p.Stats().Created, true)
	p.inspect(func(l *loop) {
		l.suspension.emptySince = l.now() + 5*time.Millisecond - l.suspension.balancerIdleTimeout
	})
	p.await("given back", func() bool { return !p.Stats().Created })
}
