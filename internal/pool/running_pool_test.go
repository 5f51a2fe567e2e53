package pool

import (
	"context"
	"testing"
	"time"

	"olivearch/internal/endpointlist"
	"olivearch/internal/standin/scripted"
)

// suspendableSpec returns the Spec of a pool that may be parked and may release its balancer.
func suspendableSpec() Spec {
	spec := testSpec()
	spec.Discovery = ""
	spec.InitialEndpoints = nil
	spec.MaxRequests = 1000
	spec.ConnectionSettings.KeepAlive = 200 * time.Millisecond
	spec.Settings.PollDiscovery = false
	spec.Settings.SuspendWhenIdle = true
	return spec
}

// runningPool is a pool with its goroutine, and with helpers for tests.
type runningPool struct {
	*Pool
	t testing.TB
}

// startPool starts a pool that releases its balancer after balancerIdleTimeout without use. change, unless nil, is
// called before the loop runs.
func startPool(t testing.TB, spec Spec, balancerIdleTimeout time.Duration, change func(l *loop)) *runningPool {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := newLoop(ctx, spec)
	l.suspension.balancerIdleTimeout = balancerIdleTimeout
	if change != nil {
		change(l)
	}
	if err := l.start(spec.InitialEndpoints); err != nil {
		t.Fatal(err)
	}
	p := &Pool{loop: l, name: spec.Name, stop: cancel, ended: make(chan struct{})}
	p.queueLimit.Store(int64(spec.MaxRequests))
	l.mailbox.start(l.run)
	return &runningPool{p, t}
}

// startServer starts a server that responds to every request, so that its connections are kept.
func startServer(t testing.TB) *scripted.Node {
	server := scripted.Start(t, scripted.Own)
	go discardArrivals(server)
	return server
}

// discardArrivals receives what a server sends to its Arrivals channel for each request, so that the server does not
// block.
func discardArrivals(server *scripted.Node) {
	for range server.Arrivals {
	}
}

// listEntry returns the entry of an active server in an endpoint list.
func listEntry(id string, server *scripted.Node) endpointlist.Node {
	return endpointlist.Node{ID: id, Address: server.Addr, Zone: "z1", Phase: "up", Weight: 1}
}

// drainingEntry returns the entry of a draining server in an endpoint list.
func drainingEntry(id string, server *scripted.Node) endpointlist.Node {
	entry := listEntry(id, server)
	entry.Phase = "draining"
	return entry
}

// setEndpoints replaces the pool's endpoint list.
func (p *runningPool) setEndpoints(entries ...endpointlist.Node) { p.UpdateEndpoints(entries) }

func (p *runningPool) submit(name string) *Request {
	request := newRequest(name, p.Now(), 3*time.Second)
	request.Responses = make(chan Response, 2)
	p.Submit(request)
	return request
}

// request submits a request and waits for its response.
func (p *runningPool) request(name string) Response {
	p.t.Helper()
	select {
	case response := <-p.submit(name).Responses:
		return response
	case <-time.After(eventTimeout):
		p.t.Fatal("no response within eventTimeout")
		return Response{}
	}
}

// inspection is an event with a function of the test, which reads or changes the loop on its goroutine.
type inspection struct {
	inspect func(l *loop)
	done    chan struct{}
}

func (e inspection) apply(l *loop) {
	e.inspect(l)
	close(e.done)
}

// inspect runs a function on the loop's goroutine and returns once it has returned.
func (p *runningPool) inspect(function func(l *loop)) {
	e := inspection{function, make(chan struct{})}
	p.loop.enqueue(e)
	<-e.done
}

func (p *runningPool) hasBalancer() (has bool) {
	p.inspect(func(l *loop) { has = l.hasBalancer() })
	return has
}

// await waits until a condition holds, and fails the test after eventTimeout.
func (p *runningPool) await(what string, holds func() bool) {
	p.t.Helper()
	for end := time.Now().Add(eventTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("not %s within %v", what, eventTimeout)
		}
	}
}

// awaitParked waits until the loop's goroutine has ended.
func (p *runningPool) awaitParked() {
	p.t.Helper()
	p.await("parked", func() bool {
		p.loop.mailbox.mu.Lock()
		defer p.loop.mailbox.mu.Unlock()
		return !p.loop.mailbox.consuming
	})
}

// awaitReleased waits until the pool has released its balancer.
func (p *runningPool) awaitReleased() {
	p.t.Helper()
	p.await("without a balancer", func() bool { return !p.hasBalancer() })
}
