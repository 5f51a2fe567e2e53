package client

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// requestConn is a connection on which several requests may be in flight. A goroutine of its own reads the responses
// until the connection breaks. Its methods are safe for concurrent use.
type requestConn struct {
	netConn net.Conn
	writeMu sync.Mutex // held while a frame is written, so that frames do not overlap

	mu          sync.Mutex               // guards the fields below
	lastNumber  uint64                   // the number of the last request
	pending     map[uint64]chan Response // calls in flight, by request number
	lastContact time.Time
	serverTick  uint64 // the latest Response.Tick
	err         error  // why the connection broke; nil while it works
}

// openRequestConn connects to a server and starts to read responses. clientName identifies the client in the server's
// logs.
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

// close closes the connection. Calls in flight fail.
func (c *requestConn) close() { c.netConn.Close() }

// readResponses delivers responses to the calls that wait for them, until the connection breaks or nothing arrives for
// idleTimeout.
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

// deliver passes a response to the call that waits for it. A keep-alive is a response with number 0, which no request
// has.
func (c *requestConn) deliver(response Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact = time.Now()
	c.serverTick = max(c.serverTick, response.Tick)
	if responses := c.pending[response.Number]; responses != nil {
		delete(c.pending, response.Number)
		responses <- response // the channel has a buffer of one
	}
}

// fail records why the connection broke, ends all calls in flight and closes the connection.
func (c *requestConn) fail(err error) {
	c.mu.Lock()
	c.err = err
	for _, responses := range c.pending {
		close(responses)
	}
	c.pending = nil
	c.mu.Unlock()
	c.close()
}

// usable reports whether the connection works and a message from the server has arrived within StaleAfter.
func (c *requestConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && time.Since(c.lastContact) < StaleAfter
}

// call sends a request and waits for its response. The error wraps errNotSent if the server has certainly not
// received the request.
func (c *requestConn) call(ctx context.Context, request Request) (Response, error) {
	responses, err := c.register(&request)
	if err != nil {
		return Response{}, err
	}
	if err := c.send(ctx, &request); err != nil {
		// A part of the frame may have been sent, but a server acts on complete frames only.
		c.close()
		return Response{}, fmt.Errorf("%w: %w", errNotSent, err)
	}
	select {
	case response, ok := <-responses:
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

// register gives a request its number and returns the channel for its response, which is closed if the connection
// breaks.
func (c *requestConn) register(request *Request) (<-chan Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, c.err)
	}
	c.lastNumber++
	request.Number = c.lastNumber
	request.Tick = c.serverTick
	responses := make(chan Response, 1)
	c.pending[request.Number] = responses
	return responses, nil
}

// send writes a request's frame. It fails at the context's deadline.
func (c *requestConn) send(ctx context.Context, request *Request) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.netConn.SetWriteDeadline(deadline) // if it fails, so does the write
	}
	return WriteFrame(c.netConn, request.Encode())
}
