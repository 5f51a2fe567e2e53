package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/http1"
	"olivearch/internal/pool"
	"olivearch/internal/upstream"
)

const getRequest = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"

// heldRouter is a Router whose exchanges hold each request until the test answers it.
type heldRouter struct{ submitted chan *pool.Request }

type heldExchange struct {
	pool.Request
	router *heldRouter
}

func (r *heldRouter) Check(method, target string, h *http1.Fields) (Exchange, error) {
	exchange := &heldExchange{router: r}
	exchange.Message = upstream.Message{RequestLine: method + " " + target, Header: *h, Bodied: method == http.MethodPost}
	return exchange, nil
}
func (r *heldRouter) Ping()                      {}
func (r *heldRouter) Now() time.Duration         { return 0 }
func (r *heldRouter) MaxDeadline() time.Duration { return time.Second }

func (e *heldExchange) PoolRequest() *pool.Request { return &e.Request }
func (e *heldExchange) Done()                      {}
func (e *heldExchange) Admit() (pool.Response, error) {
	e.router.submitted <- &e.Request
	return pool.Response{}, nil
}

// reply answers the next request that is submitted.
func (r *heldRouter) reply(t *testing.T) {
	t.Helper()
	select {
	case request := <-r.submitted:
		request.Responses <- pool.Response{Status: http.StatusOK}
	case <-time.After(10 * time.Second):
		t.Fatal("no request was submitted within 10 s")
	}
}

// hookedConn is the server side of a client's connection, with hooks that a test can set.
type hookedConn struct {
	*net.TCPConn
	secondRead  chan struct{} // not nil: each Read after the first waits until it is closed
	reads       int
	beforeWrite func() // not nil: called before each Write
}

func (c *hookedConn) Read(b []byte) (int, error) {
	c.reads++
	if c.reads > 1 && c.secondRead != nil {
		<-c.secondRead
	}
	return c.TCPConn.Read(b)
}

func (c *hookedConn) Write(b []byte) (int, error) {
	if c.beforeWrite != nil {
		c.beforeWrite()
	}
	return c.TCPConn.Write(b)
}

// waitForBytes waits until the socket holds the given number of bytes from the client.
func (c *hookedConn) waitForBytes(t *testing.T, bytes int) {
	t.Helper()
	raw, err := c.SyscallConn()
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
	t.Fatal("the client's bytes did not arrive within 10 s")
}

// hookedListener accepts connections as hookedConns.
type hookedListener struct {
	net.Listener
	accepted chan *hookedConn // passes a connection from Accept to dial, and back once its hooks are set
}

func (l *hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	hooked := &hookedConn{TCPConn: conn.(*net.TCPConn)}
	l.accepted <- hooked
	<-l.accepted
	return hooked, nil
}

// newHookedServer starts a Server on a loopback port. It runs until the test ends.
func newHookedServer(t *testing.T) (*Server, *hookedListener, *heldRouter) {
	t.Helper()
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &hookedListener{tcpListener, make(chan *hookedConn)}
	router := &heldRouter{make(chan *pool.Request, 10)}
	server := New(router, listener, DefaultLimits(100))
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	t.Cleanup(func() {
		tcpListener.Close()
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return server, listener, router
}

// testClient is the client side of a connection.
type testClient struct {
	*net.TCPConn
	in *bufio.Reader
}

// dial opens a connection and calls setHooks on its server side before that is served.
func (l *hookedListener) dial(t *testing.T, setHooks func(*hookedConn)) (*testClient, *hookedConn) {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	hooked := <-l.accepted
	setHooks(hooked)
	l.accepted <- hooked
	return &testClient{conn.(*net.TCPConn), bufio.NewReader(conn)}, hooked
}

func noHooks(*hookedConn) {}

func (c *testClient) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatalf("sending %q: %v", text, err)
	}
}

func (c *testClient) expectStatus(t *testing.T, status int, closes bool) {
	t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("reading the body: %v", err)
	}
	if resp.StatusCode != status || resp.Close != closes {
		t.Errorf("got %d, closes %v; want %d, %v", resp.StatusCode, resp.Close, status, closes)
	}
}

// expectEnd checks that the connection ends without more bytes and without a reset, which could destroy a response.
func (c *testClient) expectEnd(t *testing.T) {
	t.Helper()
	if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 {
		t.Errorf("the connection ends with %q, %v", rest, err)
	}
}

// connectionsInStage returns the number of connections in a stage.
func (s *Server) connectionsInStage(at stage) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stageCounts[at]
}

// partialRequests returns the number of connections on which a request is being read.
func (s *Server) partialRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for c := range s.clients {
		if c.readingRequest && c.stage == stageReading {
			count++
		}
	}
	return count
}
