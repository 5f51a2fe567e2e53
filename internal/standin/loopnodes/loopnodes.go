// Package loopnodes is a stand-in for many thousands of nodes on one socket: it listens at one port on every address of the
// loopback interface (127.0.0.0/8), so that each address with this port is a node, and names in its answers the one that was asked.
package loopnodes

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// NodeField is the field of an answer that names the node: the address and port at which it was asked.
const NodeField = "X-Node"

// Nodes answer at once, until Close.
type Nodes struct {
	listener net.Listener
	port     uint16
	conns    atomic.Int64
	runs     atomic.Int64
	mu       sync.Mutex
	open     map[net.Conn]bool
	closed   bool
}

// Start starts them. Nothing outside of this machine reaches them: the socket is bound to the loopback interface.
func Start() (*Nodes, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var bound error
		err := c.Control(func(fd uintptr) { bound = unix.BindToDevice(int(fd), "lo") })
		return errors.Join(err, bound)
	}}
	l, err := config.Listen(context.Background(), "tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("nodes on the loopback interface: %w", err)
	}
	n := &Nodes{listener: l, port: uint16(l.Addr().(*net.TCPAddr).Port), open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if n.enter(c) {
				go n.serve(c)
			}
		}
	}()
	return n, nil
}

func (n *Nodes) enter(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		c.Close()
		return false
	}
	n.conns.Add(1)
	n.open[c] = true
	return true
}

func (n *Nodes) serve(c net.Conn) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.open, c)
		c.Close()
	}()
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\nX-Load: util=0.1\r\n%s: %v\r\n\r\nok\n", NodeField, c.LocalAddr())
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		n.runs.Add(1)
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// At is where a node is asked, from 0 on.
func (n *Nodes) At(node int) string { return Address(node, n.port) }

// Address is a node's address with a port, for nodes from 0 to a million: 127.64.0.1 is the first, and .0 and .255 at an end are left out.
func Address(node int, port uint16) string {
	v := node/254<<8 | (node%254 + 1)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(64 + v>>16), byte(v >> 8), byte(v)}), port).String()
}

// Connections counts those that have come up, and Runs the requests answered.
func (n *Nodes) Connections() int64 { return n.conns.Load() }

// Runs counts the requests that were answered.
func (n *Nodes) Runs() int64 { return n.runs.Load() }

// Close takes no more connections and closes those that are open.
func (n *Nodes) Close() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for c := range n.open {
		c.Close()
	}
	return n.listener.Close()
}
