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

	"olivearch/internal/clock"
	"olivearch/internal/http1"
)

const (
	// halfClosedTimeout is how long a tunnel may be idle once one direction has ended.
	halfClosedTimeout = 30 * time.Second
	// tunnelWriteTimeout bounds one write to a side of a tunnel.
	tunnelWriteTimeout = 30 * time.Second
)

// TunnelLimits are the time limits of a tunnel.
type TunnelLimits struct {
	Idle  time.Duration // longest time without a byte from either side
	Total time.Duration // longest time in all; 0: no limit
	Grace time.Duration // time to end by itself once its upstream drains, its route is removed or the process stops
}

// Tunnel copies bytes in both directions between the connections of a client and an upstream that have switched to
// another protocol (RFC 9110, section 7.8). One goroutine runs ForwardToUpstream, another ForwardToClient. Any
// goroutine may end the tunnel. While a tunnel is idle, it holds no memory except the read buffers of both connections.
type Tunnel struct {
	upstream *http1.Stream
	limits   *TunnelLimits

	mu      sync.Mutex
	client  net.Conn // set by Bind
	onEnded []func() // called at the end of the tunnel; nil from then on
	ended   bool

	lastActivity    clock.Moment // when the last byte was received
	endedDirections atomic.Int32
	done            chan struct{}
	end             func() // calls markEnded, once
	startGrace      func() // starts the timer of Grace, once
}

// NewTunnel returns a tunnel to an upstream that has responded with status 101. Nothing else uses the connection to the
// upstream until the tunnel has ended.
func NewTunnel(upstream *http1.Stream, limits *TunnelLimits) *Tunnel {
	tunnel := &Tunnel{upstream: upstream, limits: limits, done: make(chan struct{})}
	tunnel.lastActivity.Set(time.Now())
	tunnel.end = sync.OnceFunc(tunnel.markEnded)
	tunnel.startGrace = sync.OnceFunc(func() { time.AfterFunc(limits.Grace, tunnel.Close) })
	return tunnel
}

// markEnded closes the channel of Done and calls the callbacks that OnEnd has registered.
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

// Bind sets the connection of the client. It is called before ForwardToUpstream and ForwardToClient.
func (t *Tunnel) Bind(client net.Conn) {
	t.mu.Lock()
	t.client = client
	t.mu.Unlock()
	if t.limits.Total > 0 {
		timer := time.AfterFunc(t.limits.Total, t.Close)
		t.OnEnd(func() { timer.Stop() })
	}
}

// OnEnd registers a callback for the end of the tunnel. It calls the callback at once if the tunnel has ended. It
// starts no goroutine.
func (t *Tunnel) OnEnd(callback func()) {
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

// Done returns a channel that is closed once the tunnel has ended.
func (t *Tunnel) Done() <-chan struct{} { return t.done }

// Grace returns the time after which CloseGracefully closes the tunnel.
func (t *Tunnel) Grace() time.Duration { return t.limits.Grace }

// CloseGracefully closes the tunnel after its grace time, unless it ends before.
func (t *Tunnel) CloseGracefully() { t.startGrace() }

// Close ends the tunnel at once. It does nothing for a nil Tunnel.
func (t *Tunnel) Close() {
	if t == nil {
		return
	}
	t.end()
	_ = t.upstream.SetDeadline(expiredDeadline) // fails only on a closed connection
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.client != nil {
		_ = t.client.SetDeadline(expiredDeadline)
	}
}

// ForwardToClient copies bytes from the upstream to the client until the tunnel ends.
func (t *Tunnel) ForwardToClient() { t.copyDirection(t.client, t.upstream) }

// ForwardToUpstream copies bytes from the client to the upstream until the tunnel ends. src reads the client's
// connection.
func (t *Tunnel) ForwardToUpstream(src *http1.Stream) { t.copyDirection(t.upstream, src) }

// copyDirection copies the bytes of one direction. Once src has ended, it closes the write side of the other
// connection, so that the opposite direction stays open. It ends the tunnel if it can't close only the write side.
func (t *Tunnel) copyDirection(to net.Conn, src *http1.Stream) {
	src.Limit(math.MaxInt64) // the limits of messages do not apply
	err := t.copyUntilEnd(to, src)
	if err == nil && t.endedDirections.Add(1) < 2 {
		tcp, ok := http1.Innermost(to).(*net.TCPConn)
		if ok && tcp.CloseWrite() == nil {
			<-t.done
			return
		}
	}
	t.Close()
}

// copyUntilEnd copies bytes until src ends, which is not an error.
func (t *Tunnel) copyUntilEnd(target net.Conn, src *http1.Stream) error {
	for {
		idle := t.idleTimeout()
		_ = src.SetReadDeadline(t.lastActive().Add(idle)) // if it fails, so does the read
		if t.hasEnded() {                                 // this deadline may have replaced that of Close
			return net.ErrClosed
		}
		err := src.Wait()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded) && time.Since(t.lastActive()) < idle:
			// the other direction was active
			continue
		case err != nil:
			return err
		}
		t.lastActivity.Set(time.Now())
		if err := t.copyAvailable(target, src); err != nil {
			return err
		}
	}
}

func (t *Tunnel) lastActive() time.Time { return t.lastActivity.Time() }

// idleTimeout returns the longest time without a byte from either side.
func (t *Tunnel) idleTimeout() time.Duration {
	if t.endedDirections.Load() > 0 {
		return min(t.limits.Idle, halfClosedTimeout)
	}
	return t.limits.Idle
}

// hasEnded reports whether the tunnel has ended.
func (t *Tunnel) hasEnded() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// copyAvailable copies the bytes that have arrived.
func (t *Tunnel) copyAvailable(to net.Conn, src *http1.Stream) error {
	block := blocks.Get().(*[BlockSize]byte)
	defer blocks.Put(block)
	for {
		n, err := src.Read(block[:])
		if err != nil {
			return nil // the next Wait returns the error
		}
		_ = to.SetWriteDeadline(time.Now().Add(tunnelWriteTimeout)) // if it fails, so does the write
		if t.hasEnded() {                                           // this deadline may have replaced that of Close
			return net.ErrClosed
		}
		if _, err := to.Write(block[:n]); err != nil {
			return err
		}
		if n < BlockSize && src.Buffered() == 0 {
			return nil
		}
	}
}
