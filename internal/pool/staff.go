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

var errEnded = errors.New("stopping")

// told waits for what the loop answers to an event that has been handed to it.
func told[T any](l *loop, got <-chan T) (x T, err error) {
	select {
	case x = <-got:
		return x, nil
	case <-l.ctx.Done():
		return x, errEnded
	}
}

// SetOutOfService takes an upstream out by hand, or puts it back as one that has just been started. Once it has returned nil, nothing new
// goes to one that is out.
func (p *Pool) SetOutOfService(id string, out bool) error {
	done := make(chan error, 1)
	p.loop.hand(maintained{id, out, done})
	err, ended := told(p.loop, done)
	return cmp.Or(ended, err)
}

// LocalOverrides is what is out by hand.
func (p *Pool) LocalOverrides() map[string]override.Entry {
	got := make(chan map[string]override.Entry, 1)
	p.loop.hand(heldNow(got))
	held, _ := told(p.loop, got) // of a pool that has ended there is nothing to tell
	return held
}

// MergeOverrides takes what is out by hand as another process holds it.
func (p *Pool) MergeOverrides(held map[string]override.Entry) {
	done := make(chan struct{}, 1)
	p.loop.hand(merged{held, done})
	told(p.loop, done)
}

// Snapshot is what the module has learnt.
func (p *Pool) Snapshot() balancer.Snapshot {
	got := make(chan balancer.Snapshot, 1)
	p.loop.hand(learntNow(got))
	m, _ := told(p.loop, got)
	return m
}

// Restore lets the module go on from what another has learnt.
func (p *Pool) Restore(m balancer.Snapshot) {
	done := make(chan struct{}, 1)
	p.loop.hand(recalled{m, done})
	told(p.loop, done)
}

// EndpointsKnown tells whether a list has been heard, or its source has been silent for so long that the list of the start has to do.
func (p *Pool) EndpointsKnown(patience time.Duration) bool {
	return p.loop.heard.Load() || time.Since(p.loop.origin) >= patience
}

// learntNow asks for what the module has learnt.
type learntNow chan<- balancer.Snapshot

func (e learntNow) apply(l *loop) { e <- l.learnt(l.now()) }

// recalled is what another module has learnt.
type recalled struct {
	balancer.Snapshot
	done chan<- struct{}
}

func (e recalled) apply(l *loop) {
	if err := l.make(); err == nil { // else its settings are wrong, which their check rules out
		l.balancer.Restore(l.now(), e.Snapshot)
	}
	l.settle()
	e.done <- struct{}{}
}

// heldNow asks for what is out by hand.
type heldNow chan<- map[string]override.Entry

func (e heldNow) apply(l *loop) { e <- l.maint.Entries() }

// merged is what is out by hand as the other process holds it.
type merged struct {
	held map[string]override.Entry
	done chan<- struct{}
}

func (e merged) apply(l *loop) {
	l.maint.Merge(e.held)
	for id := range e.held {
		l.overlay(l.named(id))
	}
	e.done <- struct{}{}
}

// maintained takes an upstream out by hand, or puts it back.
type maintained struct {
	id   string
	out  bool
	done chan<- error
}

func (e maintained) apply(l *loop) {
	p := l.named(e.id)
	if !l.lists(e.id) && !l.maint.OutLocally(e.id) {
		e.done <- fmt.Errorf("there is no upstream %.40q", e.id)
		return
	}
	if e.out {
		l.maint.TakeOut(e.id, l.now())
	} else {
		l.maint.PutBack(e.id, l.now())
	}
	l.overlay(p)
	e.done <- nil
}

// ApplyOverrides takes what the ledger of promises says of the upstreams, in the place of what it said before.
func (p *Pool) ApplyOverrides(s override.Shared) { p.loop.hand(governed(s)) }

// ReleaseLocalOverride ends this pool's own word that an upstream is out, now that the ledger of promises has had it.
func (p *Pool) ReleaseLocalOverride(id string) { p.loop.hand(released(id)) }

// HasEndpoint tells whether an upstream is listed, or out by hand.
func (p *Pool) HasEndpoint(id string) bool {
	known := make(chan bool, 1)
	p.loop.hand(asked{id, known})
	x, _ := told(p.loop, known) // a pool that has ended knows none
	return x
}

type asked struct {
	id    string
	known chan<- bool
}

func (e asked) apply(l *loop) { e.known <- l.lists(e.id) || l.maint.OutOfService(e.id, "") }

// governed is what the ledger says.
type governed override.Shared

func (e governed) apply(l *loop) {
	l.maint.ApplyShared(override.Shared(e), l.now())
	l.counts.recount = true
	var changed []balancer.Upstream
	for _, p := range l.peers {
		before := p.entry
		if l.place(p); p.entry != before {
			l.withdraw(p)
			changed = append(changed, p.entry)
		}
	}
	if len(changed) > 0 {
		l.balancer.EndpointsUpdated(l.now(), balancer.ListDelta, changed)
		l.settle()
	}
}

// released is an upstream that the ledger has had out.
type released string

func (e released) apply(l *loop) {
	l.maint.ReleaseLocal(string(e), l.now())
	l.overlay(l.named(string(e)))
}

// named is the upstream that is listed under a name; nil if none is.
func (l *loop) named(name string) *peer {
	id, ok := l.names.Known(name)
	if p := l.peers[id]; ok && p != nil && p.name == name && p.listed != balancer.Removed {
		return p
	}
	return nil
}

// overlay applies anew to p what is out by hand. A nil one is not listed: what holds counts once it is.
func (l *loop) overlay(p *peer) {
	l.counts.recount = true
	if p == nil {
		return
	}
	l.place(p)
	l.withdraw(p)
	l.balancer.EndpointsUpdated(l.now(), balancer.ListDelta, []balancer.Upstream{p.entry})
	l.settle()
}
