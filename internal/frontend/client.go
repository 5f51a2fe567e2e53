package frontend

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// clientConn is a client's connection. The package's comment has its goroutines, stages and the states of its exchange.
type clientConn struct {
	*http1.Stream
	conn *deadlineConn // that Stream reads and writes

	// Written under the Server's lock, and by the goroutines of the connection alone where they read it without.
	stage              stage
	stageSince         time.Time
	readingRequest     bool         // the first byte of a request has come, and it is being read
	tunnel             *body.Tunnel // that the connection has become; nil: none
	closeAfterResponse bool

	exchangeState atomic.Int32 // an exchangeState
	// exchange and what its request said are the reader's, and the writer's from pending on.
	exchange       Exchange
	closeRequested bool // the connection is closed behind the response
	http10         bool // the request is of HTTP/1.0

	// closeGracefully reports that the connection ends between requests or behind a response: what the client sends at
	// the same time is read. It is the goroutine's that ends the connection.
	closeGracefully bool

	responses chan pool.Response // has room for the final response and for an interim one
	responded chan bool          // the writer has written the final response; false: the connection ends
}

// exchangeState says which of a connection's goroutines has its exchange.
type exchangeState int32

const (
	exchangeNone     exchangeState = iota // no pool has a request of the connection
	exchangePending                       // a pool has one
	exchangeAnswered                      // its response has come: what the client sends is the next request
	exchangeCanceled                      // the reader has ended it: no response is written
)

// newClientConn returns a connection at the stage of reading.
func newClientConn(raw net.Conn) *clientConn {
	conn := &deadlineConn{Conn: raw}
	return &clientConn{
		Stream:     http1.NewStream(conn, readBufferBytes),
		conn:       conn,
		stage:      stageReading,
		stageSince: time.Now(),
		responses:  make(chan pool.Response, 2),
		responded:  make(chan bool, 1),
	}
}

// claim lets the reader or the writer move a pending exchange on: one of them, once.
func (c *clientConn) claim(state exchangeState) bool {
	return c.exchangeState.CompareAndSwap(int32(exchangePending), int32(state))
}

// setExchangeState is for who alone may move the exchange on.
func (c *clientConn) setExchangeState(state exchangeState) { c.exchangeState.Store(int32(state)) }

// isExchangePending reports whether a pool has a request of the connection and no response has come.
func (c *clientConn) isExchangePending() bool {
	return exchangeState(c.exchangeState.Load()) == exchangePending
}

// cancelExchange ends the request that a pool has.
func (c *clientConn) cancelExchange() {
	c.exchange.PoolRequest().ClientLeft()
	c.releaseExchange()
}

// releaseExchange gives back the memory of the request's body, and counts the exchange out.
func (c *clientConn) releaseExchange() {
	if upload := c.exchange.PoolRequest().Message.Upload; upload != nil {
		upload.Release()
	}
	c.exchange.Done()
}

// waitWithoutDeadline lets the reader wait for as long as a pool has the request, whatever deadline stood before. It
// fails once the response has come, so that it never undoes a deadline that the writer has set since.
func (c *clientConn) waitWithoutDeadline() bool {
	c.conn.mu.Lock()
	defer c.conn.mu.Unlock()
	if !c.isExchangePending() {
		return false
	}
	c.conn.removeReadDeadline()
	return true
}

// interruptRead ends the reader's wait for bytes.
func (c *clientConn) interruptRead() {
	_ = c.SetReadDeadline(expiredDeadline) // fails on a closed connection, as the read does then
}

// closeBeforeBodyEnd ends a connection whose response was written before the client had sent its body to the end.
func (c *clientConn) closeBeforeBodyEnd() {
	upload := c.exchange.PoolRequest().Message.Upload
	if upload.Unread() {
		upload.Stop()
		c.lingeringClose(requestTimeout, lingerBodyBytes)
	}
}

// lingeringClose closes this side, and reads and drops what the client still sends, for a time and up to a number of
// bytes. Its errors are those of a connection that the client has closed, which is what it waits for.
func (c *clientConn) lingeringClose(timeout time.Duration, maxBytes int64) {
	halfCloser, ok := c.conn.Conn.(interface {
		net.Conn
		CloseWrite() error
	})
	if !ok {
		return
	}
	_ = halfCloser.CloseWrite()
	_ = halfCloser.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.CopyN(io.Discard, halfCloser, maxBytes)
}
