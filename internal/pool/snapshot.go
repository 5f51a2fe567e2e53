package pool

import (
	"time"

	"olivearch/balancer"
)

// Snapshot is what the balancer has learnt, for the pool that takes this one's place; empty for a pool that has ended.
func (p *Pool) Snapshot() balancer.Snapshot {
	reply := make(chan balancer.Snapshot, 1)
	p.loop.enqueueUrgent(snapshotRequested{reply})
	snapshot, _ := awaitReply(p.loop, reply)
	return snapshot
}

// snapshotRequested is a call of Snapshot.
type snapshotRequested struct {
	reply chan<- balancer.Snapshot
}

func (e snapshotRequested) apply(l *loop) { e.reply <- l.snapshot(l.now()) }

// Restore lets the balancer go on from what another has learnt, and returns once it does.
func (p *Pool) Restore(snapshot balancer.Snapshot) {
	done := make(chan struct{}, 1)
	p.loop.enqueueUrgent(snapshotReceived{snapshot, done})
	_, _ = awaitReply(p.loop, done) // a pool that has ended needs no snapshot
}

// snapshotReceived is what another balancer has learnt.
type snapshotReceived struct {
	snapshot balancer.Snapshot
	done     chan<- struct{}
}

func (e snapshotReceived) apply(l *loop) {
	if err := l.createBalancer(); err == nil { // an error is ruled out by the check of the settings
		l.balancer.Restore(l.now(), e.snapshot)
	}
	l.reportPendingOutcomes()
	e.done <- struct{}{}
}

// EndpointsKnown reports whether the list's source has given a list, or has not for so long that the list of the start
// has to do.
func (p *Pool) EndpointsKnown(patience time.Duration) bool {
	return p.loop.source.received.Load() || time.Since(p.loop.origin) >= patience
}
