package relay

import (
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"olivearch/internal/faulttest/event"
)

const (
	lagEvery = 10 * time.Millisecond
	// lagSlot is over which time the worst delay is kept.
	lagSlot = 100 * time.Millisecond
	lagMost = time.Minute
)

// Lag measures the relay's own delay: a byte goes through it to an echo and back, again and again. Where it grows, the ground
// or the machine is too slow, and what processes are seen to do late may not be their fault.
type Lag struct {
	mu    sync.Mutex
	h     *hdrhistogram.Histogram // microseconds
	slots map[int64]int64         // slot -> worst, ns
	sent  int64                   // when the byte that is on its way was sent; 0: none is
	conn  net.Conn
	end   chan struct{}
	ended sync.WaitGroup
}

// Measure begins to measure, under a caller's number that nobody else has.
func (r *Relay) Measure(caller int) (*Lag, error) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s, err := r.Serve("echo")
	if err == nil {
		err = s.Point(echo.Addr().String())
	}
	if err != nil {
		echo.Close()
		return nil, err
	}
	c, err := net.Dial("tcp", s.At(caller))
	if err != nil {
		echo.Close()
		return nil, err
	}
	g := &Lag{h: hdrhistogram.New(1, lagMost.Microseconds(), 3), slots: map[int64]int64{}, conn: c, end: make(chan struct{})}
	g.ended.Go(func() {
		x, err := echo.Accept()
		echo.Close()
		if err != nil {
			return
		}
		defer x.Close()
		var b [1]byte
		for {
			if _, err := x.Read(b[:]); err != nil {
				return
			}
			x.Write(b[:])
		}
	})
	g.ended.Go(func() {
		defer c.Close()
		var b [1]byte
		for {
			g.begin(event.Now())
			if _, err := c.Write(b[:]); err != nil {
				return
			}
			if _, err := c.Read(b[:]); err != nil {
				return
			}
			g.note(event.Now())
			select {
			case <-time.After(lagEvery):
			case <-g.end:
				return
			}
		}
	})
	return g, nil
}

func (g *Lag) begin(now int64) { g.mu.Lock(); defer g.mu.Unlock(); g.sent = now }

func (g *Lag) note(now int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	took := now - g.sent
	g.h.RecordValue(min(max(took/1000, 1), lagMost.Microseconds()))
	for slot := g.sent / int64(lagSlot); slot <= now/int64(lagSlot); slot++ {
		g.slots[slot] = max(g.slots[slot], took)
	}
	g.sent = 0
}

// Worst is the longest delay that any byte met which was on its way between two times of the monotonic clock.
func (g *Lag) Worst(from, to int64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	worst := int64(0)
	if g.sent > 0 && g.sent < to {
		worst = event.Now() - g.sent
	}
	for slot := from / int64(lagSlot); slot <= to/int64(lagSlot); slot++ {
		worst = max(worst, g.slots[slot])
	}
	return time.Duration(worst)
}

// Quantile is the delay that so many in a hundred bytes did not exceed.
func (g *Lag) Quantile(q float64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.h.ValueAtQuantile(q)) * time.Microsecond
}

// Stop ends the measuring.
func (g *Lag) Stop() {
	close(g.end)
	g.conn.Close()
	g.ended.Wait()
}
