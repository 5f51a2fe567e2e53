package http1

import (
	"errors"
	"net"
	"syscall"
)

// PeerClosed reports, without waiting and without consuming a byte, whether the other side has closed or reset the
// connection. A connection that is not a socket counts as open.
func PeerClosed(c net.Conn) bool {
	socket, ok := Innermost(c).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var received int
	var recvErr error
	err = raw.Control(func(descriptor uintptr) { // unlike Read, Control works after a deadline has passed
		var next [1]byte
		received, _, recvErr = syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && received <= 0 && !errors.Is(recvErr, syscall.EAGAIN)
}

// Innermost returns the innermost connection that c wraps. Between two sockets io.Copy can use splice(2).
func Innermost(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ Underlying() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.Underlying()
	}
}

// Abort makes the close of a connection send a reset, so that the other side does not take a truncated message for a
// complete one.
func Abort(c net.Conn) {
	if tcp, ok := Innermost(c).(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}
