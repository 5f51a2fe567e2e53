// Package acceptqueue accepts the connections that wait in the queue of a listener that is about to be closed. The
// system resets those that are still there at the close, although their clients may have sent requests.
package acceptqueue

import (
	"errors"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxFailures bounds the errors of single connections that are passed over.
const maxFailures = 1000

// Drain accepts the connections that wait in a listener's queue, without waiting for further ones, and passes each to
// serve. It does nothing for a listener that is not a socket or has been closed.
func Drain(listener net.Listener, serve func(net.Conn)) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	for failures := 0; failures < maxFailures; {
		conn, err := acceptQueued(raw)
		switch {
		case err == nil:
			serve(conn)
		case concernsOneConnection(err):
			failures++
		default: // the queue is empty, the listener is closed, or there is no descriptor
			return
		}
	}
}

// concernsOneConnection reports whether an error of accept says nothing of the rest of the queue.
func concernsOneConnection(err error) bool {
	return errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) || errors.Is(err, unix.EPROTO)
}

// acceptQueued accepts one connection without waiting.
func acceptQueued(raw syscall.RawConn) (net.Conn, error) {
	descriptor := -1
	var acceptErr error
	err := raw.Control(func(listening uintptr) {
		descriptor, _, acceptErr = unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	if err := errors.Join(err, acceptErr); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(descriptor), "accepted connection")
	defer file.Close() // the connection has a descriptor of its own
	return net.FileConn(file)
}
