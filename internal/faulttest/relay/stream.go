package relay

import (
	"errors"
	"io"
	"net"
	"sort"
	"sync"
	"time"

	"olivearch/internal/faulttest/event"
)

const (
	pieceMost = 32 << 10  // bytes read at once
	heldMost  = 256 << 10 // bytes that a direction holds back; then the sender is not read any further
)

// mark is a place in a direction of a connection, and when the relay passed it.
type mark struct{ offset, at int64 }

// passage is when the bytes of a direction were read and written.
type passage struct {
	mu          sync.Mutex
	read, wrote []mark
}

func note(marks *[]mark, n int) {
	offset := int64(n)
	if k := len(*marks); k > 0 {
		offset += (*marks)[k-1].offset
	}
	*marks = append(*marks, mark{offset, event.Now()})
}

// when is the time at which the byte at an offset passed; 0: it has not.
func (p *passage) when(marks *[]mark, offset int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := sort.Search(len(*marks), func(i int) bool { return (*marks)[i].offset > offset })
	if i == len(*marks) {
		return 0
	}
	return (*marks)[i].at
}

// Conn is a connection through the relay, as it was seen.
type Conn struct {
	Caller      int
	caller      net.Conn
	service     net.Conn
	there, back passage
	mu          sync.Mutex
	leftAt      int64 // when the caller ended its sending or broke; 0: it has not
	resetAt     int64 // when a fault reset it; 0: none did
	ended       chan struct{}
	end         sync.Once
}

// SentAt is when the caller's byte at an offset came to the relay; 0: it has not.
func (c *Conn) SentAt(offset int64) int64 { return c.there.when(&c.there.read, offset) }

// DeliveredAt is when the service's byte at an offset was passed on to the caller; 0: it was not.
func (c *Conn) DeliveredAt(offset int64) int64 { return c.back.when(&c.back.wrote, offset) }

// LeftAt is when the caller ended its sending, or broke the connection; 0: it has not.
func (c *Conn) LeftAt() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leftAt
}

// ResetAt is when a fault reset it; 0: none did.
func (c *Conn) ResetAt() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resetAt
}

// abort resets both sides.
func (c *Conn) abort() {
	c.end.Do(func() {
		close(c.ended)
		reset(c.caller)
		reset(c.service)
	})
}

// finish ends the connection in good order.
func (c *Conn) finish() {
	c.end.Do(func() {
		close(c.ended)
		c.caller.Close()
		c.service.Close()
	})
}

// cutOff resets the caller's side, as a fault does; the service's side ends as if the caller had closed.
func (c *Conn) cutOff() {
	c.end.Do(func() {
		c.mu.Lock()
		c.resetAt = event.Now()
		c.mu.Unlock()
		close(c.ended)
		reset(c.caller)
		c.service.Close()
	})
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// piece is what was read at once, or the end of a direction.
type piece struct {
	data []byte
	due  time.Time
	err  error // io.EOF: the sender has ended its sending; any other: it broke
}

// pump moves one direction of a connection.
type pump struct {
	c        *Conn
	relay    *Relay
	way      *way
	from, to net.Conn
	passed   *passage
	forward  bool // from the caller to the service
	mu       sync.Mutex
	held     []piece
	bytes    int
	lately   time.Time     // when the last piece that was held is due: a stream keeps its order
	room     chan struct{} // something was passed on
	holding  bool          // drain moves what is held
	drains   sync.WaitGroup
}

// run reads until the direction ends. What no fault concerns is passed on at once.
func (p *pump) run() {
	buffer := make([]byte, pieceMost)
	for {
		n, err := p.from.Read(buffer)
		if n > 0 {
			p.passed.mu.Lock()
			note(&p.passed.read, n)
			p.passed.mu.Unlock()
			p.relay.slowed(p.c.ended)
			if f, _ := p.way.now(); f == (Faults{}) && !p.behind() {
				if !p.pass(buffer[:n]) {
					return
				}
			} else if !p.hold(piece{data: append([]byte(nil), buffer[:n]...)}, f) {
				return
			}
		}
		if err == nil {
			continue
		}
		if p.forward {
			p.c.mu.Lock()
			p.c.leftAt = event.Now()
			p.c.mu.Unlock()
		}
		if f, _ := p.way.now(); f == (Faults{}) && !p.behind() {
			p.over(err)
		} else {
			p.hold(piece{err: err}, f)
		}
		return
	}
}

func (p *pump) behind() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holding
}

// pass writes a piece; false: the connection is over.
func (p *pump) pass(data []byte) bool {
	if _, err := p.to.Write(data); err != nil {
		p.c.abort()
		return false
	}
	p.passed.mu.Lock()
	note(&p.passed.wrote, len(data))
	p.passed.mu.Unlock()
	return true
}

// over passes the end of a direction on.
func (p *pump) over(err error) {
	if !errors.Is(err, io.EOF) {
		p.c.abort()
		return
	}
	if t, ok := p.to.(*net.TCPConn); ok && t.CloseWrite() == nil {
		return
	}
	p.c.abort()
}

// hold keeps a piece until it is due; false: the connection is over.
func (p *pump) hold(x piece, f Faults) bool {
	for {
		p.mu.Lock()
		if p.bytes < heldMost {
			break // with the lock
		}
		p.mu.Unlock()
		select {
		case <-p.room:
		case <-p.c.ended:
			return false
		}
	}
	x.due = time.Now().Add(p.way.late(f))
	if x.due.Before(p.lately) {
		x.due = p.lately
	}
	p.lately = x.due
	p.held, p.bytes = append(p.held, x), p.bytes+len(x.data)
	if !p.holding {
		p.holding = true
		p.drains.Go(p.drain)
	}
	p.mu.Unlock()
	return true
}

// drain passes on what is held, as the faults allow, until nothing is.
func (p *pump) drain() {
	for {
		p.mu.Lock()
		if len(p.held) == 0 {
			p.holding = false
			p.mu.Unlock()
			return
		}
		x := p.held[0]
		p.mu.Unlock()
		if !p.await(x) || !p.release(x) {
			return
		}
		p.mu.Lock()
		p.held, p.bytes = p.held[1:], p.bytes-len(x.data)
		p.mu.Unlock()
		select {
		case p.room <- struct{}{}:
		default:
		}
		if x.err != nil {
			return
		}
	}
}

// await waits until a piece is due and nothing cuts the direction off; false: the connection is over.
func (p *pump) await(x piece) bool {
	due := x.due
	if at := p.way.book(len(x.data), time.Now()); at.After(due) {
		due = at
	}
	for {
		f, changed := p.way.now()
		wait := time.Until(due)
		if !f.Cut && wait <= 0 {
			return true
		}
		var timer <-chan time.Time
		if !f.Cut {
			timer = time.After(wait)
		}
		select {
		case <-timer:
		case <-changed:
		case <-p.c.ended:
			return false
		}
	}
}

// release passes a piece on, or does to the connection what a fault says; false: the connection is over.
func (p *pump) release(x piece) bool {
	if x.err != nil {
		p.over(x.err)
		return true
	}
	f, _ := p.way.now()
	switch {
	case p.way.chance(f.Reset):
		if f.Deliver {
			p.pass(x.data)
		}
		p.c.cutOff()
		return false
	case p.way.chance(f.HalfClose):
		if f.Deliver && !p.pass(x.data) {
			return false
		}
		p.over(io.EOF)
		return false
	}
	return p.pass(x.data)
}
