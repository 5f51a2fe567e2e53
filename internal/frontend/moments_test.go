package frontend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/http1"
	"olivearch/internal/pool"
	"olivearch/internal/upstream"
)

// heldRouter is a desk whose pool answers each request when the test says so.
type heldRouter struct{ asked chan *pool.Request }

type heldExchange struct {
	pool.Request
	desk *heldRouter
}

func (d *heldRouter) Check(method, target string, h *http1.Fields) (Exchange, error) {
	q := &heldExchange{desk: d}
	q.Message = upstream.Message{Line: method + " " + target, Header: *h, Bodied: method == http.MethodPost}
	return q, nil
}
func (d *heldRouter) Ping()                      {}
func (d *heldRouter) Now() time.Duration         { return 0 }
func (d *heldRouter) MaxDeadline() time.Duration { return time.Second }

func (q *heldExchange) PoolRequest() *pool.Request { return &q.Request }
func (q *heldExchange) Done()                      {}
func (q *heldExchange) Admit() (pool.Response, error) {
	q.desk.asked <- &q.Request
	return pool.Response{}, nil
}

// reply answers the next request that comes.
func (d *heldRouter) reply(t *testing.T) {
	t.Helper()
	select {
	case q := <-d.asked:
		q.Responses <- pool.Response{Status: http.StatusOK}
	case <-time.After(10 * time.Second):
		t.Fatal("no request comes")
	}
}

// hookedConn is a client's connection as the Front has it, with places at which a test may step in.
type hookedConn struct {
	*net.TCPConn
	read  chan struct{} // not nil: a second Read begins once it is closed
	reads int
	write func() // called before each Write
}

func (s *hookedConn) Read(b []byte) (int, error) {
	if s.reads++; s.reads > 1 && s.read != nil {
		<-s.read
	}
	return s.TCPConn.Read(b)
}

func (s *hookedConn) Write(b []byte) (int, error) {
	if s.write != nil {
		s.write()
	}
	return s.TCPConn.Write(b)
}

// arrived waits until bytes of the client are in the socket.
func (s *hookedConn) arrived(t *testing.T, bytes int) {
	t.Helper()
	raw, err := s.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, bytes)
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); runtime.Gosched() {
		n := 0
		err := raw.Control(func(fd uintptr) {
			n, _, _ = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		if err != nil {
			t.Fatal(err)
		}
		if n >= bytes {
			return
		}
	}
	t.Fatal("the client's bytes do not come")
}

// hookedListener is a Front whose connections are seams.
type hookedListener struct {
	net.Listener
	taken chan *hookedConn
}

func (l *hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &hookedConn{TCPConn: c.(*net.TCPConn)}
	l.taken <- s
	<-l.taken // the test has set what it wants
	return s, nil
}

// newHookedServer serves on a loopback port until the test ends.
func newHookedServer(t *testing.T) (*Server, *hookedListener, *heldRouter) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, d := &hookedListener{l, make(chan *hookedConn)}, &heldRouter{make(chan *pool.Request, 10)}
	f := New(d, s, Usual(100))
	go f.Serve()
	t.Cleanup(func() { l.Close() })
	return f, s, d
}

// dial opens a connection and lets a test set its seam before it is served.
func (l *hookedListener) dial(t *testing.T, set func(*hookedConn)) (*net.TCPConn, *bufio.Reader, *hookedConn) {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	s := <-l.taken
	set(s)
	l.taken <- s
	return c.(*net.TCPConn), bufio.NewReader(c), s
}

const getRequest = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"

func expectStatus(t *testing.T, in *bufio.Reader, status int, closes bool) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != status || resp.Close != closes {
		t.Errorf("got %d, closes %v; want %d, %v", resp.StatusCode, resp.Close, status, closes)
	}
}

// expectEnd reads to the end, which must be no reset: that would destroy an answer under way.
func expectEnd(t *testing.T, in *bufio.Reader) {
	t.Helper()
	if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 {
		t.Errorf("the connection ends with %q, %v", rest, err)
	}
}

// A request comes on a resting connection in the moment in which the balancer lets that go: the bytes are in the socket, and the reader
// has not seen them when it is told to end. It is served, and the connection goes behind its answer.
func TestRequestCrossesTheStop(t *testing.T) {
	f, l, d := newHookedServer(t)
	gate := make(chan struct{})
	c, in, s := l.dial(t, func(s *hookedConn) { s.read = gate })
	io.WriteString(c, getRequest)
	d.reply(t)
	expectStatus(t, in, http.StatusOK, false)
	for f.stages(stageIdle) == 0 {
		runtime.Gosched()
	}
	stopped := make(chan struct{})
	go func() { f.Stop(); close(stopped) }()
	for f.stages(stageIdle) > 0 { // let go
		runtime.Gosched()
	}
	io.WriteString(c, getRequest)
	s.arrived(t, len(getRequest))
	close(gate)
	d.reply(t)
	expectStatus(t, in, http.StatusOK, true)
	expectEnd(t, in)
	<-stopped
}

// Behind the last answer of a connection the client has sent more than is ever read. A close over that would be a reset.
func TestBytesUnderTheLastAnswer(t *testing.T) {
	_, l, d := newHookedServer(t)
	more := bytes.Repeat([]byte("x"), 64<<10)
	sent := make(chan func(), 1) // lets the client send more
	c, in, _ := l.dial(t, func(s *hookedConn) {
		s.write = func() {
			(<-sent)()
			s.arrived(t, 16<<10)
		}
	})
	sent <- func() { c.Write(more) }
	io.WriteString(c, strings.Replace(getRequest, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	d.reply(t)
	expectStatus(t, in, http.StatusOK, true)
	expectEnd(t, in)
}

// A request of which a part has come when the balancer is told to end is served if the rest comes soon, and answered if it does not.
func TestPartOfARequestAtTheStop(t *testing.T) {
	for _, x := range []struct {
		rest   string
		status int
	}{{getRequest[20:], http.StatusOK}, {"", http.StatusRequestTimeout}} {
		t.Run(fmt.Sprint(x.status), func(t *testing.T) {
			t.Parallel()
			f, l, d := newHookedServer(t)
			unused, _, _ := l.dial(t, func(*hookedConn) {})
			c, in, _ := l.dial(t, func(*hookedConn) {})
			io.WriteString(c, getRequest[:20])
			for f.reading() == 0 {
				runtime.Gosched()
			}
			stopped := make(chan struct{})
			go func() { f.Stop(); close(stopped) }()
			if _, err := unused.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // from here on those without a byte have gone
				t.Errorf("an unused connection ends with %v", err)
			}
			io.WriteString(c, x.rest)
			if x.rest != "" {
				d.reply(t)
			}
			expectStatus(t, in, x.status, true)
			expectEnd(t, in)
			<-stopped
		})
	}
}

// stages counts the connections at a stage.
func (f *Server) stages(s stage) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stageCounts[s]
}

// reading counts the connections on which a request is being read.
func (f *Server) reading() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.clients {
		if c.readingRequest && c.stage == stageReading {
			n++
		}
	}
	return n
}
