package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
)

const (
	// network preserves message boundaries, and reports when the other end has closed (SOCK_SEQPACKET in unix(7)).
	network = "unixpacket"
	// maxSocketPath is the length of the longest path in a Unix socket's address, in bytes: sun_path in unix(7) has
	// 108 with the terminating null byte.
	maxSocketPath = 107
)

// Listener accepts links from a new process.
type Listener struct{ socket *net.UnixListener }

// Listen listens at a path. It replaces the socket of a process that listened there before.
func Listen(path string) (*Listener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	address, release, err := socketAddress(path)
	if err != nil {
		return nil, err
	}
	defer release()
	socket, err := net.ListenUnix(network, address)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	socket.SetUnlinkOnClose(false) // when it closes, the path may belong to the next process
	return &Listener{socket}, nil
}

// Accept waits for a link. After Close its error wraps net.ErrClosed.
func (l *Listener) Accept() (*Link, error) {
	conn, err := l.socket.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return &Link{conn: conn}, nil
}

// Close stops listening. Accepted links stay open.
func (l *Listener) Close() error { return l.socket.Close() }

// socketAddress returns the socket address of a path. A path that is too long for an address is replaced by one through
// a descriptor of its folder, which stays open until release is called.
func socketAddress(path string) (address *net.UnixAddr, release func(), err error) {
	if len(path) <= maxSocketPath {
		return &net.UnixAddr{Name: path, Net: network}, func() {}, nil
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	shortPath := fmt.Sprintf("/proc/self/fd/%d/%s", folder.Fd(), filepath.Base(path))
	return &net.UnixAddr{Name: shortPath, Net: network}, func() { folder.Close() }, nil
}
