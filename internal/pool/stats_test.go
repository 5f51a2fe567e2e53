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

// comparableStats formats the stats that a view contains too.
func comparableStats(s Stats) string {
	return fmt.Sprint(
		s.Served, s.Refused, s.Failed, s.QueueFull, s.Open, s.MaxRequests, s.Queued,
		s.Connections, s.MaxConnections, s.Tunnels, s.Active, s.Draining, s.Expired,
	)
}

// comparableView formats a view in the same way as comparableStats.
func comparableView(v live.Pool) string {
	active, draining := 0, 0
	for _, node := range v.Nodes {
		switch node.Phase {
		case "up":
			active++
		case "draining":
			draining++
		}
	}
	return fmt.Sprint(
		v.Served, v.Refused, v.Failed, v.TurnedAway, v.OpenRequests, v.MaxRequests, v.Queued,
		v.Connections, v.Limit, v.Tunnels, active, draining, v.Expired,
	)
}

// checkStatsMatchView fails unless the stats of a parked pool match its view, which the loop's goroutine creates.
func (p *runningPool) checkStatsMatchView(what string) {
	p.t.Helper()
	p.awaitParked()
	stats := comparableStats(p.Stats())
	view := comparableView(p.View())
	if stats != view {
		p.t.Fatalf("%s: stats %s, view %s", what, stats, view)
	}
	p.awaitParked()
}

// TestStatsMatchView: after random lists, drains, overrides, requests and releases of the balancer, Stats, which is
// read without the loop's goroutine, matches the view that this goroutine creates.
func TestStatsMatchView(t *testing.T) {
	server := startServer(t)
	var created, dormant atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				rng := rand.New(rand.NewPCG(36, seed))
				checkRandomSteps(t, server, rng, &created, &dormant)
			})
		}
	})
	if created.Load() < 10 || dormant.Load() < 10 {
		t.Errorf("compared %d times with a balancer and %d times without, want at least 10 each",
			created.Load(), dormant.Load())
	}
}

// checkRandomSteps compares stats and view after each of 40 random steps, and counts the comparisons with and without a
// balancer.
func checkRandomSteps(t *testing.T, server *scripted.Node, rng *rand.Rand, created, dormant *atomic.Int64) {
	spec := suspendableSpec()
	spec.MaxEndpointAge = time.Hour
	spec.ConnectionSettings.KeepAlive = time.Hour
	spec.Settings.Rules.SlowStartDuration = 50 * time.Millisecond
	p := startPool(t, spec, time.Hour, nil)
	p.setEndpoints(randomList(rng, server)...)
	for step := range 40 {
		what := p.randomStep(rng, server, step)
		p.checkStatsMatchView(fmt.Sprintf("step %d: %s", step, what))
		if p.Stats().HasBalancer {
			created.Add(1)
		} else {
			dormant.Add(1)
		}
	}
}

// randomList returns a list of up to six endpoints, of which all but the first may be draining.
func randomList(rng *rand.Rand, server *scripted.Node) (list []endpointlist.Node) {
	for i := range 1 + rng.IntN(6) {
		entry := listEntry(fmt.Sprintf("n%d", i), server)
		if i > 0 && rng.IntN(3) == 0 {
			entry.Phase = "draining"
		}
		list = append(list, entry)
	}
	return list
}

// randomStep makes a random change to a pool and returns its description.
func (p *runningPool) randomStep(rng *rand.Rand, server *scripted.Node, step int) string {
	p.t.Helper()
	switch rng.IntN(6) {
	case 0, 1:
		p.setEndpoints(randomList(rng, server)...)
		return "a list"
	case 2:
		id := fmt.Sprintf("n%d", 1+rng.IntN(5))
		_ = p.SetOutOfService(id, rng.IntN(2) == 0) // fails if it is not listed
		return "a local override"
	case 3:
		id := fmt.Sprintf("n%d", 1+rng.IntN(5))
		p.ApplyOverrides(override.Shared{Upstreams: map[string]bool{id: true}})
		return "a shared override"
	case 4:
		if status := p.request(fmt.Sprint(step)).Status; status != http.StatusOK {
			p.t.Fatalf("step %d: status %d", step, status)
		}
		return "a request"
	default:
		p.expireConnections()
		p.await("closed", func() bool { return p.Stats().Connections == 0 })
		p.awaitParked()
		p.inspect(func(l *loop) { l.suspension.unusedSince = l.now() - l.suspension.balancerIdleTimeout })
		p.await("released", func() bool { return !p.Stats().HasBalancer })
		return "released"
	}
}

