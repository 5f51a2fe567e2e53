package scripted

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// ethernetSegment is the size in bytes of the segments of a connection over Ethernet. Those of the loopback interface
// have 64 KiB.
const ethernetSegment = 1460

// Pair returns both sides of a loopback connection, which are closed when the test ends.
func Pair(t TB) (dialled, accepted *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return Connect(t, listener)
}

// Connect returns both sides of a connection to a listener on which nobody else accepts. They are closed when the test
// ends.
func Connect(t TB, listener net.Listener) (dialled, accepted *net.TCPConn) {
	t.Helper()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	return near.(*net.TCPConn), far.(*net.TCPConn)
}

// ListenWithSmallBuffer listens on a loopback port with the segments of Ethernet and a receive buffer of the given size
// in bytes, so that the system does not accept much that nobody reads. The listener is closed when the test ends.
func ListenWithSmallBuffer(t TB, receiveBuffer int) net.Listener {
	t.Helper()
	var optionErr error
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			fd := int(descriptor)
			optionErr = errors.Join(
				syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment),
				syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
			)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err = errors.Join(err, optionErr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}
