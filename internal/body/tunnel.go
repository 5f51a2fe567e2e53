package body

import (
	"errors"
	"io"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/http1"
)

const (
	// halfOpenTimeout is how long a tunnel may be silent once one side has ended.
	halfOpenTimeout = 30 * time.Second
	// tunnelWriteTimeout is how long a side of a tunnel may take no byte.
	tunnelWriteTimeout = 30 * time.Second
)

// TunnelLimits are what a connection that has changed its protocol (RFC 9110, section 7.8) may take.
type TunnelLimits struct {
	Idle  time.Duration // that neither side may send anything for
	Total time.Duration // 0: no limit
	Grace time.Duration // to end by itself once its upstream drains, its route has gone or the process stops
}

// Tunnel joins a client's connection and an upstream's. One goroutine runs Up, another Down; any may end it. While
// neither side sends anything it holds no memory but the buffers that both connections have.
type Tunnel struct {
	upstream *http1.Stream
	limits   *TunnelLimits

	mu      sync.Mutex
	client  net.Conn // set by Bind
	onEnded []func() // called once it has ended; nil from then on
	ended   bool

	lastActivity    atomic.Int64 // when a byte last came, in Unix nanoseconds
	endedDirections atomic.Int32
	done            chan struct{}
	end             func() // runs markEnded, once
	endSoon         func() // starts the timer of the grace, once
}

// NewTunnel returns a tunnel to an upstream that has agreed to it. Nothing else uses the upstream's connection until
// Done.
func NewTunnel(upstream *http1.Stream, limits *TunnelLimits) *Tunnel {
	tunnel := &Tunnel{upstream: upstream, limits: limits, done: make(chan struct{})}
	tunnel.lastActivity.Store(time.Now().UnixNano())
	tunnel.end = sync.OnceFunc(tunnel.markEnded)
	tunnel.endSoon = sync.OnceFunc(func() { time.AfterFunc(limits.Grace, tunnel.Close) })
	return tunnel
}

// markEnded closes Done and calls what waits for the end.
func (t *Tunnel) markEnded() {
	close(t.done)
	t.mu.Lock()
	callbacks := t.onEnded
	t.ended = true
	t.onEnded = nil
	t.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}

// Bind names the client's connection. It is called before Up and Down.
func (t *Tunnel) Bind(client net.Conn) {
	t.mu.Lock()
	t.client = client
	t.mu.Unlock()
	if t.limits.Total > 0 {
		timer := time.AfterFunc(t.limits.Total, t.Close)
		t.Ended(func() { timer.Stop() })
	}
}

// Ended has callback called once the tunnel has ended, at once if it has. No goroutine waits for it.
func (t *Tunnel) Ended(callback func()) {
	t.mu.Lock()
	ended := t.ended
	if !ended {
		t.onEnded = append(t.onEnded, callback)
	}
	t.mu.Unlock()
	if ended {
		callback()
	}
}

// Done is closed once the tunnel has ended.
func (t *Tunnel) Done() <-chan struct{} { return t.done }

// Grace is the time that the tunnel has once it is to end.
func (t *Tunnel) Grace() time.Duration { return t.limits.Grace }

// CloseGracefully ends the tunnel once its grace is over, unless it ends before.
func (t *Tunnel) CloseGracefully() { t.endSoon() }

// Close ends the tunnel at once. A nil one has nothing to end.
func (t *Tunnel) Close() {
	if t == nil {
		return
	}
	t.end()
	_ = t.upstream.SetDeadline(expired) // fails on a closed connection, as reads and writes do then
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.client != nil {
		_ = t.client.SetDeadline(expired)
	}
}

// Down moves what the upstream sends to the client, until the tunnel ends.
func (t *Tunnel) Down() { t.relay(t.client, t.upstream) }

// Up moves what the client sends to the upstream, until the tunnel ends. src reads the client's connection.
func (t *Tunnel) Up(src *http1.Stream) { t.relay(t.upstream, src) }

// relay moves one direction. Once src has ended, the other direction may go on, if the connection can be closed in one
// direction only.
func (t *Tunnel) relay(to net.Conn, src *http1.Stream) {
	src.Limit(math.MaxInt64) // what comes is no message any more
	err := t.copyUntilEnd(to, src)
	if err == nil && t.endedDirections.Add(1) < 2 {
		tcp, ok := http1.Under(to).(*net.TCPConn)
		if ok && tcp.CloseWrite() == nil {
			<-t.done
			return
		}
	}
	t.Close()
}

// copyUntilEnd moves bytes until the source ends, which is no error.
func (t *Tunnel) copyUntilEnd(target net.Conn, src *http1.Stream) error {
	for {
		idle := t.idleTimeout()
		_ = src.SetReadDeadline(t.lastActive().Add(idle)) // fails on a closed connection, as the read does then
		select {
		case <-t.done: // Close may have set its deadline before
			return net.ErrClosed
		default:
		}
		err := src.Wait()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded) && time.Since(t.lastActive()) < idle: // the other side has sent
			continue
		case err != nil:
			return err
		}
		t.lastActivity.Store(time.Now().UnixNano())
		if err := copyAvailable(target, src); err != nil {
			return err
		}
	}
}

func (t *Tunnel) lastActive() time.Time { return time.Unix(0, t.lastActivity.Load()) }

// idleTimeout is how long neither side may send anything.
func (t *Tunnel) idleTimeout() time.Duration {
	if t.endedDirections.Load() > 0 {
		return min(t.limits.Idle, halfOpenTimeout)
	}
	return t.limits.Idle
}

// copyAvailable moves what has come.
func copyAvailable(to net.Conn, src *http1.Stream) error {
	block := blocks.Get().(*[BlockSize]byte)
	defer blocks.Put(block)
	for {
		n, err := src.Read(block[:])
		if err != nil {
			return nil // the next Wait returns it
		}
		_ = to.SetWriteDeadline(time.Now().Add(tunnelWriteTimeout)) // fails on a closed connection, as the write does
		if _, err := to.Write(block[:n]); err != nil {
			return err
		}
		if n < BlockSize && src.Buffered() == 0 {
			return nil
		}
	}
}
