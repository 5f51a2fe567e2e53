package frontend

import (
	"errors"
	"syscall"
)

// Connected reports, without waiting and without consuming a byte, whether the client is still connected. It ignores
// bytes beyond the request, which the reader handles.
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

// hasPendingBytes reports whether bytes from the client are ready to be read.
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
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection, which has no pending bytes
		n, err := peekByte(fd)
		pending = err == nil && n > 0
	})
	return pending
}

// peekByte peeks at the next byte of a socket without waiting. It returns 1 if there is one, and 0 at the end of input.
func peekByte(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
