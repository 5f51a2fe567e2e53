package pool

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/discovery"
	"olivearch/internal/endpointlist"
	"olivearch/internal/override"
	"olivearch/internal/standin/scripted"
	"olivearch/internal/wire"
)

// TestBalancerCreatedParkedReleased: a pool creates its balancer for the first request, parks, closes its connections
// on time and releases the balancer. It keeps its list, its counters and what the balancer learnt, and has no goroutine
// while parked.
func TestBalancerCreatedParkedReleased(t *testing.T) {
	server := startServer(t)
	p := startPool(t, suspendableSpec(), 50*time.Millisecond, nil)
	p.setEndpoints(listEntry("a", server), listEntry("b", server))
	p.awaitParked()
	want(t, "balancer before a request", p.hasBalancer(), false)
	view := p.View()
	want(t, "endpoints in view", len(view.Nodes), 2)
	want(t, "phase", view.Nodes[0].Phase, "up")
	before := runtime.NumGoroutine()
	for i := range 3 {
		want(t, "status", p.request(fmt.Sprint(i)).Status, http.StatusOK)
		want(t, "balancer", p.hasBalancer(), true)
		p.awaitReleased()
		p.awaitParked()
		want(t, "connections", p.View().Connections, 0)
	}
	want(t, "served", p.View().Served, uint64(3))
	want(t, "endpoints in the snapshot", len(p.Snapshot().Upstreams) > 0, true)
	p.awaitParked()
	p.await("without goroutines", func() bool { return runtime.NumGoroutine() <= before })
}

// TestWokenWhileParking: events that arrive while the goroutine is about to end are handled.
func TestWokenWhileParking(t *testing.T) {
	server := startServer(t)
	parking, resume := make(chan struct{}), make(chan struct{})
	var once sync.Once
	p := startPool(t, suspendableSpec(), time.Minute, func(l *loop) {
		l.suspension.beforePark = func() {
			once.Do(func() {
				close(parking)
				<-resume
			})
		}
	})
	<-parking // after the last check for events
	p.setEndpoints(listEntry("a", server))
	request := p.submit("1")
	close(resume)
	select {
	case response := <-request.Responses:
		want(t, "status", response.Status, http.StatusOK)
	case <-time.After(5 * time.Second):
		t.Fatal("no response within 5 s: the event was lost")
	}
}

// TestOneGoroutineAtATime sends events from many goroutines while the loop parks repeatedly. The race detector would
// report two goroutines of one loop.
func TestOneGoroutineAtATime(t *testing.T) {
	server := startServer(t)
	p := startPool(t, suspendableSpec(), time.Millisecond, func(l *loop) {
		l.suspension.beforePark = runtime.Gosched
	})
	p.setEndpoints(listEntry("a", server))
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for i := range 50 {
				switch (worker + i) % 4 {
				case 0:
					if response := p.request(
						fmt.Sprint(worker, "-", i),
					); response.Status != http.StatusOK {
						t.Errorf("status %d", response.Status)
					}
				case 1:
					p.View()
				case 2:
					p.setEndpoints(listEntry("a", server))
				default:
					p.Ping()
				}
			}
		})
	}
	group.Wait()
}

