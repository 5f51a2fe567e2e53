package frontend

import (
	"log/slog"
	"net"
	"time"

	"olivearch/internal/acceptqueue"
)

// Drained reports whether an operator has drained the balancer.
func (s *Server) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainTimer != nil
}

// Drain begins or ends a drain. Requests that arrive during a drain are served. A connection is closed by its next
// response, or after drainIdlePeriod if it is idle then. If idle connections were closed at once, many closes would
// coincide with a request.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.drainTimer == nil:
		s.drainTimer = time.AfterFunc(drainIdlePeriod, s.retireIdleForDrain)
	case !on && s.drainTimer != nil:
		s.drainTimer.Stop()
		s.drainTimer = nil
	}
}

// retireIdleForDrain retires the idle connections, unless the drain has ended.
func (s *Server) retireIdleForDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainTimer != nil {
		s.retireIdle()
	}
}

// Stop shuts the Server down without losing a request. It accepts connections for another lameDuckPeriod, closes the
// listener, retires connections without a request, and waits until all accepted requests are answered. A request that
// has arrived in part must be complete within partialRequestGrace.
func (s *Server) Stop() {
	s.beginStop()
	time.Sleep(lameDuckPeriod)
	acceptqueue.Drain(s.listener, func(conn net.Conn) { s.connections.Go(func() { s.ServeConn(conn) }) })
	s.closeListener()
	time.Sleep(firstByteGrace)
	s.retireUnused()
	time.Sleep(partialRequestGrace)
	s.expirePartialRequests()
	<-s.acceptEnded
	s.waitForConnections()
}

// beginStop makes every response close its connection.
func (s *Server) beginStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// closeListener closes the listener, retires idle connections and closes tunnels gracefully.
func (s *Server) closeListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listenerClosed = true
	s.listener.Close()
	for c := range s.clients {
		if c.tunnel != nil {
			c.tunnel.CloseGracefully()
		}
	}
	s.retireIdle()
}

// retireUnused retires the connections on which no byte has arrived.
func (s *Server) retireUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		if c.isUnused() {
			s.retire(c)
		}
	}
}

// expirePartialRequests ends the reading of requests that have arrived in part.
func (s *Server) expirePartialRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		if c.stage == stageReading {
			c.conn.expire()
		}
	}
}

// isUnused reports whether no byte has arrived on a new connection. The caller holds the Server's lock.
func (c *clientConn) isUnused() bool { return c.stage == stageReading && !c.readingRequest }

// retireIdle retires the idle connections. The caller holds the lock.
func (s *Server) retireIdle() {
	for c := range s.clients {
		if c.stage == stageIdle {
			s.retire(c)
		}
	}
}

// retire makes the reader of a connection without a request end it: the reader serves a request that has arrived at the
// same time, or else does a lingering close. If the connection were closed here, unread bytes would cause a reset. The
// caller holds the lock.
func (s *Server) retire(client *clientConn) {
	s.setStage(client, stageClosing)
	client.interruptRead()
}

// waitForConnections waits until all connections have ended: at most for the longest time that an exchange may take,
// and for bodies that are being transferred as long as their own limits and the transfer limit allow.
func (s *Server) waitForConnections() {
	answered := make(chan struct{})
	go func() {
		s.connections.Wait()
		close(answered)
	}()
	now := time.Now()
	exchangesEnd := now.Add(max(s.router.MaxDeadline(), s.tunnelGrace()) + lameDuckPeriod)
	transfersEnd := now.Add(s.transferLimit)
	for wait := time.Until(exchangesEnd); wait > 0; wait = min(time.Until(transfersEnd), transferCheckInterval) {
		select {
		case <-answered:
			return
		case <-time.After(wait):
		}
		if !s.isTransferring() {
			break
		}
	}
	slog.Warn("client connections not closed in time")
}

// isTransferring reports whether a body is being transferred on a connection within its own limits.
func (s *Server) isTransferring() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.clients {
		if c.transferEnd.After(now) {
			return true
		}
	}
	return false
}

// allowTransfer records that a body is being transferred on a connection, which may take until a time.
func (s *Server) allowTransfer(client *clientConn, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end.After(client.transferEnd) {
		client.transferEnd = end
	}
}

// tunnelGrace returns the longest grace time of all tunnels.
func (s *Server) tunnelGrace() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest time.Duration
	for c := range s.clients {
		if c.tunnel != nil {
			longest = max(longest, c.tunnel.Grace())
		}
	}
	return longest
}

// closesConnections reports whether every response closes its connection.
func (s *Server) closesConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping || s.drainTimer != nil
}
