// Package frontend serves client connections: it accepts them within bounds, reads their requests, hands these to a router and
// writes the one response that each of them gets.
package frontend

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/hotrestart"
	"olivearch/internal/http1"
)

const (
	// drainIdlePeriod is how long idle connections are kept once a drain has begun: 4 s after it none may be.
	drainIdlePeriod = 2500 * time.Millisecond
	// lameDuckPeriod is how long connections are still taken after SIGTERM: they go on coming for up to 0.4 s.
	lameDuckPeriod = 450 * time.Millisecond
	// firstByteGrace is how long a new connection has for its request before it may have to give way: also the last
	// one that is taken after SIGTERM.
	firstByteGrace = 50 * time.Millisecond
	// partialRequestGrace is how long a request of which a part has come then has for the rest: what is whole later than 0.7 s after SIGTERM
	// may find no time for its answer.
	partialRequestGrace = 150 * time.Millisecond
	// Within 3 s of connecting a client is owed a word or a close. One that says nothing gets it after SilentClient,
	// one that stops in the middle of a request after StalledClient. One that goes on, however slowly, may be a usual
	// client on a bad line, and has until slowClient.
	SilentClient  = 2500 * time.Millisecond
	StalledClient = 2300 * time.Millisecond
	requestTimeout    = 10 * time.Second
	responseWriteTimeout    = 5 * time.Second // over reading its answer
	keepAliveTimeout    = 2 * time.Minute
	// lingerTimeout bounds how long, and farewellMost how much, is read and dropped of a client that has been turned
	// away: closed at once, the connection would be reset and the answer lost with it.
	lingerTimeout  = 300 * time.Millisecond
	lingerBytes = 256 << 10
	lingerBodyBytes = 48 << 20 // where the client has not sent its body to the end
	// defaultSpoolBytes is what all clients' bodies may take ahead of their attempts, in bytes, where nothing else is set.
	defaultSpoolBytes = 16 << 20
	// readBufferBytes is what a client's connection is read into, in bytes.
	readBufferBytes = 4 << 10
	// bufferedBodyBytes is what of a body each request may take for itself, in bytes.
	bufferedBodyBytes = 64 << 10
)

// stage is what a client's connection is at.
type stage uint8

const (
	stageClosing stage = iota // it is to go once nothing more has come, or this side has ended already
	stageReading               // no whole request has come yet, or it is being turned away
	stageIdle                 // between requests
	stageActive                 // a request is in it
	stageEvicted              // closed to make room
)

// Server takes requests from clients, hands them to the loop and writes its answers.
type Server struct {
	router     Router
	listener net.Listener
	limits   atomic.Pointer[Limits]
	keepAliveLimit    int // connections with a request or behind one, over which the longest idle one goes; 0: none goes

	mu      sync.Mutex
	clients map[*clientConn]struct{}
	stageCounts   [stageEvicted + 1]int // of clients, by their stage
	stopping bool             // told to stop: every answer closes its connection
	drainTimer *time.Timer      // drained: every answer closes its connection, and idle ones go when it goes off; nil: it is not
	listenerClosed  bool             // no more connections are taken, and idle ones go
	peerProcess    *hotrestart.Link // takes the connections without a request in them; nil: nobody does
	acceptEnded   chan struct{}    // closed once serve takes no more connections
	spool   body.Spool       // for bodies that are read ahead
	connections    sync.WaitGroup
}

// New returns a Front for a listener's clients.
func New(d Router, l net.Listener, limits Limits) *Server {
	f := &Server{router: d, listener: l, clients: map[*clientConn]struct{}{}, acceptEnded: make(chan struct{})}
	f.limits.Store(&limits)
	f.spool.Set(defaultSpoolBytes)
	return f
}

// Spare closes the connection that idles longest whenever more than so many have a request in them or behind them.
func (f *Server) Spare(connections int) { f.keepAliveLimit = connections }

// Spool gives clients' bodies so many bytes to be read ahead into.
func (f *Server) Spool(bytes int64) { f.spool.Set(bytes) }

// SpoolFree tells how much of that is not taken, in bytes.
func (f *Server) SpoolFree() int64 { return f.spool.Free() }

// Listener is where it takes connections.
func (f *Server) Listener() net.Listener { return f.listener }

