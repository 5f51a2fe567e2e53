package pool

import (
	"time"

	"olivearch/balancer"
	"olivearch/internal/upstream"
)

const (
	// idleMargin is how much sooner than the endpoint the pool closes an idle connection: a request written to one that
	// the endpoint has just closed ends as a reset.
	idleMargin = 5 * time.Second
	// connectionReuseDelay is how long a connection stays unused between two requests. Responses do not name their
	// request: a second response that comes late, after the next request is written, would pass for that one's. While the
	// connection is unused it is seen for what it is.
	connectionReuseDelay = time.Millisecond
)

// connectionPool counts the connections to all endpoints and holds their limits. Idle connections stand by endpoint
// (idleConnections). The loop owns it.
type connectionPool struct {
	transport   upstream.Transport
	open        int           // connections that are open or being opened
	max         int           // Spec.Connections
	idleTimeout time.Duration // after which an idle connection is closed
	nextSweepAt time.Duration // when connections that have been idle for too long are looked for next
	// delayOnlyAfterUnsolicited is Spec.ReuseDelayOnlyAfterUnsolicited.
	delayOnlyAfterUnsolicited bool
}

// reuseDelay is how long a connection to an endpoint stays unused between two requests.
func (p *connectionPool) reuseDelay(endpoint *endpoint) time.Duration {
	if p.delayOnlyAfterUnsolicited && endpoint.faults.unsolicited == 0 {
		return 0
	}
	return connectionReuseDelay
}

// acquireConnection takes an idle connection to an endpoint that has been unused for the reuse delay, or else counts
// one that is to be opened; nil: there may be no more. Where the allotment at the endpoint is used up, a connection is
// taken whose delay is not over: the attempt waits for it. Where the pool's connections are used up, the one that has
// been idle longest makes room, at whatever endpoint.
func (l *loop) acquireConnection(endpoint *endpoint, now time.Duration) *connection {
	if ready := endpoint.idle.takeReady(now, l.connections.reuseDelay(endpoint)); ready != nil {
		return ready
	}
	allowed := endpoint.allotment.Connections
	if allowed > 0 && endpoint.connections >= allowed {
		// Closed in favour of a new one, both would be open for a moment.
		return endpoint.idle.takeOldest()
	}
	if l.connections.open >= l.connections.max && !l.evictLongestIdle() {
		return nil
	}
	l.connections.open++
	endpoint.connections++
	return newConnection()
}

// evictLongestIdle closes the connection that has been idle longest at any endpoint; false: none is idle.
func (l *loop) evictLongestIdle() bool {
	var longest *endpoint
	for _, candidate := range l.endpoints {
		oldest := candidate.idle.oldest()
		if oldest == nil {
			continue
		}
		if longest == nil || oldest.idleSince < longest.idle.oldest().idleSince {
			longest = candidate
		}
	}
	return longest != nil && l.evictIdle(longest)
}

// evictIdle closes the connection to an endpoint that has been idle longest; false: none is idle.
func (l *loop) evictIdle(endpoint *endpoint) bool {
	oldest := endpoint.idle.takeOldest()
	if oldest == nil {
		return false
	}
	l.closeConnections(endpoint, oldest)
	return true
}

// returnConnection takes back a connection after use; conn is what the transport left of it, nil if it has closed it.
func (l *loop) returnConnection(endpoint *endpoint, used *connection, conn upstream.Conn) {
	used.transportConn = conn
	switch endpoint.afterUse(conn) {
	case connectionIdle:
		endpoint.idle.add(used, l.now())
	case connectionLost:
		l.connections.open--
		endpoint.connections--
	default:
		l.closeConnections(endpoint, used)
	}
}

// closeConnections closes connections to an endpoint that carry no attempt, outside the loop's goroutine.
func (l *loop) closeConnections(endpoint *endpoint, connections ...*connection) {
	if len(connections) == 0 {
		return
	}
	l.connections.open -= len(connections)
	endpoint.connections -= len(connections)
	go func() {
		for _, c := range connections {
			c.close()
		}
	}()
}

// closeExpiredConnections closes connections that have been idle for too long.
func (l *loop) closeExpiredConnections(now time.Duration) {
	for _, endpoint := range l.endpoints {
		expired := endpoint.idle.takeExpired(now, l.connections.idleTimeout)
		l.closeConnections(endpoint, expired...)
	}
}

// nextIdleCloseAt is when a connection has next been idle for too long; 0: none is idle.
func (l *loop) nextIdleCloseAt() time.Duration {
	var next time.Duration
	for _, endpoint := range l.endpoints {
		oldest := endpoint.idle.oldest()
		if oldest == nil {
			continue
		}
		expiresAt := oldest.idleSince + l.connections.idleTimeout
		next = earlier(next, max(expiresAt, l.connections.nextSweepAt))
	}
	return next
}

// CloseIdle closes the idle connections to an endpoint. Part of balancer.Host.
func (l *loop) CloseIdle(id balancer.UpstreamID) {
	endpoint := l.endpoints[id]
	if endpoint != nil {
		l.closeConnections(endpoint, endpoint.idle.takeAll()...)
	}
}
