package frontend

import (
	"log/slog"
	"time"
)

// Drained reports whether an operator has drained the balancer.
func (s *Server) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainTimer != nil
}

// Drain begins a drain or ends it. Requests that come meanwhile are served: clients go on sending for a while. A
// connection is closed by its next response, or once it has been without a request for so long that most have had one:
// closed at once, many closes would cross with a request.
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

// retireIdleForDrain lets the idle connections end, unless the drain has ended.
func (s *Server) retireIdleForDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainTimer != nil {
		s.retireIdle()
	}
}

// Stop ends service without losing a request: connections that are still on their way are accepted, then the listener
// is closed, connections without a request end, and what has been accepted is answered. A request that has come in part
// has partialRequestGrace to be complete.
func (s *Server) Stop() {
	s.beginStop()
	time.Sleep(lameDuckPeriod)
	s.closeListener()
	time.Sleep(firstByteGrace)
	s.retireUnused()
	time.Sleep(partialRequestGrace)
	s.expirePartialRequests()
	<-s.acceptEnded
	s.waitForConnections()
}

// beginStop has every response close its connection.
func (s *Server) beginStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// closeListener accepts no more connections, and lets idle ones and tunnels end.
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

// retireUnused lets the connections end that have not sent a byte of a request.
func (s *Server) retireUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		if c.isUnused() {
			s.retire(c)
		}
	}
}

// expirePartialRequests ends the wait for the rest of requests that have come in part.
func (s *Server) expirePartialRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		if c.stage == stageReading {
			c.conn.expire()
		}
	}
}

// isUnused reports whether a new connection has sent no byte of a request. The caller holds the Server's lock.
func (c *clientConn) isUnused() bool { return c.stage == stageReading && !c.readingRequest }

// retireIdle lets the idle connections end. The caller holds the lock.
func (s *Server) retireIdle() {
	for c := range s.clients {
		if c.stage == stageIdle {
			s.retire(c)
		}
	}
}

// retire lets a connection without a request end: its reader looks once more whether one has come, serves that, or else
// ends with a lingering close. Closed from here, with bytes that nobody has read, it would be reset. The caller holds
// the lock.
func (s *Server) retire(client *clientConn) {
	s.setStage(client, stageClosing)
	client.interruptRead()
}

// waitForConnections waits until all that was accepted is answered.
func (s *Server) waitForConnections() {
	answered := make(chan struct{})
	go func() {
		s.connections.Wait()
		close(answered)
	}()
	longestExchange := max(s.router.MaxDeadline(), s.tunnelGrace())
	select {
	case <-answered:
	case <-time.After(longestExchange + lameDuckPeriod):
		slog.Warn("client connections not closed in time")
	}
}

// tunnelGrace is the longest time that a tunnel still has.
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
