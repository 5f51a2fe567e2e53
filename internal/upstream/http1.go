package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/http1"
)

// earlyAnswer is how long is waited for the answer of a node that has stopped reading.
const earlyAnswer = 50 * time.Millisecond

// HTTP1 carries attempts in HTTP/1.1, one on a connection at a time. http.Transport is not used for it: it may write a request
// again by itself when a kept connection breaks, closes the connection of an attempt that is given up, and does not tell
// whether the last byte was written.
type HTTP1 struct {
	Timeout time.Duration // for a new connection to stand
	Whole   bool          // clients get all that nodes say: codes under 500 and their fields, not 200 and its body only
}

var _ Transport = HTTP1{}

// conn is a connection to a node.
type conn struct {
	*http1.Stream
	address string
	raw     syscall.RawConn
	look    func(fd uintptr) bool // reads a byte without waiting
	giveUp  func(at time.Time)
	limited atomic.Bool // a limit of reading stands
	over    atomic.Bool // this side has ended
	writes  time.Time   // limit of writing that stands
	n       int
	err     error // what look has seen
}

func newConn(c net.Conn, address string) *conn {
	u := &conn{Stream: http1.NewStream(c, 2<<10), address: address}
	u.raw, u.err = c.(syscall.Conn).SyscallConn()
	u.giveUp = func(at time.Time) {
		if half, ok := c.(interface{ CloseWrite() error }); ok && !at.After(time.Now()) {
			u.over.Store(true)
			half.CloseWrite() // at once: closed by its goroutine in its turn, it was still out as the next attempt was written
		}
		u.SetReadDeadline(at)
	}
	u.look = func(fd uintptr) bool {
		var b [1]byte
		u.n, u.err = syscall.Read(int(fd), b[:])
		return true
	}
	return u
}

func (c *conn) Address() string { return c.address }

// errOver says that an attempt was given up as its answer came.
var errOver = errors.New("given up")

// Reuse undoes a time-out that may have been set as the answer came.
func (c *conn) Reuse() error {
	if c.over.Load() {
		return errOver
	}
	if !c.limited.Swap(false) {
		return nil
	}
	return c.Stream.SetReadDeadline(time.Time{})
}

// SetReadDeadline bounds what is read next, until Reuse.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.limited.Store(true)
	return c.Stream.SetReadDeadline(at)
}

// writeWithin bounds what is written next, by the time given or up to twice that: one limit serves many requests, since to set it
// costs as much as a good part of one.
func (c *conn) writeWithin(d time.Duration) {
	if now := time.Now(); c.writes.Before(now.Add(d)) || c.writes.After(now.Add(2*d)) {
		c.SetWriteDeadline(now.Add(2 * d))
	}
}

// SetWriteDeadline bounds what is written next.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.writes = at
	return c.Stream.SetWriteDeadline(at)
}

// errStale says that a kept connection was closed by the other side while idle.
var errStale = errors.New("closed while idle")

// fresh looks, without waiting, whether an idle connection still stands.
func (c *conn) fresh() error {
	if c.raw == nil {
		return c.err
	}
	if err := c.raw.Read(c.look); err != nil {
		return err
	}
	if c.n > 0 || c.Buffered() > 0 || !errors.Is(c.err, syscall.EAGAIN) {
		return errStale // closed, or bytes that nobody asked for
	}
	return nil
}

// connect returns the idle connection if it still stands, or a new one; stray: there were bytes on the idle one.
func (d HTTP1) connect(idle *conn, address string) (c *conn, stray bool, err error) {
	if idle != nil {
		if idle.fresh() == nil {
			return idle, false, nil
		}
		stray = idle.n > 0 || idle.Buffered() > 0
		idle.Close() // nothing was written on it: another connection serves as well
	}
	raw, err := net.DialTimeout("tcp", address, d.Timeout)
	if err != nil {
		return nil, stray, err
	}
	return newConn(raw, address), stray, nil
}

// Do makes the attempt: at most one write on the wire, whatever happens.
func (d HTTP1) Do(a *Attempt) Result {
	if a.Rest > 0 {
		time.Sleep(a.Rest)
	}
	idle, _ := a.Conn.(*conn)
	c, stray, err := d.connect(idle, a.Address)
	if err != nil {
		return Result{Status: balancer.ConnectFailed, Stray: stray}
	}
	r := d.send(a, c)
	r.Stray = r.Stray || stray
	return r
}

// send writes the attempt's message on a connection and reads the answer.
func (d HTTP1) send(a *Attempt, c *conn) Result {
	if a.Shut() || !a.Claim(c.giveUp) { // dropped: its request ended or its node left
		return Result{Status: balancer.NotSent, Conn: c}
	}
	// A machine that has gone silent takes bytes until its buffers are full, and then none for ever.
	if c.writeWithin(a.Wait); !a.Until.IsZero() && a.Until.Before(c.writes) {
		c.SetWriteDeadline(a.Until)
	}
	rest := a.Message.Rest
	if rest != nil {
		if !rest.Hold() { // the client's side has ended
			return Result{Status: balancer.NotSent, Conn: c}
		}
		defer rest.Release()
	}
	head := http1.Buffer()
	a.Message.render(head, a.Wait)
	n, err := c.Write(head.Bytes())
	whole := n == head.Len()
	http1.Done(head)
	if err != nil {
		c.Close()
		if !whole || rest != nil { // certain: the last byte never left this process
			return Result{Status: balancer.ConnectFailed}
		}
		return Result{Status: balancer.Reset}
	}
	if rest != nil {
		if err := rest.Send(c); err != nil {
			return c.unsent(a.Message, d.Whole, err)
		}
		if rest.Live() && a.Told != nil {
			a.Told.Written()
		}
	}
	return c.take(a.Message, d.Whole, a.Told)
}