// Limit sets other limits. Connections over them go as soon as they are idle and another comes.
func (f *Server) Limit(limits Limits) { f.limits.Store(&limits) }

// Connections tells how many there are.
func (f *Server) Connections() (open, limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.clients), f.limits.Load().Connections
}

// Serve takes connections until stop has been called.
func (f *Server) Serve() error {
	defer close(f.acceptEnded)
	for {
		c, err := f.listener.Accept()
		switch {
		case err == nil:
			f.Take(c)
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // out of descriptors, or a connection that broke in the queue: neither ends the service
			slog.Warn("taking a connection", "err", err)
			f.makeRoom()
			time.Sleep(firstByteGrace / 10)
		}
	}
}

// Take begins to serve a connection, once there is room for it.
func (f *Server) Take(raw net.Conn) {
	for !f.makeRoom() {
		time.Sleep(firstByteGrace / 10)
	}
	pace := &deadlineConn{Conn: raw}
	c := &clientConn{Stream: http1.NewStream(pace, readBufferBytes), conn: pace, stageSince: time.Now(), stage: stageReading}
	c.SetReadDeadline(time.Now().Add(SilentClient))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clients[c] = struct{}{}
	f.stageCounts[c.stage]++
	switch {
	case f.peerProcess != nil:
		c.interruptRead()
	case f.listenerClosed: // it was taken as the listener closed: a request that has come with it is served
		f.retire(c)
	}
	f.connections.Go(func() {
		f.serveConnection(c)
		if c.closeGracefully && f.enterStage(c, stageClosing) {
			c.lingeringClose(lingerTimeout, lingerBytes)
		}
		c.Close()
		f.mu.Lock()
		f.remove(c)
		f.mu.Unlock()
	})
}

// retire lets a connection without a request go: its reader looks once more whether one has come, serves that, or else ends this
// side and reads what crosses with that, for a while. Closed from here, with bytes that nobody has read, it would be reset. The caller
// holds the lock.
func (f *Server) retire(c *clientConn) {
	f.setStage(c, stageClosing)
	c.interruptRead()
}

// setStage takes c to a stage, and remove takes it out. The caller holds the lock.
func (f *Server) setStage(c *clientConn, s stage) {
	f.stageCounts[c.stage]--
	f.stageCounts[s]++
	c.stage, c.stageSince = s, time.Now()
}

func (f *Server) remove(c *clientConn) {
	if _, ok := f.clients[c]; ok {
		f.stageCounts[c.stage]--
		delete(f.clients, c)
	}
}

// makeRoom tells whether there is room for one more connection. Where there is none it closes the one that has been
// silent for longest, or else idle for longest, never one with a request in it. Descriptors that run out would be
// missed by upstreams and discovery too.
func (f *Server) makeRoom() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.clients) < f.limits.Load().Connections {
		return true
	}
	victim := f.evictionCandidate(stageClosing)
	if victim != nil { // the descriptor is wanted now
		f.setStage(victim, stageEvicted)
		victim.Close()
		f.remove(victim)
	}
	return victim != nil
}

// evictionCandidate is the connection that has been longest at the first of the stages from the given one on that has any, but none with a
// request in it. The caller holds the lock.
func (f *Server) evictionCandidate(from stage) (victim *clientConn) {
	for c := range f.clients {
		if c.stage < from || c.stage == stageActive || c.stage == stageEvicted || (c.stage == stageReading && time.Since(c.stageSince) < firstByteGrace) {
			continue
		}
		if victim == nil || c.stage < victim.stage || (c.stage == victim.stage && c.stageSince.Before(victim.stageSince)) {
			victim = c
		}
	}
	return victim
}

// enterStage moves c to a stage. It fails if c has been closed meanwhile, or is to go. One that was to go when a request came is served
// once more.
func (f *Server) enterStage(c *clientConn, s stage) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.closeAfterResponse = c.closeAfterResponse || c.stage == stageClosing
	if c.stage == stageEvicted || (s == stageIdle && (c.closeAfterResponse || (f.listenerClosed && f.peerProcess == nil))) {
		return false
	}
	f.setStage(c, s)
	c.readingRequest = s == stageReading
	if s == stageIdle {
		if f.peerProcess != nil {
			c.interruptRead()
		} else {
			c.conn.allowIdle(keepAliveTimeout)
		}
	}
	if s == stageIdle && f.keepAliveLimit > 0 && f.stageCounts[stageIdle]+f.stageCounts[stageActive] > f.keepAliveLimit {
		if victim := f.evictionCandidate(stageIdle); victim != nil {
			f.retire(victim)
		}
	}
	return true
}

