package frontend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/clock"
	"olivearch/internal/cpushare"
)

// expiredDeadline is a deadline in the past.
var expiredDeadline = time.Unix(0, 1)

// deadlineConn sets the deadlines of a connection. Setting one takes a considerable part of the time of serving a
// request, so the deadlines of writes and of idle connections are only replaced if they are too early.
type deadlineConn struct {
	net.Conn

	// Used only by the reader.
	requestDeadline time.Time // by which the current request must be read; zero: no request is being read
	minBodyRate     int       // minimum rate of a request body, in bytes per second
	onRead          func()    // see setOnRead; nil: nobody is notified
	flow            cpushare.Flow

	writeDeadline time.Time // used by the writer, and by the reader while no exchange is pending

	lastRead      clock.Moment // when bytes of a request were last read
	awaitsReserve atomic.Bool  // the request waits for memory or for a place

	mu           sync.Mutex
	readDeadline time.Time // zero: none
	expired      bool      // set by expire: the read deadline stays in the past
}

// Underlying returns the connection that d wraps.
func (d *deadlineConn) Underlying() net.Conn { return d.Conn }

// SetReadDeadline sets the deadline of reads. It has no effect after expire.
func (d *deadlineConn) SetReadDeadline(at time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired {
		at = expiredDeadline
	}
	d.readDeadline = at
	return d.Conn.SetReadDeadline(at)
}

// SetWriteDeadline sets the deadline of writes. It is called by the goroutine that writes.
func (d *deadlineConn) SetWriteDeadline(at time.Time) error {
	d.writeDeadline = at
	return d.Conn.SetWriteDeadline(at)
}

// expire ends the reading of an incomplete request: the current read and all later ones time out.
func (d *deadlineConn) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expired = true
	d.readDeadline = expiredDeadline
	_ = d.Conn.SetReadDeadline(expiredDeadline) // fails on a closed connection, as the read does then
}

// removeReadDeadline lets reads take any time. The caller holds the lock.
func (d *deadlineConn) removeReadDeadline() {
	d.readDeadline = time.Time{}
	_ = d.Conn.SetReadDeadline(time.Time{}) // fails on a closed connection, as the read does then
}

// setIdleDeadline sets the read deadline of an idle connection: after the timeout, or up to an eighth of it later.
func (d *deadlineConn) setIdleDeadline(timeout time.Duration) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.readDeadline.Before(now.Add(timeout)) {
		d.readDeadline = now.Add(timeout + timeout/8)
		_ = d.Conn.SetReadDeadline(d.readDeadline) // fails on a closed connection, as the read does then
	}
}

// setWriteTimeout sets the deadline of writes to between once and twice the timeout from now.
func (d *deadlineConn) setWriteTimeout(timeout time.Duration) {
	now := time.Now()
	if d.writeDeadline.Before(now.Add(timeout)) {
		_ = d.SetWriteDeadline(now.Add(2 * timeout)) // if it fails, so does the write
	}
}

// extendForBody extends the request deadline by the time that a body of this size takes at the minimum rate. It does
// nothing for a nil deadlineConn.
func (d *deadlineConn) extendForBody(bytes int) {
	if d == nil {
		return
	}
	d.requestDeadline = d.requestDeadline.Add(time.Duration(bytes) * time.Second / time.Duration(d.minBodyRate))
}

// isHeldUp reports whether the balancer lets the client wait, so that its silence says nothing. Any goroutine may call
// it.
func (d *deadlineConn) isHeldUp() bool { return d.flow.AwaitsTurn() || d.awaitsReserve.Load() }

// setOnRead sets who is notified when bytes of a request's body have been read. It does nothing for a nil deadlineConn.
func (d *deadlineConn) setOnRead(notify func()) {
	if d != nil {
		d.onRead = notify
	}
}

// Read implements io.Reader. Each read of a request times out after ReadStallTimeout and at the request deadline.
func (d *deadlineConn) Read(b []byte) (int, error) {
	d.flow.BeginWait() // before the deadline is set: the time in which the balancer lets the client wait is not its own
	defer d.flow.EndWait()
	if d.requestDeadline.IsZero() {
		return d.Conn.Read(b)
	}
	now := time.Now()
	deadline := now.Add(ReadStallTimeout)
	if d.requestDeadline.Before(deadline) {
		deadline = d.requestDeadline
	}
	_ = d.SetReadDeadline(deadline) // if it fails, so does the read
	n, err := d.Conn.Read(b)
	d.lastRead.Set(time.Now())
	if d.onRead != nil && n > 0 {
		d.onRead()
	}
	if err != nil {
		// bufio reads again after an error in the middle of a line. That read must not start a new timeout.
		d.requestDeadline = expiredDeadline
	}
	return n, err
}
