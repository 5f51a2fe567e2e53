package proxy

import (
	"errors"
	"fmt"
	"time"

	"clayladder"
	"clayladder/internal/manage"
)

// This file carries out the calls of the staff on a platform's balancer.

// listPatience is how long a new process waits for a list of its own before it serves with the one that it was started with.
const listPatience = 2 * time.Second

var _ manage.Operator = (*Balancer)(nil)

// Status tells whether this process is ready: it serves, and goes by a list that it has heard itself.
func (b *Balancer) Status() error {
	if !b.listed() {
		return errors.New("no list of upstreams has been told yet")
	}
	if !b.began.Load() {
		return errors.New("taking the place of the process before")
	}
	return nil
}

// listed tells whether a list has been heard, or discovery has been silent for so long that the list of the start has to do.
func (b *Balancer) listed() bool {
	return b.loop.heard.Load() || time.Since(b.loop.origin) >= listPatience
}

// Out takes an upstream out. Once it has returned nothing new is sent there.
func (b *Balancer) Out(id string) error { return b.maintain(id, true) }

// Back puts it back, as one that has just been started.
func (b *Balancer) Back(id string) error { return b.maintain(id, false) }

// Standby drains the balancer: /healthz says no, and clients' connections are closed.
func (b *Balancer) Standby() error { return b.drain(true) }

// Active ends the drain.
func (b *Balancer) Active() error { return b.drain(false) }

func (b *Balancer) drain(on bool) error {
	b.front.drain(on)
	b.inform()
	return nil
}

func (b *Balancer) maintain(id string, out bool) error {
	done := make(chan error, 1)
	b.loop.hand(maintained{id, out, done})
	select {
	case err := <-done:
		if err == nil {
			b.inform()
		}
		return err
	case <-b.loop.ctx.Done():
		return errors.New("stopping")
	}
}

// maintained takes an upstream out by hand, or puts it back.
type maintained struct {
	id   string
	out  bool
	done chan<- error
}

func (e maintained) apply(l *loop) {
	p := l.peers[l.names.ids[e.id]]
	if p != nil && (p.name != e.id || p.listed == clayladder.Gone) {
		p = nil
	}
	if p == nil && !l.maint.IsOut(e.id) {
		e.done <- fmt.Errorf("there is no upstream %.40q", e.id)
		return
	}
	if e.out {
		l.maint.Out(e.id, l.now())
	} else {
		l.maint.Back(e.id, l.now())
	}
	l.overlay(p)
	e.done <- nil
}

// overlay applies anew to p what is out by hand. A nil one is not listed: what holds counts once it is.
func (l *loop) overlay(p *peer) {
	if p == nil {
		return
	}
	l.place(p)
	l.withdraw(p)
	l.balancer.Members(l.now(), clayladder.ListDelta, []clayladder.Upstream{p.entry})
	l.settle()
}
