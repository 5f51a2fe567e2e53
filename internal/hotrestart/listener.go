package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
)

const (
	// network keeps the bounds of messages, and tells when the other end has closed (SOCK_SEQPACKET in unix(7)).
	network = "unixpacket"
	// maxSocketPath is the length in bytes of the longest path in the address of a Unix socket: sun_path in unix(7) has
	// 108 with the byte that ends it.
	maxSocketPath = 107
)

// Listener accepts links from a new process.
type Listener struct{ socket *net.UnixListener }

// Listen listens at a path, in the place of any process that did before.
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
	socket.SetUnlinkOnClose(false) // by then the path belongs to the next process
	return &Listener{socket}, nil
}

// Accept waits for a link. It returns an error that wraps net.ErrClosed after Close.
func (l *Listener) Accept() (*Link, error) {
	conn, err := l.socket.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return &Link{conn: conn}, nil
}

// Close stops listening. Accepted links stay open.
func (l *Listener) Close() error { return l.socket.Close() }

// socketAddress returns an address for a path. A path that is too long for one is reached through a descriptor of its
// folder, which stays open until release is called.
func socketAddress(path string) (address *net.UnixAddr, release func(), err error) {
	if len(path) <= maxSocketPath {
		return &net.UnixAddr{Name: path, Net: network}, func() {}, nil
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	short := fmt.Sprintf("/proc/self/fd/%d/%s", folder.Fd(), filepath.Base(path))
	return &net.UnixAddr{Name: short, Net: network}, func() { folder.Close() }, nil
}
