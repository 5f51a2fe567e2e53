package frontend

import (
	"net"
	"sync"
	"time"
)

// expiredDeadline is a deadline in the past.
var expiredDeadline = time.Unix(0, 1)

// deadlineConn sets a connection's deadlines. To set one costs as much as a good part of a request, so the current one
// is kept for as long as it is about right.
type deadlineConn struct {
	net.Conn

	// The reader's: the end of the request that is being read, zero while none is, and the bytes per second that a
	// body must come with beyond that.
	requestDeadline time.Time
	minBodyRate     int

	writeDeadline time.Time // the current one; the writer's, or the reader's while no exchange is pending

	mu           sync.Mutex
	readDeadline time.Time // the current one; zero: none
	expired      bool      // the rest of an incomplete request is no longer waited for
}

// Under is the connection itself.
func (d *deadlineConn) Underlying() net.Conn { return d.Conn }

// SetReadDeadline bounds what is read next.
func (d *deadlineConn) SetReadDeadline(at time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired {
		at = expiredDeadline
	}
	d.readDeadline = at
	return d.Conn.SetReadDeadline(at)
}

// SetWriteDeadline bounds what is written next. It is called by the goroutine that writes.
func (d *deadlineConn) SetWriteDeadline(at time.Time) error {
	d.writeDeadline = at
	return d.Conn.SetWriteDeadline(at)
}

// expire ends the wait for the rest of a request, also for what is still to be read of it.
func (d *deadlineConn) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expired = true
	d.readDeadline = expiredDeadline
	_ = d.Conn.SetReadDeadline(expiredDeadline) // fails on a closed connection, as the read does then
}

// removeReadDeadline lets the next read take any time. The caller holds the lock.
func (d *deadlineConn) removeReadDeadline() {
	d.readDeadline = time.Time{}
	_ = d.Conn.SetReadDeadline(time.Time{}) // fails on a closed connection, as the read does then
}

// setIdleDeadline lets a connection idle for a time, or for up to an eighth longer.
func (d *deadlineConn) setIdleDeadline(timeout time.Duration) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.readDeadline.Before(now.Add(timeout)) {
		d.readDeadline = now.Add(timeout + timeout/8)
		_ = d.Conn.SetReadDeadline(d.readDeadline) // fails on a closed connection, as the read does then
	}
}

// setWriteTimeout bounds what is written next, by the timeout or by up to twice that.
func (d *deadlineConn) setWriteTimeout(timeout time.Duration) {
	now := time.Now()
	if d.writeDeadline.Before(now.Add(timeout)) {
		_ = d.SetWriteDeadline(now.Add(2 * timeout)) // if it fails, so does the write
	}
}

// extendForBody gives a body of so many bytes the time that it may take at the least rate.
func (d *deadlineConn) extendForBody(bytes int) {
	if d == nil {
		return
	}
	d.requestDeadline = d.requestDeadline.Add(time.Duration(bytes) * time.Second / time.Duration(d.minBodyRate))
}

// Read bounds each read of a request by StalledClient and by the end of the request.
func (d *deadlineConn) Read(b []byte) (int, error) {
	if d.requestDeadline.IsZero() {
		return d.Conn.Read(b)
	}
	deadline := time.Now().Add(ReadStallTimeout)
	if d.requestDeadline.Before(deadline) {
		deadline = d.requestDeadline
	}
	_ = d.SetReadDeadline(deadline) // if it fails, so does the read
	n, err := d.Conn.Read(b)
	if err != nil {
		// bufio reads again after an error behind half a line: that must not begin a new wait.
		d.requestDeadline = expiredDeadline
	}
	return n, err
}
