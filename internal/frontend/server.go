package frontend

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/hotrestart"
)

// Server accepts client connections, submits their requests to pools and writes the responses.
type Server struct {
	router   Router
	listener net.Listener
	limits   atomic.Pointer[Limits]
	spool    body.Spool // for bodies that are read ahead

	// keepAliveLimit is the number of active and idle connections over which the one that idles longest is closed;
	// 0: none is.
	keepAliveLimit int

	mu             sync.Mutex
	clients        map[*clientConn]struct{}
	stageCounts    [stageEvicted + 1]int // of clients, by their stage
	stopping       bool                  // every response closes its connection
	drainTimer     *time.Timer           // drained: as stopping, and idle connections end when it fires; nil: not drained
	listenerClosed bool                  // no more connections are accepted, and idle ones end
	peerProcess    *hotrestart.Link      // takes over the connections without a request; nil: none does

	acceptEnded chan struct{}  // closed once Serve accepts no more connections
	connections sync.WaitGroup // that are being served
}

// New returns a Server for a listener's clients.
func New(router Router, listener net.Listener, limits Limits) *Server {
	s := &Server{
		router:      router,
		listener:    listener,
		clients:     map[*clientConn]struct{}{},
		acceptEnded: make(chan struct{}),
	}
	s.limits.Store(&limits)
	s.spool.SetSize(defaultSpoolBytes)
	return s
}

// SetKeepAliveLimit has the connection that idles longest closed whenever more than so many are active or idle. It is
// called before Serve.
func (s *Server) SetKeepAliveLimit(connections int) { s.keepAliveLimit = connections }

// SetSpoolBytes gives clients' bodies so many bytes to be read ahead into.
func (s *Server) SetSpoolBytes(bytes int64) { s.spool.SetSize(bytes) }

// FreeSpoolBytes returns how much of that is free, in bytes.
func (s *Server) FreeSpoolBytes() int64 { return s.spool.Free() }

// Listener is where connections are accepted.
func (s *Server) Listener() net.Listener { return s.listener }

// Limit sets other limits. Connections over them are closed as soon as they are idle and another comes.
func (s *Server) Limit(limits Limits) { s.limits.Store(&limits) }

// Connections returns how many there are, and how many there may be.
func (s *Server) Connections() (open, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients), s.limits.Load().Connections
}

// Serve accepts connections until Stop or HandOver has closed the listener.
func (s *Server) Serve() error {
	defer close(s.acceptEnded)
	for {
		conn, err := s.listener.Accept()
		switch {
		case err == nil:
			s.ServeConn(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // out of descriptors, or a connection that broke in the queue: neither ends the service
			slog.Warn("connection not accepted", "err", err)
			s.makeRoom()
			time.Sleep(acceptRetryPause)
		}
	}
}

// ServeConn begins to serve a connection, once there is room for it.
func (s *Server) ServeConn(raw net.Conn) {
	for !s.makeRoom() {
		time.Sleep(acceptRetryPause)
	}
	client := newClientConn(raw)
	_ = client.SetReadDeadline(time.Now().Add(FirstByteTimeout)) // if it fails, so does the read
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[client] = struct{}{}
	s.stageCounts[client.stage]++
	switch {
	case s.peerProcess != nil:
		client.interruptRead()
	case s.listenerClosed: // accepted as the listener closed: a request that has come with it is served
		s.retire(client)
	}
	s.connections.Go(func() { s.runConnection(client) })
}

// runConnection serves a connection and closes it.
func (s *Server) runConnection(client *clientConn) {
	s.serveConnection(client)
	if client.closeGracefully && s.enterStage(client, stageClosing) {
		client.lingeringClose(lingerTimeout, lingerBytes)
	}
	client.Close()
	s.mu.Lock()
	s.remove(client)
	s.mu.Unlock()
}
