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

// deadlineConn sets a connection's limits of time. To set one costs as much as a good part of a request, so one that stands serves for as
// long as it is about right.
type deadlineConn struct {
	net.Conn
	requestDeadline  time.Time // for the request that is being read; zero: no limits are set here
	minBodyRate   int       // bytes a second that a body must come with beyond that
	writeDeadline time.Time // limit of writing that stands

	mu    sync.Mutex
	readDeadline time.Time // limit of reading that stands; zero: none
	expired bool      // what is not whole yet is waited for no longer
}

// Under is the connection itself.
func (p *deadlineConn) Under() net.Conn { return p.Conn }

// SetReadDeadline bounds what is read next.
func (p *deadlineConn) SetReadDeadline(at time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expired {
		at = expiredDeadline
	}
	p.readDeadline = at
	return p.Conn.SetReadDeadline(at)
}

// expiredDeadline is a limit of time that is over.
var expiredDeadline = time.Unix(0, 1)

// expire ends the wait for the rest of a request, also for what is still to be read of it.
func (p *deadlineConn) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expired, p.readDeadline = true, expiredDeadline
	p.Conn.SetReadDeadline(expiredDeadline)
}

// SetWriteDeadline bounds what is written next. It is called by who writes.
func (p *deadlineConn) SetWriteDeadline(at time.Time) error {
	p.writeDeadline = at
	return p.Conn.SetWriteDeadline(at)
}

// allowIdle lets a connection idle for a time, or for a little longer.
func (p *deadlineConn) allowIdle(d time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readDeadline.Before(now.Add(d)) {
		p.readDeadline = now.Add(d + d/8)
		p.Conn.SetReadDeadline(p.readDeadline)
	}
}

// allowWrite bounds what is written next, by the time given or up to twice that.
func (p *deadlineConn) allowWrite(d time.Duration) {
	if now := time.Now(); p.writeDeadline.Before(now.Add(d)) {
		p.SetWriteDeadline(now.Add(2 * d))
	}
}

// allowBody gives a body of so many bytes the time that it may take, however slowly it comes.
func (p *deadlineConn) allowBody(bytes int) {
	if p != nil {
		p.requestDeadline = p.requestDeadline.Add(time.Duration(bytes) * time.Second / time.Duration(p.minBodyRate))
	}
}

func (p *deadlineConn) Read(b []byte) (int, error) {
	if p.requestDeadline.IsZero() {
		return p.Conn.Read(b)
	}
	limit := time.Now().Add(StalledClient)
	if p.requestDeadline.Before(limit) {
		limit = p.requestDeadline
	}
	p.SetReadDeadline(limit)
	n, err := p.Conn.Read(b)
	if err != nil {
		p.requestDeadline = expiredDeadline // bufio asks again after an error behind half a line: that must not begin a new wait
	}
	return n, err
}

// clientConn is a client's connection. Its stage is the Front's, under its lock.
//
// Two goroutines serve it. The reader waits for a request, reads it and hands it to its pool, and then waits for the next one or
// for the client to leave; the writer gives each request its one answer. So a request costs each of them one turn. Who of the two
// has the connection's other side is told by the state, which only one of them can move on from waiting.
type clientConn struct {
	*http1.Stream
	conn    *deadlineConn
	stage   stage
	readingRequest   bool      // a request is being read
	stageSince   time.Time // of the stage
	exchangeState   atomic.Int32
	exchange    Exchange           // the reader's, and from waiting on the writer's
	tunnel  *body.Tunnel       // that it has become; nil: none. Under the Front's lock
	closeAfterResponse   bool               // it goes behind the next answer. Under the Front's lock
	closeGracefully   bool               // it ends between requests, or behind an answer: what crosses with that is read
	closeRequested    bool               // the client wants the connection closed behind the answer
	http10     bool               // the request is of HTTP/1.0
	responses chan pool.Response // holds the one answer to the call, where the writer waits
	responded    chan bool          // the writer has answered; false: the connection ends
}

// The states of a client's connection.
const (
	exchangeNone      int32 = iota // no request is with a pool
	exchangePending                // one is
	exchangeAnswered              // its answer has come: what the client sends is the next request
	exchangeCanceled                    // the reader has ended it: no answer is written
)

// claim lets the reader or the writer have the request that a pool has: one of them, once.
func (c *clientConn) claim(state int32) bool { return c.exchangeState.CompareAndSwap(exchangePending, state) }

