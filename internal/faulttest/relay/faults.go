package relay

import (
	"sync"
	"time"
)

// Faults is what one direction of a link does to what passes. The zero value passes everything on at once.
type Faults struct {
	Cut       bool          // nothing passes, open connections stay open; new ones never come up
	Delay     time.Duration // each piece comes later by it
	Jitter    time.Duration // and by up to as much again, drawn evenly; a stream keeps its order
	Rate      int           // bytes a second at most; 0: any number
	Reset     float64       // share of pieces of a stream at which its connection is reset towards the caller
	Deliver   bool          // whether a piece at which a connection is reset, or half closed, comes through first
	HalfClose float64       // share of pieces after which nothing more comes this way, while the other way goes on
	Loss      float64       // share of datagrams that vanish
	Twice     float64       // share of datagrams that come twice
	Reorder   float64       // share of datagrams that those after them overtake
}

// Join is what two faults do together.
func (f Faults) Join(g Faults) Faults {
	f.Cut = f.Cut || g.Cut
	f.Delay, f.Jitter = f.Delay+g.Delay, f.Jitter+g.Jitter
	if f.Rate == 0 || (g.Rate > 0 && g.Rate < f.Rate) {
		f.Rate = g.Rate
	}
	if g.Reset > f.Reset || g.HalfClose > f.HalfClose {
		f.Deliver = g.Deliver
	}
	f.Reset, f.HalfClose = max(f.Reset, g.Reset), max(f.HalfClose, g.HalfClose)
	f.Loss, f.Twice, f.Reorder = max(f.Loss, g.Loss), max(f.Twice, g.Twice), max(f.Reorder, g.Reorder)
	return f
}

// reorderBy is how much later a datagram comes that others overtake.
const reorderBy = 20 * time.Millisecond

// way is one direction of a link, with its faults now.
type way struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed at the next change
	nextAt  time.Time     // when the next byte may pass, where the rate is bounded
	draw    func() float64
}

func newWay(draw func() float64) *way { return &way{changed: make(chan struct{}), draw: draw} }

func (w *way) set(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f != w.faults {
		w.faults = f
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

func (w *way) now() (Faults, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults, w.changed
}

// chance draws whether something happens that does so at this share of times.
func (w *way) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draw() < share
}

// late is how much later a piece comes.
func (w *way) late(f Faults) time.Duration {
	if f.Jitter <= 0 {
		return f.Delay
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return f.Delay + time.Duration(w.draw()*float64(f.Jitter))
}

// book takes a place for so many bytes within the rate, and tells when the last of them may pass.
func (w *way) book(n int, now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Rate == 0 {
		return now
	}
	if w.nextAt.Before(now) {
		w.nextAt = now
	}
	w.nextAt = w.nextAt.Add(time.Duration(n) * time.Second / time.Duration(w.faults.Rate))
	return w.nextAt
}
