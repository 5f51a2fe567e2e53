package upstream

import (
	"errors"
	"net"
	"sync"
	"time"

	"olivearch/balancer"
	"olivearch/internal/http1"
)

// errUndelivered is the error of an attempt whose request was written in time, but not delivered.
var errUndelivered = errors.New("request not delivered before its write deadline")

// endSending ends the sending on a connection. Bytes that the system could not deliver yet are discarded: an upstream
// that can be reached again later must not run the request then.
func endSending(socket net.Conn) {
	if discardUndelivered(socket) {
		return
	}
	if halfCloser, ok := socket.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite() // fails only on a closed connection
	}
}

// discardUndelivered resets a connection if the system holds bytes that were not delivered. It reports whether it did.
func discardUndelivered(socket net.Conn) bool {
	if !http1.Undelivered(socket) {
		return false
	}
	http1.Abort(socket)
	_ = socket.Close() // fails only on a closed connection
	return true
}

// deliveryLimit resets a connection if a request that was written on it is not delivered by a time.
type deliveryLimit struct {
	timer *time.Timer

	mu        sync.Mutex
	stopped   bool
	discarded bool
}

// limitDelivery limits the delivery of all that was written on a connection.
func limitDelivery(connection *conn, end time.Time) *deliveryLimit {
	limit := new(deliveryLimit)
	limit.timer = time.AfterFunc(time.Until(end), func() { limit.expire(connection) })
	return limit
}

func (l *deliveryLimit) expire(connection *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.discarded = discardUndelivered(connection)
	}
}

// stop ends the limit and reports whether it has reset the connection.
func (l *deliveryLimit) stop() bool {
	l.timer.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	return l.discarded
}

// readBefore reads the response to a request that was written completely. If the request is not delivered by the write
// deadline, the connection is reset, and the request may have run. A zero deadline is none.
func (r responseReader) readBefore(writeDeadline time.Time) Result {
	if writeDeadline.IsZero() {
		return r.read()
	}
	limit := limitDelivery(r.conn, writeDeadline)
	result := r.read()
	if !limit.stop() {
		return result
	}
	result.Conn = nil
	if result.Status == balancer.Reset {
		result.Err = errUndelivered
	}
	return result
}
