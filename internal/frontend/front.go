// Package edge serves the connections of clients: it lets them in within bounds, reads their requests, hands these to a desk and
// writes the one answer that each of them gets.
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
	// drainIdle is how long idle connections are kept once a drain has begun: 4 s after it none may be.
	drainIdle = 2500 * time.Millisecond
	// lameDuck is how long connections are still taken after SIGTERM: they go on coming for up to 0.4 s.
	lameDuck = 450 * time.Millisecond
	// firstBytes is how long a new connection has for its request before it may have to give way: also the last
	// one that is taken after SIGTERM.
	firstBytes = 50 * time.Millisecond
	// lastBytes is how long a request of which a part has come then has for the rest: what is whole later than 0.7 s after SIGTERM
	// may find no time for its answer.
	lastBytes = 150 * time.Millisecond
	// Within 3 s of connecting a client is owed a word or a close. One that says nothing gets it after SilentClient,
	// one that stops in the middle of a request after StalledClient. One that goes on, however slowly, may be a usual
	// client on a bad line, and has until slowClient.
	SilentClient  = 2500 * time.Millisecond
	StalledClient = 2300 * time.Millisecond
	slowClient    = 10 * time.Second
	slowReader    = 5 * time.Second // over reading its answer
	idleClient    = 2 * time.Minute
	// farewellFor bounds how long, and farewellMost how much, is read and dropped of a client that has been turned
	// away: closed at once, the connection would be reset and the answer lost with it.
	farewellFor  = 300 * time.Millisecond
	farewellMost = 256 << 10
	farewellLong = 48 << 20 // where the client has not sent its body to the end
	// spoolMost is what all clients' bodies may take ahead of their attempts, in bytes, where nothing else is set.
	spoolMost = 16 << 20
	// readBuffer is what a client's connection is read into, in bytes.
	readBuffer = 4 << 10
	// maxBody is what of a body each request may take for itself, in bytes.
	maxBody = 64 << 10
)

// stage is what a client's connection is at.
type stage uint8

const (
	parting stage = iota // it is to go once nothing more has come, or this side has ended already
	silent               // no whole request has come yet, or it is being turned away
	idle                 // between requests
	busy                 // a request is in it
	evicted              // closed to make room
)

// Server takes requests from clients, hands them to the loop and writes its answers.
type Server struct {
	desk     Router
	listener net.Listener
	limits   atomic.Pointer[Limits]
	spare    int // connections with a request or behind one, over which the longest idle one goes; 0: none goes

	mu      sync.Mutex
	clients map[*client]struct{}
	count   [evicted + 1]int // of clients, by their stage
	leaving bool             // told to stop: every answer closes its connection
	standby *time.Timer      // drained: every answer closes its connection, and idle ones go when it goes off; nil: it is not
	closed  bool             // no more connections are taken, and idle ones go
	heir    *hotrestart.Link // takes the connections without a request in them; nil: nobody does
	ended   chan struct{}    // closed once serve takes no more connections
	spool   body.Spool       // for bodies that are read ahead
	gone    sync.WaitGroup
}

// New returns a Front for a listener's clients.
func New(d Router, l net.Listener, limits Limits) *Server {
	f := &Server{desk: d, listener: l, clients: map[*client]struct{}{}, ended: make(chan struct{})}
	f.limits.Store(&limits)
	f.spool.Set(spoolMost)
	return f
}

// Spare closes the connection that idles longest whenever more than so many have a request in them or behind them.
func (f *Server) Spare(connections int) { f.spare = connections }

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
	defer close(f.ended)
	for {
		c, err := f.listener.Accept()
		switch {
		case err == nil:
			f.Take(c)
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // out of descriptors, or a connection that broke in the queue: neither ends the service
			slog.Warn("taking a connection", "err", err)
			f.evict()
			time.Sleep(firstBytes / 10)
		}
	}
}

