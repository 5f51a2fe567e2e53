package upstream

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"olivearch/internal/http1"
)

// readBufferSize is the size in bytes of a connection's read buffer.
const readBufferSize = 2 << 10

var (
	// errGivenUp says that an attempt was given up as its response came.
	errGivenUp = errors.New("given up")
	// errStale says that an idle connection was closed by the other side, or that unsolicited bytes came on it.
	errStale = errors.New("closed while idle")
)

// conn is a connection to an upstream, owned by the goroutine that carries its attempt. Only giveUp is called
// from others.
type conn struct {
	*http1.Stream
	address         string
	rawConn         syscall.RawConn
	giveUp          func(at time.Time) // see newGiveUp
	readDeadlineSet atomic.Bool
	writeClosed     atomic.Bool // giveUp has ended this side
	writeDeadline   time.Time

	readByte  func(fd uintptr) bool // reads a byte without waiting, into readCount and readErr
	readCount int
	readErr   error
}

func newConn(socket net.Conn, address string) *conn {
	c := &conn{Stream: http1.NewStream(socket, readBufferSize), address: address}
	c.rawConn, c.readErr = socket.(syscall.Conn).SyscallConn()
	c.giveUp = c.newGiveUp(socket)
	c.readByte = func(fd uintptr) bool {
		var buffer [1]byte
		c.readCount, c.readErr = syscall.Read(int(fd), buffer[:])
		return true
	}
	return c
}

// newGiveUp returns the function that bounds the wait for a response. If its time has passed, it ends this
// side at once: if that were left to the goroutine of the connection, the attempt could still be open as the
// next one is written.
func (c *conn) newGiveUp(socket net.Conn) func(at time.Time) {
	return func(at time.Time) {
		halfCloser, ok := socket.(interface{ CloseWrite() error })
		if ok && !at.After(time.Now()) {
			c.writeClosed.Store(true)
			_ = halfCloser.CloseWrite() // fails only on a connection that is closed
		}
		_ = c.SetReadDeadline(at) // likewise
	}
}

func (c *conn) Address() string { return c.address }

// Reuse removes a read deadline that may have been set as the response came.
func (c *conn) Reuse() error {
	if c.writeClosed.Load() {
		return errGivenUp
	}
	if !c.readDeadlineSet.Swap(false) {
		return nil
	}
	return c.Stream.SetReadDeadline(time.Time{})
}

// SetReadDeadline bounds the reads until Reuse.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.readDeadlineSet.Store(true)
	return c.Stream.SetReadDeadline(at)
}

// SetWriteDeadline bounds the writes that follow.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.writeDeadline = at
	return c.Stream.SetWriteDeadline(at)
}

// limitWrites bounds the writes that follow by a duration or up to twice that: one deadline serves many
// requests, since setting it costs as much as a good part of a request.
func (c *conn) limitWrites(within time.Duration) {
	now := time.Now()
	latest := now.Add(2 * within)
	tooEarly := c.writeDeadline.Before(now.Add(within))
	tooLate := c.writeDeadline.After(latest)
	if tooEarly || tooLate {
		_ = c.SetWriteDeadline(latest) // if it fails so does the write
	}
}

// checkIdle returns an error if an idle connection can't be used again. It does not wait.
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

// hasUnsolicited returns whether checkIdle has found bytes of which no request is the cause.
func (c *conn) hasUnsolicited() bool { return c.readCount > 0 || c.Buffered() > 0 }
