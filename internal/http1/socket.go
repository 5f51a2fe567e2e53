package http1

import (
	"errors"
	"net"
	"syscall"
)

// PeerClosed looks, without waiting and without taking anything, whether the other side has closed or broken a
// connection. A connection that is no socket counts as open.
func PeerClosed(c net.Conn) bool {
	socket, ok := Under(c).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	var received int
	var recvErr error
	err = raw.Control(func(descriptor uintptr) { // unlike Read, Control works after a deadline
		var next [1]byte
		received, _, recvErr = syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && received <= 0 && !errors.Is(recvErr, syscall.EAGAIN)
}

// Under returns the innermost connection below c, which io.Copy can move bytes from and to without reading them.
func Under(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ Under() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.Under()
	}
}

// Abort makes the close of a connection a reset, so that the other side does not take what was written for complete.
func Abort(c net.Conn) {
	if tcp, ok := Under(c).(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
}
