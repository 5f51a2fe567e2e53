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
	"olivearch/internal/upstream"
	"olivearch/internal/wire"
)

// suspendableSpec is a pool that is parked and given back.
func suspendableSpec() Spec {
	s := testSpec()
	s.Discovery, s.InitialEndpoints = "", nil
	s.Settings.PollDiscovery, s.Settings.SuspendWhenIdle, s.Queue = false, true, 1000
	s.Links.KeepAlive = 200 * time.Millisecond
	return s
}

// runningPool is a pool that runs, with hooks for a test.
type runningPool struct {
	*Pool
	t testing.TB
}

// startPool starts one that is given back after so long. change is called before it runs.
func startPool(t testing.TB, spec Spec, madeFor time.Duration, change func(l *loop)) *runningPool {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := newLoop(ctx, spec)
	l.suspension.balancerIdleTimeout = madeFor
	if change != nil {
		change(l)
	}
	if err := l.start(spec.InitialEndpoints); err != nil {
		t.Fatal(err)
	}
	p := &Pool{loop: l, name: spec.Name, stop: cancel, ended: make(chan struct{})}
	p.queueLimit.Store(int64(spec.Queue))
	l.mailbox.start(l.run)
	return &runningPool{p, t}
}

// startServer is a node that answers everything.
func startServer(t testing.TB) *scripted.Node {
	s := scripted.Start(t, scripted.Done)
	go func() {
		for range s.Arrivals {
		}
	}()
	return s
}

func listEntry(id string, s *scripted.Node) endpointlist.Node {
	return endpointlist.Node{ID: id, Address: s.Addr, Zone: "z1", Phase: "up", Weight: 1}
}

// submit asks a request.
func (p *runningPool) submit(name string) *Request {
	r := &Request{Name: name, At: p.Now(), Reply: make(chan Response, 2)}
	r.Class, r.Budget = "checkin", 3*time.Second
	r.Message = upstream.Message{Line: "POST /checkin", Host: "x"}
	p.Submit(r)
	return r
}

func (p *runningPool) request(name string) Response {
	p.t.Helper()
	select {
	case a := <-p.submit(name).Reply:
		return a
	case <-time.After(10 * time.Second):
		p.t.Fatal("no answer")
		return Response{}
	}
}

// inspection runs f on the loop's goroutine.
type inspection struct {
	inspect func(l *loop)
	done    chan struct{}
}

func (e inspection) apply(l *loop) { e.inspect(l); close(e.done) }

func (p *runningPool) inspect(f func(l *loop)) {
	e := inspection{f, make(chan struct{})}
	p.loop.enqueue(e)
	<-e.done
}

func (p *runningPool) hasBalancer() (made bool) {
	p.inspect(func(l *loop) { made = l.hasBalancer() })
	return made
}

// awaitParked waits until the goroutine has ended.
func (p *runningPool) awaitParked() {
	p.t.Helper()
	p.await("parked", func() bool {
		p.loop.mailbox.mu.Lock()
		defer p.loop.mailbox.mu.Unlock()
		return !p.loop.mailbox.consuming
	})
}

func (p *runningPool) await(what string, ok func() bool) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("not %s within 10 s", what)
		}
	}
}

// A pool is made by its first request, parks, closes its connections in time and is given back; it keeps its list, its
// counters and what it learnt over that, and has no goroutine meanwhile.
func TestBalancerCreatedParkedReleased(t *testing.T) {
	s := startServer(t)
	p := startPool(t, suspendableSpec(), 50*time.Millisecond, nil)
	p.UpdateEndpoints([]endpointlist.Node{listEntry("a", s), listEntry("b", s)})
	p.awaitParked()
	want(t, "made before a request", p.hasBalancer(), false)
	v := p.View()
	want(t, "nodes in view", len(v.Nodes), 2)
	want(t, "phase", v.Nodes[0].Phase, "up")
	before := runtime.NumGoroutine()
	for i := range 3 {
		want(t, "status", p.request(fmt.Sprint(i)).Status, http.StatusOK)
		want(t, "made", p.hasBalancer(), true)
		p.await("given back", func() bool { return !p.hasBalancer() })
		p.awaitParked()
		want(t, "connections", p.View().Connections, 0)
	}
	want(t, "served", p.View().Served, uint64(3))
	want(t, "learnt of upstreams", len(p.Snapshot().Upstreams) > 0, true)
	p.awaitParked()
	p.await("without goroutines", func() bool { return runtime.NumGoroutine() <= before })
}

