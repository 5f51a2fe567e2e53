package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"clayladder"
	"clayladder/internal/wire"
)

// This file carries out one attempt on one connection. http.Transport is not used
// for it: it may write a request again by itself when a kept connection breaks,
// closes the connection of an attempt that is given up, and does not tell whether
// the last byte was written. Messages are still read by net/http.

// conn is a connection to an upstream. It belongs to one attempt or, idle, to the
// loop; nobody else touches it.
type conn struct {
	net.Conn
	in     *bufio.Reader
	idleAt time.Duration // on the loop's clock
}

// errStale says that a kept connection was closed by the other side while idle.
var errStale = errors.New("closed while idle")

// fresh looks, without waiting, whether an idle connection still stands.
func (c *conn) fresh() error {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var n int
	var readErr error
	var b [1]byte
	if err := raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), b[:])
		return true
	}); err != nil {
		return err
	}
	if n > 0 || c.in.Buffered() > 0 || !errors.Is(readErr, syscall.EAGAIN) {
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
	req     *request
	n       int // order of the request's sends, from 0
	peer    *peer
	sentAt  time.Duration
	address string
	head    []byte // the message as it goes on the wire
	stage   atomic.Int32
	conn    *conn // read by the loop only once the attempt is claimed
	told    bool  // the loop: the module has had its outcome
	lingers bool  // the loop: it is left to its connection for the late answer
}

// drop keeps an attempt that has not begun to be written from being sent.
func (a *attempt) drop() bool { return a.stage.CompareAndSwap(waiting, dropped) }

// result is how an attempt ended, with its connection if that can serve again.
type result struct {
	status clayladder.Status
	load   clayladder.Load
	body   []byte
	kind   string // the body's Content-Type
	conn   *conn
}

// dialer opens connections to upstreams.
type dialer struct{ timeout time.Duration }

// connect returns the idle connection if it still stands, or a new one.
func (d dialer) connect(idle *conn, address string) (*conn, error) {
	if idle != nil {
		if idle.fresh() == nil {
			return idle, nil
		}
		idle.Close() // nothing was written on it: another connection serves as well
	}
	c, err := net.DialTimeout("tcp", address, d.timeout)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, in: bufio.NewReaderSize(c, 2<<10)}, nil
}

// run makes the attempt: at most one write on the wire, whatever happens.
func (d dialer) run(a *attempt) result {
	c, err := d.connect(a.conn, a.address)
	if err != nil {
		return result{status: clayladder.ConnectFailed}
	}
	a.conn = c
	if !a.stage.CompareAndSwap(waiting, claimed) { // dropped: its request ended or its upstream left
		return result{status: clayladder.Moot, conn: c}
	}
	if n, err := c.Write(a.head); err != nil {
		c.Close()
		if n < len(a.head) { // certain: the last byte never left this process
			return result{status: clayladder.ConnectFailed}
		}
		return result{status: clayladder.Reset}
	}
	return c.answer()
}

// answer reads an attempt's answer.
func (c *conn) answer() result {
	resp, body, err := c.read()
	if err != nil {
		c.Close()
		if errors.Is(err, errLarge) { // it has answered, with what can't be passed on
			return result{status: clayladder.Error}
		}
		return result{status: clayladder.Reset}
	}
	r := result{status: clayladder.Error, load: loadOf(resp.Header.Get("X-Load"))}
	switch {
	case resp.StatusCode == http.StatusOK:
		r.status, r.body, r.kind = clayladder.OK, body, resp.Header.Get("Content-Type")
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Run") == "1": // without that mark it may have run
		r.status = clayladder.Full
	}
	if resp.Close {
		c.Close()
	} else {
		r.conn = c
	}
	return r
}

var errLarge = errors.New("body over the bound")

// read reads one message whole.
func (c *conn) read() (*http.Response, []byte, error) {
	resp, err := http.ReadResponse(c.in, nil)
	for err == nil && resp.StatusCode < http.StatusOK { // 1xx come before the answer
		resp, err = http.ReadResponse(c.in, nil)
	}
	if err != nil {
		return nil, nil, err
	}
	if resp.ContentLength > maxBody {
		return nil, nil, errLarge
	}
	var body []byte
	if resp.ContentLength >= 0 {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
	} else if body, err = io.ReadAll(io.LimitReader(resp.Body, maxBody+1)); len(body) > maxBody {
		err = errLarge
	}
	return resp, body, err
}

// loadOf reads a load report: name=value pairs. What can't be read is passed over.
func loadOf(text string) clayladder.Load {
	var l clayladder.Load
	for part := range strings.SplitSeq(text, ",") {
		name, v, _ := strings.Cut(part, "=")
		if x, err := strconv.ParseFloat(strings.TrimSpace(v), 64); err == nil {
			wire.SetLoad(&l, strings.TrimSpace(name), x)
		}
	}
	return l
}

// probe asks an upstream for its load, or only whether it runs.
func (d dialer) probe(p *probe) (r result) {
	c, err := d.connect(p.conn, p.address)
	if err != nil {
		return result{status: clayladder.ConnectFailed}
	}
	path := "/healthz"
	if p.load {
		path = "/load"
	}
	c.SetReadDeadline(time.Now().Add(d.timeout))
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: "+p.address+"\r\n\r\n"); err != nil {
		c.Close()
		return result{status: clayladder.ConnectFailed}
	}
	r = c.answer()
	if p.load && r.status == clayladder.OK {
		if l := loadOf(string(r.body)); l.Fields != 0 {
			r.load = l
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

// notEndToEnd names what belongs to one connection, and what is written anew.
var notEndToEnd = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"Host": true, "X-Deadline-Ms": true, "Proxy-Authenticate": true, "Proxy-Authorization": true}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// message is the client's request as an upstream gets it, but for the first lines
// that message adds for an attempt. Method, path, query and body go on unchanged.
type message struct {
	line   string // method and target
	header http.Header
	host   string
	body   []byte
}

// bytes renders m for an attempt that waits so long.
func (m *message) bytes(wait time.Duration) []byte {
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	b.WriteString(m.line)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.host)
	b.WriteString("\r\nX-Deadline-Ms: ")
	b.WriteString(strconv.FormatInt(max(1, wait.Milliseconds()), 10))
	b.WriteString("\r\n")
	m.header.WriteSubset(b, notEndToEnd) // a buffer takes all
	if len(m.body) > 0 || strings.HasPrefix(m.line, http.MethodPost) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(m.body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(m.body)
	return bytes.Clone(b.Bytes())
}
