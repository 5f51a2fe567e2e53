package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// clientCount is how many clients ask at once. Every other one asks on new connections only.
	clientCount = 6
	// requestPause is a client's pause between two requests; it bounds the load.
	requestPause = 4 * time.Millisecond
	// requestTimeout bounds one request. It is over the time that a balancer gives one.
	requestTimeout = 10 * time.Second
	// maxRequestsPerClient ends a client in any case.
	maxRequestsPerClient = 10_000
)

// requestText is one request; its id is filled in.
const requestText = "POST /c HTTP/1.1\r\nHost: x\r\nX-Class: c\r\n" +
	requestIDHeader + ": %s\r\nContent-Length: 1\r\n\r\n1"

// loadFigures are what clients saw.
type loadFigures struct {
	Requests           int64 `json:"requests"`
	LostRequests       int64 `json:"lost_requests"`       // no answer, or another one than expected
	RefusedConnections int64 `json:"refused_connections"` // connections that could not be opened
	ClosedConnections  int64 `json:"closed_connections"`  // connections that the balancer closed or said it would
}

// load is clients that ask a balancer until they are told to stop.
type load struct {
	address                          string
	answered, lost, refused, closing atomic.Int64
	stopping                         chan struct{}
	once                             sync.Once
	clients                          sync.WaitGroup
}

// startLoad starts the clients.
func startLoad(address string) *load {
	running := &load{address: address, stopping: make(chan struct{})}
	for number := range clientCount {
		running.clients.Go(func() { running.ask(number) })
	}
	return running
}

// stop ends the clients, waits for them and returns what they saw. A second call returns the same.
func (l *load) stop() loadFigures {
	l.once.Do(func() { close(l.stopping) })
	l.clients.Wait()
	return loadFigures{
		Requests: l.answered.Load() + l.lost.Load(), LostRequests: l.lost.Load(),
		RefusedConnections: l.refused.Load(), ClosedConnections: l.closing.Load(),
	}
}

// awaitAnswers waits for so many further answers.
func (l *load) awaitAnswers(ctx context.Context, count int64) error {
	wanted := l.answered.Load() + count
	return poll(ctx, "requests", func(context.Context) error {
		if missing := wanted - l.answered.Load(); missing > 0 {
			return fmt.Errorf("%d of %d requests are not answered", missing, count)
		}
		return nil
	})
}

// ask is one client.
func (l *load) ask(number int) {
	keepsConnection := number%2 == 1
	var conn *clientConnection
	defer func() { conn.close() }()
	for serial := range maxRequestsPerClient {
		if conn == nil {
			conn = l.connect()
		}
		if conn != nil {
			reusable := l.request(conn, fmt.Sprintf("%02d%06d", number, serial))
			if !reusable || !keepsConnection {
				conn.close()
				conn = nil
			}
		}
		select {
		case <-l.stopping:
			return
		case <-time.After(requestPause):
		}
	}
}

// clientConnection is a client's connection with what was read of it ahead.
type clientConnection struct {
	net.Conn
	reader *bufio.Reader
}

// close ends the connection, if there is one.
func (c *clientConnection) close() {
	if c != nil {
		c.Close()
	}
}

// connect opens a connection, or returns nil and notes that it was refused.
func (l *load) connect() *clientConnection {
	conn, err := net.DialTimeout("tcp", l.address, requestTimeout)
	if err != nil {
		l.refused.Add(1)
		return nil
	}
	return &clientConnection{conn, bufio.NewReader(conn)}
}

// request sends a request and waits for its answer. It returns whether the connection can take another.
func (l *load) request(conn *clientConnection, requestID string) (reusable bool) {
	answer, err := exchange(conn, requestID)
	switch {
	case err != nil:
		l.lost.Add(1)
		l.closing.Add(1)
		return false
	case answer.status != http.StatusOK:
		l.lost.Add(1)
	default:
		l.answered.Add(1)
	}
	if answer.closes {
		l.closing.Add(1)
	}
	return !answer.closes
}

// clientAnswer is what a client needs to know of an answer.
type clientAnswer struct {
	status int
	closes bool // the connection takes no further request
}

// exchange sends a request and reads its answer, which must carry the request's id if it is a good one.
func exchange(conn *clientConnection, requestID string) (clientAnswer, error) {
	if err := conn.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return clientAnswer{}, fmt.Errorf("sending a request: %w", err)
	}
	if _, err := fmt.Fprintf(conn, requestText, requestID); err != nil {
		return clientAnswer{}, fmt.Errorf("sending a request: %w", err)
	}
	answer, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return clientAnswer{}, fmt.Errorf("reading an answer: %w", err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return clientAnswer{}, fmt.Errorf("reading an answer's body: %w", err)
	}
	if answer.StatusCode == http.StatusOK && string(body) != requestID {
		return clientAnswer{}, fmt.Errorf("the answer to request %s is that to %q", requestID, body)
	}
	return clientAnswer{status: answer.StatusCode, closes: answer.Close}, nil
}
