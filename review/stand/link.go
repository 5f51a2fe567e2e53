//go:build review

package stand

import (
	"net"
	"sync"
	"time"
)

// Link passes connections on, unchanged. While it is cut, nothing passes in either direction: open connections stay open
// and silent, and new ones get no byte (PROTOCOL, The network). What was on its way comes once the cut has ended.
type Link struct {
	Address string
	to      string
	mu      sync.Mutex
	healed  chan struct{} // closed while the link is not cut
}

// StartLink starts a link to an address.
func StartLink(to string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Address: listener.Addr().String(), to: to, healed: make(chan struct{})}
	close(l.healed)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(conn)
		}
	}()
	return l, nil
}

// Cut cuts the link, or heals it.
func (l *Link) Cut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.healed:
		if cut {
			l.healed = make(chan struct{})
		}
	default:
		if !cut {
			close(l.healed)
		}
	}
}

// wait returns once the link is not cut.
func (l *Link) wait() {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	<-healed
}

func (l *Link) pass(from net.Conn) {
	defer from.Close()
	l.wait()
	to, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	go func() {
		l.copy(to, from)
		to.(*net.TCPConn).CloseWrite()
	}()
	l.copy(from, to)
}

// copy moves bytes, and holds them while the link is cut.
func (l *Link) copy(to, from net.Conn) {
	block := make([]byte, 32<<10)
	for {
		n, err := from.Read(block)
		l.wait()
		if n > 0 {
			if _, err := to.Write(block[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
