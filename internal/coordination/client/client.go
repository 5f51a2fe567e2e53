package client

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// roundPause is the pause between two rounds over all servers.
	roundPause = 25 * time.Millisecond
	// avoidFailedFor is how long a server that could not be reached or did not answer is tried after the others.
	avoidFailedFor = 2 * time.Second
)

// Client sends requests to servers, over one connection to each. It is safe for concurrent use. A call returns at the
// latest when its context ends.
type Client struct {
	name    string
	servers map[string]string // addresses by name

	mu         sync.Mutex // guards the fields below
	conns      map[string]*requestConn
	leaderHint string               // the leader's name by the latest response that has one
	failedAt   map[string]time.Time // time of the last failed call, by server; none if a later call succeeded
	closed     bool
}

// New returns a Client of the voters, given as addresses by name. name identifies the client in the servers' logs.
func New(name string, voters map[string]string) *Client {
	return &Client{
		name:     name,
		servers:  maps.Clone(voters),
		conns:    map[string]*requestConn{},
		failedAt: map[string]time.Time{},
	}
}

// Voters returns the names of the servers that the client knows, sorted.
func (c *Client) Voters() []string { return slices.Sorted(maps.Keys(c.servers)) }

// Close closes the client's connections. Calls in flight fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		conn.close()
	}
}

// Call sends a request to one server. The error wraps ErrNotAttempted if the server has certainly not received the
// request, and ErrUncertain otherwise. A nil error does not mean that the request was carried out: see
// Response.Outcome. If request.Within is 0, it is set to the time left until the context's deadline.
func (c *Client) Call(ctx context.Context, server string, request Request) (Response, error) {
	conn, err := c.connection(ctx, server)
	if err != nil {
		c.recordFailure(server)
		return Response{}, &callError{kind: ErrNotAttempted, server: server, cause: err}
	}
	if deadline, ok := ctx.Deadline(); ok && request.Within == 0 {
		request.Within = time.Until(deadline)
	}
	response, err := conn.call(ctx, request)
	switch {
	case errors.Is(err, errNotSent):
		return response, &callError{kind: ErrNotAttempted, server: server, cause: err}
	case err != nil:
		c.recordFailure(server)
		return response, &callError{kind: ErrUncertain, server: server, cause: err}
	}
	c.recordSuccess(server, response.Leader)
	return response, nil
}

// connection returns the current connection to a server if it is usable, and opens a new one otherwise.
func (c *Client) connection(ctx context.Context, server string) (*requestConn, error) {
	c.mu.Lock()
	conn, address := c.conns[server], c.servers[server]
	c.mu.Unlock()
	if conn != nil && conn.usable() {
		return conn, nil
	}
	if address == "" {
		return nil, fmt.Errorf("no address of a voter %q is known", server)
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout(ctx))
	defer cancel()
	conn, err := openRequestConn(ctx, address, c.name)
	if err != nil {
		return nil, err
	}
	return c.storeConnection(server, conn)
}

// connectTimeout returns how long to wait for a connection to one server: a part of the time left, so that others can
// be tried.
func connectTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return dialTimeout
	}
	return max(time.Until(deadline)/3, time.Millisecond)
}

// storeConnection stores a new connection to a server and returns it. If another goroutine has stored a usable one in
// the meantime, it closes the new connection and returns the stored one.
func (c *Client) storeConnection(server string, conn *requestConn) (*requestConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.close()
		return nil, errClosed
	}
	if current := c.conns[server]; current != nil {
		if current.usable() {
			conn.close()
			return current, nil
		}
		current.close()
	}
	c.conns[server] = conn
	return conn, nil
}

func (c *Client) recordFailure(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt[server] = time.Now()
}

func (c *Client) recordSuccess(server, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.failedAt, server)
	if leader != "" {
		c.leaderHint = leader
	}
}

// preferenceOrder returns the order in which to try the servers: the last known leader first, the others in random
// order, and after them all that have failed within avoidFailedFor.
func (c *Client) preferenceOrder() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := slices.Collect(maps.Keys(c.servers))
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	if i := slices.Index(names, c.leaderHint); i > 0 {
		names[0], names[i] = names[i], names[0]
	}
	now := time.Now()
	failedRecently := func(name string) int {
		if now.Before(c.failedAt[name].Add(avoidFailedFor)) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(names, func(a, b string) int { return failedRecently(a) - failedRecently(b) })
	return names
}

// callAny tries one server after another until one carries out or rejects the request, the outcome is uncertain, or the
// context ends. The error wraps ErrNotAttempted, ErrUncertain or ErrRejected.
func (c *Client) callAny(ctx context.Context, request Request) (Response, error) {
	reasons := map[string]string{} // by server: why it did not attempt the request
	for {
		for _, server := range c.preferenceOrder() {
			request.Within = 0 // Call sets it to the time left
			response, err := c.Call(ctx, server, request)
			answered := err == nil
			if answered {
				err = checkOutcome(server, &response)
			}
			var failure *callError
			if !errors.Is(err, ErrNotAttempted) || !errors.As(err, &failure) {
				return response, err
			}
			// An error after the context's end says nothing about the server, so an earlier reason is kept.
			if answered || ctx.Err() == nil || reasons[server] == "" {
				reasons[server] = failure.reason()
			}
			if ctx.Err() != nil {
				return Response{}, unreachableError(reasons)
			}
		}
		select {
		case <-time.After(roundPause):
		case <-ctx.Done():
			return Response{}, unreachableError(reasons)
		}
	}
}

// checkOutcome returns nil if the request was done. Otherwise the error wraps ErrRejected, ErrUncertain, or
// ErrNotAttempted, after which another server may be tried.
func checkOutcome(server string, response *Response) error {
	switch response.Outcome {
	case OutcomeDone:
		return nil
	case OutcomeRejected:
		return fmt.Errorf("%w: %s", ErrRejected, response.Message)
	case OutcomeNotAttempted:
		return &callError{kind: ErrNotAttempted, server: server, cause: errors.New(response.Message)}
	case OutcomeUncertain:
		return &callError{kind: ErrUncertain, server: server, cause: errors.New(response.Message)}
	}
	return fmt.Errorf("%w: voter %s gives an answer of a kind that this version does not know",
		ErrUncertain, server)
}
