package pool

import (
	"time"

	"olivearch/balancer"
	"olivearch/internal/upstream"
)

// connection is a connection to an endpoint with the goroutine that carries attempts on it, from one to the next: a
// goroutine for each attempt would grow its stack anew each time. The loop owns the connection, but for the attempt
// that its goroutine carries.
//
// A connection is opened by its first attempt or health check, is in use until the loop has the end of that, then idle
// (idleConnections) until it is used again or closed. afterUse says which follows a use.
type connection struct {
	transportConn upstream.Conn // as the last attempt or health check left it; nil: it is not open yet
	idleSince     time.Duration // on the loop's clock
	attempts      chan *attempt // for the goroutine; closed with the connection
	hasGoroutine  bool          // it has been started; a connection that only health checks have used has none
}

func newConnection() *connection { return &connection{attempts: make(chan *attempt, 1)} }

// start makes an attempt on a connection that is new or was idle.
func (c *connection) start(l *loop, first *attempt) {
	if c.hasGoroutine {
		c.attempts <- first // has room: the connection was idle
		return
	}
	c.hasGoroutine = true
	go c.serve(l, first)
}

// serve makes an attempt and those that follow on the connection, until it is closed or the loop has ended. It is the
// connection's goroutine.
func (c *connection) serve(l *loop, next *attempt) {
	for open := true; open; {
		result := next.transport.Do(&next.Attempt)
		l.enqueue(attemptFinished{next, result})
		if result.Conn == nil {
			return
		}
		select {
		case next, open = <-c.attempts:
		case <-l.ctx.Done(): // nobody else has the connection now
			result.Conn.Close()
			return
		}
	}
}

// close ends an idle connection. It may block.
func (c *connection) close() {
	close(c.attempts)
	if c.transportConn != nil {
		c.transportConn.Close()
	}
}

// connectionFate is what becomes of a connection after use.
type connectionFate uint8

const (
	// connectionIdle: it waits for its next use.
	connectionIdle connectionFate = iota
	// connectionLost: the transport has closed it.
	connectionLost
	// connectionSurplus: the pool's allotment of connections to the endpoint has become smaller.
	connectionSurplus
	// connectionOutdated: its endpoint takes no more requests, or has another address now.
	connectionOutdated
	// connectionBroken: it can't be prepared for its next use.
	connectionBroken
)

// afterUse returns what becomes of a connection to an endpoint that carries no attempt any more; nil: the transport has
// closed it.
func (e *endpoint) afterUse(conn upstream.Conn) connectionFate {
	allowed := e.allotment.Connections
	switch {
	case conn == nil:
		return connectionLost
	case allowed > 0 && e.connections > allowed:
		return connectionSurplus
	case e.state != balancer.Active || conn.Address() != e.address:
		return connectionOutdated
	case conn.Reuse() != nil:
		return connectionBroken
	}
	return connectionIdle
}
