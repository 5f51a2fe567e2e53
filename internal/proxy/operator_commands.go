package proxy

import (
	"errors"
	"fmt"
	"time"

	"olivearch/internal/admincmd"
)

// endpointsTimeout is how long a new process waits for an endpoint list from discovery before it serves with the one
// that it was started with.
const endpointsTimeout = 2 * time.Second

// What Status returns while this process is not ready.
var (
	errEndpointsUnknown = errors.New("no list of upstreams has been told yet")
	errNotServing       = errors.New("taking the place of the process before")
)

var _ admincmd.Handler = (*Balancer)(nil)

// Status returns nil once this process is ready: it serves, by an endpoint list that it has received itself, or without
// one after endpointsTimeout.
func (b *Balancer) Status() error {
	if !b.endpointsKnown() {
		return errEndpointsUnknown
	}
	if !b.serving.Load() {
		return errNotServing
	}
	return nil
}

// endpointsKnown tells whether discovery has answered, or has not for endpointsTimeout.
func (b *Balancer) endpointsKnown() bool {
	return b.pool.EndpointsKnown(endpointsTimeout)
}

// TakeOutOfService takes an upstream out: here at once, and then by a shared override at all balancers. Once it has
// returned, this balancer and its peer process send nothing new there, also if the shared override has failed.
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

// ReturnToService puts an upstream back, as one that has just started. The shared override is cleared first: while it
// holds, the upstream stays out.
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

// Standby drains the balancer: /healthz answers 503, and client connections are closed behind their answers.
func (b *Balancer) Standby() error { return b.setDraining(true) }

// Active ends the drain.
func (b *Balancer) Active() error { return b.setDraining(false) }

func (b *Balancer) setDraining(draining bool) error {
	b.server.Drain(draining)
	b.notifyPeer()
	return nil
}