// waitWithoutDeadline lets the reader wait for as long as a pool has the request, whatever limit stood before. It fails once the answer has
// come, so that it never undoes a limit which the writer has set since.
func (c *clientConn) waitWithoutDeadline() bool {
	c.conn.mu.Lock()
	defer c.conn.mu.Unlock()
	if c.exchangeState.Load() != exchangePending {
		return false
	}
	c.conn.readDeadline = time.Time{}
	c.conn.Conn.SetReadDeadline(time.Time{})
	return true
}

// Connected looks, without waiting and without taking a byte, whether the client is still connected. What it has sent beyond its
// request is the reader's to see.
func (c *clientConn) Connected() bool {
	raw, ok := c.conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	fd, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	present := true
	err = fd.Control(func(fd uintptr) {
		n, err := peekByte(fd)
		present = n > 0 || (err != nil && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE))
	})
	return err == nil && present // closed here, it has been given up
}

// hasPendingBytes tells whether bytes of the client wait to be read.
func (c *clientConn) hasPendingBytes() bool {
	if c.Buffered() > 0 {
		return true
	}
	raw, ok := c.conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	fd, err := raw.SyscallConn()
	some := false
	if err == nil {
		fd.Control(func(fd uintptr) {
			n, err := peekByte(fd)
			some = err == nil && n > 0
		})
	}
	return some
}