// What comes while the goroutine is about to end is not lost, and there is never a second one.
func TestWokenWhileParking(t *testing.T) {
	s := startServer(t)
	at, let := make(chan struct{}), make(chan struct{})
	var once sync.Once
	p := startPool(t, suspendableSpec(), time.Minute, func(l *loop) {
		l.suspension.beforePark = func() { once.Do(func() { close(at); <-let }) }
	})
	<-at // it has looked a last time, and its mailbox was empty
	p.UpdateEndpoints([]endpointlist.Node{listEntry("a", s)})
	r := p.submit("1")
	close(let)
	select {
	case a := <-r.Reply:
		want(t, "status", a.Status, http.StatusOK)
	case <-time.After(5 * time.Second):
		t.Fatal("the request is lost")
	}
}

// Events from many goroutines, with the loop parking in between: under the race detector two goroutines of one loop
// would be seen.
func TestOneGoroutineAtATime(t *testing.T) {
	s := startServer(t)
	p := startPool(t, suspendableSpec(), time.Millisecond, func(l *loop) { l.suspension.beforePark = runtime.Gosched })
	p.UpdateEndpoints([]endpointlist.Node{listEntry("a", s)})
	var g sync.WaitGroup
	for w := range 8 {
		g.Go(func() {
			for i := range 50 {
				switch (w + i) % 4 {
				case 0:
					if a := p.request(fmt.Sprint(w, "-", i)); a.Status != http.StatusOK {
						t.Errorf("status %d", a.Status)
					}
				case 1:
					p.View()
				case 2:
					p.UpdateEndpoints([]endpointlist.Node{listEntry("a", s)})
				default:
					p.Ping()
				}
			}
		})
	}
	g.Wait()
}

// A drain told while the pool rests holds for its first request, whichever way it came.
func TestDrainWhileDormant(t *testing.T) {
	a, b := startServer(t), startServer(t)
	drained := listEntry("a", a)
	drained.Phase = "draining"
	for what, drain := range map[string]func(p *runningPool){
		"list":    func(p *runningPool) { p.UpdateEndpoints([]endpointlist.Node{drained, listEntry("b", b)}) },
		"by hand": func(p *runningPool) { want(t, "out by hand", p.SetOutOfService("a", true), nil) },
		"ledger":  func(p *runningPool) { p.ApplyOverrides(override.Shared{Out: map[string]bool{"a": true}}) },
		"merged":  func(p *runningPool) { p.MergeOverrides(map[string]override.Entry{"a": {Out: true, At: 1}}) },
		"delta": func(p *runningPool) {
			p.loop.enqueueUrgent(endpointsUpdated{Listing: discovery.Listing{Revision: 9, Members: []discovery.Member{{ID: "a", HostPort: a.Addr, Phase: "draining", Size: 1}}}})
		},
		"gone": func(p *runningPool) {
			p.loop.enqueueUrgent(endpointsUpdated{Listing: discovery.Listing{Revision: 9, Members: []discovery.Member{{ID: "a", Phase: "removed"}}}})
		},
	} {
		for _, after := range []time.Duration{0, 900 * time.Millisecond, 1100 * time.Millisecond} {
			t.Run(fmt.Sprint(what, after), func(t *testing.T) {
				t.Parallel()
				p := startPool(t, suspendableSpec(), time.Minute, nil)
				p.UpdateEndpoints([]endpointlist.Node{listEntry("a", a), listEntry("b", b)})
				p.awaitParked()
				drain(p)
				p.awaitParked()
				want(t, "made", p.hasBalancer(), false)
				for _, n := range p.View().Nodes {
					want(t, "phase of "+n.ID, n.Phase, map[string]string{"a": "draining", "b": "up"}[n.ID])
				}
				time.Sleep(after)
				for i := range 6 {
					want(t, "status", p.request(fmt.Sprint(i)).Status, http.StatusOK)
				}
			})
		}
	}
	t.Cleanup(func() { want(t, "sent to the drained one", a.Opened(), 0) })
}

