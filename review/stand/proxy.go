//go:build review

package stand

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards TCP connections from an address of its own to another, and may make them late or silent.
type Proxy struct {
	Address string

	target   string
	lateMS   atomic.Int64 // how much later what is sent is passed on, in either direction
	cut      atomic.Bool  // nothing is passed on, in either direction; bytes wait
	accepted atomic.Int64
	done     chan struct{}
	once     sync.Once
	listener net.Listener
}

// StartProxy starts a proxy on a free port.
func StartProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), target: target, done: make(chan struct{}), listener: listener}
	go p.accept()
	return p, nil
}

// SetLate sets how much later what is sent is passed on, in either direction.
func (p *Proxy) SetLate(delay time.Duration) { p.lateMS.Store(delay.Milliseconds()) }

// SetCut makes the proxy silent, or ends that.
func (p *Proxy) SetCut(on bool) { p.cut.Store(on) }

// Accepted returns how many connections have been opened.
func (p *Proxy) Accepted() int64 { return p.accepted.Load() }

// Close ends the proxy.
func (p *Proxy) Close() {
	p.once.Do(func() {
		close(p.done)
		p.listener.Close()
	})
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.accepted.Add(1)
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	for p.cut.Load() { // a new connection is as silent as the others
		select {
		case <-p.done:
			client.Close()
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	go p.pass(target, client)
	p.pass(client, target)
}

// piece is what was read at one time. No bytes: the sender has ended.
type piece struct {
	bytes []byte
	due   time.Time
}

func (p *Proxy) pass(to, from net.Conn) {
	delay := func() time.Duration { return time.Duration(p.lateMS.Load()) * time.Millisecond }
	pieces := make(chan piece, 4096)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{buffer[:n], time.Now().Add(delay())}
			}
			if err != nil {
				pieces <- piece{nil, time.Now().Add(delay())}
				return
			}
		}
	}()
	defer to.Close()
	defer from.Close()
	for next := range pieces {
		time.Sleep(time.Until(next.due))
		for p.cut.Load() {
			select {
			case <-p.done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
		if next.bytes == nil {
			return
		}
		if _, err := to.Write(next.bytes); err != nil {
			go io.Copy(io.Discard, from)
			return
		}
	}
}
