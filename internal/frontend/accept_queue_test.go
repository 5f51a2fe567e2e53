package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"olivearch/internal/http1"
)

// busyListener is a listener whose Accept does not come to its queue before it is closed.
type busyListener struct {
	*net.TCPListener
	closed chan struct{}
}

func (l *busyListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *busyListener) Close() error {
	close(l.closed)
	return l.TCPListener.Close()
}

// TestRequestsInTheAcceptQueueAreAnsweredAtShutdown: their connections came up before the listener was closed.
func TestRequestsInTheAcceptQueueAreAnsweredAtShutdown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	busy := &busyListener{TCPListener: listener.(*net.TCPListener), closed: make(chan struct{})}
	server := New(&heldRouter{}, busy, DefaultLimits(100))
	go func() { _ = server.Serve() }() // returns once the listener is closed
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if _, err := io.WriteString(client, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	go server.Stop()
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want %d", response.StatusCode, http.StatusServiceUnavailable)
	}
}

// TestConnectionThatWasLeftIsNotServed guards against newcomers that wait behind clients which connect and close
// without a pause: a connection without a byte is closed before the next one is accepted.
func TestConnectionThatWasLeftIsNotServed(t *testing.T) {
	_, listener, router := newHookedServer(t)
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	left := <-listener.accepted
	client.Close()
	for !http1.Peek(left).AtEnd() {
		runtime.Gosched() // until the end has arrived; the test's time limit bounds it
	}
	listener.accepted <- left
	next, _ := listener.dial(t, func(*hookedConn) {
		if http1.Peek(left) != http1.PeerBroken { // which is also said of a connection that is closed on this side
			t.Error("the connection that was left is open although the next one has been accepted")
		}
	})
	next.send(t, getRequest)
	router.reply(t)
	next.expectStatus(t, http.StatusOK, false)
}
