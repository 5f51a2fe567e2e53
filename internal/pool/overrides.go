package pool

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"olivearch/balancer"
	"olivearch/internal/override"
)

// This file is about what the staff say of a pool's upstreams, and what a pool hands to one in another process.

var errLoopStopped = errors.New("stopping")

// awaitReply waits for what the loop answers to an event that has been handed to it.
func awaitReply[T any](l *loop, got <-chan T) (x T, err error) {
	select {
	case x = <-got:
		return x, nil
	case <-l.ctx.Done():
		return x, errLoopStopped
	}
}

// SetOutOfService takes an upstream out by hand, or puts it back as one that has just been started. Once it has returned nil, nothing new
// goes to one that is out.
func (p *Pool) SetOutOfService(id string, out bool) error {
	done := make(chan error, 1)
	p.loop.enqueueUrgent(outOfServiceRequested{id, out, done})
	err, ended := awaitReply(p.loop, done)
	return cmp.Or(ended, err)
}

// LocalOverrides is what is out by hand.
func (p *Pool) LocalOverrides() map[string]override.Entry {
	got := make(chan map[string]override.Entry, 1)
	p.loop.enqueueUrgent(overridesRequested(got))
	held, _ := awaitReply(p.loop, got) // of a pool that has ended there is nothing to tell
	return held
}

// MergeOverrides takes what is out by hand as another process holds it.
func (p *Pool) MergeOverrides(held map[string]override.Entry) {
	done := make(chan struct{}, 1)
	p.loop.enqueueUrgent(overridesReceived{held, done})
	awaitReply(p.loop, done)
}

// Snapshot is what the module has learnt.
func (p *Pool) Snapshot() balancer.Snapshot {
	got := make(chan balancer.Snapshot, 1)
	p.loop.enqueueUrgent(snapshotRequested(got))
	m, _ := awaitReply(p.loop, got)
	return m
}

// Restore lets the module go on from what another has learnt.
func (p *Pool) Restore(m balancer.Snapshot) {
	done := make(chan struct{}, 1)
	p.loop.enqueueUrgent(snapshotReceived{m, done})
	awaitReply(p.loop, done)
}

// EndpointsKnown tells whether a list has been heard, or its source has been silent for so long that the list of the start has to do.
func (p *Pool) EndpointsKnown(patience time.Duration) bool {
	return p.loop.listReceived.Load() || time.Since(p.loop.origin) >= patience
}

// snapshotRequested asks for what the module has learnt.
type snapshotRequested chan<- balancer.Snapshot

func (e snapshotRequested) apply(l *loop) { e <- l.snapshot(l.now()) }

// snapshotReceived is what another module has learnt.
type snapshotReceived struct {
	balancer.Snapshot
	done chan<- struct{}
}

func (e snapshotReceived) apply(l *loop) {
	if err := l.createBalancer(); err == nil { // else its settings are wrong, which their check rules out
		l.balancer.Restore(l.now(), e.Snapshot)
	}
	l.reportPendingOutcomes()
	e.done <- struct{}{}
}

// overridesRequested asks for what is out by hand.
type overridesRequested chan<- map[string]override.Entry

func (e overridesRequested) apply(l *loop) { e <- l.overrides.Entries() }

// overridesReceived is what is out by hand as the other process holds it.
type overridesReceived struct {
	entries map[string]override.Entry
	done    chan<- struct{}
}

func (e overridesReceived) apply(l *loop) {
	l.overrides.Merge(e.entries)
	for id := range e.entries {
		l.refreshAndNotify(l.endpointByName(id))
	}
	e.done <- struct{}{}
}

// outOfServiceRequested takes an upstream out by hand, or puts it back.
type outOfServiceRequested struct {
	endpointID   string
	outOfService bool
	done         chan<- error
}

func (e outOfServiceRequested) apply(l *loop) {
	p := l.endpointByName(e.endpointID)
	if !l.isListed(e.endpointID) && !l.overrides.OutLocally(e.endpointID) {
		e.done <- fmt.Errorf("there is no upstream %.40q", e.endpointID)
		return
	}
	if e.outOfService {
		l.overrides.TakeOut(e.endpointID, l.now())
	} else {
		l.overrides.PutBack(e.endpointID, l.now())
	}
	l.refreshAndNotify(p)
	e.done <- nil
}

// ApplyOverrides takes what the ledger of promises says of the upstreams, in the place of what it said before.
func (p *Pool) ApplyOverrides(s override.Shared) { p.loop.enqueueUrgent(sharedOverridesReceived(s)) }

// ReleaseLocalOverride ends this pool's own word that an upstream is out, now that the ledger of promises has had it.
func (p *Pool) ReleaseLocalOverride(id string) { p.loop.enqueueUrgent(localOverrideReleased(id)) }

// HasEndpoint tells whether an upstream is listed, or out by hand.
func (p *Pool) HasEndpoint(id string) bool {
	known := make(chan bool, 1)
	p.loop.enqueueUrgent(endpointLookupRequested{id, known})
	x, _ := awaitReply(p.loop, known) // a pool that has ended knows none
	return x
}

type endpointLookupRequested struct {
	endpointID string
	known      chan<- bool
}

func (e endpointLookupRequested) apply(l *loop) {
	e.known <- l.isListed(e.endpointID) || l.overrides.OutOfService(e.endpointID, "")
}

// sharedOverridesReceived is what the ledger says.
type sharedOverridesReceived override.Shared

func (e sharedOverridesReceived) apply(l *loop) {
	l.overrides.ApplyShared(override.Shared(e), l.now())
	l.counters.endpointsChanged = true
	var changed []balancer.Upstream
	for _, p := range l.endpoints {
		before := p.upstream
		if l.refreshEndpoint(p); p.upstream != before {
			l.dropUnsent(p)
			changed = append(changed, p.upstream)
		}
	}
	if len(changed) > 0 {
		l.balancer.EndpointsUpdated(l.now(), balancer.ListDelta, changed)
		l.reportPendingOutcomes()
	}
}

// localOverrideReleased is an upstream that the ledger has had out.
type localOverrideReleased string

func (e localOverrideReleased) apply(l *loop) {
	l.overrides.ReleaseLocal(string(e), l.now())
	l.refreshAndNotify(l.endpointByName(string(e)))
}

// endpointByName is the upstream that is listed under a name; nil if none is.
func (l *loop) endpointByName(name string) *endpoint {
	id, ok := l.names.Known(name)
	if p := l.endpoints[id]; ok && p != nil && p.name == name && p.listedState != balancer.Removed {
		return p
	}
	return nil
}

// refreshAndNotify applies anew to p what is out by hand. A nil one is not listed: what holds counts once it is.
func (l *loop) refreshAndNotify(p *endpoint) {
	l.counters.endpointsChanged = true
	if p == nil {
		return
	}
	l.refreshEndpoint(p)
	l.dropUnsent(p)
	l.balancer.EndpointsUpdated(l.now(), balancer.ListDelta, []balancer.Upstream{p.upstream})
	l.reportPendingOutcomes()
}
