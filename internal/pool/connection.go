package pool

import (
	"time"

	"olivearch/balancer"
	"olivearch/internal/upstream"
)

// connection is a connection to an endpoint, with a goroutine that carries one attempt after another: a new goroutine
// for each attempt would have to grow its stack each time. The loop owns the connection, except for the attempt that
// the goroutine carries.
//
// A connection is opened by its first attempt or health check and is in use until the loop has handled the end of that
// use. Then it is closed, or idle (idleConnections) until its next use; afterUse decides which.
type connection struct {
	transportConn upstream.Conn // as the last attempt or health check returned it; nil: not opened yet
	idleSince     time.Duration // on the loop's clock
	last          responseKind  // of the last response on it
	skipRepeated  bool          // reuseRules.skipRepeated at the start of its use
	attempts      chan *attempt // input of the goroutine; closed with the connection
	createdAt     time.Duration // on the loop's clock

	// The fields below are for the log.
	number          uint64        // of the connection, in the pool
	uses            int           // attempts so far
	lastIdle        time.Duration // how long it was unused before its last use
	currentRequest  string        // id that the client gave to the request of the last attempt
	previousRequest string        // and of the one before

	hasGoroutine bool // false as long as only health checks have used the connection
}

func newConnection(number uint64, now time.Duration) *connection {
	return &connection{attempts: make(chan *attempt, 1), number: number, createdAt: now}
}

// noteUse records for the log that an attempt uses the connection from now on.
func (c *connection) noteUse(clientRequestID string, now time.Duration) {
	c.uses++
	c.previousRequest = c.currentRequest
	c.currentRequest = clientRequestID
	c.lastIdle = 0
	if c.transportConn != nil {
		c.lastIdle = now - c.idleSince
	}
}

// start starts an attempt on a connection that is new or was idle.
func (c *connection) start(l *loop, first *attempt) {
	if c.hasGoroutine {
		c.attempts <- first // does not block: the connection was idle, so the buffer is empty
		return
	}
	c.hasGoroutine = true
	go c.serve(l, first)
}

// serve is the connection's goroutine. It carries an attempt and those that follow on the connection until the
// connection is closed or the loop has ended.
func (c *connection) serve(l *loop, next *attempt) {
	for open := true; open; {
		result := next.transport.Do(&next.Attempt)
		l.enqueue(attemptFinished{next, result})
		if result.Conn == nil {
			return
		}
		select {
		case next, open = <-c.attempts:
		case <-l.ctx.Done(): // the loop will not close the connection any more
			result.Conn.Close()
			return
		}
	}
}

// close closes an idle connection. It may block.
func (c *connection) close() {
	close(c.attempts)
	if c.transportConn != nil {
		c.transportConn.Close()
	}
}

// connectionDisposition tells what to do with a connection after use.
type connectionDisposition uint8

const (
	// connectionIdle: keep it for its next use.
	connectionIdle connectionDisposition = iota
	// connectionLost: only adjust the counts; the transport has closed it.
	connectionLost
	// connectionSurplus: close it, since the pool has more connections to the endpoint than its allotment now
	// allows.
	connectionSurplus
	// connectionOutdated: close it, since the endpoint takes no more requests or has changed its address.
	connectionOutdated
	// connectionBroken: close it, since it can't be reused.
	connectionBroken
	// connectionUntrusted: close it, since a second copy of its last response could decide about another request.
	connectionUntrusted
)

// String returns the reason in logs why a connection is not kept.
func (d connectionDisposition) String() string {
	switch d {
	case connectionIdle:
		return "kept"
	case connectionLost:
		return "closed by the transport"
	case connectionSurplus:
		return "more than allotted"
	case connectionOutdated:
		return "endpoint not active, or moved"
	case connectionBroken:
		return "can't be reused"
	case connectionUntrusted:
		return "a second response is possible"
	}
	return "unknown"
}

// afterUse decides what to do with a connection to the endpoint that carries no attempt any more. conn is nil if the
// transport has closed the connection.
func (e *endpoint) afterUse(conn upstream.Conn) connectionDisposition {
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
