// Package pool runs a decision module: one goroutine owns it with its requests, timers, connections and list of nodes, and carries
// out what it says. It decides nothing itself.
package pool

import (
	"context"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
	"olivearch/internal/endpointlist"
	"olivearch/internal/override"
	"olivearch/internal/wire"
)

// Spec is what a pool is told. Of these Name, Seed, Known and Keep are for its start only.
type Spec struct {
	Name                 string
	Settings             balancer.Settings
	Links                wire.Links
	Seed                 uint64
	InitialEndpoints     *discovery.Listing // the list as discovery last told it, maybe stale; nil: none
	EndpointStore        EndpointStore      // hears of each list that holds; nil: nobody does
	Discovery            string             // address of a discovery service; empty: lists come by Tell
	MaxEndpointAge       time.Duration      // how long a list holds with no word from its source; 0: for ever
	Connections          int                // to all upstreams
	Queue                int                // requests at once, sent or waiting
	SharedWeight         float64            // weight on nodes that other pools list too
	OwnDrains            bool               // drains that other pools were told do not count here
	KeepUntilUnsolicited bool               // connections rest between requests only where an upstream has sent what nobody asked for
	Tunnels              TunnelLimits
	FullResponses        bool // clients get all that upstreams say, not 200 and the body only
}

// EndpointStore hears of lists, or changes to one, that a source has told. Told must not wait; Close is called when the pool ends.
type EndpointStore interface {
	Save(discovery.Listing)
	Close()
}

// TunnelLimits bound the connections that have changed their protocol.
type TunnelLimits struct {
	Total   int // of the pool
	PerNode int
}

// retired is a bit of Pool.users: the pool takes no more requests.
const retired = math.MinInt64

// Pool is a group of upstreams with a module, a goroutine and limits of its own. Its methods may be called from any
// goroutine.
type Pool struct {
	loop         *loop
	name         string
	stop         context.CancelFunc
	admitted     atomic.Int64 // requests in it; below zero: retired
	queueLimit   atomic.Int64
	queueFull    atomic.Uint64 // turned away since the queue was full
	ended        chan struct{} // closed once it is retired and no request is left
	listRevision atomic.Uint64 // revision of the list last told
}

// New starts a pool. A nil Directory is for one whose nodes no other pool of the process uses; held is what is out by hand from
// the start.
func New(ctx context.Context, spec Spec, d *EndpointRegistry, held map[string]override.Entry) (*Pool, error) {
	ctx, end := context.WithCancel(ctx)
	p := &Pool{loop: newLoop(ctx, spec), name: spec.Name, stop: end, ended: make(chan struct{})}
	p.queueLimit.Store(int64(spec.Queue))
	p.loop.registration = d.join(spec.SharedWeight, spec.OwnDrains, p.loop.enqueueUrgent)
	p.loop.overrides.Merge(held)
	if err := p.loop.start(spec.Seed, spec.InitialEndpoints); err != nil {
		p.loop.registration.remove()
		end()
		return nil, err
	}
	p.loop.mailbox.start(p.loop.run)
	return p, nil
}

// Name is the pool's, as it was told at its start.
func (p *Pool) Name() string { return p.name }

// Submit hands a request over. Exactly one answer follows, unless Left is called first. The caller has counted the request in, where
// the pool has a queue.
func (p *Pool) Submit(q *Request) {
	q.loop = p.loop
	p.loop.enqueue(requestArrived{q})
}

// Now is the time on the pool's clock: Unix time at its start, going on by the monotonic clock.
func (p *Pool) Now() time.Duration { return p.loop.now() }

// Ping returns once the pool's goroutine has had a turn, or has ended.
func (p *Pool) Ping() {
	turned := make(pingReceived)
	p.loop.enqueue(turned)
	select {
	case <-turned:
	case <-p.loop.ctx.Done():
	}
}

// pingReceived is closed when the loop comes to it: it is alive.
type pingReceived chan struct{}

func (t pingReceived) apply(*loop) { close(t) }

// Acquire counts a request in. It fails if the pool is retired or full.
func (p *Pool) Acquire() (ok, full bool) {
	n := p.admitted.Add(1)
	switch {
	case n < 0:
		p.Release()
		return false, false
	case n > p.queueLimit.Load():
		p.Release()
		p.queueFull.Add(1)
		return false, true
	}
	return true, false
}

// Release counts a request out.
func (p *Pool) Release() {
	if p.admitted.Add(-1) == retired {
		p.end()
	}
}

// end ends a pool that is retired and empty. An entry that fails at that moment comes here once more.
func (p *Pool) end() {
	p.loop.enqueue(poolEmptied{p})
}

// poolEmptied is the end of a pool. What is still out belongs to requests that have their answer.
type poolEmptied struct{ *Pool }

func (e poolEmptied) apply(l *loop) {
	select {
	case <-e.ended:
		return
	default:
		close(e.ended)
	}
	if l.discovery != nil {
		l.discovery.End()
	}
	for _, p := range l.endpoints {
		l.CloseIdle(p.id)
	}
	l.registration.remove()
	if l.endpointStore != nil {
		go l.endpointStore.Close() // a disk may be slow
	}
	e.stop()
}

// Shutdown takes no more requests, and ends the pool when those that it has are answered.
func (p *Pool) Shutdown() {
	p.loop.enqueue(shutdownRequested{})
	if p.admitted.Add(retired) == retired {
		p.end()
	}
}

// shutdownRequested lets tunnels end: the pool takes no more requests.
type shutdownRequested struct{}

func (shutdownRequested) apply(l *loop) { l.endTunnels(nil) }

// Done is closed when a retired pool has ended.
func (p *Pool) Done() <-chan struct{} { return p.ended }

// UpdateEndpoints gives the pool its list, complete.
func (p *Pool) UpdateEndpoints(nodes []endpointlist.Node) {
	x := discovery.Listing{Revision: p.listRevision.Add(1), Complete: true}
	for _, n := range nodes {
		m := discovery.Member{ID: n.ID, HostPort: n.Address, Locality: n.Zone, Cell: n.Cell, Phase: string(n.Phase), Size: n.Weight}
		if !n.Started.IsZero() {
			m.UpSinceMS = n.Started.UnixMilli()
		}
		x.Members = append(x.Members, m)
	}
	p.loop.enqueueUrgent(endpointsUpdated{Listing: x})
}

// SourceFailed tells the pool why there is no good word from its list's source. The last list holds.
func (p *Pool) SourceFailed(why error) { p.loop.enqueueUrgent(endpointsUpdated{Err: why}) }

// ConfirmEndpoints notes that the list's source was asked, and says that the list stays as it was. It wakes nobody.
func (p *Pool) ConfirmEndpoints() { p.loop.listConfirmedAt.Store(int64(p.loop.now())) }

// Configure changes the pool while it serves. What its module has learnt stays. An error changes nothing.
func (p *Pool) Configure(spec Spec) error {
	done := make(chan error, 1)
	p.loop.enqueue(specReceived{spec, done})
	err, ended := awaitReply(p.loop, done)
	if ended != nil {
		return errors.New("pool " + p.name + " has ended")
	}
	if err == nil {
		p.queueLimit.Store(int64(spec.Queue))
	}
	return err
}
