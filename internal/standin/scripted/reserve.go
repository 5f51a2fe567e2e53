package scripted

import (
	"fmt"
	"net"
	"strconv"
	"syscall"
)

// Reserve returns a loopback address with a port from the system, on which nothing listens, and which the system gives
// to no other socket until release is called. A program that is told to listen there can: the port is held by a socket
// that does not listen, and listeners in Go share an address with such a one (SO_REUSEADDR, socket(7)).
func Reserve() (address string, release func(), err error) {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, fmt.Errorf("reserve an address: %w", err)
	}
	port, err := bindLoopback(descriptor)
	if err != nil {
		_ = syscall.Close(descriptor) // the socket was not used
		return "", nil, fmt.Errorf("reserve an address: %w", err)
	}
	release = func() { _ = syscall.Close(descriptor) } // the socket was not used
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), release, nil
}

// bindLoopback binds a socket to a free port of the loopback interface.
func bindLoopback(descriptor int) (port int, err error) {
	if err := syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, err
	}
	bound, err := syscall.Getsockname(descriptor)
	if err != nil {
		return 0, err
	}
	return bound.(*syscall.SockaddrInet4).Port, nil
}

// FreeAddress returns an address of Reserve, which is released when the test ends.
func FreeAddress(t TB) string {
	t.Helper()
	address, release, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return address
}