// A drain that another pool was told of holds for one that is not made, and its own drain for others.
func TestDrainOfOthersWhileDormant(t *testing.T) {
	a, b := startServer(t), startServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d := NewEndpointRegistry(ctx, 10)
	start := func(name string) *runningPool {
		spec := suspendableSpec()
		spec.Name, spec.SharedWeight = name, 1
		p, err := New(ctx, spec, d, nil)
		if err != nil {
			t.Fatal(err)
		}
		return &runningPool{p, t}
	}
	x, y := start("x"), start("y")
	for _, p := range []*runningPool{x, y} {
		p.UpdateEndpoints([]endpointlist.Node{listEntry("a", a), listEntry("b", b)})
	}
	drained := listEntry("a", a)
	drained.Phase = "draining"
	x.UpdateEndpoints([]endpointlist.Node{drained, listEntry("b", b)})
	y.await("told", func() bool {
		v := y.View().Nodes
		return len(v) == 2 && v[0].Phase == "draining" && v[1].Phase == "up"
	})
	want(t, "made", x.hasBalancer() || y.hasBalancer(), false)
	for i := range 4 {
		want(t, "status", y.request(fmt.Sprint(i)).Status, http.StatusOK)
	}
	want(t, "sent to the drained one", a.Opened(), 0)
}

// The first request to 300 resting pools at once: all are served, each in a bounded time.
func TestManyFirstRequests(t *testing.T) {
	s := startServer(t)
	var pools []*runningPool
	for range 300 {
		p := startPool(t, suspendableSpec(), time.Minute, nil)
		p.UpdateEndpoints([]endpointlist.Node{listEntry("a", s), listEntry("b", s), listEntry("c", s)})
		pools = append(pools, p)
	}
	for _, p := range pools {
		p.awaitParked()
	}
	var g sync.WaitGroup
	for _, p := range pools {
		g.Go(func() {
			begun := time.Now()
			if a := p.request("1"); a.Status != http.StatusOK {
				t.Errorf("status %d", a.Status)
			}
			if took := time.Since(begun); took > time.Second {
				t.Errorf("answered after %v", took)
			}
		})
	}
	g.Wait()
}

// A parked pool closes an idle connection in its time with no event to wake it.
func TestParkedClosesConnections(t *testing.T) {
	closed := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		scripted.Done(c, r)
		io.Copy(io.Discard, c) // until it is closed
		close(closed)
		return false
	})
	p := startPool(t, suspendableSpec(), time.Minute, nil)
	p.UpdateEndpoints([]endpointlist.Node{listEntry("a", s)})
	want(t, "status", p.request("1").Status, http.StatusOK)
	p.awaitParked()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection stays open")
	}
}

