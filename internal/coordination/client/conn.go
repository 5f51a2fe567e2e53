package client

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// requestConn is a connection for requests, of which several may be in flight. A goroutine of its own reads the
// responses until the connection breaks; its methods may be called from many goroutines.
type requestConn struct {
	netConn net.Conn
	writeMu sync.Mutex // held while a frame is written, so that frames do not mix

	mu          sync.Mutex // guards the fields below
	lastNumber  uint64     // of the last request
	pending     map[uint64]chan Response
	lastContact time.Time
	serverTick  uint64 // the latest Response.Tick
	err         error  // why the connection broke; nil: it has not
}

// openRequestConn connects to a server and begins to read. clientName is for the server's logs.
func openRequestConn(ctx context.Context, address, clientName string) (*requestConn, error) {
	netConn, reader, welcome, err := Dial(ctx, address, Hello{Role: RoleClient, Name: clientName})
	if err != nil {
		return nil, err
	}
	c := &requestConn{
		netConn:     netConn,
		pending:     map[uint64]chan Response{},
		lastContact: time.Now(),
		serverTick:  welcome.Tick,
	}
	go c.readResponses(reader)
	return c, nil
}

// close closes the connection; calls in flight then fail.
func (c *requestConn) close() { c.netConn.Close() }

// readResponses hands responses to the calls that wait for them, until the connection breaks or is idle for too long.
func (c *requestConn) readResponses(reader *bufio.Reader) {
	for {
		response, err := c.readResponse(reader)
		if err != nil {
			c.fail(err)
			return
		}
		c.deliver(response)
	}
}

func (c *requestConn) readResponse(reader *bufio.Reader) (Response, error) {
	_ = c.netConn.SetReadDeadline(time.Now().Add(idleTimeout)) // if it fails, so does the read
	body, err := ReadFrame(reader, MaxFrame)
	if err != nil {
		return Response{}, err
	}
	return DecodeResponse(body)
}

// deliver hands a response to the call that waits for it. A server's keep-alive has number 0, which no call has.
func (c *requestConn) deliver(response Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact = time.Now()
	c.serverTick = max(c.serverTick, response.Tick)
	if waiting := c.pending[response.Number]; waiting != nil {
		delete(c.pending, response.Number)
		waiting <- response // the channel has a buffer of one
	}
}

// fail ends all calls in flight and closes the connection.
func (c *requestConn) fail(err error) {
	c.mu.Lock()
	c.err = err
	for _, waiting := range c.pending {
		close(waiting)
	}
	c.pending = nil
	c.mu.Unlock()
	c.close()
}

// usable tells whether a message from the server has arrived lately.
func (c *requestConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && time.Since(c.lastContact) < StaleAfter
}

// call sends a request and waits for its response. The error wraps errNotSent if the server has certainly not
// received the request.
func (c *requestConn) call(ctx context.Context, request Request) (Response, error) {
	waiting, err := c.register(&request)
	if err != nil {
		return Response{}, err
	}
	if err := c.send(ctx, &request); err != nil {
		// A part of the frame may be on its way, but a server acts on whole frames only.
		c.close()
		return Response{}, fmt.Errorf("%w: %w", errNotSent, err)
	}
	select {
	case response, ok := <-waiting:
		if !ok {
			return response, errConnectionLost
		}
		return response, nil
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.pending, request.Number)
		c.mu.Unlock()
		return Response{}, fmt.Errorf("no answer: %w", ctx.Err())
	}
}

// register numbers a request and returns the channel for its response, which is closed if the connection breaks.
func (c *requestConn) register(request *Request) (<-chan Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, c.err)
	}
	c.lastNumber++
	request.Number = c.lastNumber
	request.Tick = c.serverTick
	waiting := make(chan Response, 1)
	c.pending[request.Number] = waiting
	return waiting, nil
}

// send writes a request's frame, by the context's deadline.
func (c *requestConn) send(ctx context.Context, request *Request) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.netConn.SetWriteDeadline(deadline) // if it fails, so does the write
	}
	return WriteFrame(c.netConn, request.Encode())
}
