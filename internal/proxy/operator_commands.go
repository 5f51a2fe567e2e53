package proxy

import (
	"errors"
	"time"

	"olivearch/internal/admincmd"
)

// This file carries out the calls of the staff on a platform's balancer.

// endpointsTimeout is how long a new process waits for a list of its own before it serves with the one that it was started with.
const endpointsTimeout = 2 * time.Second

var _ admincmd.Handler = (*Balancer)(nil)

// Status tells whether this process is ready: it serves, and goes by a list that it has heard itself.
func (b *Balancer) Status() error {
	if !b.endpointsKnown() {
		return errors.New("no list of upstreams has been told yet")
	}
	if !b.serving.Load() {
		return errors.New("taking the place of the process before")
	}
	return nil
}

// endpointsKnown tells whether a list has been heard, or discovery has been silent for so long that the list of the start has to do.
func (b *Balancer) endpointsKnown() bool {
	return b.pool.EndpointsKnown(endpointsTimeout)
}

// TakeOutOfService takes an upstream out. Once it has returned nothing new is sent there.
func (b *Balancer) TakeOutOfService(id string) (string, error) { return b.takeOutEverywhere(id) }

// ReturnToService puts it back, as one that has just been started.
func (b *Balancer) ReturnToService(id string) (string, error) { return b.returnEverywhere(id) }

// Standby drains the balancer: /healthz says no, and clients' connections are closed.
func (b *Balancer) Standby() error { return b.drain(true) }

// Active ends the drain.
func (b *Balancer) Active() error { return b.drain(false) }

func (b *Balancer) drain(on bool) error {
	b.server.Drain(on)
	b.notifyPeer()
	return nil
}
