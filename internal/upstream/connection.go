package upstream

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"olivearch/internal/cpushare"
	"olivearch/internal/http1"
)

// copyWindow is how long after a rejection or an error another one on the same connection may be a copy of it, since
// neither has a body that tells them apart.
const copyWindow = time.Second

// readBufferSize is the size in bytes of a connection's read buffer.
const readBufferSize = 2 << 10

var (
	// errGivenUp is the error of a connection whose attempt was given up while its response arrived.
	errGivenUp = errors.New("connection unusable: its last attempt was given up")
	// errStale is the error of an idle connection that the upstream has closed or on which unsolicited bytes
	// arrived.
	errStale = errors.New("idle connection closed, or unsolicited bytes received")
)

// conn is a connection to an upstream. It is owned by the goroutine that makes its attempt. Only GiveUp and HasUnread
// are called from other goroutines.
type conn struct {
	*http1.Stream
	address         string
	rawConn         syscall.RawConn
	socket          *cpushare.Conn // the connection below Stream
	readDeadlineSet atomic.Bool
	writeClosed     atomic.Bool // the write side was closed
	writeDeadline   time.Time
	responses       history   // read on this connection
	openings        openings  // of those of unknown length
	unrecognisable  bool      // a second copy of one of its responses would not be recognised
	refusedAt       time.Time // when the last rejection or error was read on it; zero: none was

	readByte  func(fd uintptr) bool // reads a byte without waiting; sets readCount and readErr
	readCount int
	readErr   error
}

func newConn(socket net.Conn, address string) *conn {
	shared := cpushare.NewConn(socket)
	c := &conn{Stream: http1.NewStream(shared, readBufferSize), socket: shared, address: address}
	c.rawConn, c.readErr = socket.(syscall.Conn).SyscallConn()
	c.readByte = func(fd uintptr) bool {
		var buffer [1]byte
		c.readCount, c.readErr = syscall.Read(int(fd), buffer[:])
		return true
	}
	return c
}

// GiveUp implements ResponseWaiter. If the time has passed, it closes the write side at once. If the goroutine of the
// connection did that later, the upstream could still consider the attempt open when the next one is written.
func (c *conn) GiveUp(at time.Time) {
	if !at.After(time.Now()) {
		c.writeClosed.Store(true)
		endSending(c.socket.Conn)
	}
	_ = c.SetReadDeadline(at) // fails only on a closed connection
}

// HasUnread implements ResponseWaiter.
func (c *conn) HasUnread() bool { return http1.Peek(c.socket).HasUnread() }

// endWriting closes the write side. A write that is waiting fails, and the connection can't be reused. Any goroutine
// may call it.
func (c *conn) endWriting() {
	c.writeClosed.Store(true)
	if halfCloser, ok := http1.Innermost(c).(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite() // fails only on a closed connection
	}
}

func (c *conn) Address() string { return c.address }

// Reuse removes the read deadline, if one was set. It returns errGivenUp if GiveUp has closed the write side.
func (c *conn) Reuse() error {
	if c.writeClosed.Load() {
		return errGivenUp
	}
	if !c.readDeadlineSet.Swap(false) {
		return nil
	}
	return c.Stream.SetReadDeadline(time.Time{})
}

// SetReadDeadline sets a deadline of reads, which Reuse removes.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.readDeadlineSet.Store(true)
	return c.Stream.SetReadDeadline(at)
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.writeDeadline = at
	return c.Stream.SetWriteDeadline(at)
}

// limitWrites sets the write deadline to between once and twice the duration from now. It keeps a deadline that is
// within that range, since setting one takes a considerable part of the time of a request.
func (c *conn) limitWrites(within time.Duration) {
	now := time.Now()
	latest := now.Add(2 * within)
	tooEarly := c.writeDeadline.Before(now.Add(within))
	tooLate := c.writeDeadline.After(latest)
	if tooEarly || tooLate {
		_ = c.SetWriteDeadline(latest) // if it fails, so does the write
	}
}

// remember adds a response to those that will be recognised if they come again. It returns false if one of the
// responses on the connection would not be: its body is short or was streamed, or there were too many since.
func (c *conn) remember(identity fingerprint, content []byte, framing http1.Framing) bool {
	if !c.responses.add(identity, connectionHistory) {
		c.unrecognisable = true
	}
	if framing.Chunked && !c.openings.add(content) {
		c.unrecognisable = true
	}
	return !c.unrecognisable
}

// noteRefusal records that a rejection or an error has been read. It reports whether that may be a second copy of an
// earlier one.
func (c *conn) noteRefusal() (mayBeCopy bool) {
	now := time.Now()
	mayBeCopy = !c.refusedAt.IsZero() && now.Sub(c.refusedAt) < copyWindow
	c.refusedAt = now
	return mayBeCopy
}

// checkIdle returns an error if an idle connection can't be reused. It does not wait.
func (c *conn) checkIdle() error {
	if c.rawConn == nil {
		return c.readErr
	}
	if err := c.rawConn.Read(c.readByte); err != nil {
		return err
	}
	waiting := errors.Is(c.readErr, syscall.EAGAIN)
	if c.hasUnsolicited() || !waiting {
		return errStale
	}
	return nil
}

// hasUnsolicited reports whether checkIdle has found unsolicited bytes.
func (c *conn) hasUnsolicited() bool { return c.readCount > 0 || c.Buffered() > 0 }
