package frontend

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// pacer sets a connection's limits of time. To set one costs as much as a good part of a request, so one that stands serves for as
// long as it is about right.
type pacer struct {
	net.Conn
	until  time.Time // for the request that is being read; zero: no limits are set here
	rate   int       // bytes a second that a body must come with beyond that
	writes time.Time // limit of writing that stands

	mu    sync.Mutex
	reads time.Time // limit of reading that stands; zero: none
	ended bool      // what is not whole yet is waited for no longer
}

// Under is the connection itself.
func (p *pacer) Under() net.Conn { return p.Conn }

// SetReadDeadline bounds what is read next.
func (p *pacer) SetReadDeadline(at time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		at = past
	}
	p.reads = at
	return p.Conn.SetReadDeadline(at)
}

// past is a limit of time that is over.
var past = time.Unix(0, 1)

// finish ends the wait for the rest of a request, also for what is still to be read of it.
func (p *pacer) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended, p.reads = true, past
	p.Conn.SetReadDeadline(past)
}

// SetWriteDeadline bounds what is written next. It is called by who writes.
func (p *pacer) SetWriteDeadline(at time.Time) error {
	p.writes = at
	return p.Conn.SetWriteDeadline(at)
}

// rest lets a connection idle for a time, or for a little longer.
func (p *pacer) rest(d time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reads.Before(now.Add(d)) {
		p.reads = now.Add(d + d/8)
		p.Conn.SetReadDeadline(p.reads)
	}
}

// writeWithin bounds what is written next, by the time given or up to twice that.
func (p *pacer) writeWithin(d time.Duration) {
	if now := time.Now(); p.writes.Before(now.Add(d)) {
		p.SetWriteDeadline(now.Add(2 * d))
	}
}

// extend gives a body of so many bytes the time that it may take, however slowly it comes.
func (p *pacer) extend(bytes int) {
	if p != nil {
		p.until = p.until.Add(time.Duration(bytes) * time.Second / time.Duration(p.rate))
	}
}

func (p *pacer) Read(b []byte) (int, error) {
	if p.until.IsZero() {
		return p.Conn.Read(b)
	}
	limit := time.Now().Add(StalledClient)
	if p.until.Before(limit) {
		limit = p.until
	}
	p.SetReadDeadline(limit)
	n, err := p.Conn.Read(b)
	if err != nil {
		p.until = past // bufio asks again after an error behind half a line: that must not begin a new wait
	}
	return n, err
}

// client is a client's connection. Its stage is the Front's, under its lock.
//
// Two goroutines serve it. The reader waits for a request, reads it and hands it to its pool, and then waits for the next one or
// for the client to leave; the writer gives each request its one answer. So a request costs each of them one turn. Who of the two
// has the connection's other side is told by the state, which only one of them can move on from waiting.
type client struct {
	*http1.Stream
	pace    *pacer
	stage   stage
	reads   bool      // a request is being read
	since   time.Time // of the stage
	state   atomic.Int32
	call    Exchange           // the reader's, and from waiting on the writer's
	tunnel  *body.Tunnel       // that it has become; nil: none. Under the Front's lock
	final   bool               // it goes behind the next answer. Under the Front's lock
	whole   bool               // it ends between requests, or behind an answer: what crosses with that is read
	last    bool               // the client wants the connection closed behind the answer
	old     bool               // the request is of HTTP/1.0
	answers chan pool.Response // holds the one answer to the call, where the writer waits
	done    chan bool          // the writer has answered; false: the connection ends
}

// The states of a client's connection.
const (
	free      int32 = iota // no request is with a pool
	waiting                // one is
	answering              // its answer has come: what the client sends is the next request
	cut                    // the reader has ended it: no answer is written
)

// take lets the reader or the writer have the request that a pool has: one of them, once.
func (c *client) take(state int32) bool { return c.state.CompareAndSwap(waiting, state) }

// patient lets the reader wait for as long as a pool has the request, whatever limit stood before. It fails once the answer has
// come, so that it never undoes a limit which the writer has set since.
func (c *client) patient() bool {
	c.pace.mu.Lock()
	defer c.pace.mu.Unlock()
	if c.state.Load() != waiting {
		return false
	}
	c.pace.reads = time.Time{}
	c.pace.Conn.SetReadDeadline(time.Time{})
	return true
}

// Connected looks, without waiting and without taking a byte, whether the client is still connected. What it has sent beyond its
// request is the reader's to see.
func (c *client) Connected() bool {
	raw, ok := c.pace.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	fd, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	present := true
	err = fd.Control(func(fd uintptr) {
		n, err := peek(fd)
		present = n > 0 || (err != nil && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE))
	})
	return err == nil && present // closed here, it has been given up
}

// pending tells whether bytes of the client wait to be read.
func (c *client) pending() bool {
	if c.Buffered() > 0 {
		return true
	}
	raw, ok := c.pace.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	fd, err := raw.SyscallConn()
	some := false
	if err == nil {
		fd.Control(func(fd uintptr) {
			n, err := peek(fd)
			some = err == nil && n > 0
		})
	}
	return some
}

