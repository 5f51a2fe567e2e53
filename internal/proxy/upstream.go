package proxy

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"clayladder"
	"clayladder/internal/wire"
)

// This file carries out one attempt on one connection. http.Transport is not used
// for it: it may write a request again by itself when a kept connection breaks,
// closes the connection of an attempt that is given up, and does not tell whether
// the last byte was written.

// maxUtil bounds the use that a load report can mean: all cores busy is 1, give or take its noise.
const maxUtil = 2

// earlyAnswer is how long is waited for the answer of a node that has stopped reading.
const earlyAnswer = 50 * time.Millisecond

// conn is a connection to an upstream. It belongs to one attempt or, idle, to the
// loop; nobody else touches it.
type conn struct {
	*stream
	idleAt time.Duration // on the loop's clock
	// work brings attempts to the connection's goroutine, which goes on from one to the next: a goroutine for each
	// attempt would grow its stack anew each time. Closed with the connection.
	work   chan *attempt
	worked bool // it has such a goroutine; one that only a probe has used has none
	raw    syscall.RawConn
	look   func(fd uintptr) bool // reads a byte without waiting
	n      int
	err    error // what look has seen
}

func newConn(c net.Conn) *conn {
	u := &conn{stream: newStream(c, 2<<10), work: make(chan *attempt, 1)}
	u.raw, u.err = c.(syscall.Conn).SyscallConn()
	u.look = func(fd uintptr) bool {
		var b [1]byte
		u.n, u.err = syscall.Read(int(fd), b[:])
		return true
	}
	return u
}

// Close ends the connection and its goroutine. It is called once, by whom the connection belongs to.
func (c *conn) Close() error {
	close(c.work)
	return c.stream.Close()
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
	if c.n > 0 || c.in.Buffered() > 0 || !errors.Is(c.err, syscall.EAGAIN) {
		return errStale // closed, or bytes that nobody asked for
	}
	return nil
}

// The stages of an attempt. The loop may drop one that waits for its connection;
// what has been claimed for writing counts as sent.
const (
	waiting int32 = iota
	claimed
	dropped
)

// attempt is one send of a request to an upstream.
type attempt struct {
	req      *request
	n        int // order of the request's sends, from 0
	peer     *peer
	sentAt   time.Duration
	address  string
	wait     time.Duration
	rest     time.Duration // that its connection still needs
	dial     dialer
	head     []byte // the message as it goes on the wire
	stage    atomic.Int32
	conn     *conn // read by the loop only once the attempt is claimed
	told     bool  // the loop: the module has had its outcome
	lingers  bool  // the loop: it is left to its connection for the late answer
	limit    alarm // the loop: of its own, before the request's deadline
	bodiless bool  // the answer has no body: HEAD was asked
}

// drop keeps an attempt that has not begun to be written from being sent.
func (a *attempt) drop() bool { return a.stage.CompareAndSwap(waiting, dropped) }

// result is how an attempt ended, with its connection if that can serve again.
type result struct {
	status clayladder.Status
	load   clayladder.Load
	code   int // of the answer, if it is served
	body   []byte
	kind   string      // the body's Content-Type
	header http.Header // where all of the answer is passed on
	conn   *conn
	more   *download // what of the body goes on as it comes; nil: it is whole
	stray  bool      // there was more than was asked for, before the request or behind the answer
	spoilt string    // why its load report could not be read; empty: it could, or there was none
}

// dialer opens connections to upstreams.
type dialer struct {
	timeout time.Duration
	whole   bool // clients get all that upstreams say: codes under 500 and their fields, not 200 and its body only
}

// connect returns the idle connection if it still stands, or a new one; stray: there were bytes on the idle one.
func (d dialer) connect(idle *conn, address string) (c *conn, stray bool, err error) {
	if idle != nil {
		if idle.fresh() == nil {
			return idle, false, nil
		}
		stray = idle.n > 0 || idle.in.Buffered() > 0
		idle.Close() // nothing was written on it: another connection serves as well
	}
	raw, err := net.DialTimeout("tcp", address, d.timeout)
	if err != nil {
		return nil, stray, err
	}
	return newConn(raw), stray, nil
}

// run makes the attempt: at most one write on the wire, whatever happens.
func (d dialer) run(a *attempt) result {
	c, stray, err := d.connect(a.conn, a.address)
	if err != nil {
		return result{status: clayladder.ConnectFailed, stray: stray}
	}
	r := d.send(a, c)
	r.stray = r.stray || stray
	return r
}

// send writes the attempt's message on a connection and reads the answer.
func (d dialer) send(a *attempt, c *conn) result {
	a.conn = c
	if !a.stage.CompareAndSwap(waiting, claimed) { // dropped: its request ended or its upstream left
		return result{status: clayladder.Moot, conn: c}
	}
	// A machine that has gone silent takes bytes until its buffers are full, and then none for ever.
	c.SetWriteDeadline(time.Now().Add(a.wait))
	rest := a.req.message.rest
	if rest != nil {
		if !rest.hold() { // the client's side has ended
			return result{status: clayladder.Moot, conn: c}
		}
		defer rest.release()
	}
	if n, err := c.Write(a.head); err != nil {
		c.Close()
		if n < len(a.head) || rest != nil { // certain: the last byte never left this process
			return result{status: clayladder.ConnectFailed}
		}
		return result{status: clayladder.Reset}
	}
	if rest != nil {
		if err := rest.send(c); err != nil {
			return c.unsent(d.whole, err)
		}
		if rest.live() {
			a.req.post(written{a})
		}
	}
	var begin func(result)
	if a.req.post != nil {
		begin = func(r result) { a.req.post(began{a, r}) }
	}
	return c.take(d.whole, a.bodiless, begin)
}

