package edge

import (
	"errors"
	"net"
	"net/http"
	"time"

	"clayladder/internal/body"
	"clayladder/internal/http1"
	"clayladder/internal/pool"
)

// pacer sets a connection's limits of time while a request is read from it.
type pacer struct {
	net.Conn
	until time.Time // for the request; zero: no limits are set here
}

// extend gives a body of so many bytes the time that it may take, however slowly it comes.
func (p *pacer) extend(bytes int) {
	if p != nil {
		p.until = p.until.Add(time.Duration(bytes) * time.Second / uploadFloor)
	}
}

func (p *pacer) Read(b []byte) (int, error) {
	if p.until.IsZero() {
		return p.Conn.Read(b)
	}
	limit := time.Now().Add(StalledClient)
	if p.until.Before(limit) {
		limit = p.until
	}
	p.Conn.SetReadDeadline(limit)
	n, err := p.Conn.Read(b)
	if err != nil {
		p.until = time.Unix(0, 1) // bufio asks again after an error behind half a line: that must not begin a new wait
	}
	return n, err
}

// client is a client's connection. Its stage is the Front's, under its lock.
type client struct {
	*http1.Stream
	pace  *pacer
	stage stage
	reads bool          // a request is being read
	since time.Time     // of the stage
	watch chan struct{} // asks the watcher to look for a byte or the end
	seen  chan error    // what it saw
	asked bool          // it looks, and has the reader until it has seen something
}

// watcher sees the client leave while its request is answered. Once that is done it goes on looking, for the next request.
func (c *client) watcher() {
	for range c.watch {
		err := c.Wait()
		c.seen <- err
	}
}

// converse serves a connection until one side ends it. Clients send one request at a time.
func (f *Front) converse(c *client) {
	c.watch, c.seen = make(chan struct{}), make(chan error, 1)
	go c.watcher()
	defer close(c.watch)
	for {
		if err := c.await(); err != nil {
			f.pass(c, err)
			return
		}
		if !f.enter(c, silent) {
			return
		}
		c.pace.until = time.Now().Add(slowClient)
		call, h, err := f.read(c)
		c.pace.until = time.Time{}
		if err != nil {
			f.turnAway(c, err)
			return
		}
		if !f.enter(c, busy) {
			return
		}
		a, err := f.ask(c, call)
		if err != nil {
			f.turnAway(c, err)
			return
		}
		var rest *body.Upload
		if call != nil {
			rest = call.Asked().Message.Rest
		}
		unread := rest.Unread()
		last := http1.Closes(h) || f.isLeaving() || a.Status == http.StatusConflict || unread
		if a.Status == 0 || c.write(a, last) != nil {
			return
		}
		if unread { // closed at once, the connection would be reset and the answer lost
			rest.Stop()
			c.farewell(slowClient, http1.MaxStream)
		}
		if last || !f.enter(c, idle) {
			return
		}
	}
}

// await returns when the first byte of the next request has come.
func (c *client) await() error {
	if c.asked {
		c.asked = false
		return <-c.seen
	}
	c.Limit(http1.MaxHead)
	return c.Wait()
}

// ask gets the answer to a request, or to a question after this balancer's health if there is none. A status of 0
// means that the client has gone.
func (f *Front) ask(c *client, call Call) (pool.Answer, error) {
	if call == nil {
		if f.isLeaving() {
			return pool.Answer{Status: http.StatusServiceUnavailable, Body: []byte("draining\n"), Kind: "text/plain"}, nil
		}
		f.desk.Alive()
		return pool.Answer{Status: http.StatusOK, Body: []byte("ok\n"), Kind: "text/plain"}, nil
	}
	q := call.Asked()
	rest := q.Message.Rest
	if rest != nil {
		defer rest.Release()
	}
	if refused, err := call.Enter(); err != nil || refused.Status != 0 {
		return refused, err
	}
	defer call.Leave()
	if rest.Live() {
		select {
		case a := <-q.Reply: // before the body was in
			return a, nil
		case err := <-rest.Done():
			rest.Finish(err)
			if failed := (body.ClientFailed{}); errors.As(err, &failed) {
				q.Left()
				return pool.Answer{}, failed.Unwrap()
			}
			if err != nil {
				return <-q.Reply, nil
			}
		}
	}
	c.SetReadDeadline(time.Time{})
	c.Limit(http1.MaxHead)
	c.watch <- struct{}{}
	c.asked = true
	select {
	case a := <-q.Reply:
		select {
		case err := <-c.seen:
			a.More.Abandon()
			if c.asked = false; err == nil {
				return pool.Answer{}, errAhead
			}
			return pool.Answer{}, nil
		default:
			return a, nil
		}
	case err := <-c.seen:
		c.asked = false
		q.Left()
		if err == nil {
			return pool.Answer{}, errAhead
		}
		return pool.Answer{}, nil
	}
}
