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

// retiredBit, added to Pool.admitted, marks a pool that admits no more requests.
const retiredBit = math.MinInt64

// Pool forwards requests to a group of endpoints. It has its own balancer, event loop and limits. Its methods may be
// called from any goroutine.
type Pool struct {
	loop         *loop
	name         string
	stop         context.CancelFunc // of the loop
	admitted     atomic.Int64       // number of requests in the pool; plus retiredBit once it is retired
	queueLimit   atomic.Int64       // Spec.MaxRequests
	queueFull    atomic.Uint64      // number of requests that were not admitted because the queue was full
	ended        chan struct{}      // closed once the pool is retired and no request is left
	listRevision atomic.Uint64      // of the last list passed to UpdateEndpoints
}

// New starts a pool. registry is nil if no other pool of the process uses the same endpoints. overrides are the local
// overrides that are already in effect. New fails if the settings are not valid.
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

// Name returns the Spec.Name with which the pool was created.
func (p *Pool) Name() string { return p.name }

// Submit passes a request to the pool. Exactly one final response follows on Request.Responses, unless
// Request.ClientLeft is called first. If the pool limits its requests, the caller must have called Acquire.
func (p *Pool) Submit(request *Request) {
	request.loop = p.loop
	p.loop.enqueue(requestArrived{request})
}

// Now returns the time on the pool's clock: Unix time at its start, advanced by the monotonic clock.
func (p *Pool) Now() time.Duration { return p.loop.now() }

// Ping returns once the event loop has handled the ping, or the pool has ended.
func (p *Pool) Ping() {
	handled := make(pingReceived)
	p.loop.enqueue(handled)
	select {
	case <-handled:
	case <-p.loop.ctx.Done():
	}
}

// pingReceived is a call of Ping. The loop closes the channel.
type pingReceived chan struct{}

func (e pingReceived) apply(*loop) { close(e) }

// Acquire admits a request to the pool. It fails if the pool is retired or its queue is full; full tells the two apart.
// After a success the caller must call Release.
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

// Release ends the admission of a request. The caller calls it once the request is over.
func (p *Pool) Release() {
	if p.admitted.Add(-1) == retiredBit {
		p.end()
	}
}

// end stops a retired pool without requests. It may be called a second time, by an Acquire that fails meanwhile.
func (p *Pool) end() { p.loop.enqueue(poolEmptied{p}) }

// poolEmptied is the event that a retired pool has no more requests. It stops the pool. Attempts that are still in
// flight belong to requests that have their response.
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

// Shutdown retires the pool: it admits no more requests, and ends once all its requests have been released.
func (p *Pool) Shutdown() {
	p.loop.enqueue(shutdownRequested{})
	if p.admitted.Add(retiredBit) == retiredBit {
		p.end()
	}
}

// shutdownRequested is a call of Shutdown. It closes all tunnels gracefully.
type shutdownRequested struct{}

func (shutdownRequested) apply(l *loop) { l.endTunnels(nil) }

// Done returns a channel that is closed when a retired pool has ended.
func (p *Pool) Done() <-chan struct{} { return p.ended }

// UpdateEndpoints replaces the endpoint list by a complete new one.
func (p *Pool) UpdateEndpoints(nodes []endpointlist.Node) {
	list := discovery.Listing{Revision: p.listRevision.Add(1), Complete: true}
	for _, node := range nodes {
		list.Members = append(list.Members, memberFromNode(node))
	}
	p.loop.enqueueUrgent(endpointsUpdated{Listing: list})
}

// memberFromNode converts an endpoint of a list file to the form that discovery uses.
func memberFromNode(node endpointlist.Node) discovery.Member {
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

// ListSourceFailed records an error of the endpoint list's source. The last list stays in use.
func (p *Pool) ListSourceFailed(err error) { p.loop.enqueueUrgent(endpointsUpdated{Err: err}) }

// ConfirmEndpoints records that the source has confirmed the endpoint list as unchanged. It does not wake the event
// loop.
func (p *Pool) ConfirmEndpoints() { p.loop.source.confirmedAt.Store(int64(p.loop.now())) }

// Configure applies a new Spec to the running pool, and returns once it is in effect. What the balancer has learnt is
// kept. If Configure fails, because the settings are not valid or the pool has ended, nothing has changed.
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