// expireConnections sets the idle time of all idle connections to the idle time-out.
func (p *runningPool) expireConnections() {
	p.inspect(func(l *loop) {
		l.connections.nextSweepAt = l.now()
		for _, endpoint := range l.endpoints {
			for _, idle := range endpoint.idle.list {
				idle.idleSince = l.now() - l.connections.idleTimeout
			}
		}
	})
}

// TestStatsDoesNotWakeLoop: reading a pool's stats does not start its goroutine; reading its view does.
func TestStatsDoesNotWakeLoop(t *testing.T) {
	server := startServer(t)
	var parked atomic.Int64
	p := startPool(t, suspendableSpec(), time.Minute, func(l *loop) {
		l.suspension.beforePark = func() { parked.Add(1) }
	})
	p.setEndpoints(listEntry("a", server))
	p.awaitParked()
	before := parked.Load()
	for range 100 {
		if stats := p.Stats(); stats.Active != 1 || stats.HasBalancer || stats.HasRequests() {
			t.Fatalf("%+v", stats)
		}
	}
	want(t, "times the goroutine was parked", parked.Load(), before)
	if view := p.PartialView(live.Part{Nodes: live.NoNodes}); len(view.Nodes) != 0 {
		t.Errorf("the view has %d endpoints, want 0", len(view.Nodes))
	}
	p.awaitParked()
	want(t, "times the goroutine was parked, after a view", parked.Load(), before+1)
}

// TestServedTime: ServedFor counts the time of served requests, not that of refused ones.
func TestServedTime(t *testing.T) {
	server := startServer(t)
	p := startPool(t, suspendableSpec(), time.Minute, nil)
	p.setEndpoints(listEntry("a", server))
	began := time.Now()
	want(t, "status", p.request("1").Status, http.StatusOK)
	took := time.Since(began)
	if stats := p.Stats(); stats.ServedFor <= 0 || stats.ServedFor > took || !stats.HasRequests() {
		t.Errorf("ServedFor is %v, want above 0 and at most %v", stats.ServedFor, took)
	}
	sum := p.Stats().ServedFor
	p.setEndpoints()
	if response := p.request("2"); response.Status != http.StatusServiceUnavailable {
		t.Fatalf("status without endpoints: %d, want 503", response.Status)
	}
	want(t, "ServedFor", p.Stats().ServedFor, sum)
	want(t, "refused", p.Stats().Refused, uint64(1))
}

// TestShortWaitWithoutEvents: if the next check is due so soon that the goroutine is not ended, the check is made
// although no event arrives. The last event arrives 5 ms before an idle connection expires, and then 5 ms before the
// balancer is to be released.
func TestShortWaitWithoutEvents(t *testing.T) {
	server := startServer(t)
	spec := suspendableSpec()
	spec.ConnectionSettings.KeepAlive = time.Hour
	p := startPool(t, spec, time.Hour, nil)
	p.setEndpoints(listEntry("a", server))
	want(t, "status", p.request("1").Status, http.StatusOK)
	p.awaitParked()
	want(t, "connections", p.Stats().Connections, 1)
	p.inspect(func(l *loop) {
		l.connections.nextSweepAt = l.now()
		for _, endpoint := range l.endpoints {
			endpoint.idle.oldest().idleSince = l.now() + 5*time.Millisecond - l.connections.idleTimeout
		}
	})
	p.await("closed", func() bool { return p.Stats().Connections == 0 }) // reading stats enqueues no event
	p.awaitParked()
	want(t, "balancer", p.Stats().HasBalancer, true)
	p.inspect(func(l *loop) {
		l.suspension.unusedSince = l.now() + 5*time.Millisecond - l.suspension.balancerIdleTimeout
	})
	p.await("released", func() bool { return !p.Stats().HasBalancer })
}