// peek looks at the next byte of a socket without taking it, and does not wait for one.
func peek(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// wake ends the reader's wait for bytes.
func (c *client) wake() { c.SetReadDeadline(past) }

// converse serves a connection until one side ends it. Clients send one request at a time.
func (f *Server) converse(c *client) {
	c.answers, c.done = make(chan pool.Response, 2), make(chan bool, 1)
	quit := make(chan struct{})
	defer close(quit)
	go f.writer(c, quit)
	for asked := false; ; {
		c.Limit(int64(f.limits.Load().Head))
		err := c.Wait()
		if asked {
			if timedOut(err) && c.patient() {
				continue
			}
			if c.take(cut) {
				f.left(c, err)
				return
			}
			if !<-c.done {
				c.leave()
				return
			}
			if c.tunnel != nil {
				c.tunnel.Up(c.Stream)
				return
			}
		}
		if err != nil {
			switch {
			case f.pass(c, err), !timedOut(err): // it is another's now, or the client has left
				return
			case c.pending(): // a request has come in that moment
				c.SetReadDeadline(time.Now().Add(SilentClient))
				asked = false
				continue
			}
			c.whole = true
			return
		}
		var goOn bool
		if asked, goOn = f.request(c); !goOn {
			return
		}
	}
}

// request reads a request and hands it to its pool, or answers it here. It tells whether the writer has it now, and whether the
// connection goes on.
func (f *Server) request(c *client) (asked, goOn bool) {
	if !f.enter(c, silent) {
		return false, false
	}
	limits := f.limits.Load()
	c.pace.until, c.pace.rate = time.Now().Add(limits.Within), limits.Rate
	call, h, err := f.read(c)
	c.pace.until = time.Time{}
	if err != nil {
		f.turnAway(c, err)
		return false, false
	}
	if !f.enter(c, busy) {
		return false, false
	}
	c.last = c.final || http1.Closes(h) || (c.old && !h.Lists("Connection", "keep-alive"))
	if call == nil {
		return false, f.answer(c, f.health(), c.last)
	}
	q := call.PoolRequest()
	q.Responses, q.Client, c.call = c.answers, c, call
	c.state.Store(waiting)
	refused, err := call.Admit()
	if err != nil || refused.Status != 0 {
		c.state.Store(free)
		if q.Message.Rest != nil {
			defer q.Message.Rest.Release()
		}
		if err != nil {
			f.turnAway(c, err)
			return false, false
		}
		if !f.answer(c, refused, c.last || q.Message.Rest.Live()) {
			c.leave()
			return false, false
		}
		return false, true
	}
	if q.Message.Rest.Live() {
		return true, f.sending(c, q.Message.Rest)
	}
	return true, true
}

// sending waits while a body goes on as it comes, since until then nobody else may read the connection.
func (f *Server) sending(c *client, rest *body.Upload) bool {
	select {
	case goOn := <-c.done: // answered before the body was in
		c.done <- goOn
	case err := <-rest.Done():
		if failed := (body.ClientFailed{}); errors.As(err, &failed) && c.take(cut) {
			c.drop()
			f.turnAway(c, failed.Unwrap())
			return false
		}
	}
	if rest.Unread() { // the writer ends the connection, and nothing more is read for a pool
		<-c.done
		c.leave()
		return false
	}
	return true
}

// left ends a request whose client has gone, or sends what may not be sent before its answer.
func (f *Server) left(c *client, err error) {
	c.drop()
	if err == nil {
		f.turnAway(c, errAhead)
	}
}

// drop lets go of the request that a pool has.
func (c *client) drop() {
	c.call.PoolRequest().ClientLeft()
	c.release()
}

// release counts the call out.
func (c *client) release() {
	if rest := c.call.PoolRequest().Message.Rest; rest != nil {
		rest.Release()
	}
	c.call.Done()
}

// leave ends a connection behind an answer. What the client still sends is read for a while: closed at once, the connection would
// be reset and the answer lost.
func (c *client) leave() {
	if rest := c.call.PoolRequest().Message.Rest; rest.Unread() {
		rest.Stop()
		c.farewell(slowClient, farewellLong)
	}
}

// writer writes the answer to each request that a pool has, until quit is closed.
func (f *Server) writer(c *client, quit <-chan struct{}) {
	for {
		var a pool.Response
		select {
		case a = <-c.answers:
		case <-quit:
			return
		}
		if a.Status == http.StatusEarlyHints {
			c.hint(a)
			continue
		}
		rest := c.call.PoolRequest().Message.Rest
		if rest.Failed() || !c.take(answering) { // the reader ends the connection
			a.Stream.Abandon()
			a.Tunnel.Close()
			continue
		}
		unread := rest.Unread()
		if a.Tunnel != nil {
			f.open(c, a)
			return
		}
		c.release()
		goOn := f.answer(c, a, c.last || a.Status == http.StatusConflict || unread)
		if goOn {
			c.state.Store(free)
		}
		if !goOn {
			c.wake() // before the word: what the reader does then has limits of its own
		}
		c.done <- goOn
	}
}

// open lets a connection become a tunnel: the writer moves what the node says, the reader what the client does.
func (f *Server) open(c *client, a pool.Response) {
	t := a.Tunnel
	t.Bind(c.pace)
	if x, ok := c.call.(interface{ Tunnel(*body.Tunnel) }); ok {
		x.Tunnel(t)
	}
	c.release()
	f.mu.Lock()
	c.tunnel = t
	if f.closed {
		t.EndSoon()
	}
	f.mu.Unlock()
	if c.write(a, false) != nil {
		t.Close()
	}
	c.done <- true
	c.wake() // it reads for the tunnel from now on
	t.Down()
}

// answer writes an answer, and tells whether the connection goes on.
func (f *Server) answer(c *client, a pool.Response, last bool) bool {
	last = last || f.isLeaving()
	err := c.write(a, last)
	if err == nil && !last && f.enter(c, idle) {
		return true
	}
	c.whole = err == nil || errors.Is(err, errToClose) // else the client must see that it is not
	return false
}

// health is the answer to a question after this balancer's health.
func (f *Server) health() pool.Response {
	if f.isLeaving() {
		return pool.Response{Status: http.StatusServiceUnavailable, Body: []byte("draining\n"), ContentType: "text/plain"}
	}
	f.desk.Ping()
	return pool.Response{Status: http.StatusOK, Body: []byte("ok\n"), ContentType: "text/plain"}
}
