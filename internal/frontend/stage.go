package frontend

import "time"

// stage is what a client's connection may be used for. Its transitions are in the package's comment. The order is that
// of eviction: earlier ones are closed first.
type stage uint8

const (
	stageClosing stage = iota // it ends once nothing more has come, or this side has ended already
	stageReading              // no complete request has come yet, or it is being rejected
	stageIdle                 // between requests
	stageActive               // a request is in it
	stageEvicted              // closed to make room
)

// setStage takes a connection to a stage. The caller holds the lock.
func (s *Server) setStage(client *clientConn, to stage) {
	s.stageCounts[client.stage]--
	s.stageCounts[to]++
	client.stage = to
	client.stageSince = time.Now()
}

// remove takes a connection out of the Server's. The caller holds the lock.
func (s *Server) remove(client *clientConn) {
	if _, ok := s.clients[client]; ok {
		s.stageCounts[client.stage]--
		delete(s.clients, client)
	}
}

// enterStage takes a connection to a stage for the goroutine that serves it. It fails if the connection has been
// evicted meanwhile, or is to end. One that was to end when a request came is served once more.
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
		client.interruptRead() // the reader hands it over
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

// enforceKeepAliveLimit lets the connection that idles longest end where there are too many. The caller holds the lock.
func (s *Server) enforceKeepAliveLimit() {
	if s.keepAliveLimit <= 0 || s.stageCounts[stageIdle]+s.stageCounts[stageActive] <= s.keepAliveLimit {
		return
	}
	if candidate := s.evictionCandidate(stageIdle); candidate != nil {
		s.retire(candidate)
	}
}

// makeRoom reports whether there is room for one more connection. Where there is none it closes one, never one with a
// request in it. Descriptors that run out would be missing to upstreams and discovery too.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.clients) < s.limits.Load().Connections {
		return true
	}
	candidate := s.evictionCandidate(stageClosing)
	if candidate == nil {
		return false
	}
	s.setStage(candidate, stageEvicted) // closed at once, since its descriptor is needed now
	candidate.Close()
	s.remove(candidate)
	return true
}

// evictionCandidate returns the connection that has been longest at the first of the stages from the given one on that
// has any, but none with a request in it; nil: there is none. The caller holds the lock.
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
		return time.Since(c.stageSince) >= firstByteGrace
	default:
		return true
	}
}

// isEvictedBefore compares two evictable connections. The caller holds the Server's lock.
func (c *clientConn) isEvictedBefore(other *clientConn) bool {
	if c.stage != other.stage {
		return c.stage < other.stage
	}
	return c.stageSince.Before(other.stageSince)
}
