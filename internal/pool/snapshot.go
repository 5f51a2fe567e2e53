package pool

import (
	"time"

	"olivearch/balancer"
)

// Snapshot returns what the balancer has learnt, for a pool that replaces this one. It is empty for a pool that has
// ended.
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

// Restore initialises the balancer with what another one has learnt, and returns once that is done.
func (p *Pool) Restore(snapshot balancer.Snapshot) {
	done := make(chan struct{}, 1)
	p.loop.enqueueUrgent(snapshotReceived{snapshot, done})
	_, _ = awaitReply(p.loop, done) // a pool that has ended needs no snapshot
}

// snapshotReceived is a call of Restore.
type snapshotReceived struct {
	snapshot balancer.Snapshot
	done     chan<- struct{}
}

func (e snapshotReceived) apply(l *loop) {
	if err := l.createBalancer(); err == nil { // the settings have been validated: no error is expected
		l.balancer.Restore(l.now(), e.snapshot)
	}
	l.reportPendingOutcomes()
	e.done <- struct{}{}
}

// EndpointsKnown reports whether the endpoints are known: either the source has sent a list, or maxWait has passed
// since the start and the initial list has to be used.
func (p *Pool) EndpointsKnown(maxWait time.Duration) bool {
	return p.loop.source.received.Load() || time.Since(p.loop.origin) >= maxWait
}
