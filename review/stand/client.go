//go:build review

package stand

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Client sends one request at a time on a connection that it keeps.
type Client struct {
	Name, Address string
	Query         string // of the next request; empty, or begins with a question mark
	record        *Record
	conn          net.Conn
	reader        *bufio.Reader
}

// NewClient returns a client of the balancer at an address.
func NewClient(record *Record, name, address string) *Client {
	return &Client{Name: name, Address: address, record: record}
}

// Answer is what became of a request.
type Answer struct {
	ID     string
	Status int // 0: no answer
	Body   string
	Err    error
	Took   time.Duration // from the request's last byte
}

// body is the body of every request.
const body = "flight=AR1234&gate=7&seat=21C"

// head returns the head of a request for a check-in. query is empty or begins with a question mark.
func head(id, query string) string {
	return fmt.Sprintf("POST /checkin%s HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: checkin\r\n"+
		"X-Tenant: aero-pampa\r\nX-Deadline-Ms: 750\r\nContent-Length: %d\r\n\r\n", query, id, len(body))
}

// NewID returns an id for a request.
func NewID() string {
	var id [8]byte
	rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// Connect opens the connection, unless it is open.
func (c *Client) Connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.Address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// Send sends a request and waits for its answer, for at most patience after its last byte. With a pause, the client
// writes the first half of the head so much earlier than the rest. If a kept connection was closed by the balancer before
// the request, the client sends it once more on a new one (PROTOCOL, Clients to balancers).
func (c *Client) Send(pause, patience time.Duration) Answer {
	id := NewID()
	kept := c.conn != nil
	answer := c.sendOnce(id, pause, patience)
	if kept && pause == 0 && answer.Status == 0 && !isTimeout(answer.Err) {
		c.record.Line("client %s: request %s again on a new connection: %v", c.Name, id, answer.Err)
		answer = c.sendOnce(id, pause, patience)
	}
	if answer.Status == 0 {
		c.record.Line("client %s: request %s: NO ANSWER %v after its last byte: %v",
			c.Name, id, answer.Took.Round(time.Millisecond), answer.Err)
	} else {
		c.record.Line("client %s: request %s: %d after %v: %q", c.Name, id, answer.Status,
			answer.Took.Round(time.Millisecond), answer.Body)
	}
	return answer
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

func (c *Client) sendOnce(id string, pause, patience time.Duration) Answer {
	answer := Answer{ID: id}
	if answer.Err = c.Connect(); answer.Err != nil {
		return answer
	}
	c.conn.SetDeadline(time.Now().Add(pause + patience))
	text := head(id, c.Query) + body
	if pause > 0 {
		early := len(head(id, c.Query)) / 2
		if _, answer.Err = io.WriteString(c.conn, text[:early]); answer.Err != nil {
			c.Close()
			return answer
		}
		c.record.Line("client %s: request %s: first half of the head written, %d bytes to come", c.Name, id, len(text)-early)
		time.Sleep(pause)
		text = text[early:]
	}
	c.conn.SetDeadline(time.Now().Add(patience))
	_, answer.Err = io.WriteString(c.conn, text)
	written := time.Now()
	c.record.Line("client %s: request %s: last byte written, err %v", c.Name, id, answer.Err)
	if answer.Err == nil {
		answer.Status, answer.Body, answer.Err = c.read()
	}
	answer.Took = time.Since(written)
	if answer.Err != nil {
		c.Close()
	}
	return answer
}

func (c *Client) read() (status int, text string, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", err
	}
	if response.Close {
		defer c.Close()
	}
	return response.StatusCode, string(content), nil
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.reader = nil, nil
}