// A pool is not given back while something is open, or must not be forgotten.
func TestBalancerNotReleasedWhile(t *testing.T) {
	release := make(chan struct{})
	slow := scripted.Start(t, func(c net.Conn, r *http.Request) bool { <-release; return scripted.Done(c, r) })
	fast := startServer(t)
	const madeFor, short = 10 * time.Millisecond, 2 * time.Second // longer than to the next sweep
	stays := func(t *testing.T, p *runningPool, made bool) {
		t.Helper()
		if made {
			for range 5 {
				time.Sleep(60 * time.Millisecond)
				if !p.hasBalancer() {
					t.Fatal("given back")
				}
			}
		}
		p.await("given back", func() bool { return !p.hasBalancer() })
	}
	t.Run("request", func(t *testing.T) {
		p := startPool(t, suspendableSpec(), madeFor, nil)
		p.UpdateEndpoints([]endpointlist.Node{listEntry("a", slow)})
		r := p.submit("1")
		<-slow.Arrivals
		time.Sleep(300 * time.Millisecond)
		want(t, "made", p.hasBalancer(), true)
		close(release)
		want(t, "status", (<-r.Reply).Status, http.StatusOK)
		stays(t, p, false)
	})
	t.Run("retry window", func(t *testing.T) {
		t.Parallel()
		spec := suspendableSpec()
		spec.Settings.Classes[1].Idempotency, spec.Settings.Classes[1].DeduplicationWindow = balancer.IdempotentWithKey, short
		p := startPool(t, spec, madeFor, nil)
		p.UpdateEndpoints([]endpointlist.Node{listEntry("a", fast)})
		want(t, "status", p.request("1").Status, http.StatusOK)
		ended := time.Now()
		stays(t, p, true)
		if kept := time.Since(ended); kept < short-50*time.Millisecond {
			t.Errorf("given back after %v", kept)
		}
	})
	t.Run("cold ramp", func(t *testing.T) {
		t.Parallel()
		spec := suspendableSpec()
		spec.Settings.Rules.SlowStartDuration = short
		p := startPool(t, spec, madeFor, nil)
		fresh := listEntry("a", fast)
		p.UpdateEndpoints([]endpointlist.Node{listEntry("b", fast)})
		want(t, "status", p.request("1").Status, http.StatusOK)
		fresh.Started = time.Now()
		p.UpdateEndpoints([]endpointlist.Node{listEntry("b", fast), fresh})
		begun := time.Now()
		stays(t, p, true)
		if kept := time.Since(begun); kept < short-50*time.Millisecond {
			t.Errorf("given back after %v", kept)
		}
	})
	t.Run("tenant", func(t *testing.T) {
		t.Parallel()
		spec := suspendableSpec()
		spec.Settings.Tenants = balancer.NewTenants([]balancer.Tenant{{Name: "t", Quota: 0.5}})
		p := startPool(t, spec, madeFor, nil)
		p.UpdateEndpoints([]endpointlist.Node{listEntry("a", fast)})
		r := &Request{Name: "1", At: p.Now(), Reply: make(chan Response, 2)}
		r.Class, r.Budget, r.Tenant = "checkin", time.Second, "t"
		r.Message = upstream.Message{Line: "POST /checkin", Host: "x"}
		p.Submit(r)
		want(t, "status", (<-r.Reply).Status, http.StatusOK)
		ended := time.Now()
		stays(t, p, true)
		if kept := time.Since(ended); kept < short-50*time.Millisecond {
			t.Errorf("given back after %v", kept)
		}
	})
	t.Run("tunnel", func(t *testing.T) {
		t.Parallel()
		s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
			io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n")
			io.Copy(c, c)
			return false
		})
		spec := suspendableSpec()
		spec.Tunnels = TunnelLimits{Total: 1, PerNode: 1}
		spec.Links.KeepAlive = 2 * madeFor // it is no resting connection: it holds the pool by itself
		p := startPool(t, spec, madeFor, nil)
		p.UpdateEndpoints([]endpointlist.Node{listEntry("a", s)})
		r := &Request{Name: "1", At: p.Now(), Reply: make(chan Response, 2)}
		r.Class, r.Budget = "checkin", time.Second
		r.Message = upstream.Message{Line: "GET /", Host: "x", Upgrade: "echo", Tunnel: &body.TunnelLimits{Idle: time.Minute, Grace: time.Minute}}
		p.Submit(r)
		a := <-r.Reply
		if a.Status != http.StatusSwitchingProtocols || a.Tunnel == nil {
			t.Fatalf("got %d", a.Status)
		}
		for range 5 { // over many times madeFor, and some sweeps
			time.Sleep(300 * time.Millisecond)
			want(t, "made", p.hasBalancer(), true)
			want(t, "tunnels", p.View().Tunnels, 1)
		}
		a.Tunnel.Close()
		stays(t, p, false)
	})
	t.Run("connection", func(t *testing.T) {
		t.Parallel()
		spec := suspendableSpec()
		spec.Links.KeepAlive = 1200 * time.Millisecond
		p := startPool(t, spec, madeFor, nil)
		p.UpdateEndpoints([]endpointlist.Node{listEntry("a", fast)})
		want(t, "status", p.request("1").Status, http.StatusOK)
		want(t, "connections", p.View().Connections, 1)
		stays(t, p, true)
	})
}

// A pool of many nodes is made when its list is told, so that no first request waits for it; it parks, and stays made
// as long as its list is long.
func TestLargePoolGetsBalancerWithList(t *testing.T) {
	s := startServer(t)
	p := startPool(t, suspendableSpec(), 10*time.Millisecond, nil)
	list := make([]endpointlist.Node, defaultMaxLazyEndpoints+1)
	for i := range list {
		list[i] = listEntry(fmt.Sprintf("n%d", i), s)
	}
	p.UpdateEndpoints(list[:defaultMaxLazyEndpoints])
	p.awaitParked()
	want(t, "made with few", p.hasBalancer(), false)
	p.UpdateEndpoints(list)
	p.awaitParked()
	want(t, "made with many", p.hasBalancer(), true)
	list[0].Phase = "draining"
	p.UpdateEndpoints(list)
	want(t, "status", p.request("1").Status, http.StatusOK)
	want(t, "state of the first", p.View().Nodes[0].Phase, "draining")
	began := time.Now()
	small := startPool(t, suspendableSpec(), 10*time.Millisecond, nil)
	small.UpdateEndpoints(list[:defaultMaxLazyEndpoints])
	want(t, "status", small.request("1").Status, http.StatusOK)
	small.await("given back", func() bool { return !small.hasBalancer() })
	time.Sleep(time.Since(began)) // as long again
	want(t, "connections", p.View().Connections, 0)
	want(t, "made when a smaller one is not", p.hasBalancer(), true)
	p.UpdateEndpoints(list[:2])
	p.await("given back", func() bool { return !p.hasBalancer() })
	want(t, "nodes", len(p.View().Nodes), 2)
}

