package frontend

import (
	"errors"
	"syscall"
)

// Connected examines, without waiting and without consuming a byte, whether the client is still connected. What it has
// sent beyond its request is the reader's to see.
func (c *clientConn) Connected() bool {
	socket, ok := c.conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	connected := true
	err = raw.Control(func(fd uintptr) {
		n, err := peekByte(fd)
		broken := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
		connected = n > 0 || (err != nil && !broken)
	})
	closedHere := err != nil
	return connected && !closedHere
}

// hasPendingBytes reports whether bytes of the client wait to be read.
func (c *clientConn) hasPendingBytes() bool {
	if c.Buffered() > 0 {
		return true
	}
	socket, ok := c.conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	_ = raw.Control(func(fd uintptr) { // fails on a closed connection, which has none
		n, err := peekByte(fd)
		pending = err == nil && n > 0
	})
	return pending
}

// peekByte looks at the next byte of a socket without consuming it, and does not wait for one.
func peekByte(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