// TestDrainWhileDormant: an endpoint that starts draining while the pool is dormant gets no requests, however the pool
// is notified of the drain.
func TestDrainWhileDormant(t *testing.T) {
	a, b := startServer(t), startServer(t)
	change := func(member discovery.Member) event {
		return endpointsUpdated{Listing: discovery.Listing{Revision: 9, Members: []discovery.Member{member}}}
	}
	for what, drain := range map[string]func(p *runningPool){
		"list": func(p *runningPool) { p.setEndpoints(drainingEntry("a", a), listEntry("b", b)) },
		"out of service": func(p *runningPool) {
			want(t, "out of service", p.SetOutOfService("a", true), nil)
		},
		"shared override": func(p *runningPool) {
			p.ApplyOverrides(override.Shared{Upstreams: map[string]bool{"a": true}})
		},
		"merged override": func(p *runningPool) {
			p.MergeOverrides(map[string]override.Entry{"a": {Out: true, At: 1}})
		},
		"change": func(p *runningPool) {
			p.loop.enqueueUrgent(change(discovery.Member{
				ID: "a", HostPort: a.Addr, Phase: "draining", Size: 1,
			}))
		},
		"removal": func(p *runningPool) {
			p.loop.enqueueUrgent(change(discovery.Member{ID: "a", Phase: "removed"}))
		},
	} {
		for _, after := range []time.Duration{0, 900 * time.Millisecond, 1100 * time.Millisecond} {
			t.Run(fmt.Sprint(what, after), func(t *testing.T) {
				t.Parallel()
				p := startPool(t, suspendableSpec(), time.Minute, nil)
				p.setEndpoints(listEntry("a", a), listEntry("b", b))
				p.awaitParked()
				drain(p)
				p.awaitParked()
				want(t, "balancer", p.hasBalancer(), false)
				for _, node := range p.View().Nodes {
					phase := map[string]string{"a": "draining", "b": "up"}[node.ID]
					want(t, "phase of "+node.ID, node.Phase, phase)
				}
				time.Sleep(after)
				for i := range 6 {
					want(t, "status", p.request(fmt.Sprint(i)).Status, http.StatusOK)
				}
			})
		}
	}
	t.Cleanup(func() { want(t, "connections to the draining endpoint", a.Opened(), 0) })
}

// TestDrainOfOthersWhileDormant: a drain in another pool's list applies to a dormant pool, and one in a dormant pool's
// list to other pools.
func TestDrainOfOthersWhileDormant(t *testing.T) {
	a, b := startServer(t), startServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	registry := NewEndpointRegistry(ctx, 10)
	start := func(name string) *runningPool {
		spec := suspendableSpec()
		spec.Name = name
		spec.SharedWeight = 1
		p, err := New(ctx, spec, registry, nil)
		if err != nil {
			t.Fatal(err)
		}
		return &runningPool{p, t}
	}
	x, y := start("x"), start("y")
	for _, p := range []*runningPool{x, y} {
		p.setEndpoints(listEntry("a", a), listEntry("b", b))
	}
	x.setEndpoints(drainingEntry("a", a), listEntry("b", b))
	y.await("notified", func() bool {
		nodes := y.View().Nodes
		return len(nodes) == 2 && nodes[0].Phase == "draining" && nodes[1].Phase == "up"
	})
	want(t, "balancers", x.hasBalancer() || y.hasBalancer(), false)
	for i := range 4 {
		want(t, "status", y.request(fmt.Sprint(i)).Status, http.StatusOK)
	}
	want(t, "connections to the draining endpoint", a.Opened(), 0)
}

// TestManyFirstRequests sends the first request to 300 dormant pools at once. Each is served within a second.
func TestManyFirstRequests(t *testing.T) {
	server := startServer(t)
	var pools []*runningPool
	for range 300 {
		p := startPool(t, suspendableSpec(), time.Minute, nil)
		p.setEndpoints(listEntry("a", server), listEntry("b", server), listEntry("c", server))
		pools = append(pools, p)
	}
	for _, p := range pools {
		p.awaitParked()
	}
	var group sync.WaitGroup
	for _, p := range pools {
		group.Go(func() {
			began := time.Now()
			if response := p.request("1"); response.Status != http.StatusOK {
				t.Errorf("status %d", response.Status)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("response after %v, want at most 1 s", took)
			}
		})
	}
	group.Wait()
}

// TestParkedClosesConnections: a parked pool closes an idle connection on time, without an event.
func TestParkedClosesConnections(t *testing.T) {
	closed := make(chan struct{})
	server := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		scripted.Done(c, r)
		_, _ = io.Copy(io.Discard, c) // until the pool closes the connection
		close(closed)
		return false
	})
	p := startPool(t, suspendableSpec(), time.Minute, nil)
	p.setEndpoints(listEntry("a", server))
	want(t, "status", p.request("1").Status, http.StatusOK)
	p.awaitParked()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the idle connection is still open after 5 s")
	}
}

