package frontend

import (
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// stopInBackground calls Stop in a goroutine. It returns a channel that is closed once Stop has returned.
func stopInBackground(server *Server) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		server.Stop()
		close(stopped)
	}()
	return stopped
}

// A request arrives on an idle connection while Stop retires that: its bytes are in the socket, but the reader is
// interrupted before it has read them. The request is served, and its response closes the connection.
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
	for server.connectionsInStage(stageIdle) > 0 { // until Stop has retired the connection
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

// A client has sent more bytes than the server reads when the last response is written. A plain close would reset the
// connection, and the response would be lost.
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
		// The write may fail in part, since the server closes the connection before it has read all bytes.
		_, _ = io.WriteString(client, more)
	}
	client.send(t, strings.Replace(getRequest, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	router.reply(t)
	client.expectStatus(t, http.StatusOK, true)
	client.expectEnd(t)
}

// A request that has arrived in part when Stop is called is served if the rest arrives soon, and rejected if it does
// not.
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
			// The end of the unused connection shows that Stop has retired the connections without a byte.
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
