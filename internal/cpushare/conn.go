package cpushare

import (
	"io"
	"net"
)

// Conn is a connection whose reads are waits of a Flow. One goroutine at a time reads from it.
type Conn struct {
	net.Conn
	flow Flow
}

// NewConn returns a Conn whose flow has its whole free share.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Read implements io.Reader.
func (c *Conn) Read(buffer []byte) (int, error) { return c.flow.Read(c.Conn, buffer) }

// Restart begins a step after a wait for something else than the peer.
func (c *Conn) Restart() { c.flow.Restart() }

// Underlying returns the connection that c wraps.
func (c *Conn) Underlying() net.Conn { return c.Conn }

// Listener accepts connections as Conns of newcomers. Accepting them is a flow of its own. One goroutine accepts.
type Listener struct {
	net.Listener
	flow Flow
}

// NewListener returns a Listener that accepts what listener does.
func NewListener(listener net.Listener) *Listener {
	created := &Listener{Listener: listener}
	created.flow.ServeNewcomers()
	return created
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.flow.BeginWait()
	conn, err := l.Listener.Accept()
	l.flow.EndWait()
	if err != nil {
		return nil, err
	}
	accepted := NewConn(conn)
	accepted.flow.StartAsNewcomer()
	return accepted, nil
}

// Reader reads from a peer between steps of a flow.
type Reader struct {
	Flow *Flow
	Peer io.Reader
}

// Read implements io.Reader.
func (r Reader) Read(buffer []byte) (int, error) { return r.Flow.Read(r.Peer, buffer) }
