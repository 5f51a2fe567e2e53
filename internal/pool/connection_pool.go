package pool

import (
	"time"

	"olivearch/balancer"
	"olivearch/internal/upstream"
)

const (
	// idleMargin is how long before the endpoint's keep-alive time the pool closes an idle connection: a request
	// that is written just after the endpoint has closed the connection fails with a reset.
	idleMargin = 5 * time.Second
)

// connectionPool counts the connections to all endpoints and holds the limits that apply to them. The idle connections
// are kept by endpoint (idleConnections). The loop owns it.
type connectionPool struct {
	transport   upstream.Transport
	open        int           // number of connections that are open or being opened
	opened      uint64        // number of connections that were opened since the start
	max         int           // Spec.MaxConnections
	waiting     []*attempt    // that wait for a connection, the first one first
	mayBeFree   bool          // a connection was given back since the attempts that wait were looked at
	idleTimeout time.Duration // after which an idle connection is closed
	nextSweepAt time.Duration // when fireTimers next closes expired idle connections
	reuse       reusePolicy
}

// acquireConnection returns an idle connection that may be reused, or a new one that the first attempt opens; nil: the
// limits allow none. If the endpoint's allotment is used up, it returns an idle connection that may not be reused yet,
// with replace set: the transport closes it and opens another in its place, so that the allotment is never exceeded. If
// the pool's limit is reached, the connection that has been idle longest, to any endpoint, is closed first.
func (l *loop) acquireConnection(endpoint *endpoint, now time.Duration) (acquired *connection, replace bool) {
	rules := l.connections.reuse.rules(now)
	if ready := endpoint.idle.takeReady(now, rules.rest); ready != nil {
		ready.skipRepeated = rules.skipRepeated
		return ready, false
	}
	allowed := endpoint.allotment.Connections
	if allowed > 0 && endpoint.connections >= allowed {
		return endpoint.idle.takeOldest(), true
	}
	if l.connections.open >= l.connections.max && !l.evictLongestIdle() {
		return nil, false
	}
	l.connections.open++
	l.connections.opened++
	endpoint.connections++
	return newConnection(l.connections.opened, now), false
}

// evictLongestIdle closes the connection that has been idle longest, to whichever endpoint. It returns false if none is
// idle.
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

// evictIdle closes an endpoint's longest idle connection. It returns false if none is idle.
func (l *loop) evictIdle(endpoint *endpoint) bool {
	oldest := endpoint.idle.takeOldest()
	if oldest == nil {
		return false
	}
	l.closeConnections(endpoint, "room for another", oldest)
	return true
}

// returnConnection takes back a connection after use. result.Conn is nil if the transport has closed it.
func (l *loop) returnConnection(endpoint *endpoint, used *connection, result *upstream.Result) {
	now := l.now()
	l.connections.mayBeFree = true
	used.transportConn = result.Conn
	used.last = used.last.after(result)
	if result.Unsolicited {
		l.connections.reuse.sawUnsolicited(now)
	}
	disposition := endpoint.afterUse(result.Conn)
	if disposition == connectionIdle && !l.connections.reuse.mayReuse(used.last, now) {
		disposition = connectionUntrusted
	}
	switch disposition {
	case connectionIdle:
		endpoint.idle.add(used, now)
	case connectionLost:
		l.connections.open--
		endpoint.connections--
	default:
		l.closeConnections(endpoint, disposition.String(), used)
	}
}

// closeConnections closes connections to an endpoint that carry no attempt, in another goroutine because closing may
// block. reason is for the log.
func (l *loop) closeConnections(endpoint *endpoint, reason string, connections ...*connection) {
	if len(connections) == 0 {
		return
	}
	l.traceClose(endpoint, len(connections), reason)
	l.connections.mayBeFree = true
	l.connections.open -= len(connections)
	endpoint.connections -= len(connections)
	go func() {
		for _, c := range connections {
			c.close()
		}
	}()
}

// closeExpiredConnections closes the connections that have been idle for the idle time-out.
func (l *loop) closeExpiredConnections(now time.Duration) {
	for _, endpoint := range l.endpoints {
		expired := endpoint.idle.takeExpired(now, l.connections.idleTimeout)
		l.closeConnections(endpoint, "idle time-out", expired...)
	}
}

// nextIdleCloseAt returns when the next idle connection is to be closed; 0: none is idle.
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

// CloseIdle closes the idle connections to an endpoint. It is part of balancer.Host.
func (l *loop) CloseIdle(id balancer.UpstreamID) {
	endpoint := l.endpoints[id]
	if endpoint != nil {
		l.closeConnections(endpoint, "endpoint not active, or not used", endpoint.idle.takeAll()...)
	}
}