// unsent is the result of an attempt whose last byte was not written: it never ran, unless the node has answered early and
// says something else.
func (c *conn) unsent(m *Message, whole bool, err error) Result {
	if failed := (body.ClientFailed{}); errors.As(err, &failed) {
		c.Close()
		return Result{Status: balancer.NotSent}
	}
	c.SetReadDeadline(time.Now().Add(earlyAnswer))
	r := c.take(m, whole, nil)
	if r.Conn != nil {
		r.Conn.Close() // the node still waits for the body
		r.Conn = nil
	}
	if r.Status == balancer.Reset {
		return Result{Status: balancer.ConnectFailed}
	}
	return r // what a node says of a part of a request may tell of work on that part
}

// take reads an attempt's answer. One that is spoilt has run, and its connection is of no further use. An answer that is long, or
// slow and of no known length, is told of with its first bytes, and the result is of its end; where nobody is told it is too large.
func (c *conn) take(q *Message, whole bool, told Observer) Result {
	failed := func(err error) Result {
		c.Close()
		for _, spoilt := range []error{http1.ErrHead, http1.ErrLine, http1.ErrLong, http1.ErrFrame, http1.ErrLarge} {
			if errors.Is(err, spoilt) {
				return Result{Status: balancer.Error}
			}
		}
		return Result{Status: balancer.Reset}
	}
	asked := http1.Asked{Head: q.bodiless()}
	if told != nil {
		asked.Upgrade = q.Upgrade
		if q.Hints {
			asked.Hint = told.Hint
		}
	}
	status, h, f, err := c.Answer(asked)
	if err != nil {
		return failed(err)
	}
	if status == http.StatusSwitchingProtocols {
		t := body.NewTunnel(c.Stream, q.Tunnel)
		told.Began(Result{Status: balancer.OK, Code: status, Header: h, Tunnel: t})
		<-t.Done()
		c.Close()
		return Result{Status: balancer.OK}
	}
	m := q.Most()
	r := Result{Status: balancer.Error}
	r.Load, r.Spoilt = LoadOf(h.Values("X-Load"))
	last := http1.Closes(h) || f.ToClose
	switch {
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		h.Get("X-Not-Run") == "1": // without that mark it may have run
		r.Status = balancer.Rejected
	case whole && status < http.StatusInternalServerError && status != http.StatusTooManyRequests: // 429 would promise that it never ran
		http1.DropNamed(&h, nil)
		r.Status, r.Code, r.Header = balancer.OK, status, h
	case status == http.StatusOK:
		r.Status, r.Code, r.Kind = balancer.OK, status, h.Get("Content-Type")
	}
	switch goesOn := f.Length > body.Whole || f.Chunked || f.ToClose; {
	case f.Length > uint64(m.Answer), f.Length > body.Whole && told == nil:
		err = http1.ErrLarge
	case told != nil && r.Status == balancer.OK && goesOn:
		d := body.NewDownload(c, f, m)
		r.Body, err = d.Receive(func() {
			first := r
			first.More = d
			told.Began(first)
		})
		r.Trailer = d.Trailer()
	default:
		src := c.Body(f, m.Answer)
		if r.Body, err = src.UpTo(body.Whole + 1); err == nil && len(r.Body) > body.Whole {
			err = http1.ErrLarge
		}
		r.Trailer = m.Trailer(src)
	}
	if err != nil {
		return failed(err)
	}
	// Bytes behind the answer are a second copy or noise: the next request's answer would be read from them.
	if r.Stray = c.Buffered() > 0; last || r.Stray {
		c.Close()
	} else {
		r.Conn = c
	}
	return r
}

// Probe asks an upstream for its load, or only whether it runs.
func (d HTTP1) Probe(p Probe) (r Result) {
	idle, _ := p.Conn.(*conn)
	c, stray, err := d.connect(idle, p.Address)
	defer func() { r.Stray = r.Stray || stray }()
	if err != nil {
		return Result{Status: balancer.ConnectFailed}
	}
	path := "/healthz"
	if p.Load {
		path = "/load"
	}
	c.SetReadDeadline(time.Now().Add(d.Timeout))
	c.writeWithin(d.Timeout)
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: "+p.Address+"\r\n\r\n"); err != nil {
		c.Close()
		return Result{Status: balancer.ConnectFailed}
	}
	r = c.take(&Message{}, false, nil)
	if p.Load && r.Status == balancer.OK {
		if l, why := LoadOf([]string{strings.TrimSpace(string(r.Body))}); l.Fields != 0 {
			r.Load = l
		} else {
			r.Spoilt = why
		}
	}
	return r
}
