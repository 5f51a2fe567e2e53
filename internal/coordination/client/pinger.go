package client

import (
	"net"
	"sync"
	"time"
)

// pingInterval is between two pings.
const pingInterval = 500 * time.Millisecond

// pinger sends pings from a goroutine of its own and remembers when it sent them. A follower measures the age of its
// copy by its own clock alone: a server's statement of an age may have been delayed in a stopped process or a cut
// link.
type pinger struct {
	conn net.Conn
	quit chan struct{} // closed by stop

	mu    sync.Mutex           // guards times
	times map[uint64]time.Time // when a ping was sent, by its number
}

// startPinger begins to send pings on a connection, until stop is called or a write fails.
func startPinger(conn net.Conn) *pinger {
	p := &pinger{conn: conn, quit: make(chan struct{}), times: map[uint64]time.Time{}}
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
	p.times[number] = time.Now()
	p.mu.Unlock()
	_ = p.conn.SetWriteDeadline(time.Now().Add(updateTimeout)) // if it fails, so does the write
	return WriteFrame(p.conn, EncodePing(number))
}

func (p *pinger) stop() { close(p.quit) }

// sentAt returns when a ping was sent, and forgets those before it. The time is zero if there is none of that number.
func (p *pinger) sentAt(number uint64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.times[number]
	for earlier := range p.times {
		if earlier < number {
			delete(p.times, earlier)
		}
	}
	return at
}
