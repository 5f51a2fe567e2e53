package frontend

import (
	"log/slog"
	"time"
)

// stage is the stage of a client's connection. The package comment has the transitions. Connections in earlier stages
// are evicted first.
type stage uint8

const (
	stageClosing stage = iota // the reader ends it unless a request has arrived, or it is in a lingering close
	stageReading              // before the first request, or while a request is read or rejected
	stageIdle                 // between requests
	stageActive               // a complete request is being served
	stageEvicted              // closed to make room
)

// setStage moves a connection to a stage. The caller holds the lock.
func (s *Server) setStage(client *clientConn, to stage) {
	s.stageCounts[client.stage]--
	s.stageCounts[to]++
	client.stage = to
	client.stageSince = time.Now()
	client.transferEnd = time.Time{}
}

// remove removes a connection from the Server. The caller holds the lock.
func (s *Server) remove(client *clientConn) {
	if _, ok := s.clients[client]; ok {
		s.stageCounts[client.stage]--
		delete(s.clients, client)
	}
}

// enterStage moves a connection to a stage. It is called by the goroutine that serves the connection. It returns false
// if the connection has been evicted, or may not become idle because it is to end. A connection in stageClosing on
// which a request has arrived is closed after that request.
func (s *Server) enterStage(client *clientConn, to stage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if client.stage == stageClosing {
		client.closeAfterResponse = true
	}
	if client.stage == stageEvicted || (to == stageIdle && !s.mayIdle(client)) {
		return false
	}
	s.setStage(client, to)
	client.readingRequest = to == stageReading
	if to != stageIdle {
		return true
	}
	if s.peerProcess != nil {
		client.interruptRead() // the reader hands the connection over
	} else {
		client.conn.setIdleDeadline(keepAliveTimeout)
	}
	s.enforceKeepAliveLimit()
	return true
}

// mayIdle reports whether a connection may wait for another request. The caller holds the lock.
func (s *Server) mayIdle(client *clientConn) bool {
	if client.closeAfterResponse {
		return false
	}
	return !s.listenerClosed || s.peerProcess != nil
}

// enforceKeepAliveLimit retires the longest idle connection if the keep-alive limit is exceeded. The caller holds the
// lock.
func (s *Server) enforceKeepAliveLimit() {
	if s.keepAliveLimit <= 0 || s.stageCounts[stageIdle]+s.stageCounts[stageActive] <= s.keepAliveLimit {
		return
	}
	if candidate := s.evictionCandidate(stageIdle); candidate != nil {
		s.retire(candidate)
	}
}

// makeRoom reports whether there is room for one more connection. At the limit it evicts a connection, but never an
// active one. The limit keeps file descriptors available for upstreams and discovery.
func (s *Server) makeRoom() (hasRoom bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.clients) < s.limits.Load().Connections {
		return true
	}
	candidate := s.evictionCandidate(stageClosing)
	if candidate == nil || (candidate.stage == stageIdle && s.mayEndUnserved()) {
		return false
	}
	s.logEviction(candidate)
	s.setStage(candidate, stageEvicted) // without a lingering close, since its file descriptor is needed now
	candidate.Close()
	s.remove(candidate)
	return true
}

// mayEndUnserved reports whether a connection is so new that its client may have gone already, so that it need not be
// an idle one that makes room. The caller holds the lock.
func (s *Server) mayEndUnserved() bool {
	for c := range s.clients {
		if c.stage == stageReading && time.Since(c.silentSince()) < firstByteGrace {
			return true
		}
	}
	return false
}

// logEviction logs a connection that is closed to make room. The caller holds the lock.
func (s *Server) logEviction(client *clientConn) {
	suppressed, ok := s.evictionLog.Admit()
	if !ok {
		return
	}
	slog.Info("client connection closed to make room", "status", client.stage.String(),
		"age", time.Since(client.stageSince), "address", client.address(), "suppressed", suppressed)
}

// String returns the name of a stage in logs.
func (s stage) String() string {
	switch s {
	case stageClosing:
		return "closing"
	case stageReading:
		return "reading"
	case stageIdle:
		return "idle"
	case stageActive:
		return "active"
	case stageEvicted:
		return "evicted"
	}
	return "unknown"
}

// evictionCandidate returns the evictable connection that isEvictedBefore orders first, of those in the stage from or a
// later one; nil: there is none. The caller holds the lock.
func (s *Server) evictionCandidate(from stage) *clientConn {
	var candidate *clientConn
	for c := range s.clients {
		if c.stage < from || !c.isEvictable() {
			continue
		}
		if candidate == nil || c.isEvictedBefore(candidate) {
			candidate = c
		}
	}
	return candidate
}

// isEvictable reports whether the connection may be closed to make room. The caller holds the Server's lock.
func (c *clientConn) isEvictable() bool {
	switch c.stage {
	case stageActive, stageEvicted:
		return false
	case stageReading:
		return time.Since(c.silentSince()) >= firstByteGrace
	default:
		return true
	}
}

// isEvictedBefore orders evictable connections: those in stageClosing, then those that never sent a byte, then those in
// the middle of a request or between two; among equals the longest silent first. So a request that still moves outlives
// a connection that does nothing. The caller holds the Server's lock.
func (c *clientConn) isEvictedBefore(other *clientConn) bool {
	if c.evictionRank() != other.evictionRank() {
		return c.evictionRank() < other.evictionRank()
	}
	return c.silentSince().Before(other.silentSince())
}

// evictionRank returns the group of a connection in the order of eviction. The caller holds the Server's lock.
func (c *clientConn) evictionRank() int {
	switch {
	case c.stage == stageClosing:
		return 0
	case c.isUnused():
		return 1
	default:
		return 2
	}
}

// silentSince returns when the client last sent bytes of a request, or when its connection entered its stage. A client
// that the balancer itself lets wait is not silent. The caller holds the Server's lock.
func (c *clientConn) silentSince() time.Time {
	if c.conn.isHeldUp() {
		return time.Now()
	}
	if c.stage != stageReading || !c.readingRequest {
		return c.stageSince
	}
	lastRead := c.conn.lastRead.Time()
	if lastRead.After(c.stageSince) {
		return lastRead
	}
	return c.stageSince
}