// An unmade pool ends, takes another configuration, and outlives nothing that ends it.
func TestEndsWhileDormant(t *testing.T) {
	s := startServer(t)
	kept := &recordingStore{closed: make(chan struct{})}
	spec := suspendableSpec()
	spec.EndpointStore = kept
	p := startPool(t, spec, time.Minute, func(l *loop) { l.registration = NewEndpointRegistry(t.Context(), 10).join(1, false, l.enqueueUrgent) })
	p.UpdateEndpoints([]endpointlist.Node{listEntry("a", s)})
	p.awaitParked()
	want(t, "lists kept", kept.count(), 1)
	wrong := spec
	wrong.Settings.Classes = nil
	if err := p.Configure(wrong); err == nil || !strings.Contains(err.Error(), "Classes") {
		t.Errorf("wrong settings: %v", err)
	}
	next := spec
	next.Connections = 7
	want(t, "configure", p.Configure(next), nil)
	want(t, "made", p.hasBalancer(), false)
	want(t, "limit", p.View().Limit, 7)
	p.awaitParked()
	p.Shutdown()
	<-p.Done()
	<-kept.closed
	want(t, "enter", func() bool { ok, _ := p.Acquire(); return ok }(), false)

	q := startPool(t, suspendableSpec(), time.Minute, nil)
	q.UpdateEndpoints([]endpointlist.Node{listEntry("a", s)})
	q.awaitParked()
	q.stop() // its context
	want(t, "nodes in view", len(q.View().Nodes), 0)
	want(t, "held", len(q.LocalOverrides()), 0)
}

type recordingStore struct {
	mu     sync.Mutex
	saved  int
	closed chan struct{}
}

func (k *recordingStore) Save(discovery.Listing) { k.mu.Lock(); k.saved++; k.mu.Unlock() }
func (k *recordingStore) Close()                 { close(k.closed) }
func (k *recordingStore) count() int             { k.mu.Lock(); defer k.mu.Unlock(); return k.saved }

// A restart that a list tells while the pool is unmade makes the upstream cold in the module that its first request
// makes.
func TestSlowStartWhenCreated(t *testing.T) {
	s := startServer(t)
	p := startPool(t, suspendableSpec(), time.Minute, nil)
	fresh := listEntry("b", s)
	fresh.Started = time.Now()
	p.UpdateEndpoints([]endpointlist.Node{listEntry("a", s), fresh})
	want(t, "status", p.request("1").Status, http.StatusOK)
	for _, n := range p.View().Nodes {
		want(t, "cold: "+n.ID, n.Cold, n.ID == "b")
	}
}

// BenchmarkCreateBalancer is what the first request of a pool pays.
func BenchmarkCreateBalancer(b *testing.B) {
	for _, c := range []struct{ nodes, balancers int }{{40, 1}, {2000, 1}, {2000, 1500}} {
		b.Run(fmt.Sprintf("%d of %d", c.nodes, c.balancers), func(b *testing.B) {
			spec := suspendableSpec()
			spec.Settings.Balancers = c.balancers
			spec.Links = wire.Links{KeepAlive: time.Minute, ConnectTimeout: time.Second}
			l := newLoop(b.Context(), spec)
			if err := l.start(nil); err != nil {
				b.Fatal(err)
			}
			x := discovery.Listing{Complete: true}
			for i := range c.nodes {
				x.Members = append(x.Members, discovery.Member{ID: fmt.Sprintf("node-%05d", i), HostPort: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Locality: "z1", Phase: "up", Size: 1})
			}
			endpointsUpdated{Listing: x}.apply(l)
			for b.Loop() {
				if err := l.createBalancer(); err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				l.dropBalancer(l.now())
				b.StartTimer()
			}
		})
	}
}

// Clocks can be set in a build for the proving ground alone, so the test itself is in one.
func TestClockStepsWhileDormant(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "go", "test", "-count=1", "-v", "-tags", "faultinject", "-run", "^TestClockSteps$", ".").CombinedOutput()
	if err != nil || strings.Count(string(out), "--- PASS: TestClockSteps/") != 2 {
		t.Errorf("%v\n%s", err, out)
	}
}
