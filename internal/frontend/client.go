package frontend

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/cpushare"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// clientConn is the connection of a client. The package comment describes its goroutines, its stages and the states of
// its exchange.
type clientConn struct {
	*http1.Stream
	conn *deadlineConn // the connection that Stream wraps

	// These fields are written under the Server's lock. The goroutines of the connection read without the lock only
	// those that they alone write.
	stage              stage
	stageSince         time.Time
	readingRequest     bool         // a request of which the first byte has arrived is being read
	tunnel             *body.Tunnel // set once the connection has become a tunnel
	closeAfterResponse bool
	transferEnd        time.Time // by which the bodies of the exchange must be transferred; zero: none is streamed

	exchangeState atomic.Int32 // an exchangeState
	// The exchange and its two flags are owned by the reader, and from exchangePending on by the writer.
	exchange       Exchange
	closeRequested bool // the connection is closed after the response
	http10         bool // the request is an HTTP/1.0 request

	holding *holding // of the request; nil: nothing may be held

	// requestID is the id that the client gave to the request that is being read; empty: none yet. The reader owns it.
	requestID    string
	requestBegan time.Time // when the reading of the request began

	// closeGracefully requests a lingering close, since the connection ends between requests or after a response.
	// It is written by the goroutine that ends the connection.
	closeGracefully bool

	responses chan pool.Response // has capacity for the final response and one interim response
	responded chan bool          // signals that the final response is written; false: the connection ends
}

// exchangeState is the state of a connection's exchange. It determines which goroutine may proceed with the exchange.
type exchangeState int32

const (
	exchangeNone     exchangeState = iota // no pool has a request of the connection
	exchangePending                       // a pool has a request, and no response has arrived
	exchangeAnswered                      // the response has arrived: the client's next bytes are the next request
	exchangeCanceled                      // the reader has ended the exchange: no response is written
)

// newClientConn returns a connection in stageReading.
func newClientConn(raw net.Conn) *clientConn {
	conn := &deadlineConn{Conn: raw}
	conn.flow.StartAsNewcomer()
	return &clientConn{
		Stream:     http1.NewStream(conn, readBufferBytes),
		conn:       conn,
		stage:      stageReading,
		stageSince: time.Now(),
		responses:  make(chan pool.Response, 2),
		responded:  make(chan bool, 1),
	}
}

// address returns the client's address in logs.
func (c *clientConn) address() string {
	address := c.RemoteAddr()
	if address == nil { // of a socket that is closed already
		return ""
	}
	return address.String()
}

// claim changes the state of a pending exchange. It returns false if the exchange is not pending, so only the first of
// reader and writer succeeds.
func (c *clientConn) claim(state exchangeState) bool {
	return c.exchangeState.CompareAndSwap(int32(exchangePending), int32(state))
}

// setExchangeState sets the state of the exchange. Only the goroutine that owns the exchange calls it.
func (c *clientConn) setExchangeState(state exchangeState) { c.exchangeState.Store(int32(state)) }

// isExchangePending reports whether a pool has a request of the connection and no response has arrived.
func (c *clientConn) isExchangePending() bool {
	return exchangeState(c.exchangeState.Load()) == exchangePending
}

// cancelExchange tells the pool that the client has left, and releases the exchange.
func (c *clientConn) cancelExchange() {
	c.exchange.PoolRequest().ClientLeft()
	c.releaseExchange()
}

// releaseExchange releases the memory of the request's body and ends the exchange.
func (c *clientConn) releaseExchange() {
	if upload := c.exchange.PoolRequest().Message.Upload; upload != nil {
		upload.Release()
	}
	c.holding.release()
	c.exchange.Done()
}

// releaseUnsubmitted releases the memory of a request that no pool has. It does nothing for a nil exchange.
func (c *clientConn) releaseUnsubmitted(exchange Exchange) {
	if exchange == nil {
		return
	}
	if upload := exchange.PoolRequest().Message.Upload; upload != nil {
		upload.Release()
	}
	c.holding.release()
}

// waitWithoutDeadline removes the read deadline while a pool has the request. Once a response has arrived it returns
// false and changes nothing, so that it can't remove a deadline that the writer has set.
func (c *clientConn) waitWithoutDeadline() bool {
	c.conn.mu.Lock()
	defer c.conn.mu.Unlock()
	if !c.isExchangePending() {
		return false
	}
	c.conn.removeReadDeadline()
	return true
}

// interruptRead ends the reader's wait for bytes with a timeout error.
func (c *clientConn) interruptRead() {
	_ = c.SetReadDeadline(expiredDeadline) // if it fails, so does the read
}

// closeBeforeBodyEnd does a lingering close if the response was written before the client had sent its whole body.
func (c *clientConn) closeBeforeBodyEnd() {
	upload := c.exchange.PoolRequest().Message.Upload
	if upload.Unread() {
		upload.Stop()
		c.lingeringClose(requestTimeout, lingerBodyBytes)
	}
}

// discardUnread does a lingering close if a part of the body is unread, which no attempt will read: a client that has
// only ended its sending must see the connection end, and not a reset.
func (c *clientConn) discardUnread(upload *body.Upload) {
	if !upload.Consumed() {
		c.lingeringClose(lingerTimeout, lingerBodyBytes)
	}
}

// lingeringClose closes the write side, and then reads and discards up to maxBytes bytes until the client closes the
// connection or the timeout ends. Its errors mean that the client has closed the connection, so they are ignored.
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
	unread := cpushare.Reader{Flow: &c.conn.flow, Peer: halfCloser}
	_, _ = io.CopyN(io.Discard, unread, maxBytes)
}
