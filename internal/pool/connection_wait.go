package pool

import "time"

// connectionPatience is how long an attempt waits for a connection while the pool's are all in use. Most of them are in
// use for the time of a short request.
const connectionPatience = 200 * time.Millisecond

// isFull reports whether the pool has as many connections as it may have, so that one may become free.
func (p *connectionPool) isFull() bool { return p.max > 0 && p.open >= p.max }

// hasWaiting reports whether attempts wait for a connection, so that a later one must not take it before them.
func (l *loop) hasWaiting() bool {
	if len(l.connections.waiting) == 0 {
		return false
	}
	l.connections.mayBeFree = true
	l.startWaiting()
	return len(l.connections.waiting) > 0
}

// awaitConnection makes an attempt wait for a connection.
func (l *loop) awaitConnection(attempt *attempt) {
	l.connections.waiting = append(l.connections.waiting, attempt)
	attempt.patience = timer{at: l.now() + connectionPatience, attempt: attempt}
	l.timers.schedule(&attempt.patience)
}

// startWaiting starts the attempts that wait for a connection, in their order, as far as there are connections now.
func (l *loop) startWaiting() {
	if !l.connections.mayBeFree {
		return
	}
	l.connections.mayBeFree = false
	for len(l.connections.waiting) > 0 {
		next := l.connections.waiting[0]
		if !next.state.reported() && !l.startLate(next) {
			return
		}
		l.connections.waiting[0] = nil
		l.connections.waiting = l.connections.waiting[1:]
	}
}

// startLate starts an attempt that has waited for a connection, or ends it if it may not be sent any more. It returns
// false if there is still no connection.
func (l *loop) startLate(attempt *attempt) bool {
	now := l.now()
	if !attempt.request.Message.Upload.Streaming() {
		attempt.Timeout -= now - attempt.sentAt
	}
	attempt.sentAt = now
	if !l.mayConnect(attempt) {
		l.timers.cancel(&attempt.patience)
		l.denyConnection(attempt)
		return true
	}
	started := l.startAttempt(attempt)
	if !started && l.connections.isFull() {
		return false
	}
	l.timers.cancel(&attempt.patience)
	if !started { // the endpoint's allotment is used up: others need not wait behind it
		l.denyConnection(attempt)
	}
	return true
}

// dropWaiting drops the attempts at an endpoint that wait for a connection.
func (l *loop) dropWaiting(endpoint *endpoint) {
	for _, attempt := range l.connections.waiting {
		if attempt.endpoint == endpoint && !attempt.state.reported() {
			l.denyConnection(attempt)
		}
	}
}
