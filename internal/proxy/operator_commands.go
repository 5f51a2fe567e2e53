package proxy

import (
	"errors"
	"fmt"
	"time"

	"olivearch/internal/admincmd"
)

// endpointsTimeout bounds a new process's wait for an endpoint list from discovery. After that the process serves with
// the initial list of its configuration.
const endpointsTimeout = 2 * time.Second

// Errors of Status. Operators read their texts.
var (
	errEndpointsUnknown = errors.New("no list of upstreams has been told yet")
	errNotServing       = errors.New("taking the place of the process before")
)

var _ admincmd.Handler = (*Balancer)(nil)

// Status returns nil once this process is ready: it serves, and it has received an endpoint list from discovery or
// waited for one for endpointsTimeout.
func (b *Balancer) Status() error {
	if !b.endpointsKnown() {
		return errEndpointsUnknown
	}
	if !b.serving.Load() {
		return errNotServing
	}
	return nil
}

// endpointsKnown reports whether an endpoint list has come from discovery, or endpointsTimeout has passed without one.
func (b *Balancer) endpointsKnown() bool {
	return b.pool.EndpointsKnown(endpointsTimeout)
}

// TakeOutOfService takes an upstream out of service: at once by a local override, and then at all balancers by a shared
// override. If only the shared one fails, the local override still stops new requests from this balancer and its peer
// process.
func (b *Balancer) TakeOutOfService(id string) (note string, err error) {
	if err := b.pool.SetOutOfService(id, true); err != nil {
		return "", err
	}
	b.notifyPeer()
	if b.sharedOverrides == nil {
		return "", nil
	}
	return b.sharedOverrides.set(id, time.Now())
}

// ReturnToService returns an upstream to service, where it is treated as one that has just started. The shared override
// is cleared first, because the upstream stays out of service until then.
func (b *Balancer) ReturnToService(id string) (note string, err error) {
	var clearErr error
	if b.sharedOverrides != nil {
		if !b.pool.HasEndpoint(id) {
			return "", fmt.Errorf("there is no upstream %.40q", id)
		}
		var stillOut bool
		note, stillOut, clearErr = b.sharedOverrides.clear(id)
		if clearErr != nil && stillOut {
			return "", fmt.Errorf("still out, here and at the others: %w", clearErr)
		}
	}
	if err := b.pool.SetOutOfService(id, false); err != nil {
		return "", err
	}
	b.notifyPeer()
	if clearErr != nil {
		return "", fmt.Errorf("back here, where it was out by this balancer's word alone; "+
			"the others could not be told: %w", clearErr)
	}
	return note, nil
}

// Standby drains the balancer: /healthz answers 503, and client connections are closed after a response or once idle.
func (b *Balancer) Standby() error { return b.setDraining(true) }

// Active ends the drain.
func (b *Balancer) Active() error { return b.setDraining(false) }

func (b *Balancer) setDraining(draining bool) error {
	b.server.Drain(draining)
	b.notifyPeer()
	return nil
}