// Stop ends service without losing a request: connections that are still on their way are taken, then the listener is closed,
// connections without a request go, and what has been taken is answered. A request that has come in part has a last time to be whole.
func (f *Server) Stop() {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	time.Sleep(lameDuckPeriod)
	f.mu.Lock()
	f.listenerClosed = true
	f.listener.Close()
	for c := range f.clients {
		if c.tunnel != nil {
			c.tunnel.EndSoon()
		}
	}
	f.retireWhere(func(c *clientConn) bool { return c.stage == stageIdle })
	f.mu.Unlock()
	time.Sleep(firstByteGrace)
	f.mu.Lock()
	f.retireWhere(func(c *clientConn) bool { return c.stage == stageReading && !c.readingRequest })
	f.mu.Unlock()
	time.Sleep(partialRequestGrace)
	f.mu.Lock()
	for c := range f.clients {
		if c.stage == stageReading {
			c.conn.expire()
		}
	}
	f.mu.Unlock()
	<-f.acceptEnded
	f.waitForConnections()
}

// HandOver ends service where another process has the listener too: that one gets the connections without a request in
// them, now or once they are answered. Bytes that come meanwhile wait in the socket, so nothing crosses with a close.
func (f *Server) HandOver(heir *hotrestart.Link) {
	f.mu.Lock()
	f.peerProcess, f.listenerClosed = heir, true
	f.listener.Close()
	for c := range f.clients {
		if c.stage == stageIdle || (c.stage == stageReading && !c.readingRequest) {
			c.interruptRead() // ends its wait
		}
	}
	f.mu.Unlock()
	<-f.acceptEnded
	f.waitForConnections()
}

// handOverConnection hands a connection over whose wait for a request has ended with an error, if there is somebody to take it and
// nothing of a request has been read from it. It tells whether it was to be handed over.
func (f *Server) handOverConnection(c *clientConn, err error) bool {
	f.mu.Lock()
	heir := f.peerProcess
	f.mu.Unlock()
	if heir == nil || !isTimeout(err) || c.Buffered() > 0 {
		return false
	}
	if err := heir.Send(hotrestart.Message{Kind: hotrestart.KindClientConnection}, c.conn.Conn.(syscall.Conn)); err != nil {
		slog.Warn("handing a client over", "err", err)
	}
	return true
}

// waitForConnections waits until all that was taken is answered.
func (f *Server) waitForConnections() {
	answered := make(chan struct{})
	go func() { f.connections.Wait(); close(answered) }()
	select {
	case <-answered:
	case <-time.After(max(f.router.MaxDeadline(), f.tunnelGrace()) + lameDuckPeriod):
		slog.Warn("clients that did not read their answers are left")
	}
}

// tunnelGrace is the longest time that a tunnel still has.
func (f *Server) tunnelGrace() (most time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.clients {
		if c.tunnel != nil {
			most = max(most, c.tunnel.Grace())
		}
	}
	return most
}

// retireWhere lets some of the connections go. The caller holds the lock.
func (f *Server) retireWhere(of func(*clientConn) bool) {
	for c := range f.clients {
		if of(c) {
			f.retire(c)
		}
	}
}

// Drained tells whether the balancer is drained by hand.
func (f *Server) Drained() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drainTimer != nil
}

// closesConnections tells whether clients are to go elsewhere.
func (f *Server) closesConnections() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping || f.drainTimer != nil
}

// Drain begins a drain or ends it. What comes meanwhile is served: the front goes on sending for a while. A connection is
// closed by its next answer, and one without a request for so long that most have had one: closed at once, many would
// cross with a request.
func (f *Server) Drain(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case on && f.drainTimer == nil:
		f.drainTimer = time.AfterFunc(drainIdlePeriod, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.drainTimer != nil {
				f.retireWhere(func(c *clientConn) bool { return c.stage == stageIdle })
			}
		})
	case !on && f.drainTimer != nil:
		f.drainTimer.Stop()
		f.drainTimer = nil
	}
}
