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
	// halfOpen is how long a tunnel may say nothing once one side has ended.
	halfOpen = 30 * time.Second
	// slowPeer is how long a side of a tunnel may take no byte.
	slowPeer = 30 * time.Second
)

// TunnelLimits are what a connection that has changed its protocol (RFC 9110, section 7.8) may take.
type TunnelLimits struct {
	Idle  time.Duration // that neither side may say anything for
	Total time.Duration // 0: as long as it takes
	Grace time.Duration // that it has to end by itself once its node drains, its route has gone or the process stops
}

// Tunnel joins a client's connection and a node's. While neither side says anything it holds no memory but the buffers that both
// connections have.
type Tunnel struct {
	node   *http1.Stream
	limits *TunnelLimits

	mu     sync.Mutex
	client net.Conn // set by Bind
	after  []func() // once it has ended; nil from then on
	over   bool

	activity atomic.Int64 // when a byte last came, in Unix nanoseconds
	halves   atomic.Int32 // directions that have ended
	done     chan struct{}
	end      func()
	soon     func()
}

// NewTunnel returns a tunnel to a node that has agreed to it. Nothing else uses the node's connection until Done.
func NewTunnel(node *http1.Stream, limits *TunnelLimits) *Tunnel {
	t := &Tunnel{node: node, limits: limits, done: make(chan struct{})}
	t.activity.Store(time.Now().UnixNano())
	t.end = sync.OnceFunc(func() {
		close(t.done)
		t.mu.Lock()
		after := t.after
		t.over, t.after = true, nil
		t.mu.Unlock()
		for _, f := range after {
			f()
		}
	})
	t.soon = sync.OnceFunc(func() { time.AfterFunc(limits.Grace, t.Close) })
	return t
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

// Ended has f called once the tunnel has ended, at once if it has. No goroutine waits for it.
func (t *Tunnel) Ended(f func()) {
	t.mu.Lock()
	over := t.over
	if !over {
		t.after = append(t.after, f)
	}
	t.mu.Unlock()
	if over {
		f()
	}
}

// Done is closed once the tunnel has ended. A nil Tunnel never does.
func (t *Tunnel) Done() <-chan struct{} { return t.done }

// Grace is what it has once it is to end.
func (t *Tunnel) Grace() time.Duration { return t.limits.Grace }

// EndSoon ends the tunnel once its grace is over, unless it ends before.
func (t *Tunnel) EndSoon() { t.soon() }

// Close ends the tunnel at once. A nil one has nothing to end.
func (t *Tunnel) Close() {
	if t == nil {
		return
	}
	past := time.Unix(0, 1)
	t.end()
	t.node.SetDeadline(past)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.client != nil {
		t.client.SetDeadline(past)
	}
}

// Down moves what the node says to the client, until it ends.
func (t *Tunnel) Down() { t.move(t.client, t.node) }

// Up moves what the client says to the node, until it ends. src reads the client's connection.
func (t *Tunnel) Up(src *http1.Stream) { t.move(t.node, src) }

func (t *Tunnel) move(to net.Conn, src *http1.Stream) {
	src.Limit(math.MaxInt64) // what comes is no message any more
	err := t.copy(to, src)
	if err == nil && t.halves.Add(1) < 2 { // the other direction may go on
		half, ok := http1.Under(to).(*net.TCPConn)
		if ok && half.CloseWrite() == nil {
			<-t.done
			return
		}
	}
	t.Close()
}

// copy moves bytes until the source ends, which is no error.
func (t *Tunnel) copy(to net.Conn, src *http1.Stream) error {
	for {
		idle := t.limits.Idle
		if t.halves.Load() > 0 {
			idle = min(idle, halfOpen)
		}
		last := time.Unix(0, t.activity.Load())
		src.SetReadDeadline(last.Add(idle))
		select { // its limit of time stands
		case <-t.done:
			return net.ErrClosed
		default:
		}
		err := src.Wait()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded) && time.Since(time.Unix(0, t.activity.Load())) < idle: // the other side has spoken
			continue
		case err != nil:
			return err
		}
		t.activity.Store(time.Now().UnixNano())
		if err := burst(to, src); err != nil {
			return err
		}
	}
}

// burst moves what has come.
func burst(to net.Conn, src *http1.Stream) error {
	b := blocks.Get().(*[Block]byte)
	defer blocks.Put(b)
	for n := Block; n == Block || src.Buffered() > 0; {
		var err error
		if n, err = src.Read(b[:]); err != nil {
			return nil // Wait sees it again
		}
		to.SetWriteDeadline(time.Now().Add(slowPeer))
		if _, err := to.Write(b[:n]); err != nil {
			return err
		}
	}
	return nil
}
