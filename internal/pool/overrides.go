package pool

import (
	"cmp"
	"errors"
	"fmt"

	"olivearch/balancer"
	"olivearch/internal/override"
)

// errLoopStopped is returned by calls on a pool that has ended. Its text is shown to operators.
var errLoopStopped = errors.New("stopping")

// SetOutOfService takes an endpoint out of service in this pool only, or returns it to service as if it had just been
// started. Once a call with out has returned nil, no new request is sent to the endpoint. It fails if the endpoint is
// unknown or the pool has ended.
func (p *Pool) SetOutOfService(id string, out bool) error {
	done := make(chan error, 1)
	p.loop.enqueueUrgent(outOfServiceRequested{endpointName: id, outOfService: out, done: done})
	err, ended := awaitReply(p.loop, done)
	return cmp.Or(ended, err)
}

// outOfServiceRequested is a call of SetOutOfService.
type outOfServiceRequested struct {
	endpointName string
	outOfService bool
	done         chan<- error
}

func (e outOfServiceRequested) apply(l *loop) {
	if !l.isListed(e.endpointName) && !l.overrides.OutOfServiceLocally(e.endpointName) {
		e.done <- fmt.Errorf("there is no upstream %.40q", e.endpointName)
		return
	}
	if e.outOfService {
		l.overrides.TakeOut(e.endpointName, l.now())
	} else {
		l.overrides.PutBack(e.endpointName, l.now())
	}
	l.overridesChanged(e.endpointName)
	e.done <- nil
}

// LocalOverrides returns the endpoints that were taken out of service, or recently returned to service, in this pool
// only. It is nil for a pool that has ended.
func (p *Pool) LocalOverrides() map[string]override.Entry {
	reply := make(chan map[string]override.Entry, 1)
	p.loop.enqueueUrgent(localOverridesRequested{reply})
	entries, _ := awaitReply(p.loop, reply)
	return entries
}

// localOverridesRequested is a call of LocalOverrides.
type localOverridesRequested struct {
	reply chan<- map[string]override.Entry
}

func (e localOverridesRequested) apply(l *loop) { e.reply <- l.overrides.Entries() }

// MergeOverrides merges another process's LocalOverrides, and returns once they are in effect.
func (p *Pool) MergeOverrides(entries map[string]override.Entry) {
	done := make(chan struct{}, 1)
	p.loop.enqueueUrgent(localOverridesReceived{entries, done})
	_, _ = awaitReply(p.loop, done) // a pool that has ended needs no overrides
}

// localOverridesReceived is a call of MergeOverrides.
type localOverridesReceived struct {
	entries map[string]override.Entry
	done    chan<- struct{}
}

func (e localOverridesReceived) apply(l *loop) {
	l.overrides.Merge(e.entries)
	for name := range e.entries {
		l.overridesChanged(name)
	}
	e.done <- struct{}{}
}

// ApplyOverrides replaces the pool's shared overrides by the current ones of the coordination cluster.
func (p *Pool) ApplyOverrides(shared override.Shared) {
	p.loop.enqueueUrgent(sharedOverridesReceived(shared))
}

// sharedOverridesReceived is a call of ApplyOverrides.
type sharedOverridesReceived override.Shared

func (e sharedOverridesReceived) apply(l *loop) {
	l.overrides.ApplyShared(override.Shared(e), l.now())
	l.counters.endpointsChanged = true
	var changed []balancer.Upstream
	for _, endpoint := range l.endpoints {
		if l.refreshAndCompare(endpoint) {
			changed = append(changed, endpoint.upstream)
		}
	}
	l.notifyChanged(changed)
}

// ReleaseLocalOverride removes this pool's local override of an endpoint, because the coordination cluster has taken it
// over.
func (p *Pool) ReleaseLocalOverride(id string) { p.loop.enqueueUrgent(localOverrideReleased{id}) }

// localOverrideReleased is a call of ReleaseLocalOverride.
type localOverrideReleased struct{ endpointName string }

func (e localOverrideReleased) apply(l *loop) {
	l.overrides.ReleaseLocal(e.endpointName, l.now())
	l.overridesChanged(e.endpointName)
}

// HasEndpoint reports whether an endpoint is listed or out of service. It is false for a pool that has ended.
func (p *Pool) HasEndpoint(id string) bool {
	reply := make(chan bool, 1)
	p.loop.enqueueUrgent(endpointLookupRequested{id, reply})
	known, _ := awaitReply(p.loop, reply)
	return known
}

// endpointLookupRequested is a call of HasEndpoint.
type endpointLookupRequested struct {
	endpointName string
	reply        chan<- bool
}

func (e endpointLookupRequested) apply(l *loop) {
	e.reply <- l.isListed(e.endpointName) || l.overrides.OutOfService(e.endpointName, "")
}

// overridesChanged applies overrides to the listed endpoint with the given name. If it is not listed, they take effect
// when it is.
func (l *loop) overridesChanged(name string) {
	l.counters.endpointsChanged = true
	endpoint := l.endpointByName(name)
	if endpoint == nil {
		return
	}
	l.refreshEndpoint(endpoint)
	l.dropUnsent(endpoint)
	l.balancer.EndpointsUpdated(l.now(), balancer.ListDelta, []balancer.Upstream{endpoint.upstream})
	l.reportPendingOutcomes()
}