// releaseDelay is the balancerIdleTimeout of the pools in TestBalancerNotReleasedWhileNeeded. holdTime is how long they
// need their balancer; it is longer than sweepInterval.
const releaseDelay, holdTime = 10 * time.Millisecond, 2 * time.Second

// TestBalancerNotReleasedWhileNeeded: a balancer is not released while a request, connection or tunnel is open, or
// while it has state that a new balancer would not have.
func TestBalancerNotReleasedWhileNeeded(t *testing.T) {
	t.Run("request", heldByRequest)
	t.Run("deduplication window", heldByDeduplicationWindow)
	t.Run("slow start", heldBySlowStart)
	t.Run("tenant", heldByTenant)
	t.Run("tunnel", heldByTunnel)
	t.Run("connection", heldByConnection)
}

// checkHeld fails if the balancer is released within 300 ms, and then waits for its release.
func (p *runningPool) checkHeld() {
	p.t.Helper()
	for range 5 {
		time.Sleep(60 * time.Millisecond)
		if !p.hasBalancer() {
			p.t.Fatal("the balancer was released within 300 ms")
		}
	}
	p.awaitReleased()
}

// checkHeldSince fails if the balancer is released more than 50 ms before holdTime has passed since began.
func (p *runningPool) checkHeldSince(began time.Time) {
	p.t.Helper()
	p.checkHeld()
	if held := time.Since(began); held < holdTime-50*time.Millisecond {
		p.t.Errorf("the balancer was released after %v, before holdTime", held)
	}
}

func heldByRequest(t *testing.T) {
	release := make(chan struct{})
	slow := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		<-release
		return scripted.Done(c, r)
	})
	p := startPool(t, suspendableSpec(), releaseDelay, nil)
	p.setEndpoints(listEntry("a", slow))
	request := p.submit("1")
	<-slow.Arrivals
	time.Sleep(300 * time.Millisecond)
	want(t, "balancer", p.hasBalancer(), true)
	close(release)
	want(t, "status", (<-request.Responses).Status, http.StatusOK)
	p.awaitReleased()
}

func heldByDeduplicationWindow(t *testing.T) {
	t.Parallel()
	spec := suspendableSpec()
	spec.Settings.Classes[1].Idempotency = balancer.IdempotentWithKey
	spec.Settings.Classes[1].DeduplicationWindow = holdTime
	p := startPool(t, spec, releaseDelay, nil)
	p.setEndpoints(listEntry("a", startServer(t)))
	want(t, "status", p.request("1").Status, http.StatusOK)
	p.checkHeldSince(time.Now())
}

func heldBySlowStart(t *testing.T) {
	t.Parallel()
	server := startServer(t)
	spec := suspendableSpec()
	spec.Settings.Rules.SlowStartDuration = holdTime
	p := startPool(t, spec, releaseDelay, nil)
	p.setEndpoints(listEntry("b", server))
	want(t, "status", p.request("1").Status, http.StatusOK)
	fresh := listEntry("a", server)
	fresh.Started = time.Now()
	p.setEndpoints(listEntry("b", server), fresh)
	p.checkHeldSince(time.Now())
}

func heldByTenant(t *testing.T) {
	t.Parallel()
	spec := suspendableSpec()
	spec.Settings.Tenants = balancer.NewTenants([]balancer.Tenant{{Name: "t", Quota: 0.5}})
	p := startPool(t, spec, releaseDelay, nil)
	p.setEndpoints(listEntry("a", startServer(t)))
	request := newRequest("1", p.Now(), time.Second)
	request.Tenant = "t"
	p.Submit(request)
	want(t, "status", (<-request.Responses).Status, http.StatusOK)
	p.checkHeldSince(time.Now())
}

