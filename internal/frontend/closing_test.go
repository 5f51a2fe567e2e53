package frontend

import (
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// stopInBackground calls Stop, and returns a channel that is closed once it has returned.
func stopInBackground(server *Server) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		server.Stop()
		close(stopped)
	}()
	return stopped
}

// A request comes on an idle connection at the moment at which the balancer lets that end: the bytes are in the socket,
// and the reader has not seen them when it is interrupted. It is served, and its response closes the connection.
func TestStopServesRequestThatCrossesIt(t *testing.T) {
	server, listener, router := newHookedServer(t)
	gate := make(chan struct{})
	client, conn := listener.dial(t, func(conn *hookedConn) { conn.secondRead = gate })
	client.send(t, getRequest)
	router.reply(t)
	client.expectStatus(t, http.StatusOK, false)
	for server.connectionsInStage(stageIdle) == 0 {
		runtime.Gosched()
	}
	stopped := stopInBackground(server)
	for server.connectionsInStage(stageIdle) > 0 { // until it is to end
		runtime.Gosched()
	}
	client.send(t, getRequest)
	conn.waitForBytes(t, len(getRequest))
	close(gate)
	router.reply(t)
	client.expectStatus(t, http.StatusOK, true)
	client.expectEnd(t)
	<-stopped
}

// Behind the last response of a connection the client has sent more than is ever read. A close over that would be a
// reset.
func TestLastResponseArrivesOverUnreadBytes(t *testing.T) {
	_, listener, router := newHookedServer(t)
	more := strings.Repeat("x", 64<<10)
	sendMore := make(chan func(), 1)
	client, _ := listener.dial(t, func(conn *hookedConn) {
		conn.beforeWrite = func() {
			(<-sendMore)()
			conn.waitForBytes(t, 16<<10)
		}
	})
	sendMore <- func() {
		// It may fail in part: the connection is closed with bytes in the socket.
		_, _ = io.WriteString(client, more)
	}
	client.send(t, strings.Replace(getRequest, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	router.reply(t)
	client.expectStatus(t, http.StatusOK, true)
	client.expectEnd(t)
}

// A request of which a part has come when the balancer is told to stop is served if the rest comes soon, and rejected
// if it does not.
func TestStopBoundsPartialRequest(t *testing.T) {
	for _, test := range []struct {
		name   string
		rest   string
		status int
	}{
		{"the rest comes", getRequest[20:], http.StatusOK},
		{"the rest does not come", "", http.StatusRequestTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server, listener, router := newHookedServer(t)
			unused, _ := listener.dial(t, noHooks)
			client, _ := listener.dial(t, noHooks)
			client.send(t, getRequest[:20])
			for server.partialRequests() == 0 {
				runtime.Gosched()
			}
			stopped := stopInBackground(server)
			// Once the unused connection has ended, those that have sent no byte are closed.
			if _, err := unused.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("an unused connection ends with %v", err)
			}
			client.send(t, test.rest)
			if test.rest != "" {
				router.reply(t)
			}
			client.expectStatus(t, test.status, true)
			client.expectEnd(t)
			<-stopped
		})
	}
}