// Take begins to serve a connection, once there is room for it.
func (f *Server) Take(raw net.Conn) {
	for !f.evict() {
		time.Sleep(firstBytes / 10)
	}
	pace := &pacer{Conn: raw}
	c := &client{Stream: http1.NewStream(pace, readBuffer), pace: pace, since: time.Now(), stage: silent}
	c.SetReadDeadline(time.Now().Add(SilentClient))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clients[c] = struct{}{}
	f.count[c.stage]++
	switch {
	case f.heir != nil:
		c.wake()
	case f.closed: // it was taken as the listener closed: a request that has come with it is served
		f.retire(c)
	}
	f.gone.Go(func() {
		f.converse(c)
		if c.whole && f.enter(c, parting) {
			c.farewell(farewellFor, farewellMost)
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
func (f *Server) retire(c *client) {
	f.move(c, parting)
	c.wake()
}

// move takes c to a stage, and remove takes it out. The caller holds the lock.
func (f *Server) move(c *client, s stage) {
	f.count[c.stage]--
	f.count[s]++
	c.stage, c.since = s, time.Now()
}

func (f *Server) remove(c *client) {
	if _, ok := f.clients[c]; ok {
		f.count[c.stage]--
		delete(f.clients, c)
	}
}

// evict tells whether there is room for one more connection. Where there is none it closes the one that has been
// silent for longest, or else idle for longest, never one with a request in it. Descriptors that run out would be
// missed by upstreams and discovery too.
func (f *Server) evict() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.clients) < f.limits.Load().Connections {
		return true
	}
	victim := f.longest(parting)
	if victim != nil { // the descriptor is wanted now
		f.move(victim, evicted)
		victim.Close()
		f.remove(victim)
	}
	return victim != nil
}

// longest is the connection that has been longest at the first of the stages from the given one on that has any, but none with a
// request in it. The caller holds the lock.
func (f *Server) longest(from stage) (victim *client) {
	for c := range f.clients {
		if c.stage < from || c.stage == busy || c.stage == evicted || (c.stage == silent && time.Since(c.since) < firstBytes) {
			continue
		}
		if victim == nil || c.stage < victim.stage || (c.stage == victim.stage && c.since.Before(victim.since)) {
			victim = c
		}
	}
	return victim
}

// enter moves c to a stage. It fails if c has been closed meanwhile, or is to go. One that was to go when a request came is served
// once more.
func (f *Server) enter(c *client, s stage) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.final = c.final || c.stage == parting
	if c.stage == evicted || (s == idle && (c.final || (f.closed && f.heir == nil))) {
		return false
	}
	f.move(c, s)
	c.reads = s == silent
	if s == idle {
		if f.heir != nil {
			c.wake()
		} else {
			c.pace.rest(idleClient)
		}
	}
	if s == idle && f.spare > 0 && f.count[idle]+f.count[busy] > f.spare {
		if victim := f.longest(idle); victim != nil {
			f.retire(victim)
		}
	}
	return true
}

// Stop ends service without losing a request: connections that are still on their way are taken, then the listener is closed,
// connections without a request go, and what has been taken is answered. A request that has come in part has a last time to be whole.
func (f *Server) Stop() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	time.Sleep(lameDuck)
	f.mu.Lock()
	f.closed = true
	f.listener.Close()
	for c := range f.clients {
		if c.tunnel != nil {
			c.tunnel.EndSoon()
		}
	}
	f.retireAll(func(c *client) bool { return c.stage == idle })
	f.mu.Unlock()
	time.Sleep(firstBytes)
	f.mu.Lock()
	f.retireAll(func(c *client) bool { return c.stage == silent && !c.reads })
	f.mu.Unlock()
	time.Sleep(lastBytes)
	f.mu.Lock()
	for c := range f.clients {
		if c.stage == silent {
			c.pace.finish()
		}
	}
	f.mu.Unlock()
	<-f.ended
	f.settle()
}

// HandOver ends service where another process has the listener too: that one gets the connections without a request in
// them, now or once they are answered. Bytes that come meanwhile wait in the socket, so nothing crosses with a close.
func (f *Server) HandOver(heir *hotrestart.Link) {
	f.mu.Lock()
	f.heir, f.closed = heir, true
	f.listener.Close()
	for c := range f.clients {
		if c.stage == idle || (c.stage == silent && !c.reads) {
			c.wake() // ends its wait
		}
	}
	f.mu.Unlock()
	<-f.ended
	f.settle()
}

// pass hands a connection over whose wait for a request has ended with an error, if there is somebody to take it and
// nothing of a request has been read from it. It tells whether it was to be handed over.
func (f *Server) pass(c *client, err error) bool {
	f.mu.Lock()
	heir := f.heir
	f.mu.Unlock()
	if heir == nil || !timedOut(err) || c.Buffered() > 0 {
		return false
	}
	if err := heir.Send(hotrestart.Message{Kind: hotrestart.KindClientConnection}, c.pace.Conn.(syscall.Conn)); err != nil {
		slog.Warn("handing a client over", "err", err)
	}
	return true
}

// settle waits until all that was taken is answered.
func (f *Server) settle() {
	answered := make(chan struct{})
	go func() { f.gone.Wait(); close(answered) }()
	select {
	case <-answered:
	case <-time.After(max(f.desk.MaxDeadline(), f.tunnelGrace()) + lameDuck):
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

// retireAll lets some of the connections go. The caller holds the lock.
func (f *Server) retireAll(of func(*client) bool) {
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
	return f.standby != nil
}

// isLeaving tells whether clients are to go elsewhere.
func (f *Server) isLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving || f.standby != nil
}

// Drain begins a drain or ends it. What comes meanwhile is served: the front goes on sending for a while. A connection is
// closed by its next answer, and one without a request for so long that most have had one: closed at once, many would
// cross with a request.
func (f *Server) Drain(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case on && f.standby == nil:
		f.standby = time.AfterFunc(drainIdle, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.standby != nil {
				f.retireAll(func(c *client) bool { return c.stage == idle })
			}
		})
	case !on && f.standby != nil:
		f.standby.Stop()
		f.standby = nil
	}
}