func heldByTunnel(t *testing.T) {
	t.Parallel()
	const switching = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n"
	server := scripted.Start(t, func(c net.Conn, _ *http.Request) bool {
		if _, err := io.WriteString(c, switching); err == nil {
			_, _ = io.Copy(c, c) // until the tunnel ends
		}
		return false
	})
	spec := suspendableSpec()
	spec.Tunnels = TunnelLimits{Total: 1, PerEndpoint: 1}
	// so that the tunnel, not the keep-alive time, holds the balancer
	spec.ConnectionSettings.KeepAlive = 2 * releaseDelay
	p := startPool(t, spec, releaseDelay, nil)
	p.setEndpoints(listEntry("a", server))
	request := newRequest("1", p.Now(), time.Second)
	request.Message.RequestLine = "GET /"
	request.Message.Upgrade = "echo"
	request.Message.Tunnel = &body.TunnelLimits{Idle: time.Minute, Grace: time.Minute}
	p.Submit(request)
	response := <-request.Responses
	if response.Status != http.StatusSwitchingProtocols || response.Tunnel == nil {
		t.Fatalf("status %d, want 101 and a tunnel", response.Status)
	}
	for range 5 { // for 1.5 s: longer than releaseDelay and sweepInterval
		time.Sleep(300 * time.Millisecond)
		want(t, "balancer", p.hasBalancer(), true)
		want(t, "tunnels", p.View().Tunnels, 1)
	}
	response.Tunnel.Close()
	p.awaitReleased()
}

func heldByConnection(t *testing.T) {
	t.Parallel()
	spec := suspendableSpec()
	spec.ConnectionSettings.KeepAlive = 1200 * time.Millisecond
	p := startPool(t, spec, releaseDelay, nil)
	p.setEndpoints(listEntry("a", startServer(t)))
	want(t, "status", p.request("1").Status, http.StatusOK)
	want(t, "connections", p.View().Connections, 1)
	p.checkHeld()
}

// TestLargePoolGetsBalancerWithList: a pool with many endpoints creates its balancer when it gets its list, so that the
// first request does not wait for it. The pool parks, but keeps the balancer as long as the list is that long.
func TestLargePoolGetsBalancerWithList(t *testing.T) {
	server := startServer(t)
	p := startPool(t, suspendableSpec(), 10*time.Millisecond, nil)
	list := make([]endpointlist.Node, defaultMaxLazyEndpoints+1)
	for i := range list {
		list[i] = listEntry(fmt.Sprintf("n%d", i), server)
	}
	p.setEndpoints(list[:defaultMaxLazyEndpoints]...)
	p.awaitParked()
	want(t, "balancer with few endpoints", p.hasBalancer(), false)
	p.setEndpoints(list...)
	p.awaitParked()
	want(t, "balancer with many endpoints", p.hasBalancer(), true)
	list[0].Phase = "draining"
	p.setEndpoints(list...)
	want(t, "status", p.request("1").Status, http.StatusOK)
	want(t, "phase of the first endpoint", p.View().Nodes[0].Phase, "draining")
	began := time.Now()
	small := startPool(t, suspendableSpec(), 10*time.Millisecond, nil)
	small.setEndpoints(list[:defaultMaxLazyEndpoints]...)
	want(t, "status", small.request("1").Status, http.StatusOK)
	small.awaitReleased()
	time.Sleep(time.Since(began)) // in all, twice as long as the smaller pool took
	want(t, "connections", p.View().Connections, 0)
	want(t, "balancer after a smaller pool has released its own", p.hasBalancer(), true)
	p.setEndpoints(list[:2]...)
	p.awaitReleased()
	want(t, "endpoints", len(p.View().Nodes), 2)
}

