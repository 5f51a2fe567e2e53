package pool

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"olivearch/internal/discovery"
	"olivearch/internal/endpointlist"
	"olivearch/internal/override"
)

// retired is a bit of Pool.admitted: the pool admits no more requests.
const retired = math.MinInt64

// Pool forwards requests to a group of endpoints. It has a balancer, a goroutine and limits of its own. Its methods may
// be called from any goroutine.
type Pool struct {
	loop         *loop
	name         string
	stop         context.CancelFunc // of the loop
	admitted     atomic.Int64       // requests in the pool; below zero: it is retired
	queueLimit   atomic.Int64       // Spec.Queue
	queueFull    atomic.Uint64      // requests that were not admitted since the queue was full
	ended        chan struct{}      // closed once the pool is retired and no request is left
	listRevision atomic.Uint64      // of the list last given to UpdateEndpoints
}

// New starts a pool. registry is nil where no other pool of the process uses the same endpoints; overrides are those
// that operators have set already. An error says that the settings are not valid.
func New(
	ctx context.Context, spec Spec, registry *EndpointRegistry, overrides map[string]override.Entry,
) (*Pool, error) {
	ctx, stop := context.WithCancel(ctx)
	p := &Pool{loop: newLoop(ctx, spec), name: spec.Name, stop: stop, ended: make(chan struct{})}
	p.queueLimit.Store(int64(spec.MaxRequests))
	p.loop.registration = registry.join(spec.SharedWeight, spec.IgnoreDrainsOfOthers, p.loop.enqueueUrgent)
	p.loop.overrides.Merge(overrides)
	if err := p.loop.start(spec.InitialEndpoints); err != nil {
		p.loop.registration.remove()
		stop()
		return nil, err
	}
	p.loop.mailbox.start(p.loop.run)
	return p, nil
}

// Name is the pool's, as its Spec had it at the start.
func (p *Pool) Name() string { return p.name }

// Submit hands a request over to the pool. Exactly one final response follows on its Reply channel, unless its
// ClientLeft is called first. Where the pool has a queue the caller has called Acquire for the request.
func (p *Pool) Submit(request *Request) {
	request.loop = p.loop
	p.loop.enqueue(requestArrived{request})
}

// Now is the time on the pool's clock: Unix time at its start, going on by the monotonic clock.
func (p *Pool) Now() time.Duration { return p.loop.now() }

// Ping returns once the pool's goroutine has handled an event, or the pool has ended.
func (p *Pool) Ping() {
	handled := make(pingReceived)
	p.loop.enqueue(handled)
	select {
	case <-handled:
	case <-p.loop.ctx.Done():
	}
}

// pingReceived is closed when the loop handles it.
type pingReceived chan struct{}

func (e pingReceived) apply(*loop) { close(e) }

// Acquire counts a request in. It fails if the pool is retired or its queue is full; full reports the latter.
func (p *Pool) Acquire() (ok, full bool) {
	admitted := p.admitted.Add(1)
	switch {
	case admitted < 0:
		p.Release()
		return false, false
	case admitted > p.queueLimit.Load():
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

// end ends a pool that is retired and empty. An Acquire that fails at that moment calls it once more.
func (p *Pool) end() { p.loop.enqueue(poolEmptied{p}) }

// poolEmptied ends the pool. Attempts that are still in flight belong to requests that have their response.
type poolEmptied struct{ pool *Pool }

func (e poolEmptied) apply(l *loop) {
	select {
	case <-e.pool.ended:
		return
	default:
		close(e.pool.ended)
	}
	l.close()
	e.pool.stop()
}

// Shutdown retires the pool: it admits no more requests, and ends when those that it has are answered.
func (p *Pool) Shutdown() {
	p.loop.enqueue(shutdownRequested{})
	if p.admitted.Add(retired) == retired {
		p.end()
	}
}

// shutdownRequested lets all tunnels end within their grace.
type shutdownRequested struct{}

func (shutdownRequested) apply(l *loop) { l.endTunnels(nil) }

// Done is closed when a retired pool has ended.
func (p *Pool) Done() <-chan struct{} { return p.ended }

// UpdateEndpoints gives the pool its complete list.
func (p *Pool) UpdateEndpoints(nodes []endpointlist.Node) {
	list := discovery.Listing{Revision: p.listRevision.Add(1), Complete: true}
	for _, node := range nodes {
		list.Members = append(list.Members, memberOf(node))
	}
	p.loop.enqueueUrgent(endpointsUpdated{Listing: list})
}

// memberOf is a node of a list from a file in the form of discovery's lists.
func memberOf(node endpointlist.Node) discovery.Member {
	member := discovery.Member{
		ID:       node.ID,
		HostPort: node.Address,
		Locality: node.Zone,
		Cell:     node.Cell,
		Phase:    string(node.Phase),
		Size:     node.Weight,
	}
	if !node.Started.IsZero() {
		member.UpSinceMS = node.Started.UnixMilli()
	}
	return member
}

// ListSourceFailed notes why the list's source has given no good answer. The last list stays in use.
func (p *Pool) ListSourceFailed(why error) { p.loop.enqueueUrgent(endpointsUpdated{Err: why}) }

// ConfirmEndpoints notes that the list's source says that the list has not changed. It does not wake the pool's
// goroutine.
func (p *Pool) ConfirmEndpoints() { p.loop.source.confirmedAt.Store(int64(p.loop.now())) }

// Configure changes the pool while it serves, and returns once the change holds. What the balancer has learnt stays.
// After an error, of settings that are not valid or a pool that has ended, nothing has changed.
func (p *Pool) Configure(spec Spec) error {
	done := make(chan error, 1)
	p.loop.enqueue(specChanged{spec, done})
	err, ended := awaitReply(p.loop, done)
	if ended != nil {
		return fmt.Errorf("pool %s has ended", p.name)
	}
	if err == nil {
		p.queueLimit.Store(int64(spec.MaxRequests))
	}
	return err
}
