package client

import (
	"net"
	"sync"
	"time"
)

// pingInterval is the time between two pings.
const pingInterval = 500 * time.Millisecond

// pinger sends pings from a goroutine of its own and records when it sent each. A follower measures the age of its copy
// from these times, by its own clock alone: an age sent by a server could be delayed in a suspended process or on an
// interrupted link.
type pinger struct {
	conn net.Conn
	quit chan struct{} // closed by stop

	mu        sync.Mutex           // guards sentTimes
	sentTimes map[uint64]time.Time // by ping number
}

// startPinger begins to send pings on a connection, until stop is called or a write fails.
func startPinger(conn net.Conn) *pinger {
	p := &pinger{conn: conn, quit: make(chan struct{}), sentTimes: map[uint64]time.Time{}}
	go p.run()
	return p
}

func (p *pinger) run() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for number := uint64(1); ; number++ {
		if p.send(number) != nil {
			return // the reader of the connection gets an error too
		}
		select {
		case <-ticker.C:
		case <-p.quit:
			return
		}
	}
}

func (p *pinger) send(number uint64) error {
	p.mu.Lock()
	p.sentTimes[number] = time.Now()
	p.mu.Unlock()
	_ = p.conn.SetWriteDeadline(time.Now().Add(updateTimeout)) // if it fails, so does the write
	return WriteFrame(p.conn, EncodePing(number))
}

func (p *pinger) stop() { close(p.quit) }

// sentAt returns when the ping of a number was sent, and forgets earlier pings. It returns the zero time for a number
// that is not known.
func (p *pinger) sentAt(number uint64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.sentTimes[number]
	for earlier := range p.sentTimes {
		if earlier < number {
			delete(p.sentTimes, earlier)
		}
	}
	return at
}
