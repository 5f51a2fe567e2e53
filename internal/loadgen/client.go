// Package loadgen asks over real sockets as a scenario says, and measures from the moment that each request was meant to
// start: what it waited for because a connection or an answer before it was late counts.
package loadgen

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// bodyMost bounds what is read of an answer.
const bodyMost = 1 << 20

// errDial says that no connection came about: nothing was asked.
var errDial = errors.New("no connection")

// conn is a connection with its reader.
type conn struct {
	net.Conn
	in *bufio.Reader
}

// client keeps connections to one address; the last used goes first.
type client struct {
	address string
	mu      sync.Mutex
	idle    []*conn
}

func (c *client) get(wait time.Duration) (*conn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		x := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return x, nil
	}
	c.mu.Unlock()
	x, err := net.DialTimeout("tcp", c.address, wait)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	return &conn{x, bufio.NewReader(x)}, nil
}

func (c *client) put(x *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, x)
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.idle {
		x.Close()
	}
	c.idle = nil
}

// ask sends a request's text and returns the one answer. It never sends twice.
func (c *client) ask(text string, wait time.Duration) (status int, body string, err error) {
	x, err := c.get(wait)
	if err != nil {
		return 0, "", err
	}
	x.SetDeadline(time.Now().Add(wait))
	if _, err = io.WriteString(x, text); err != nil {
		x.Close()
		return 0, "", err
	}
	resp, err := http.ReadResponse(x.in, nil)
	if err != nil {
		x.Close()
		return 0, "", err
	}
	var b strings.Builder
	_, err = io.Copy(&b, io.LimitReader(resp.Body, bodyMost))
	if err != nil || resp.Close || x.in.Buffered() > 0 {
		x.Close()
	} else {
		c.put(x)
	}
	return resp.StatusCode, b.String(), err
}
