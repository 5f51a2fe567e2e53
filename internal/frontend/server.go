package frontend

import (
	"errors"
	"log/slog"
	"math"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/budget"
	"olivearch/internal/cpushare"
	"olivearch/internal/hotrestart"
	"olivearch/internal/http1"
	"olivearch/internal/loglimit"
)

// Server accepts client connections on a listener, submits their requests to pools and writes the responses.
type Server struct {
	router   Router
	listener net.Listener
	limits   atomic.Pointer[Limits]
	spool    body.Spool     // for request bodies that are read ahead; a part of memory
	memory   *budget.Budget // for request bodies, in bytes
	places   *budget.Budget // for request bodies that are streamed to upstreams

	// keepAliveLimit is the number of active and idle connections above which the longest idle one is closed; 0: no
	// limit.
	keepAliveLimit int

	transferLimit time.Duration // see SetTransferLimit

	rejectionLog, evictionLog loglimit.Shared

	mu             sync.Mutex
	clients        map[*clientConn]struct{}
	stageCounts    [stageEvicted + 1]int // number of clients in each stage
	stopping       bool                  // every response closes its connection
	drainTimer     *time.Timer           // closes idle connections after drainIdlePeriod; nil: no drain
	listenerClosed bool                  // no more connections are accepted, and idle ones are closed
	peerProcess    *hotrestart.Link      // takes over the connections without a request; nil: no hot restart

	acceptEnded chan struct{}  // closed when Serve returns
	connections sync.WaitGroup // connections that are being served
}

// New returns a Server for the clients of a listener.
func New(router Router, listener net.Listener, limits Limits) *Server {
	created := &Server{
		router:      router,
		listener:    listener,
		clients:     map[*clientConn]struct{}{},
		acceptEnded: make(chan struct{}),
		memory:      budget.New(0),
		places:      budget.New(math.MaxInt64),
	}
	created.limits.Store(&limits)
	created.spool.Within(readAheadMemory{created.memory})
	created.SetSpoolBytes(defaultSpoolBytes)
	return created
}

// SetKeepAliveLimit sets the number of active and idle connections above which the longest idle one is closed; 0: no
// limit. It is called before Serve.
func (s *Server) SetKeepAliveLimit(connections int) { s.keepAliveLimit = connections }

// SetSpoolBytes sets the memory, in bytes, for request bodies that are read ahead. A third of it and minBufferBytes
// more are for the first parts of all bodies.
func (s *Server) SetSpoolBytes(bytes int64) {
	s.spool.SetSize(bytes)
	s.memory.SetSize(bytes*bufferFraction/(bufferFraction-1) + minBufferBytes)
}

// SetUploadPlaces sets how many request bodies may be streamed to upstreams at once; without it any number. It is
// called before Serve.
func (s *Server) SetUploadPlaces(places int) { s.places.SetSize(int64(places)) }

// Budgets returns the usage of the memory for request bodies, in bytes, and of the places for those that are streamed.
func (s *Server) Budgets() (memory, places budget.Usage) { return s.memory.Usage(), s.places.Usage() }

// readAheadMemory is the Server's memory for blocks that are read ahead, which leave a part of it free for buffers.
type readAheadMemory struct{ *budget.Budget }

// TryReserve implements body.Reserve.
func (m readAheadMemory) TryReserve(bytes int64) bool {
	return m.Budget.TryReserve(bytes, m.Usage().Size/bufferFraction)
}

// SetTransferLimit sets how long a shutdown waits for bodies that are being transferred within the limits of their
// routes; 0: no longer than for other exchanges.
func (s *Server) SetTransferLimit(limit time.Duration) { s.transferLimit = limit }

// FreeSpoolBytes returns the free part of the memory that SetSpoolBytes sets, in bytes.
func (s *Server) FreeSpoolBytes() int64 { return s.spool.Free() }

// Listener returns the listener on which connections are accepted.
func (s *Server) Listener() net.Listener { return s.listener }

// SetLimits changes the limits. If more connections are open than the new limit allows, they stay open, and each new
// connection evicts one of them.
func (s *Server) SetLimits(limits Limits) { s.limits.Store(&limits) }

// Connections returns the number of open connections and its limit.
func (s *Server) Connections() (open, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients), s.limits.Load().Connections
}

// Serve accepts connections until Stop or HandOver has closed the listener.
func (s *Server) Serve() error {
	defer close(s.acceptEnded)
	cpushare.Start()
	var flow cpushare.Flow // of all clients that connect
	flow.ServeNewcomers()
	for {
		flow.BeginWait()
		conn, err := s.listener.Accept()
		flow.EndWait()
		switch {
		case err == nil && http1.Peek(conn).AtEnd():
			conn.Close() // the client has left without a byte: it must not take the time of those behind it
		case err == nil:
			s.ServeConn(conn)
			runtime.Gosched() // a full accept queue must not delay those that are accepted
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // out of file descriptors, or a connection that broke in the accept queue: neither ends Serve
			slog.Warn("connection not accepted", "err", err)
			s.makeRoom()
			time.Sleep(acceptRetryPause)
		}
	}
}

// ServeConn starts serving a connection. It waits until there is room for it.
func (s *Server) ServeConn(raw net.Conn) {
	s.awaitRoom()
	client := newClientConn(raw)
	client.holding = s.newHolding(client)
	_ = client.SetReadDeadline(time.Now().Add(FirstByteTimeout)) // if it fails, so does the read
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[client] = struct{}{}
	s.stageCounts[client.stage]++
	switch {
	case s.peerProcess != nil:
		client.interruptRead()
	case s.listenerClosed: // accepted while the listener was closed: a request that has arrived is still served
		s.retire(client)
	}
	s.connections.Go(func() { s.runConnection(client) })
}

// awaitRoom waits until there is room for a connection.
func (s *Server) awaitRoom() {
	for !s.makeRoom() {
		time.Sleep(acceptRetryPause)
	}
}

// runConnection serves a connection to its end and closes it.
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