// unsent is the result of an attempt whose last byte was not written: it never ran, unless the node has answered early and
// says something else.
func (c *conn) unsent(whole bool, err error) result {
	if failed := (clientFailed{}); errors.As(err, &failed) {
		c.Close()
		return result{status: clayladder.Moot}
	}
	c.SetReadDeadline(time.Now().Add(earlyAnswer))
	r := c.take(whole, false, nil)
	if r.conn != nil {
		r.conn.Close() // the node still waits for the body
		r.conn = nil
	}
	if r.status == clayladder.Reset {
		return result{status: clayladder.ConnectFailed}
	}
	return r // what a node says of a part of a request may tell of work on that part
}

// take reads an attempt's answer. One that is spoilt has run, and its connection is of no further use. An answer that is long, or
// slow and of no known length, is told by begin with its first bytes, and the result is of its end; without begin it is too large.
func (c *conn) take(whole, head bool, begin func(result)) result {
	failed := func(err error) result {
		c.Close()
		for _, spoilt := range []error{errHead, errLong, errFrame, errLarge} {
			if errors.Is(err, spoilt) {
				return result{status: clayladder.Error}
			}
		}
		return result{status: clayladder.Reset}
	}
	status, h, f, err := c.answer(head)
	if err != nil {
		return failed(err)
	}
	r := result{status: clayladder.Error}
	r.load, r.spoilt = loadOf(h["X-Load"])
	last := closes(h) || f.toClose
	switch {
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		h.Get("X-Not-Run") == "1": // without that mark it may have run
		r.status = clayladder.Full
	case whole && status < http.StatusInternalServerError && status != http.StatusTooManyRequests: // 429 would promise that it never ran
		dropNamed(h, nil)
		r.status, r.code, r.header = clayladder.OK, status, http.Header(h)
	case status == http.StatusOK:
		r.status, r.code, r.kind = clayladder.OK, status, h.Get("Content-Type")
	}
	if begin != nil && r.status == clayladder.OK && (f.length > maxBody || f.chunked || f.toClose) {
		d := newDownload(c, f)
		r.body, err = d.receive(func() {
			first := r
			first.more = d
			begin(first)
		})
	} else if f.length > maxBody {
		err = errLarge
	} else if r.body, err = c.reader(f).upTo(maxBody + 1); err == nil && len(r.body) > maxBody {
		err = errLarge
	}
	if err != nil {
		return failed(err)
	}
	// Bytes behind the answer are a second copy or noise: the next request's answer would be read from them.
	if r.stray = c.in.Buffered() > 0; last || r.stray {
		c.Close()
	} else {
		r.conn = c
	}
	return r
}

// loadOf reads a load report: name=value pairs. One that can't be read in full, or stands there more than once, tells
// nothing but why: a half of it must not move shares.
func loadOf(reports []string) (l clayladder.Load, why string) {
	if len(reports) == 0 {
		return l, ""
	}
	if len(reports) > 1 {
		return l, "X-Load stands there more than once"
	}
	named := map[string]bool{}
	for part := range strings.SplitSeq(reports[0], ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(v, 64)
		switch {
		case err != nil || name == "":
			return clayladder.Load{}, fmt.Sprintf("%.40q is not NAME=NUMBER", part)
		case named[name]:
			return clayladder.Load{}, fmt.Sprintf("%.40q stands there more than once", name)
		case !(x >= 0 && x <= math.MaxInt32):
			return clayladder.Load{}, fmt.Sprintf("%.40q is out of range", part)
		}
		named[name] = true
		wire.SetLoad(&l, name, x)
	}
	switch {
	case l.Util > maxUtil:
		return clayladder.Load{}, fmt.Sprintf("a utilisation of %g: 1 is all cores busy", l.Util)
	case l.Fields == 0:
		return l, fmt.Sprintf("%.40q names no load that is known", reports[0])
	}
	return l, ""
}

// probe asks an upstream for its load, or only whether it runs.
func (d dialer) probe(p *probe) (r result) {
	c, stray, err := d.connect(p.conn, p.address)
	defer func() { r.stray = r.stray || stray }()
	if err != nil {
		return result{status: clayladder.ConnectFailed}
	}
	path := "/healthz"
	if p.load {
		path = "/load"
	}
	c.SetDeadline(time.Now().Add(d.timeout))
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: "+p.address+"\r\n\r\n"); err != nil {
		c.Close()
		return result{status: clayladder.ConnectFailed}
	}
	r = c.take(false, false, nil)
	if p.load && r.status == clayladder.OK {
		if l, why := loadOf([]string{strings.TrimSpace(string(r.body))}); l.Fields != 0 {
			r.load = l
		} else {
			r.spoilt = why
		}
	}
	return r
}

// probe is one probe of an upstream.
type probe struct {
	peer    *peer
	sentAt  time.Duration
	address string
	load    bool
	conn    *conn
}