// peekByte looks at the next byte of a socket without taking it, and does not wait for one.
func peekByte(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// interruptRead ends the reader's wait for bytes.
func (c *clientConn) interruptRead() { c.SetReadDeadline(expiredDeadline) }

// serveConnection serves a connection until one side ends it. Clients send one request at a time.
func (f *Server) serveConnection(c *clientConn) {
	c.responses, c.responded = make(chan pool.Response, 2), make(chan bool, 1)
	quit := make(chan struct{})
	defer close(quit)
	go f.writeResponses(c, quit)
	for asked := false; ; {
		c.Limit(int64(f.limits.Load().Head))
		err := c.Wait()
		if asked {
			if isTimeout(err) && c.waitWithoutDeadline() {
				continue
			}
			if c.claim(exchangeCanceled) {
				f.clientLeft(c, err)
				return
			}
			if !<-c.responded {
				c.closeBeforeBodyEnd()
				return
			}
			if c.tunnel != nil {
				c.tunnel.Up(c.Stream)
				return
			}
		}
		if err != nil {
			switch {
			case f.handOverConnection(c, err), !isTimeout(err): // it is another's now, or the client has left
				return
			case c.hasPendingBytes(): // a request has come in that moment
				c.SetReadDeadline(time.Now().Add(SilentClient))
				asked = false
				continue
			}
			c.closeGracefully = true
			return
		}
		var goOn bool
		if asked, goOn = f.serveRequest(c); !goOn {
			return
		}
	}
}

// serveRequest reads a request and hands it to its pool, or answers it here. It tells whether the writer has it now, and whether the
// connection goes on.
func (f *Server) serveRequest(c *clientConn) (asked, goOn bool) {
	if !f.enterStage(c, stageReading) {
		return false, false
	}
	limits := f.limits.Load()
	c.conn.requestDeadline, c.conn.minBodyRate = time.Now().Add(limits.Within), limits.Rate
	call, h, err := f.readRequest(c)
	c.conn.requestDeadline = time.Time{}
	if err != nil {
		f.reject(c, err)
		return false, false
	}
	if !f.enterStage(c, stageActive) {
		return false, false
	}
	c.closeRequested = c.closeAfterResponse || http1.Closes(h) || (c.http10 && !h.Lists("Connection", "keep-alive"))
	if call == nil {
		return false, f.respond(c, f.healthResponse(), c.closeRequested)
	}
	q := call.PoolRequest()
	q.Responses, q.Client, c.exchange = c.responses, c, call
	c.exchangeState.Store(exchangePending)
	refused, err := call.Admit()
	if err != nil || refused.Status != 0 {
		c.exchangeState.Store(exchangeNone)
		if q.Message.Rest != nil {
			defer q.Message.Rest.Release()
		}
		if err != nil {
			f.reject(c, err)
			return false, false
		}
		if !f.respond(c, refused, c.closeRequested || q.Message.Rest.Live()) {
			c.closeBeforeBodyEnd()
			return false, false
		}
		return false, true
	}
	if q.Message.Rest.Live() {
		return true, f.waitForUpload(c, q.Message.Rest)
	}
	return true, true
}

// waitForUpload waits while a body goes on as it comes, since until then nobody else may read the connection.
func (f *Server) waitForUpload(c *clientConn, rest *body.Upload) bool {
	select {
	case goOn := <-c.responded: // answered before the body was in
		c.responded <- goOn
	case err := <-rest.Done():
		if failed := (body.ClientFailed{}); errors.As(err, &failed) && c.claim(exchangeCanceled) {
			c.cancelExchange()
			f.reject(c, failed.Unwrap())
			return false
		}
	}
	if rest.Unread() { // the writer ends the connection, and nothing more is read for a pool
		<-c.responded
		c.closeBeforeBodyEnd()
		return false
	}
	return true
}

// clientLeft ends a request whose client has gone, or sends what may not be sent before its answer.
func (f *Server) clientLeft(c *clientConn, err error) {
	c.cancelExchange()
	if err == nil {
		f.reject(c, errPipelined)
	}
}

// cancelExchange lets go of the request that a pool has.
func (c *clientConn) cancelExchange() {
	c.exchange.PoolRequest().ClientLeft()
	c.releaseExchange()
}

// releaseExchange counts the call out.
func (c *clientConn) releaseExchange() {
	if rest := c.exchange.PoolRequest().Message.Rest; rest != nil {
		rest.Release()
	}
	c.exchange.Done()
}

// closeBeforeBodyEnd ends a connection behind an answer. What the client still sends is read for a while: closed at once, the connection would
// be reset and the answer lost.
func (c *clientConn) closeBeforeBodyEnd() {
	if rest := c.exchange.PoolRequest().Message.Rest; rest.Unread() {
		rest.Stop()
		c.lingeringClose(requestTimeout, lingerBodyBytes)
	}
}

// writeResponses writes the answer to each request that a pool has, until quit is closed.
func (f *Server) writeResponses(c *clientConn, quit <-chan struct{}) {
	for {
		var a pool.Response
		select {
		case a = <-c.responses:
		case <-quit:
			return
		}
		if a.Status == http.StatusEarlyHints {
			c.writeEarlyHints(a)
			continue
		}
		rest := c.exchange.PoolRequest().Message.Rest
		if rest.Failed() || !c.claim(exchangeAnswered) { // the reader ends the connection
			a.Stream.Abandon()
			a.Tunnel.Close()
			continue
		}
		unread := rest.Unread()
		if a.Tunnel != nil {
			f.openTunnel(c, a)
			return
		}
		c.releaseExchange()
		goOn := f.respond(c, a, c.closeRequested || a.Status == http.StatusConflict || unread)
		if goOn {
			c.exchangeState.Store(exchangeNone)
		}
		if !goOn {
			c.interruptRead() // before the word: what the reader does then has limits of its own
		}
		c.responded <- goOn
	}
}

// openTunnel lets a connection become a tunnel: the writer moves what the node says, the reader what the client does.
func (f *Server) openTunnel(c *clientConn, a pool.Response) {
	t := a.Tunnel
	t.Bind(c.conn)
	if x, ok := c.exchange.(interface{ Tunnel(*body.Tunnel) }); ok {
		x.Tunnel(t)
	}
	c.releaseExchange()
	f.mu.Lock()
	c.tunnel = t
	if f.listenerClosed {
		t.EndSoon()
	}
	f.mu.Unlock()
	if c.writeResponse(a, false) != nil {
		t.Close()
	}
	c.responded <- true
	c.interruptRead() // it reads for the tunnel from now on
	t.Down()
}

// respond writes an answer, and tells whether the connection goes on.
func (f *Server) respond(c *clientConn, a pool.Response, last bool) bool {
	last = last || f.closesConnections()
	err := c.writeResponse(a, last)
	if err == nil && !last && f.enterStage(c, stageIdle) {
		return true
	}
	c.closeGracefully = err == nil || errors.Is(err, errEndsWithClose) // else the client must see that it is not
	return false
}

// healthResponse is the answer to a question after this balancer's health.
func (f *Server) healthResponse() pool.Response {
	if f.closesConnections() {
		return pool.Response{Status: http.StatusServiceUnavailable, Body: []byte("draining\n"), ContentType: "text/plain"}
	}
	f.router.Ping()
	return pool.Response{Status: http.StatusOK, Body: []byte("ok\n"), ContentType: "text/plain"}
}