// TestShutdownWhileDormant: a dormant pool stores its list, accepts a new configuration, and shuts down completely.
func TestShutdownWhileDormant(t *testing.T) {
	server := startServer(t)
	store := &recordingStore{closed: make(chan struct{})}
	spec := suspendableSpec()
	spec.EndpointStore = store
	p := startPool(t, spec, time.Minute, func(l *loop) {
		l.registration = NewEndpointRegistry(t.Context(), 10).join(1, false, l.enqueueUrgent)
	})
	p.setEndpoints(listEntry("a", server))
	p.awaitParked()
	want(t, "stored lists", store.count(), 1)
	wrong := spec
	wrong.Settings.Classes = nil
	if err := p.Configure(wrong); err == nil || !strings.Contains(err.Error(), "Classes") {
		t.Errorf("error of settings without classes: %v", err)
	}
	next := spec
	next.MaxConnections = 7
	want(t, "configure", p.Configure(next), nil)
	want(t, "balancer", p.hasBalancer(), false)
	want(t, "limit", p.View().Limit, 7)
	p.awaitParked()
	p.Shutdown()
	<-p.Done()
	<-store.closed
	admitted, _ := p.Acquire()
	want(t, "admitted", admitted, false)

	stopped := startPool(t, suspendableSpec(), time.Minute, nil)
	stopped.setEndpoints(listEntry("a", server))
	stopped.awaitParked()
	stopped.stop() // ends its context
	want(t, "endpoints in view", len(stopped.View().Nodes), 0)
	want(t, "overrides", len(stopped.LocalOverrides()), 0)
}

// recordingStore is an EndpointStore that counts the saved lists.
type recordingStore struct {
	mu     sync.Mutex
	saved  int
	closed chan struct{}
}

func (s *recordingStore) Save(discovery.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved++
}

func (s *recordingStore) Close() { close(s.closed) }

func (s *recordingStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saved
}

// TestSlowStartWhenCreated: an endpoint that started recently, according to a list that arrived while the pool was
// dormant, warms up in the balancer that the first request creates.
func TestSlowStartWhenCreated(t *testing.T) {
	server := startServer(t)
	p := startPool(t, suspendableSpec(), time.Minute, nil)
	fresh := listEntry("b", server)
	fresh.Started = time.Now()
	p.setEndpoints(listEntry("a", server), fresh)
	want(t, "status", p.request("1").Status, http.StatusOK)
	for _, node := range p.View().Nodes {
		want(t, "warming up: "+node.ID, node.WarmingUp, node.ID == "b")
	}
}

// BenchmarkCreateBalancer measures the creation of a balancer, for which the first request of a pool waits.
func BenchmarkCreateBalancer(b *testing.B) {
	for _, c := range []struct{ endpoints, balancers int }{{40, 1}, {2000, 1}, {2000, 1500}} {
		b.Run(fmt.Sprintf("%d of %d", c.endpoints, c.balancers), func(b *testing.B) {
			spec := suspendableSpec()
			spec.Settings.Balancers = c.balancers
			spec.ConnectionSettings = wire.ConnectionSettings{KeepAlive: time.Minute, ConnectTimeout: time.Second}
			l := newLoop(b.Context(), spec)
			if err := l.start(nil); err != nil {
				b.Fatal(err)
			}
			list := discovery.Listing{Complete: true}
			for i := range c.endpoints {
				list.Members = append(list.Members, discovery.Member{
					ID:       fmt.Sprintf("node-%05d", i),
					HostPort: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
					Locality: "z1",
					Phase:    "up",
					Size:     1,
				})
			}
			endpointsUpdated{Listing: list}.apply(l)
			for b.Loop() {
				if err := l.createBalancer(); err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				l.releaseBalancer(l.now())
				b.StartTimer()
			}
		})
	}
}

// TestClockStepsWhileDormant runs TestClockSteps with the build tag faultinject, without which the clock cannot be set.
func TestClockStepsWhileDormant(t *testing.T) {
	command := exec.CommandContext(t.Context(),
		"go", "test", "-count=1", "-v", "-tags", "faultinject", "-run", "^TestClockSteps$", ".")
	out, err := command.CombinedOutput()
	if err != nil || strings.Count(string(out), "--- PASS: TestClockSteps/") != 2 {
		t.Errorf("%v\n%s", err, out)
	}
}
