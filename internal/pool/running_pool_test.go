package pool

import (
	"context"
	"testing"
	"time"

	"olivearch/internal/endpointlist"
	"olivearch/internal/standin/scripted"
)

// suspendableSpec is a pool that is parked and whose balancer is released.
func suspendableSpec() Spec {
	spec := testSpec()
	spec.Discovery = ""
	spec.InitialEndpoints = nil
	spec.MaxRequests = 1000
	spec.Links.KeepAlive = 200 * time.Millisecond
	spec.Settings.PollDiscovery = false
	spec.Settings.SuspendWhenIdle = true
	return spec
}

// runningPool is a pool with its goroutine, and what a test asks of it.
type runningPool struct {
	*Pool
	t testing.TB
}

// startPool starts a pool whose balancer is released after being unused for a time. change, unless it is nil, is called
// before the pool runs.
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

// startServer is a server that answers everything.
func startServer(t testing.TB) *scripted.Node {
	server := scripted.Start(t, scripted.Done)
	go drainArrivals(server)
	return server
}

// drainArrivals takes what a server notes of each request, so that it goes on.
func drainArrivals(server *scripted.Node) {
	for range server.Arrivals {
	}
}

// listEntry is a server as a list has it.
func listEntry(id string, server *scripted.Node) endpointlist.Node {
	return endpointlist.Node{ID: id, Address: server.Addr, Zone: "z1", Phase: "up", Weight: 1}
}

// drainingEntry is a server as a list has it that drains.
func drainingEntry(id string, server *scripted.Node) endpointlist.Node {
	entry := listEntry(id, server)
	entry.Phase = "draining"
	return entry
}

// setEndpoints gives the pool a complete list.
func (p *runningPool) setEndpoints(entries ...endpointlist.Node) { p.UpdateEndpoints(entries) }

// submit submits a request.
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
	case <-time.After(eventPatience):
		p.t.Fatal("no response")
		return Response{}
	}
}

// inspection is a test's look at a loop, or change to it, on the loop's goroutine.
type inspection struct {
	inspect func(l *loop)
	done    chan struct{}
}

func (e inspection) apply(l *loop) {
	e.inspect(l)
	close(e.done)
}

// inspect runs a function on the loop's goroutine, and returns once it has run.
func (p *runningPool) inspect(function func(l *loop)) {
	e := inspection{function, make(chan struct{})}
	p.loop.enqueue(e)
	<-e.done
}

func (p *runningPool) hasBalancer() (has bool) {
	p.inspect(func(l *loop) { has = l.hasBalancer() })
	return has
}

// await waits until a condition holds.
func (p *runningPool) await(what string, holds func() bool) {
	p.t.Helper()
	for end := time.Now().Add(eventPatience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("not %s within %v", what, eventPatience)
		}
	}
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

// awaitReleased waits until the balancer has been released.
func (p *runningPool) awaitReleased() {
	p.t.Helper()
	p.await("without a balancer", func() bool { return !p.hasBalancer() })
}
